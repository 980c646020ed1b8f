// How many of a service's servers read prompts and how many run them, as the traffic asks for it. A closed
// loop in small steps: one side gives servers to the other where that one is short of them and it can spare
// them, also with its largest zone lost. Pure: reports, demand and clock are handed in.
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
    // `stage_change_time`: how long a server takes to change (`roleSwitchS`).
    explicit StageController(Tenths stage_change_time = 0);

    // Called every kInterval; what is to be ordered now, most often nothing. `demand`: of all edge nodes,
    // none where nobody has told of any lately.
    std::vector<StageChange> plan(const std::vector<StagedServer>& servers,
                                  const std::optional<model::ServiceDemand>& demand, Tenths now);
    void set_stage_change_time(Tenths span) { change_span_ = span; }
    // Means of the last looks: from kShortageThreshold on that side is short.
    double prefill_utilization() const { return boost::accumulators::rolling_mean(reader_use_); }
    double decode_utilization() const { return boost::accumulators::rolling_mean(runner_use_); }

    static constexpr Tenths kInterval = 5'000;

  private:
    using Mean = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::rolling_mean>>;

    bool runners_can_spare(const StagePool& runners, const model::ServiceDemand& demand,
                           std::size_t step) const;
    bool readers_can_spare(const StagePool& readers, std::size_t step) const;
    bool may_change_to(model::Stage stage, Tenths now) const;
    std::vector<StageChange> order(const StagePool& giving, const StagePool& taking, model::Stage to,
                                   std::size_t step, Tenths now);

    Tenths change_span_;
    Mean reader_use_, runner_use_;
    int looks_ = 0; // since the last change
    std::optional<Tenths> changed_at_;
    model::Stage changed_to_ = model::Stage::kNone;
};

} // namespace ivyrill::duties
