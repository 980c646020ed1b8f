#include "duties/usage_aggregator.hpp"

#include <algorithm>

namespace ivyrill::duties {

namespace {

constexpr std::size_t kMostTenants = 20'000;   // of one process in one window
constexpr std::size_t kMostProcesses = 20'000; // within the time that is kept
constexpr std::size_t kMostWindows = 100;      // of one process
constexpr std::int64_t kMostCount = 1'000'000'000;
constexpr std::int64_t kAheadMs = 10'000;             // that a process's time may be ahead of this one's
constexpr Tenths kLately = 4 * kTenthsPerSecond;      // processes tell something each second
constexpr Tenths kForgotten = 120 * kTenthsPerSecond; // processes that were silent for so long

} // namespace

bool UsageAggregator::is_far(const model::ProcessUsage& usage) const {
    const std::int64_t newest = (unix_ms_ + kAheadMs) / options_.window_ms;
    const std::int64_t oldest = (unix_ms_ - options_.kept_ms) / options_.window_ms;
    return usage.window > newest || usage.window < oldest || usage.counted_until_ms > unix_ms_ + kAheadMs;
}

bool UsageAggregator::is_acceptable(const model::ProcessUsage& usage) {
    const bool is_known = processes_.contains(usage.process);
    if (!is_known && processes_.size() >= kMostProcesses) return ++rejected_.processes, false;
    if (is_known && processes_.at(usage.process).windows.size() >= kMostWindows &&
        !processes_.at(usage.process).windows.contains(usage.window))
        return ++rejected_.far_window, false;
    if (unix_ms_ != 0 && is_far(usage)) return ++rejected_.far_window, false;
    const auto is_a_count = [](std::int64_t count) { return count >= 0 && count <= kMostCount; };
    if (!is_a_count(usage.total) ||
        !std::ranges::all_of(usage.counts, is_a_count, &model::TenantCount::count))
        return ++rejected_.negative, false;
    return true;
}

void UsageAggregator::merge(const model::ProcessUsage& usage, Tenths now) {
    if (!is_acceptable(usage)) return;
    Process& process = processes_[usage.process];
    process.ended = process.ended || usage.ended;
    if (usage.counted_until_ms > process.counted_until_ms) // else it is told again by others
        process.counted_until_ms = usage.counted_until_ms, process.heard_at = now;
    Window& window = process.windows[usage.window];
    window.total = std::max(window.total, usage.total);
    for (const model::TenantCount& usage_of : usage.counts) {
        auto known = window.counts.find(usage_of.tenant);
        if (known == window.counts.end()) {
            if (window.counts.size() >= kMostTenants) {
                ++rejected_.tenants;
                continue;
            }
            known = window.counts.emplace(usage_of.tenant, 0).first;
        }
        const std::int64_t more = std::max<std::int64_t>(0, usage_of.count - known->second);
        known->second += more, window.sum += more;
    }
}

std::map<std::string, std::int64_t> UsageAggregator::counts(std::int64_t window) const {
    std::map<std::string, std::int64_t> sums;
    for (const auto& [id, process] : processes_) {
        const auto found = process.windows.find(window);
        if (found == process.windows.end()) continue;
        for (const auto& [tenant, count] : found->second.counts)
            if (count > 0) sums[tenant] += count;
    }
    return sums;
}

bool UsageAggregator::is_complete(std::int64_t window, std::int64_t window_end_ms, Tenths now) const {
    if (advanced_since_ && now - *advanced_since_ < kLately) return false;
    return std::ranges::all_of(processes_, [&](const auto& entry) {
        const Process& process = entry.second;
        const bool counts_on = !process.ended && now - process.heard_at <= kLately;
        if (counts_on && process.counted_until_ms < window_end_ms) return false;
        const auto found = process.windows.find(window);
        if (found == process.windows.end()) return true;
        return !counts_on || found->second.sum >= found->second.total;
    });
}

void UsageAggregator::advance(std::int64_t unix_ms, Tenths now) {
    unix_ms_ = unix_ms;
    if (!advanced_since_) advanced_since_ = now;
    const std::int64_t oldest = (unix_ms_ - options_.kept_ms) / options_.window_ms;
    for (auto& [id, process] : processes_)
        std::erase_if(process.windows, [oldest](const auto& entry) { return entry.first < oldest; });
    std::erase_if(processes_, [now](const auto& entry) {
        return entry.second.windows.empty() && now - entry.second.heard_at > kForgotten;
    });
}

model::ProcessUsage UsageAggregator::usage_of(std::uint64_t id, const Process& process, std::int64_t number,
                                              const Window& window) {
    model::ProcessUsage usage;
    usage.process = id, usage.window = number, usage.total = window.total;
    usage.counted_until_ms = process.counted_until_ms, usage.ended = process.ended;
    for (const auto& [tenant, count] : window.counts) usage.counts.push_back({tenant, count});
    return usage;
}

std::vector<model::ProcessUsage> UsageAggregator::recent(std::int64_t span_ms) const {
    std::vector<model::ProcessUsage> known;
    for (const auto& [id, process] : processes_) append_recent(id, process, span_ms, known);
    return known;
}

std::vector<model::ProcessUsage> UsageAggregator::recent_from(const std::vector<std::uint64_t>& processes,
                                                              std::int64_t span_ms) const {
    std::vector<model::ProcessUsage> known;
    for (const std::uint64_t id : processes)
        if (const auto found = processes_.find(id); found != processes_.end())
            append_recent(id, found->second, span_ms, known);
    return known;
}

void UsageAggregator::append_recent(std::uint64_t id, const Process& process, std::int64_t span_ms,
                                    std::vector<model::ProcessUsage>& into) const {
    const std::int64_t oldest = (unix_ms_ - span_ms) / options_.window_ms;
    for (auto next = process.windows.lower_bound(oldest); next != process.windows.end(); ++next)
        into.push_back(usage_of(id, process, next->first, next->second));
}

bool UsageAggregator::is_missing_counts(std::uint64_t process, std::int64_t window) const {
    const auto known = processes_.find(process);
    if (known == processes_.end()) return false;
    const auto found = known->second.windows.find(window);
    return found != known->second.windows.end() && found->second.sum < found->second.total;
}

} // namespace ivyrill::duties
