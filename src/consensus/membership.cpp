// Who votes: a leader compares the voters with the members that are there, and changes one at a time.
#include "consensus/replica.hpp"

#include <algorithm>

namespace ivyrill::consensus {

namespace {

constexpr Tenths kGoneAfter = 2 * kTenthsPerSecond; // a voter that isn't alive for so long is replaced

} // namespace

void Replica::set_candidates(std::vector<Candidate> candidates, std::size_t least, std::size_t most,
                             Tenths now) {
    candidates_ = std::move(candidates);
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
    if (role_ == Role::kLeader) refresh_peers();
    settle(now);
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
    for (const Candidate& listed : candidates_)
        if (listed.alive && !listed.removed) add(listed.member);
    peers_ = std::move(wanted);
}

const Candidate* Replica::candidate(MemberId id) const {
    const auto found =
        std::ranges::find_if(candidates_, [&](const Candidate& c) { return c.member.id == id; });
    return found == candidates_.end() ? nullptr : &*found;
}

bool Replica::alive(const Member& voter) const {
    const Candidate* listed = candidate(voter.id);
    if (listed && listed->removed) return false;
    return voter.id == options_.self.id || (listed && listed->alive);
}

bool Replica::gone(const Member& voter, Tenths now) const {
    const Candidate* listed = candidate(voter.id);
    if (listed && listed->removed) return true;
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
    for (const Candidate& listed : candidates_) {
        const Member& member = listed.member;
        const auto peer = peers_.find(member.id);
        const bool is_voter =
            std::ranges::any_of(newest_->voters, [&](const Member& v) { return v.id == member.id; });
        if (!listed.alive || listed.removed || is_voter || !answers(member.id, now)) continue;
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
        return voters;
    }
    return smaller_group(now);
}

// Fewer voters only where as many as before may then be lost: of an even number one leaves, of an odd number
// two do at once. (Of five, four would bear the loss of one only, and so would three after two are gone.)
std::optional<std::vector<Member>> Replica::smaller_group(Tenths now) const {
    std::vector<Member> voters = newest_->voters;
    const std::size_t leaving = voters.size() % 2 == 0 ? 1 : 2;
    for (std::size_t i = 0; i < leaving; ++i) {
        const auto lost = std::ranges::find_if(voters, [&](const Member& voter) { return gone(voter, now); });
        if (lost == voters.end()) return std::nullopt;
        voters.erase(lost);
    }
    const auto stays = [&](const Member& voter) { return alive(voter) && answers(voter.id, now); };
    const auto remaining = static_cast<std::size_t>(std::ranges::count_if(voters, stays));
    if (voters.empty() || remaining < least_ || remaining < voters.size()) return std::nullopt;
    return voters;
}

bool Replica::answers(MemberId id, Tenths now) const {
    if (id == options_.self.id) return true;
    const auto peer = peers_.find(id);
    return peer != peers_.end() && peer->second.answered_at &&
           now - *peer->second.answered_at <= options_.election_timeout;
}

} // namespace ivyrill::consensus
