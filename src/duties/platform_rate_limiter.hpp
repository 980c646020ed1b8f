// How many calls to the platform whoever holds a part of the duties may make: an equal share of what the
// platform takes from all nodes together (`dutyPerS`), so that nobody has to ask anybody. A token bucket for
// each part; half of the share refills it, half may be saved up, so that no second has more than the share.
// Pure: the clock is handed in.
#pragma once
#include "base/time.hpp"
#include "duties/duty.hpp"

#include <algorithm>
#include <array>

namespace ivyrill::duties {

class PlatformRateLimiter {
  public:
    // `calls_per_s`: of all nodes and duties together; 0: not stated.
    // A bucket is empty at first: whoever held the part before may have used it up.
    PlatformRateLimiter(double calls_per_s, Tenths now)
        : refill_per_s_((calls_per_s > 0 ? calls_per_s : kCallsIfNotStated) / 2 / kDutyPartitions) {
        for (Bucket& bucket : buckets_) bucket.filled_at = now;
    }
    // Whether a call for that duty may leave now; it then counts.
    bool try_acquire(const Duty& duty, Tenths now) {
        Bucket& bucket = buckets_[partition_of(duty)];
        const double waited = static_cast<double>(now - bucket.filled_at) / kTenthsPerSecond;
        bucket.calls = std::min(std::max(1.0, refill_per_s_), bucket.calls + waited * refill_per_s_);
        bucket.filled_at = now;
        if (bucket.calls < 1) return false;
        bucket.calls -= 1;
        return true;
    }

  private:
    struct Bucket {
        double calls = 0;
        Tenths filled_at = 0;
    };
    static constexpr double kCallsIfNotStated = 8;
    double refill_per_s_;
    std::array<Bucket, kDutyPartitions> buckets_;
};

} // namespace ivyrill::duties
