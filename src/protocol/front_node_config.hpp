// The one reading of the settings: paths and plain values in, typed terms out. The simulator's first message
// comes as such paths already; a front node's configuration is flattened into them.
#pragma once
#include "search_scheduler.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::protocol {

using PathValues = std::map<std::string, std::string, std::less<>>;

// What the network side has to keep, beside what the module is told.
struct FrontNodeConfig {
    SchedulerConfig opening;
    int max_open = 0;                 // searches and parts held at once, 0: no limit
    int batch = 1;                    // parts in one call
    int max_calls_per_connection = 1; // ... carried at once
    int shards = 0;
    Tenths idle_timeout = 0;  // the index server closes an idle connection after this, 0: never
    Tenths watch_timeout = 0; // without a watch for so long, news counts as told
    std::vector<std::string> request_classes, tenants, zones, kinds;
};

// Spaces and commas become _ wherever a name of the settings is read or looked up.
std::string sanitize_name(std::string_view name);

SchedulerConfig read_scheduler_config(const PathValues& settings, std::uint64_t seed);
FrontNodeConfig read_front_node_config(const PathValues& settings, std::uint64_t seed);

} // namespace ivyrill::protocol
