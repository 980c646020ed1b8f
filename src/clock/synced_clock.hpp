// The fleet's time in a process that receives it from another one. Transit delay only makes a received time
// late, so the latest of the recent samples is the most accurate. Without new samples the clock advances with
// the steady clock. Pure.
#pragma once
#include "clock/fleet_clock.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

namespace ivyrill::clock {

class SyncedClock {
  public:
    void update(const FleetTime& time, Ticks now) {
        if (!is_plausible(time.unix_ms) || time.error_ms < 0) return;
        samples_.push_back({time.unix_ms * kTicksPerMs - now, time.error_ms, now});
        while (samples_.size() > kMaxSamples || now - samples_.front().at > kSampleMaxAge)
            samples_.pop_front();
        choose_offset();
    }
    std::optional<FleetTime> at(Ticks now) const {
        if (samples_.empty()) return std::nullopt;
        return FleetTime{to_unix_ms(offset_ + now), error_ms_};
    }

  private:
    struct Sample {
        Ticks offset = 0; // of the fleet's time from this process's steady clock
        std::int64_t error_ms = 0;
        Ticks at = 0;
    };
    static constexpr Ticks kSampleMaxAge = 10 * kTicksPerSecond;
    static constexpr std::size_t kMaxSamples = 32;
    // Samples with an error larger by more than this are ignored.
    static constexpr std::int64_t kMaxErrorExcessMs = 100;

    void choose_offset() {
        const auto min_error_ms = std::ranges::min_element(samples_, {}, &Sample::error_ms)->error_ms;
        std::optional<Ticks> latest;
        for (const Sample& sample : samples_) {
            if (sample.error_ms > min_error_ms + kMaxErrorExcessMs || (latest && sample.offset <= *latest))
                continue;
            latest = sample.offset, error_ms_ = sample.error_ms;
        }
        offset_ = *latest;
    }

    std::deque<Sample> samples_;
    Ticks offset_ = 0;
    std::int64_t error_ms_ = 0;
};

} // namespace ivyrill::clock
