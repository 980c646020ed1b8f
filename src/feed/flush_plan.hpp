// Schedules when a publisher sends new items: a single change immediately, changes in quick succession
// together after the minimum interval; items that are not urgent are batched. Pure.
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <optional>

namespace ivyrill::feed {

class FlushPlan {
  public:
    FlushPlan(Ticks min_interval, Ticks delay) : min_interval_(min_interval), delay_(delay) {}
    // Called after an item arrived; returns the time of the next flush, never later than scheduled before.
    Ticks schedule(bool urgent, Ticks now) {
        Ticks at = urgent ? now : now + delay_;
        if (urgent && last_flush_) at = std::max(at, *last_flush_ + min_interval_);
        next_flush_ = next_flush_ ? std::min(*next_flush_, at) : at;
        return *next_flush_;
    }
    void flushed(Ticks now) { last_flush_ = now, next_flush_.reset(); }

  private:
    Ticks min_interval_, delay_;
    std::optional<Ticks> last_flush_, next_flush_;
};

} // namespace ivyrill::feed
