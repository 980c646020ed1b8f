#include "maintenance/scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::maintenance {

namespace {

constexpr int kMaxTrialWork = 10'000; // upper bound of trials times the square of the number of jobs
constexpr int kMaxTrials = 100;
// Settle times until an unobserved front node is removed from the fleet.
constexpr int kForgetSettleSpans = 60;
constexpr std::size_t kExpiredHolderLoad = 100;
constexpr std::size_t kOwnJobLoad = 1000; // above any load by jobs: a node with an own job is the last choice
constexpr double kMinMeasureLeases = 0.5; // minimum measuring time, in lease durations
constexpr double kMeasureNoiseLeases = 0.05; // allowance for message delays, in lease durations

} // namespace

Ticks Scheduler::lease_expiry_wait() const {
    // The holder counts from its request and the leader from the commit, which is always later. The holder's
    // clock may be slow and the leader's fast.
    return static_cast<Ticks>(std::ceil(static_cast<double>(settings_.timing.lease) *
                                        (1 + 2 * settings_.timing.clock_error))) +
           1;
}

std::set<std::string> Scheduler::down(const MaintenanceSchedule& schedule, const FleetObservation& observed) {
    std::set<std::string> names = observed.lost_store; // reachable, but without a vote
    const auto is_out_by_schedule = [&](const std::string& name) {
        const MaintenanceJob* job = schedule.job(name);
        return job != nullptr && is_out(job->state);
    };
    for (const auto& [name, facts] : schedule.fleet()) {
        if (is_out_by_schedule(name)) continue;
        const auto observed_machine = observed.machines.find(name);
        // A machine that came back counts as available only once it is warm.
        if (observed_machine == observed.machines.end() ||
            observed_machine->second.health != MachineHealth::kWarm)
            names.insert(name);
    }
    return names;
}

UpdateFleet Scheduler::build_fleet_update(Ticks now, const MaintenanceSchedule& schedule,
                                          const FleetObservation& observed) {
    UpdateFleet update{settings_.limits, {}, observed.voters};
    update.limits.voter_count = static_cast<int>(observed.voters.size());
    for (const auto& [name, observed_machine] : observed.machines)
        update.fleet.push_back(observed_machine.facts);
    // Front nodes that do not answer stay in the fleet for a while, and machines with an unfinished job
    // always.
    for (const auto& [name, facts] : schedule.fleet()) {
        const MaintenanceJob* job = schedule.job(name);
        const bool has_job = job != nullptr && !is_finished(job->state);
        if (observed.machines.contains(name)) {
            missing_since_.erase(name);
            continue;
        }
        // A leader that has just started does not know all front nodes yet.
        const Ticks since = missing_since_.try_emplace(name, now).first->second;
        const bool keep_front_node =
            facts.front_node && now < since + kForgetSettleSpans * settings_.timing.fleet_settle;
        if (has_job || keep_front_node) update.fleet.push_back(facts);
    }
    return update;
}

SchedulerDecision Scheduler::decide(Ticks now, Ticks leader_since, const MaintenanceSchedule& schedule,
                                    const FleetObservation& observed) {
    SchedulerDecision decision;
    UpdateFleet update = build_fleet_update(now, schedule, observed);
    const auto unchanged = [&] {
        if (update.limits != schedule.limits() || update.voters != schedule.voters() ||
            update.fleet.size() != schedule.fleet().size())
            return false;
        return std::ranges::all_of(update.fleet, [&](const MachineFacts& facts) {
            const auto known = schedule.fleet().find(facts.name);
            return known != schedule.fleet().end() && known->second == facts;
        });
    };
    if (unchanged()) {
        fleet_changing_since_ = 0;
    } else if (fleet_changing_since_ == 0) {
        fleet_changing_since_ = now;
    }
    // Changes are debounced against a flapping list; the first list is used at once.
    if (fleet_changing_since_ != 0 &&
        (schedule.fleet().empty() || now >= fleet_changing_since_ + settings_.timing.fleet_settle) &&
        !update.fleet.empty()) {
        decision.commands.emplace_back(std::move(update));
        decision.reason = "the fleet is being updated";
        return decision;
    }
    check_leases(now, leader_since, schedule, observed, decision);
    const std::set<std::string> down = Scheduler::down(schedule, observed);
    // Another replica of a machine's shards failed while the machine was out: machines that can come back are
    // recalled first.
    const std::set<std::string> out = schedule.machines_out();
    if (settings_.failure_policy.neighbour_down != FailureAction::kWait && !schedule.fleet().empty()) {
        const Constraints constraints(schedule.limits(), schedule.fleet(), schedule.voters());
        for (const std::string& machine : out) {
            const MaintenanceJob& job = *schedule.job(machine);
            if (job.recalled || job.withdrawn || job.state == JobState::kReturning) continue;
            std::set<std::string> others = out;
            others.erase(machine);
            if (!constraints.violation(machine, others).empty())
                continue; // already in conflict with other planned jobs, not with a failure
            others.insert(down.begin(), down.end());
            const std::string reason = constraints.violation(machine, others);
            if (reason.empty()) continue;
            decision.commands.emplace_back(RecallJob{machine, job.fence, reason});
            if (settings_.failure_policy.neighbour_down == FailureAction::kHoldSchedule && !schedule.held())
                decision.commands.emplace_back(HoldSchedule{{}, reason});
        }
    }
    for (const auto& [machine, job] : schedule.jobs()) {
        if (job.state != JobState::kProposed) continue;
        if (job.setbacks > settings_.timing.max_setbacks)
            decision.commands.emplace_back(
                WithdrawJob{{}, machine, "rolled back " + std::to_string(job.setbacks) + " times"});
        else if (job.latest != 0 && observed.wall_time > job.latest)
            decision.commands.emplace_back(WithdrawJob{{}, machine, "its latest time has passed"});
    }
    grant_leases(now, schedule, observed, down, decision);
    return decision;
}

// A lease that was not renewed within its validity has expired; the machine stays out until another holder
// continues the job. By then the old holder has stopped, by its own clock.
void Scheduler::check_leases(Ticks now, Ticks leader_since, const MaintenanceSchedule& schedule,
                             const FleetObservation& observed, SchedulerDecision& decision) {
    std::erase_if(leases_, [&](auto& entry) {
        const MaintenanceJob* job = schedule.job(entry.first);
        // It released its lease: perhaps only this node cannot reach the machine.
        if (job != nullptr && job->holder.empty() && job->fence == entry.second.fence &&
            !is_finished(job->state))
            expired_holders_.insert(entry.second.holder);
        return job == nullptr || job->holder.empty() || job->fence != entry.second.fence;
    });
    for (const auto& [machine, job] : schedule.jobs()) {
        if (!is_out(job.state) && job.state != JobState::kWarm) continue;
        if (job.holder.empty()) {
            leases_.erase(machine);
            if (const std::string holder = holder_for(job, schedule, observed); !holder.empty())
                decision.commands.emplace_back(
                    GrantLease{machine, holder, job.fence, {}, observed.wall_time});
            continue;
        }
        auto [entry, is_new] =
            leases_.try_emplace(machine, LeaseRecord{job.holder, job.fence, job.holder_time, now});
        LeaseRecord& lease = entry->second;
        if (!is_new && lease.holder_time != job.holder_time) {
            measure_clock(now, job);
            lease = {job.holder, job.fence, job.holder_time, now};
        }
        // A new leader does not know when the lease was last renewed: at the latest when it was elected.
        if (now > std::max(lease.at, leader_since) + lease_expiry_wait())
            decision.commands.emplace_back(ExpireLease{machine, job.fence}),
                expired_holders_.insert(job.holder);
        else if (job.state != JobState::kGranted && job.lease_expiries == 0)
            expired_holders_.erase(job.holder); // it has made progress with a machine
    }
}

// Leases assume clocks that run at nearly the same rate. This checks the assumption: each confirmation
// carries the holder's time.
void Scheduler::measure_clock(Ticks now, const MaintenanceJob& job) {
    ClockSample& clock = clock_samples_[job.holder];
    if (clock.holder_time == 0 || job.holder_time < clock.holder_time) {
        clock = {job.holder_time, now};
        return;
    }
    const auto ours = static_cast<double>(now - clock.at);
    const auto theirs = static_cast<double>(job.holder_time - clock.holder_time);
    const auto span = static_cast<double>(settings_.timing.lease) * kMinMeasureLeases;
    if (ours < span) return;
    // The effect of message delays shrinks with the measuring time.
    const double noise = kMeasureNoiseLeases * static_cast<double>(settings_.timing.lease) / ours;
    if (std::abs(theirs / ours - 1) > 2 * settings_.timing.clock_error + noise &&
        ours > 10 * static_cast<double>(settings_.timing.lease))
        ++distrusted_clocks_, distrusted_holders_.insert(job.holder);
    if (ours > 100 * span) clock = {job.holder_time, now};
}

std::string Scheduler::holder_for(const MaintenanceJob& job, const MaintenanceSchedule& schedule,
                                  const FleetObservation& observed) const {
    std::string best;
    std::size_t least = 0;
    for (const std::string& voter : observed.voters) {
        const MaintenanceJob* own = schedule.job(voter);
        const bool is_leaving = own != nullptr && is_out(own->state);
        if (voter == job.machine || is_leaving || observed.unreachable.contains(voter) ||
            distrusted_holders_.contains(voter) || observed.lost_store.contains(voter))
            continue;
        std::size_t load = 0;
        for (const auto& [name, other] : schedule.jobs()) load += other.holder == voter ? 2 : 0;
        load += voter == observed.self ? 1 : 0; // the leader is already busy
        load +=
            expired_holders_.contains(voter) ? kExpiredHolderLoad : 0; // it let a lease expire: prefer others
        if (own != nullptr && !is_finished(own->state))
            load += kOwnJobLoad; // it could not go out while it holds a lease
        if (best.empty() || load < least) best = voter, least = load;
    }
    return best;
}

void Scheduler::grant_leases(Ticks now, const MaintenanceSchedule& schedule, const FleetObservation& observed,
                             const std::set<std::string>& down, SchedulerDecision& decision) {
    if (schedule.held()) return void(decision.reason = "held: " + schedule.hold_reason());
    if (!observed.lost_zone.empty()) return void(decision.reason = "zone " + observed.lost_zone + " is lost");
    if (observed.rejected_search_share > settings_.timing.max_rejected_share) {
        // The cause may be local: a leader that is cut off from the servers would block jobs that other nodes
        // could allow.
        if (overloaded_since_ == 0) overloaded_since_ = now;
        decision.transfer_leadership = now > overloaded_since_ + settings_.timing.lease;
        return void(decision.reason = "too many searches are rejected");
    }
    overloaded_since_ = 0;
    if (fleet_changing_since_ != 0) return void(decision.reason = "the fleet is changing");
    std::erase_if(rolled_back_since_, [&](auto& entry) {
        const MaintenanceJob* job = schedule.job(entry.first);
        return job == nullptr || job->state != JobState::kProposed;
    });
    std::vector<PlannedJob> jobs;
    for (const PlannedJob& planned : pending_jobs(schedule, observed.wall_time)) {
        const MaintenanceJob& job = *schedule.job(planned.machine);
        if (job.setbacks > 0) {
            const Ticks since = rolled_back_since_.try_emplace(planned.machine, now).first->second;
            if (now < since + settings_.timing.drain * job.setbacks) continue;
        }
        if (planned.earliest == 0 && job.setbacks <= settings_.timing.max_setbacks) jobs.push_back(planned);
    }
    std::string plan_key;
    for (const PlannedJob& planned : jobs) plan_key += planned.machine + (planned.prioritized ? "!" : " ");
    plan_key += std::to_string(schedule.fleet().size());
    if (plan_key != plan_key_) {
        const auto size = static_cast<int>(std::max<std::size_t>(1, jobs.size()));
        const Plan plan = plan_optimized(schedule, jobs, {}, settings_.seed,
                                         std::min(kMaxTrials, kMaxTrialWork / (size * size)));
        planned_order_.clear(), plan_key_ = plan_key;
        for (const PlanStep& step : plan.steps) planned_order_.push_back(step.machine);
    }
    const Constraints constraints(schedule.limits(), schedule.fleet(), schedule.voters());
    std::set<std::string> unavailable = schedule.machines_out();
    unavailable.insert(down.begin(), down.end());
    for (const std::string& machine : planned_order_) {
        const MaintenanceJob* job = schedule.job(machine);
        if (job == nullptr || job->state != JobState::kProposed) continue;
        if (std::ranges::find(jobs, machine, &PlannedJob::machine) == jobs.end()) continue;
        // A machine that is gone already costs nothing more; one that is starting or draining outside of
        // maintenance is waited for.
        const auto observed_machine = observed.machines.find(machine);
        if (down.contains(machine) && observed_machine != observed.machines.end() &&
            observed_machine->second.health != MachineHealth::kGone) {
            decision.reason = machine + " is changing state outside of maintenance";
            continue;
        }
        if (std::string reason = constraints.violation(machine, unavailable); !reason.empty()) {
            decision.reason = machine + ": " + reason;
            continue;
        }
        // A front node that is executing jobs goes out once they are finished.
        const bool holds =
            std::ranges::any_of(schedule.jobs(), [&](auto& entry) { return entry.second.holder == machine; });
        if (holds) {
            decision.reason = machine + " is executing other jobs";
            continue;
        }
        if (observed.voters.contains(machine) && !observed.voters_settled) {
            decision.reason = machine + ": the voters are changing";
            continue;
        }
        if (machine == observed.self) {
            decision.transfer_leadership = true;
            return;
        }
        const std::string holder = holder_for(*job, schedule, observed);
        if (holder.empty()) return void(decision.reason = "no voter is available to execute the job");
        decision.commands.emplace_back(GrantLease{machine, holder, job->fence, down, observed.wall_time});
        unavailable.insert(machine);
    }
}

} // namespace ivyrill::maintenance
