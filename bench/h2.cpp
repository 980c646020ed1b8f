// `make measure NAME=h2`: compares one HTTP/2 connection with many HTTP/1.1 connections, drains under load,
// and measures a regular client during each kind of attack. The outcome of each search is checked. The last
// line is one JSON object; the exit status is 1 if a guarantee is violated.
#include "lab/front_node_fixture.hpp"
#include "lab/h2_client.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <iostream>
#include <nghttp2/nghttp2.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace ivyrill::lab {

namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::ordered_json;

constexpr int kDrains = 5, kDrainStreams = 100, kVictimSearches = 1000, kConcurrency = 24,
              kRateSearches = 18'000;
constexpr double kMaxVictimRatio = 1.25, kMinRateRatio = 1.3;

double millis(Clock::duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

struct Counts {
    std::atomic<std::uint64_t> searches = 0, duplicate_answers = 0, lost = 0;
};

SearchRequest ask_for(const std::string& id, std::size_t answer = 4) {
    SearchRequest request{id};
    request.query = std::string(answer, 'x');
    return request;
}

void count(const H2Answer& answer, Counts& counts) {
    ++counts.searches;
    if (answer.answers > 1) ++counts.duplicate_answers;
    if (answer.answers == 0 || !answer.ended) ++counts.lost;
}

// Sends `searches` searches on one connection, `at_once` of them concurrently.
void search_h2(const FrontNodeFixture& fixture, const std::string& name, int searches, int at_once,
               Counts& counts) {
    H2Client client(fixture.h2_address());
    std::vector<std::int32_t> open;
    for (int sent = 0, done = 0; done < searches;) {
        while (sent < searches && static_cast<int>(open.size()) < at_once) {
            SearchRequest request = ask_for(name + std::to_string(sent++));
            request.shard = sent % 2;
            open.push_back(client.request(search_fields(request), search_body(request)));
        }
        if (!client.step()) throw std::runtime_error("the connection ended");
        std::erase_if(open, [&](std::int32_t stream) {
            if (!client.answer(stream).closed) return false;
            count(client.answer(stream), counts), ++done;
            return true;
        });
    }
}

void search_h1(const FrontNodeFixture& fixture, const std::string& name, int searches, int at_once,
               Counts& counts) {
    std::vector<std::jthread> threads;
    for (int i = 0; i < at_once; ++i)
        threads.emplace_back([&, i] {
            Client client(fixture.plain_address());
            for (int n = i; n < searches; n += at_once) {
                SearchRequest request = ask_for(name + std::to_string(n));
                request.shard = n % 2;
                client.send_bytes(search_bytes(request));
                client.answer();
                ++counts.searches;
            }
        });
}

std::vector<double> measure_regular_client(const FrontNodeFixture& fixture, const std::string& name,
                                           Counts& counts) {
    H2Client client(fixture.h2_address());
    std::vector<double> times;
    for (int i = 0; i < kVictimSearches; ++i) {
        const SearchRequest request = ask_for(name + std::to_string(i));
        const auto started = Clock::now();
        const auto stream = client.request(search_fields(request), search_body(request));
        count(client.await(stream), counts);
        times.push_back(millis(Clock::now() - started));
    }
    std::ranges::sort(times);
    return times;
}

struct Attack {
    const char* name;
    bool ends; // the server must close its connection
    std::function<void(H2Client&, int)> execute;
    H2Client::Plan plan = {};
};

std::string next_id() {
    static std::atomic<int> number = 0;
    return "attack" + std::to_string(++number);
}

std::vector<Attack> attacks() {
    static const std::string ping_payload(8, 'p'), priority("\0\0\0\0\0", 5);
    return {
        {"closed-window",
         false,
         [](H2Client& c, int i) {
             if (i < 60) {
                 const SearchRequest request = ask_for(next_id(), 8000);
                 c.request(search_fields(request), search_body(request));
             }
             c.round_trip();
             std::this_thread::sleep_for(std::chrono::milliseconds(20)); // paces the attack
         },
         {false, 0}},
        {"one-byte-window",
         false,
         [](H2Client& c, int i) {
             const SearchRequest request = ask_for(next_id(), 8000);
             if (i == 0) c.request(search_fields(request), search_body(request));
             c.open_window(1, 1);
             c.step();
         },
         {false, 0}},
        {"rapid-reset", true,
         [](H2Client& c, int i) {
             if (i % 50 == 0) c.round_trip(); // reads, so that it notices GOAWAY
             const SearchRequest request = ask_for(next_id());
             c.reset(c.request(search_fields(request), search_body(request)));
         }},
        {"ping", true, [](H2Client& c, int) { c.raw(raw_frame(NGHTTP2_PING, 0, 0, ping_payload)); }},
        {"settings", true, [](H2Client& c, int) { c.raw(raw_frame(NGHTTP2_SETTINGS, 0, 0, {})); }},
        {"priority", true, [](H2Client& c, int) { c.raw(raw_frame(NGHTTP2_PRIORITY, 0, 1, priority)); }},
        {"continuation", true,
         [](H2Client& c, int i) {
             if (i == 0) c.raw(raw_frame(NGHTTP2_HEADERS, 0, 1, "\x83"));
             c.raw(raw_frame(NGHTTP2_CONTINUATION, 0, 1, std::string(1000, '\x84')));
         }},
        {"large-fields", true,
         [](H2Client& c, int) {
             H2Client::Fields fields = search_fields(ask_for("x"));
             for (int i = 0; i < 10; ++i) fields.emplace_back("x-long", std::string(3000, 'a'));
             c.await(c.request(fields, {}));
         }},
    };
}

// The attacker reconnects each time its connection is closed.
ordered_json attack_while(const FrontNodeFixture& fixture, const Attack& attack,
                          const std::function<void()>& work) {
    std::atomic<bool> stop = false;
    std::uint64_t connections = 0, ended = 0, operations = 0;
    std::jthread attacker([&] {
        while (!stop) {
            try {
                H2Client client(Client(fixture.h2_address(), 300), attack.plan);
                ++connections;
                for (int i = 0; !stop && !client.ended; ++i) attack.execute(client, i), ++operations;
                client.await_end(); // reads what the server sent, GOAWAY included
                ended += client.goaways > 0 ? 1 : 0;
            } catch (const std::exception&) { ++ended; }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    });
    work();
    stop = true;
    attacker.join();
    return {{"connections", connections}, {"ended_by_us", ended}, {"deeds", operations}};
}

int measure() {
    Counts counts;
    const auto started = Clock::now();
    const auto progress = [&](const std::string& what) {
        std::cerr << static_cast<int>(millis(Clock::now() - started)) << " ms: " << what << "\n";
    };
    ordered_json line, attack_results;
    double worst = 0, per_blocked = 0;
    std::string worst_name;
    std::size_t max_attempts = 0;
    bool attacks_stopped = true;
    {
        FrontNodeFixture fixture({2, Idempotency::kIdempotent, true, {}, 512});
        measure_regular_client(fixture, "warm", counts);
        std::vector<double> baseline;
        for (int round = 0; round < 2; ++round) { // the baseline is the mean of two runs
            const auto times = measure_regular_client(fixture, "calm" + std::to_string(round), counts);
            baseline.push_back(times[times.size() * 99 / 100]);
        }
        const double baseline_p99 = (baseline[0] + baseline[1]) / 2;
        line["victim_calm_p99_ms"] = baseline_p99;
        for (const Attack& attack : attacks()) {
            progress(attack.name);
            std::vector<double> times;
            ordered_json outcome = attack_while(fixture, attack, [&] {
                times = measure_regular_client(fixture, std::string(attack.name), counts);
            });
            const double ratio = times[times.size() * 99 / 100] / baseline_p99;
            outcome["victim_p50_ms"] = times[times.size() / 2], outcome["victim_p99_ratio"] = ratio;
            if (ratio > worst) worst = ratio, worst_name = attack.name;
            attacks_stopped = attacks_stopped && (!attack.ends || outcome["ended_by_us"] > 0);
            attack_results[attack.name] = outcome;
        }
        const std::uint64_t before = fixture.memory_kb();
        constexpr int kBlocked = 90;
        H2Client blocked(fixture.h2_address(), {false, 0});
        for (int i = 0; i < kBlocked; ++i) {
            const SearchRequest request = ask_for("held" + std::to_string(i), 8000);
            const auto stream = blocked.request(search_fields(request), search_body(request));
            while (blocked.answer(stream).status == 0 && blocked.step()) {}
        }
        const std::uint64_t after = fixture.memory_kb();
        per_blocked = static_cast<double>(after > before ? after - before : 0) / kBlocked;
        max_attempts = fixture.fleet.max_attempts();
    }
    progress("one connection against many");
    double h1_us = 0, h2_us = 0;
    {
        FrontNodeFixture fixture(
            {2, Idempotency::kIdempotent, true, "access[\"plain_port\"] = \"open\"\n", 512});
        for (int round = 0; round < 3; ++round) {
            std::uint64_t at = fixture.cpu_us();
            search_h1(fixture, "one" + std::to_string(round) + "-", kRateSearches / 3, kConcurrency, counts);
            h1_us += static_cast<double>(fixture.cpu_us() - at) / kRateSearches;
            at = fixture.cpu_us();
            search_h2(fixture, "two" + std::to_string(round) + "-", kRateSearches / 3, kConcurrency, counts);
            h2_us += static_cast<double>(fixture.cpu_us() - at) / kRateSearches;
        }
        max_attempts = std::max(max_attempts, fixture.fleet.max_attempts());
    }
    progress("drains");
    std::uint64_t drain_lost = 0;
    for (int drain = 0; drain < kDrains; ++drain) {
        FrontNodeFixture fixture({2, Idempotency::kNonIdempotent, true, {}, 512});
        H2Client client(fixture.h2_address());
        fixture.fleet.hold(true);
        std::vector<std::int32_t> streams;
        for (int i = 0; i < kDrainStreams; ++i) {
            SearchRequest request = ask_for("d" + std::to_string(i));
            request.request_class = "annotate";
            streams.push_back(client.request(search_fields(request), search_body(request)));
        }
        if (!fixture.fleet.await_attempt("d0.0"))
            ++drain_lost; // the first search must be in flight before the drain
        fixture.signal(SIGTERM);
        fixture.fleet.hold(false);
        for (const std::int32_t stream : streams) {
            const H2Answer& answer = client.await(stream);
            count(answer, counts);
            // Delivered or rejected: each stream gets exactly one final answer.
            const bool answered_once =
                answer.answers == 1 && answer.ended && (answer.status == 200 || answer.status == 503);
            drain_lost += answered_once ? 0 : 1;
        }
        client.await_end();
        drain_lost += fixture.exit_status() == 0 ? 0 : 1;
        max_attempts = std::max(max_attempts, fixture.fleet.max_attempts());
    }
    const double h1 = 1e6 / h1_us, h2 = 1e6 / h2_us;
    line["searches"] = counts.searches.load();
    line["doubled_launches"] = max_attempts > 1 ? max_attempts - 1 : 0;
    line["doubled_answers"] = counts.duplicate_answers.load();
    line["lost_searches"] = counts.lost.load();
    line["drains"] = kDrains, line["drain_lost"] = drain_lost;
    line["victim_p99_ratio"] = worst, line["worst_attack"] = worst_name, line["attacks"] = attack_results;
    line["memory_kb_per_blocked_stream"] = per_blocked;
    line["searches_per_core_s_h1"] = h1, line["searches_per_core_s_h2"] = h2, line["h2_over_h1"] = h2 / h1;
    line["connections_per_1000_searches"] = {{"h1", 1000.0 * kConcurrency * 3 / kRateSearches},
                                             {"h2", 1000.0 * 3 / kRateSearches}};
    std::cout << line.dump() << std::endl;
    const bool passed = max_attempts <= 1 && counts.duplicate_answers == 0 && counts.lost == 0 &&
                        drain_lost == 0 && worst <= kMaxVictimRatio && attacks_stopped &&
                        h2 / h1 >= kMinRateRatio;
    return passed ? 0 : 1;
}

} // namespace

} // namespace ivyrill::lab

int main() {
    try {
        return ivyrill::lab::measure();
    } catch (const std::exception& error) {
        std::cerr << "measure: " << error.what() << "\n";
        return 1;
    }
}
