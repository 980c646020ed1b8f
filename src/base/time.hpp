// Times and durations are integer tenths of a millisecond. Conversions from microseconds round down for time
// that may be used (timeouts, deadlines) and up for time that must pass (windows, minimum waits).
#pragma once
#include <cstdint>

namespace ivyrill {

using Tenths = std::int64_t;
inline constexpr std::int64_t kMicrosPerTenth = 100;
inline constexpr Tenths kTenthsPerSecond = 10'000;

constexpr Tenths tenths_rounded_down(std::int64_t micros) { return micros / kMicrosPerTenth; }
constexpr Tenths tenths_rounded_up(std::int64_t micros) {
    return micros / kMicrosPerTenth + (micros % kMicrosPerTenth > 0 ? 1 : 0);
}
constexpr std::int64_t to_micros(Tenths duration) { return duration * kMicrosPerTenth; }

} // namespace ivyrill
