// Candidate publishers for a subscriber, and the order to try them in. Pure.
#pragma once
#include "base/hash.hpp"
#include "base/time.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace ivyrill::feed {

// A publisher in the minority side of a partition lists only the control nodes on that side. Formerly listed
// ones are kept as well, so that subscribers find the others when it stops serving.
class PublisherList {
  public:
    // `order_key`: differs between subscribers, so that sessions are spread over the publishers.
    explicit PublisherList(std::uint64_t order_key) : order_key_(order_key) {}

    // Sets the live publishers according to the current one, as feed addresses.
    void update(const std::vector<std::string>& addresses, Ticks now) {
        current_ = addresses;
        std::erase_if(last_listed_, [&](const auto& entry) { return now - entry.second > kRetention; });
        for (const std::string& address : addresses) last_listed_[address] = now;
    }

    // Candidates of one round: the current ones, the seeds, and one formerly listed address, a different one
    // each round, because most of those are gone and a connection attempt takes long.
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
        if (!former.empty()) addresses.push_back(former[rounds_++ % former.size()]);
        return addresses;
    }

  private:
    static bool contains(const std::vector<std::string>& list, const std::string& address) {
        return std::ranges::find(list, address) != list.end();
    }
    // Regions may be disconnected from each other for an hour.
    static constexpr Ticks kRetention = 3600 * kTicksPerSecond;
    std::uint64_t order_key_;
    std::vector<std::string> current_;
    std::map<std::string, Ticks> last_listed_;
    std::size_t rounds_ = 0;
};

} // namespace ivyrill::feed
