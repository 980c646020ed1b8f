#include "limits/connection_budget.hpp"

#include <algorithm>

namespace ivyrill::limits {

namespace {

// For each deed: how many at once, and how many a second after that, as ratios to the streams a connection
// may have open. Who works takes back a few searches, opens a window for each answer or two, and sends a PING
// now and then; who does ten times as much does nothing else.
struct Allowance {
    double burst, a_second;
};
constexpr std::array<Allowance, kClientActionCount> kAllowances = {{
    {2.0, 1.0},   // resets: all open streams twice over, then as many again each second
    {0.2, 0.1},   // pings
    {0.2, 0.1},   // settings
    {1.0, 0.5},   // empty frames
    {50.0, 50.0}, // windows: two for each frame of a large answer
    {10.0, 5.0},  // after the end: several frames of each stream may have crossed our word
    {1.0, 0.5},   // bad requests
}};

} // namespace

std::string_view name_of(ClientAction deed) {
    constexpr std::array<std::string_view, kClientActionCount> kNames = {
        "reset", "ping", "settings", "empty", "window", "after-end", "bad"};
    return kNames[static_cast<std::size_t>(deed)];
}

ConnectionBudget::ConnectionBudget(const ConnectionLimits& terms, Tenths now) : terms_(terms) {
    for (std::size_t i = 0; i < kClientActionCount; ++i)
        buckets_[i] = {std::max(4.0, kAllowances[i].burst * static_cast<double>(terms.max_streams)), now};
}

bool ConnectionBudget::spend(ClientAction deed, Tenths now) {
    const auto at = static_cast<std::size_t>(deed);
    ++counts_[at];
    Bucket& bucket = buckets_[at];
    const double streams = static_cast<double>(terms_.max_streams);
    const double burst = std::max(4.0, kAllowances[at].burst * streams);
    const double passed = static_cast<double>(std::max<Tenths>(0, now - bucket.filled)) / kTenthsPerSecond;
    bucket.room = std::min(burst, bucket.room + passed * kAllowances[at].a_second * streams);
    bucket.filled = std::max(bucket.filled, now);
    if (bucket.room < 1) return false;
    bucket.room -= 1;
    return true;
}

bool ConnectionBudget::allows_stream(std::size_t open, std::size_t held) const {
    return open < terms_.max_streams &&
           held + terms_.max_body_bytes <= terms_.max_buffered_bytes; // a whole request must fit
}

bool ConnectionBudget::allows_body(std::size_t of_stream, std::size_t held) const {
    return of_stream <= terms_.max_body_bytes && held <= terms_.max_buffered_bytes;
}

std::size_t fair_share_of_searches(std::size_t most_open, std::size_t others_that_search) {
    return std::max<std::size_t>(1, most_open / (1 + others_that_search));
}

} // namespace ivyrill::limits
