// What one front node observes of the fleet: the input of the scheduler and the executor. It may be stale or
// wrong; that only affects what this node proposes, as MaintenanceSchedule rejects whatever breaks its
// limits.
#pragma once
#include "maintenance/types.hpp"

namespace ivyrill::maintenance {

enum class MachineHealth { kWarm, kCold, kDraining, kGone }; // front nodes are either kWarm or kGone

struct ObservedMachine {
    MachineFacts facts;
    MachineHealth health = MachineHealth::kWarm;
};

struct FleetObservation {
    std::string self;
    Ticks wall_time = 0; // tenths of a millisecond, Unix time
    std::map<std::string, ObservedMachine> machines;
    std::set<std::string> voters;      // of the consensus group
    std::set<std::string> unreachable; // front nodes that do not answer, suspected ones included
    bool voters_settled = true;        // the group has all its voters, and the schedule lists the same ones
    std::set<std::string> lost_store;  // voters whose store was lost or replaced
    double rejected_search_share = 0;  // share of recent searches that this node has rejected
    std::string lost_zone; // zone that has lost most of its machines outside of maintenance; empty: none
};

// What to do when a job fails; the operator's file configures it (`answers`).
enum class FailureAction { kWait, kSkip, kRollBack, kHoldSchedule, kNotifyOperator };

struct FailurePolicy {
    FailureAction drain_late = FailureAction::kRollBack;      // the machine does not finish draining
    FailureAction work_late = FailureAction::kNotifyOperator; // the maintenance work does not end
    FailureAction back_late = FailureAction::kHoldSchedule;   // the machine does not come back
    FailureAction broken = FailureAction::kHoldSchedule;      // the machine came back and does not serve
    FailureAction cold_late = FailureAction::kWait;           // the machine came back and does not warm up
    FailureAction neighbour_down =
        FailureAction::kRollBack; // another replica of its shards has failed meanwhile
};

struct Timing {                         // time limits of a job, each counted from entering the state
    Ticks lease = 10 * kTicksPerSecond; // validity by the holder's clock, from its request
    Ticks drain = 60 * kTicksPerSecond, work = 1800 * kTicksPerSecond, bring_back = 120 * kTicksPerSecond,
          warm_up = 120 * kTicksPerSecond;
    Ticks action = 10 * kTicksPerSecond;      // timeout of one action of the machine's controller
    Ticks fleet_settle = 3 * kTicksPerSecond; // a fleet change must last this long before it is proposed
    double clock_error = 0.01;                // assumed maximum difference between the rates of two clocks
    int max_setbacks = 3;                     // a job that is rolled back more often is given up
    double max_rejected_share = 0.05;
};

} // namespace ivyrill::maintenance
