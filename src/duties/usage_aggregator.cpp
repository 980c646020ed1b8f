#include "duties/usage_aggregator.hpp"

#include <algorithm>

namespace ivyrill::duties {

namespace {

constexpr std::size_t kMaxTenants = 20'000;   // per process and window
constexpr std::size_t kMaxProcesses = 20'000; // within the kept time
constexpr std::size_t kMaxWindows = 100;      // per process
constexpr std::int64_t kMaxCount = 1'000'000'000;
constexpr std::int64_t kMaxAheadMs = 10'000;          // how far a process's clock may be ahead of this node's
constexpr Ticks kReportTimeout = 4 * kTicksPerSecond; // processes report every second
constexpr Ticks kProcessRetention = 120 * kTicksPerSecond; // after which a silent process is dropped

} // namespace

bool UsageAggregator::is_out_of_range(const model::ProcessUsage& usage) const {
    const std::int64_t newest = (unix_ms_ + kMaxAheadMs) / options_.window_ms;
    const std::int64_t oldest = (unix_ms_ - options_.kept_ms) / options_.window_ms;
    return usage.window > newest || usage.window < oldest || usage.counted_until_ms > unix_ms_ + kMaxAheadMs;
}

bool UsageAggregator::is_acceptable(const model::ProcessUsage& usage) {
    const bool is_known = processes_.contains(usage.process);
    if (!is_known && processes_.size() >= kMaxProcesses) return ++rejected_.processes, false;
    if (is_known && processes_.at(usage.process).windows.size() >= kMaxWindows &&
        !processes_.at(usage.process).windows.contains(usage.window))
        return ++rejected_.far_window, false;
    if (unix_ms_ != 0 && is_out_of_range(usage)) return ++rejected_.far_window, false;
    const auto is_valid_count = [](std::int64_t count) { return count >= 0 && count <= kMaxCount; };
    if (!is_valid_count(usage.total) ||
        !std::ranges::all_of(usage.counts, is_valid_count, &model::TenantCount::count))
        return ++rejected_.negative, false;
    return true;
}

void UsageAggregator::merge(const model::ProcessUsage& usage, Ticks now) {
    if (!is_acceptable(usage)) return;
    Process& process = processes_[usage.process];
    process.ended = process.ended || usage.ended;
    if (usage.counted_until_ms > process.counted_until_ms) // otherwise a repetition relayed by other nodes
        process.counted_until_ms = usage.counted_until_ms, process.last_report_at = now;
    Window& window = process.windows[usage.window];
    window.total = std::max(window.total, usage.total);
    for (const model::TenantCount& entry : usage.counts) {
        auto known = window.counts.find(entry.tenant);
        if (known == window.counts.end()) {
            if (window.counts.size() >= kMaxTenants) {
                ++rejected_.tenants;
                continue;
            }
            known = window.counts.emplace(entry.tenant, 0).first;
        }
        const std::int64_t increase = std::max<std::int64_t>(0, entry.count - known->second);
        known->second += increase, window.sum += increase;
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

bool UsageAggregator::is_complete(std::int64_t window, std::int64_t window_end_ms, Ticks now) const {
    if (advanced_since_ && now - *advanced_since_ < kReportTimeout) return false;
    return std::ranges::all_of(processes_, [&](const auto& entry) {
        const Process& process = entry.second;
        const bool is_counting = !process.ended && now - process.last_report_at <= kReportTimeout;
        if (is_counting && process.counted_until_ms < window_end_ms) return false;
        const auto found = process.windows.find(window);
        if (found == process.windows.end()) return true;
        return !is_counting || found->second.sum >= found->second.total;
    });
}

void UsageAggregator::advance(std::int64_t unix_ms, Ticks now) {
    unix_ms_ = unix_ms;
    if (!advanced_since_) advanced_since_ = now;
    const std::int64_t oldest = (unix_ms_ - options_.kept_ms) / options_.window_ms;
    for (auto& [id, process] : processes_)
        std::erase_if(process.windows, [oldest](const auto& entry) { return entry.first < oldest; });
    std::erase_if(processes_, [now](const auto& entry) {
        return entry.second.windows.empty() && now - entry.second.last_report_at > kProcessRetention;
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
    std::vector<model::ProcessUsage> result;
    for (const auto& [id, process] : processes_) append_recent(id, process, span_ms, result);
    return result;
}

std::vector<model::ProcessUsage> UsageAggregator::recent_from(const std::vector<std::uint64_t>& processes,
                                                              std::int64_t span_ms) const {
    std::vector<model::ProcessUsage> result;
    for (const std::uint64_t id : processes)
        if (const auto found = processes_.find(id); found != processes_.end())
            append_recent(id, found->second, span_ms, result);
    return result;
}

void UsageAggregator::append_recent(std::uint64_t id, const Process& process, std::int64_t span_ms,
                                    std::vector<model::ProcessUsage>& out) const {
    const std::int64_t oldest = (unix_ms_ - span_ms) / options_.window_ms;
    for (auto next = process.windows.lower_bound(oldest); next != process.windows.end(); ++next)
        out.push_back(usage_of(id, process, next->first, next->second));
}

bool UsageAggregator::is_missing_counts(std::uint64_t process, std::int64_t window) const {
    const auto known = processes_.find(process);
    if (known == processes_.end()) return false;
    const auto found = known->second.windows.find(window);
    return found != known->second.windows.end() && found->second.sum < found->second.total;
}

} // namespace ivyrill::duties
