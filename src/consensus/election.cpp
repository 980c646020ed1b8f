// Elections of a Replica: pre-vote, vote, and the leader's request to start an election at once.
#include "consensus/replica.hpp"

#include <algorithm>

namespace ivyrill::consensus {

namespace {

constexpr double kFirstElectionSpread = 500; // 50 ms; makes simultaneous candidates unlikely

} // namespace

void Replica::postpone_election(Ticks now) {
    const auto share = static_cast<Ticks>(random_.unit() * static_cast<double>(options_.election_timeout));
    election_at_ = now + options_.election_timeout + share;
}

// After a start of the whole group there is no leader, and waiting for a full election timeout would only
// delay service. If there is a leader, the members that hear it deny the pre-vote.
void Replica::shorten_first_election_timeout(Ticks now) {
    if (has_known_leader_ || role_ != Role::kFollower || !may_campaign()) return;
    const MemberPredicate is_reachable = [this](MemberId id) {
        const MemberStatus* listed = status_of(id);
        return id == options_.self.id || (listed && listed->alive);
    };
    if (!is_majority(is_reachable)) return;
    const auto soon = static_cast<Ticks>(random_.unit() * kFirstElectionSpread);
    election_at_ = std::min(election_at_, now + soon);
}

bool Replica::may_campaign() const { return has_durable_entry() && is_voter() && !resigning_; }

bool Replica::has_live_leader(Ticks now) const {
    return leader_heard_at_ && now - *leader_heard_at_ <= options_.election_timeout;
}

void Replica::start_pre_vote(Ticks now) {
    postpone_election(now);
    leader_.reset();
    if (!may_campaign()) return;
    role_ = Role::kPreCandidate;
    campaigning_ = false;
    votes_ = {options_.self.id};
    request_votes(true);
    count_votes(now);
}

// The other voters are asked only once the own vote is durable (after_store): a candidate that lost its
// term in a crash could otherwise be elected twice in the same term.
void Replica::start_election(Ticks now) {
    role_ = Role::kCandidate;
    leader_.reset();
    ++term_;
    voted_for_ = options_.self.id;
    pending_vote_.reset();
    campaigning_ = false;
    votes_.clear();
    postpone_election(now);
    persist(now);
}

void Replica::request_votes(bool pre_vote) {
    const VoteRequest request{pre_vote ? term_ + 1 : term_, newest_stamp(), pre_vote};
    std::set<MemberId> asked{options_.self.id};
    for (const auto* voters : {&newest_->voters, &newest_->former_voters})
        for (const Member& voter : *voters)
            if (asked.insert(voter.id).second) reply(voter.id, request);
}

void Replica::count_votes(Ticks now) {
    if (!is_majority([&](MemberId id) { return votes_.contains(id); })) return;
    if (role_ == Role::kPreCandidate)
        start_election(now);
    else if (role_ == Role::kCandidate)
        become_leader(now);
}

// A pre-vote changes no state, so that a member that was partitioned can't disturb a group with a leader.
void Replica::on_pre_vote(MemberId from, const VoteRequest& request, Ticks now) {
    const bool up_to_date =
        request.newest >= newest_stamp() || planted(PlantedFault::kOlderCandidateAccepted);
    const bool may_vote = has_durable_entry() || planted(PlantedFault::kNewDiskVotes);
    const bool granted =
        may_vote && role_ != Role::kLeader && !has_live_leader(now) && request.term > term_ && up_to_date;
    reply(from, VoteReply{granted ? request.term : term_, granted, true});
}

void Replica::on(MemberId from, const VoteRequest& request, Ticks now) {
    if (request.pre_vote) return on_pre_vote(from, request, now);
    if (request.term > term_) become_follower(request.term, std::nullopt);
    const bool up_to_date =
        request.newest >= newest_stamp() || planted(PlantedFault::kOlderCandidateAccepted);
    const bool may_vote = has_durable_entry() || planted(PlantedFault::kNewDiskVotes);
    const bool vote_is_free = !voted_for_ || voted_for_ == from;
    if (request.term < term_ || !may_vote || !vote_is_free || !up_to_date)
        return reply(from, VoteReply{term_, false, false});
    voted_for_ = from;
    postpone_election(now);
    const bool is_durable = durable_.term == term_ && durable_.voted_for == voted_for_;
    if (is_durable || planted(PlantedFault::kVoteBeforeStored) || planted(PlantedFault::kNewDiskVotes))
        return reply(from, VoteReply{term_, true, false});
    pending_vote_ = from;
}

void Replica::on(MemberId from, const VoteReply& answer, Ticks now) {
    if (answer.pre_vote && answer.granted) {
        if (role_ != Role::kPreCandidate || answer.term != term_ + 1) return;
        votes_.insert(from);
        return count_votes(now);
    }
    if (answer.term > term_) return become_follower(answer.term, std::nullopt);
    if (!answer.granted || answer.term != term_ || role_ != Role::kCandidate || !campaigning_) return;
    votes_.insert(from);
    count_votes(now);
}

void Replica::on(MemberId from, const TimeoutNow& order, Ticks now) {
    if (order.term != term_ || leader_ != from || role_ != Role::kFollower || !may_campaign()) return;
    start_election(now);
}

} // namespace ivyrill::consensus
