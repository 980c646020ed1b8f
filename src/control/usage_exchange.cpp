#include "control/usage_exchange.hpp"

#include <algorithm>
#include <functional>

namespace ivyrill::control {

namespace {

// Upper bound of the encoded size.
std::size_t bytes_of(const model::ProcessUsage& usage) {
    constexpr std::size_t kBytesBesideNames = 16, kBytesBesideCounts = 64;
    std::size_t bytes = kBytesBesideCounts;
    for (const model::TenantCount& count : usage.counts) bytes += count.tenant.size() + kBytesBesideNames;
    return bytes;
}

} // namespace

// The counts of a large fleet don't fit into one frame.
std::vector<feed::UsageCounts> UsageExchange::split_into_messages(std::vector<model::ProcessUsage> counts) {
    std::vector<feed::UsageCounts> messages;
    std::size_t bytes = kMaxMessageBytes;
    for (model::ProcessUsage& usage : counts) {
        const std::size_t size = bytes_of(usage);
        if (bytes + size > kMaxMessageBytes) messages.emplace_back(), bytes = 0;
        bytes += size;
        messages.back().counts.push_back(std::move(usage));
    }
    return messages;
}

// Older windows are already committed, or will be by a node that knows them.
std::vector<feed::UsageCounts> UsageExchange::newest_within_limit(std::vector<model::ProcessUsage> counts) {
    std::ranges::stable_sort(counts, std::greater<>(), &model::ProcessUsage::window);
    std::size_t bytes = 0;
    const auto first_omitted = std::ranges::find_if(counts, [&](const model::ProcessUsage& usage) {
        return (bytes += bytes_of(usage)) > kMaxRecentBytes;
    });
    counts.erase(first_omitted, counts.end());
    return split_into_messages(std::move(counts));
}

void UsageExchange::tick(Ticks now) {
    clock_.add_sample(self_, time_of_day_(), now);
    clock_.forget_old(now);
    if (const auto time = clock_.at(now)) aggregator_.advance(time->unix_ms, now);
}

void UsageExchange::fill_status(feed::PeerStatus& status, Ticks now) const {
    status.unix_ms = time_of_day_();
    for (std::size_t index = 0; index < status.sessions.size(); ++index)
        if (const auto unix_ms = clock_.wall_clock_of(status.sessions[index].name, now))
            status.session_clocks.push_back({index, *unix_ms - status.unix_ms});
}

void UsageExchange::on_peer_status(const std::string& peer, const feed::PeerStatus& status, Ticks now) {
    if (!clock::is_plausible(status.unix_ms)) return;
    clock_.add_sample(peer, status.unix_ms, now);
    for (const feed::SessionClock& session_clock : status.session_clocks)
        if (session_clock.session < status.sessions.size() &&
            clock::is_plausible(session_clock.offset_ms + status.unix_ms))
            clock_.add_sample(status.sessions[session_clock.session].name,
                              status.unix_ms + session_clock.offset_ms, now);
}

void UsageExchange::add_local_counts(const std::vector<model::ProcessUsage>& counts, Ticks now) {
    for (const model::ProcessUsage& usage : counts) {
        aggregator_.merge(usage, now);
        for_peers_.push_back(usage);
    }
}

feed::UsageRequest UsageExchange::merge(const feed::UsageCounts& forwarded, Ticks now) {
    feed::UsageRequest missing;
    for (const model::ProcessUsage& usage : forwarded.counts) {
        aggregator_.merge(usage, now);
        if (!aggregator_.is_missing_counts(usage.process, usage.window)) continue;
        if (std::ranges::find(missing.processes, usage.process) == missing.processes.end())
            missing.processes.push_back(usage.process);
    }
    return missing;
}

} // namespace ivyrill::control
