// Membership changes of a Replica: its leader compares the voters with the known nodes and changes one at a
// time.
#include "consensus/replica.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::consensus {

namespace {

constexpr Ticks kVoterLostAfter = 2 * kTicksPerSecond; // a voter not alive for this long is replaced

} // namespace

void Replica::set_member_statuses(std::vector<MemberStatus> statuses, std::size_t min_voters,
                                  std::size_t max_voters, Ticks now) {
    const std::vector<MemberStatus> before = std::exchange(member_statuses_, std::move(statuses));
    min_voters_ = min_voters;
    max_voters_ = max_voters;
    std::map<MemberId, Ticks> unlisted;
    if (newest_)
        for (const Member& voter : newest_->voters) {
            if (status_of(voter.id)) continue;
            const auto known = unlisted_since_.find(voter.id);
            unlisted[voter.id] = known == unlisted_since_.end() ? now : known->second;
        }
    unlisted_since_ = std::move(unlisted);
    if (role_ == Role::kLeader) {
        refresh_peers();
        resend_to_reconnected(before, now);
    }
    shorten_first_election_timeout(now);
    after_event(now);
}

// Messages sent to a peer before its link was up are lost: after a start of the whole group the peer would
// wait for the entry until the resend interval ends.
void Replica::resend_to_reconnected(const std::vector<MemberStatus>& before, Ticks now) {
    for (auto& [id, progress] : peers_) {
        const MemberStatus* listed = status_of(id);
        const auto was = std::ranges::find(before, id, [](const MemberStatus& c) { return c.member.id; });
        const bool was_alive = was != before.end() && was->alive;
        if (listed == nullptr || !listed->alive || was_alive) continue;
        progress.sent = {};
        send_append(id, progress, now);
    }
}

// Replicates to voters, former voters and all live members: the latter are learners that can become voters.
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
    for (const MemberStatus& listed : member_statuses_)
        if (listed.alive && !listed.removed) add(listed.member);
    peers_ = std::move(wanted);
}

const MemberStatus* Replica::status_of(MemberId id) const {
    const auto found =
        std::ranges::find_if(member_statuses_, [&](const MemberStatus& c) { return c.member.id == id; });
    return found == member_statuses_.end() ? nullptr : &*found;
}

// Whether another disk uses the voter's address now. A leader that has just started may never have seen the
// former disk.
bool Replica::disk_was_replaced(const Member& voter) const {
    if (planted(PlantedFault::kReplacedDiskAwaited)) return false; // fault injected by tests
    return std::ranges::any_of(member_statuses_, [&](const MemberStatus& listed) {
        return listed.alive && listed.member.address == voter.address && listed.member.id != voter.id;
    });
}

bool Replica::is_alive(const Member& voter) const {
    const MemberStatus* listed = status_of(voter.id);
    if ((listed && listed->removed) || disk_was_replaced(voter)) return false;
    return voter.id == options_.self.id || (listed && listed->alive);
}

bool Replica::is_lost(const Member& voter, Ticks now) const {
    const MemberStatus* listed = status_of(voter.id);
    if ((listed && listed->removed) || disk_was_replaced(voter)) return true;
    if (voter.id == options_.self.id) return false;
    if (listed) return !listed->alive && now - listed->since >= kVoterLostAfter;
    const auto unlisted = unlisted_since_.find(voter.id);
    return unlisted != unlisted_since_.end() && now - unlisted->second >= kVoterLostAfter;
}

// The best learner to become a voter now: alive, caught up, in the zone with the fewest voters.
const Member* Replica::best_learner(Ticks now) const {
    const Member* best = nullptr;
    const auto voters_in = [&](const std::string& zone) {
        return std::ranges::count_if(newest_->voters, [&](const Member& v) { return v.zone == zone; });
    };
    for (const MemberStatus& listed : member_statuses_) {
        const Member& member = listed.member;
        const auto peer = peers_.find(member.id);
        const bool is_voter =
            std::ranges::any_of(newest_->voters, [&](const Member& v) { return v.id == member.id; });
        if (!listed.alive || !listed.ready || listed.removed || is_voter || !responds(member.id, now))
            continue;
        // The entry before the newest is enough: with back-to-back proposals no other member holds the newest
        // at this point.
        if (peer->second.stored != newest_->stamp && peer->second.stored != previous_stamp_) continue;
        if (!best || voters_in(member.zone) < voters_in(best->zone)) best = &member;
    }
    return best;
}

std::optional<std::vector<Member>> Replica::target_voters(Ticks now) const {
    if (member_statuses_.empty()) return std::nullopt;
    std::vector<Member> voters = newest_->voters;
    const auto lost = std::ranges::find_if(voters, [&](const Member& voter) { return is_lost(voter, now); });
    const Member* joining = best_learner(now);
    if (lost != voters.end() && joining) {
        *lost = *joining;
        return voters;
    }
    if (joining && voters.size() < max_voters_) {
        voters.push_back(*joining);
        if (tolerable_losses(voters, now) >= tolerable_losses(newest_->voters, now)) return voters;
    }
    return without_lost_voters(now);
}

// How many of these voters may still be lost, one after the other, before no majority is left; negative if
// there is no majority now.
int Replica::tolerable_losses(const std::vector<Member>& voters, Ticks now) const {
    const auto stays = [&](const Member& voter) { return is_alive(voter) && responds(voter.id, now); };
    return static_cast<int>(std::ranges::count_if(voters, stays)) - static_cast<int>(voters.size() / 2 + 1);
}

// The group without its lost voters, if it then tolerates more further losses. With one of five lost, a group
// of four tolerates no more than the five do, so the lost voter stays and counts again when it returns; with
// two of five lost, a group of three tolerates one more loss.
std::optional<std::vector<Member>> Replica::without_lost_voters(Ticks now) const {
    if (planted(PlantedFault::kDeadVotersKept)) return std::nullopt; // fault injected by tests
    std::vector<Member> voters = newest_->voters;
    std::optional<std::vector<Member>> best;
    int most = tolerable_losses(voters, now);
    while (voters.size() > min_voters_) {
        const auto lost =
            std::ranges::find_if(voters, [&](const Member& voter) { return is_lost(voter, now); });
        if (lost == voters.end()) break;
        voters.erase(lost);
        if (tolerable_losses(voters, now) <= most) continue;
        most = tolerable_losses(voters, now);
        best = voters;
    }
    return most >= 0 ? best : std::nullopt;
}

bool Replica::responds(MemberId id, Ticks now) const {
    if (id == options_.self.id) return true;
    const auto peer = peers_.find(id);
    return peer != peers_.end() && peer->second.answered_at &&
           now - *peer->second.answered_at <= options_.election_timeout;
}

} // namespace ivyrill::consensus
