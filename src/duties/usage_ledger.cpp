#include "duties/usage_ledger.hpp"

#include "base/planted_fault.hpp"
#include "protocol/json.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace ivyrill::duties {

namespace {

// After a window's end: time for the counts of its last requests to arrive.
constexpr std::int64_t kMinAgeMs = 500;
constexpr std::int64_t kMaxWaitMs = 4'000; // after which a report omits processes that have not reported
constexpr std::size_t kMaxNewWindows = 16; // per log entry

std::size_t bytes_of(const UsageLedger& ledger) {
    std::size_t bytes = 0;
    for (const CommittedWindow& window : ledger.committed) bytes += window.body.size();
    return bytes;
}

bool is_due(std::int64_t window, const clock::FleetTime& now, std::int64_t window_ms,
            const UsageSources& sources, CountRequirement counts) {
    const std::int64_t end_ms = (window + 1) * window_ms;
    if (counts == CountRequirement::kAllowPartial && now.unix_ms >= end_ms + kMaxWaitMs) return true;
    return now.unix_ms - now.error_ms >= end_ms + kMinAgeMs && sources.is_complete(window, end_ms);
}

} // namespace

std::string usage_body(std::int64_t window, const std::map<std::string, std::int64_t>& counts) {
    std::string body = fmt::format(R"({{"windowId":{},"counts":{{)", window);
    bool is_first = true;
    for (const auto& [tenant, count] : counts) {
        if (!std::exchange(is_first, false)) body.push_back(',');
        protocol::write_json_text(body, tenant);
        body += fmt::format(":{}", count);
    }
    return body + "}}";
}

std::optional<UsageLedger> next_ledger(const UsageLedger& ledger, const clock::FleetTime& now,
                                       std::int64_t window_ms, const UsageSources& sources,
                                       const std::set<std::int64_t>& settled, CountRequirement counts) {
    // Starts at the current window, assuming the largest possible clock error.
    if (ledger.next_window == 0) return UsageLedger{(now.unix_ms - now.error_ms) / window_ms, {}};
    UsageLedger next = ledger;
    std::erase_if(next.committed,
                  [&](const CommittedWindow& window) { return settled.contains(window.number); });
    if (planted(PlantedFault::kAgreedOnChanged))
        for (CommittedWindow& window : next.committed)
            window.body = usage_body(window.number, sources.counts(window.number));
    if (planted(PlantedFault::kWindowLeftOut))
        next.next_window = std::max(next.next_window, now.unix_ms / window_ms - 2);
    std::size_t bytes = bytes_of(next);
    for (std::size_t added = 0; added < kMaxNewWindows; ++added) {
        const bool is_full = next.committed.size() >= kMaxCommittedWindows || bytes >= kMaxLedgerBytes;
        if (is_full || !is_due(next.next_window, now, window_ms, sources, counts)) break;
        std::string body = usage_body(next.next_window, sources.counts(next.next_window));
        bytes += body.size();
        next.committed.push_back({next.next_window++, std::move(body)});
    }
    if (next.next_window == ledger.next_window) return std::nullopt;
    return next;
}

} // namespace ivyrill::duties
