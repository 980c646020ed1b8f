// Limits the rate of log lines about events that can occur with every request. Pure: the caller supplies the
// clock.
#pragma once
#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <utility>

namespace ivyrill {

class LogLimiter {
  public:
    // Called for each event. Returns the number of events without a line since the last line if this event
    // may have one, else nothing.
    std::optional<std::uint64_t> admit(Ticks now) {
        if (next_at_ && now < *next_at_) {
            ++suppressed_;
            return std::nullopt;
        }
        next_at_ = now + kInterval;
        return std::exchange(suppressed_, 0);
    }

  private:
    static constexpr Ticks kInterval = kTicksPerSecond;
    std::optional<Ticks> next_at_;
    std::uint64_t suppressed_ = 0;
};

} // namespace ivyrill
