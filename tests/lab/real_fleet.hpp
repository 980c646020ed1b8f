// The fleet of examples/fleet for tests: the leader, configuration changes, and requests to the fleet.
#pragma once
#include "lab/example_fleet.hpp"

#include <cstdint>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace ivyrill::lab {

inline constexpr int kControls = 3;
inline constexpr Ticks kConfigurationApplies =
    2 * kTicksPerSecond; // `configApplyMs` of examples/fleet/settings

struct RealFleet : ExampleFleet {
    explicit RealFleet(const PlatformSettings& platform = {}, const FleetLimits& limits = {})
        : ExampleFleet(IVYRILL_FLEET_RUN, IVYRILL_FLEET_BUILD, platform, limits) {}
    // The number of the control node that leads; 0 if none.
    int leader() {
        for (int number = 1; number <= kControls; ++number) {
            if (!running("control-" + std::to_string(number))) continue;
            ClientRequest inspect;
            inspect.method = "GET", inspect.target = "/inspect", inspect.model = "";
            if (ask(control(number), inspect).body.find("\"leads\":true") != std::string::npos) return number;
        }
        return 0;
    }
    // Sends the configuration to control node `first`, then to the following ones, until one
    // answers with a status below 500.
    int replace(const std::string& body, std::int64_t if_match, int first = 1) {
        ClientRequest call;
        call.method = "PUT", call.target = "/config", call.model = "", call.body = body;
        call.more = {{"If-Match", std::to_string(if_match)}, {"Content-Type", "application/json"}};
        int status = 0;
        until([&] {
            const ClientAnswer& answer = ask(control(first), call);
            status = answer.head.status, answered_at_ = answer.ended_at;
            first = first % kControls + 1;
            return status != 0 && status < 500;
        });
        return status;
    }
    // Repeats the request of `client` until it gets that status, or until the last change must be in force;
    // returns the last status.
    int status_by_apply_span(StreamClient& client, ClientRequest request, int wanted) {
        for (;;) {
            request.attempt = "a" + std::to_string(++asked_);
            client.send(request);
            if (!until([&] { return client.over(); })) return 0;
            const ClientAnswer& answer = client.answer();
            const bool in_force = answer.sent_at > answered_at_ + kConfigurationApplies;
            if (answer.head.status == wanted || in_force) return answer.head.status;
        }
    }

  private:
    Ticks answered_at_ = 0; // time of the last change
    int asked_ = 0;         // number of requests of status_by_apply_span
};

inline std::string read_example() {
    std::ifstream file(IVYRILL_FLEET_CONFIGURATION, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

inline std::string replaced(std::string text, const std::string& former, const std::string& fresh) {
    const std::size_t at = text.find(former);
    if (at == std::string::npos) throw std::runtime_error("the example holds no " + former);
    return text.replace(at, former.size(), fresh);
}

// The example with another version and one additional route.
inline std::string with_route(std::int64_t version, const std::string& prefix) {
    const std::string text =
        replaced(read_example(), "\"version\": 1,", "\"version\": " + std::to_string(version) + ",");
    const std::string route =
        R"({"name": "more", "host": "chat.example", "pathPrefix": ")" + prefix +
        R"(", "kind": "safe", "timeoutMs": 9000, "targetLatencyMs": 500, "priority": 0,)" +
        R"("service": "model", "maxAttempts": 2},)";
    return replaced(text, "\"routes\": [", "\"routes\": [" + route);
}

// The example with two tenants and one route that requires no key.
inline std::string with_tenants(std::int64_t version) {
    const std::string text =
        replaced(with_route(version, "/open/"), R"("name": "more",)", R"("name": "more", "public": true,)");
    return replaced(text, "\"routes\": [",
                    R"("tenants": [{"name": "alpha", "apiKeys": ["key-a1", "key-a2"], "priority": 6},)"
                    R"({"name": "beta", "apiKeys": ["key-b"], "priority": 7}], "routes": [)");
}

inline ClientRequest stream(const std::string& attempt, const std::string& prompt, int prompt_tokens,
                            int output_tokens) {
    ClientRequest request;
    request.target = "/chat/completions", request.host = "chat.example", request.attempt = attempt;
    request.token_counts = std::to_string(prompt_tokens) + "," + std::to_string(output_tokens);
    request.prompt_prefix = prompt + ":" + std::to_string(prompt_tokens - 10) + "," + attempt + ":10";
    request.deadline_ms = 15'000, request.body = "a prompt";
    return request;
}

} // namespace ivyrill::lab
