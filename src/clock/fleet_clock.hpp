// Estimate of the true time: the median of the wall clocks of many machines. A wall clock may jump by
// seconds, the steady clock does not; so for each machine the offset of its wall clock from this process's
// steady clock is stored. Correct while most of the machines have not jumped. Pure: both clocks are
// parameters.
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::clock {

struct FleetTime {
    std::int64_t unix_ms = 0;  // since the Unix epoch
    std::int64_t error_ms = 0; // bound on the distance from the true time
};

inline constexpr std::int64_t kTicksPerMs = kTicksPerSecond / 1000;

// Upper bound of plausible wall clock times; others are ignored.
inline constexpr std::int64_t kLastUnixMs = 253'402'300'800'000; // the year 10000
constexpr bool is_plausible(std::int64_t unix_ms) { return unix_ms > 0 && unix_ms < kLastUnixMs; }

// In whole milliseconds, rounded down.
constexpr std::int64_t to_unix_ms(Ticks time) {
    return time >= 0 ? time / kTicksPerMs : -((-time + kTicksPerMs - 1) / kTicksPerMs);
}

class FleetClock {
  public:
    // Adds a machine's wall clock time, received at `seen_at` of this process's steady clock. Transit time
    // makes the machine appear late.
    void add_sample(const std::string& machine, std::int64_t time_of_day_ms, Ticks seen_at) {
        if (!is_plausible(time_of_day_ms)) return;
        Sample& stored = samples_[machine];
        if (seen_at < stored.seen_at) return;
        stored = {time_of_day_ms * kTicksPerMs - seen_at, seen_at};
    }

    // A machine's wall clock time extrapolated from its last sample; none if that is too old.
    std::optional<std::int64_t> wall_clock_of(const std::string& machine, Ticks steady_now) const {
        const auto found = samples_.find(machine);
        if (found == samples_.end() || !is_fresh(found->second, steady_now)) return std::nullopt;
        return to_unix_ms(found->second.offset + steady_now);
    }

    std::optional<FleetTime> at(Ticks steady_now) const {
        std::vector<Ticks> offsets;
        offsets.reserve(samples_.size());
        for (const auto& [machine, sample] : samples_)
            if (is_fresh(sample, steady_now)) offsets.push_back(sample.offset);
        if (offsets.empty()) return std::nullopt;
        std::ranges::sort(offsets);
        const Ticks median = offsets[(offsets.size() - 1) / 2];
        return FleetTime{to_unix_ms(median + steady_now), error_bound(median, offsets)};
    }

    void forget_old(Ticks now) {
        std::erase_if(samples_, [&](const auto& entry) { return !is_fresh(entry.second, now); });
    }

  private:
    struct Sample {
        Ticks offset = 0; // of the wall clock from the steady clock
        Ticks seen_at = INT64_MIN;
    };
    static constexpr Ticks kSampleMaxAge = 10 * kTicksPerSecond;
    // Number of machines from which a single wrong clock is outvoted.
    static constexpr std::size_t kMinMajoritySamples = 3;
    static constexpr std::int64_t kUnconfirmedErrorMs = 3000; // how far a wall clock may jump
    static constexpr std::int64_t kMaxTransitMs = 10;         // of a sample

    static bool is_fresh(const Sample& sample, Ticks now) { return now - sample.seen_at <= kSampleMaxAge; }

    // A majority is correct, so the shortest interval that holds a majority is no longer than theirs and
    // contains a correct one; the median lies in every such interval.
    static std::int64_t error_bound(Ticks median, const std::vector<Ticks>& sorted) {
        if (sorted.size() < kMinMajoritySamples) return kUnconfirmedErrorMs;
        const std::size_t majority = sorted.size() / 2 + 1;
        Ticks shortest = INT64_MAX, error = 0;
        for (std::size_t first = 0; first + majority <= sorted.size(); ++first) {
            const Ticks begin = sorted[first], end = sorted[first + majority - 1];
            if (end - begin >= shortest) continue;
            shortest = end - begin;
            error = std::max(median - begin, end - median);
        }
        return to_unix_ms(error) + 1 + kMaxTransitMs;
    }

    std::map<std::string, Sample> samples_; // by machine
};

} // namespace ivyrill::clock
