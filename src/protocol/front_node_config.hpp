// Reads the front node's settings from a flat map of dotted paths to values into typed configuration. The
// simulator's first message already has this form; a front node's JSON configuration is flattened into it.
#pragma once
#include "search_scheduler.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::protocol {

using PathValues = std::map<std::string, std::string, std::less<>>;

// The configuration of the network layer, and that of the scheduler in `scheduler`.
struct FrontNodeConfig {
    SchedulerConfig scheduler;
    int max_concurrent_searches_and_parts = 0; // 0: no limit
    int max_parts_per_call = 1;
    int max_calls_per_connection = 1; // concurrent calls per connection
    int shards = 0;
    Ticks idle_timeout = 0;  // after which the index server closes an idle connection, 0: never
    Ticks watch_timeout = 0; // list changes count as delivered to a node that has not polled for this long
    std::vector<std::string> request_classes, tenants, zones, server_kinds;
};

// Replaces spaces and commas by _; applied wherever a name of the settings is read or looked up.
std::string sanitize_name(std::string_view name);

SchedulerConfig read_scheduler_config(const PathValues& settings, std::uint64_t seed);
FrontNodeConfig read_front_node_config(const PathValues& settings, std::uint64_t seed);

} // namespace ivyrill::protocol
