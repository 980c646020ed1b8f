// A voter of the Raft group that agrees on the maintenance schedule. A few front nodes replicate one log with
// C-Raft (libraft; D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm", USENIX ATC
// 2014). The library's core does no I/O of its own: time, randomness, messages and storage are passed in
// here. Committed entries are applied to a MaintenanceSchedule.
//
// Before a voter takes part it verifies its store: it sends its incarnation and the end of its log to the
// other candidates, and continues only when a majority has answered and none of them remembers a later state
// of this store than the store holds. A store that was lost, or restored from an old copy, is thus detected
// before the node votes: any majority that relied on the lost entries has a member among those who answer.
// Such a voter has lost its store (`kStoreLost`): its Raft identity is never used again, it starts with an
// empty store and waits until the leader adds it under a new identity. To cover votes and entries that nobody
// remembers, the node never votes in a term that any of the peers has seen, nor for a log that is shorter
// than any of theirs. A store that is verified by a witness outside of the disk skips this check.
#pragma once
#include "base/pcg.hpp"
#include "maintenance/maintenance_schedule.hpp"
#include "maintenance/raft_store.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ivyrill::maintenance {

struct ConsensusSettings {
    std::string name;
    std::vector<std::string> candidates; // front nodes with a store, this one included
    std::size_t voter_count = 3;         // the first candidates are the initial voters
    Ticks heartbeat = kTicksPerSecond / 10;
    // Followers stand for election after this time without a leader, at most twice as long.
    int election_timeout_heartbeats = 8;
    std::uint64_t seed = 0;
    unsigned snapshot_threshold = 512, snapshot_trailing = 64; // log entries
};

enum class ConsensusPhase { kVerifyingStore, kParticipating, kStoreLost, kUnavailable };

struct ConsensusMessage { // to the peer of that name
    std::string to, bytes;
};

class ConsensusNode {
  public:
    ConsensusNode(ConsensusSettings settings, RaftStore& store, Ticks now);
    ~ConsensusNode();
    ConsensusNode(const ConsensusNode&) = delete;
    ConsensusNode& operator=(const ConsensusNode&) = delete;

    void receive(Ticks now, const std::string& from, std::string_view bytes);
    void step(Ticks now);
    Ticks next_step() const; // when `step` has to be called next
    std::vector<ConsensusMessage> take_messages();

    ConsensusPhase phase() const;
    bool is_leader() const;
    std::string leader() const;           // empty if unknown
    bool is_voter() const;                // according to the local log
    std::set<std::string> voters() const; // according to the latest configuration in the log
    // Returns false if this node does not lead or cannot propose now. `done` is called with whether the
    // command was committed, once that is known.
    bool propose(const Command& command, std::function<void(bool)> done = {});
    void transfer_leadership(const std::set<std::string>& eligible); // to one of these voters
    // Membership changes by the leader, one at a time; return false while one is in progress.
    bool add_voter(const std::string& name, VoterIncarnation incarnation);
    bool remove_voter(const std::string& name);
    bool membership_changing() const;
    std::string last_error() const; // the latest error message of the library
    // This node leads and has applied all entries that were committed under earlier leaders.
    bool is_up_to_date() const { return is_leader() && up_to_date_; }
    Ticks leader_since() const { return leader_since_; }
    // Called for each applied command with its result.
    std::function<void(const Command&, const CommandResult&)> on_applied;

    // The schedule with all stored entries applied, committed or not: the best guess while there is no
    // leader.
    MaintenanceSchedule uncommitted_schedule() const;
    const std::map<std::string, VoterIncarnation>& known_incarnations() const { return known_incarnations_; }
    // Whether that voter votes under the identity of this incarnation.
    bool votes_as(const std::string& name, VoterIncarnation incarnation) const;
    const MaintenanceSchedule& schedule() const { return schedule_; }
    VoterIncarnation incarnation() const { return incarnation_; }
    std::uint64_t term() const;
    // When a leader was last heard, or this node led itself.
    Ticks last_leader_contact() const { return last_leader_contact_; }
    Ticks next_store_check() const { return store_check_at_; }

  private:
    struct Raft; // libraft and its callbacks
    void open();
    void close();
    void run_callbacks();
    void send_store_checks();
    struct LogExtent { // end of a log, and the current term of its owner
        std::uint64_t term = 0, last_term = 0, last_index = 0;
        bool shorter_than(const LogExtent& other) const {
            return std::pair(last_term, last_index) < std::pair(other.last_term, other.last_index);
        }
    };
    struct Acknowledgement { // the highest log index that a voter has acknowledged, and in which term
        std::uint64_t term = 0, index = 0;
    };
    LogExtent log_extent() const; // of the local log
    // The part of the local log that this voter may have acknowledged.
    LogExtent log_extent_known_to(const std::string& voter) const;
    void on_elected();
    void answer_store_check(const std::string& from, VoterIncarnation incarnation,
                            const LogExtent& log_extent);
    void on_store_check_reply(const std::string& from, VoterIncarnation known, Acknowledgement acknowledged,
                              const LogExtent& peer_log);
    void update_required_log();
    void reset_store(std::uint64_t recorded_number);
    bool store_confirmed() const; // enough peers have confirmed the store
    void store_voters();

    ConsensusSettings settings_;
    RaftStore& store_;
    Pcg random_;
    Ticks now_, tick_at_ = 0, last_leader_contact_ = 0, store_check_at_ = 0, open_at_ = 0, leader_since_ = 0,
                transfer_at_ = 0;
    bool was_leader_ = false, up_to_date_ = false;
    std::uint64_t leader_start_index_ = 0; // end of the log when this node was elected
    VoterIncarnation incarnation_;
    // The store is empty and this node is an initial voter; the store is verified.
    bool is_new_initial_voter_ = false, verified_ = false;
    bool store_lost_ = false, marked_verified_ = false;
    std::set<std::string> confirmed_by_; // peers that have recorded this incarnation
    std::vector<std::string> known_voters_;
    LogExtent stored_log_;                       // end of the stored log at this start
    std::map<std::string, LogExtent> peer_logs_; // from the replies to the store check
    LogExtent required_log_;                     // the maximum of peer_logs_
    std::map<std::string, Acknowledgement> acknowledged_;
    std::map<std::string, VoterIncarnation> known_incarnations_;
    std::vector<ConsensusMessage> messages_;
    // Callbacks of the library, which must not run within its own calls.
    std::deque<std::function<void()>> callbacks_;
    MaintenanceSchedule schedule_;
    std::unique_ptr<Raft> raft_;
};

} // namespace ivyrill::maintenance
