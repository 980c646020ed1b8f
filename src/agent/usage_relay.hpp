// An agent's copy of the fleet's time and of its proxies' counts: the time is passed on to the proxy, the
// counts of the last windows to the control node the agent connects to next. Pure: the steady clock is a
// parameter.
#pragma once
#include "clock/synced_clock.hpp"
#include "duties/usage_aggregator.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace ivyrill::agent {

class UsageRelay {
  public:
    explicit UsageRelay(std::int64_t window_ms) : aggregator_({window_ms, kKeptMs}) {}

    // Returns whether the time was unknown before.
    bool update_fleet_time(const clock::FleetTime& time, Ticks now) {
        const bool is_first = !clock_.at(now);
        clock_.update(time, now);
        return is_first;
    }
    std::optional<clock::FleetTime> time(Ticks now) const { return clock_.at(now); }

    void add_counts(const std::vector<model::ProcessUsage>& usage, Ticks now) {
        if (const auto time = clock_.at(now)) aggregator_.advance(time->unix_ms, now);
        for (const model::ProcessUsage& process_usage : usage) aggregator_.merge(process_usage, now);
    }
    std::vector<model::ProcessUsage> recent() const { return aggregator_.recent(kKeptMs); }

  private:
    static constexpr std::int64_t kKeptMs = 20'000;
    clock::SyncedClock clock_;
    duties::UsageAggregator aggregator_;
};

} // namespace ivyrill::agent
