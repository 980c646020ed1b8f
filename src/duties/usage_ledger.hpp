// The usage reports that are agreed on, and what is to be agreed on next. A window's report is agreed on as
// the bytes in which it is sent, before it is sent for the first time; whoever sends it later sends these
// bytes. Windows are agreed on in their order, and none is left out. Pure: time, counts and what the platform
// has acknowledged are handed in.
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
    std::int64_t number = 0; // k starts k windows after the start of 1970
    std::string body;        // of its report, byte for byte
    template <class Self> static auto tie(Self& s) { return std::tie(s.number, s.body); }
    friend bool operator==(const CommittedWindow&, const CommittedWindow&) = default;
};

struct UsageLedger {
    std::int64_t next_window = 0;           // to agree on; 0: not begun
    std::vector<CommittedWindow> committed; // and not known to be acknowledged, oldest first
    template <class Self> static auto tie(Self& s) { return std::tie(s.next_window, s.committed); }
    friend bool operator==(const UsageLedger&, const UsageLedger&) = default;
};

inline constexpr std::size_t kMaxCommittedWindows = 64;
inline constexpr std::size_t kMaxLedgerBytes = 1 << 20; // of bodies; one window always has room

struct UsageSources {
    // Whether every process that counts has told of all until the window's end, in ms since 1970.
    std::function<bool(std::int64_t window, std::int64_t end_ms)> is_complete;
    std::function<std::map<std::string, std::int64_t>(std::int64_t window)> counts; // by tenant
};

// The body of POST /usage, the same for the same counts.
std::string usage_body(std::int64_t window, const std::map<std::string, std::int64_t>& counts);

// With which counts a window is agreed on: with all of them, or after some patience with those that came.
enum class CountRequirement { kAllowPartial, kComplete };

// The ledger that should follow, without what is `settled` (by window: acknowledged, or given up); none where
// there is nothing to agree on. `window_ms`: the length of a window.
std::optional<UsageLedger> next_ledger(const UsageLedger& ledger, const clock::FleetTime& now,
                                       std::int64_t window_ms, const UsageSources& sources,
                                       const std::set<std::int64_t>& settled,
                                       CountRequirement counts = CountRequirement::kAllowPartial);

} // namespace ivyrill::duties
