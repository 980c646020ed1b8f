// Times and spans are whole tenths of a millisecond. Conversions name the side they round to: what may be
// used of a time rounds down, what must be waited out rounds up.
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
constexpr std::int64_t to_micros(Tenths span) { return span * kMicrosPerTenth; }

} // namespace ivyrill
