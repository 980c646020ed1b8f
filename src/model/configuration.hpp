// The operator's configuration as all processes hold it: routes, services and client limits. The operator's
// JSON is converted once, in src/configuration/; between processes the configuration travels as CBOR.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace ivyrill::model {

// Retry safety and response form of a route's requests. Streaming responses are unsafe to retry unless their
// route is resumable.
enum class RouteKind : std::uint8_t { kSafe, kUnsafe, kStreaming };
constexpr RouteKind last_of(RouteKind) { return RouteKind::kStreaming; }

struct WeightedService {
    std::string service;
    double weight = 1;
    template <class Self> static auto tie(Self& s) { return std::tie(s.service, s.weight); }
    friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

struct Route {
    std::string name, host, path_prefix;
    RouteKind kind = RouteKind::kUnsafe;
    std::int64_t timeout_ms = 0, latency_target_ms = 0;
    std::int64_t priority = 0;             // 0 is the most urgent
    std::vector<WeightedService> services; // one, or a split by weight
    std::int64_t max_attempts = 1;         // times that one request may be sent to a server
    bool sticky = false, resumable = false;
    std::int64_t max_event_gap_ms = 0; // target for the longest time between two events of a stream; 0: none
    bool is_public = false;            // needs no API key
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.name, s.host, s.path_prefix, s.kind, s.timeout_ms, s.latency_target_ms, s.priority,
                        s.services, s.max_attempts, s.sticky, s.resumable, s.max_event_gap_ms, s.is_public);
    }
    friend bool operator==(const Route&, const Route&) = default;
    bool idempotent() const {
        return kind == RouteKind::kSafe || (kind == RouteKind::kStreaming && resumable);
    }
};

// Properties of a service's servers that run models.
struct Engine {
    std::int64_t slots = 1, memory_tokens = 0;
    double token_bytes = 0, link_mbps = 0; // memory of one token; bandwidth of a server's link
    std::int64_t stride = 1;               // tokens per event
    double kv_handle_hold_s = 0, stage_switch_s = 0;
    std::vector<std::string> models;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.slots, s.memory_tokens, s.token_bytes, s.link_mbps, s.stride, s.kv_handle_hold_s,
                        s.stage_switch_s, s.models);
    }
    friend bool operator==(const Engine&, const Engine&) = default;
};

// Limits on the number of servers per zone, for services that are autoscaled.
struct Scaling {
    std::int64_t min_count = 0, max_count = 0; // per zone
    double boot_time_s = 0;                    // from an order until a new server serves
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.min_count, s.max_count, s.boot_time_s);
    }
    friend bool operator==(const Scaling&, const Scaling&) = default;
};

struct Service {
    std::string name, health_path;
    std::int64_t connection_limit = 0; // connections that one server accepts from all callers together
    std::optional<Engine> engine;
    std::optional<Scaling> scaling;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.name, s.health_path, s.connection_limit, s.engine, s.scaling);
    }
    friend bool operator==(const Service&, const Service&) = default;
};

struct ClientLimits {
    std::int64_t max_header_bytes = 16 * 1024, max_body_bytes = 4 * 1024 * 1024;
    std::int64_t header_timeout_ms = 3000, idle_timeout_ms = 15000;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.max_header_bytes, s.max_body_bytes, s.header_timeout_ms, s.idle_timeout_ms);
    }
    friend bool operator==(const ClientLimits&, const ClientLimits&) = default;
};

// A tenant, identified by the API keys that its requests carry.
struct Tenant {
    std::string name;
    std::vector<std::string> api_keys;
    std::optional<std::int64_t> priority; // 0 is the most urgent; overrides the route's priority
    template <class Self> static auto tie(Self& s) { return std::tie(s.name, s.api_keys, s.priority); }
    friend bool operator==(const Tenant&, const Tenant&) = default;
};

struct Configuration {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    ClientLimits limits;
    std::optional<std::vector<Tenant>> tenants; // none: requests need no key
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.version, s.routes, s.services, s.limits, s.tenants);
    }
    friend bool operator==(const Configuration&, const Configuration&) = default;
};

} // namespace ivyrill::model
