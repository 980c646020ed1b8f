#include "consensus/replica.hpp"

#include <algorithm>

namespace ivyrill::consensus {

namespace {

constexpr Tenths kStoreRetryDelay = 2000; // 200 ms after a disk has refused
constexpr std::uint64_t kFoundingTerm = 1, kFoundingIndex = 1;

} // namespace

Replica::Replica(Options options, DurableState durable, Tenths now)
    : options_(std::move(options)), random_(options_.seed), term_(durable.term),
      voted_for_(durable.voted_for), newest_(std::move(durable.entry)) {
    durable_ = wanted();
    postpone_election(now);
}

void Replica::bootstrap(std::vector<Member> initial_voters, std::string payload, Tenths now) {
    if (newest_) return;
    term_ = std::max(term_, kFoundingTerm);
    newest_ = Entry{{kFoundingTerm, kFoundingIndex}, std::move(initial_voters), {}, std::move(payload)};
    settle(now);
}

void Replica::receive(const Message& message, Tenths now) {
    if (message.to != options_.self.id) {
        ++dropped_messages_.other_member;
        if (planted(PlantedFault::kNewDiskVotes)) vote_as_former_disk(message, now);
        return;
    }
    std::visit([&](const auto& body) { on(message.from, body, now); }, message.body);
    settle(now);
}

// A planted fault only: otherwise what was sent to the disk that was here before reaches nobody.
void Replica::vote_as_former_disk(const Message& message, Tenths now) {
    if (has_durable_entry() || !std::holds_alternative<VoteRequest>(message.body)) return;
    const MemberId own = std::exchange(options_.self.id, message.to);
    on(message.from, std::get<VoteRequest>(message.body), now);
    options_.self.id = own;
    settle(now);
}

void Replica::stored(StoreTicket ticket, Tenths now) {
    if (!storing_ || storing_->ticket != ticket) return;
    durable_ = storing_->state;
    storing_.reset();
    after_store(now);
    settle(now);
}

void Replica::store_failed(StoreTicket ticket, Tenths now) {
    if (!storing_ || storing_->ticket != ticket) return;
    storing_.reset();
    store_again_at_ = now + kStoreRetryDelay;
    settle(now);
}

void Replica::tick(Tenths now) {
    if (store_again_at_ && now >= *store_again_at_) store_again_at_.reset();
    if (role_ == Role::kLeader) {
        if (now - quorum_at_ > options_.election_timeout) {
            become_follower(term_, std::nullopt);
            postpone_election(now);
        } else if (hand_over_at_ && now >= *hand_over_at_) {
            hand_over(now);
        } else if (now >= heartbeat_at_) {
            broadcast(now);
        }
    } else if (now >= election_at_) {
        start_pre_vote(now);
    }
    settle(now);
}

Tenths Replica::next_tick() const {
    Tenths next = role_ == Role::kLeader ? std::min(heartbeat_at_, quorum_at_ + options_.election_timeout + 1)
                                         : election_at_;
    if (hand_over_at_) next = std::min(next, *hand_over_at_);
    if (store_again_at_) next = std::min(next, *store_again_at_);
    return next;
}

bool Replica::leads() const { return leads_; }
std::optional<MemberId> Replica::leader() const { return leader_; }
const std::optional<Entry>& Replica::newest() const { return newest_; }
const std::optional<Entry>& Replica::committed() const { return committed_; }
bool Replica::proposal_under_way() const { return under_way_.has_value(); }

bool Replica::is_voter() const {
    if (!newest_) return false;
    const auto is_self = [&](const Member& member) { return member.id == options_.self.id; };
    return std::ranges::any_of(newest_->voters, is_self) ||
           std::ranges::any_of(newest_->former_voters, is_self);
}

std::optional<Tenths> Replica::contact_at() const {
    return role_ == Role::kLeader ? std::optional(quorum_at_) : contact_at_;
}

bool Replica::caught_up() const {
    if (role_ == Role::kLeader) return leads_;
    return leader_ && committed_ && leader_committed_.term == term_ && committed_->stamp >= leader_committed_;
}

std::vector<Effect> Replica::take_effects() { return std::exchange(effects_, {}); }

// What follows from the event that was just taken in, whichever it was.
void Replica::settle(Tenths now) {
    persist(now);
    advance(now);
}

Replica::Summary Replica::wanted() const { return {term_, voted_for_, newest_stamp()}; }

void Replica::persist(Tenths now) {
    if (storing_ || (store_again_at_ && now < *store_again_at_)) return;
    store_again_at_.reset();
    const Summary state = wanted();
    if (state == durable_) return;
    storing_ = StoreUnderWay{StoreTicket{++last_ticket_}, state};
    emit(Store{storing_->ticket, DurableState{term_, voted_for_, newest_}});
}

// Says what may be said now that `durable_` has changed.
void Replica::after_store(Tenths now) {
    const bool vote_is_durable = durable_.term == term_ && durable_.voted_for == voted_for_;
    if (vote_is_durable && owed_vote_) {
        reply(*owed_vote_, VoteReply{term_, true, false});
        owed_vote_.reset();
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
        owed_vote_.reset();
        leader_committed_ = {}; // not within one term: what is heard late there may be older
    }
    if (role_ == Role::kLeader) lose_leadership();
    if (planted(PlantedFault::kLeaderCommitForgotten)) leader_committed_ = {};
    role_ = Role::kFollower;
    votes_.clear();
    campaigning_ = false;
    leader_ = leader;
}

void Replica::commit(Tenths now) {
    committed_ = newest_;
    emit(Committed{*committed_});
    if (role_ != Role::kLeader) return;
    if (!leads_) {
        leads_ = true;
        emit(RoleChanged{true, term_});
    }
    if (under_way_) emit(ProposalDone{*std::exchange(under_way_, std::nullopt), ProposalOutcome::kCommitted});
    broadcast(now);
}

void Replica::send(MemberId to, const std::string& address, Body body) {
    emit(Send{address, Message{options_.self.id, to, std::move(body)}});
}

void Replica::reply(MemberId to, Body body) {
    if (const auto address = address_of(to)) send(to, *address, std::move(body));
}

std::optional<std::string> Replica::address_of(MemberId id) const {
    if (const MemberStatus* listed = candidate(id)) return listed->member.address;
    if (!newest_) return std::nullopt;
    for (const auto* voters : {&newest_->voters, &newest_->former_voters})
        for (const Member& voter : *voters)
            if (voter.id == id) return voter.address;
    return std::nullopt;
}

} // namespace ivyrill::consensus
