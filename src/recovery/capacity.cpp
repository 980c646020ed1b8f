#include "recovery/capacity.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::recovery {

void Capacity::learn(Tenths now, double power, double rate) {
    const double passed = at_ == 0 ? 0 : static_cast<double>(now - at_);
    at_ = now;
    seen_ *= std::exp2(-passed / (kForget * static_cast<double>(terms_.due)));
    if (power > 0) seen_ = std::max(seen_, rate / power);
}

void Capacity::judged(Tenths now, std::uint64_t in_time, std::uint64_t missed) {
    in_time_ += in_time, missed_ += missed;
    if (in_time_ + missed_ < kNews) return;
    if (now < judged_at_ + static_cast<Tenths>(kJudgeGap * static_cast<double>(terms_.due))) return;
    const double share = static_cast<double>(missed_) / static_cast<double>(in_time_ + missed_);
    trust_ = std::clamp(share > kMissed ? trust_ * kShrink : trust_ + kGrow, kLeastTrust, kMostTrust);
    in_time_ = missed_ = 0, judged_at_ = now;
}

double Capacity::of_one() const {
    if (terms_.stated > 0) return terms_.stated * trust_ / kStartTrust;
    return seen_ * trust_;
}

} // namespace ivyrill::recovery
