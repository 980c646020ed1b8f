// The holder's part: carries out the turns that are granted to this front node, act by act, through the
// machine's keeper. It acts only while its grant lasts by its own clock, counted from when it asked, and
// every act bears the grant's number: a keeper that has heard a larger one refuses it, however late it comes.
// To bring a machine back is the one thing that whoever knows of it may try when nobody can agree on
// anything: that harms no shard, and the number guards it as before.
#pragma once
#include "rota/evening.hpp"
#include "rota/outlook.hpp"

#include <optional>
#include <vector>

namespace ivyrill::rota {

enum class Act { kLook, kDrain, kOut, kBack };
const char* word_of(Act act);

// What a keeper says of its machine.
enum class Kept {
    kServing,
    kDraining,
    kDrained,
    kWorking,
    kWorked, // it is out and may come back
    kStarting,
    kBroken,
    kRefused, // it has heard a larger number
    kUnknown  // it said nothing, or nothing of use
};
const char* word_of(Kept kept);
std::optional<Kept> kept_named(std::string_view word);

struct KeeperAct {
    std::uint64_t serial = 0;
    std::string machine;
    Act act = Act::kLook;
    Fence fence;
};

struct HandTerms {
    std::string self;
    Spans spans;
    Answers answers;
};

struct HandOut {
    std::vector<KeeperAct> acts;
    std::vector<Command> commands;
    std::vector<std::string> calls; // the operator is called
};

struct HandCounts {
    std::uint64_t acts = 0, answers = 0, strange = 0, refused = 0, late = 0, lapsed = 0, unled = 0;
};

class Hand {
  public:
    explicit Hand(HandTerms terms) : terms_(std::move(terms)) {}
    HandOut carry(Tenths now, const Evening& evening, const Outlook& outlook);
    // Nobody agrees on anything: what is out, as far as we know, is brought back, whoever held it.
    std::vector<KeeperAct> foster(Tenths now, const Evening& perhaps);
    void agreed() { fosters_.clear(); } // somebody leads again
    // The keeper's answer to that act; one that nobody waits for is counted and forgotten.
    void hear(Tenths now, std::uint64_t serial, const std::string& machine, Kept kept);
    bool holds(const std::string& machine, Tenths now) const; // its grant lasts
    Tenths held_until(const std::string& machine) const;
    std::vector<Command> give_back(const Evening& evening); // we leave: others go on at once
    Tenths next(Tenths now) const;
    const HandCounts& counts() const { return counts_; }

  private:
    struct Task { // of one turn that is ours
        Fence fence;
        std::set<std::uint64_t> asked; // stamps under which we asked for the grant, in this life
        Tenths until = 0;              // the grant lasts until then
        Tenths ask_at = 0;
        TurnState state = TurnState::kProposed;
        Tenths since = 0;     // in this state
        bool claimed = false; // the keeper knows our number
        Kept kept = Kept::kUnknown;
        std::optional<KeeperAct> out; // waits for its answer
        Tenths act_by = 0, act_at = 0, move_at = 0;
        int silent = 0;                                      // acts in a row without an answer
        bool refused = false, called = false, given = false; // the last: given back, not to be held again
    };
    void tend(Tenths now, const Turn& turn, Task& task, const Evening& evening, const Outlook& outlook,
              HandOut& out);
    void act(Tenths now, const std::string& machine, Task& task, Act act, HandOut& out);
    void move(Tenths now, const Turn& turn, Task& task, TurnState to, std::string why, HandOut& out);
    void answer(Tenths now, Answer how, const Turn& turn, Task& task, const std::string& why,
                const Evening& evening, HandOut& out);

    HandTerms terms_;
    std::map<std::string, Task> tasks_, fosters_;
    std::uint64_t serial_ = 0;
    HandCounts counts_;
};

} // namespace ivyrill::rota
