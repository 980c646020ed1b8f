#include "replica_selection/prompt_cache_view.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::replica_selection {

namespace {

constexpr double kRateSmoothing = 5.0 * kTicksPerSecond; // time constant
constexpr Ticks kMinRetention = kTicksPerSecond, kMaxRetention = 60 * kTicksPerSecond;
constexpr Ticks kEvictionInterval = 5 * kTicksPerSecond;

} // namespace

void PromptCacheView::record_use(const std::vector<PromptPart>& prompt, std::int64_t memory_tokens,
                                 double senders, Ticks now) {
    const std::int64_t known = cached_tokens(prompt, now);
    std::int64_t tokens = 0;
    for (const PromptPart& part : prompt) {
        tokens += part.tokens;
        last_used_[part.id] = now;
    }
    const double decay = std::exp(-static_cast<double>(now - last_use_) / kRateSmoothing);
    const double fresh = static_cast<double>(tokens - known) * senders * kTicksPerSecond / kRateSmoothing;
    tokens_per_second_ = tokens_per_second_ * decay + fresh;
    last_use_ = now;
    const double seconds = static_cast<double>(memory_tokens) / std::max(tokens_per_second_, 1.0);
    retention_ = static_cast<Ticks>(std::min(seconds * kTicksPerSecond, static_cast<double>(kMaxRetention)));
    retention_ = std::max(retention_, kMinRetention);
    if (now - evicted_at_ >= kEvictionInterval) evict_old(now);
}

std::int64_t PromptCacheView::cached_tokens(const std::vector<PromptPart>& prompt, Ticks now) const {
    std::int64_t tokens = 0;
    for (const PromptPart& part : prompt) {
        const auto found = last_used_.find(part.id);
        if (found == last_used_.end() || now - found->second > retention_) break;
        tokens += part.tokens;
    }
    return tokens;
}

void PromptCacheView::evict_old(Ticks now) {
    evicted_at_ = now;
    std::erase_if(last_used_, [&](const auto& entry) { return now - entry.second > retention_; });
}

} // namespace ivyrill::replica_selection
