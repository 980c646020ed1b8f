// One member of a group, free of I/O: events in, effects out, the clock and randomness handed in. The caller
// carries effects out in their order, and reports what its disk has done.
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
    Tenths heartbeat_interval = 1000; // 100 ms
    Tenths election_timeout = 6000;   // shortest; the longest is twice as long
    std::uint64_t seed = 1;
    // Voters' disks, none of them about to leave, that hold an entry before it counts as committed: one more
    // than may be lost at once, where that is more than a majority.
    std::size_t min_copies = 1;
};

// Effects.
struct Send {
    std::string address;
    Message message;
};
struct Store { // make it durable, whole, then call `stored` (or `store_failed`) with the ticket
    StoreTicket ticket;
    DurableState state;
};
struct Committed { // this entry, and all that it replaced, is agreed on for good
    Entry entry;
};
enum class ProposalOutcome : std::uint8_t {
    kCommitted,
    kRejected, // never entered anywhere: safe to say so to whoever asked
    kUnknown   // leadership was lost while it was under way; it may yet be committed
};
struct ProposalDone {
    ProposalId id;
    ProposalOutcome outcome = ProposalOutcome::kUnknown;
};
struct ReadDone { // where confirmed: this member led after the read was asked for, and knew all that was
                  // committed
    ReadId id;
    bool confirmed = false;
};
struct RoleChanged {
    bool leads = false;
    std::uint64_t term = 0;
};
using Effect = std::variant<Send, Store, Committed, ProposalDone, ReadDone, RoleChanged>;

// A member of the control plane as the caller sees it now, voter or not.
struct MemberStatus {
    Member member;
    bool alive = false;   // its link stands and it has spoken lately
    bool ready = true;    // it holds what else a voter has to hold
    bool removed = false; // it said that it ends for good, or its address is held by another disk
    Tenths since = 0;     // when `alive` last changed
};

// Messages that were passed over, by cause. None of them changes anything.
struct DroppedMessages {
    std::uint64_t other_member = 0; // meant for another disk than this one
    std::uint64_t older_term = 0;   // an append or a reply of a leader that was replaced
    std::uint64_t unknown_member =
        0; // a reply of a member that is no peer of this leader, e.g. a removed one
};

class Replica {
  public:
    // `durable` without an entry: a new disk. It neither votes nor leads until a leader has made it a voter.
    Replica(Options options, DurableState durable, Tenths now);

    // The group's first entry, on a first start only: the same list at each founder, who is one of them.
    void bootstrap(std::vector<Member> initial_voters, std::string payload, Tenths now);

    void receive(const Message& message, Tenths now);
    void stored(StoreTicket ticket, Tenths now);
    void store_failed(StoreTicket ticket, Tenths now); // it is tried again by a later Store
    void tick(Tenths now);
    Tenths next_tick() const; // call `tick` at that time at the latest

    bool leads() const; // and has committed an entry of its own term
    std::optional<MemberId> leader() const;
    const std::optional<Entry>& newest() const;    // accepted, maybe not committed
    const std::optional<Entry>& committed() const; // as far as known here
    bool is_voter() const;
    // The newest moment after which this member was certainly in touch with the group. Leading: when it sent
    // what a majority has answered. Else, voter or not: after it a leader had a majority, and has said so
    // since.
    std::optional<Tenths> contact_at() const;
    // Knows, in this process, all that the present leader said it has committed in its own term.
    bool caught_up() const;
    using MemberPredicate = std::function<bool(MemberId)>;
    bool is_majority(const MemberPredicate& holds) const; // of the voters, and of the former ones
    // A majority, with so many voters that stay as one more than may be lost at once. `group_may_be_small`:
    // all of them are enough where the group has fewer.
    bool survives_losses(const MemberPredicate& holds, bool group_may_be_small) const;
    std::uint64_t term() const { return term_; }
    const DroppedMessages& dropped_messages() const { return dropped_messages_; }

    // Makes the next payload from the newest one; none where there is nothing to replicate.
    using MakePayload = std::function<std::optional<std::string>(const std::string& current)>;
    // Replaces the payload. Only the leader accepts one, and only one is under way at a time: others wait
    // their turn here, in order. `make` is called once, at its turn; it must not call this object. Where it
    // makes none, or this member doesn't lead, the proposal is done as kRejected.
    ProposalId propose(MakePayload make, Tenths now);
    bool proposal_under_way() const;
    ReadId
    confirm_leadership(Tenths now); // answered by ReadDone after a majority has answered a later heartbeat

    // Who is there. A leader replaces voters that are gone by members that are alive, keeps a group of all
    // that are alive up to `most` voters, and never lets it fall under `least` by a removal alone.
    void set_member_statuses(std::vector<MemberStatus> candidates, std::size_t least, std::size_t most,
                             Tenths now);
    // Before a planned end: hands leadership to a voter that is up to date. Never stands for election again.
    void resign(Tenths now);

    std::vector<Effect> take_effects();

  private:
    enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };
    struct Summary { // of a DurableState: enough to tell what a finished Store has made durable
        std::uint64_t term = 0;
        std::optional<MemberId> voted_for;
        Stamp newest;
        friend bool operator==(const Summary&, const Summary&) = default;
    };
    struct StoreUnderWay {
        StoreTicket ticket;
        Summary state;
    };
    struct Progress { // of another member, as its leader knows it
        std::string address;
        Stamp stored;            // its newest durable entry
        std::uint64_t round = 0; // the newest it has answered
        std::optional<Tenths> answered_at;
        std::optional<ContactToken> token; // the newest of its own
        Stamp sent;                        // the newest entry that was sent to it, and when
        Tenths sent_at = 0;
    };
    struct Round {
        std::uint64_t number = 0;
        Tenths sent_at = 0;
    };
    struct Proposal {
        ProposalId id;
        MakePayload make;
    };
    struct Read {
        ReadId id;
        std::uint64_t round = 0; // the first that proves leadership after the read was asked for
    };

    // replica.cpp: events, and the durable state
    void vote_as_former_disk(const Message& message, Tenths now);
    void settle(Tenths now);
    void persist(Tenths now);
    void after_store(Tenths now);
    Summary wanted() const;
    Stamp newest_stamp() const { return newest_ ? newest_->stamp : Stamp{}; }
    bool has_durable_entry() const { return durable_.newest != Stamp{}; }
    void become_follower(std::uint64_t term, std::optional<MemberId> leader);
    void commit(Tenths now);
    void send(MemberId to, const std::string& address, Body body);
    void reply(MemberId to, Body body);
    std::optional<std::string> address_of(MemberId id) const;
    template <class Effective> void emit(Effective effect) { effects_.emplace_back(std::move(effect)); }
    static bool majority(const std::vector<Member>& voters, const MemberPredicate& holds);

    // election.cpp
    void postpone_election(Tenths now);
    void hasten_first_election(Tenths now);
    void start_pre_vote(Tenths now);
    void start_election(Tenths now);
    void request_votes(bool pre_vote);
    void count_votes(Tenths now);
    bool may_stand() const;
    bool hears_leader(Tenths now) const;
    void on(MemberId from, const VoteRequest& request, Tenths now);
    void on_pre_vote(MemberId from, const VoteRequest& request, Tenths now);
    void on(MemberId from, const VoteReply& answer, Tenths now);
    void on(MemberId from, const TimeoutNow& order, Tenths now);

    // replication.cpp
    void become_leader(Tenths now);
    void lose_leadership();
    void put_entry(std::vector<Member> voters, std::vector<Member> former, std::string payload, Tenths now);
    void broadcast(Tenths now);
    void send_append(MemberId to, Progress& progress, Tenths now);
    void reply_to_leader(Tenths now);
    ContactToken token(Tenths now) const { return {options_.seed, now}; }
    std::optional<ContactToken> echo(const Progress& progress, Tenths now) const;
    void take_echo(const Append& append, Tenths now);
    bool settled() const;      // the newest entry is held by a majority: the next one may follow
    bool is_committed() const; // ... and by as many disks as may be lost, and one
    bool has_stored(MemberId id) const;
    std::size_t copies_that_stay(const MemberPredicate& holds) const;
    bool leaves(const Member& voter) const;
    bool may_propose(Tenths now) const;
    void advance(Tenths now);
    void next_entry(Tenths now);
    void next_proposal(Tenths now);
    void update_quorum();
    std::uint64_t round_of_majority(const std::vector<Member>& voters) const;
    void answer_reads(Tenths now);
    void hand_over(Tenths now);
    void on(MemberId from, const Append& append, Tenths now);
    void on(MemberId from, const AppendReply& answer, Tenths now);

    // membership.cpp
    void refresh_peers();
    void greet_arrivals(const std::vector<MemberStatus>& before, Tenths now);
    const MemberStatus* candidate(MemberId id) const;
    bool disk_was_replaced(const Member& voter) const;
    bool alive(const Member& voter) const;
    bool gone(const Member& voter, Tenths now) const;
    const Member* spare(Tenths now) const;
    bool answers(MemberId id, Tenths now) const; // this leader, lately
    int further_losses(const std::vector<Member>& voters, Tenths now) const;
    std::optional<std::vector<Member>> smaller_group(Tenths now) const;
    std::optional<std::vector<Member>> wanted_voters(Tenths now) const;

    Options options_;
    Pcg random_;
    Role role_ = Role::kFollower;
    std::uint64_t term_ = 0;
    std::optional<MemberId> voted_for_;
    std::optional<Entry> newest_, committed_;
    Stamp agreed_;           // leading: the newest entry that a majority holds
    Stamp leader_committed_; // following: as the present leader told
    std::optional<MemberId> leader_;
    std::optional<Tenths> heard_at_;   // from a leader
    std::optional<Tenths> contact_at_; // after it a leader had a majority, whenever its word came
    std::uint64_t heard_round_ = 0;
    Tenths election_at_ = 0;
    bool knew_leader_ = false; // since this process started
    bool resigning_ = false;

    Summary durable_;
    std::optional<StoreUnderWay> storing_;
    std::optional<Tenths> store_again_at_;
    std::uint64_t last_ticket_ = 0;

    std::optional<MemberId> owed_vote_; // granted once it is durable
    std::set<MemberId> votes_;
    bool campaigning_ = false; // the own vote is durable, and the others are asked

    std::map<MemberId, Progress> peers_;
    std::uint64_t round_ = 0, quorum_round_ = 0, read_round_ = 0;
    std::deque<Round> rounds_; // not yet answered by a majority
    Tenths quorum_at_ = 0;     // when the newest round that a majority has answered was sent
    Tenths heartbeat_at_ = 0;
    Stamp before_newest_; // the entry that the newest replaced
    bool leads_ = false;
    Tenths leading_since_ = 0;
    std::optional<Tenths> hand_over_at_;
    std::deque<Proposal> queue_;
    std::optional<ProposalId> under_way_;
    std::uint64_t last_proposal_ = 0, last_read_ = 0;
    std::deque<Read> reads_;

    std::vector<MemberStatus> candidates_;
    std::map<MemberId, Tenths> unlisted_since_; // voters of whom the candidates say nothing
    std::size_t least_ = 0, most_ = 0;

    DroppedMessages dropped_messages_;
    std::vector<Effect> effects_;
};

} // namespace ivyrill::consensus
