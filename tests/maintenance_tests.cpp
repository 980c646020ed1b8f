// Tests of the maintenance schedule: units, and whole groups of front nodes and machines in simulated time
// with faults injected between them. Usage: `maintenance_tests NAME`.
#include "fake_host.hpp"
#include "lab/simulated_maintenance.hpp"
#include "maintenance/chart.hpp"
#include "maintenance/codec.hpp"
#include "raft_storage/sqlite_raft_store.hpp"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace ivyrill::maintenance {

namespace {

using lab::FaultInjection;
using lab::SimulatedMachine;
using lab::SimulatedMaintenance;
using lab::SimulatedMaintenancePlan;

constexpr Ticks kS = kTicksPerSecond;

SimulatedMaintenancePlan five_voters() {
    SimulatedMaintenancePlan plan;
    plan.voter_count = 5;
    return plan;
}

// A simulation whose consensus group has a leader and knows the fleet.
struct ReadyWorld : SimulatedMaintenance {
    explicit ReadyWorld(const SimulatedMaintenancePlan& plan = {}, FaultInjection fault_injection = {})
        : SimulatedMaintenance(plan, std::move(fault_injection)) {
        assert(until([&] { return leader() >= 0 && !schedule().fleet().empty(); }, 30 * kS));
    }
    void add_jobs(const std::vector<std::string>& machines, int node = 0) {
        add_maintenance_jobs(node, machines, "order" + std::to_string(machines.size()) + machines[0]);
        assert(until([&] { return schedule().job(machines.back()) != nullptr; }, 20 * kS));
    }
    JobState state(const std::string& machine) const { return schedule().job(machine)->state; }
    bool reaches(const std::string& machine, JobState expected, Ticks bound = 60 * kS) {
        return until([&] { return state(machine) == expected; }, bound);
    }
    bool all_jobs_end(Ticks bound = 300 * kS) {
        return until([&] { return all_jobs_finished(); }, bound);
    }
    int number(const std::string& name) const { return std::stoi(name.substr(1)); }
    const std::string& holder(const std::string& machine) const { return schedule().job(machine)->holder; }
    bool rules_hold() const {
        for (const std::string& violation : violations()) std::printf("%s\n", violation.c_str());
        return violations().empty();
    }
};

// ---- replicated state machine

MaintenanceSchedule small_schedule(int servers = 6, int fronts = 5) {
    MaintenanceSchedule schedule;
    UpdateFleet update{{2, 1, 0.5, 0.5, 0.4, 3}, {}, {"n0", "n1", "n2"}};
    for (int i = 0; i < servers; ++i)
        update.fleet.push_back(
            {"s" + std::to_string(i), false, i < servers / 2 ? "a" : "b", {i % 2}, 1, 10 * kS});
    for (int i = 0; i < fronts; ++i)
        update.fleet.push_back({"n" + std::to_string(i), true, "", {}, 1, 10 * kS});
    assert(schedule.apply(update).accepted);
    assert(schedule.apply(AddJobs{"r1", "op", "", {"s0", "s1", "s2", "s4", "n0", "n1"}, 0, 0}).accepted);
    return schedule;
}

void min_replicas_holds_for_every_granting_node() {
    MaintenanceSchedule schedule = small_schedule();
    assert(schedule.apply(GrantLease{"s0", "n1", {0}, {}, 0}).accepted);
    // s2 holds the same shard, of which two replicas must stay.
    const CommandResult second = schedule.apply(GrantLease{"s2", "n2", {0}, {}, 0});
    assert(!second.accepted && second.reason.find("shard 0") != std::string::npos);
    // The other replicas are down outside of maintenance.
    const CommandResult down = schedule.apply(GrantLease{"s1", "n2", {0}, {"s3", "s5"}, 0});
    assert(!down.accepted && schedule.machines_out() == std::set<std::string>{"s0"});
}

void second_grant_with_an_old_token_is_rejected() {
    MaintenanceSchedule schedule = small_schedule();
    assert(schedule.apply(GrantLease{"s0", "n1", {0}, {}, 0}).accepted);
    assert(!schedule.apply(GrantLease{"s0", "n2", {0}, {}, 0}).accepted); // by a deposed leader
    const FencingToken first = schedule.job("s0")->fence;
    assert(schedule.apply(ExpireLease{"s0", first}).accepted &&
           schedule.apply(GrantLease{"s0", "n2", first, {}, 0}).accepted);
    assert(schedule.job("s0")->fence > first);
    assert(!schedule.apply(ConfirmLease{"s0", "n1", first, 5}).accepted); // from the former holder
    assert(!schedule.apply(AdvanceJob{"s0", first, JobState::kDraining, "", false}).accepted);
    assert(schedule.apply(ConfirmLease{"s0", "n2", schedule.job("s0")->fence, 7}).accepted);
}

void duplicate_request_is_applied_once() {
    MaintenanceSchedule schedule = small_schedule();
    assert(schedule.apply(HoldSchedule{"h", "by hand"}).accepted &&
           schedule.apply(ResumeSchedule{"r"}).accepted);
    assert(schedule.apply(HoldSchedule{"h", "by hand"}).accepted && !schedule.held()); // a late duplicate
    assert(!schedule.apply(AddJobs{"x", "op", "", {"nobody"}, 0, 0}).accepted);
    assert(!schedule.apply(AddJobs{"x", "op", "", {"nobody"}, 0, 0})
                .accepted); // a rejected request is rejected again
}

void majority_of_voters_stays_in_service() {
    MaintenanceSchedule schedule = small_schedule();
    assert(schedule.apply(GrantLease{"n0", "n1", {0}, {}, 0}).accepted);
    const CommandResult second = schedule.apply(GrantLease{"n1", "n2", {0}, {}, 0});
    assert(!second.accepted && second.reason.find("majority") != std::string::npos);
}

void schedule_and_commands_survive_encoding() {
    MaintenanceSchedule schedule = small_schedule();
    assert(schedule.apply(GrantLease{"s0", "n1", {0}, {"s3"}, 77}).accepted);
    const auto read = MaintenanceSchedule::decode(schedule.encode());
    assert(read && read->encode() == schedule.encode() &&
           read->job("s0")->fence == schedule.job("s0")->fence);
    assert(!MaintenanceSchedule::decode("nonsense") &&
           !MaintenanceSchedule::decode(schedule.encode().substr(0, 40)));
    const Command commands[] = {GrantLease{"s1", "n2", {3}, {"a"}, 9},
                                AdvanceJob{"s1", {4}, JobState::kOut, "w", true},
                                ConfirmLease{"s1", "n2", {4}, 12}, AddJobs{"r", "o", "n", {"a", "b"}, 1, 2}};
    for (const Command& command : commands) {
        const auto again = decode(encode(command));
        assert(again && encode(*again) == encode(command));
    }
    assert(!decode("") && !decode(encode(commands[0]).substr(1)));
}

void machine_that_is_out_stays_in_the_fleet() {
    MaintenanceSchedule schedule = small_schedule();
    assert(schedule.apply(GrantLease{"s0", "n1", {0}, {}, 0}).accepted);
    UpdateFleet update_without_s0{schedule.limits(), {}, schedule.voters()};
    for (const auto& [name, facts] : schedule.fleet())
        if (name != "s0") update_without_s0.fleet.push_back(facts);
    assert(schedule.apply(update_without_s0).accepted && schedule.fleet().contains("s0"));
}

// ---- planning

void optimized_plan_is_close_to_the_optimum() {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        Pcg random(seed);
        MaintenanceSchedule schedule;
        UpdateFleet update{{1, 0.5, 0.67, 0.4, 0.34, 3}, {}, {}};
        for (int i = 0; i < 8; ++i)
            update.fleet.push_back({"s" + std::to_string(i),
                                    false,
                                    std::string(1, static_cast<char>('a' + i % 3)),
                                    {i % 2, 2 + i % 3},
                                    1,
                                    static_cast<Ticks>((1 + 9 * random.unit()) * kS)});
        schedule.apply(update);
        std::vector<PlannedJob> jobs;
        for (int i = 0; i < 6; ++i)
            jobs.push_back({"s" + std::to_string(i), update.fleet[i].duration, false, 0});
        const Constraints constraints(schedule.limits(), schedule.fleet(), schedule.voters());
        const Plan ours = plan_optimized(schedule, jobs, {}, seed),
                   first_come = plan_first_come_first_served(constraints, jobs, {});
        const auto best = plan_exhaustive(constraints, jobs, {}, 6);
        assert(best && ours.steps.size() == 6 && best->steps.size() == 6);
        assert(ours.duration <= first_come.duration && ours.duration >= best->duration);
        assert(static_cast<double>(ours.duration) <= 1.25 * static_cast<double>(best->duration));
        assert(duration_lower_bound(schedule, jobs) <= best->duration);
    }
}

void plan_lists_machines_that_can_never_go_out() {
    MaintenanceSchedule schedule = small_schedule();
    const Constraints constraints(schedule.limits(), schedule.fleet(), schedule.voters());
    const Plan plan =
        plan_in_order(constraints, pending_jobs(schedule, 0), {"s4", "s2"}); // one replica of shard 0 is left
    assert(plan.impossible.contains("s0") && plan.impossible.at("s0").find("shard 0") != std::string::npos);
    assert(std::ranges::any_of(plan.steps,
                               [](const PlanStep& step) { return step.reason.starts_with("waited"); }));
}

// ---- simulations

void all_jobs_finish_without_faults() {
    ReadyWorld world;
    world.add_jobs({"s0", "s1", "s2", "s3", "s4", "n0", "n3"});
    assert(world.all_jobs_end() && world.counts().jobs_done == 7 && world.rules_hold() &&
           world.time_below_min_replicas() == 0);
    assert(world.machines_out().empty());
}

void stalled_holder_loses_its_lease_to_another_node() {
    ReadyWorld world(five_voters());
    world.machine("s0").work_duration = 20 * kS;
    world.add_jobs({"s0"});
    assert(world.reaches("s0", JobState::kOut));
    const std::string first = world.holder("s0");
    const FencingToken fence = world.schedule().job("s0")->fence;
    world.stall(world.number(first), 15 * kS);
    assert(world.until([&] { return world.schedule().job("s0")->fence > fence; }, 14 * kS));
    assert(world.holder("s0") != first);
    assert(world.all_jobs_end() && world.rules_hold() && world.counts().jobs_done == 1);
}

void isolated_leader_grants_nothing() {
    ReadyWorld world(five_voters());
    const int old = world.leader();
    world.cut({old});
    world.add_maintenance_jobs(old, {"s1"}, "cut off");
    world.advance(2 * kS);
    assert(world.until([&] { return world.leader() >= 0 && world.leader() != old; }, 30 * kS));
    const int fresh = world.leader();
    world.add_jobs({"s0"}, fresh);
    assert(world.reaches("s0", JobState::kDone));
    assert(world.front(old).node->schedule().job("s0") == nullptr);
    world.advance(12 * kS);
    assert(world.operator_replies.contains("cut off") &&
           !world.operator_replies["cut off"].first); // and its operator gets an error
    world.heal();
    assert(world.until([&] { return world.front(old).node->schedule().job("s0") != nullptr; }, 20 * kS));
    assert(world.rules_hold());
}

void majority_side_of_a_partition_continues() {
    ReadyWorld world(five_voters());
    world.cut({0, 1});
    assert(world.until([&] { return world.leader() >= 2; }, 30 * kS));
    world.add_jobs({"s0", "s1", "s2"}, 3);
    assert(world.until([&] { return world.all_jobs_finished(); }, 200 * kS) && world.rules_hold());
}

void no_machine_goes_out_without_a_majority() {
    ReadyWorld world(five_voters());
    world.cut({0, 1}), world.cut({1, 2}), world.cut({3});
    world.add_maintenance_jobs(0, {"s0"}, "a"), world.add_maintenance_jobs(4, {"s1"}, "b");
    world.advance(60 * kS);
    assert(world.machines_out().empty() && world.counts().jobs_done == 0);
    world.heal();
    world.add_jobs({"s3"}, 2);
    assert(world.all_jobs_end() && world.rules_hold());
}

void jobs_finish_with_half_of_the_datagrams_lost() {
    ReadyWorld world(five_voters());
    int count = 0;
    world.drops = [&count](int from, int to) { return (from == 0 || to == 0) && ++count % 2 == 0; };
    world.add_jobs({"s0", "s1", "s2", "n3"}, 1);
    assert(world.all_jobs_end() && world.rules_hold());
}

void leader_that_cannot_send_is_replaced() {
    ReadyWorld world(five_voters());
    const int old = world.leader();
    world.add_jobs({"s0", "s1", "s2", "s3"});
    world.cut({old}, false); // it receives but cannot send
    assert(world.until([&] { return world.leader() >= 0 && world.leader() != old; }, 40 * kS));
    world.advance(10 * kS);
    world.heal();
    assert(world.all_jobs_end() && world.rules_hold());
}

void jobs_finish_after_a_restart_of_all_nodes() {
    ReadyWorld world;
    world.machine("s0").work_duration = 10 * kS;
    world.add_jobs({"s0", "s1", "s2"});
    assert(world.reaches("s0", JobState::kOut));
    for (int i = 0; i < 5; ++i) world.kill(i), world.front(i).failed = true;
    world.advance(kS);
    for (int i = 0; i < 5; ++i) world.front(i).failed = false, world.start(i);
    assert(world.until([&] { return world.schedule().job("s0") != nullptr; }, 60 * kS));
    assert(world.all_jobs_end() && world.rules_hold() && world.counts().jobs_done >= 3);
}

void hold_survives_a_restart_of_all_nodes() {
    ReadyWorld world;
    world.machine("s0").never_returns = true;
    world.add_jobs({"s0", "s1", "s2"});
    assert(world.until([&] { return world.schedule().held(); }, 120 * kS)); // the machine does not come back
    for (int i = 0; i < 5; ++i) world.kill(i), world.front(i).failed = true;
    for (int i = 0; i < 5; ++i) world.front(i).failed = false, world.start(i);
    assert(
        world.until([&] { return world.leader() >= 0 && world.schedule().job("s0") != nullptr; }, 60 * kS));
    assert(world.schedule().held() && world.schedule().hold_reason().find("s0") != std::string::npos);
    world.machine("s0").never_returns = false;
    world.send_operator_request(1, {{"request", "on"}, {"verb", "resume"}});
    assert(world.all_jobs_end() && world.rules_hold());
}

void node_with_a_lost_disk_votes_under_a_new_identity() {
    ReadyWorld world;
    world.add_jobs({"s0", "s1"});
    assert(world.all_jobs_end());
    world.kill(0);
    world.start(0, SimulatedMaintenance::Disk::kLost);
    const auto votes_again = [&] {
        const int leader_index = world.leader();
        return leader_index >= 0 && world.front(0).node->consensus() != nullptr &&
               world.front(0).node->consensus()->incarnation().identity != 0 &&
               world.front(leader_index).node->consensus()->voters().contains("n0") &&
               world.front(leader_index)
                   .node->consensus()
                   ->votes_as("n0", world.front(0).node->consensus()->incarnation());
    };
    assert(world.until(votes_again, 120 * kS));
    world.add_jobs({"s2", "s3"}, 0);
    assert(world.all_jobs_end() && world.rules_hold());
}

void node_with_a_restored_disk_is_detected() {
    ReadyWorld world;
    world.save_disk_copy(0);
    world.add_jobs({"s0", "s1"}); // its peers know more than its copy holds
    assert(world.all_jobs_end());
    world.kill(0);
    world.start(0, SimulatedMaintenance::Disk::kOld);
    assert(
        world.until([&] { return world.front(0).node->consensus()->incarnation().identity != 0; }, 60 * kS));
    world.add_jobs({"s2"}, 1);
    assert(world.all_jobs_end() && world.rules_hold());
}

void node_with_a_full_disk_does_not_participate() {
    ReadyWorld world;
    world.front(0).store->disk_full = true;
    world.add_jobs({"s0", "s1"}, 1);
    assert(world.all_jobs_end());
    const ConsensusNode& node = *world.front(0).node->consensus();
    assert(node.phase() == ConsensusPhase::kUnavailable ||
           node.schedule().applied_commands() < world.schedule().applied_commands());
    world.front(0).store->disk_full = false;
    assert(world.until(
        [&] { return node.schedule().applied_commands() == world.schedule().applied_commands(); }, 60 * kS));
    assert(world.rules_hold());
}

void node_without_a_store_receives_the_schedule() {
    SimulatedMaintenancePlan plan;
    plan.candidates = 3;
    ReadyWorld world(plan);
    world.add_jobs({"s0"}, 4); // not a voter, but it accepts requests
    assert(world.all_jobs_end());
    assert(world.front(4).node->consensus() == nullptr);
    assert(world.until(
        [&] {
            return world.front(4).node->schedule().job("s0") != nullptr &&
                   world.front(4).node->schedule().job("s0")->state == JobState::kDone;
        },
        20 * kS));
    const auto reply = world.front(4).node->answer_query({{"verb", "show"}});
    assert(reply["turns"].size() == 1 && reply["age_ms"].get<std::int64_t>() < 10'000);
}

void job_is_recalled_when_another_replica_fails() {
    ReadyWorld world;
    world.machine("s0").work_duration = 25 * kS;
    world.add_jobs({"s0", "s1", "s2", "s3"});
    assert(world.until([&] { return world.schedule().job("s0")->state == JobState::kOut; }, 120 * kS));
    std::string other; // holds the same shards as s0
    for (const auto& [name, machine] : world.machines())
        if (name != "s0" && machine.facts.shards == world.machine("s0").facts.shards) other = name;
    world.kill_machine(other);
    assert(world.until([&] { return world.schedule().job("s0")->recalled; }, 30 * kS));
    const std::size_t done = world.counts().jobs_done;
    assert(world.reaches("s0", JobState::kProposed, 120 * kS)); // rolled back, to be retried later
    assert(world.machine("s0").serves() && world.counts().jobs_done <= done + 3);
    world.revive_machine(other);
    world.machine("s0").work_duration = 2 * kS;
    assert(world.all_jobs_end() && world.rules_hold());
}

void job_is_withdrawn_while_draining() {
    ReadyWorld world;
    world.machine("s0").drain_duration = 15 * kS;
    world.add_jobs({"s0", "s1"});
    assert(world.reaches("s0", JobState::kDraining));
    world.send_operator_request(2, {{"request", "w"}, {"verb", "withdraw"}, {"machine", "s0"}});
    assert(world.reaches("s0", JobState::kGivenUp) &&
           world.machine("s0").state == SimulatedMachine::State::kServing);
    assert(world.all_jobs_end() && world.rules_hold() && world.counts().jobs_done == 1);
}

void requests_on_both_sides_of_a_partition() {
    ReadyWorld world(five_voters());
    world.cut({0, 1});
    world.advance(10 * kS);
    world.add_maintenance_jobs(0, {"s0", "s1"}, "minority"),
        world.add_maintenance_jobs(3, {"s1", "s2"}, "majority");
    assert(world.until(
        [&] {
            return world.operator_replies.contains("minority") && world.operator_replies.contains("majority");
        },
        40 * kS));
    assert(!world.operator_replies["minority"].first && world.operator_replies["majority"].first);
    world.heal();
    assert(world.all_jobs_end() && world.rules_hold() && world.schedule().job("s0") == nullptr);
}

void controllers_answer_twice_late_or_never() {
    for (int how = 0; how < 3; ++how) {
        ReadyWorld world;
        world.reply_delays = [how](const std::string& machine) -> std::vector<Ticks> {
            if (how == 0) return {10, 10, 300};
            if (how == 1) return {kS * 9 / 10}; // the timeout of an action is one second
            return machine == "s0" ? std::vector<Ticks>{} : std::vector<Ticks>{10};
        };
        world.add_jobs({"s0", "s1"});
        if (how == 2) {
            assert(world.until([&] { return world.schedule().held(); }, 100 * kS)); // waits for the operator
            world.reply_delays = {};
            world.send_operator_request(0, {{"request", "on"}, {"verb", "resume"}});
        }
        assert(world.all_jobs_end() && world.rules_hold());
    }
}

void unexpected_controller_answers_are_dropped() {
    Executor executor({"n0", {}, {}});
    MaintenanceSchedule schedule = small_schedule();
    assert(schedule.apply(GrantLease{"s0", "n0", {0}, {}, 0}).accepted);
    FleetObservation observed;
    ExecutorOutput output = executor.run(kS, schedule, observed);
    assert(output.actions.empty() && output.commands.size() == 1); // no action before the lease is confirmed
    assert(schedule.apply(output.commands[0]).accepted);
    output = executor.run(kS + 1, schedule, observed);
    assert(output.actions.size() == 1 && output.actions[0].action == MachineAction::kQueryState &&
           executor.holds_lease("s0", kS + 1));
    executor.on_status(kS + 2, output.actions[0].serial, "s1", MachineStatus::kDrained);
    executor.on_status(kS + 2, output.actions[0].serial + 7, "s0", MachineStatus::kDrained);
    assert(executor.counts().unmatched_replies == 2);
    executor.on_status(kS + 3, output.actions[0].serial, "s0", MachineStatus::kServing);
    executor.on_status(kS + 3, output.actions[0].serial, "s0", MachineStatus::kDrained); // duplicate
    assert(executor.counts().unmatched_replies == 3);
    output = executor.run(kS + 4 * kS, schedule, observed);
    assert(output.actions.size() == 1 && output.actions[0].action == MachineAction::kDrain);
    assert(executor.run(kS + 11 * kS, schedule, observed).actions.empty()); // its lease has expired
}

// A holder whose controller does not answer releases the lease and must not use it from then on.
void released_lease_is_not_used() {
    Executor executor({"n0", {}, {}});
    MaintenanceSchedule schedule = small_schedule();
    assert(schedule.apply(GrantLease{"s0", "n0", {0}, {}, 0}).accepted);
    FleetObservation observed;
    assert(schedule.apply(executor.run(kS, schedule, observed).commands[0]).accepted);
    bool given = false;
    for (Ticks now = 2 * kS; now < 200 * kS && !given; now += kS) {
        for (const Command& command : executor.run(now, schedule, observed).commands) {
            given = given || std::holds_alternative<ExpireLease>(command);
            if (!given) schedule.apply(command);
        }
        assert(!given || !executor.holds_lease("s0", now));
    }
    assert(given);
}

void machine_that_does_not_drain_is_rolled_back() {
    ReadyWorld world;
    world.machine("s0").never_drains = true;
    world.add_jobs({"s0", "s1"});
    assert(world.until([&] { return world.schedule().job("s0")->setbacks > 0; }, 100 * kS));
    assert(world.machine("s0").state == SimulatedMachine::State::kServing);
    assert(world.all_jobs_end(600 * kS) && world.rules_hold());
    assert(world.state("s0") == JobState::kGivenUp && world.state("s1") == JobState::kDone);
}

void machine_that_comes_back_broken_holds_the_schedule() {
    ReadyWorld world;
    world.machine("s0").returns_broken = true;
    world.add_jobs({"s0", "s3", "s4", "s5"});
    assert(world.until([&] { return world.schedule().held(); }, 100 * kS));
    assert(world.schedule().hold_reason().find("broken") != std::string::npos);
    const std::size_t done = world.counts().jobs_done;
    world.advance(20 * kS);
    assert(world.counts().jobs_done <= done + 1); // machines that are out come back, no further one goes out
    world.revive_machine("s0");
    world.send_operator_request(0, {{"request", "on"}, {"verb", "resume"}});
    assert(world.all_jobs_end() && world.rules_hold());
}

void leader_transfers_leadership_before_its_own_job() {
    ReadyWorld world;
    const std::string leader_index = "n" + std::to_string(world.leader());
    world.add_jobs({leader_index}, world.leader());
    assert(world.until([&] { return world.state(leader_index) == JobState::kGranted; }, 60 * kS));
    assert(world.leader() >= 0 && "n" + std::to_string(world.leader()) != leader_index);
    assert(world.all_jobs_end() && world.rules_hold());
}

void voter_gone_for_long_is_replaced() {
    ReadyWorld world;
    world.kill(1);
    world.front(1).failed = true;
    const auto replaced = [&] {
        const int leader_index = world.leader();
        if (leader_index < 0) return false;
        const auto voters = world.front(leader_index).node->consensus()->voters();
        return !voters.contains("n1") && voters.size() == 3;
    };
    assert(world.until(replaced, 120 * kS));
    world.add_jobs({"s0"}, world.leader());
    assert(world.all_jobs_end() && world.rules_hold());
}

// A fifth process has the name of the first one and a store of its own.
void two_nodes_with_one_name_do_no_harm() {
    FaultInjection fault_injection;
    fault_injection.settings = [](int front, MaintenanceNodeSettings& settings) {
        settings.name = front == 4 ? "n0" : settings.name;
    };
    SimulatedMaintenancePlan plan;
    plan.candidates = 4;
    ReadyWorld world(plan, fault_injection);
    world.add_jobs({"s0", "s1", "s2"}, 1);
    assert(world.all_jobs_end() && world.rules_hold());
}

void no_machine_goes_out_while_a_zone_is_lost() {
    ReadyWorld world;
    world.add_jobs({"s0", "s1"});
    assert(world.until([&] { return world.count(JobState::kDone) > 0; }, 100 * kS));
    for (const auto& [name, machine] : world.machines())
        if (machine.facts.zone == "b") world.kill_machine(name);
    world.add_maintenance_jobs(0, {"s0"}, "again");
    world.advance(20 * kS);
    assert(world.leader() >= 0);
    const auto reply_json = world.front(world.leader()).node->answer_query({{"verb", "show"}});
    assert(reply_json.value("waits_for", "").find("zone b is lost") != std::string::npos);
    assert(world.rules_hold());
}

void hold_lasts_until_resume() {
    ReadyWorld world;
    world.send_operator_request(0, {{"request", "h"}, {"verb", "hold"}, {"why", "the final is on"}});
    assert(world.until([&] { return world.schedule().held(); }, 20 * kS));
    world.add_jobs({"s0"});
    world.advance(20 * kS);
    assert(world.state("s0") == JobState::kProposed && world.machines_out().empty());
    world.send_operator_request(1, {{"request", "r"}, {"verb", "resume"}});
    assert(world.all_jobs_end() && world.rules_hold());
}

void clock_error_within_the_assumption_does_no_harm() {
    SimulatedMaintenancePlan plan = five_voters();
    plan.clock_error = 0.02, plan.loss_ratio = 0.05, plan.duplicate_ratio = 0.1;
    ReadyWorld world(plan);
    world.add_jobs({"s0", "s1", "s2", "s3", "s4"});
    for (int i = 0; i < 5; ++i) {
        world.advance(3 * kS);
        world.stall(i, 6 * kS);
    }
    assert(world.all_jobs_end() && world.rules_hold());
}

void jobs_finish_with_100_front_nodes() {
    SimulatedMaintenancePlan plan;
    plan.fronts = 100, plan.candidates = 7, plan.voter_count = 5, plan.servers = 60, plan.shards = 20,
    plan.zones = 4;
    plan.heartbeat = kS;
    plan.limits.fleet_share = 0.1;
    SimulatedMaintenance world(plan);
    assert(
        world.until([&] { return world.leader() >= 0 && world.schedule().fleet().size() > 100; }, 60 * kS));
    world.add_maintenance_jobs(80, {"s0", "s1", "s2", "s3", "n50"}, "one");
    assert(world.until([&] { return world.all_jobs_finished(); }, 120 * kS) && world.violations().empty());
}

// ---- fault schedules that have failed before

void follower_acknowledges_only_matching_entries() { // see ConsensusNode::Raft::limit_acknowledged
    assert(lab::run_fault_schedule(lab::generate_fault_schedule(920)).violations.empty());
}
void old_store_is_not_marked_verified() {
    assert(lab::run_fault_schedule(lab::generate_fault_schedule(624)).violations.empty());
}
void leadership_transfer_to_a_silent_node_ends() {
    assert(lab::run_fault_schedule(lab::generate_fault_schedule(537)).violations.empty());
}
void new_leader_does_not_shrink_the_fleet() {
    assert(lab::run_fault_schedule(lab::generate_fault_schedule(990)).violations.empty());
}
void random_fault_schedules() {
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
        assert(lab::run_fault_schedule(lab::generate_fault_schedule(seed)).violations.empty());
}

// ---- planted faults, which the checker must find

bool fault_is_found(const FaultInjection& fault_injection, std::uint64_t from = 1,
                    std::uint64_t max_seeds = 400) {
    for (std::uint64_t seed = from; seed < from + max_seeds; ++seed)
        if (!lab::run_fault_schedule(lab::generate_fault_schedule(seed), fault_injection).violations.empty())
            return std::printf("found by schedule %llu\n", static_cast<unsigned long long>(seed)), true;
    return false;
}

struct FaultyStore : InMemoryRaftStore {
    bool drop_term = false, drop_vote = false, drop_last_entry = false, drop_incarnations = false,
         always_verified = false;
    void set_term(std::uint64_t value) override {
        if (!drop_term) InMemoryRaftStore::set_term(value);
    }
    void set_vote(std::uint64_t value) override {
        if (!drop_vote) InMemoryRaftStore::set_vote(value);
    }
    void append(std::uint64_t first, const std::vector<LogEntry>& added) override {
        InMemoryRaftStore::append(first, added);
        if (drop_last_entry && added.size() > 1) InMemoryRaftStore::truncate(first + added.size() - 1);
    }
    void record_incarnation(const std::string& name, VoterIncarnation incarnation) override {
        if (!drop_incarnations) InMemoryRaftStore::record_incarnation(name, incarnation);
    }
    bool is_verified() const override { return always_verified || InMemoryRaftStore::is_verified(); }
};
template <class Set> FaultInjection with_store_fault(Set set) {
    FaultInjection fault_injection;
    fault_injection.store = [set] {
        auto store = std::make_shared<FaultyStore>();
        set(*store);
        return store;
    };
    return fault_injection;
}
template <class Set> FaultInjection with_settings(Set set) {
    FaultInjection fault_injection;
    fault_injection.settings = [set](int front, MaintenanceNodeSettings& settings) { set(front, settings); };
    return fault_injection;
}

void planted_term_is_not_stored() {
    assert(fault_is_found(with_store_fault([](FaultyStore& store) { store.drop_term = true; }), 9));
}
// Three voters without a network, so that a crash can be placed between two votes of one term.
struct ThreeVoters {
    ThreeVoters(std::uint64_t first, bool keeps_votes) : seed(first) {
        for (std::size_t i = 0; i < 3; ++i) {
            stores[i].drop_vote = !keeps_votes,
            stores[i].always_verified = true; // no store check after a crash
            start(i);
        }
    }
    void start(std::size_t i) {
        ConsensusSettings settings;
        settings.name = names[i], settings.candidates = names, settings.heartbeat = kS / 10,
        settings.seed = 3 * seed + i;
        nodes[i] = std::make_unique<ConsensusNode>(settings, stores[i], now);
    }
    struct HeldMessage {
        std::size_t from, to;
        std::string bytes;
    };
    // Delivers all messages, except those held back, until no more are sent.
    void deliver() {
        for (bool moved = true; moved;) {
            moved = false;
            for (std::size_t i = 0; i < 3; ++i)
                for (const ConsensusMessage& message : nodes[i]->take_messages()) {
                    const auto to = static_cast<std::size_t>(message.to[1] - '0');
                    if (!open[i][to] || (votes_only && !may_pass(i, message.bytes))) continue;
                    moved = true;
                    if (is_real_vote_request(message.bytes) && i == held_sender)
                        held_messages.push_back({i, to, message.bytes});
                    else
                        nodes[to]->receive(now, names[i], message.bytes);
                }
        }
    }
    static bool is_vote_request(const std::string& bytes) { // vote or pre-vote
        return nlohmann::json::from_cbor(bytes)[0] == nlohmann::json(kVoteRequest);
    }
    // n1 must neither stand for election nor receive entries from a leader before it crashes.
    static bool may_pass(std::size_t from, const std::string& bytes) {
        return from == 1 ? !is_vote_request(bytes)
                         : nlohmann::json::from_cbor(bytes)[0] != nlohmann::json(kEntries);
    }
    static bool is_real_vote_request(const std::string& bytes) {
        return is_vote_request(bytes) && nlohmann::json::from_cbor(bytes)[7] == false;
    }
    bool until(const std::function<bool()>& holds) {
        for (const Ticks end = now + 30 * kS; now < end && !holds(); now += kS / 100) {
            for (auto& node : nodes) node->step(now);
            deliver();
        }
        return holds();
    }
    static constexpr int kEntries = 1, kVoteRequest = 3; // message types of libraft
    std::uint64_t seed;
    std::vector<std::string> names{"n0", "n1", "n2"};
    std::array<FaultyStore, 3> stores;
    std::array<std::unique_ptr<ConsensusNode>, 3> nodes;
    std::array<std::array<bool, 3>, 3> open{{{true, true, true}, {true, true, true}, {true, true, true}}};
    std::size_t held_sender = 3; // none
    bool votes_only = false;
    std::vector<HeldMessage> held_messages;
    Ticks now = 100 * kS;
};

// n2's vote request to n1 is delayed; n0 gets that vote and leads; n1 crashes, and then the request arrives.
// Returns the number of leaders in that term, or 0 if the random timeouts led to another course.
std::size_t count_leaders_of_one_term(std::uint64_t seed, bool keeps_votes) {
    ThreeVoters voters(seed, keeps_votes);
    const auto leads = [&](std::size_t i) { return voters.nodes[i]->is_leader(); };
    assert(voters.until([&] { return leads(0) || leads(1) || leads(2); }));
    for (auto& row : voters.open) row = {};
    assert(voters.until([&] { return !leads(0) && !leads(1) && !leads(2); })); // all isolated
    voters.open[1][2] = voters.open[2][1] = voters.votes_only = true, voters.held_sender = 2;
    if (!voters.until([&] { return !voters.held_messages.empty() || leads(1); }) || leads(1)) return 0;
    const ThreeVoters::HeldMessage late = voters.held_messages.front();
    const std::uint64_t term = voters.nodes[2]->term();
    voters.open[1][2] = voters.open[2][1] = false;
    voters.open[0][1] = voters.open[1][0] = true;
    if (!voters.until([&] { return leads(0) || leads(1); }) || !leads(0)) return 0;
    if (voters.nodes[0]->term() != term || voters.nodes[2]->term() != term) return 0;
    voters.start(1);
    voters.nodes[1]->step(voters.now);
    voters.nodes[1]->receive(voters.now, "n2", late.bytes);
    for (const ConsensusMessage& message : voters.nodes[1]->take_messages())
        if (message.to == "n2") voters.nodes[2]->receive(voters.now, "n1", message.bytes);
    return (leads(0) ? 1U : 0U) + (leads(2) && voters.nodes[2]->term() == term ? 1U : 0U);
}

void planted_vote_is_not_stored() {
    int doubled = 0, single = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        doubled += count_leaders_of_one_term(seed, false) == 2 ? 1 : 0;
        const std::size_t leaders = count_leaders_of_one_term(seed, true);
        assert(leaders < 2);
        single += static_cast<int>(leaders);
    }
    assert(doubled > 0 && single > 0);
}

void planted_entry_is_not_stored() {
    assert(fault_is_found(with_store_fault([](FaultyStore& store) { store.drop_last_entry = true; })));
}
void planted_store_is_always_verified() {
    assert(fault_is_found(with_store_fault([](FaultyStore& store) { store.always_verified = true; }), 285));
}
void planted_min_replicas_too_low() {
    assert(fault_is_found(with_settings([](int, MaintenanceNodeSettings& settings) {
        settings.limits.min_replicas = 1, settings.limits.shard_share = 1;
    })));
}
void planted_majority_goes_out() {
    assert(fault_is_found(with_settings([](int front, MaintenanceNodeSettings& settings) {
        settings.limits.front_share = 1;
        if (front < 3)
            settings.candidates.resize(1), settings.voter_count = 1; // each is configured as the only voter
    })));
}
void planted_two_consensus_groups() {
    assert(fault_is_found(with_settings([](int front, MaintenanceNodeSettings& settings) {
        if (front == 0) settings.candidates.resize(1), settings.voter_count = 1;
    })));
}
void planted_leases_outlast_the_expiry_wait() {
    assert(fault_is_found(
        with_settings([](int, MaintenanceNodeSettings& settings) { settings.timing.clock_error = -0.4; })));
}
void planted_holder_counts_its_lease_too_long() {
    assert(fault_is_found(with_settings([](int front, MaintenanceNodeSettings& settings) {
                              settings.timing.lease *= front == 1 ? 4 : 1;
                          }),
                          19));
}
void planted_controllers_accept_old_tokens() {
    FaultInjection fault_injection;
    fault_injection.machines_ignore_fencing = true;
    bool old_token_accepted = false; // a delayed action arrives after one of a later holder
    SimulatedMachine machine;
    machine.checks_fence = false;
    machine.execute(1, MachineAction::kDrain, {7});
    old_token_accepted = machine.execute(2, MachineAction::kBringBack, {3}) != MachineStatus::kRefused;
    SimulatedMachine careful;
    careful.execute(1, MachineAction::kDrain, {7});
    assert(old_token_accepted &&
           careful.execute(2, MachineAction::kBringBack, {3}) == MachineStatus::kRefused &&
           careful.state != SimulatedMachine::State::kServing);
}
void planted_node_without_limits() { // one node is configured without limits
    FaultInjection fault_injection = with_settings([](int front, MaintenanceNodeSettings& settings) {
        if (front == 0)
            settings.limits.min_replicas = 0, settings.limits.shard_share = 1,
            settings.limits.fleet_share = 1, settings.limits.zone_share = 1;
    });
    assert(fault_is_found(fault_injection));
}

// ---- fragments

void lost_fragments_are_requested_again() {
    membership::DatagramCodec datagram_codec("the secret of a story, thirty-two bytes or more");
    FragmentTransport a("a", "10.0.0.1:1", datagram_codec, 1), b("b", "10.0.0.2:1", datagram_codec, 1);
    std::string large(50'000, 'x');
    for (std::size_t i = 0; i < large.size(); ++i) large[i] = static_cast<char>(i * 7);
    assert(a.send(kS, "10.0.0.2:1", MessageKind::kConsensus, large));
    Pcg random(3);
    std::optional<PeerMessage> received;
    for (Ticks now = kS; now < 4 * kS && !received; now += kS / 20) {
        for (const OutboundDatagram& datagram : a.take_datagrams())
            if (random.unit() > 0.3)
                if (auto message = b.receive(now, datagram.bytes)) received = message;
        b.step(now);
        for (const OutboundDatagram& datagram : b.take_datagrams())
            if (random.unit() > 0.3) a.receive(now, datagram.bytes);
    }
    assert(received && received->bytes == large && received->from == "a" && b.counts().resend_requests > 0 &&
           b.incomplete() == 0);
    assert(!a.send(kS, "x", MessageKind::kConsensus, std::string(1'000'000, 'x')));
}

void memory_for_fragments_is_bounded() {
    membership::DatagramCodec datagram_codec("the secret of a story, thirty-two bytes or more");
    FragmentTransport a("a", "10.0.0.1:1", datagram_codec, 1), b("b", "10.0.0.2:1", datagram_codec, 1);
    for (int i = 0; i < 500; ++i) {
        a.send(kS, "10.0.0.2:1", MessageKind::kConsensus, std::string(3'000, 'x'));
        b.receive(kS, a.take_datagrams().front().bytes); // only the first fragment of each
    }
    assert(b.incomplete() <= FragmentTransport::kMaxIncomplete);
    b.step(10 * kS);
    assert(b.incomplete() == 0);
    assert(!b.receive(kS, "unsigned bytes") && datagram_codec.counts().unauthenticated == 1);
}

void flood_is_dropped_unread() {
    MaintenanceNodeSettings settings;
    settings.name = "n0", settings.address = "10.0.0.1:7",
    settings.secret = "the secret of a story, thirty-two bytes or more";
    MaintenanceNode node(settings, nullptr, kS, kS);
    for (int i = 0; i < 50'000; ++i) node.receive(kS + i / 100, "10.0.0.9:1", "\x88nothing that is signed");
    assert(node.counts().rate_limited > 40'000 && node.codec_counts().unauthenticated < 10'000);
    assert(node.take_effects().empty());
}

// ---- stores on disk

struct TemporaryFolder {
    TemporaryFolder() {
        std::string form = (std::filesystem::temp_directory_path() / "ivyrill-raft-store-XXXXXX").string();
        assert(mkdtemp(form.data()) != nullptr);
        path = form;
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
    std::string path;
};

void store_returns_what_was_written() {
    const TemporaryFolder folder;
    {
        raft_storage::SqliteRaftStore store(folder.path + "/l.db");
        store.set_term(3), store.set_vote(7), store.set_incarnation({2, 99, 0}),
            store.record_incarnation("n1", {4, 5, 6});
        store.append(1, {{3, 1, "one"}, {3, 1, "two"}, {3, 1, std::string("\0b", 2)}});
        store.truncate(3), store.append(3, {{4, 1, "three"}, {4, 1, "four"}});
        store.set_voters({"n0", "n2"});
        store.put_snapshot({2, 3, 1, "voters", "state"}, 1);
        bool second = false; // two processes must not use one store
        try {
            raft_storage::SqliteRaftStore other(folder.path + "/l.db");
        } catch (const RaftStoreError&) { second = true; }
        assert(second);
    }
    raft_storage::SqliteRaftStore store(folder.path + "/l.db");
    const StoredState stored = store.load();
    assert(stored.term == 3 && stored.vote == 7 && stored.first == 2 && stored.entries.size() == 3);
    assert(stored.entries[0].bytes == "two" && stored.entries[2].bytes == "four" &&
           stored.snapshot->state == "state");
    assert((store.incarnation() == VoterIncarnation{2, 99, 0}) &&
           (store.known_incarnations()["n1"] == VoterIncarnation{4, 5, 6}));
    assert(store.voters() == std::vector<std::string>({"n0", "n2"}));
}

void store_is_consistent_after_its_writer_dies() {
    const TemporaryFolder folder;
    for (int round = 0; round < 5; ++round) {
        int pipe_ends[2];
        assert(pipe(pipe_ends) == 0);
        const pid_t writer = fork();
        if (writer == 0) {
            raft_storage::SqliteRaftStore store(folder.path + "/l.db");
            std::uint64_t next = store.load().entries.size() + 1;
            for (;; ++next) {
                store.append(next, {{next, 1, std::string(2000, 'x')}});
                if (write(pipe_ends[1], &next, sizeof next) < 0) _exit(1);
            }
        }
        std::uint64_t reply = 0;
        for (int i = 0; i < 10 + round; ++i) assert(read(pipe_ends[0], &reply, sizeof reply) == sizeof reply);
        kill(writer, SIGKILL);
        waitpid(writer, nullptr, 0);
        close(pipe_ends[1]);
        while (read(pipe_ends[0], &reply, sizeof reply) == sizeof reply) {}
        close(pipe_ends[0]);
        raft_storage::SqliteRaftStore store(folder.path + "/l.db");
        const StoredState stored = store.load();
        assert(stored.entries.size() >= reply &&
               stored.entries.size() <= reply + 1); // all acknowledged entries are there
        for (std::size_t i = 0; i < stored.entries.size(); ++i) assert(stored.entries[i].term == i + 1);
    }
}

void full_store_throws_and_stays_consistent() {
    const TemporaryFolder folder;
    std::size_t written = 0;
    {
        raft_storage::SqliteRaftStore store(folder.path + "/l.db", {}, 40);
        try {
            for (;; ++written) store.append(written + 1, {{1, 1, std::string(3000, 'x')}});
        } catch (const RaftStoreError&) {}
        assert(written > 5 && store.load().entries.size() == written);
    }
    raft_storage::SqliteRaftStore store(folder.path + "/l.db");
    store.append(written + 1, {{1, 1, "room again"}});
    assert(store.load().entries.size() == written + 1);
}

void witness_detects_a_restored_copy() {
    const TemporaryFolder folder;
    const std::string file = folder.path + "/l.db", witness = folder.path + "/witness";
    { // a new store is unverified until it is marked
        raft_storage::SqliteRaftStore store(file, witness);
        assert(!store.is_verified());
        store.set_term(1), store.mark_verified(), store.set_term(2);
    }
    std::filesystem::copy_file(file, folder.path + "/copy");
    {
        raft_storage::SqliteRaftStore store(file, witness);
        assert(store.is_verified());
        store.set_term(3);
    }
    std::filesystem::copy_file(folder.path + "/copy", file,
                               std::filesystem::copy_options::overwrite_existing);
    {
        raft_storage::SqliteRaftStore store(file, witness);
        assert(!store.is_verified());
        store.set_term(4); // its own writes do not make it verified
    }
    raft_storage::SqliteRaftStore store(file, witness);
    assert(!store.is_verified());
}

void corrupt_store_is_rejected() {
    const TemporaryFolder folder;
    { raft_storage::SqliteRaftStore store(folder.path + "/l.db"); }
    {
        std::FILE* file = std::fopen((folder.path + "/l.db").c_str(), "r+");
        std::fseek(file, 0, SEEK_SET);
        std::fputs("not a database at all", file);
        std::fclose(file);
    }
    bool refused = false;
    try {
        raft_storage::SqliteRaftStore store(folder.path + "/l.db");
    } catch (const RaftStoreError&) { refused = true; }
    assert(refused);
}

void chart_is_rendered_from_a_log() {
    std::istringstream log(
        "x info turn machine=\"s<0\" state=\"draining\" holder=\"n1\" fence=\"1\" at_ms=\"1000\" why=\"\"\n"
        "nothing of ours\n"
        "x info turn machine=\"s<0\" state=\"out\" holder=\"n1\" fence=\"1\" at_ms=\"2000\" why=\"\"\n"
        "x info turn machine=\"s<0\" state=\"done\" holder=\"-\" fence=\"1\" at_ms=\"4000\" why=\"\"\n");
    const std::string svg = render_chart(log);
    assert(svg.starts_with("<svg") && svg.find("s&lt;0 out by n1") != std::string::npos);
    assert(svg.find("3 s</text>") != std::string::npos);
}

const Test kTests[] = {
    TEST(min_replicas_holds_for_every_granting_node),
    TEST(second_grant_with_an_old_token_is_rejected),
    TEST(duplicate_request_is_applied_once),
    TEST(majority_of_voters_stays_in_service),
    TEST(schedule_and_commands_survive_encoding),
    TEST(machine_that_is_out_stays_in_the_fleet),
    TEST(optimized_plan_is_close_to_the_optimum),
    TEST(plan_lists_machines_that_can_never_go_out),
    TEST(all_jobs_finish_without_faults),
    TEST(stalled_holder_loses_its_lease_to_another_node),
    TEST(isolated_leader_grants_nothing),
    TEST(majority_side_of_a_partition_continues),
    TEST(no_machine_goes_out_without_a_majority),
    TEST(jobs_finish_with_half_of_the_datagrams_lost),
    TEST(leader_that_cannot_send_is_replaced),
    TEST(jobs_finish_after_a_restart_of_all_nodes),
    TEST(hold_survives_a_restart_of_all_nodes),
    TEST(node_with_a_lost_disk_votes_under_a_new_identity),
    TEST(node_with_a_restored_disk_is_detected),
    TEST(node_with_a_full_disk_does_not_participate),
    TEST(node_without_a_store_receives_the_schedule),
    TEST(job_is_recalled_when_another_replica_fails),
    TEST(job_is_withdrawn_while_draining),
    TEST(requests_on_both_sides_of_a_partition),
    TEST(controllers_answer_twice_late_or_never),
    TEST(unexpected_controller_answers_are_dropped),
    TEST(released_lease_is_not_used),
    TEST(machine_that_does_not_drain_is_rolled_back),
    TEST(machine_that_comes_back_broken_holds_the_schedule),
    TEST(leader_transfers_leadership_before_its_own_job),
    TEST(voter_gone_for_long_is_replaced),
    TEST(two_nodes_with_one_name_do_no_harm),
    TEST(no_machine_goes_out_while_a_zone_is_lost),
    TEST(hold_lasts_until_resume),
    TEST(clock_error_within_the_assumption_does_no_harm),
    TEST(jobs_finish_with_100_front_nodes),
    TEST(follower_acknowledges_only_matching_entries),
    TEST(old_store_is_not_marked_verified),
    TEST(leadership_transfer_to_a_silent_node_ends),
    TEST(new_leader_does_not_shrink_the_fleet),
    TEST(random_fault_schedules),
    TEST(planted_term_is_not_stored),
    TEST(planted_vote_is_not_stored),
    TEST(planted_entry_is_not_stored),
    TEST(planted_store_is_always_verified),
    TEST(planted_min_replicas_too_low),
    TEST(planted_majority_goes_out),
    TEST(planted_two_consensus_groups),
    TEST(planted_leases_outlast_the_expiry_wait),
    TEST(planted_holder_counts_its_lease_too_long),
    TEST(planted_controllers_accept_old_tokens),
    TEST(planted_node_without_limits),
    TEST(lost_fragments_are_requested_again),
    TEST(memory_for_fragments_is_bounded),
    TEST(flood_is_dropped_unread),
    TEST(store_returns_what_was_written),
    TEST(store_is_consistent_after_its_writer_dies),
    TEST(full_store_throws_and_stays_consistent),
    TEST(witness_detects_a_restored_copy),
    TEST(corrupt_store_is_rejected),
    TEST(chart_is_rendered_from_a_log),
};

} // namespace

} // namespace ivyrill::maintenance

int main(int count, char** arguments) {
    return ivyrill::run_test(ivyrill::maintenance::kTests, count, arguments);
}
