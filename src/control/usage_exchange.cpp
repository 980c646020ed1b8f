#include "control/usage_exchange.hpp"

#include <algorithm>
#include <functional>

namespace ivyrill::control {

namespace {

// As it travels, at the most.
std::size_t bytes_of(const model::ProcessUsage& usage) {
    constexpr std::size_t kBytesBesideNames = 16, kBytesBesideCounts = 64;
    std::size_t bytes = kBytesBesideCounts;
    for (const model::TenantCount& count : usage.counts) bytes += count.tenant.size() + kBytesBesideNames;
    return bytes;
}

} // namespace

// No frame takes all that a large fleet has counted.
std::vector<feed::UsageCounts> UsageExchange::messages_of(std::vector<model::ProcessUsage> counts) {
    std::vector<feed::UsageCounts> messages;
    std::size_t bytes = kMostBytes;
    for (model::ProcessUsage& here : counts) {
        const std::size_t more = bytes_of(here);
        if (bytes + more > kMostBytes) messages.emplace_back(), bytes = 0;
        bytes += more;
        messages.back().counts.push_back(std::move(here));
    }
    return messages;
}

// Older windows are agreed on already, or will be by whoever knows them.
std::vector<feed::UsageCounts> UsageExchange::newest_of(std::vector<model::ProcessUsage> counts) {
    std::ranges::stable_sort(counts, std::greater<>(), &model::ProcessUsage::window);
    std::size_t bytes = 0;
    const auto first_left_out = std::ranges::find_if(counts, [&](const model::ProcessUsage& here) {
        return (bytes += bytes_of(here)) > kMostRecentBytes;
    });
    counts.erase(first_left_out, counts.end());
    return messages_of(std::move(counts));
}

void UsageExchange::tick(Tenths now) {
    clock_.add_sample(self_, time_of_day_(), now);
    clock_.forget_old(now);
    if (const auto time = clock_.at(now)) tally_.advance(time->unix_ms, now);
}

void UsageExchange::fill_status(feed::PeerStatus& status, Tenths now) const {
    status.unix_ms = time_of_day_();
    for (std::size_t place = 0; place < status.sessions.size(); ++place)
        if (const auto unix_ms = clock_.wall_clock_of(status.sessions[place].name, now))
            status.session_clocks.push_back({place, *unix_ms - status.unix_ms});
}

void UsageExchange::on_peer_status(const std::string& peer, const feed::PeerStatus& status, Tenths now) {
    if (!clock::is_plausible(status.unix_ms)) return;
    clock_.add_sample(peer, status.unix_ms, now);
    for (const feed::SessionClock& here : status.session_clocks)
        if (here.session < status.sessions.size() && clock::is_plausible(here.ahead_ms + status.unix_ms))
            clock_.add_sample(status.sessions[here.session].name, status.unix_ms + here.ahead_ms, now);
}

void UsageExchange::add_local_counts(const std::vector<model::ProcessUsage>& counts, Tenths now) {
    for (const model::ProcessUsage& here : counts) {
        tally_.merge(here, now);
        for_peers_.push_back(here);
    }
}

feed::UsageRequest UsageExchange::merge(const feed::UsageCounts& passed_on, Tenths now) {
    feed::UsageRequest wanted;
    for (const model::ProcessUsage& here : passed_on.counts) {
        tally_.merge(here, now);
        if (!tally_.is_missing_counts(here.process, here.window)) continue;
        if (std::ranges::find(wanted.processes, here.process) == wanted.processes.end())
            wanted.processes.push_back(here.process);
    }
    return wanted;
}

} // namespace ivyrill::control
