// Adaptive connect timeout, after which another server is tried: smoothed mean and deviation as for TCP's
// retransmission timer (RFC 6298), but wider, and doubled while connects time out, so that it also follows a
// network that becomes slow.
#pragma once
#include "base/time.hpp"
#include "replica_selection/mechanism.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::proxy {

class ConnectTimeout {
  public:
    void connected(Ticks after) {
        const double took = static_cast<double>(after);
        if (!known_) {
            known_ = true;
            mean_ = took, deviation_ = took / 2;
        } else {
            deviation_ += kDeviationWeight * (std::abs(took - mean_) - deviation_);
            mean_ += kMeanWeight * (took - mean_);
        }
        doublings_ = 0;
    }
    void timed_out() { doublings_ = std::min(doublings_ + 1, kMaxDoublings); }

    Ticks timeout(Ticks latency_target) const {
        const Ticks bound = std::clamp(latency_target, kMinBound, kMaxBound);
        using replica_selection::Mechanism;
        if (!known_ || !in_use(Mechanism::kConnectTimeout)) return bound;
        const auto usual = static_cast<Ticks>(mean_ + kDeviations * deviation_);
        return std::min(bound, std::max(usual, kMinTimeout) << doublings_);
    }

  private:
    static constexpr double kMeanWeight = 0.125, kDeviationWeight = 0.25; // RFC 6298
    static constexpr double kDeviations = 8; // twice as many as there: an early timeout wastes a connection
    static constexpr Ticks kMinTimeout = 200;
    static constexpr Ticks kMinBound = 1000, kMaxBound = 5000; // of the upper bound, the latency target
    static constexpr int kMaxDoublings = 2;

    bool known_ = false;
    double mean_ = 0, deviation_ = 0;
    int doublings_ = 0; // timeouts since the last established connection
};

} // namespace ivyrill::proxy
