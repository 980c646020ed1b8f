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
    bool reported = false; // its load is not too old (ReportFreshness)
    double slots = 1, running = 0, waiting = 0;
    double memory_share = 0; // that can't give way
    std::int64_t orders_accepted = 0;
};

// The servers of one stage that were reported on.
struct StagePool {
    std::vector<const StagedServer*> servers;
    double slots = 0;
    std::size_t largest_zone = 0; // servers in it; 0 where all are in one zone
    std::size_t count() const { return servers.size(); }
    std::size_t count_after_zone_loss() const { return servers.size() - largest_zone; }
};

// The result points into `servers`.
StagePool pool_of(const std::vector<StagedServer>& servers, model::Stage stage);
// Whether enough of them are reported on to judge by.
bool has_enough_reports(const std::vector<StagedServer>& servers);

// Shares of what the side can do; above 1 where more waits. From kShortageThreshold on it is short of
// servers.
double utilization_of_prefill(const StagePool& readers, const model::ServiceDemand& demand);
double utilization_of_decode(const StagePool& runners, const model::ServiceDemand& demand);
// What would be asked of `left` runners if they read no prompt themselves.
double projected_decode_utilization(const StagePool& runners, const model::ServiceDemand& demand,
                                    std::size_t left);

inline constexpr double kShortageThreshold = 0.5;

} // namespace ivyrill::duties
