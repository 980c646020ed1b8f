// Assigns the load of each shard to the remaining servers by a minimum-cost flow (LEMON's network simplex).
// A server's capacity is split into bands of rising cost, which minimizes the highest utilization; distance
// adds a cost in proportion to one band. Load that exceeds the capacity is reported by shard. Pure.
#pragma once
#include "recovery/types.hpp"

namespace ivyrill::recovery {

struct AssignmentServer {
    std::string name;
    SiteName site;
    std::vector<int> shards;
    double capacity = 0; // parts per second
};

struct AssignmentInput {
    std::vector<AssignmentServer> servers;
    std::map<int, double> shards;                          // demand of each, parts per second
    std::map<SiteName, double> origins;                    // share of the demand that originates at each site
    std::map<std::pair<SiteName, SiteName>, double> costs; // of distance, 0 to 1; absent: 0
    std::map<std::pair<SiteName, SiteName>, double>
        links; // capacity between two sites, parts per second; absent: unlimited
};

struct LoadAssignment {
    std::map<std::string, double> load;                 // of each server, parts per second
    std::map<std::string, double> utilization;          // load / capacity of each server
    std::map<int, double> served_share;                 // share of each shard's demand that is assigned
    std::map<std::pair<int, SiteName>, double> by_site; // share of each shard's demand that goes to each site
    std::map<std::pair<SiteName, SiteName>, double> links; // load, parts per second
    double max_utilization = 0;
};

LoadAssignment assign_load(const AssignmentInput& input);
// For comparison: divides each shard over its replicas in proportion to their capacity, ignoring the load of
// other shards.
LoadAssignment assign_by_capacity(const AssignmentInput& input);
// For comparison: water filling, one shard after another, repeated `rounds` times.
LoadAssignment assign_by_water_filling(const AssignmentInput& input, int rounds = 50);

} // namespace ivyrill::recovery
