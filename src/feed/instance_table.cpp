#include "feed/instance_table.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace ivyrill::feed {

using model::Instance;
using model::InstanceState;

namespace {

// Contribution of one record to the digest of its range.
std::uint64_t digest_of(const Instance& record, std::uint64_t hash) {
    if (record.state == InstanceState::kGone) return 0;
    const auto state = static_cast<std::uint64_t>(record.state);
    return mix_bits(hash ^ mix_bits(record.revision * 8 + state + 1));
}

} // namespace

bool InstanceTable::merge(const Instance& record, Ticks now) {
    const auto [entry, inserted] = records_.try_emplace(record.id, record);
    if (!inserted) {
        if (!model::supersedes(record, entry->second)) return false;
        remove_from_digest(entry->second);
        const Instance known = entry->second;
        entry->second = record;
        // A record of an instance that is gone may come from a node that knew little else about it.
        if (record.state == InstanceState::kGone && record.address.empty()) {
            entry->second = known;
            entry->second.state = InstanceState::kGone, entry->second.revision = record.revision;
        }
    }
    add_to_digest(entry->second);
    if (record.state == InstanceState::kGone)
        gone_since_.emplace(record.id, now);
    else
        gone_since_.erase(record.id);
    return true;
}

const Instance* InstanceTable::find(const std::string& id) const {
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

std::size_t InstanceTable::range_of(const std::string& id) { return hash_text(id) % kDigestRanges; }

// Digests are sums, so records can be added and removed in any order.
void InstanceTable::add_to_digest(const Instance& record) {
    const std::uint64_t hash = hash_text(record.id);
    digests_.ranges[hash % kDigestRanges] += digest_of(record, hash);
}

void InstanceTable::remove_from_digest(const Instance& record) {
    const std::uint64_t hash = hash_text(record.id);
    digests_.ranges[hash % kDigestRanges] -= digest_of(record, hash);
}

void InstanceTable::erase(const std::string& id) {
    const auto known = records_.find(id);
    if (known == records_.end()) return;
    remove_from_digest(known->second);
    records_.erase(known);
}

std::vector<std::uint64_t> InstanceTable::differing_ranges(const Digests& mine, const Digests& theirs) {
    std::vector<std::uint64_t> ranges;
    for (std::size_t range = 0; range < kDigestRanges; ++range) {
        const std::uint64_t own = range < mine.ranges.size() ? mine.ranges[range] : 0;
        const std::uint64_t other = range < theirs.ranges.size() ? theirs.ranges[range] : 0;
        if (own != other) ranges.push_back(range);
    }
    return ranges;
}

std::vector<Instance> InstanceTable::records_in_ranges(const std::vector<std::uint64_t>& ranges) const {
    std::vector<Instance> found;
    for (const auto& [id, record] : records_)
        if (std::ranges::find(ranges, range_of(id)) != ranges.end()) found.push_back(record);
    return found;
}

void InstanceTable::forget(const std::string& id) {
    erase(id);
    gone_since_.erase(id);
}

std::vector<std::string> InstanceTable::remove_expired(Ticks span, Ticks now) {
    std::vector<std::string> forgotten;
    for (auto next = gone_since_.begin(); next != gone_since_.end();) {
        const auto current = next++;
        if (now - current->second < span) continue;
        forgotten.push_back(current->first);
        erase(current->first);
        gone_since_.erase(current);
    }
    return forgotten;
}

} // namespace ivyrill::feed
