// All model servers known to a process, merged record by record from heartbeats and from other processes'
// copies. Merging is commutative and idempotent, so copies that have seen the same records are equal; digests
// over ranges of ids show where they differ.
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
    // Returns true if the record changed the table.
    bool merge(const model::Instance& record, Ticks now);
    const model::Instance* find(const std::string& id) const; // null if unknown
    const std::map<std::string, model::Instance>& records() const { return records_; }

    const Digests& digests() const { return digests_; } // of the records that are not in state gone
    static std::size_t range_of(const std::string& id);
    static std::vector<std::uint64_t> differing_ranges(const Digests& mine, const Digests& theirs);
    std::vector<model::Instance>
    records_in_ranges(const std::vector<std::uint64_t>& ranges) const; // including instances that are gone
    void forget(const std::string& id);
    // Removes the instances that have been gone for longer than `span`; returns their ids.
    std::vector<std::string> remove_expired(Ticks span, Ticks now);

  private:
    void add_to_digest(const model::Instance& record); // adds the record to the digests
    void remove_from_digest(const model::Instance& record);
    void erase(const std::string& id);

    Digests digests_{std::vector<std::uint64_t>(kDigestRanges, 0)};
    std::map<std::string, model::Instance> records_;
    std::map<std::string, Ticks> gone_since_;
};

} // namespace ivyrill::feed
