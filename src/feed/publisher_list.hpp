// Which publishers a subscriber tries, and in which order. Pure.
#pragma once
#include "base/hash.hpp"
#include "base/time.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace ivyrill::feed {

// A publisher that is cut off with the smaller half of the control nodes tells of that half alone. Those that
// were told of before are remembered, so that its subscribers find the others when it stops serving.
class PublisherList {
  public:
    // `order_key`: the subscriber's own, so that sessions are spread over the publishers.
    explicit PublisherList(std::uint64_t order_key) : order_key_(order_key) {}

    // Alive, as the present publisher tells; addresses of feeds.
    void update(const std::vector<std::string>& addresses, Tenths now) {
        current_ = addresses;
        std::erase_if(last_listed_, [&](const auto& entry) { return now - entry.second > kRetention; });
        for (const std::string& address : addresses) last_listed_[address] = now;
    }

    // For one round: those told of last, the seeds, and one of those told of before, another one each round:
    // most of them are gone, and to try one takes long.
    std::vector<std::string> next_candidates(std::vector<std::string> seeds) {
        std::vector<std::string> addresses;
        for (std::vector<std::string> group : {current_, std::move(seeds)}) {
            std::ranges::sort(group, std::ranges::greater{},
                              [this](const std::string& address) { return hash_text(address, order_key_); });
            for (std::string& address : group)
                if (!contains(addresses, address)) addresses.push_back(std::move(address));
        }
        std::vector<std::string> former;
        for (const auto& [address, at] : last_listed_)
            if (!contains(addresses, address)) former.push_back(address);
        if (!former.empty()) addresses.push_back(former[round_++ % former.size()]);
        return addresses;
    }

  private:
    static bool contains(const std::vector<std::string>& list, const std::string& address) {
        return std::ranges::find(list, address) != list.end();
    }
    static constexpr Tenths kRetention = 3600 * kTenthsPerSecond; // regions may lose each other for an hour
    std::uint64_t order_key_;
    std::vector<std::string> current_;
    std::map<std::string, Tenths> last_listed_;
    std::size_t round_ = 0;
};

} // namespace ivyrill::feed
