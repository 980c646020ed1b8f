// Tracks the order for the number of servers in one zone of one service (`POST /scale`) while the duty is
// held. An order carries an absolute count, so it is idempotent: an unanswered order is retried until the
// platform accepts it or a newer order replaces it. Pure: the current time is a parameter.
#pragma once
#include "base/time.hpp"
#include "duties/platform_client.hpp"

#include <cstdint>
#include <optional>

namespace ivyrill::duties {

class ScaleOrder {
  public:
    // `fence`: fencing token under which the duty is held.
    explicit ScaleOrder(std::uint64_t fence) : fence_(fence) {}

    // Requests a count. The request expires after kOrderValidity, because the load has changed by then.
    void request(std::int64_t servers, Ticks now);
    // The accepted count is outdated: servers have been removed since.
    void clear_accepted() { accepted_.reset(); }
    // The count to send now, if any: one call at a time, with exponential backoff between attempts.
    std::optional<std::int64_t> due(Ticks now);
    void sent();
    void answered(std::int64_t servers, PlatformOutcome outcome, Ticks now);

    std::uint64_t fence() const { return fence_; }
    bool is_fenced_off() const { return fenced_off_; } // nothing may be sent under this fence any more
    std::optional<std::int64_t> accepted() const {
        return accepted_;
    } // last count that the platform accepted
    Ticks accepted_at() const { return accepted_at_; }

    static constexpr Ticks kOrderValidity = 8 * kTicksPerSecond;
    static constexpr Ticks kInitialBackoff = 3'000, kMaxBackoff = 24'000; // before a retry

  private:
    std::uint64_t fence_;
    std::optional<std::int64_t> pending_, accepted_;
    Ticks accepted_at_ = 0, pending_until_ = 0, not_before_ = 0, backoff_ = kInitialBackoff;
    bool is_in_flight_ = false, fenced_off_ = false;
};

} // namespace ivyrill::duties
