// How many servers of a service are to run in each zone. A closed loop beside the StageController, on the
// same figures: what its readers and its runners are asked for, each in servers. It grows early and by what
// is missing at once, as new servers serve only after `bootTimeS`; it shrinks late and by one server a zone,
// never below what outlives the loss of the largest zone. All nodes plan the same from the same picture; each
// orders for the zones that it holds. Pure: reports, demand and clock are handed in.
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

// A service's servers as they are now.
struct ScalingInput {
    std::vector<StagedServer> servers; // that serve
    std::vector<ZoneServerCount>
        target_counts; // what was ordered, or is there where nothing was; every zone with any
    std::optional<model::ServiceDemand> demand; // of all edge nodes; none where nobody has told of any lately
};

class Autoscaler {
  public:
    Autoscaler();
    // Called every kInterval; the zones whose count is to change now, most often none.
    std::vector<ZoneServerCount> plan(const ScalingInput& picture, const model::Scaling& scaling, Tenths now);
    // Servers that the load asks for: mean of the last looks.
    double needed_servers() const { return needed_; }

    static constexpr Tenths kInterval = 5'000;

  private:
    using Mean = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::rolling_mean>>;

    void look(const ScalingInput& picture);
    std::vector<ZoneServerCount> grown(const ScalingInput& picture, const std::vector<ZoneServerCount>& zones,
                                       const model::Scaling& scaling, Tenths now);
    std::vector<ZoneServerCount> shrunk(const ScalingInput& picture,
                                        const std::vector<ZoneServerCount>& zones,
                                        const model::Scaling& scaling, Tenths now) const;
    bool can_spare(const std::vector<ZoneServerCount>& zones) const;
    static std::vector<ZoneServerCount> changed_by(std::int64_t step, const ScalingInput& picture,
                                                   const std::vector<ZoneServerCount>& zones,
                                                   const model::Scaling& scaling);

    Mean reader_use_, runner_use_, requests_; // shares; a second
    double needed_ = 0;
    int short_looks_ = 0, very_short_looks_ = 0; // one after the other, up to the last
    int looks_ = 0;                              // since the picture was last incomplete
    std::optional<Tenths> changed_at_, busy_at_; // busy: too much so for servers to go
    std::optional<double> requests_when_short_;  // a second and server, when servers were first short
};

} // namespace ivyrill::duties
