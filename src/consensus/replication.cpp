// Replication of a Replica: the leader's entries, heartbeats, proposals and reads, and the followers'
// replies.
#include "consensus/replica.hpp"

#include <algorithm>

namespace ivyrill::consensus {

namespace {

constexpr Ticks kEntryResendInterval = 3000; // 300 ms; an entry is the whole value and may be large
constexpr std::size_t kMaxQueuedProposals = 1024, kMaxPendingReads = 16384;
constexpr Ticks kGrowthTimeout = 3 * kTicksPerSecond;
constexpr int kTransferDelayHeartbeats = 2; // a resigning leader first waits for the active proposal

} // namespace

void Replica::become_leader(Ticks now) {
    role_ = Role::kLeader;
    has_known_leader_ = true;
    leader_ = options_.self.id;
    votes_.clear();
    campaigning_ = false;
    quorum_at_ = leading_since_ = now;
    majority_stamp_ = {};
    quorum_round_ = read_round_ = round_;
    rounds_.clear();
    if (planted(PlantedFault::kOldTermCommitted)) {
        refresh_peers();
        return broadcast(now);
    }
    // Only an entry of the leader's own term may be committed by counting replicas (Raft, 5.4.2).
    append_entry(newest_->voters, newest_->former_voters, newest_->payload, now);
}

void Replica::lose_leadership() {
    if (active_proposal_) {
        const auto outcome = planted(PlantedFault::kUnknownReportedRejected) ? ProposalOutcome::kRejected
                                                                             : ProposalOutcome::kUnknown;
        emit(ProposalDone{*std::exchange(active_proposal_, std::nullopt), outcome});
    }
    for (const Proposal& waiting : std::exchange(queued_proposals_, {})) {
        const auto outcome = planted(PlantedFault::kQueuedReportedCommitted) ? ProposalOutcome::kCommitted
                                                                             : ProposalOutcome::kRejected;
        emit(ProposalDone{waiting.id, outcome});
    }
    for (const Read& read : std::exchange(reads_, {})) emit(ReadDone{read.id, false});
    if (leads_) emit(RoleChanged{false, term_});
    leads_ = false;
    transfer_at_.reset();
    peers_.clear();
    rounds_.clear();
    leader_heard_at_.reset();
    contact_at_.reset();
}

void Replica::append_entry(std::vector<Member> voters, std::vector<Member> former, std::string payload,
                           Ticks now) {
    previous_stamp_ = newest_stamp();
    newest_ =
        Entry{{term_, previous_stamp_.index + 1}, std::move(voters), std::move(former), std::move(payload)};
    refresh_peers();
    persist(now);
    broadcast(now);
}

void Replica::broadcast(Ticks now) {
    rounds_.push_back({++round_, now});
    heartbeat_at_ = now + options_.heartbeat_interval;
    for (auto& [id, progress] : peers_) send_append(id, progress, now);
    update_quorum();
}

void Replica::send_append(MemberId to, Progress& progress, Ticks now) {
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

// Returns a time of the member's own clock after which this leader had contact with a majority: the token's
// time, moved back by the time since the last contact. Assumes that both clocks run at the same rate.
std::optional<ContactToken> Replica::echo(const Progress& progress, Ticks now) const {
    if (!progress.token || planted(PlantedFault::kContactWithoutMajority)) return progress.token;
    return ContactToken{progress.token->process, progress.token->at - (now - quorum_at_)};
}

void Replica::on(MemberId from, const Append& append, Ticks now) {
    if (append.term < term_ && !planted(PlantedFault::kOlderTermAccepted)) {
        ++dropped_messages_.older_term;
        return reply(from, AppendReply{term_, 0, durable_.newest, token(now)});
    }
    if (append.term < term_) term_ = append.term; // the planted fault
    const bool is_newer = append.term > term_ || leader_ != from;
    if (is_newer || role_ != Role::kFollower) {
        become_follower(append.term, from);
        leader_round_ = 0;
    }
    leader_round_ = std::max(leader_round_, append.round);
    leader_heard_at_ = now;
    has_known_leader_ = true;
    process_echo(append, now);
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

// An append that a network partition has delayed looks new on arrival; the echo bounds when it was sent.
void Replica::process_echo(const Append& append, Ticks now) {
    if (planted(PlantedFault::kContactByAnyAppend)) contact_at_ = now;
    if (!append.echo || append.echo->process != options_.seed || append.echo->at > now) return;
    contact_at_ = std::max(contact_at_.value_or(append.echo->at), append.echo->at);
}

void Replica::reply_to_leader(Ticks now) {
    const bool reply_early = planted(PlantedFault::kReplyBeforeStored);
    reply(*leader_,
          AppendReply{term_, leader_round_, reply_early ? newest_stamp() : durable_.newest, token(now)});
}

void Replica::on(MemberId from, const AppendReply& answer, Ticks now) {
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
    if (is_new_process) send_append(from, peer->second, now); // the new process waits for the echo
}

bool Replica::newest_has_majority() const { return newest_ && majority_stamp_ == newest_->stamp; }
bool Replica::is_committed() const { return committed_ && newest_ && committed_->stamp == newest_->stamp; }

bool Replica::has_stored(MemberId id) const {
    if (id == options_.self.id)
        return durable_.newest == newest_->stamp || planted(PlantedFault::kOwnDiskAssumed);
    const auto peer = peers_.find(id);
    return peer != peers_.end() && peer->second.stored == newest_->stamp;
}

// Whether the voter announced its shutdown or its disk was replaced.
bool Replica::is_leaving(const Member& voter) const {
    if (planted(PlantedFault::kLeavingVoterCounted)) return false;
    const MemberStatus* listed = status_of(voter.id);
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

std::size_t Replica::lasting_copies(const MemberPredicate& holds) const {
    const auto stays = [&](const Member& voter) { return holds(voter.id) && !is_leaving(voter); };
    return static_cast<std::size_t>(std::ranges::count_if(newest_->voters, stays));
}

bool Replica::survives_losses(const MemberPredicate& holds, bool group_may_be_small) const {
    if (!is_majority(holds)) return false;
    const std::size_t size = newest_->voters.size();
    const std::size_t wanted = group_may_be_small ? std::min(options_.min_copies, size) : options_.min_copies;
    return lasting_copies(holds) >= wanted || planted(PlantedFault::kMajorityIsEnough);
}

// Takes a leader's next possible steps; called after every event.
void Replica::advance(Ticks now) {
    if (role_ != Role::kLeader) return;
    update_quorum();
    const MemberPredicate stored = [this](MemberId id) { return has_stored(id); };
    if (!newest_has_majority() && is_majority(stored)) majority_stamp_ = newest_->stamp;
    if (newest_has_majority() && !is_committed() && survives_losses(stored, true)) commit(now);
    answer_reads(now);
    if (newest_has_majority()) next_entry(now);
}

void Replica::next_entry(Ticks now) {
    if (!newest_->former_voters.empty()) return append_entry(newest_->voters, {}, newest_->payload, now);
    if (!is_voter() || resigning_) return transfer_leadership(now);
    if (auto voters = target_voters(now)) {
        const bool joint = !planted(PlantedFault::kChangeWithoutJointEntry);
        return append_entry(std::move(*voters), joint ? newest_->voters : std::vector<Member>{},
                            newest_->payload, now);
    }
    if (is_committed() && may_propose(now)) next_proposal(now);
}

// A group below its minimum size would hold a value on too few disks: it grows first, but waits for further
// members for a limited time only.
bool Replica::may_propose(Ticks now) const {
    const bool has_min_voters = newest_->voters.size() >= min_voters_;
    return has_min_voters || now - leading_since_ >= kGrowthTimeout ||
           planted(PlantedFault::kMajorityIsEnough);
}

void Replica::next_proposal(Ticks now) {
    while (!queued_proposals_.empty()) {
        const Proposal next = std::move(queued_proposals_.front());
        queued_proposals_.pop_front();
        auto payload = next.make(newest_->payload);
        if (payload) {
            active_proposal_ = next.id;
            return append_entry(newest_->voters, {}, std::move(*payload), now);
        }
        emit(ProposalDone{next.id, ProposalOutcome::kRejected});
    }
}

ProposalId Replica::propose(MakePayload make, Ticks now) {
    const ProposalId id{++last_proposal_};
    if (role_ != Role::kLeader || resigning_ || queued_proposals_.size() >= kMaxQueuedProposals) {
        emit(ProposalDone{id, ProposalOutcome::kRejected});
        return id;
    }
    queued_proposals_.push_back({id, std::move(make)});
    after_event(now);
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

ReadId Replica::confirm_leadership(Ticks now) {
    const ReadId id{++last_read_};
    if (role_ != Role::kLeader || reads_.size() >= kMaxPendingReads) {
        emit(ReadDone{id, false});
        return id;
    }
    reads_.push_back({id, planted(PlantedFault::kReadWithoutRound) ? 0 : round_ + 1});
    after_event(now);
    return id;
}

// At most one heartbeat round for reads is in progress; reads that arrive meanwhile share the next round.
void Replica::answer_reads(Ticks now) {
    if (!reads_.empty() && reads_.back().round > round_ && quorum_round_ >= read_round_) {
        broadcast(now);
        read_round_ = round_;
    }
    while (leads_ && !reads_.empty() && reads_.front().round <= quorum_round_) {
        emit(ReadDone{reads_.front().id, true});
        reads_.pop_front();
    }
}

void Replica::resign(Ticks now) {
    resigning_ = true;
    if (role_ == Role::kLeader) {
        for (const Proposal& waiting : std::exchange(queued_proposals_, {}))
            emit(ProposalDone{waiting.id, ProposalOutcome::kRejected});
        transfer_at_ = now + kTransferDelayHeartbeats * options_.heartbeat_interval;
    }
    after_event(now);
}

// Transfers leadership to the live voter with the newest entry and the latest reply, after sending it the
// newest commit position.
void Replica::transfer_leadership(Ticks now) {
    broadcast(now);
    const Member* best = nullptr;
    const auto rank = [&](const Member& voter) {
        const Progress& progress = peers_.at(voter.id);
        return std::tuple(is_alive(voter), progress.stored, progress.round);
    };
    for (const Member& voter : newest_->voters)
        if (peers_.contains(voter.id) && (!best || rank(voter) > rank(*best))) best = &voter;
    if (best) send(best->id, peers_.at(best->id).address, TimeoutNow{term_});
    become_follower(term_, std::nullopt);
    postpone_election(now);
}

} // namespace ivyrill::consensus
