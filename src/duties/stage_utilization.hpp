// Utilization of a service's prefill and decode servers, from their reports and from the demand of all edge
// nodes. A shortage is judged by these figures alone. Pure.
#pragma once
#include "model/instance.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ivyrill::duties {

// State of one server of a service with stages.
struct StagedServer {
    std::string id, address, zone;
    model::Stage stage = model::Stage::kNone; // current stage, or the one it is changing to
    bool changing = false;
    bool reported = false; // its load is recent (ReportFreshness)
    double slots = 1, running = 0, waiting = 0;
    double memory_share = 0; // share of memory in use that can't be evicted
    std::int64_t orders_accepted = 0;
};

// The servers of one stage with recent reports.
struct StagePool {
    std::vector<const StagedServer*> servers;
    double slots = 0;
    std::size_t largest_zone = 0; // its number of servers; 0 if all are in one zone
    std::size_t count() const { return servers.size(); }
    std::size_t count_after_zone_loss() const { return servers.size() - largest_zone; }
};

// The result points into `servers`.
StagePool pool_of(const std::vector<StagedServer>& servers, model::Stage stage);
// Whether enough servers have recent reports to decide on them.
bool has_enough_reports(const std::vector<StagedServer>& servers);

// Relative to the pool's capacity; above 1 if requests are queued. From kShortageThreshold on the pool has a
// shortage of servers.
double utilization_of_prefill(const StagePool& prefill, const model::ServiceDemand& demand);
double utilization_of_decode(const StagePool& decode, const model::ServiceDemand& demand);
// Decode utilization if `remaining` servers were left and none of them did prefill.
double projected_decode_utilization(const StagePool& decode, const model::ServiceDemand& demand,
                                    std::size_t remaining);

inline constexpr double kShortageThreshold = 0.5;

} // namespace ivyrill::duties
