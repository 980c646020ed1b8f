// The whole fleet in real processes on loopback. Every wait is for a condition and has a timeout.
#define BOOST_TEST_MODULE fleet
#include "lab/model_server_world.hpp"
#include "lab/real_fleet.hpp"

#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace ivyrill;
using namespace ivyrill::lab;

void check_whole(const ClientAnswer& answer, const ClientRequest& request) {
    BOOST_TEST((answer.end == AnswerEnd::kComplete));
    BOOST_TEST(answer.head.status == 200);
    BOOST_TEST(answer.head.field("attempt-id") == request.attempt);
    BOOST_TEST(!answer.head.field("server-seal").empty());
    BOOST_TEST(answer.body == expected_stream(request));
}

struct ServerCall {
    std::string server, line; // as logged by the simulated server
};

// Log lines of all simulated servers for that attempt.
std::vector<ServerCall> calls_of(const RealFleet& fleet, const std::string& attempt) {
    std::vector<ServerCall> calls;
    for (const char* server : {"prefill-1", "prefill-2", "decode-1", "decode-2"}) {
        std::istringstream log(fleet.log(server));
        for (std::string line; std::getline(log, line);)
            if (line.starts_with("call attempt=" + attempt + " ")) calls.push_back({server, line});
    }
    return calls;
}

// `tenant`: empty: none.
void check_calls(const RealFleet& fleet, const std::string& attempt, const std::string& tenant) {
    const auto calls = calls_of(fleet, attempt);
    BOOST_TEST(!calls.empty(), attempt);
    const std::string priority = tenant == "alpha" ? " priority=6" : tenant == "beta" ? " priority=7" : "";
    for (const auto& [server, line] : calls) {
        const std::string end = (tenant.empty() ? "" : priority) + " tenant=" + tenant + " api_key=none";
        BOOST_TEST(line.ends_with(end), server << " got " << line);
    }
}

// The latest logged value of that counter of a proxy.
std::int64_t counter(const std::string& log, const std::string& name) {
    const std::size_t at = log.rfind(" " + name + "=");
    return at == std::string::npos ? 0 : std::stoll(log.substr(at + name.size() + 2));
}

// A configuration with one tenant: "chat" and "more" require a key, "draft" is public.
std::string with_tenant(std::int64_t version, const std::vector<std::string>& keys) {
    std::string list;
    for (const std::string& key : keys) list += (list.empty() ? "\"" : ",\"") + key + "\"";
    const std::string tenants = R"("tenants": [{"name": "kitchen", "apiKeys": [)" + list + R"(]}],)";
    std::string text = replaced(with_route(version, "/more/"), "\"limits\":", tenants + "\"limits\":");
    text = replaced(text, "{\"name\": \"chat\",", "{\"name\": \"chat\", \"public\": false,");
    return replaced(text, "{\"name\": \"draft\",", "{\"name\": \"draft\", \"public\": true,");
}

ClientRequest with_keys(ClientRequest request, const std::vector<std::string>& keys) {
    for (const std::string& key : keys) request.more.push_back({"Api-Key", key});
    return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(streams_are_exact_through_prefill_and_decode) {
    RealFleet fleet;
    // Distinct long prompts. The first one measures a decode server's prefill time; from then on a separate
    // prefill server pays off.
    for (int i = 0; i < 6; ++i) {
        const ClientRequest request =
            stream("ab" + std::to_string(i), "c0ffee" + std::to_string(i), 9000, 40);
        check_whole(fleet.ask(fleet.front(1), request), request);
    }
    const bool transferred = fleet.until([&] { return counter(fleet.log("proxy-1"), "hand_overs") > 0; });
    BOOST_TEST(transferred);
}

BOOST_AUTO_TEST_CASE(change_is_accepted_and_applied_after_the_leader_is_killed) {
    RealFleet fleet;
    int leader = 0;
    BOOST_REQUIRE(fleet.until([&] { return (leader = fleet.leader()) != 0; }));
    const std::string killed = "control-" + std::to_string(leader);
    fleet.signal(killed, SIGKILL);
    BOOST_REQUIRE(fleet.until([&] { return !fleet.running(killed); }));
    BOOST_TEST(fleet.replace(with_route(5, "/more/"), 1) == 200);
    for (int number = 1; number <= 2; ++number) {
        ClientRequest request = stream("e" + std::to_string(number), "f00d", 100, 8);
        request.target = "/more/x";
        const bool in_force =
            fleet.until([&] { return fleet.ask(fleet.front(number), request).head.status == 200; });
        BOOST_TEST(in_force, "proxy " << number);
    }
    const ClientRequest request = stream("ab1", "c0ffee", 200, 40);
    check_whole(fleet.ask(fleet.front(1), request), request);
}

BOOST_AUTO_TEST_CASE(second_change_of_a_version_gets_412_and_a_repeated_first_one_200) {
    RealFleet fleet;
    const std::string first = with_route(5, "/more/"), second = with_route(5, "/other/");
    BOOST_TEST(fleet.replace(first, 1) == 200);
    for (int number = 1; number <= kControls; ++number) {
        BOOST_TEST(fleet.replace(second, 1, number) == 412, "at " << number);
        BOOST_TEST(fleet.replace(with_route(9, "/other/"), 4, number) == 412, "at " << number);
        BOOST_TEST(fleet.replace(first, 1, number) == 200, "at " << number);
        const int invalid = fleet.replace("{\"version\": 9}", 5, number);
        BOOST_TEST((invalid >= 400 && invalid < 500), "at " << number);
    }
    BOOST_TEST(fleet.replace(with_route(9, "/other/"), 5) == 200);
    BOOST_TEST(fleet.replace(first, 1) == 200); // also after a later change
    ClientRequest read;
    read.method = "GET", read.target = "/config", read.model = "";
    for (int number = 1; number <= kControls; ++number)
        BOOST_TEST(fleet.ask(fleet.control(number), read).body == with_route(9, "/other/"));
}

BOOST_AUTO_TEST_CASE(open_stream_is_completed_when_its_proxy_shuts_down) {
    RealFleet fleet;
    const ClientRequest request = stream("ab1", "c0ffee", 100, 320);
    StreamClient& client = fleet.client(fleet.front(1));
    client.send(request);
    BOOST_REQUIRE(fleet.until([&] { return client.answer().events.size() >= 3; }));
    fleet.signal("proxy-1", SIGTERM);
    BOOST_REQUIRE(
        fleet.until([&] { return fleet.log("proxy-1").find("event=ending") != std::string::npos; }));
    BOOST_TEST(!client.over()); // still running
    ClientRequest ready;
    ready.method = "GET", ready.target = "/ready", ready.model = "";
    BOOST_TEST(fleet.ask(fleet.address(21, 8268), ready).head.status == 503);
    BOOST_TEST(fleet.ask(fleet.address(22, 8268), ready).head.status == 200);
    // The platform has not removed the node yet. Requests that end before it are served; those that might be
    // cut off by its end are rejected at once.
    ClientRequest late = stream("ab2", "c0ffee", 100, 40);
    late.deadline_ms = 4000;
    check_whole(fleet.ask(fleet.front(1), late), late);
    ClientRequest too_late = stream("ab4", "c0ffee", 100, 40);
    too_late.deadline_ms = 20'000;
    const ClientAnswer refused = fleet.ask(fleet.front(1), too_late);
    BOOST_TEST(refused.head.status == 503);
    BOOST_TEST(!refused.head.field("retry-after").empty());
    BOOST_TEST(!client.over());
    BOOST_TEST(fleet.until([&] { return client.over(); }));
    check_whole(client.answer(), request);
    BOOST_TEST(fleet.until([&] { return !fleet.running("proxy-1"); }));
    BOOST_TEST(fleet.log("proxy-1").find("event=ended") != std::string::npos);
    const ClientRequest elsewhere = stream("ab3", "c0ffee", 100, 40);
    check_whole(fleet.ask(fleet.front(2), elsewhere), elsewhere);
}

BOOST_AUTO_TEST_CASE(server_never_sees_a_key_or_a_wrong_tenant) {
    struct Case {
        std::string attempt, target;
        std::vector<HttpField> sent;
        std::string tenant; // expected at servers
    };
    const std::vector<Case> cases{
        {"c1", "/chat/x", {{"Api-Key", "key-a1"}}, "alpha"},
        {"c2", "/chat/x", {{"Api-Key", "key-a2"}}, "alpha"},
        {"c3", "/chat/x", {{"Api-Key", "key-b"}, {"Tenant", "alpha"}}, "beta"},
        {"c4", "/chat/x", {{"TENANT", "alpha"}, {"tenant", "x"}, {"API-KEY", "key-b"}}, "beta"},
        {"c5", "/chat/x", {{"Connection", "Tenant"}, {"Api-Key", "key-b"}}, "beta"},
        {"c6", "/draft/x", {{"Api-Key", "key-b"}, {"Tenant", "alpha"}}, "beta"},
        {"c7", "/open/x", {{"Tenant", "alpha"}}, ""},
        {"c8", "/open/x", {{"Api-Key", "of-nobody"}, {"Tenant", "alpha"}}, ""}};
    RealFleet fleet;
    BOOST_REQUIRE(fleet.replace(with_tenants(5), 1) == 200);
    BOOST_REQUIRE(fleet.until(
        [&] { return fleet.log("proxy-1").find("event=configuration version=5") != std::string::npos; }));
    for (const Case& one : cases) {
        ClientRequest request = stream(one.attempt, "f00d", 100, 8);
        request.target = one.target, request.more = one.sent;
        check_whole(fleet.ask(fleet.front(1), request), request);
        fleet.until([&] { return !calls_of(fleet, one.attempt).empty(); });
        check_calls(fleet, one.attempt, one.tenant);
    }
    // With a separate prefill server.
    for (int i = 0; i < 6; ++i) {
        ClientRequest request = stream("d" + std::to_string(i), "c0ffee" + std::to_string(i), 9000, 40);
        request.more = {{"Api-Key", "key-b"}, {"Tenant", "alpha"}};
        check_whole(fleet.ask(fleet.front(1), request), request);
        check_calls(fleet, request.attempt, "beta");
    }
    BOOST_TEST(fleet.log("prefill-1").append(fleet.log("prefill-2")).find(" stage=prefill ") !=
               std::string::npos);
    // Resumed at another server after its own is killed.
    ClientRequest lost = stream("e0", "f00d", 100, 320);
    lost.more = {{"Api-Key", "key-b"}, {"Tenant", "alpha"}};
    StreamClient& client = fleet.client(fleet.front(1));
    client.send(lost);
    BOOST_REQUIRE(fleet.until([&] { return client.answer().events.size() >= 3; }));
    fleet.signal(calls_of(fleet, lost.attempt).at(0).server, SIGKILL);
    BOOST_REQUIRE(fleet.until([&] { return client.over(); }));
    check_whole(client.answer(), lost);
    BOOST_TEST(calls_of(fleet, lost.attempt).size() >= 2U);
    check_calls(fleet, lost.attempt, "beta");
}

BOOST_AUTO_TEST_CASE(request_without_a_known_key_gets_401_and_reaches_no_server) {
    RealFleet fleet;
    const std::string key = "jsmzzyyjsg3ajwyy7yx5";
    const ClientRequest before = stream("b1", "c0ffee", 200, 8);
    check_whole(fleet.ask(fleet.front(1), before), before); // no tenants configured, no key required
    BOOST_REQUIRE(fleet.replace(with_tenant(5, {key}), 1) == 200);
    for (int number = 1; number <= 2; ++number) {
        ClientRequest request = with_keys(stream("f" + std::to_string(number), "f00d", 100, 8), {key});
        request.target = "/more/x";
        BOOST_REQUIRE(
            fleet.until([&] { return fleet.ask(fleet.front(number), request).head.status == 200; }));
    }
    std::size_t split = 0;
    for (int i = 0; i < 6; ++i) { // long prompts, like the refused ones below
        const std::string number = std::to_string(i);
        const ClientRequest known = with_keys(stream("ab" + number, "c0ffee" + number, 9000, 40), {key});
        check_whole(fleet.ask(fleet.front(1), known), known);
        const std::vector<ServerCall> calls = calls_of(fleet, known.attempt);
        BOOST_TEST(!calls.empty());
        split += calls.size() > 1 ? 1 : 0;
    }
    BOOST_TEST(split > 0);
    const std::vector<std::pair<std::string, std::vector<std::string>>> refused{
        {"no key", {}},
        {"an unknown key", {"x42q492cqf75rjvz48wu"}},
        {"an empty key", {""}},
        {"a key of 4 KiB", {std::string(4096, 'k')}},
        {"the beginning of a key", {key.substr(0, key.size() - 1)}},
        {"the known key in other letters", {"JSMZZYYJSG3AJWYY7YX5"}},
        {"a known and an unknown key", {key, "x42q492cqf75rjvz48wu"}},
        {"an unknown and a known key", {"x42q492cqf75rjvz48wu", key}},
    };
    for (std::size_t i = 0; i < refused.size(); ++i) {
        const std::string number = std::to_string(i);
        const auto& [what, keys] = refused[i];
        const ClientRequest request = with_keys(stream("cd" + number, "facade" + number, 9000, 40), keys);
        const ClientAnswer answer = fleet.ask(fleet.front(1), request);
        BOOST_TEST(answer.head.status == 401, what << ": status " << answer.head.status);
        BOOST_TEST(answer.head.field("attempt-id") == request.attempt, what);
        for (const auto& [server, line] : calls_of(fleet, request.attempt))
            BOOST_TEST(false, what << ": " << server << " got " << line);
    }
    ClientRequest open = stream("b2", "c0ffee", 200, 8);
    open.target = "/draft/x";
    check_whole(fleet.ask(fleet.front(1), open), open);
    const ClientRequest known = with_keys(stream("b3", "c0ffee", 200, 8), {key});
    check_whole(fleet.ask(fleet.front(2), known), known);
}

BOOST_AUTO_TEST_CASE(revoked_key_gets_401_on_open_connections_and_a_new_key_is_served) {
    RealFleet fleet;
    const ClientRequest request = stream("b0", "c0ffee", 100, 4);
    BOOST_TEST(fleet.replace(with_tenant(5, {"kept", "withdrawn"}), 1) == 200);
    std::vector<StreamClient*> clients;
    for (int number = 1; number <= 2; ++number) {
        clients.push_back(&fleet.client(fleet.front(number)));
        BOOST_TEST(fleet.status_by_apply_span(*clients.back(), with_keys(request, {"added"}), 401) == 401);
        const ClientRequest without_key = stream("b" + std::to_string(number), "c0ffee", 100, 4);
        BOOST_TEST(fleet.ask(fleet.front(number), without_key).head.status == 401);
        clients.back() = &fleet.client(fleet.front(number));
        BOOST_TEST(fleet.status_by_apply_span(*clients.back(), with_keys(request, {"withdrawn"}), 200) ==
                   200);
    }
    BOOST_TEST(fleet.replace(with_tenant(6, {"kept", "added"}), 5) == 200);
    for (int number = 1; number <= 2; ++number) {
        StreamClient& open = *clients[number - 1];
        BOOST_REQUIRE(open.connected());
        BOOST_TEST(fleet.status_by_apply_span(open, with_keys(request, {"withdrawn"}), 401) == 401);
        StreamClient& others = fleet.client(fleet.front(number));
        BOOST_TEST(fleet.status_by_apply_span(others, with_keys(request, {"added"}), 200) == 200);
        BOOST_TEST(fleet.status_by_apply_span(others, with_keys(request, {"kept"}), 200) == 200);
    }
}

BOOST_AUTO_TEST_CASE(stream_with_a_revoked_key_is_not_resumed) {
    RealFleet fleet;
    BOOST_REQUIRE(fleet.replace(with_tenant(5, {"kept", "withdrawn"}), 1) == 200);
    const ClientRequest probe = stream("b0", "c0ffee", 100, 4);
    StreamClient& prober = fleet.client(fleet.front(1));
    BOOST_REQUIRE(fleet.status_by_apply_span(prober, with_keys(probe, {"withdrawn"}), 200) == 200);
    const ClientRequest request = with_keys(stream("e0", "f00d", 100, 1280), {"withdrawn"});
    StreamClient& client = fleet.client(fleet.front(1));
    client.send(request);
    BOOST_REQUIRE(fleet.until([&] { return client.answer().events.size() >= 3; }));
    BOOST_REQUIRE(fleet.replace(with_tenant(6, {"kept"}), 5) == 200);
    BOOST_REQUIRE(fleet.status_by_apply_span(prober, with_keys(probe, {"withdrawn"}), 401) == 401);
    BOOST_REQUIRE(!client.over());
    fleet.signal(calls_of(fleet, request.attempt).at(0).server, SIGKILL);
    BOOST_REQUIRE(fleet.until([&] { return client.over(); }));
    BOOST_TEST((client.answer().end == AnswerEnd::kCut));
    BOOST_TEST(expected_stream(request).starts_with(client.answer().body));
    BOOST_TEST(calls_of(fleet, request.attempt).size() == 1U);
}

BOOST_AUTO_TEST_CASE(stream_with_a_revoked_key_is_resumed_on_a_now_public_route) {
    RealFleet fleet;
    BOOST_REQUIRE(fleet.replace(with_tenant(5, {"kept", "withdrawn"}), 1) == 200);
    const ClientRequest probe = stream("b0", "c0ffee", 100, 4);
    StreamClient& prober = fleet.client(fleet.front(1));
    BOOST_REQUIRE(fleet.status_by_apply_span(prober, with_keys(probe, {"withdrawn"}), 200) == 200);
    const ClientRequest request = with_keys(stream("e0", "f00d", 100, 1280), {"withdrawn"});
    StreamClient& client = fleet.client(fleet.front(1));
    client.send(request);
    BOOST_REQUIRE(fleet.until([&] { return client.answer().events.size() >= 3; }));
    const std::string open = replaced(with_tenant(6, {"kept"}), "{\"name\": \"chat\", \"public\": false,",
                                      "{\"name\": \"chat\", \"public\": true,");
    BOOST_REQUIRE(fleet.replace(open, 5) == 200);
    StreamClient& unknown = fleet.client(fleet.front(1));
    BOOST_REQUIRE(fleet.status_by_apply_span(unknown, probe, 200) == 200);
    BOOST_REQUIRE(!client.over());
    fleet.signal(calls_of(fleet, request.attempt).at(0).server, SIGKILL);
    BOOST_REQUIRE(fleet.until([&] { return client.over(); }));
    check_whole(client.answer(), request);
}
