#include "duties/count_order.hpp"

#include <algorithm>

namespace ivyrill::duties {

void CountOrder::want(std::int64_t servers, Tenths now) {
    if (wanted_ != servers) not_before_ = now, pause_ = kFirstPause;
    wanted_ = servers, wanted_until_ = now + kWantedFor;
}

std::optional<std::int64_t> CountOrder::due(Tenths now) {
    if (now >= wanted_until_) wanted_.reset();
    if (is_under_way_ || fenced_off_ || now < not_before_ || wanted_ == accepted_) return std::nullopt;
    return wanted_;
}

void CountOrder::sent() { is_under_way_ = true; }

void CountOrder::answered(std::int64_t servers, PlatformOutcome outcome, Tenths now) {
    is_under_way_ = false;
    if (outcome == PlatformOutcome::kFencedOff) fenced_off_ = true;
    if (outcome == PlatformOutcome::kRefused && wanted_ == servers) wanted_.reset();
    if (outcome == PlatformOutcome::kAccepted) {
        accepted_ = servers, accepted_at_ = now;
        pause_ = kFirstPause;
        return;
    }
    not_before_ = now + pause_;
    pause_ = std::min(kLongestPause, 2 * pause_);
}

} // namespace ivyrill::duties
