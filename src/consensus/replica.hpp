// One member of a group, free of I/O: events in, effects out, the clock and randomness handed in. The caller carries
// effects out in their order, and reports what its disk has done.
#pragma once
#include "base/pcg.hpp"
#include "consensus/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ivyrill::consensus {

using StoreTicket = Id<struct StoreTicketTag, std::uint64_t>;
using ProposalId = Id<struct ProposalTag, std::uint64_t>;
using ReadId = Id<struct ReadTag, std::uint64_t>;

struct Options {
    Member self;
    Tenths heartbeat_interval = 1000;     // 100 ms
    Tenths election_timeout = 6000;       // shortest; the longest is twice as long
    Tenths store_patience = 8000;         // a leader whose own disk has been silent for so long leads on without it
    std::uint64_t seed = 1;
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
struct ReadDone { // where confirmed: this member led after the read was asked for, and knew all that was committed
    ReadId id;
    bool confirmed = false;
};
struct RoleChanged {
    bool leads = false;
    std::uint64_t term = 0;
};
using Effect = std::variant<Send, Store, Committed, ProposalDone, ReadDone, RoleChanged>;

// A member of the control plane as the caller sees it now, voter or not.
struct Candidate {
    Member member;
    bool alive = false;   // its link stands and it has spoken lately
    bool removed = false; // it said that it ends for good, or its address is held by another disk
    Tenths since = 0;     // when `alive` last changed
};

class Replica {
  public:
    // `durable` without an entry: a new disk. It neither votes nor leads until a leader has made it a voter.
    Replica(Options options, DurableState durable, Tenths now);

    // The group's first entry, on a first start only: the same list at each founder, who is one of them.
    void found(std::vector<Member> founders, std::string payload, Tenths now);

    void receive(const Message& message, Tenths now);
    void stored(StoreTicket ticket, Tenths now);
    void store_failed(StoreTicket ticket, Tenths now); // it is tried again by a later Store
    void tick(Tenths now);
    Tenths next_tick() const; // call `tick` at that time at the latest

    bool leads() const;      // and has committed an entry of its own term
    std::optional<MemberId> leader() const;
    const std::optional<Entry>& newest() const;    // accepted, maybe not committed
    const std::optional<Entry>& committed() const; // as far as known here
    bool is_voter() const;
    // A voter that has heard from a leader (or, leading, from a majority) within an election timeout.
    bool in_contact(Tenths now) const;

    // Replaces the payload. Only the leader accepts one, and only one is under way at a time: others wait their turn
    // here, in order. `payload` is a function of the state at its turn, so it is asked for then.
    ProposalId propose(std::string payload, Tenths now);
    bool proposal_under_way() const;
    ReadId confirm_leadership(Tenths now); // answered by ReadDone after a majority has answered a later heartbeat

    // Who is there. A leader replaces voters that are gone by members that are alive, keeps a group of all that are
    // alive up to `most` voters, and never lets it fall under `least` by a removal alone.
    void set_candidates(std::vector<Candidate> candidates, std::size_t least, std::size_t most, Tenths now);
    void resign(Tenths now); // before a planned end: hands leadership to a member that is up to date

    std::vector<Effect> take_effects();
};

} // namespace ivyrill::consensus
