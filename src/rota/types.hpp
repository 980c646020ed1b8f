// What the order of work is made of: machines as facts, limits, turns and the commands that change them.
// Shapes only. Times are tenths of a millisecond; those in commands come from the clock of whoever gave them,
// and nothing that decides compares the clocks of two nodes.
#pragma once
#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace ivyrill::rota {

using Fence = Id<struct FenceTag, std::uint64_t>; // of a grant: of two the larger was given later
using OrderNo = Id<struct OrderTag, std::uint64_t>;

struct Facts { // of one machine, as surveyed
    std::string name;
    bool front_node = false;
    std::string zone;
    std::vector<int> shards; // that it holds a replica of; empty for a front node
    double power = 1;        // of its shards' work, against the others'
    Tenths work = 0;         // how long its work takes, from the start of its drain until it is warm
    friend bool operator==(const Facts&, const Facts&) = default;
};

struct Limits {               // what may go when; shares are of the machines surveyed, and always let one go
    int floor = 1;            // replicas of each shard that stay
    double zone_share = 0.34; // of a zone's index servers
    double shard_share = 0.5; // of the power of a shard's replicas
    double fleet_share = 0.2; // of all index servers
    double front_share = 0.2; // of the front nodes
    int council = 0;          // voters; of these a majority stays
    friend bool operator==(const Limits&, const Limits&) = default;
};

enum class TurnState { kProposed, kGranted, kDraining, kOut, kReturning, kWarm, kDone, kGivenUp };
const char* word_of(TurnState state);

struct Turn {
    std::string machine;
    OrderNo order;
    TurnState state = TurnState::kProposed;
    std::string holder;              // the front node that carries it out; empty: nobody at present
    Fence fence;                     // of its latest grant
    bool taken = false;              // its holder has said that it knows
    std::uint64_t stamp = 0;         // of the holder's latest word, by its own clock
    bool hurried = false;            // goes before those that are not
    bool withdrawn = false;          // is to be put back and not tried again
    bool recalled = false;           // is to be put back, and comes again later
    int setbacks = 0;                // times that it was put back
    int handed = 0;                  // ... that it lapsed in this state
    Tenths earliest = 0, latest = 0; // Unix time, 0: any
    std::string why;                 // of its last change
};
// Between its grant and its end the machine may be down: it counts as out.
constexpr bool is_out(TurnState state) {
    return state == TurnState::kGranted || state == TurnState::kDraining || state == TurnState::kOut ||
           state == TurnState::kReturning;
}
constexpr bool is_over(TurnState state) { return state == TurnState::kDone || state == TurnState::kGivenUp; }

// ---- what is agreed on, one entry of the log each

struct Survey { // the machines there are, and what may go when
    Limits limits;
    std::vector<Facts> fleet;
    std::set<std::string> voters;
};
struct Add {
    std::string request, asked_by, note; // the first is known by again
    std::vector<std::string> machines;
    Tenths earliest = 0, latest = 0;
};
struct Withdraw {
    std::string request, machine, why;
};
struct Hold { // nothing more goes out; what is out goes on and comes back
    std::string request, why;
};
struct Resume {
    std::string request;
};
struct Hurry {
    std::string request, machine;
};
struct Grant { // also to another holder, of a turn under way
    std::string machine, holder;
    Fence before;               // the turn's fence as the giver knows it: of two grants one is void
    std::set<std::string> down; // machines that the giver takes for down, beside those that are out
    Tenths wall = 0;
};
struct Take { // the holder knows of its grant; said again to keep it
    std::string machine, holder;
    Fence fence;
    std::uint64_t stamp = 0;
};
struct Move { // by the holder: the turn has come to this state
    std::string machine;
    Fence fence;
    TurnState to = TurnState::kDraining;
    std::string why;
    bool undone = false; // to kReturning: its work was not done, it comes again
};
struct Lapse { // the holder has not said a word for longer than its grant lasts
    std::string machine;
    Fence fence;
};
struct Recall { // by the leader: to be put back, as something else has gone wrong
    std::string machine;
    Fence fence;
    std::string why;
};
using Command = std::variant<Survey, Add, Withdraw, Hold, Resume, Hurry, Grant, Take, Move, Lapse, Recall>;

struct Verdict {
    bool done = false;
    std::string why; // where it is not
};

} // namespace ivyrill::rota
