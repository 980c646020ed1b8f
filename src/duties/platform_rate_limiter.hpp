// Rate limiter for calls to the platform. The platform's limit for all nodes together (`dutyPerS`) is divided
// equally among the partitions of the duties, so that holders need no coordination. One token bucket per
// partition: half of the share is the refill rate and the other half the bucket's capacity, so that a
// partition never exceeds its share in any second. Pure: the current time is a parameter.
#pragma once
#include "base/time.hpp"
#include "duties/duty.hpp"

#include <algorithm>
#include <array>

namespace ivyrill::duties {

class PlatformRateLimiter {
  public:
    // `calls_per_s`: limit for all nodes and duties together; 0: not configured. Buckets start empty, because
    // the previous holder of a partition may have used up its tokens.
    PlatformRateLimiter(double calls_per_s, Ticks now)
        : refill_per_s_((calls_per_s > 0 ? calls_per_s : kDefaultCallsPerS) / 2 / kDutyPartitions) {
        for (Bucket& bucket : buckets_) bucket.filled_at = now;
    }
    // Consumes a token for one call of the duty; false if none is left.
    bool try_acquire(const Duty& duty, Ticks now) {
        Bucket& bucket = buckets_[partition_of(duty)];
        const double elapsed_s = static_cast<double>(now - bucket.filled_at) / kTicksPerSecond;
        bucket.tokens = std::min(std::max(1.0, refill_per_s_), bucket.tokens + elapsed_s * refill_per_s_);
        bucket.filled_at = now;
        if (bucket.tokens < 1) return false;
        bucket.tokens -= 1;
        return true;
    }

  private:
    struct Bucket {
        double tokens = 0;
        Ticks filled_at = 0;
    };
    static constexpr double kDefaultCallsPerS = 8;
    double refill_per_s_;
    std::array<Bucket, kDutyPartitions> buckets_;
};

} // namespace ivyrill::duties
