// How much is asked of a service's servers that read prompts and of those that run them, from their reports
// and from the demand of all edge nodes. What is short, and of what, is judged by these figures alone. Pure.
#pragma once
#include "model/instance.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ivyrill::duties {

// One server of a service with stages, as it is now.
struct StagedServer {
    std::string id, address, zone;
    model::Stage stage = model::Stage::kNone; // that it has, or that it changes to
    bool changing = false;
    bool reported = false; // its load is not too old (ReportAges)
    double slots = 1, running = 0, waiting = 0;
    double memory_share = 0; // that can't give way
    std::int64_t orders_taken = 0;
};

// The servers of one stage that were reported on.
struct StageSide {
    std::vector<const StagedServer*> servers;
    double slots = 0;
    std::size_t largest_zone = 0; // servers in it; 0 where all are in one zone
    std::size_t count() const { return servers.size(); }
    std::size_t left_without_a_zone() const { return servers.size() - largest_zone; }
};

// The result points into `servers`.
StageSide side_of(const std::vector<StagedServer>& servers, model::Stage stage);
// Whether enough of them are reported on to judge by.
bool are_known(const std::vector<StagedServer>& servers);

// Shares of what the side can do; above 1 where more waits. From kShortOfServers on it is short of servers.
double use_of_readers(const StageSide& readers, const model::ServiceDemand& demand);
double use_of_runners(const StageSide& runners, const model::ServiceDemand& demand);
// What would be asked of `left` runners if they read no prompt themselves.
double asked_of_runners(const StageSide& runners, const model::ServiceDemand& demand, std::size_t left);

inline constexpr double kShortOfServers = 0.5;

} // namespace ivyrill::duties
