// Who votes: a leader compares the voters with the members that are there, and changes one at a time.
#include "consensus/replica.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::consensus {

namespace {

constexpr Tenths kGoneAfter = 2 * kTenthsPerSecond; // a voter that isn't alive for so long is replaced

} // namespace

void Replica::set_member_statuses(std::vector<MemberStatus> candidates, std::size_t least, std::size_t most,
                                  Tenths now) {
    const std::vector<MemberStatus> before = std::exchange(candidates_, std::move(candidates));
    least_ = least;
    most_ = most;
    std::map<MemberId, Tenths> unlisted;
    if (newest_)
        for (const Member& voter : newest_->voters) {
            if (candidate(voter.id)) continue;
            const auto known = unlisted_since_.find(voter.id);
            unlisted[voter.id] = known == unlisted_since_.end() ? now : known->second;
        }
    unlisted_since_ = std::move(unlisted);
    if (role_ == Role::kLeader) {
        refresh_peers();
        greet_arrivals(before, now);
    }
    hasten_first_election(now);
    settle(now);
}

// What was sent to a peer before its link stood was lost: after a start of the whole group it would wait for
// the entry until it is sent again.
void Replica::greet_arrivals(const std::vector<MemberStatus>& before, Tenths now) {
    for (auto& [id, progress] : peers_) {
        const MemberStatus* listed = candidate(id);
        const auto was = std::ranges::find(before, id, [](const MemberStatus& c) { return c.member.id; });
        const bool was_alive = was != before.end() && was->alive;
        if (listed == nullptr || !listed->alive || was_alive) continue;
        progress.sent = {};
        send_append(id, progress, now);
    }
}

// Voters, former ones, and all that are alive: these learn, so that they can become voters.
void Replica::refresh_peers() {
    std::map<MemberId, Progress> wanted;
    const auto add = [&](const Member& member) {
        if (member.id == options_.self.id) return;
        const auto known = peers_.find(member.id);
        Progress progress = known == peers_.end() ? Progress{} : known->second;
        progress.address = address_of(member.id).value_or(member.address);
        wanted.emplace(member.id, std::move(progress));
    };
    std::ranges::for_each(newest_->voters, add);
    std::ranges::for_each(newest_->former_voters, add);
    for (const MemberStatus& listed : candidates_)
        if (listed.alive && !listed.removed) add(listed.member);
    peers_ = std::move(wanted);
}

const MemberStatus* Replica::candidate(MemberId id) const {
    const auto found =
        std::ranges::find_if(candidates_, [&](const MemberStatus& c) { return c.member.id == id; });
    return found == candidates_.end() ? nullptr : &*found;
}

// Another disk holds its address now. A leader that has just started may never have met the former one.
bool Replica::disk_was_replaced(const Member& voter) const {
    if (planted(PlantedFault::kReplacedDiskAwaited)) return false;
    return std::ranges::any_of(candidates_, [&](const MemberStatus& listed) {
        return listed.alive && listed.member.address == voter.address && listed.member.id != voter.id;
    });
}

bool Replica::alive(const Member& voter) const {
    const MemberStatus* listed = candidate(voter.id);
    if ((listed && listed->removed) || disk_was_replaced(voter)) return false;
    return voter.id == options_.self.id || (listed && listed->alive);
}

bool Replica::gone(const Member& voter, Tenths now) const {
    const MemberStatus* listed = candidate(voter.id);
    if ((listed && listed->removed) || disk_was_replaced(voter)) return true;
    if (voter.id == options_.self.id) return false;
    if (listed) return !listed->alive && now - listed->since >= kGoneAfter;
    const auto unlisted = unlisted_since_.find(voter.id);
    return unlisted != unlisted_since_.end() && now - unlisted->second >= kGoneAfter;
}

// The best member that could become a voter now: alive, caught up, in the zone with the fewest voters.
const Member* Replica::spare(Tenths now) const {
    const Member* best = nullptr;
    const auto voters_in = [&](const std::string& zone) {
        return std::ranges::count_if(newest_->voters, [&](const Member& v) { return v.zone == zone; });
    };
    for (const MemberStatus& listed : candidates_) {
        const Member& member = listed.member;
        const auto peer = peers_.find(member.id);
        const bool is_voter =
            std::ranges::any_of(newest_->voters, [&](const Member& v) { return v.id == member.id; });
        if (!listed.alive || !listed.ready || listed.removed || is_voter || !answers(member.id, now))
            continue;
        // The entry before the newest is enough: where proposals follow each other, no member has more at
        // this time.
        if (peer->second.stored != newest_->stamp && peer->second.stored != before_newest_) continue;
        if (!best || voters_in(member.zone) < voters_in(best->zone)) best = &member;
    }
    return best;
}

std::optional<std::vector<Member>> Replica::wanted_voters(Tenths now) const {
    if (candidates_.empty()) return std::nullopt;
    std::vector<Member> voters = newest_->voters;
    const auto lost = std::ranges::find_if(voters, [&](const Member& voter) { return gone(voter, now); });
    const Member* joining = spare(now);
    if (lost != voters.end() && joining) {
        *lost = *joining;
        return voters;
    }
    if (joining && voters.size() < most_) {
        voters.push_back(*joining);
        if (further_losses(voters, now) >= further_losses(newest_->voters, now)) return voters;
    }
    return smaller_group(now);
}

// How many of these voters that are there may go, one after the other, before no majority is left; below zero
// where none is there now.
int Replica::further_losses(const std::vector<Member>& voters, Tenths now) const {
    const auto stays = [&](const Member& voter) { return alive(voter) && answers(voter.id, now); };
    return static_cast<int>(std::ranges::count_if(voters, stays)) - static_cast<int>(voters.size() / 2 + 1);
}

// Without voters that are gone, where more of the others may then be lost: of five, four would bear the loss
// of one as well, so one stays on the list and counts when it is back; three bear it where two are gone.
std::optional<std::vector<Member>> Replica::smaller_group(Tenths now) const {
    if (planted(PlantedFault::kDeadVotersKept)) return std::nullopt;
    std::vector<Member> voters = newest_->voters;
    std::optional<std::vector<Member>> best;
    int most = further_losses(voters, now);
    while (voters.size() > least_) {
        const auto lost = std::ranges::find_if(voters, [&](const Member& voter) { return gone(voter, now); });
        if (lost == voters.end()) break;
        voters.erase(lost);
        if (further_losses(voters, now) <= most) continue;
        most = further_losses(voters, now);
        best = voters;
    }
    return most >= 0 ? best : std::nullopt;
}

bool Replica::answers(MemberId id, Tenths now) const {
    if (id == options_.self.id) return true;
    const auto peer = peers_.find(id);
    return peer != peers_.end() && peer->second.answered_at &&
           now - *peer->second.answered_at <= options_.election_timeout;
}

} // namespace ivyrill::consensus
