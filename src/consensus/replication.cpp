// What a leader does, and what its followers answer.
#include "consensus/replica.hpp"

#include <algorithm>

namespace ivyrill::consensus {

namespace {

constexpr Tenths kEntryResendInterval = 3000; // 300 ms: an entry is whole, and may be long
constexpr std::size_t kMostQueuedProposals = 1024, kMostWaitingReads = 16384;
constexpr Tenths kGrowthPatience = 3 * kTenthsPerSecond;
constexpr int kHandOverHeartbeats = 2; // how long a leader that resigns waits for what is under way

} // namespace

void Replica::become_leader(Tenths now) {
    role_ = Role::kLeader;
    knew_leader_ = true;
    leader_ = options_.self.id;
    votes_.clear();
    campaigning_ = false;
    quorum_at_ = leading_since_ = now;
    agreed_ = {};
    quorum_round_ = read_round_ = round_;
    rounds_.clear();
    if (planted(PlantedFault::kOldTermCommitted)) {
        refresh_peers();
        return broadcast(now);
    }
    // Only an entry of the own term may be committed by counting its holders (Raft, 5.4.2).
    put_entry(newest_->voters, newest_->former_voters, newest_->payload, now);
}

void Replica::lose_leadership() {
    if (under_way_) {
        const auto outcome = planted(PlantedFault::kUnknownReportedRejected) ? ProposalOutcome::kRejected
                                                                             : ProposalOutcome::kUnknown;
        emit(ProposalDone{*std::exchange(under_way_, std::nullopt), outcome});
    }
    for (const Proposal& waiting : std::exchange(queue_, {})) {
        const auto outcome = planted(PlantedFault::kQueuedReportedCommitted) ? ProposalOutcome::kCommitted
                                                                             : ProposalOutcome::kRejected;
        emit(ProposalDone{waiting.id, outcome});
    }
    for (const Read& read : std::exchange(reads_, {})) emit(ReadDone{read.id, false});
    if (leads_) emit(RoleChanged{false, term_});
    leads_ = false;
    hand_over_at_.reset();
    peers_.clear();
    rounds_.clear();
    heard_at_.reset();
    contact_at_.reset();
}

void Replica::put_entry(std::vector<Member> voters, std::vector<Member> former, std::string payload,
                        Tenths now) {
    before_newest_ = newest_stamp();
    newest_ =
        Entry{{term_, before_newest_.index + 1}, std::move(voters), std::move(former), std::move(payload)};
    refresh_peers();
    persist(now);
    broadcast(now);
}

void Replica::broadcast(Tenths now) {
    rounds_.push_back({++round_, now});
    heartbeat_at_ = now + options_.heartbeat_interval;
    for (auto& [id, progress] : peers_) send_append(id, progress, now);
    update_quorum();
}

void Replica::send_append(MemberId to, Progress& progress, Tenths now) {
    Append append{term_,          round_,
                  newest_stamp(), committed_ ? committed_->stamp : Stamp{},
                  std::nullopt,   echo(progress, now)};
    const bool was_sent = progress.sent == append.newest && now - progress.sent_at < kEntryResendInterval;
    if (progress.stored != append.newest && !was_sent) {
        append.entry = newest_;
        progress.sent = append.newest;
        progress.sent_at = now;
    }
    send(to, progress.address, std::move(append));
}

// After that moment of the member's own clock this leader was in touch with a majority: the token came later,
// and since then the clocks have gone on alike.
std::optional<ContactToken> Replica::echo(const Progress& progress, Tenths now) const {
    if (!progress.token || planted(PlantedFault::kContactWithoutMajority)) return progress.token;
    return ContactToken{progress.token->process, progress.token->at - (now - quorum_at_)};
}

void Replica::on(MemberId from, const Append& append, Tenths now) {
    if (append.term < term_ && !planted(PlantedFault::kOlderTermAccepted)) {
        ++dropped_messages_.older_term;
        return reply(from, AppendReply{term_, 0, durable_.newest, token(now)});
    }
    if (append.term < term_) term_ = append.term; // the planted fault
    const bool is_newer = append.term > term_ || leader_ != from;
    if (is_newer || role_ != Role::kFollower) {
        become_follower(append.term, from);
        heard_round_ = 0;
    }
    heard_round_ = std::max(heard_round_, append.round);
    heard_at_ = now;
    knew_leader_ = true;
    take_echo(append, now);
    postpone_election(now);
    leader_committed_ = std::max(leader_committed_, append.committed);
    const auto is_committed = [&] {
        return newest_ && newest_->stamp == append.committed &&
               (!committed_ || committed_->stamp < append.committed);
    };
    if (is_committed()) commit(now);
    if (append.entry && append.entry->stamp > newest_stamp()) {
        newest_ = append.entry;
        if (is_committed()) commit(now);
    }
    persist(now);
    reply_to_leader(now);
}

// What a cut has held up comes as if it were new; an echo tells after which moment it was sent.
void Replica::take_echo(const Append& append, Tenths now) {
    if (planted(PlantedFault::kContactByAnyAppend)) contact_at_ = now;
    if (!append.echo || append.echo->process != options_.seed || append.echo->at > now) return;
    contact_at_ = std::max(contact_at_.value_or(append.echo->at), append.echo->at);
}

void Replica::reply_to_leader(Tenths now) {
    const bool reply_early = planted(PlantedFault::kReplyBeforeStored);
    reply(*leader_,
          AppendReply{term_, heard_round_, reply_early ? newest_stamp() : durable_.newest, token(now)});
}

void Replica::on(MemberId from, const AppendReply& answer, Tenths now) {
    if (answer.term > term_) return become_follower(answer.term, std::nullopt);
    const auto peer = peers_.find(from);
    if (role_ != Role::kLeader) return;
    if (answer.term < term_) {
        ++dropped_messages_.older_term;
        return;
    }
    if (peer == peers_.end()) {
        ++dropped_messages_.unknown_member;
        return;
    }
    peer->second.stored = std::max(peer->second.stored, answer.stored);
    peer->second.round = std::max(peer->second.round, answer.round);
    peer->second.answered_at = now;
    const bool is_new_process = !peer->second.token || peer->second.token->process != answer.token.process;
    if (is_new_process || peer->second.token->at < answer.token.at) peer->second.token = answer.token;
    if (is_new_process) send_append(from, peer->second, now); // it waits for the echo
}

bool Replica::settled() const { return newest_ && agreed_ == newest_->stamp; }
bool Replica::is_committed() const { return committed_ && newest_ && committed_->stamp == newest_->stamp; }

bool Replica::has_stored(MemberId id) const {
    if (id == options_.self.id)
        return durable_.newest == newest_->stamp || planted(PlantedFault::kOwnDiskAssumed);
    const auto peer = peers_.find(id);
    return peer != peers_.end() && peer->second.stored == newest_->stamp;
}

// Said that it ends, or its disk is gone.
bool Replica::leaves(const Member& voter) const {
    if (planted(PlantedFault::kLeavingVoterCounted)) return false;
    const MemberStatus* listed = candidate(voter.id);
    return (listed && listed->removed) || disk_was_replaced(voter);
}

bool Replica::majority(const std::vector<Member>& voters, const MemberPredicate& holds) {
    const auto held = std::ranges::count_if(voters, [&](const Member& voter) { return holds(voter.id); });
    return static_cast<std::size_t>(held) > voters.size() / 2;
}

bool Replica::is_majority(const MemberPredicate& holds) const {
    if (!newest_ || !majority(newest_->voters, holds)) return false;
    if (planted(PlantedFault::kFormerVotersIgnored)) return true;
    return newest_->former_voters.empty() || majority(newest_->former_voters, holds);
}

std::size_t Replica::copies_that_stay(const MemberPredicate& holds) const {
    const auto stays = [&](const Member& voter) { return holds(voter.id) && !leaves(voter); };
    return static_cast<std::size_t>(std::ranges::count_if(newest_->voters, stays));
}

bool Replica::survives_losses(const MemberPredicate& holds, bool group_may_be_small) const {
    if (!is_majority(holds)) return false;
    const std::size_t size = newest_->voters.size();
    const std::size_t wanted = group_may_be_small ? std::min(options_.min_copies, size) : options_.min_copies;
    return copies_that_stay(holds) >= wanted || planted(PlantedFault::kMajorityIsEnough);
}

// A leader's next steps, whatever has happened.
void Replica::advance(Tenths now) {
    if (role_ != Role::kLeader) return;
    update_quorum();
    const MemberPredicate stored = [this](MemberId id) { return has_stored(id); };
    if (!settled() && is_majority(stored)) agreed_ = newest_->stamp;
    if (settled() && !is_committed() && survives_losses(stored, true)) commit(now);
    answer_reads(now);
    if (settled()) next_entry(now);
}

void Replica::next_entry(Tenths now) {
    if (!newest_->former_voters.empty()) return put_entry(newest_->voters, {}, newest_->payload, now);
    if (!is_voter() || resigning_) return hand_over(now);
    if (auto voters = wanted_voters(now)) {
        const bool joint = !planted(PlantedFault::kChangeWithoutJointEntry);
        return put_entry(std::move(*voters), joint ? newest_->voters : std::vector<Member>{},
                         newest_->payload, now);
    }
    if (is_committed() && may_propose(now)) next_proposal(now);
}

// A group that has yet to grow to its size would hold a value on fewer disks than it should: it grows first,
// where there is anybody to grow by.
bool Replica::may_propose(Tenths now) const {
    const bool whole = newest_->voters.size() >= least_;
    return whole || now - leading_since_ >= kGrowthPatience || planted(PlantedFault::kMajorityIsEnough);
}

void Replica::next_proposal(Tenths now) {
    while (!queue_.empty()) {
        const Proposal next = std::move(queue_.front());
        queue_.pop_front();
        auto payload = next.make(newest_->payload);
        if (payload) {
            under_way_ = next.id;
            return put_entry(newest_->voters, {}, std::move(*payload), now);
        }
        emit(ProposalDone{next.id, ProposalOutcome::kRejected});
    }
}

ProposalId Replica::propose(MakePayload make, Tenths now) {
    const ProposalId id{++last_proposal_};
    if (role_ != Role::kLeader || resigning_ || queue_.size() >= kMostQueuedProposals) {
        emit(ProposalDone{id, ProposalOutcome::kRejected});
        return id;
    }
    queue_.push_back({id, std::move(make)});
    settle(now);
    return id;
}

std::uint64_t Replica::round_of_majority(const std::vector<Member>& voters) const {
    std::vector<std::uint64_t> answered;
    for (const Member& voter : voters) {
        const auto peer = peers_.find(voter.id);
        const std::uint64_t known = peer == peers_.end() ? 0 : peer->second.round;
        answered.push_back(voter.id == options_.self.id ? round_ : known);
    }
    std::ranges::sort(answered, std::greater{});
    return answered.empty() ? 0 : answered[answered.size() / 2];
}

void Replica::update_quorum() {
    std::uint64_t answered = round_of_majority(newest_->voters);
    if (!newest_->former_voters.empty())
        answered = std::min(answered, round_of_majority(newest_->former_voters));
    quorum_round_ = std::max(quorum_round_, answered);
    for (; !rounds_.empty() && rounds_.front().number <= quorum_round_; rounds_.pop_front())
        quorum_at_ = rounds_.front().sent_at;
}

ReadId Replica::confirm_leadership(Tenths now) {
    const ReadId id{++last_read_};
    if (role_ != Role::kLeader || reads_.size() >= kMostWaitingReads) {
        emit(ReadDone{id, false});
        return id;
    }
    reads_.push_back({id, planted(PlantedFault::kReadWithoutRound) ? 0 : round_ + 1});
    settle(now);
    return id;
}

// One round for reads is under way at a time; reads that come meanwhile share the next one.
void Replica::answer_reads(Tenths now) {
    if (!reads_.empty() && reads_.back().round > round_ && quorum_round_ >= read_round_) {
        broadcast(now);
        read_round_ = round_;
    }
    while (leads_ && !reads_.empty() && reads_.front().round <= quorum_round_) {
        emit(ReadDone{reads_.front().id, true});
        reads_.pop_front();
    }
}

void Replica::resign(Tenths now) {
    resigning_ = true;
    if (role_ == Role::kLeader) {
        for (const Proposal& waiting : std::exchange(queue_, {}))
            emit(ProposalDone{waiting.id, ProposalOutcome::kRejected});
        hand_over_at_ = now + kHandOverHeartbeats * options_.heartbeat_interval;
    }
    settle(now);
}

// To the voter that holds most and answered last. It gets the newest commitment first.
void Replica::hand_over(Tenths now) {
    broadcast(now);
    const Member* best = nullptr;
    const auto rank = [&](const Member& voter) {
        const Progress& progress = peers_.at(voter.id);
        return std::tuple(alive(voter), progress.stored, progress.round);
    };
    for (const Member& voter : newest_->voters)
        if (peers_.contains(voter.id) && (!best || rank(voter) > rank(*best))) best = &voter;
    if (best) send(best->id, peers_.at(best->id).address, TimeoutNow{term_});
    become_follower(term_, std::nullopt);
    postpone_election(now);
}

} // namespace ivyrill::consensus
