// Types shared by site monitoring, failover planning and load shedding. Sites, servers, request classes and
// tenants are identified by name, because front nodes exchange these values and number them differently.
// Times are tenths of a millisecond, rates are per second, work is counted in parts of searches.
#pragma once
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ivyrill::recovery {

using SiteName = std::string;

// State of a site as seen by one front node.
enum class SiteState {
    kHealthy,
    kDegraded,    // a large share of its servers fails; it still takes part in replica selection
    kPartitioned, // unreachable from this front node, but front nodes of other sites reach it
    kLost,        // unreachable from all sites
    kRecovering,  // answers again; gets trial traffic only until the return delay has passed
    kRampingUp    // its share of the traffic is raised in steps
};
const char* name_of(SiteState state);
std::optional<SiteState> site_state_named(const std::string& name);
inline bool is_unavailable(SiteState state) {
    return state == SiteState::kPartitioned || state == SiteState::kLost || state == SiteState::kRecovering;
}

// An index server as the discovery list describes it.
struct ListedServer {
    SiteName site;
    std::vector<int> shards;
    double capacity_weight = 1; // relative capacity (the list's weight)
    bool live = true, draining = false;
    Ticks started = 0; // start of the server, wall time; 0: unknown or long ago
};

// Request class and tenant; the tenant is empty where it is unknown.
using TrafficClass = std::pair<std::string, std::string>;

struct RequestClassInfo {
    double utility = 1;            // of a complete answer in time
    double min_answer_weight = 1;  // of a partial answer
    double full_answer_weight = 1; // weight of a complete answer
    double late_utility_ratio = 0; // share of the utility that a late answer earns
    Ticks latency_target = 0;
    bool at_most_once = false; // must not be executed twice
};

// What a front node counted about one index server since the last read.
struct ServerCounts {
    std::uint32_t answered = 0;   // attempts and probes with any reply, including errors
    std::uint32_t unanswered = 0; // timed out, not connected or connection broken
    std::uint32_t good = 0;       // successful attempts
    Ticks response_time = 0;      // sum over the successful attempts
    Ticks oldest_outstanding = 0; // send time of the oldest attempt without a reply; 0: none
    // From the server's load reports.
    double max_busy = 0;            // most parts in progress while others were queued
    std::uint32_t idle_answers = 0; // answers while nothing was queued
    Ticks idle_response_time = 0;   // sum over these answers
};
struct RequestClassCounts {
    std::uint32_t asked = 0, delivered = 0, in_time = 0, rejected = 0, failed = 0;
    std::uint64_t parts = 0;
};
struct TrafficCounts {
    std::map<std::string, ServerCounts> servers;
    std::map<TrafficClass, RequestClassCounts> classes;
    std::uint64_t attempts = 0, searches = 0;
    std::map<int, std::uint64_t> shards; // parts requested of each shard
    void add(const TrafficCounts& other);
};

// Demand of one front node or of the whole fleet.
struct Demand {
    struct Row {
        double searches = 0; // per second
        double parts = 1;    // per search
    };
    std::map<TrafficClass, Row> rows;
    std::map<int, double> shards; // share of all parts that each shard gets
    // Parts per second.
    double parts() const {
        double sum = 0;
        for (const auto& [key, row] : rows) sum += row.searches * row.parts;
        return sum;
    }
};

} // namespace ivyrill::recovery
