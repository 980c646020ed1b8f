// The order for the number of servers in one zone of one service (`POST /scale`) as its holder follows it up.
// An order is a count, not a difference: sent again it changes nothing, and one without an answer is sent
// again until the platform takes it or another follows. Pure: the clock is handed in.
#pragma once
#include "base/time.hpp"
#include "duties/platform_client.hpp"

#include <cstdint>
#include <optional>

namespace ivyrill::duties {

class ScaleOrder {
  public:
    // `fence`: under which the order is held.
    explicit ScaleOrder(std::uint64_t fence) : fence_(fence) {}

    // Wanted from now on, for a while: what the platform does not take by then is dropped, as the load is
    // another one.
    void want(std::int64_t servers, Tenths now);
    // What the platform took no longer stands: servers were taken away since.
    void clear_accepted() { accepted_.reset(); }
    // What is to be sent now: one call at a time, later and later while the platform takes none.
    std::optional<std::int64_t> due(Tenths now);
    void sent();
    void answered(std::int64_t servers, PlatformOutcome outcome, Tenths now);

    std::uint64_t fence() const { return fence_; }
    bool is_fenced_off() const { return fenced_off_; } // nothing more may be sent under this fence
    std::optional<std::int64_t> accepted() const { return accepted_; } // the last one that the platform took
    Tenths accepted_at() const { return accepted_at_; }

    static constexpr Tenths kOrderValidity = 8 * kTenthsPerSecond;
    static constexpr Tenths kInitialBackoff = 3'000, kMaxBackoff = 24'000; // before it is sent again

  private:
    std::uint64_t fence_;
    std::optional<std::int64_t> pending_, accepted_;
    Tenths accepted_at_ = 0, pending_until_ = 0, not_before_ = 0, backoff_ = kInitialBackoff;
    bool is_in_flight_ = false, fenced_off_ = false;
};

} // namespace ivyrill::duties
