// What one publisher tells its subscribers: the latest item under each key, numbered by the place at which it
// came. A subscriber goes on from a place, or starts from a snapshot; both are the same items.
#pragma once
#include "feed/messages.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::feed {

class FeedLog {
  public:
    explicit FeedLog(std::uint64_t feed_id) : feed_id_(feed_id) {}
    std::uint64_t feed_id() const { return feed_id_; } // drawn by the publisher when it starts; never 0
    std::uint64_t sequence() const { return sequence_; }

    void put(Item item); // ConfigurationChange is never put: it is derived
    void forget_instance(const std::string& id);
    // The items after a place, in order, until the log is changed; nothing where it no longer reaches back so
    // far.
    std::optional<std::vector<const Item*>> since(std::uint64_t sequence) const;
    std::vector<const Item*> snapshot() const { return *since(0, true); }
    const model::Configuration* configuration() const;
    // The step from that version to the present one as an item, where it is the last one; else null.
    const Item* change_from(std::int64_t base_version) const;

  private:
    struct Kept {
        std::uint64_t sequence = 0;
        Item item;
    };
    std::optional<std::vector<const Item*>> since(std::uint64_t sequence, bool whole) const;
    void erase(const std::string& key);
    void bound_forgotten(const std::string& instance);

    std::uint64_t feed_id_, sequence_ = 0, oldest_ = 0; // one may go on from `oldest_` or later
    std::map<std::string, Kept> items_;
    std::map<std::uint64_t, std::string> order_; // place to key
    std::deque<std::string> forgotten_;          // instances, oldest first
    std::optional<Item> last_change_;            // a ConfigurationChange
};

ConfigurationChange difference(const model::Configuration& from, const model::Configuration& to);
// Nothing where the change is not built on `from`.
std::optional<model::Configuration> apply(const model::Configuration& from,
                                          const ConfigurationChange& change);

} // namespace ivyrill::feed
