// The council: a few front nodes that agree on one log, by C-Raft (libraft; D. Ongaro, J. Ousterhout, "In
// Search of an Understandable Consensus Algorithm", USENIX ATC 2014). The library's core does no I/O of its
// own: time, chance, messages and the ledger are handed in here. What the log holds drives an Evening.
//
// Before a voter takes part it calls the roll: it tells the others which life of its ledger this is and how
// far its log goes, and goes on only when a majority of them has answered and none remembers more of it than
// it does itself. So a ledger that was lost, or put back from an old copy, is known before it votes: whoever
// relied on what it has forgotten is among those who answer. Such a voter is `disowned`: its seat is never
// used again, it begins anew and waits until the council gives it another. What nobody remembers but may have
// been promised is provided for: it votes in no term that any of them has seen, and for no log shorter than
// any of theirs. A ledger that something beside the disk vouches for needs nobody's word.
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
    std::vector<std::string> candidates; // front nodes with a ledger, ourselves among them
    std::size_t voter_count = 3;         // the first so many of them found the council
    Tenths heartbeat = kTenthsPerSecond / 10;
    int election_timeout_heartbeats =
        8; // heartbeats without a word from a leader until others stand for election, up to twice
    std::uint64_t seed = 0;
    unsigned snapshot_threshold = 512, snapshot_trailing = 64; // entries
};

enum class ConsensusPhase { kVerifyingStore, kParticipating, kStoreLost, kUnavailable };

struct ConsensusMessage { // to another member, by name
    std::string to, bytes;
};

class ConsensusNode {
  public:
    ConsensusNode(ConsensusSettings settings, RaftStore& store, Tenths now);
    ~ConsensusNode();
    ConsensusNode(const ConsensusNode&) = delete;
    ConsensusNode& operator=(const ConsensusNode&) = delete;

    void receive(Tenths now, const std::string& from, std::string_view bytes);
    void step(Tenths now);
    Tenths next() const;
    std::vector<ConsensusMessage> take_messages();

    ConsensusPhase phase() const;
    bool is_leader() const;
    std::string leader() const;           // as far as it is known; empty: nobody
    bool is_voter() const;                // we have a seat, as far as our log goes
    std::set<std::string> voters() const; // of the log's latest word on it
    // False: not by us, or not now. `done` hears whether it was agreed on, once that is known.
    bool propose(const Command& command, std::function<void(bool)> done = {});
    void transfer_leadership(const std::set<std::string>& eligible); // lets another lead, one of these
    // The leader's changes of who votes, one at a time; false where one is under way.
    bool add_voter(const std::string& name, VoterIncarnation incarnation);
    bool remove_voter(const std::string& name);
    bool membership_changing() const;
    std::string last_error() const; // the library's latest, for the log
    // We lead, and what those before us agreed on has all been applied here.
    bool is_up_to_date() const { return is_leader() && up_to_date_; }
    Tenths leader_since() const { return leader_since_; }
    // Commands as they are applied, with what came of them.
    std::function<void(const Command&, const CommandResult&)> on_applied;

    // What the ledger holds, agreed on or not: what may be so while nobody can agree on anything.
    MaintenanceSchedule uncommitted_schedule() const;
    const std::map<std::string, VoterIncarnation>& known_incarnations() const { return known_incarnations_; }
    bool votes_as(const std::string& name,
                  VoterIncarnation incarnation) const; // that voter votes under this life's seat
    const MaintenanceSchedule& schedule() const { return schedule_; }
    VoterIncarnation incarnation() const { return incarnation_; }
    std::uint64_t term() const;
    Tenths last_leader_contact() const { return last_leader_contact_; } // or led ourselves
    Tenths next_store_check() const { return store_check_at_; }

  private:
    struct Raft; // the library's side
    void open();
    void close();
    void run_callbacks();
    void send_store_checks();
    struct LogExtent { // of a log: its end, and the term that its owner is in
        std::uint64_t term = 0, last_term = 0, last_index = 0;
        bool shorter_than(const LogExtent& other) const {
            return std::pair(last_term, last_index) < std::pair(other.last_term, other.last_index);
        }
    };
    struct Acknowledgement { // the furthest that a voter has told us it has, and in which term
        std::uint64_t term = 0, index = 0;
    };
    LogExtent log_extent() const;                                  // of our log
    LogExtent log_extent_known_to(const std::string& voter) const; // as far as that one may have promised it
    void on_elected();
    void answer_store_check(const std::string& from, VoterIncarnation incarnation,
                            const LogExtent& log_extent);
    void on_store_check_reply(const std::string& from, VoterIncarnation known, Acknowledgement acknowledged,
                              const LogExtent& peer_log);
    void update_required_log();
    void reset_store(std::uint64_t known_number);
    bool store_confirmed() const; // enough have answered
    void store_voters();

    ConsensusSettings settings_;
    RaftStore& store_;
    Pcg random_;
    Tenths now_, tick_at_ = 0, last_leader_contact_ = 0, store_check_at_ = 0, open_at_ = 0, leader_since_ = 0,
                 transfer_at_ = 0;
    bool was_leader_ = false, up_to_date_ = false;
    std::uint64_t leader_start_index_ = 0; // of the log when we began to lead
    VoterIncarnation incarnation_;
    bool new_founder_ = false, verified_ = false; // the ledger is new, or vouched for
    bool store_lost_ = false, marked_verified_ = false;
    std::set<std::string> confirmed_by_; // who have written our life down
    std::vector<std::string> known_voters_;
    LogExtent stored_log_;                       // of the ledger at this start
    std::map<std::string, LogExtent> peer_logs_; // the others' logs and terms, as the roll told
    LogExtent required_log_;                     // the furthest of those
    std::map<std::string, Acknowledgement> acknowledged_;
    std::map<std::string, VoterIncarnation> known_incarnations_;
    std::vector<ConsensusMessage> messages_;
    std::deque<std::function<void()>> callbacks_; // the library's callbacks, never within its own calls
    MaintenanceSchedule schedule_;
    std::unique_ptr<Raft> raft_;
};

} // namespace ivyrill::maintenance
