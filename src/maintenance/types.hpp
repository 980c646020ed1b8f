// Data types of the maintenance schedule: machines, limits, jobs and the commands that change them. Times are
// tenths of a millisecond; times in commands come from the clock of the node that issued them, and no
// decision compares the clocks of two nodes.
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

// Identifies a lease; a later lease has a larger token.
using FencingToken = Id<struct FencingTokenTag, std::uint64_t>;
// Numbers the accepted AddJobs commands.
using OrderNo = Id<struct OrderTag, std::uint64_t>;

struct MachineFacts {
    std::string name;
    bool front_node = false;
    std::string zone;
    std::vector<int> shards; // shards it holds a replica of; empty for a front node
    double capacity = 1;     // relative capacity among the replicas of its shards
    Ticks duration = 0;      // planned time from the start of the drain until it is warm
    friend bool operator==(const MachineFacts&, const MachineFacts&) = default;
};

struct Limits {               // shares are of all known machines and always allow at least one
    int min_replicas = 1;     // replicas of each shard that must stay in service
    double zone_share = 0.34; // of a zone's index servers that may be out
    double shard_share = 0.5; // of the capacity of a shard's replicas
    double fleet_share = 0.2; // of all index servers
    double front_share = 0.2; // of the front nodes
    int voter_count = 0;      // voters, of which a majority must stay
    friend bool operator==(const Limits&, const Limits&) = default;
};

enum class JobState { kProposed, kGranted, kDraining, kOut, kReturning, kWarm, kDone, kGivenUp };
const char* to_string(JobState state);

struct MaintenanceJob {
    std::string machine;
    OrderNo order;
    JobState state = JobState::kProposed;
    std::string holder;             // front node that executes the job; empty: none at present
    FencingToken fence;             // of its latest lease
    bool lease_confirmed = false;   // the holder has confirmed the lease
    std::uint64_t holder_time = 0;  // of the holder's latest confirmation, by its own clock
    bool prioritized = false;       // goes before jobs that are not
    bool withdrawn = false;         // to be rolled back and not retried
    bool recalled = false;          // to be rolled back and retried later
    int setbacks = 0;               // number of rollbacks
    int lease_expiries = 0;         // leases that expired or were released in this state
    Ticks earliest = 0, latest = 0; // Unix time; 0: unbounded
    std::string reason;             // reason of the last change
};
// From the lease until the machine is warm again it may be unavailable and counts as out.
constexpr bool is_out(JobState state) {
    return state == JobState::kGranted || state == JobState::kDraining || state == JobState::kOut ||
           state == JobState::kReturning;
}
constexpr bool is_finished(JobState state) { return state == JobState::kDone || state == JobState::kGivenUp; }

// ---- commands; each is one entry of the replicated log

struct UpdateFleet { // the known machines, limits and voters
    Limits limits;
    std::vector<MachineFacts> fleet;
    std::set<std::string> voters;
};
struct AddJobs {
    std::string request, requested_by, note; // request id; a repeated id is ignored
    std::vector<std::string> machines;
    Ticks earliest = 0, latest = 0;
};
struct WithdrawJob {
    std::string request, machine, reason;
};
struct HoldSchedule { // no further machine goes out; jobs in progress are finished
    std::string request, reason;
};
struct ResumeSchedule {
    std::string request;
};
struct PrioritizeJob {
    std::string request, machine;
};
struct GrantLease { // of a proposed job, or of a job in progress to a new holder
    std::string machine, holder;
    // The job's token as the granting node knows it: of two concurrent grants one is rejected.
    FencingToken previous_fence;
    // Machines that the granting node believes to be down, besides those that are out.
    std::set<std::string> down;
    Ticks wall_time = 0;
};
struct ConfirmLease { // by the holder: confirms its lease, and renews it when repeated
    std::string machine, holder;
    FencingToken fence;
    std::uint64_t holder_time = 0;
};
struct AdvanceJob { // by the holder: the job has reached this state
    std::string machine;
    FencingToken fence;
    JobState to = JobState::kDraining;
    std::string reason;
    bool incomplete = false; // to kReturning: the work was not finished, the job is retried
};
struct ExpireLease { // the holder has not renewed its lease in time, or released it
    std::string machine;
    FencingToken fence;
};
struct RecallJob { // by the leader: roll the job back because of another failure
    std::string machine;
    FencingToken fence;
    std::string reason;
};
using Command = std::variant<UpdateFleet, AddJobs, WithdrawJob, HoldSchedule, ResumeSchedule, PrioritizeJob,
                             GrantLease, ConfirmLease, AdvanceJob, ExpireLease, RecallJob>;

struct CommandResult {
    bool accepted = false;
    std::string reason; // reason of a rejection
};

} // namespace ivyrill::maintenance
