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
#include "rota/evening.hpp"
#include "rota/ledger.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ivyrill::rota {

struct CouncilTerms {
    std::string name;
    std::vector<std::string> candidates; // front nodes with a ledger, ourselves among them
    std::size_t size = 3;                // the first so many of them found the council
    Tenths heartbeat = kTenthsPerSecond / 10;
    int patience = 8; // heartbeats without a word from a leader until others stand for election, up to twice
    std::uint64_t seed = 0;
    unsigned snapshot_after = 512, trailing = 64; // entries
};

enum class CouncilPhase { kRollCall, kTakesPart, kDisowned, kUnable };

struct Letter { // to another member, by name
    std::string to, bytes;
};

class Council {
  public:
    Council(CouncilTerms terms, Ledger& ledger, Tenths now);
    ~Council();
    Council(const Council&) = delete;
    Council& operator=(const Council&) = delete;

    void hear(Tenths now, const std::string& from, std::string_view bytes);
    void step(Tenths now);
    Tenths next() const;
    std::vector<Letter> take_letters();

    CouncilPhase phase() const;
    bool leads() const;
    std::string leader() const;           // as far as it is known; empty: nobody
    bool votes_here() const;              // we have a seat, as far as our log goes
    std::set<std::string> voters() const; // of the log's latest word on it
    // False: not by us, or not now. `done` hears whether it was agreed on, once that is known.
    bool propose(const Command& command, std::function<void(bool)> done = {});
    void hand_over(const std::set<std::string>& fit); // lets another lead, one of these
    // The leader's changes of who votes, one at a time; false where one is under way.
    bool admit(const std::string& name, Life life);
    bool remove(const std::string& name);
    bool changing() const;
    std::string trouble() const; // the library's latest, for the log
    // We lead, and what those before us agreed on has all been applied here.
    bool current() const { return leads() && current_; }
    Tenths leads_since() const { return leads_since_; }
    // Commands as they are applied, with what came of them.
    std::function<void(const Command&, const Verdict&)> on_applied;

    // What the ledger holds, agreed on or not: what may be so while nobody can agree on anything.
    Evening perhaps() const;
    const std::map<std::string, Life>& lives() const { return lives_; }
    bool holds_seat(const std::string& name, Life life) const; // that voter votes under this life's seat
    const Evening& evening() const { return evening_; }
    Life life() const { return life_; }
    std::uint64_t term() const;
    Tenths heard_leader_at() const { return heard_leader_at_; } // or led ourselves
    Tenths roll_called_at() const { return roll_at_; }

  private:
    struct Raft; // the library's side
    void open();
    void close();
    void run_later();
    void call_roll();
    struct Extent { // of a log: its end, and the term that its owner is in
        std::uint64_t term = 0, last_term = 0, last_index = 0;
        bool shorter_than(const Extent& other) const {
            return std::pair(last_term, last_index) < std::pair(other.last_term, other.last_index);
        }
    };
    struct Ack { // the furthest that a voter has told us it has, and in which term
        std::uint64_t term = 0, index = 0;
    };
    Extent extent() const;                             // of our log
    Extent extent_for(const std::string& voter) const; // as far as that one may have promised it
    void begin_to_lead();
    void answer_roll(const std::string& from, Life life, const Extent& extent);
    void hear_roll(const std::string& from, Life known, Ack remembered, const Extent& theirs);
    void weigh_told();
    void disown(std::uint64_t known_life);
    bool rolled() const; // enough have answered
    void note_voters();

    CouncilTerms terms_;
    Ledger& ledger_;
    Pcg chance_;
    Tenths now_, tick_at_ = 0, heard_leader_at_ = 0, roll_at_ = 0, open_at_ = 0, leads_since_ = 0,
                 transfer_at_ = 0;
    bool led_ = false, current_ = false;
    std::uint64_t lead_index_ = 0; // of the log when we began to lead
    Life life_;
    bool fresh_ = false, proven_ = false; // the ledger is new, or vouched for
    bool disowned_ = false, vouched_ = false;
    std::set<std::string> rolled_; // who have written our life down
    std::vector<std::string> voters_noted_;
    Extent kept_;                        // of the ledger at this start
    std::map<std::string, Extent> told_; // the others' logs and terms, as the roll told
    Extent least_;                       // the furthest of those
    std::map<std::string, Ack> acked_;
    std::map<std::string, Life> lives_;
    std::vector<Letter> letters_;
    std::deque<std::function<void()>> later_; // the library's callbacks, never within its own calls
    Evening evening_;
    std::unique_ptr<Raft> raft_;
};

} // namespace ivyrill::rota
