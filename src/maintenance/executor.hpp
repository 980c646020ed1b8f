// Executes the maintenance jobs whose lease this front node holds, step by step, through each machine's
// controller (`keeper` in the operator's file). It acts only while its lease is valid by its own clock,
// counted from the time at which the lease was requested, and each action carries the lease's fencing token:
// a controller that has seen a larger token refuses the action, however late it arrives. Bringing a machine
// back is the only action that any node may try while there is no leader: it reduces no shard's replicas, and
// the fencing token protects it as before.
#pragma once
#include "maintenance/fleet_observation.hpp"
#include "maintenance/maintenance_schedule.hpp"

#include <optional>
#include <vector>

namespace ivyrill::maintenance {

enum class MachineAction { kQueryState, kDrain, kTakeOut, kBringBack };
const char* to_string(MachineAction action);

// State of a machine as reported by its controller.
enum class MachineStatus {
    kServing,
    kDraining,
    kDrained,
    kWorking,
    kWorkDone, // the maintenance work is finished
    kStarting,
    kBroken,
    kRefused, // the controller has seen a larger fencing token
    kUnknown  // no answer, or an unusable one
};
const char* to_string(MachineStatus status);
std::optional<MachineStatus> machine_status_from(std::string_view name);

struct MachineCommand {
    std::uint64_t serial = 0;
    std::string machine;
    MachineAction action = MachineAction::kQueryState;
    FencingToken fence;
};

struct ExecutorSettings {
    std::string self;
    Timing timing;
    FailurePolicy failure_policy;
};

struct ExecutorOutput {
    std::vector<MachineCommand> actions;
    std::vector<Command> commands;
    std::vector<std::string> notifications; // messages for the operator
};

struct ExecutorCounts {
    std::uint64_t actions = 0, replies = 0, unmatched_replies = 0, fenced_off = 0, timed_out = 0,
                  expired_leases = 0, leaderless_actions = 0;
};

class Executor {
  public:
    explicit Executor(ExecutorSettings settings) : settings_(std::move(settings)) {}
    // Advances every job whose lease this node holds.
    ExecutorOutput run(Ticks now, const MaintenanceSchedule& schedule, const FleetObservation& observed);
    // Without a leader: brings back every machine that is out according to the local log, whoever held its
    // lease.
    std::vector<MachineCommand> recover_without_leader(Ticks now,
                                                       const MaintenanceSchedule& uncommitted_schedule);
    void leader_available() { recoveries_.clear(); }
    // The controller's answer to the action `serial`; unexpected answers are counted and dropped.
    void on_status(Ticks now, std::uint64_t serial, const std::string& machine, MachineStatus status);
    bool holds_lease(const std::string& machine, Ticks now) const;
    Ticks lease_until(const std::string& machine) const;
    // On shutdown: releases all leases, so that other holders can continue at once.
    std::vector<Command> release_leases(const MaintenanceSchedule& schedule);
    Ticks next_step(Ticks now) const; // when `run` has to be called next
    const ExecutorCounts& counts() const { return counts_; }

  private:
    struct JobExecution { // state of one job whose lease this node holds
        FencingToken fence;
        // Local times of this node's confirmations since the process started.
        std::set<std::uint64_t> confirmation_times;
        Ticks lease_until = 0;
        Ticks confirm_at = 0;
        JobState state = JobState::kProposed;
        Ticks state_since = 0;         // when the job entered this state
        bool fence_registered = false; // the controller has seen our fencing token
        MachineStatus status = MachineStatus::kUnknown;
        std::optional<MachineCommand> pending; // waits for the answer of the controller
        Ticks reply_due = 0, next_action_at = 0, next_proposal_at = 0;
        int unanswered = 0; // consecutive actions without an answer
        // `released`: the lease was given up and must not be used again.
        bool fenced_off = false, notified = false, released = false;
    };
    void advance(Ticks now, const MaintenanceJob& job, JobExecution& execution,
                 const MaintenanceSchedule& schedule, const FleetObservation& observed,
                 ExecutorOutput& output);
    void send_action(Ticks now, const std::string& machine, JobExecution& execution, MachineAction action,
                     ExecutorOutput& output);
    void propose_state(Ticks now, const MaintenanceJob& job, JobExecution& execution, JobState to,
                       std::string reason, ExecutorOutput& output);
    void apply_policy(Ticks now, FailureAction action, const MaintenanceJob& job, JobExecution& execution,
                      const std::string& reason, const MaintenanceSchedule& schedule, ExecutorOutput& output);

    ExecutorSettings settings_;
    std::map<std::string, JobExecution> executions_, recoveries_;
    std::uint64_t serial_ = 0;
    ExecutorCounts counts_;
};

} // namespace ivyrill::maintenance
