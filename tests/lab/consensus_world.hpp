// Simulates the members of one consensus group in virtual time. The network loses, delays, duplicates,
// reorders and cuts messages in one direction; disks stall, fill up, lose data that is not yet durable, or
// are wiped; machines are killed, frozen, stopped as planned and replaced. Clients read, and replace a
// version by compare-and-set. Guarantees are checked during the run; a violation is recorded as text. A run
// is determined by its seed.
#pragma once
#include "consensus/replica.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace ivyrill::lab {

struct ConsensusPlan {
    std::uint64_t seed = 1;
    int members = 3;            // maximum number of voters
    int spares = 0;             // additional machines from the start
    std::size_t least = 2;      // minimum number of voters; a removal alone never goes below it
    bool records_trace = false; // records a trace of events
};

struct Network {                            // applies to all links
    double loss = 0, doubled = 0, late = 0; // probabilities per message
    Ticks least_delay = 1, most_delay = 10, most_late = 3000, most_store = 20;
};

ConsensusPlan plan_of_seed(std::uint64_t seed); // 3 to 5 members, up to 2 spare machines

enum class WriteState : std::uint8_t { kUnderWay, kAcknowledged, kRejected, kUnknown };

struct ConsensusCounts {
    std::uint64_t faults = 0, acknowledged = 0, rejected = 0, unknown = 0, reads = 0, elections = 0,
                  wiped = 0, replaced = 0, changes_of_voters = 0, stores = 0;
};

class ConsensusWorld {
  public:
    explicit ConsensusWorld(ConsensusPlan plan);

    // Single operations for tests; machines are identified by their number, from 0.
    void run_for(Ticks span);
    bool run_until(const std::function<bool()>& holds, Ticks limit); // returns whether the condition was met
    void cut(int from, int to, bool is_cut = true);                  // one direction only
    void isolate(int machine, bool is_cut = true);                   // both directions, to all others
    void crash(int machine); // a write in progress may or may not survive
    void crash(int machine, bool pending_is_kept);
    void start(int machine);
    void wipe(int machine);   // crashes it; the next start has an empty disk
    int replace(int machine); // crashes it permanently; returns the number of its unstarted replacement
    void stall_disk(int machine, Ticks span);
    void fill_disk(int machine, Ticks span);
    void freeze(int machine, Ticks span);
    void resign(int machine);
    std::size_t write(int machine,
                      std::optional<std::uint64_t> expected = std::nullopt); // returns the write's number
    void read(int machine);
    WriteState state_of(std::size_t write) const { return writes_[write].state; }
    std::optional<int> leader() const; // the leader of the newest term
    consensus::Replica& replica(int machine) { return *machines_[index(machine)].replica; }
    const consensus::DurableState& durable(int machine) const { return machines_[index(machine)].disk.state; }
    consensus::MemberId id(int machine) const { return machines_[index(machine)].id; }
    bool is_up(int machine) const { return machines_[index(machine)].replica.has_value(); }
    bool agrees() const; // whether all running machines have the same commit and voters, and the voters are
                         // exactly these machines
    Ticks now() const { return now_; }
    int machines() const { return size(); } // including those that were replaced
    Network& network() { return network_; }
    std::uint64_t highest_acknowledged() const { return highest_seen_; }

    // The whole history of the seed: founding, faults under load, a fault-free period, agreement.
    void play();

    const std::vector<std::string>& violations() const { return violations_; }
    const std::vector<std::string>& trace() const { return trace_; }
    const ConsensusCounts& counts() const { return counts_; }

  private:
    struct Value { // the payload
        std::uint64_t version = 0, write = 0, base = 0;
    };
    struct Write {
        WriteState state = WriteState::kUnderWay;
        std::optional<Value> made;
    };
    struct Disk {
        consensus::DurableState state;
        std::optional<consensus::Store> pending;
        Ticks stalled_until = 0, full_until = 0;
    };
    struct Seen {
        bool alive = false, removed = false;
        Ticks since = 0;
    };
    struct Machine {
        std::string address, zone;
        consensus::MemberId id;
        bool is_gone = false;
        int incarnation = 0;
        std::optional<consensus::Replica> replica;
        Disk disk;
        Ticks frozen_until = 0, tick_at = 0;
        std::map<consensus::ProposalId, std::size_t> proposals;
        std::map<consensus::ReadId, std::uint64_t> reads; // the version known when the read was sent
        std::map<consensus::MemberId, Seen> seen;
    };
    struct Event {
        Ticks at = 0;
        std::uint64_t order = 0;
        std::function<void()> act;
        bool operator<(const Event& other) const {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    static std::size_t index(int machine) { return static_cast<std::size_t>(machine); }
    Machine& at(int machine) { return machines_[index(machine)]; }
    int size() const { return static_cast<int>(machines_.size()); }
    void schedule(Ticks at, std::function<void()> act);
    // Runs when the machine can act, and only if the same process is still running.
    void schedule_on(int machine, Ticks at, std::function<void(consensus::Replica&)> act);
    void act_on(int machine, int incarnation, std::function<void(consensus::Replica&)> act);
    bool step(Ticks until);
    int add_machine();
    consensus::Member member(int machine) const;
    void process_effects(int machine); // carries out the effects of the replica
    void schedule_tick(int machine);
    void apply_effect(int machine, consensus::Send send);
    void apply_effect(int machine, consensus::Store store);
    void apply_effect(int machine, const consensus::Committed& committed);
    void apply_effect(int machine, const consensus::ProposalDone& done);
    void apply_effect(int machine, const consensus::ReadDone& done);
    void apply_effect(int machine, const consensus::RoleChanged& changed);
    void check_vote(const consensus::Message& message, const consensus::VoteReply& vote);
    void watch_store(int machine, const consensus::DurableState& state);
    void finish_store(int machine, consensus::StoreTicket ticket);
    void update_member_statuses(int machine); // tells the replica which machines are present
    bool reaches(int from, int to) const;
    std::optional<int> machine_at(const std::string& address) const;
    void check_chain(const Value& value);
    void report_violation(std::string what);
    void record_event(const std::string& what);
    bool chance(double share) { return random_.unit() < share; }
    Ticks between(Ticks least, Ticks most);
    int any(int count) { return static_cast<int>(random_.next() % static_cast<std::uint32_t>(count)); }

    // consensus_history.cpp: random faults and operations
    void clients_act();
    void fault();
    void maybe_inject_fault(double share); // injects a fault where an event has just occurred
    void kill_while_storing();
    void fault_on(int machine);
    void vary_network_behavior();
    int victim();
    std::optional<int> pick_running(); // a running machine
    bool may_lose(int machine) const;
    void lose_disk(int machine, bool with_machine);
    void partition();
    void cut_until(Ticks over, const std::vector<std::pair<int, int>>& links);
    void crash_voter(int machine);
    void split_at_change(int machine, const std::vector<consensus::Member>& before,
                         const std::vector<consensus::Member>& after);
    void provoke_rival_candidates();
    void crash_leader_holding_entry(int machine);
    std::size_t counted_lost() const;
    void heal();
    void check_calm();

    ConsensusPlan plan_;
    Pcg random_;
    Ticks now_ = 0;
    std::uint64_t order_ = 0;
    std::priority_queue<Event> events_;
    std::vector<Machine> machines_;
    std::vector<consensus::Member> founders_;
    std::vector<std::vector<int>> cut_; // number of faults that cut the link, by sender and receiver
    Network network_;
    std::uint64_t next_id_ = 1;
    std::vector<Write> writes_;
    std::vector<std::uint64_t> chain_{0};                    // the write of each committed version
    std::map<std::uint64_t, std::uint64_t> acknowledged_on_; // base -> write
    std::uint64_t highest_seen_ = 0; // highest version in any acknowledged write or confirmed read
    std::map<std::uint64_t, std::pair<int, int>> leader_of_; // term -> machine, incarnation
    std::map<std::pair<consensus::MemberId, std::uint64_t>, consensus::MemberId> votes_; // by voter and term
    std::vector<consensus::MemberId> lost_;                                              // disks
    std::vector<Ticks> counted_lost_until_; // for each lost disk; kNever until its replacement is running
    std::vector<std::uint64_t> known_;      // version, by each client
    std::vector<int> fault_kinds_;          // enabled in this history
    double targeted_fault_rate_ = 0;
    std::set<consensus::Stamp> stored_stamps_;
    Ticks faults_until_ = 0, most_fault_pause_ = 0;
    std::vector<std::string> violations_, trace_;
    ConsensusCounts counts_;
};

} // namespace ivyrill::lab
