// This machine's own time of day, which may jump. For programs; pure code is handed a clock.
#pragma once
#include <chrono>
#include <cstdint>

namespace ivyrill::clock {

// Milliseconds since the start of 1970.
inline std::int64_t time_of_day() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

} // namespace ivyrill::clock
