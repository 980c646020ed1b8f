#include "limits/connection_budget.hpp"

#include <algorithm>

namespace ivyrill::limits {

namespace {

// Per action: burst and refill per second, as ratios to the streams that a connection may have open. A normal
// client cancels a few searches, opens a window for each answer or two and sends a PING occasionally; the
// limits are about ten times that.
struct Allowance {
    double burst, per_second;
};
constexpr std::array<Allowance, kClientActionCount> kAllowances = {{
    {2.0, 1.0},   // resets: twice all open streams, then all of them each second
    {0.2, 0.1},   // pings
    {0.2, 0.1},   // settings
    {1.0, 0.5},   // empty frames
    {50.0, 50.0}, // windows: two for each frame of a large answer
    {10.0, 5.0},  // after the end: several frames of each stream may have been on their way
    {1.0, 0.5},   // bad requests
}};

} // namespace

std::string_view name_of(ClientAction action) {
    constexpr std::array<std::string_view, kClientActionCount> kNames = {
        "reset", "ping", "settings", "empty", "window", "after-end", "bad"};
    return kNames[static_cast<std::size_t>(action)];
}

ConnectionBudget::ConnectionBudget(const ConnectionLimits& limits, Ticks now) : limits_(limits) {
    for (std::size_t i = 0; i < kClientActionCount; ++i)
        buckets_[i] = {std::max(4.0, kAllowances[i].burst * static_cast<double>(limits.max_streams)), now};
}

bool ConnectionBudget::spend(ClientAction action, Ticks now) {
    const auto at = static_cast<std::size_t>(action);
    ++counts_[at];
    Bucket& bucket = buckets_[at];
    const double streams = static_cast<double>(limits_.max_streams);
    const double burst = std::max(4.0, kAllowances[at].burst * streams);
    const double passed = static_cast<double>(std::max<Ticks>(0, now - bucket.filled_at)) / kTicksPerSecond;
    bucket.tokens = std::min(burst, bucket.tokens + passed * kAllowances[at].per_second * streams);
    bucket.filled_at = std::max(bucket.filled_at, now);
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
}

bool ConnectionBudget::allows_stream(std::size_t open, std::size_t buffered) const {
    return open < limits_.max_streams &&
           buffered + limits_.max_body_bytes <= limits_.max_buffered_bytes; // room for a whole request
}

bool ConnectionBudget::allows_body(std::size_t body, std::size_t buffered) const {
    return body <= limits_.max_body_bytes && buffered <= limits_.max_buffered_bytes;
}

std::size_t fair_share_of_searches(std::size_t max_open, std::size_t other_connections) {
    return std::max<std::size_t>(1, max_open / (1 + other_connections));
}

} // namespace ivyrill::limits
