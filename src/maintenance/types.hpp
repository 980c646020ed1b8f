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

namespace ivyrill::maintenance {

using FencingToken =
    Id<struct FencingTokenTag, std::uint64_t>; // of a grant: of two the larger was given later
using OrderNo = Id<struct OrderTag, std::uint64_t>;

struct MachineFacts { // of one machine, as surveyed
    std::string name;
    bool front_node = false;
    std::string zone;
    std::vector<int> shards; // that it holds a replica of; empty for a front node
    double capacity = 1;     // of its shards' work, against the others'
    Tenths duration = 0;     // how long its work takes, from the start of its drain until it is warm
    friend bool operator==(const MachineFacts&, const MachineFacts&) = default;
};

struct Limits {               // what may go when; shares are of the machines surveyed, and always let one go
    int min_replicas = 1;     // replicas of each shard that stay
    double zone_share = 0.34; // of a zone's index servers
    double shard_share = 0.5; // of the power of a shard's replicas
    double fleet_share = 0.2; // of all index servers
    double front_share = 0.2; // of the front nodes
    int voter_count = 0;      // voters; of these a majority stays
    friend bool operator==(const Limits&, const Limits&) = default;
};

enum class JobState { kProposed, kGranted, kDraining, kOut, kReturning, kWarm, kDone, kGivenUp };
const char* to_string(JobState state);

struct MaintenanceJob {
    std::string machine;
    OrderNo order;
    JobState state = JobState::kProposed;
    std::string holder;              // the front node that carries it out; empty: nobody at present
    FencingToken fence;              // of its latest grant
    bool lease_confirmed = false;    // its holder has said that it knows
    std::uint64_t holder_time = 0;   // of the holder's latest word, by its own clock
    bool prioritized = false;        // goes before those that are not
    bool withdrawn = false;          // is to be put back and not tried again
    bool recalled = false;           // is to be put back, and comes again later
    int setbacks = 0;                // times that it was put back
    int lease_expiries = 0;          // ... that it lapsed in this state
    Tenths earliest = 0, latest = 0; // Unix time, 0: any
    std::string reason;              // of its last change
};
// Between its grant and its end the machine may be down: it counts as out.
constexpr bool is_out(JobState state) {
    return state == JobState::kGranted || state == JobState::kDraining || state == JobState::kOut ||
           state == JobState::kReturning;
}
constexpr bool is_finished(JobState state) { return state == JobState::kDone || state == JobState::kGivenUp; }

// ---- what is agreed on, one entry of the log each

struct UpdateFleet { // the machines there are, and what may go when
    Limits limits;
    std::vector<MachineFacts> fleet;
    std::set<std::string> voters;
};
struct AddJobs {
    std::string request, requested_by, note; // the first is known by again
    std::vector<std::string> machines;
    Tenths earliest = 0, latest = 0;
};
struct WithdrawJob {
    std::string request, machine, reason;
};
struct HoldSchedule { // nothing more goes out; what is out goes on and comes back
    std::string request, reason;
};
struct ResumeSchedule {
    std::string request;
};
struct PrioritizeJob {
    std::string request, machine;
};
struct GrantLease { // also to another holder, of a turn under way
    std::string machine, holder;
    FencingToken previous_fence; // the turn's fence as the giver knows it: of two grants one is void
    std::set<std::string> down;  // machines that the giver takes for down, beside those that are out
    Tenths wall_time = 0;
};
struct ConfirmLease { // the holder knows of its grant; said again to keep it
    std::string machine, holder;
    FencingToken fence;
    std::uint64_t holder_time = 0;
};
struct AdvanceJob { // by the holder: the turn has come to this state
    std::string machine;
    FencingToken fence;
    JobState to = JobState::kDraining;
    std::string reason;
    bool incomplete = false; // to kReturning: its work was not done, it comes again
};
struct ExpireLease { // the holder has not said a word for longer than its grant lasts
    std::string machine;
    FencingToken fence;
};
struct RecallJob { // by the leader: to be put back, as something else has gone wrong
    std::string machine;
    FencingToken fence;
    std::string reason;
};
using Command = std::variant<UpdateFleet, AddJobs, WithdrawJob, HoldSchedule, ResumeSchedule, PrioritizeJob,
                             GrantLease, ConfirmLease, AdvanceJob, ExpireLease, RecallJob>;

struct CommandResult {
    bool accepted = false;
    std::string reason; // where it is not
};

} // namespace ivyrill::maintenance
