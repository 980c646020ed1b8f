#include "control/sync_tracker.hpp"

#include <utility>
#include <vector>

namespace ivyrill::control {

bool SyncTracker::is_own_request(const feed::RequestId& id) {
    if (id.incarnation == incarnation_ || planted(PlantedFault::kAnswerOfFormerProcess)) return true;
    ++dropped_replies_.other_process;
    return false;
}

std::optional<feed::RangeRequest> SyncTracker::request(std::uint64_t member, Ticks now) {
    if (member == 0 || synced_members_.contains(member)) return std::nullopt;
    Request& pending = requests_[member];
    if (pending.number != 0 && now - pending.sent_at < kRequestTimeout) return std::nullopt;
    const feed::RequestId id = next_id();
    pending = {id.number, now};
    std::vector<std::uint64_t> ranges;
    for (std::uint64_t range = 0; range < feed::kDigestRanges; ++range) ranges.push_back(range);
    return feed::RangeRequest{std::move(ranges), id};
}

void SyncTracker::reply_received(std::uint64_t member, const feed::RequestId& answers) {
    if (answers.number == 0 || !is_own_request(answers)) return;
    const auto pending = requests_.find(member);
    if (pending == requests_.end() || pending->second.number != answers.number) return count_unsolicited();
    requests_.erase(pending);
    synced_members_.insert(member);
}

void SyncTracker::reset() {
    if (planted(PlantedFault::kCopiesKept)) return;
    synced_members_.clear();
    requests_.clear();
}

} // namespace ivyrill::control
