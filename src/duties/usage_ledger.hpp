// The replicated ledger of usage reports and its next update. The report of a window is committed as the
// exact bytes of its request body before it is first sent, so every later holder sends the same bytes.
// Windows are committed in order without gaps. Pure: the time, the counts and the acknowledged windows are
// parameters.
#pragma once
#include "clock/fleet_clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace ivyrill::duties {

struct CommittedWindow {
    std::int64_t number = 0; // window k starts k window lengths after the Unix epoch
    std::string body;        // request body of its report, byte for byte
    template <class Self> static auto tie(Self& s) { return std::tie(s.number, s.body); }
    friend bool operator==(const CommittedWindow&, const CommittedWindow&) = default;
};

struct UsageLedger {
    std::int64_t next_window = 0;           // next window to commit; 0: not started
    std::vector<CommittedWindow> committed; // committed and not known to be acknowledged, oldest first
    template <class Self> static auto tie(Self& s) { return std::tie(s.next_window, s.committed); }
    friend bool operator==(const UsageLedger&, const UsageLedger&) = default;
};

inline constexpr std::size_t kMaxCommittedWindows = 64;
inline constexpr std::size_t kMaxLedgerBytes = 1 << 20; // of all bodies; a single window always fits

struct UsageSources {
    // Whether every counting process has reported everything up to the window's end (Unix ms).
    std::function<bool(std::int64_t window, std::int64_t end_ms)> is_complete;
    std::function<std::map<std::string, std::int64_t>(std::int64_t window)> counts; // by tenant
};

// The body of POST /usage; deterministic for given counts.
std::string usage_body(std::int64_t window, const std::map<std::string, std::int64_t>& counts);

// Counts required to commit a window: all of them, or those received once kMaxWaitMs has passed.
enum class CountRequirement { kAllowPartial, kComplete };

// The next ledger, without the `settled` windows (acknowledged or given up); none if there is nothing to
// commit. `window_ms`: length of a window.
std::optional<UsageLedger> next_ledger(const UsageLedger& ledger, const clock::FleetTime& now,
                                       std::int64_t window_ms, const UsageSources& sources,
                                       const std::set<std::int64_t>& settled,
                                       CountRequirement counts = CountRequirement::kAllowPartial);

} // namespace ivyrill::duties
