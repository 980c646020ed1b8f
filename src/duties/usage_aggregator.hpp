// What the proxies have counted, merged: by window and process the highest count of each tenant. Says whether
// all that is known to count has told all of a window. Pure: both clocks are handed in.
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
        std::int64_t kept_ms = 60'000; // windows that ended longer ago are forgotten
    };
    // Entries that were passed over, by cause; they change nothing.
    struct Rejected {
        std::uint64_t far_window = 0; // older than is kept, or yet to come
        std::uint64_t tenants = 0;    // more in one window of one process than there may be
        std::uint64_t processes = 0;  // more than there may be
        std::uint64_t negative = 0;   // a count below zero, or one that no process reaches
    };
    explicit UsageAggregator(Options options) : options_(options) {}

    void merge(const model::ProcessUsage& usage, Tenths now);
    // By tenant, over all processes; tenants without any are left out.
    std::map<std::string, std::int64_t> counts(std::int64_t window) const;
    // Whether every process that was heard of lately, and has not ended, has told of all until the window's
    // end, and nothing that it told of is missing here. Not before each has had the time to tell something
    // since this tally's clock was first advanced.
    bool is_complete(std::int64_t window, std::int64_t window_end_ms, Tenths now) const;

    // The fleet's time has come so far: what is too old is forgotten, what is far ahead is refused.
    void advance(std::int64_t unix_ms, Tenths now);
    // All that is known of windows that ended no longer ago than `span_ms`.
    std::vector<model::ProcessUsage> recent(std::int64_t span_ms) const;
    std::vector<model::ProcessUsage> recent_from(const std::vector<std::uint64_t>& processes,
                                                 std::int64_t span_ms) const;
    // Whether a process has told of more in a window than has come here.
    bool is_missing_counts(std::uint64_t process, std::int64_t window) const;
    const Rejected& rejected() const { return rejected_; }

  private:
    struct Window {
        std::map<std::string, std::int64_t, std::less<>> counts; // by tenant
        std::int64_t sum = 0, total = 0;                         // here; as the process says
    };
    struct Process {
        std::map<std::int64_t, Window> windows;
        std::int64_t counted_until_ms = 0;
        bool ended = false;
        Tenths heard_at = 0;
    };
    bool is_far(const model::ProcessUsage& usage) const;
    bool is_acceptable(const model::ProcessUsage& usage);
    static model::ProcessUsage usage_of(std::uint64_t id, const Process& process, std::int64_t number,
                                        const Window& window);
    void append_recent(std::uint64_t id, const Process& process, std::int64_t span_ms,
                       std::vector<model::ProcessUsage>& into) const;

    Options options_;
    std::map<std::uint64_t, Process> processes_;
    std::int64_t unix_ms_ = 0; // 0: not known yet
    std::optional<Tenths> advanced_since_;
    Rejected rejected_;
};

} // namespace ivyrill::duties
