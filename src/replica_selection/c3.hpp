// C3: how replicas are ranked, and how much one caller sends to each (L. Suresh, M. Canini, S. Schmid, A.
// Feldmann, "C3: Cutting Tail Latency in Cloud Data Stores via Adaptive Replica Selection", NSDI 2015).
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::replica_selection {

// Parameters of C3, from the paper and docs/design.md; limits are in requests per window.
inline constexpr Ticks kWindow = 200;                    // 20 ms
inline constexpr double kStartLimit = 10, kStepCap = 10; // ... and smax
inline constexpr double kMinLimit = 2,
                        kRecentMultiple = 2; // floors: itself, and a multiple of the recent sends
inline constexpr double kCut = 0.2, kSaddle = 1000, kRecentWeight = 0.3; // beta; 100 ms; weight of a window
inline constexpr double kGamma = kCut * kStartLimit / (kSaddle * kSaddle * kSaddle);

// R - 1/mu + q^3/mu: mean response R, mean service time 1/mu, queue q including the request; lowest is best.
inline double score(double response, double service, double waiting) {
    return response - service + waiting * waiting * waiting * service;
}

// Cubic rate limiter of one caller for one replica. `now` never goes back. Without calls of `sent` or
// `has_room`, `advance` must be called once a window: a skipped window counts as one without sends.
class SendRateLimiter {
  public:
    double limit() const { return limit_; }
    bool has_room(Ticks now) { return advance(now), sent_ < limit_; }
    void sent(Ticks now) { advance(now), ++sent_; }
    void answered(Ticks now) { advance(now), ++answers_; }
    void advance(Ticks now) {
        const Ticks window = now / kWindow;
        if (window == window_) return;
        const bool next = window == window_ + 1;
        recent_sends_ += kRecentWeight * ((next ? sent_ : 0) - recent_sends_);
        last_answers_ = next ? answers_ : 0, window_ = window, sent_ = answers_ = 0;
    }
    // After an answer: raises the limit along the cubic curve, or cuts it while requests wait (`backlogged`).
    void adapt(Ticks now, int outstanding, bool backlogged) {
        const double answers = std::max(answers_, last_answers_);
        // A full window with nothing outstanding was too small, though answers did not exceed the limit.
        if (answers > limit_ || (sent_ >= limit_ && outstanding == 0)) {
            const double offset = now - last_cut_ - std::cbrt(kCut * saturation_ / kGamma);
            const double cubic = kGamma * offset * offset * offset + saturation_;
            limit_ = std::max(limit_, std::min(limit_ + kStepCap, cubic)), last_rise_ = now;
        } else if (answers < limit_ && backlogged && now - last_rise_ > 2 * kWindow) {
            saturation_ = limit_, last_cut_ = now;
            limit_ = std::max({limit_ * kCut, kMinLimit, kRecentMultiple * recent_sends_});
        }
    }

  private:
    double limit_ = kStartLimit, saturation_ = kStartLimit, recent_sends_ = 0;
    Ticks last_cut_ = 0, last_rise_ = 0, window_ = 0;
    int sent_ = 0, answers_ = 0, last_answers_ = 0;
};
} // namespace ivyrill::replica_selection
