// A member of a consensus group as a deterministic state machine without I/O: it takes events and returns
// effects; the caller supplies the time and the random seed. The caller executes the effects in order and
// reports the completion of disk writes.
#pragma once
#include "base/pcg.hpp"
#include "base/planted_fault.hpp"
#include "consensus/types.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ivyrill::consensus {

using StoreTicket = Id<struct StoreTicketTag, std::uint64_t>;
using ProposalId = Id<struct ProposalTag, std::uint64_t>;
using ReadId = Id<struct ReadTag, std::uint64_t>;

struct Options {
    Member self;
    Ticks heartbeat_interval = 1000; // 100 ms
    Ticks election_timeout = 6000;   // minimum; randomized up to twice this value
    std::uint64_t seed = 1;
    // An entry commits only when it is durable at this many voters that are not leaving the group (in
    // addition to a majority): one more than the number of simultaneous disk losses to tolerate.
    std::size_t min_copies = 1;
};

// The effects that the caller executes.
struct Send {
    std::string address;
    Message message;
};
// Write the whole state durably, then call `stored` (or `store_failed`) with the ticket.
struct Store {
    StoreTicket ticket;
    DurableState state;
};
// The entry, and every entry that it replaced, is committed.
struct Committed {
    Entry entry;
};
enum class ProposalOutcome : std::uint8_t {
    kCommitted,
    kRejected, // never stored at any member: the caller may report that it failed
    kUnknown   // leadership was lost while it was in progress; it may still be committed
};
struct ProposalDone {
    ProposalId id;
    ProposalOutcome outcome = ProposalOutcome::kUnknown;
};
// Confirmed: this member was leader after the read was requested, and knew everything committed by then.
struct ReadDone {
    ReadId id;
    bool confirmed = false;
};
struct RoleChanged {
    bool leads = false;
    std::uint64_t term = 0;
};
using Effect = std::variant<Send, Store, Committed, ProposalDone, ReadDone, RoleChanged>;

// The caller's current view of a node of the control plane, voter or not.
struct MemberStatus {
    Member member;
    bool alive = false;   // its link is up and it was heard from recently
    bool ready = true;    // it holds the other data that a voter must hold
    bool removed = false; // it announced its shutdown, or another disk now uses its address
    Ticks since = 0;      // when `alive` last changed
};

// Messages that were dropped without any effect, by cause.
struct DroppedMessages {
    std::uint64_t other_member = 0;   // addressed to another disk
    std::uint64_t older_term = 0;     // an append from, or a reply to, a leader that was replaced
    std::uint64_t unknown_member = 0; // a reply from a member that is not a peer of this leader
};

class Replica {
  public:
    // `durable` without an entry means a new disk: it neither votes nor leads until a leader adds it as a
    // voter.
    Replica(Options options, DurableState durable, Ticks now);

    // Creates the group's first entry. Only for the first start of a group, at each of its initial voters,
    // with the same list at all of them.
    void bootstrap(std::vector<Member> initial_voters, std::string payload, Ticks now);

    void receive(const Message& message, Ticks now);
    void stored(StoreTicket ticket, Ticks now);
    void store_failed(StoreTicket ticket, Ticks now); // retried by a later Store
    void tick(Ticks now);
    Ticks next_tick() const; // when to call `tick` at the latest

    bool leads() const; // is leader and has committed an entry of its own term
    std::optional<MemberId> leader() const;
    const std::optional<Entry>& newest() const;    // accepted, possibly not committed
    const std::optional<Entry>& committed() const; // the newest that this member knows to be committed
    bool is_voter() const;
    // The latest time at which this member is known to have had contact with a majority. For a leader: when
    // it sent the newest heartbeat that a majority has answered. For others, voters or not: a time after
    // which a leader had a majority, as proven by an append of that leader.
    std::optional<Ticks> contact_at() const;
    // Whether this process holds everything that the current leader has reported as committed in its term.
    bool caught_up() const;
    using MemberPredicate = std::function<bool(MemberId)>;
    bool is_majority(const MemberPredicate& holds) const; // of the voters, and of the former voters if any
    // Whether the predicate holds for a majority and for at least `Options::min_copies` voters that are not
    // leaving. `group_may_be_small`: in a group with fewer voters than that, all of them are enough.
    bool survives_losses(const MemberPredicate& holds, bool group_may_be_small) const;
    std::uint64_t term() const { return term_; }
    const DroppedMessages& dropped_messages() const { return dropped_messages_; }

    // Computes the next payload from the newest one; none if there is nothing to replicate.
    using MakePayload = std::function<std::optional<std::string>(const std::string& current)>;
    // Proposes a new payload. Only a leader accepts proposals; they are processed one at a time, and further
    // ones are queued in order. `make` is called once, when the proposal starts; it must not call this
    // object. If it returns no payload, or this member is not the leader, the outcome is kRejected.
    ProposalId propose(MakePayload make, Ticks now);
    bool proposal_under_way() const;
    // Completed by ReadDone after a majority has answered a heartbeat sent after this call.
    ReadId confirm_leadership(Ticks now);

    // Updates the known nodes. A leader replaces lost voters by live members, grows the group with live
    // members up to `max_voters`, and never shrinks it below `min_voters`.
    void set_member_statuses(std::vector<MemberStatus> statuses, std::size_t min_voters,
                             std::size_t max_voters, Ticks now);
    // Before a planned shutdown: transfers leadership to an up-to-date voter, and starts no election again.
    void resign(Ticks now);

    std::vector<Effect> take_effects();

  private:
    enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };
    // Identifies a DurableState: what a completed Store has made durable.
    struct Summary {
        std::uint64_t term = 0;
        std::optional<MemberId> voted_for;
        Stamp newest;
        friend bool operator==(const Summary&, const Summary&) = default;
    };
    struct PendingStore {
        StoreTicket ticket;
        Summary state;
    };
    // The leader's view of another member.
    struct Progress {
        std::string address;
        Stamp stored;            // its newest durable entry
        std::uint64_t round = 0; // the newest heartbeat that it has answered
        std::optional<Ticks> answered_at;
        std::optional<ContactToken> token; // the newest that it has sent
        Stamp sent;                        // the newest entry sent to it, and when
        Ticks sent_at = 0;
    };
    struct Round {
        std::uint64_t number = 0;
        Ticks sent_at = 0;
    };
    struct Proposal {
        ProposalId id;
        MakePayload make;
    };
    struct Read {
        ReadId id;
        std::uint64_t round = 0; // the first heartbeat that proves leadership after the read was requested
    };

    // replica.cpp: event handling and durable state
    void vote_for_former_disk(const Message& message, Ticks now);
    void after_event(Ticks now);
    void persist(Ticks now);
    void after_store(Ticks now);
    Summary current_summary() const;
    Stamp newest_stamp() const { return newest_ ? newest_->stamp : Stamp{}; }
    bool has_durable_entry() const { return durable_.newest != Stamp{}; }
    void become_follower(std::uint64_t term, std::optional<MemberId> leader);
    void commit(Ticks now);
    void send(MemberId to, const std::string& address, Body body);
    void reply(MemberId to, Body body);
    std::optional<std::string> address_of(MemberId id) const;
    template <class EffectType> void emit(EffectType effect) { effects_.emplace_back(std::move(effect)); }
    static bool majority(const std::vector<Member>& voters, const MemberPredicate& holds);

    // election.cpp
    void postpone_election(Ticks now);
    void shorten_first_election_timeout(Ticks now);
    void start_pre_vote(Ticks now);
    void start_election(Ticks now);
    void request_votes(bool pre_vote);
    void count_votes(Ticks now);
    bool may_campaign() const;
    bool has_live_leader(Ticks now) const;
    void on(MemberId from, const VoteRequest& request, Ticks now);
    void on_pre_vote(MemberId from, const VoteRequest& request, Ticks now);
    void on(MemberId from, const VoteReply& answer, Ticks now);
    void on(MemberId from, const TimeoutNow& order, Ticks now);

    // replication.cpp
    void become_leader(Ticks now);
    void lose_leadership();
    void append_entry(std::vector<Member> voters, std::vector<Member> former, std::string payload, Ticks now);
    void broadcast(Ticks now);
    void send_append(MemberId to, Progress& progress, Ticks now);
    void reply_to_leader(Ticks now);
    ContactToken token(Ticks now) const { return {options_.seed, now}; }
    std::optional<ContactToken> echo(const Progress& progress, Ticks now) const;
    void process_echo(const Append& append, Ticks now);
    bool newest_has_majority() const; // the newest entry is durable at a majority: the next may be proposed
    bool is_committed() const;        // ... and has also reached `Options::min_copies` voters
    bool has_stored(MemberId id) const;
    std::size_t lasting_copies(const MemberPredicate& holds) const;
    bool is_leaving(const Member& voter) const;
    bool may_propose(Ticks now) const;
    void advance(Ticks now);
    void next_entry(Ticks now);
    void next_proposal(Ticks now);
    void update_quorum();
    std::uint64_t round_of_majority(const std::vector<Member>& voters) const;
    void answer_reads(Ticks now);
    void transfer_leadership(Ticks now);
    void on(MemberId from, const Append& append, Ticks now);
    void on(MemberId from, const AppendReply& answer, Ticks now);

    // membership.cpp
    void refresh_peers();
    void resend_to_reconnected(const std::vector<MemberStatus>& before, Ticks now);
    const MemberStatus* status_of(MemberId id) const;
    bool disk_was_replaced(const Member& voter) const;
    bool is_alive(const Member& voter) const;
    bool is_lost(const Member& voter, Ticks now) const;
    const Member* best_learner(Ticks now) const;
    bool responds(MemberId id, Ticks now) const; // has recently answered this leader
    int tolerable_losses(const std::vector<Member>& voters, Ticks now) const;
    std::optional<std::vector<Member>> without_lost_voters(Ticks now) const;
    std::optional<std::vector<Member>> target_voters(Ticks now) const;

    Options options_;
    Pcg random_;
    Role role_ = Role::kFollower;
    std::uint64_t term_ = 0;
    std::optional<MemberId> voted_for_;
    std::optional<Entry> newest_, committed_;
    Stamp majority_stamp_;   // leader: the newest entry that a majority holds
    Stamp leader_committed_; // follower: as reported by the current leader
    std::optional<MemberId> leader_;
    std::optional<Ticks> leader_heard_at_; // when the last append of a leader was received
    std::optional<Ticks> contact_at_;      // a leader had a majority after this time; see contact_at()
    std::uint64_t leader_round_ = 0;
    Ticks election_at_ = 0;
    bool has_known_leader_ = false; // since this process started; also true after leading itself
    bool resigning_ = false;

    Summary durable_;
    std::optional<PendingStore> pending_store_;
    std::optional<Ticks> store_retry_at_;
    std::uint64_t last_ticket_ = 0;

    std::optional<MemberId> pending_vote_; // granted as soon as it is durable
    std::set<MemberId> votes_;
    bool campaigning_ = false; // the own vote is durable and the other voters were asked

    std::map<MemberId, Progress> peers_;
    std::uint64_t round_ = 0, quorum_round_ = 0, read_round_ = 0;
    std::deque<Round> rounds_; // heartbeats not yet answered by a majority
    Ticks quorum_at_ = 0;      // when the newest heartbeat answered by a majority was sent
    Ticks heartbeat_at_ = 0;
    Stamp previous_stamp_; // of the entry that the newest one replaced
    bool leads_ = false;
    Ticks leading_since_ = 0;
    std::optional<Ticks> transfer_at_;
    std::deque<Proposal> queued_proposals_;
    std::optional<ProposalId> active_proposal_;
    std::uint64_t last_proposal_ = 0, last_read_ = 0;
    std::deque<Read> reads_;

    std::vector<MemberStatus> member_statuses_;
    std::map<MemberId, Ticks> unlisted_since_; // voters missing in `member_statuses_`
    std::size_t min_voters_ = 0, max_voters_ = 0;

    DroppedMessages dropped_messages_;
    std::vector<Effect> effects_;
};

} // namespace ivyrill::consensus
