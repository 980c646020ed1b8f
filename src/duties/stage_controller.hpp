// Decides how many of a service's servers do prefill and how many do decode, according to the traffic. A
// closed loop in small steps: one pool gives servers to the other if that one has a shortage and the first
// can spare them, even with its largest zone lost. Pure: reports, demand and the current time are parameters.
#pragma once
#include "base/time.hpp"
#include "duties/stage_utilization.hpp"
#include "model/instance.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/rolling_mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::duties {

struct StageChange {
    std::string instance;
    model::Stage to = model::Stage::kNone;
};

class StageController {
  public:
    // `stage_change_time`: how long a server takes to change its stage (`roleSwitchS`).
    explicit StageController(Ticks stage_change_time = 0);

    // To be called every kInterval. Returns the changes to order now; usually none. `demand`: of all edge
    // nodes, none without recent reports.
    std::vector<StageChange> plan(const std::vector<StagedServer>& servers,
                                  const std::optional<model::ServiceDemand>& demand, Ticks now);
    void set_stage_change_time(Ticks delay) { stage_change_time_ = delay; }
    // Means over the last samples; from kShortageThreshold on there is a shortage of servers.
    double prefill_utilization() const { return boost::accumulators::rolling_mean(prefill_utilization_); }
    double decode_utilization() const { return boost::accumulators::rolling_mean(decode_utilization_); }

    static constexpr Ticks kInterval = 5'000;

  private:
    using Mean = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::rolling_mean>>;

    bool decode_can_spare(const StagePool& decode, const model::ServiceDemand& demand,
                          std::size_t step) const;
    bool prefill_can_spare(const StagePool& prefill, std::size_t step) const;
    bool may_change_to(model::Stage stage, Ticks now) const;
    std::vector<StageChange> select_changes(const StagePool& donors, const StagePool& receivers,
                                            model::Stage to, std::size_t step, Ticks now);

    Ticks stage_change_time_;
    Mean prefill_utilization_, decode_utilization_;
    int samples_ = 0; // since the last change
    std::optional<Ticks> changed_at_;
    model::Stage changed_to_ = model::Stage::kNone;
};

} // namespace ivyrill::duties
