// How long a connection to a server may take to come up before another server is asked: a smoothed mean and
// deviation as for TCP's own timer (RFC 6298), wider, and doubled while none comes up, so that it also
// follows a network that turns slow.
#pragma once
#include "base/time.hpp"
#include "replica_selection/mechanism.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::proxy {

class ConnectPatience {
  public:
    void came_up(Tenths after) {
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
    void gave_up() { doublings_ = std::min(doublings_ + 1, kMostDoublings); }

    Tenths patience(Tenths latency_target) const {
        const Tenths most = std::clamp(latency_target, kLeastBound, kMostBound);
        using replica_selection::Mechanism;
        if (!known_ || !in_use(Mechanism::kConnectTimeout)) return most;
        const auto usual = static_cast<Tenths>(mean_ + kDeviations * deviation_);
        return std::min(most, std::max(usual, kLeast) << doublings_);
    }

  private:
    static constexpr double kMeanWeight = 0.125, kDeviationWeight = 0.25; // RFC 6298
    static constexpr double kDeviations =
        8; // twice as many as there: to leave early costs a wasted connection
    static constexpr Tenths kLeast = 200;
    static constexpr Tenths kLeastBound = 1000, kMostBound = 5000; // of the bound by the latency target
    static constexpr int kMostDoublings = 2;

    bool known_ = false;
    double mean_ = 0, deviation_ = 0;
    int doublings_ = 0; // one for each that did not come up since the last one that did
};

} // namespace ivyrill::proxy
