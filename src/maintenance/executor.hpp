// The holder's part: carries out the turns that are granted to this front node, act by act, through the
// machine's keeper. It acts only while its grant lasts by its own clock, counted from when it asked, and
// every act bears the grant's number: a keeper that has heard a larger one refuses it, however late it comes.
// To bring a machine back is the one thing that whoever knows of it may try when nobody can agree on
// anything: that harms no shard, and the number guards it as before.
#pragma once
#include "maintenance/fleet_observation.hpp"
#include "maintenance/maintenance_schedule.hpp"

#include <optional>
#include <vector>

namespace ivyrill::maintenance {

enum class MachineAction { kQueryState, kDrain, kTakeOut, kBringBack };
const char* to_string(MachineAction act);

// What a keeper says of its machine.
enum class MachineStatus {
    kServing,
    kDraining,
    kDrained,
    kWorking,
    kWorkDone, // it is out and may come back
    kStarting,
    kBroken,
    kRefused, // it has heard a larger number
    kUnknown  // it said nothing, or nothing of use
};
const char* to_string(MachineStatus status);
std::optional<MachineStatus> machine_status_from(std::string_view word);

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
    std::vector<std::string> notifications; // the operator is called
};

struct ExecutorCounts {
    std::uint64_t actions = 0, replies = 0, unmatched_replies = 0, fenced_off = 0, timed_out = 0,
                  expired_leases = 0, leaderless_actions = 0;
};

class Executor {
  public:
    explicit Executor(ExecutorSettings settings) : settings_(std::move(settings)) {}
    ExecutorOutput run(Tenths now, const MaintenanceSchedule& schedule, const FleetObservation& observed);
    // Nobody agrees on anything: what is out, as far as we know, is brought back, whoever held it.
    std::vector<MachineCommand> recover_without_leader(Tenths now,
                                                       const MaintenanceSchedule& uncommitted_schedule);
    void leader_available() { recoveries_.clear(); } // somebody leads again
    // The keeper's answer to that act; one that nobody waits for is counted and forgotten.
    void on_status(Tenths now, std::uint64_t serial, const std::string& machine, MachineStatus status);
    bool holds_lease(const std::string& machine, Tenths now) const; // its grant lasts
    Tenths lease_until(const std::string& machine) const;
    std::vector<Command>
    release_leases(const MaintenanceSchedule& schedule); // we leave: others go on at once
    Tenths next(Tenths now) const;
    const ExecutorCounts& counts() const { return counts_; }

  private:
    struct JobExecution { // of one turn that is ours
        FencingToken fence;
        std::set<std::uint64_t> confirmation_times; // stamps under which we asked for the grant, in this life
        Tenths lease_until = 0;                     // the grant lasts until then
        Tenths confirm_at = 0;
        JobState state = JobState::kProposed;
        Tenths state_since = 0;        // in this state
        bool fence_registered = false; // the keeper knows our number
        MachineStatus status = MachineStatus::kUnknown;
        std::optional<MachineCommand> pending; // waits for its answer
        Tenths reply_due = 0, next_action_at = 0, next_proposal_at = 0;
        int unanswered = 0; // acts in a row without an answer
        bool fenced_off = false, notified = false,
             released = false; // the last: given back, not to be held again
    };
    void advance(Tenths now, const MaintenanceJob& job, JobExecution& execution,
                 const MaintenanceSchedule& schedule, const FleetObservation& observed,
                 ExecutorOutput& output);
    void send_action(Tenths now, const std::string& machine, JobExecution& execution, MachineAction action,
                     ExecutorOutput& output);
    void propose_state(Tenths now, const MaintenanceJob& job, JobExecution& execution, JobState to,
                       std::string reason, ExecutorOutput& output);
    void apply_policy(Tenths now, FailureAction action, const MaintenanceJob& job, JobExecution& execution,
                      const std::string& reason, const MaintenanceSchedule& schedule, ExecutorOutput& output);

    ExecutorSettings settings_;
    std::map<std::string, JobExecution> executions_, recoveries_;
    std::uint64_t serial_ = 0;
    ExecutorCounts counts_;
};

} // namespace ivyrill::maintenance
