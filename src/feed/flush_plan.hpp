// When a publisher hands new items on: one change at once, of many in a row those of one gap together; what
// may wait waits for company. Pure.
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <optional>

namespace ivyrill::feed {

class FlushPlan {
  public:
    FlushPlan(Tenths least_gap, Tenths delay) : least_gap_(least_gap), delay_(delay) {}
    // After an item came; never later than what was planned before.
    Tenths due(bool urgent, Tenths now) {
        Tenths at = urgent ? now : now + delay_;
        if (urgent && last_) at = std::max(at, *last_ + least_gap_);
        due_ = due_ ? std::min(*due_, at) : at;
        return *due_;
    }
    void flushed(Tenths now) { last_ = now, due_.reset(); }

  private:
    Tenths least_gap_, delay_;
    std::optional<Tenths> last_, due_;
};

} // namespace ivyrill::feed
