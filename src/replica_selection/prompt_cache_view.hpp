// Estimate of a server's prompt cache from what this node has recently sent there. Servers evict the least
// recently used parts, so the time a part stays cached follows from the server's memory and the rate of
// tokens into it.
#pragma once
#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace ivyrill::replica_selection {

struct PromptPart {
    std::string id;
    std::int64_t tokens = 0;
};

class PromptCacheView {
  public:
    // `senders`: number of nodes that are assumed to send as much as this one.
    void record_use(const std::vector<PromptPart>& prompt, std::int64_t memory_tokens, double senders,
                    Ticks now);
    // Tokens of the leading parts that are believed to be cached.
    std::int64_t cached_tokens(const std::vector<PromptPart>& prompt, Ticks now) const;
    void clear() { last_used_.clear(); }

  private:
    void evict_old(Ticks now);

    std::unordered_map<std::string, Ticks> last_used_;
    double tokens_per_second_ = 0; // into the server, from all senders
    Ticks last_use_ = 0, retention_ = 0, evicted_at_ = 0;
};

} // namespace ivyrill::replica_selection
