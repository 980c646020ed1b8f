// Merges the counts of the proxies: for each window and process the highest count of each tenant. Knows
// whether all known processes have reported a window completely. Pure: the fleet's time and the steady time
// are parameters.
#pragma once
#include "base/time.hpp"
#include "model/usage.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::duties {

class UsageAggregator {
  public:
    struct Options {
        std::int64_t window_ms = 5000;
        std::int64_t kept_ms = 60'000; // windows that ended longer ago are dropped
    };
    // Entries that were rejected, by cause; they change nothing.
    struct Rejected {
        std::uint64_t far_window = 0; // older than kept_ms, or in the future
        std::uint64_t tenants = 0;    // above the limit per window and process
        std::uint64_t processes = 0;  // above the limit
        std::uint64_t negative = 0;   // a negative count, or one above the limit
    };
    explicit UsageAggregator(Options options) : options_(options) {}

    void merge(const model::ProcessUsage& usage, Ticks now);
    // By tenant, over all processes; tenants with no requests are left out.
    std::map<std::string, std::int64_t> counts(std::int64_t window) const;
    // Whether every process that reported recently and has not ended has reported everything up to the
    // window's end, with no part missing here. False until each process has had time to report since the
    // first call of `advance`.
    bool is_complete(std::int64_t window, std::int64_t window_end_ms, Ticks now) const;

    // Sets the fleet's time: drops old windows; windows too far in the future are rejected from now on.
    void advance(std::int64_t unix_ms, Ticks now);
    // All counts of windows that ended at most `span_ms` ago.
    std::vector<model::ProcessUsage> recent(std::int64_t span_ms) const;
    std::vector<model::ProcessUsage> recent_from(const std::vector<std::uint64_t>& processes,
                                                 std::int64_t span_ms) const;
    // Whether a process has announced a higher total for a window than has arrived here.
    bool is_missing_counts(std::uint64_t process, std::int64_t window) const;
    const Rejected& rejected() const { return rejected_; }

  private:
    struct Window {
        std::map<std::string, std::int64_t, std::less<>> counts; // by tenant
        std::int64_t sum = 0, total = 0; // received here; total announced by the process
    };
    struct Process {
        std::map<std::int64_t, Window> windows;
        std::int64_t counted_until_ms = 0;
        bool ended = false;
        Ticks last_report_at = 0;
    };
    bool is_out_of_range(const model::ProcessUsage& usage) const;
    bool is_acceptable(const model::ProcessUsage& usage);
    static model::ProcessUsage usage_of(std::uint64_t id, const Process& process, std::int64_t number,
                                        const Window& window);
    void append_recent(std::uint64_t id, const Process& process, std::int64_t span_ms,
                       std::vector<model::ProcessUsage>& out) const;

    Options options_;
    std::map<std::uint64_t, Process> processes_;
    std::int64_t unix_ms_ = 0; // 0: not known yet
    std::optional<Ticks> advanced_since_;
    Rejected rejected_;
};

} // namespace ivyrill::duties
