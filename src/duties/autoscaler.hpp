// Autoscaler: decides how many servers of a service run in each zone. A closed loop beside the
// StageController on the same inputs: the load of the prefill servers and of the decode servers, each
// expressed as a number of servers. It scales up early and by the whole shortfall, because new servers take
// `bootTimeS` to start, and scales down late and by one server per zone, never below what survives the loss
// of the largest zone. All nodes compute the same plan from the same input; each orders only for the zones
// whose duty it holds. Pure: reports, demand and the current time are parameters.
#pragma once
#include "base/time.hpp"
#include "duties/stage_utilization.hpp"
#include "model/configuration.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/rolling_mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::duties {

struct ZoneServerCount {
    std::string zone;
    std::int64_t servers = 0;
    friend bool operator==(const ZoneServerCount&, const ZoneServerCount&) = default;
};

// A service's servers at one moment.
struct ScalingInput {
    std::vector<StagedServer> servers;          // in state serving
    std::vector<ZoneServerCount> target_counts; // per zone with any servers: the last ordered count, or the
                                                // observed one if none was ordered
    std::optional<model::ServiceDemand> demand; // of all edge nodes; none without recent reports
};

class Autoscaler {
  public:
    Autoscaler();
    // To be called every kInterval. Returns the zones whose count should change now; usually none.
    std::vector<ZoneServerCount> plan(const ScalingInput& input, const model::Scaling& scaling, Ticks now);
    // Number of servers that the load requires: mean over the last samples.
    double needed_servers() const { return needed_; }

    static constexpr Ticks kInterval = 5'000;

  private:
    using Mean = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::rolling_mean>>;

    void sample(const ScalingInput& input);
    std::vector<ZoneServerCount> scale_up(const ScalingInput& input,
                                          const std::vector<ZoneServerCount>& zones,
                                          const model::Scaling& scaling, Ticks now);
    std::vector<ZoneServerCount> scale_down(const ScalingInput& input,
                                            const std::vector<ZoneServerCount>& zones,
                                            const model::Scaling& scaling, Ticks now) const;
    bool can_scale_down(const std::vector<ZoneServerCount>& zones) const;
    static std::vector<ZoneServerCount> changed_counts(std::int64_t step, const ScalingInput& input,
                                                       const std::vector<ZoneServerCount>& zones,
                                                       const model::Scaling& scaling);

    Mean prefill_utilization_, decode_utilization_, request_rate_; // utilization; requests per second
    double needed_ = 0;
    int short_samples_ = 0, very_short_samples_ = 0; // consecutive, up to the latest
    int samples_ = 0;                                // since the input was last incomplete
    std::optional<Ticks> changed_at_, busy_at_;      // busy: too much load to scale down
    // Per second and server, when a shortage was first seen.
    std::optional<double> requests_per_server_when_short_;
};

} // namespace ivyrill::duties
