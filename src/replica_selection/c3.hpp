// C3: how replicas are ranked, and how much one caller sends to each (L. Suresh, M. Canini, S. Schmid, A.
// Feldmann, "C3: Cutting Tail Latency in Cloud Data Stores via Adaptive Replica Selection", NSDI 2015).
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::replica_selection {

// C3's own figures, from the paper and docs/design.md; limits are in requests a window.
inline constexpr Tenths kWindow = 200;                        // 20 ms
inline constexpr double kStartLimit = 10, kStepCap = 10;      // ... and smax
inline constexpr double kLeastLimit = 2, kRecentMultiple = 2; // floors: itself, and times our recent sends
inline constexpr double kCut = 0.2, kSaddle = 1000, kRecentWeight = 0.3; // beta; 100 ms; a window's in a mean
inline constexpr double kGamma = kCut * kStartLimit / (kSaddle * kSaddle * kSaddle);

// R - 1/mu + q^3/mu: mean response R, mean service time 1/mu, queue q with the request in it; least is best.
inline double score(double response, double service, double waiting) {
    return response - service + waiting * waiting * waiting * service;
}

// What one caller may send to one replica in a window. `now` never goes back. Where neither is sent nor asked
// for room, `roll` is to be called once a window: one that is passed over counts as one without sends.
class SendRateLimiter {
  public:
    double limit() const { return limit_; }
    bool has_room(Tenths now) { return roll(now), sent_ < limit_; }
    void sent(Tenths now) { roll(now), ++sent_; }
    void answered(Tenths now) { roll(now), ++answers_; }
    void roll(Tenths now) {
        const Tenths window = now / kWindow;
        if (window == window_) return;
        const bool next = window == window_ + 1;
        recent_sends_ += kRecentWeight * ((next ? sent_ : 0) - recent_sends_);
        last_answers_ = next ? answers_ : 0, window_ = window, sent_ = answers_ = 0;
    }
    // After an answer: rises by the cubic curve, or is cut where requests wait for want of room
    // (`backlogged`).
    void adapt(Tenths now, int outstanding, bool backlogged) {
        const double answers = std::max(answers_, last_answers_);
        // Answers cannot exceed what is not sent: a full window of which nothing is owed was too narrow.
        if (answers > limit_ || (sent_ >= limit_ && outstanding == 0)) {
            const double reach = now - last_cut_ - std::cbrt(kCut * saturation_ / kGamma);
            const double cubic = kGamma * reach * reach * reach + saturation_;
            limit_ = std::max(limit_, std::min(limit_ + kStepCap, cubic)), last_rise_ = now;
        } else if (answers < limit_ && backlogged && now - last_rise_ > 2 * kWindow) {
            saturation_ = limit_, last_cut_ = now;
            limit_ = std::max({limit_ * kCut, kLeastLimit, kRecentMultiple * recent_sends_});
        }
    }

  private:
    double limit_ = kStartLimit, saturation_ = kStartLimit, recent_sends_ = 0;
    Tenths last_cut_ = 0, last_rise_ = 0, window_ = 0;
    int sent_ = 0, answers_ = 0, last_answers_ = 0;
};
} // namespace ivyrill::replica_selection
