// The fleet's time in a process that is told it by another one. Being on its way only makes what was told
// older, so the latest of what came lately is the nearest. Without news it goes on by the steady clock. Pure.
#pragma once
#include "clock/fleet_clock.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

namespace ivyrill::clock {

class FollowedClock {
  public:
    void told(const FleetTime& time, Tenths now) {
        if (!is_plausible(time.unix_ms) || time.error_ms < 0) return;
        told_.push_back({time.unix_ms * kTenthsPerMs - now, time.error_ms, now});
        while (told_.size() > kMostKept || now - told_.front().at > kKept) told_.pop_front();
        choose();
    }
    std::optional<FleetTime> at(Tenths now) const {
        if (told_.empty()) return std::nullopt;
        return FleetTime{to_unix_ms(ahead_ + now), error_ms_};
    }

  private:
    struct Told {
        Tenths ahead = 0; // of this process's steady clock
        std::int64_t error_ms = 0;
        Tenths at = 0;
    };
    static constexpr Tenths kKept = 10 * kTenthsPerSecond;
    static constexpr std::size_t kMostKept = 32;
    static constexpr std::int64_t kMuchWorseMs = 100; // what may be off by so much more is passed over

    void choose() {
        const auto least = std::ranges::min_element(told_, {}, &Told::error_ms)->error_ms;
        std::optional<Tenths> latest;
        for (const Told& here : told_) {
            if (here.error_ms > least + kMuchWorseMs || (latest && here.ahead <= *latest)) continue;
            latest = here.ahead, error_ms_ = here.error_ms;
        }
        ahead_ = *latest;
    }

    std::deque<Told> told_;
    Tenths ahead_ = 0;
    std::int64_t error_ms_ = 0;
};

} // namespace ivyrill::clock
