// When a publisher hands new items on: one change at once, of many in a row those of one gap together; what
// may wait waits for company. Pure.
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <optional>

namespace ivyrill::feed {

class FlushPlan {
  public:
    FlushPlan(Tenths min_interval, Tenths delay) : min_interval_(min_interval), delay_(delay) {}
    // After an item came; never later than what was planned before.
    Tenths schedule(bool urgent, Tenths now) {
        Tenths at = urgent ? now : now + delay_;
        if (urgent && last_flush_) at = std::max(at, *last_flush_ + min_interval_);
        next_flush_ = next_flush_ ? std::min(*next_flush_, at) : at;
        return *next_flush_;
    }
    void flushed(Tenths now) { last_flush_ = now, next_flush_.reset(); }

  private:
    Tenths min_interval_, delay_;
    std::optional<Tenths> last_flush_, next_flush_;
};

} // namespace ivyrill::feed
