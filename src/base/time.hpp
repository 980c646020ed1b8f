// Times and durations are integer ticks of a tenth of a millisecond. Conversions from microseconds round down
// for time that may be used (timeouts, deadlines) and up for time that must pass (windows, minimum waits).
#pragma once
#include <cstdint>

namespace ivyrill {

using Ticks = std::int64_t;
inline constexpr std::int64_t kMicrosPerTick = 100;
inline constexpr Ticks kTicksPerSecond = 10'000;

constexpr Ticks ticks_rounded_down(std::int64_t micros) { return micros / kMicrosPerTick; }
constexpr Ticks ticks_rounded_up(std::int64_t micros) {
    return micros / kMicrosPerTick + (micros % kMicrosPerTick > 0 ? 1 : 0);
}
constexpr std::int64_t to_micros(Ticks duration) { return duration * kMicrosPerTick; }

} // namespace ivyrill
