// This machine's wall clock, which may jump. For programs only; pure code takes the time as a parameter.
#pragma once
#include <chrono>
#include <cstdint>

namespace ivyrill::clock {

// Milliseconds since the Unix epoch.
inline std::int64_t time_of_day() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

} // namespace ivyrill::clock
