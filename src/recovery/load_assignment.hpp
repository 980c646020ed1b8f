// Where the load of each shard goes: a division over the servers that are left, by the flow of least cost
// (LEMON's network simplex). A server's room is cut into bands that cost more the fuller it is, so that the
// fullest is as little full as may be; distance costs as much as its share of a band. What finds no room is
// told by shard. Pure.
#pragma once
#include "recovery/types.hpp"

namespace ivyrill::recovery {

struct AssignmentServer {
    std::string name;
    SiteName site;
    std::vector<int> shards;
    double capacity = 0; // parts a second
};

struct AssignmentInput {
    std::vector<AssignmentServer> servers;
    std::map<int, double> shards;                          // parts a second that each asks for
    std::map<SiteName, double> origins;                    // share of the demand that comes up at each site
    std::map<std::pair<SiteName, SiteName>, double> costs; // of distance, 0 to 1; not named: 0
    std::map<std::pair<SiteName, SiteName>, double> links; // parts a second between two sites; not named: any
};

struct LoadAssignment {
    std::map<std::string, double> load;        // of each server, parts a second
    std::map<std::string, double> utilization; // load over room
    std::map<int, double> served_share;        // share of each shard's demand that finds room
    std::map<std::pair<int, SiteName>, double>
        by_site; // of each shard's demand, share that goes to each site
    std::map<std::pair<SiteName, SiteName>, double> links; // parts a second
    double max_utilization = 0;
};

LoadAssignment assign_load(const AssignmentInput& input);
// For comparison: each shard over its replicas by their room, nobody looking at the others.
LoadAssignment assign_by_capacity(const AssignmentInput& input);
// ... and by water filling, shard by shard in turn until nothing moves.
LoadAssignment assign_by_water_filling(const AssignmentInput& input, int rounds = 50);

} // namespace ivyrill::recovery
