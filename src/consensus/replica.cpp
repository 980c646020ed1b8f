#include "consensus/replica.hpp"

#include <algorithm>

namespace ivyrill::consensus {

namespace {

constexpr Ticks kStoreRetryDelay = 2000; // 200 ms after a failed write
constexpr std::uint64_t kBootstrapTerm = 1, kBootstrapIndex = 1;

} // namespace

Replica::Replica(Options options, DurableState durable, Ticks now)
    : options_(std::move(options)), random_(options_.seed), term_(durable.term),
      voted_for_(durable.voted_for), newest_(std::move(durable.entry)) {
    durable_ = current_summary();
    postpone_election(now);
}

void Replica::bootstrap(std::vector<Member> initial_voters, std::string payload, Ticks now) {
    if (newest_) return;
    term_ = std::max(term_, kBootstrapTerm);
    newest_ = Entry{{kBootstrapTerm, kBootstrapIndex}, std::move(initial_voters), {}, std::move(payload)};
    after_event(now);
}

void Replica::receive(const Message& message, Ticks now) {
    if (message.to != options_.self.id) {
        ++dropped_messages_.other_member;
        if (planted(PlantedFault::kNewDiskVotes)) vote_for_former_disk(message, now);
        return;
    }
    std::visit([&](const auto& body) { on(message.from, body, now); }, message.body);
    after_event(now);
}

// Only for a planted fault; otherwise messages to a replaced disk are dropped.
void Replica::vote_for_former_disk(const Message& message, Ticks now) {
    if (has_durable_entry() || !std::holds_alternative<VoteRequest>(message.body)) return;
    const MemberId own = std::exchange(options_.self.id, message.to);
    on(message.from, std::get<VoteRequest>(message.body), now);
    options_.self.id = own;
    after_event(now);
}

void Replica::stored(StoreTicket ticket, Ticks now) {
    if (!pending_store_ || pending_store_->ticket != ticket) return;
    durable_ = pending_store_->state;
    pending_store_.reset();
    after_store(now);
    after_event(now);
}

void Replica::store_failed(StoreTicket ticket, Ticks now) {
    if (!pending_store_ || pending_store_->ticket != ticket) return;
    pending_store_.reset();
    store_retry_at_ = now + kStoreRetryDelay;
    after_event(now);
}

void Replica::tick(Ticks now) {
    if (store_retry_at_ && now >= *store_retry_at_) store_retry_at_.reset();
    if (role_ == Role::kLeader) {
        if (now - quorum_at_ > options_.election_timeout) {
            become_follower(term_, std::nullopt);
            postpone_election(now);
        } else if (transfer_at_ && now >= *transfer_at_) {
            transfer_leadership(now);
        } else if (now >= heartbeat_at_) {
            broadcast(now);
        }
    } else if (now >= election_at_) {
        start_pre_vote(now);
    }
    after_event(now);
}

Ticks Replica::next_tick() const {
    Ticks next = role_ == Role::kLeader ? std::min(heartbeat_at_, quorum_at_ + options_.election_timeout + 1)
                                        : election_at_;
    if (transfer_at_) next = std::min(next, *transfer_at_);
    if (store_retry_at_) next = std::min(next, *store_retry_at_);
    return next;
}

bool Replica::leads() const { return leads_; }
std::optional<MemberId> Replica::leader() const { return leader_; }
const std::optional<Entry>& Replica::newest() const { return newest_; }
const std::optional<Entry>& Replica::committed() const { return committed_; }
bool Replica::proposal_under_way() const { return active_proposal_.has_value(); }

bool Replica::is_voter() const {
    if (!newest_) return false;
    const auto is_self = [&](const Member& member) { return member.id == options_.self.id; };
    return std::ranges::any_of(newest_->voters, is_self) ||
           std::ranges::any_of(newest_->former_voters, is_self);
}

std::optional<Ticks> Replica::contact_at() const {
    return role_ == Role::kLeader ? std::optional(quorum_at_) : contact_at_;
}

bool Replica::caught_up() const {
    if (role_ == Role::kLeader) return leads_;
    return leader_ && committed_ && leader_committed_.term == term_ && committed_->stamp >= leader_committed_;
}

std::vector<Effect> Replica::take_effects() { return std::exchange(effects_, {}); }

// Runs after every event: stores changed state and lets a leader proceed.
void Replica::after_event(Ticks now) {
    persist(now);
    advance(now);
}

Replica::Summary Replica::current_summary() const { return {term_, voted_for_, newest_stamp()}; }

void Replica::persist(Ticks now) {
    if (pending_store_ || (store_retry_at_ && now < *store_retry_at_)) return;
    store_retry_at_.reset();
    const Summary state = current_summary();
    if (state == durable_) return;
    pending_store_ = PendingStore{StoreTicket{++last_ticket_}, state};
    emit(Store{pending_store_->ticket, DurableState{term_, voted_for_, newest_}});
}

// Sends the replies that waited for `durable_`.
void Replica::after_store(Ticks now) {
    const bool vote_is_durable = durable_.term == term_ && durable_.voted_for == voted_for_;
    if (vote_is_durable && pending_vote_) {
        reply(*pending_vote_, VoteReply{term_, true, false});
        pending_vote_.reset();
    }
    if (vote_is_durable && role_ == Role::kCandidate && !campaigning_) {
        campaigning_ = true;
        votes_.insert(options_.self.id);
        postpone_election(now);
        request_votes(false);
        count_votes(now);
    }
    if (role_ == Role::kFollower && leader_) reply_to_leader(now);
}

void Replica::become_follower(std::uint64_t term, std::optional<MemberId> leader) {
    if (term > term_) {
        term_ = term;
        voted_for_.reset();
        pending_vote_.reset();
        leader_committed_ = {}; // kept within a term: a delayed append may report an older commit
    }
    if (role_ == Role::kLeader) lose_leadership();
    if (planted(PlantedFault::kLeaderCommitForgotten)) leader_committed_ = {};
    role_ = Role::kFollower;
    votes_.clear();
    campaigning_ = false;
    leader_ = leader;
}

void Replica::commit(Ticks now) {
    committed_ = newest_;
    emit(Committed{*committed_});
    if (role_ != Role::kLeader) return;
    if (!leads_) {
        leads_ = true;
        emit(RoleChanged{true, term_});
    }
    if (active_proposal_)
        emit(ProposalDone{*std::exchange(active_proposal_, std::nullopt), ProposalOutcome::kCommitted});
    broadcast(now);
}

void Replica::send(MemberId to, const std::string& address, Body body) {
    emit(Send{address, Message{options_.self.id, to, std::move(body)}});
}

void Replica::reply(MemberId to, Body body) {
    if (const auto address = address_of(to)) send(to, *address, std::move(body));
}

std::optional<std::string> Replica::address_of(MemberId id) const {
    if (const MemberStatus* listed = status_of(id)) return listed->member.address;
    if (!newest_) return std::nullopt;
    for (const auto* voters : {&newest_->voters, &newest_->former_voters})
        for (const Member& voter : *voters)
            if (voter.id == id) return voter.address;
    return std::nullopt;
}

} // namespace ivyrill::consensus
