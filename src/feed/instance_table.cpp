#include "feed/instance_table.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace ivyrill::feed {

using model::Instance;
using model::InstanceState;

namespace {

// What one record adds to the digest of its range.
std::uint64_t share_of(const Instance& record, std::uint64_t hash) {
    if (record.state == InstanceState::kGone) return 0;
    const auto state = static_cast<std::uint64_t>(record.state);
    return mix_bits(hash ^ mix_bits(record.revision * 8 + state + 1));
}

} // namespace

bool InstanceTable::merge(const Instance& record, Tenths now) {
    const auto [place, fresh] = records_.try_emplace(record.id, record);
    if (!fresh) {
        if (!model::supersedes(record, place->second)) return false;
        discount(place->second);
        const Instance known = place->second;
        place->second = record;
        // A record of what is gone may come from one that knew little else of it.
        if (record.state == InstanceState::kGone && record.address.empty()) {
            place->second = known;
            place->second.state = InstanceState::kGone, place->second.revision = record.revision;
        }
    }
    count(place->second);
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

// Sums, so that records go in and out of them in any order.
void InstanceTable::count(const Instance& record) {
    const std::uint64_t hash = hash_text(record.id);
    digests_.ranges[hash % kDigestRanges] += share_of(record, hash);
}

void InstanceTable::discount(const Instance& record) {
    const std::uint64_t hash = hash_text(record.id);
    digests_.ranges[hash % kDigestRanges] -= share_of(record, hash);
}

void InstanceTable::erase(const std::string& id) {
    const auto known = records_.find(id);
    if (known == records_.end()) return;
    discount(known->second);
    records_.erase(known);
}

std::vector<std::uint64_t> InstanceTable::differing_ranges(const Digests& mine, const Digests& theirs) {
    std::vector<std::uint64_t> ranges;
    for (std::size_t range = 0; range < kDigestRanges; ++range) {
        const std::uint64_t here = range < mine.ranges.size() ? mine.ranges[range] : 0;
        const std::uint64_t there = range < theirs.ranges.size() ? theirs.ranges[range] : 0;
        if (here != there) ranges.push_back(range);
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

std::vector<std::string> InstanceTable::remove_expired(Tenths span, Tenths now) {
    std::vector<std::string> forgotten;
    for (auto next = gone_since_.begin(); next != gone_since_.end();) {
        const auto here = next++;
        if (now - here->second < span) continue;
        forgotten.push_back(here->first);
        erase(here->first);
        gone_since_.erase(here);
    }
    return forgotten;
}

} // namespace ivyrill::feed
