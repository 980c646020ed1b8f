#include "maintenance/executor.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace ivyrill::maintenance {

namespace {

constexpr int kRenewalsPerLease = 3; // confirmations within the validity of a lease
constexpr int kQueriesPerAction = 8; // state queries within the timeout of one action
constexpr int kMaxUnanswered = 4;
constexpr int kMaxLeaseExpiries = 2; // a job changes its holder at most this often in one state
constexpr std::size_t kMaxConfirmationTimes = 16;

constexpr std::array<const char*, 4> kActionNames{"state", "drain", "out", "back"};
constexpr std::array<const char*, 9> kStatusNames{"serving",  "draining", "drained", "working", "worked",
                                                  "starting", "broken",   "refused", "unknown"};

} // namespace

const char* to_string(MachineAction action) { return kActionNames[static_cast<std::size_t>(action)]; }
const char* to_string(MachineStatus status) { return kStatusNames[static_cast<std::size_t>(status)]; }
std::optional<MachineStatus> machine_status_from(std::string_view name) {
    for (std::size_t i = 0; i < kStatusNames.size(); ++i)
        if (name == kStatusNames[i]) return static_cast<MachineStatus>(i);
    return {};
}

bool Executor::holds_lease(const std::string& machine, Ticks now) const { return now < lease_until(machine); }

Ticks Executor::lease_until(const std::string& machine) const {
    const auto found = executions_.find(machine);
    return found == executions_.end() ? 0 : found->second.lease_until;
}

Ticks Executor::next_step(Ticks now) const {
    Ticks first = now + settings_.timing.lease;
    for (const auto& [machine, execution] : executions_) {
        first = std::min(first, execution.confirm_at);
        if (execution.pending)
            first = std::min(first, execution.reply_due);
        else if (execution.next_action_at > now) // otherwise it waits for a commit
            first = std::min(first, execution.next_action_at);
    }
    return std::max(first, now + 1);
}

std::vector<MachineCommand>
Executor::recover_without_leader(Ticks now, const MaintenanceSchedule& uncommitted_schedule) {
    ExecutorOutput output;
    for (const auto& [machine, job] : uncommitted_schedule.jobs()) {
        if (!is_out(job.state)) continue;
        JobExecution& execution = recoveries_[machine];
        if (execution.fence != job.fence) execution = {}, execution.fence = job.fence;
        if (execution.pending && now >= execution.reply_due)
            execution.pending.reset(), execution.status = MachineStatus::kUnknown;
        if (execution.fenced_off) continue;
        const bool can_come_back = execution.status == MachineStatus::kWorkDone ||
                                   execution.status == MachineStatus::kDrained ||
                                   execution.status == MachineStatus::kDraining;
        if (!execution.pending && now >= execution.next_action_at) ++counts_.leaderless_actions;
        send_action(now, machine, execution,
                    can_come_back ? MachineAction::kBringBack : MachineAction::kQueryState, output);
    }
    return std::move(output.actions);
}

ExecutorOutput Executor::run(Ticks now, const MaintenanceSchedule& schedule,
                             const FleetObservation& observed) {
    ExecutorOutput output;
    std::erase_if(executions_, [&](auto& entry) {
        const MaintenanceJob* job = schedule.job(entry.first);
        return job == nullptr || job->holder != settings_.self || job->fence != entry.second.fence ||
               is_finished(job->state);
    });
    for (const auto& [machine, job] : schedule.jobs()) {
        if (job.holder != settings_.self || is_finished(job.state)) continue;
        auto [entry, is_new] = executions_.try_emplace(machine);
        JobExecution& execution = entry->second;
        if (is_new) execution.fence = job.fence;
        if (is_new || execution.state != job.state)
            execution.state = job.state, execution.state_since = now, execution.notified = false;
        if (execution.released) { // repeated until it is committed
            if (now < execution.confirm_at) continue;
            execution.confirm_at = now + settings_.timing.action;
            output.commands.emplace_back(ExpireLease{machine, job.fence});
            continue;
        }
        // Only confirmations sent by this process count, from the time at which they were sent.
        if (job.lease_confirmed && execution.confirmation_times.contains(job.holder_time))
            execution.lease_until =
                std::max(execution.lease_until, static_cast<Ticks>(job.holder_time) + settings_.timing.lease);
        if (now >= execution.confirm_at) {
            execution.confirm_at = now + settings_.timing.lease / kRenewalsPerLease / 2;
            if (now + settings_.timing.lease - settings_.timing.lease / kRenewalsPerLease >=
                execution.lease_until) {
                const auto holder_time = static_cast<std::uint64_t>(now);
                execution.confirmation_times.insert(holder_time);
                if (execution.confirmation_times.size() > kMaxConfirmationTimes)
                    execution.confirmation_times.erase(execution.confirmation_times.begin());
                output.commands.emplace_back(ConfirmLease{machine, settings_.self, job.fence, holder_time});
            }
        }
        if (execution.pending && now >= execution.reply_due) {
            ++counts_.timed_out, ++execution.unanswered;
            execution.pending.reset();
            execution.status = MachineStatus::kUnknown;
        }
        if (execution.pending || now < execution.next_action_at || execution.fenced_off) continue;
        if (!holds_lease(machine, now)) {
            if (execution.lease_until != 0) ++counts_.expired_leases;
            continue;
        }
        advance(now, job, execution, schedule, observed, output);
    }
    return output;
}

// One step of one job: compares the machine's reported state with the state that the job requires.
void Executor::advance(Ticks now, const MaintenanceJob& job, JobExecution& execution,
                       const MaintenanceSchedule& schedule, const FleetObservation& observed,
                       ExecutorOutput& output) {
    const bool cancel = job.withdrawn || job.recalled;
    const Ticks elapsed = now - execution.state_since;
    // A previous holder may have actions in flight: the controller must see the new fencing token before its
    // state is relied on.
    if (!execution.fence_registered || execution.status == MachineStatus::kUnknown) {
        // The controller may be unreachable from this node only: other holders try before a policy is
        // applied.
        if (execution.unanswered >= kMaxUnanswered && job.lease_expiries < kMaxLeaseExpiries) {
            // The lease must not be used from here on, even if it is still valid: another node may get the
            // job before this node learns of it.
            execution.released = true, execution.lease_until = 0;
            execution.confirm_at = now + settings_.timing.action;
            output.commands.emplace_back(ExpireLease{job.machine, job.fence});
            return;
        }
        if (execution.unanswered >= kMaxUnanswered && !execution.notified && job.state != JobState::kGranted)
            apply_policy(now, settings_.failure_policy.broken, job, execution,
                         "its controller does not answer", schedule, output);
        // A drain command may have arrived although its answer was lost, so the machine must be brought back.
        if (execution.unanswered >= kMaxUnanswered && job.state == JobState::kGranted)
            return propose_state(now, job, execution, JobState::kReturning, "its controller does not answer",
                                 output);
        return send_action(now, job.machine, execution, MachineAction::kQueryState, output);
    }
    const MachineStatus status = execution.status;
    switch (job.state) {
    case JobState::kGranted:
        if (status == MachineStatus::kBroken) // broken before the job started: left to the operator
            return propose_state(now, job, execution, JobState::kProposed, "it was broken before", output);
        if (cancel) return propose_state(now, job, execution, JobState::kReturning, job.reason, output);
        if (status == MachineStatus::kServing || status == MachineStatus::kStarting)
            return send_action(now, job.machine, execution, MachineAction::kDrain, output);
        // It drains, or is further.
        return propose_state(now, job, execution, JobState::kDraining, "", output);
    case JobState::kDraining:
        if (cancel) return propose_state(now, job, execution, JobState::kReturning, job.reason, output);
        if (status == MachineStatus::kWorking || status == MachineStatus::kWorkDone)
            return propose_state(now, job, execution, JobState::kOut, "", output);
        if (status == MachineStatus::kDrained)
            return send_action(now, job.machine, execution, MachineAction::kTakeOut, output);
        if (status == MachineStatus::kServing) // it lost the drain command
            return send_action(now, job.machine, execution, MachineAction::kDrain, output);
        if (elapsed > settings_.timing.drain)
            return apply_policy(now, settings_.failure_policy.drain_late, job, execution,
                                "it did not finish draining", schedule, output);
        return send_action(now, job.machine, execution, MachineAction::kQueryState, output);
    case JobState::kOut:
        if (cancel || status == MachineStatus::kWorkDone)
            return propose_state(now, job, execution, JobState::kReturning,
                                 cancel ? job.reason : "its work is finished", output);
        // Brought back by someone else.
        if (status == MachineStatus::kServing || status == MachineStatus::kStarting)
            return propose_state(now, job, execution, JobState::kReturning, "it came back without a command",
                                 output);
        if (status == MachineStatus::kBroken)
            return apply_policy(now, settings_.failure_policy.broken, job, execution,
                                "it broke during the work", schedule, output);
        if (elapsed > settings_.timing.work)
            return apply_policy(now, settings_.failure_policy.work_late, job, execution,
                                "its work did not end in time", schedule, output);
        return send_action(now, job.machine, execution, MachineAction::kQueryState, output);
    case JobState::kReturning: {
        if (status == MachineStatus::kBroken)
            return apply_policy(now, settings_.failure_policy.broken, job, execution, "it came back broken",
                                schedule, output);
        if (status != MachineStatus::kServing && status != MachineStatus::kStarting) {
            if (elapsed > settings_.timing.bring_back)
                apply_policy(now, settings_.failure_policy.back_late, job, execution,
                             "it did not come back in time", schedule, output);
            return send_action(now, job.machine, execution, MachineAction::kBringBack, output);
        }
        const auto listed = observed.machines.find(job.machine);
        const bool warm = listed != observed.machines.end() && listed->second.health == MachineHealth::kWarm;
        if (status == MachineStatus::kServing && warm) {
            if (cancel) return propose_state(now, job, execution, JobState::kProposed, job.reason, output);
            return propose_state(now, job, execution, JobState::kWarm, "", output);
        }
        const bool not_listed =
            listed == observed.machines.end() || listed->second.health == MachineHealth::kGone;
        if (elapsed > settings_.timing.bring_back + settings_.timing.warm_up &&
            status == MachineStatus::kServing && not_listed) {
            // The controller reports it neither cold nor broken, so the operator is notified.
            if (!std::exchange(execution.notified, true))
                output.notifications.push_back(
                    job.machine +
                    ": its controller reports that it serves, but it is not in the server list");
        } else if (elapsed > settings_.timing.bring_back + settings_.timing.warm_up)
            apply_policy(now,
                         status == MachineStatus::kServing ? settings_.failure_policy.cold_late
                                                           : settings_.failure_policy.back_late,
                         job, execution,
                         status == MachineStatus::kServing ? "it did not warm up in time"
                                                           : "it did not come back in time",
                         schedule, output);
        return send_action(now, job.machine, execution, MachineAction::kQueryState, output);
    }
    case JobState::kWarm:
        return propose_state(now, job, execution, JobState::kDone, "", output);
    case JobState::kProposed:
    case JobState::kDone:
    case JobState::kGivenUp:
        return;
    }
}

void Executor::apply_policy(Ticks now, FailureAction action, const MaintenanceJob& job,
                            JobExecution& execution, const std::string& reason,
                            const MaintenanceSchedule& schedule, ExecutorOutput& output) {
    const std::string text = job.machine + ": " + reason;
    const bool already_notified = std::exchange(execution.notified, true);
    switch (action) {
    case FailureAction::kWait:
        break;
    case FailureAction::kSkip:
        if (job.state == JobState::kReturning)
            return propose_state(now, job, execution, JobState::kGivenUp, reason, output);
        [[fallthrough]];
    case FailureAction::kRollBack:
        if (job.state != JobState::kReturning)
            return propose_state(now, job, execution, JobState::kReturning, reason, output);
        break;
    case FailureAction::kNotifyOperator:
        if (!already_notified) output.notifications.push_back(text);
        [[fallthrough]];
    case FailureAction::kHoldSchedule:
        if (!schedule.held() && !already_notified) output.commands.emplace_back(HoldSchedule{{}, text});
        break;
    }
    // The expected state may still be reached; a machine that is to come back gets that command again
    // instead.
    if (job.state != JobState::kReturning || execution.status == MachineStatus::kUnknown ||
        execution.status == MachineStatus::kBroken)
        send_action(now, job.machine, execution, MachineAction::kQueryState, output);
}

void Executor::send_action(Ticks now, const std::string& machine, JobExecution& execution,
                           MachineAction action, ExecutorOutput& output) {
    if (execution.pending || now < execution.next_action_at) return;
    ++counts_.actions;
    execution.pending = MachineCommand{++serial_, machine, action, execution.fence};
    execution.reply_due = now + settings_.timing.action;
    output.actions.push_back(*execution.pending);
}

void Executor::propose_state(Ticks now, const MaintenanceJob& job, JobExecution& execution, JobState to,
                             std::string reason, ExecutorOutput& output) {
    if (now < execution.next_proposal_at) return;
    execution.next_proposal_at = execution.next_action_at =
        now + settings_.timing.action / kQueriesPerAction; // repeated until it is committed
    const bool incomplete = to == JobState::kReturning && execution.status != MachineStatus::kWorkDone;
    output.commands.emplace_back(AdvanceJob{job.machine, job.fence, to, std::move(reason), incomplete});
}

void Executor::on_status(Ticks now, std::uint64_t serial, const std::string& machine, MachineStatus status) {
    JobExecution* match = nullptr;
    for (auto* executions : {&executions_, &recoveries_})
        if (const auto found = executions->find(machine);
            found != executions->end() && found->second.pending && found->second.pending->serial == serial)
            match = &found->second;
    if (match == nullptr) return void(++counts_.unmatched_replies); // duplicate, late, or for another machine
    JobExecution& execution = *match;
    ++counts_.replies;
    const MachineAction action = execution.pending->action;
    execution.pending.reset();
    if (status == MachineStatus::kRefused) {
        // Another node holds a later lease: this one was stalled. It does nothing more until it learns of
        // that lease.
        ++counts_.fenced_off, execution.fenced_off = true, execution.lease_until = 0;
        return;
    }
    execution.unanswered = status == MachineStatus::kUnknown ? execution.unanswered + 1 : 0;
    execution.fence_registered = execution.fence_registered || status != MachineStatus::kUnknown;
    execution.status = status;
    // The state is queried soon after an action, and at intervals while nothing changes.
    execution.next_action_at =
        now + (action == MachineAction::kQueryState ? settings_.timing.action / kQueriesPerAction : 1);
}

std::vector<Command> Executor::release_leases(const MaintenanceSchedule& schedule) {
    std::vector<Command> commands;
    for (auto& [machine, execution] : executions_) {
        execution.released = true, execution.lease_until = 0;
        const MaintenanceJob* job = schedule.job(machine);
        if (job != nullptr && job->holder == settings_.self && !is_finished(job->state))
            commands.emplace_back(ExpireLease{machine, job->fence});
    }
    return commands;
}

} // namespace ivyrill::maintenance
