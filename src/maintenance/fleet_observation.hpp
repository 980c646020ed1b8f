// What one front node knows of the fleet, as the rota's deciding parts are given it. It may be old or wrong:
// what follows from it is only what this node proposes, and the evening refuses what may not be.
#pragma once
#include "maintenance/types.hpp"

namespace ivyrill::maintenance {

enum class MachineHealth { kWarm, kCold, kDraining, kGone }; // of a machine; of a front node: kWarm or kGone

struct ObservedMachine {
    MachineFacts facts;
    MachineHealth health = MachineHealth::kWarm;
};

struct FleetObservation {
    std::string self;
    Tenths wall_time = 0; // Unix time
    std::map<std::string, ObservedMachine> machines;
    std::set<std::string> voters;      // of the council
    std::set<std::string> unreachable; // front nodes that do not answer, the doubted ones among them
    bool voters_settled = true;        // it has all its voters, and the evening knows them
    std::set<std::string> lost_store;  // voters that have lost their ledger
    double rejected_share = 0;         // share of the searches that this node rejects of late
    std::string lost_zone;             // a zone most of which is gone and was not sent out; empty: none
};

// What to do when something goes wrong, in the operator's words.
enum class FailureAction { kWait, kSkip, kRollBack, kHoldSchedule, kNotifyOperator };

struct FailurePolicy {
    FailureAction drain_late = FailureAction::kRollBack;      // it does not drain
    FailureAction work_late = FailureAction::kNotifyOperator; // its work does not end
    FailureAction back_late = FailureAction::kHoldSchedule;   // it does not come back
    FailureAction broken = FailureAction::kHoldSchedule;      // it came back and does not serve
    FailureAction cold_late = FailureAction::kWait;           // it came back and stays cold
    FailureAction neighbour_down =
        FailureAction::kRollBack; // another one that holds what it holds has failed meanwhile
};

struct Timing {                           // of a turn, each from the state before
    Tenths lease = 10 * kTenthsPerSecond; // lasts so long by its holder's clock, from when it asked
    Tenths drain = 60 * kTenthsPerSecond, work = 1800 * kTenthsPerSecond, bring_back = 120 * kTenthsPerSecond,
           warm_up = 120 * kTenthsPerSecond;
    Tenths action = 10 * kTenthsPerSecond;      // one act of the keeper
    Tenths fleet_settle = 3 * kTenthsPerSecond; // until a change of the fleet is taken for one
    double clock_error = 0.01;                  // by which two clocks' rates may differ
    int max_setbacks = 3;                       // put back more often, it is given up
    double max_rejected_share = 0.05;
};

} // namespace ivyrill::maintenance
