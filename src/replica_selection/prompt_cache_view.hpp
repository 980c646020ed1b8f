// What this node believes a server holds of the prompts' shared parts: what it sent there lately itself. A
// server keeps parts by least recent use, so how long one stays follows from the server's memory and the flow
// of tokens into it.
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
    // `senders`: nodes that send to the server as much as this one, as far as known.
    void used(const std::vector<PromptPart>& prompt, std::int64_t memory_tokens, double senders, Tenths now);
    // Tokens of the longest run of leading parts that is believed to be held.
    std::int64_t held(const std::vector<PromptPart>& prompt, Tenths now) const;
    void clear() { last_used_.clear(); }

  private:
    void forget_old(Tenths now);

    std::unordered_map<std::string, Tenths> last_used_;
    double tokens_per_second_ = 0; // into the server, all senders together
    Tenths last_use_ = 0, horizon_ = 0, cleaned_ = 0;
};

} // namespace ivyrill::replica_selection
