// All model servers that one process knows of, merged record by record from heartbeats and from other
// processes' copies. Merging is commutative and idempotent, so copies that have seen the same records are
// equal; digests over ranges of ids tell where they are not.
#pragma once
#include "base/time.hpp"
#include "feed/messages.hpp"
#include "model/instance.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ivyrill::feed {

class InstanceTable {
  public:
    // True where the record was news.
    bool merge(const model::Instance& record, Tenths now);
    const model::Instance* find(const std::string& id) const; // null where unknown
    const std::map<std::string, model::Instance>& records() const { return records_; }

    const Digests& digests() const { return digests_; } // of the records that aren't gone
    static std::size_t range_of(const std::string& id);
    static std::vector<std::uint64_t> differing_ranges(const Digests& mine, const Digests& theirs);
    std::vector<model::Instance>
    records_in_ranges(const std::vector<std::uint64_t>& ranges) const; // with those that are gone
    void forget(const std::string& id);
    // Forgets what has been gone for longer than `span`; returns the ids.
    std::vector<std::string> remove_expired(Tenths span, Tenths now);

  private:
    void count(const model::Instance& record); // into the digests, and out of them
    void discount(const model::Instance& record);
    void erase(const std::string& id);

    Digests digests_{std::vector<std::uint64_t>(kDigestRanges, 0)};
    std::map<std::string, model::Instance> records_;
    std::map<std::string, Tenths> gone_since_;
};

} // namespace ivyrill::feed
