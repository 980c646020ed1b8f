// The items that a publisher sends to its subscribers: the latest item for each key, ordered by sequence
// number. A subscriber resumes after a sequence number or starts from a snapshot; both lead to the same
// state.
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
    std::uint64_t feed_id() const { return feed_id_; } // random, chosen when the publisher starts; never 0
    std::uint64_t sequence() const { return sequence_; }

    void put(Item item); // never a ConfigurationChange: those are derived
    void forget_instance(const std::string& id);
    // The items after a sequence number, in order; valid until the log changes. None if the log no longer
    // reaches back that far.
    std::optional<std::vector<const Item*>> since(std::uint64_t sequence) const;
    std::vector<const Item*> snapshot() const { return *since(0, true); }
    const model::Configuration* configuration() const;
    // The change from that version to the current one as an item, if it is the latest change; else null.
    const Item* change_from(std::int64_t base_version) const;

  private:
    struct Entry {
        std::uint64_t sequence = 0;
        Item item;
    };
    std::optional<std::vector<const Item*>> since(std::uint64_t sequence, bool is_snapshot) const;
    void erase(const std::string& key);
    void limit_removed(const std::string& instance);

    std::uint64_t feed_id_, sequence_ = 0, oldest_ = 0; // subscribers may resume from `oldest_` or later
    std::map<std::string, Entry> items_;
    std::map<std::uint64_t, std::string> order_; // sequence number to key
    std::deque<std::string> removed_;            // ids of removed instances, oldest first
    std::optional<Item> last_change_;            // a ConfigurationChange
};

ConfigurationChange difference(const model::Configuration& from, const model::Configuration& to);
// None if the change is not based on `from`.
std::optional<model::Configuration> apply(const model::Configuration& from,
                                          const ConfigurationChange& change);

} // namespace ivyrill::feed
