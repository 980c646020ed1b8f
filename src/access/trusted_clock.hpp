// The time used to check credentials. The steady clock never goes back, but starts from the system's time at
// startup; the system's clock is adjusted externally and may jump. Small differences are followed at once. A
// jump larger than the skew is accepted only after it has persisted for the settling time, so that a briefly
// wrong clock neither expires all tokens nor makes expired ones valid again.
#pragma once
#include "base/time.hpp"

#include <cstdlib>

namespace ivyrill::access {

class TrustedClock {
  public:
    TrustedClock(Ticks skew, Ticks settle) : skew_(skew), settle_(settle) {}
    // Returns the trusted time. `steady` must never go back; `wall` is the system clock's time at that
    // moment.
    Ticks observe(Ticks steady, Ticks wall) {
        const Ticks offset = wall - steady;
        if (std::abs(offset - offset_) <= skew_ || !initialized_) {
            offset_ = offset, initialized_ = true, candidate_since_ = 0;
        } else if (candidate_since_ == 0 || std::abs(offset - candidate_) > skew_) {
            candidate_ = offset, candidate_since_ = steady, ++jumps_;
        } else if (steady >= candidate_since_ + settle_) {
            offset_ = offset, candidate_since_ = 0;
        }
        return steady + offset_;
    }
    Ticks at(Ticks steady) const { return steady + offset_; }
    std::uint64_t jumps() const { return jumps_; }

  private:
    Ticks skew_, settle_, offset_ = 0, candidate_ = 0, candidate_since_ = 0;
    std::uint64_t jumps_ = 0;
    bool initialized_ = false;
};

} // namespace ivyrill::access
