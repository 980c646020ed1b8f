// Crowds of clients that misbehave, against the fleet's own processes on loopback with lowered limits. What
// is checked does not depend on the machine's speed: the process lives, its memory and its descriptors stay
// under the limits of its machine, and afterwards, with the crowd's connections still open, an ordinary
// request is answered.
#define BOOST_TEST_MODULE crowd
#include "lab/crowd.hpp"
#include "lab/real_fleet.hpp"

#include <boost/test/included/unit_test.hpp>
#include <fmt/format.h>
#include <list>
#include <string>

namespace {

using namespace ivyrill;
using namespace ivyrill::lab;

// A quarter of the limits of examples/fleet: 64 bodies at most would fill the memory.
constexpr std::int64_t kMemoryMb = 64;
constexpr std::size_t kMaxBodyBytes = 1024 * 1024;
constexpr std::int64_t kFewDescriptors = 256;
constexpr std::size_t kChunkBytes = 64 * 1024;
constexpr std::size_t kCallServerBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t kSmallReceiveBuffer = 4096;

#ifdef IVYRILL_SANITIZE // a process under a sanitizer is slower, and its memory is mostly the sanitizer's
constexpr std::size_t kClients = 24;
constexpr bool kMemoryIsItsOwn = false;
#else
constexpr std::size_t kClients = 96;
constexpr bool kMemoryIsItsOwn = true;
#endif
constexpr std::size_t kIdleClients = 400; // more than the descriptors

// Events of 20 KB: an answer of 400,000 tokens is 2 MB.
const FleetLimits kLowMemory{
    kMemoryMb, 0, "--slots 200 --memory-tokens 100000000 --stride 4096 --token-ms 0 --conn-limit 400"};
const FleetLimits kLowDescriptors{0, kFewDescriptors, ""};

std::string post(const std::string& framing) {
    return "POST /chat/completions HTTP/1.1\r\nHost: chat.example\r\nAttempt-Id: {}\r\nModel-Name: m\r\n"
           "Token-Counts: 20,8\r\nPrompt-Prefix: c0ffee:20\r\nDeadline-Ms: 15000\r\n" +
           framing + "\r\n\r\n";
}
std::string chunked() { return post("Transfer-Encoding: chunked"); }
std::string with_length(std::size_t bytes) { return post("Content-Length: " + std::to_string(bytes)); }
std::string chunk_of(std::size_t bytes) {
    return fmt::format("{:x}\r\n", bytes) + std::string(bytes, 'x') + "\r\n";
}

struct CrowdedFleet : RealFleet {
    explicit CrowdedFleet(const FleetLimits& limits) : RealFleet({}, limits), limits_(limits) {}

    // Bodies of clients are limited to kMaxBodyBytes from here on.
    void lower_body_limit() {
        const std::string text =
            replaced(replaced(read_example(), "\"version\": 1,", "\"version\": 2,"),
                     "\"maxBodyBytes\": 4194304", "\"maxBodyBytes\": " + std::to_string(kMaxBodyBytes));
        BOOST_REQUIRE(replace(text, 1) == 200);
        const bool in_force = until([&] {
            ClientRequest request = ordinary_request();
            request.body = std::string(kMaxBodyBytes + 1, 'x');
            return ask(front(1), request).head.status == 413;
        });
        BOOST_REQUIRE(in_force);
    }

    // Lets the crowd press on a process.
    void press(Crowd& crowd, const std::string& name) {
        const pid_t pressed = process(name);
        std::int64_t most_kib = 0, most_descriptors = 0;
        crowd.press([&] {
            const ProcessUsage usage = usage_of(pressed);
            most_kib = std::max({most_kib, usage.resident_kib + usage.unread_kib, usage.peak_resident_kib});
            most_descriptors = std::max(most_descriptors, usage.descriptors);
        });
        BOOST_TEST_MESSAGE(name << ": " << most_kib << " KiB, " << most_descriptors << " descriptors, "
                                << crowd.open_connections() << " connections open");
        BOOST_TEST((running(name) && process(name) == pressed), name << " has ended");
        if (kMemoryIsItsOwn && limits_.memory_mb > 0) BOOST_TEST(most_kib <= limits_.memory_mb * 1024);
        if (limits_.file_descriptors > 0) BOOST_TEST(most_descriptors <= limits_.file_descriptors);
    }

    ClientRequest ordinary_request() { return stream("ab" + std::to_string(++asked_), "c0ffee", 200, 8); }
    bool serves() {
        return until([&] {
            const ClientAnswer& answer = ask(front(1), ordinary_request());
            return answer.head.status == 200 && answer.end == AnswerEnd::kComplete;
        });
    }
    bool answers(const std::string& address, const std::string& target) {
        ClientRequest request;
        request.method = "GET", request.target = target, request.model = "";
        return until([&] {
            const ClientAnswer& answer = ask(address, request);
            return answer.head.status == 200 && answer.end == AnswerEnd::kComplete;
        });
    }
    std::string ready(int number) const { return address(20 + number, 8268); }

  private:
    FleetLimits limits_;
    int asked_ = 0;
};

void press_front(const CrowdPlan& plan) {
    CrowdedFleet fleet(kLowMemory);
    fleet.lower_body_limit();
    Crowd crowd(fleet.front(1), plan);
    fleet.press(crowd, "proxy-1");
    BOOST_TEST(fleet.serves());
}

CrowdPlan plan(const std::string& head, const std::string& piece, std::size_t total_bytes) {
    CrowdPlan made;
    made.clients = kClients, made.head = head, made.piece = piece, made.total_bytes = total_bytes;
    return made;
}

// The crowds at the front.
CrowdPlan large_chunks() {
    const std::size_t chunks = kMaxBodyBytes / kChunkBytes;
    const std::string chunk = chunk_of(kChunkBytes);
    return plan(chunked(), chunk, chunks * chunk.size() - kChunkBytes / 2);
}
CrowdPlan chunks_of_one_byte() {
    const std::string chunk = chunk_of(1);
    return plan(chunked(), chunk, (kMaxBodyBytes - 1) * chunk.size());
}
CrowdPlan lengths() {
    return plan(with_length(kMaxBodyBytes), std::string(kChunkBytes, 'x'), kMaxBodyBytes - 1);
}
CrowdPlan chunks_over_the_limit() {
    CrowdPlan made = plan(chunked(), chunk_of(kChunkBytes), 4 * kMaxBodyBytes);
    made.reads = false;
    return made;
}
CrowdPlan lengths_over_the_limit() {
    CrowdPlan made = plan(with_length(4 * kMaxBodyBytes), std::string(kChunkBytes, 'x'), 4 * kMaxBodyBytes);
    made.reads = false;
    return made;
}
CrowdPlan many_short_lines() {
    CrowdPlan made = plan("POST /chat/completions HTTP/1.1\r\n", "a:\r\n", 15'000);
    made.clients = 4 * kClients;
    return made;
}
CrowdPlan long_answers() {
    std::string head = with_length(0);
    head.replace(head.find("20,8"), 4, "20,400000");
    CrowdPlan made = plan(head, "", 0);
    made.receive_buffer = kSmallReceiveBuffer;
    return made;
}
CrowdPlan unread_answers() {
    CrowdPlan made = long_answers();
    made.reads = false;
    return made;
}
CrowdPlan slowly_read_answers() {
    CrowdPlan made = long_answers();
    made.slow_read_bytes = 512;
    return made;
}

} // namespace

BOOST_AUTO_TEST_CASE(bodies_in_large_chunks_that_stop_short_of_their_end) { press_front(large_chunks()); }
BOOST_AUTO_TEST_CASE(bodies_in_chunks_of_one_byte_that_stop_short_of_their_end) {
    press_front(chunks_of_one_byte());
}
BOOST_AUTO_TEST_CASE(bodies_with_a_length_that_stop_short_of_their_end) { press_front(lengths()); }
BOOST_AUTO_TEST_CASE(bodies_over_the_limit_that_are_sent_in_chunks) { press_front(chunks_over_the_limit()); }
BOOST_AUTO_TEST_CASE(bodies_over_the_limit_that_are_announced) { press_front(lengths_over_the_limit()); }
BOOST_AUTO_TEST_CASE(heads_of_many_short_lines_that_stop_short_of_their_end) {
    press_front(many_short_lines());
}
BOOST_AUTO_TEST_CASE(answers_of_two_megabytes_that_are_not_read) { press_front(unread_answers()); }
BOOST_AUTO_TEST_CASE(answers_of_two_megabytes_that_are_read_slowly) { press_front(slowly_read_answers()); }

// What crowds leave behind must not add up: all of them press on one process, the earlier ones stay
// connected.
BOOST_AUTO_TEST_CASE(crowds_of_several_kinds_one_after_the_other) {
    CrowdedFleet fleet(kLowMemory);
    fleet.lower_body_limit();
    std::list<Crowd> crowds;
    for (const CrowdPlan& next : {large_chunks(), lengths(), chunks_over_the_limit(), many_short_lines(),
                                  unread_answers(), lengths()}) {
        CrowdPlan smaller = next;
        smaller.clients = kClients / 2;
        fleet.press(crowds.emplace_back(fleet.front(1), smaller), "proxy-1");
        BOOST_TEST(fleet.serves());
    }
}

BOOST_AUTO_TEST_CASE(idle_and_half_open_connections_to_clients_beyond_the_descriptors) {
    CrowdedFleet fleet(kLowDescriptors);
    CrowdPlan idle, half_open;
    idle.clients = half_open.clients = kIdleClients;
    half_open.head = "POST /chat/completions HTTP/1.1\r\nHost: cha";
    Crowd idle_crowd(fleet.front(1), idle), half_open_crowd(fleet.front(1), half_open);
    fleet.press(idle_crowd, "proxy-1");
    fleet.press(half_open_crowd, "proxy-1");
    BOOST_TEST(fleet.answers(fleet.ready(1), "/ready"));
    BOOST_TEST(fleet.serves());
}

BOOST_AUTO_TEST_CASE(idle_connections_to_the_readiness_address_beyond_the_descriptors) {
    CrowdedFleet fleet(kLowDescriptors);
    CrowdPlan idle;
    idle.clients = kIdleClients;
    Crowd crowd(fleet.ready(1), idle);
    fleet.press(crowd, "proxy-1");
    BOOST_TEST(fleet.answers(fleet.ready(1), "/ready"));
    BOOST_TEST(fleet.serves());
}

BOOST_AUTO_TEST_CASE(idle_connections_to_control_beyond_the_descriptors) {
    CrowdedFleet fleet(kLowDescriptors);
    CrowdPlan idle;
    idle.clients = kIdleClients;
    Crowd crowd(fleet.control(1), idle);
    fleet.press(crowd, "control-1");
    BOOST_TEST(fleet.answers(fleet.control(1), "/config"));
    BOOST_TEST(fleet.serves());
}

BOOST_AUTO_TEST_CASE(bodies_at_the_readiness_address) {
    CrowdedFleet fleet(kLowMemory);
    const std::string head =
        "GET /ready HTTP/1.1\r\nContent-Length: " + std::to_string(kCallServerBodyBytes) + "\r\n\r\n";
    Crowd crowd(fleet.ready(1), plan(head, std::string(kChunkBytes, 'x'), kCallServerBodyBytes - 1));
    fleet.press(crowd, "proxy-1");
    BOOST_TEST(fleet.answers(fleet.ready(1), "/ready"));
    BOOST_TEST(fleet.serves());
}

BOOST_AUTO_TEST_CASE(bodies_at_control_that_stop_short_of_their_end) {
    CrowdedFleet fleet(kLowMemory);
    const std::string head =
        "PUT /config HTTP/1.1\r\nIf-Match: 1\r\nContent-Length: " + std::to_string(kCallServerBodyBytes) +
        "\r\n\r\n";
    Crowd crowd(fleet.control(1), plan(head, std::string(kChunkBytes, ' '), kCallServerBodyBytes - 1));
    fleet.press(crowd, "control-1");
    BOOST_TEST(fleet.answers(fleet.control(1), "/config"));
    BOOST_TEST(fleet.serves());
}

BOOST_AUTO_TEST_CASE(answers_of_control_that_are_not_read) {
    CrowdedFleet fleet(kLowMemory);
    // Some 100 KB of padding, sent back with each reading of the configuration.
    const std::string padded = replaced(replaced(read_example(), "\"version\": 1,", "\"version\": 2,"),
                                        "\"routes\": [", std::string(100'000, ' ') + "\"routes\": [");
    BOOST_REQUIRE(fleet.replace(padded, 1) == 200);
    std::string many;
    for (int i = 0; i < 40; ++i) many += "GET /config HTTP/1.1\r\n\r\n";
    CrowdPlan made = plan(many, "", 0);
    made.reads = false, made.receive_buffer = kSmallReceiveBuffer;
    Crowd crowd(fleet.control(1), made);
    fleet.press(crowd, "control-1");
    BOOST_TEST(fleet.answers(fleet.control(1), "/config"));
    BOOST_TEST(fleet.serves());
}

// A text of 8 MB with four million values: in memory a value takes many times its text.
BOOST_AUTO_TEST_CASE(configurations_of_millions_of_values) {
    CrowdedFleet fleet(kLowMemory);
    const std::string start = R"({"version":9,"routes":[)";
    CrowdPlan made = plan("PUT /config HTTP/1.1\r\nIf-Match: 1\r\nContent-Length: " +
                              std::to_string(kCallServerBodyBytes) + "\r\n\r\n" + start,
                          "1,", kCallServerBodyBytes - start.size());
    made.clients = 2, made.connections = 1;
    Crowd crowd(fleet.control(1), made);
    fleet.press(crowd, "control-1");
    BOOST_TEST(fleet.answers(fleet.control(1), "/config"));
    BOOST_TEST(fleet.serves());
}
