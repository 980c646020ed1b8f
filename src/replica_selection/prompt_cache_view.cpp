#include "replica_selection/prompt_cache_view.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::replica_selection {

namespace {

constexpr double kFlowSpan = 5.0 * kTenthsPerSecond; // over which the flow is smoothed
constexpr Tenths kShortestHorizon = kTenthsPerSecond, kLongestHorizon = 60 * kTenthsPerSecond;
constexpr Tenths kCleanEvery = 5 * kTenthsPerSecond;

} // namespace

void PromptCacheView::used(const std::vector<PromptPart>& prompt, std::int64_t memory_tokens, double senders,
                           Tenths now) {
    const std::int64_t known = held(prompt, now);
    std::int64_t tokens = 0;
    for (const PromptPart& part : prompt) {
        tokens += part.tokens;
        last_used_[part.id] = now;
    }
    const double faded = std::exp(-static_cast<double>(now - last_use_) / kFlowSpan);
    const double fresh = static_cast<double>(tokens - known) * senders * kTenthsPerSecond / kFlowSpan;
    tokens_per_second_ = tokens_per_second_ * faded + fresh;
    last_use_ = now;
    const double seconds = static_cast<double>(memory_tokens) / std::max(tokens_per_second_, 1.0);
    horizon_ =
        static_cast<Tenths>(std::min(seconds * kTenthsPerSecond, static_cast<double>(kLongestHorizon)));
    horizon_ = std::max(horizon_, kShortestHorizon);
    if (now - cleaned_ >= kCleanEvery) forget_old(now);
}

std::int64_t PromptCacheView::held(const std::vector<PromptPart>& prompt, Tenths now) const {
    std::int64_t tokens = 0;
    for (const PromptPart& part : prompt) {
        const auto found = last_used_.find(part.id);
        if (found == last_used_.end() || now - found->second > horizon_) break;
        tokens += part.tokens;
    }
    return tokens;
}

void PromptCacheView::forget_old(Tenths now) {
    cleaned_ = now;
    std::erase_if(last_used_, [&](const auto& entry) { return now - entry.second > horizon_; });
}

} // namespace ivyrill::replica_selection
