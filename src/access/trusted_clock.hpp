// The time that credentials are judged by. The reducer's clock never goes back, but starts from what the
// system thought at the start; the system's clock is set right by others, and may jump. What is small is
// followed at once; a jump past the skew is believed only once it has stood for the settling span, so that a
// clock set wrong for a moment neither expires every token nor brings one back.
#pragma once
#include "base/time.hpp"

#include <cstdlib>

namespace ivyrill::access {

class TrustedClock {
  public:
    TrustedClock(Tenths skew, Tenths settle) : skew_(skew), settle_(settle) {}
    // `steady` never goes back; `wall` is what the system's clock says then.
    Tenths observe(Tenths steady, Tenths wall) {
        const Tenths offset = wall - steady;
        if (std::abs(offset - offset_) <= skew_ || !begun_) {
            offset_ = offset, begun_ = true, doubted_since_ = 0;
        } else if (doubted_since_ == 0 || std::abs(offset - doubted_) > skew_) {
            doubted_ = offset, doubted_since_ = steady, ++jumps_;
        } else if (steady >= doubted_since_ + settle_) {
            offset_ = offset, doubted_since_ = 0;
        }
        return steady + offset_;
    }
    Tenths at(Tenths steady) const { return steady + offset_; }
    std::uint64_t jumps() const { return jumps_; }

  private:
    Tenths skew_, settle_, offset_ = 0, doubted_ = 0, doubted_since_ = 0;
    std::uint64_t jumps_ = 0;
    bool begun_ = false;
};

} // namespace ivyrill::access
