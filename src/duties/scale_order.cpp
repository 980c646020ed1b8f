#include "duties/scale_order.hpp"

#include <algorithm>

namespace ivyrill::duties {

void ScaleOrder::request(std::int64_t servers, Ticks now) {
    if (pending_ != servers) not_before_ = now, backoff_ = kInitialBackoff;
    pending_ = servers, pending_until_ = now + kOrderValidity;
}

std::optional<std::int64_t> ScaleOrder::due(Ticks now) {
    if (now >= pending_until_) pending_.reset();
    if (is_in_flight_ || fenced_off_ || now < not_before_ || pending_ == accepted_) return std::nullopt;
    return pending_;
}

void ScaleOrder::sent() { is_in_flight_ = true; }

void ScaleOrder::answered(std::int64_t servers, PlatformOutcome outcome, Ticks now) {
    is_in_flight_ = false;
    if (outcome == PlatformOutcome::kFencedOff) fenced_off_ = true;
    if (outcome == PlatformOutcome::kRefused && pending_ == servers) pending_.reset();
    if (outcome == PlatformOutcome::kAccepted) {
        accepted_ = servers, accepted_at_ = now;
        backoff_ = kInitialBackoff;
        return;
    }
    not_before_ = now + backoff_;
    backoff_ = std::min(kMaxBackoff, 2 * backoff_);
}

} // namespace ivyrill::duties
