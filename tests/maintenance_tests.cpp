// Machines taken out for work, in virtual time: front nodes' wardens round their machines, with faults
// between them. `rota_tests NAME`.
#include "fake_host.hpp"
#include "lab/evening_world.hpp"
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

using lab::EveningWorld;
using lab::HallMachine;
using lab::Planted;
using lab::WorldPlan;

constexpr Tenths kS = kTenthsPerSecond;

WorldPlan five_of_five() {
    WorldPlan plan;
    plan.council = 5;
    return plan;
}

// A world whose council has begun and knows the fleet.
struct Begun : EveningWorld {
    explicit Begun(const WorldPlan& plan = {}, Planted planted = {})
        : EveningWorld(plan, std::move(planted)) {
        assert(until([&] { return leader() >= 0 && !evening().fleet().empty(); }, 30 * kS));
    }
    void ordered(const std::vector<std::string>& machines, int at = 0) {
        order(at, machines, "order" + std::to_string(machines.size()) + machines[0]);
        assert(until([&] { return evening().job(machines.back()) != nullptr; }, 20 * kS));
    }
    JobState state(const std::string& machine) const { return evening().job(machine)->state; }
    bool comes_to(const std::string& machine, JobState wanted, Tenths bound = 60 * kS) {
        return until([&] { return state(machine) == wanted; }, bound);
    }
    bool ends(Tenths bound = 300 * kS) {
        return until([&] { return all_over(); }, bound);
    }
    int number(const std::string& name) const { return std::stoi(name.substr(1)); }
    const std::string& holder(const std::string& machine) const { return evening().job(machine)->holder; }
    bool kept() const {
        for (const std::string& what : broken()) std::printf("%s\n", what.c_str());
        return broken().empty();
    }
};

// ---- what is agreed on

MaintenanceSchedule small_schedule(int servers = 6, int fronts = 5) {
    MaintenanceSchedule schedule;
    UpdateFleet survey{{2, 1, 0.5, 0.5, 0.4, 3}, {}, {"n0", "n1", "n2"}};
    for (int i = 0; i < servers; ++i)
        survey.fleet.push_back(
            {"s" + std::to_string(i), false, i < servers / 2 ? "a" : "b", {i % 2}, 1, 10 * kS});
    for (int i = 0; i < fronts; ++i)
        survey.fleet.push_back({"n" + std::to_string(i), true, "", {}, 1, 10 * kS});
    assert(schedule.apply(survey).accepted);
    assert(schedule.apply(AddJobs{"r1", "op", "", {"s0", "s1", "s2", "s4", "n0", "n1"}, 0, 0}).accepted);
    return schedule;
}

void floor_is_kept_whoever_grants() {
    MaintenanceSchedule schedule = small_schedule();
    assert(schedule.apply(GrantLease{"s0", "n1", {0}, {}, 0}).accepted);
    const CommandResult second =
        schedule.apply(GrantLease{"s2", "n2", {0}, {}, 0}); // holds the same shard, two must stay
    assert(!second.accepted && second.reason.find("shard 0") != std::string::npos);
    const CommandResult down =
        schedule.apply(GrantLease{"s1", "n2", {0}, {"s3", "s5"}, 0}); // others are down by themselves
    assert(!down.accepted && schedule.machines_out() == std::set<std::string>{"s0"});
}

void a_grant_that_came_second_is_void() {
    MaintenanceSchedule schedule = small_schedule();
    assert(schedule.apply(GrantLease{"s0", "n1", {0}, {}, 0}).accepted);
    assert(!schedule.apply(GrantLease{"s0", "n2", {0}, {}, 0}).accepted); // by a leader that knew no better
    const FencingToken first = schedule.job("s0")->fence;
    assert(schedule.apply(ExpireLease{"s0", first}).accepted &&
           schedule.apply(GrantLease{"s0", "n2", first, {}, 0}).accepted);
    assert(schedule.job("s0")->fence > first);
    assert(!schedule.apply(ConfirmLease{"s0", "n1", first, 5}).accepted); // the old holder's word
    assert(!schedule.apply(AdvanceJob{"s0", first, JobState::kDraining, "", false}).accepted);
    assert(schedule.apply(ConfirmLease{"s0", "n2", schedule.job("s0")->fence, 7}).accepted);
}

void a_request_heard_twice_is_done_once() {
    MaintenanceSchedule schedule = small_schedule();
    assert(schedule.apply(HoldSchedule{"h", "by hand"}).accepted &&
           schedule.apply(ResumeSchedule{"r"}).accepted);
    assert(schedule.apply(HoldSchedule{"h", "by hand"}).accepted && !schedule.held()); // its copy came late
    assert(!schedule.apply(AddJobs{"x", "op", "", {"nobody"}, 0, 0}).accepted);
    assert(!schedule.apply(AddJobs{"x", "op", "", {"nobody"}, 0, 0})
                .accepted); // what was refused is refused again
}

void council_keeps_its_majority() {
    MaintenanceSchedule schedule = small_schedule();
    assert(schedule.apply(GrantLease{"n0", "n1", {0}, {}, 0}).accepted);
    const CommandResult second = schedule.apply(GrantLease{"n1", "n2", {0}, {}, 0});
    assert(!second.accepted && second.reason.find("majority") != std::string::npos);
}

void what_is_agreed_outlives_its_bytes() {
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

void a_machine_that_is_out_stays_one_in_any_survey() {
    MaintenanceSchedule schedule = small_schedule();
    assert(schedule.apply(GrantLease{"s0", "n1", {0}, {}, 0}).accepted);
    UpdateFleet without{schedule.limits(), {}, schedule.voters()};
    for (const auto& [name, facts] : schedule.fleet())
        if (name != "s0") without.fleet.push_back(facts);
    assert(schedule.apply(without).accepted && schedule.fleet().contains("s0"));
}

// ---- the order

void most_constrained_go_first_and_no_order_is_much_shorter() {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        Pcg chance(seed);
        MaintenanceSchedule schedule;
        UpdateFleet survey{{1, 0.5, 0.67, 0.4, 0.34, 3}, {}, {}};
        for (int i = 0; i < 8; ++i)
            survey.fleet.push_back({"s" + std::to_string(i),
                                    false,
                                    std::string(1, static_cast<char>('a' + i % 3)),
                                    {i % 2, 2 + i % 3},
                                    1,
                                    static_cast<Tenths>((1 + 9 * chance.unit()) * kS)});
        schedule.apply(survey);
        std::vector<PlannedJob> jobs;
        for (int i = 0; i < 6; ++i)
            jobs.push_back({"s" + std::to_string(i), survey.fleet[i].duration, false, 0});
        const Constraints constraints(schedule.limits(), schedule.fleet(), schedule.voters());
        const Plan ours = plan_optimized(schedule, jobs, {}, seed),
                   come = plan_first_come_first_served(constraints, jobs, {});
        const auto best = plan_exhaustive(constraints, jobs, {}, 6);
        assert(best && ours.steps.size() == 6 && best->steps.size() == 6);
        assert(ours.duration <= come.duration && ours.duration >= best->duration);
        assert(static_cast<double>(ours.duration) <= 1.25 * static_cast<double>(best->duration));
        assert(duration_lower_bound(schedule, jobs) <= best->duration);
    }
}

void a_plan_says_what_can_never_go() {
    MaintenanceSchedule schedule = small_schedule();
    const Constraints constraints(schedule.limits(), schedule.fleet(), schedule.voters());
    const Plan plan =
        plan_in_order(constraints, pending_jobs(schedule, 0), {"s4", "s2"}); // shard 0 has one left
    assert(plan.impossible.contains("s0") && plan.impossible.at("s0").find("shard 0") != std::string::npos);
    assert(std::ranges::any_of(plan.steps,
                               [](const PlanStep& step) { return step.reason.starts_with("waited"); }));
}

// ---- evenings

void an_evening_goes_by_itself() {
    Begun world;
    world.ordered({"s0", "s1", "s2", "s3", "s4", "n0", "n3"});
    assert(world.ends() && world.counts().turns_done == 7 && world.kept() && world.under_floor() == 0);
    assert(world.machines_out().empty());
}

void a_holder_that_stalls_past_its_grant_wakes_to_another_holder() {
    Begun world(five_of_five());
    world.machine("s0").works_for = 20 * kS;
    world.ordered({"s0"});
    assert(world.comes_to("s0", JobState::kOut));
    const std::string first = world.holder("s0");
    const FencingToken fence = world.evening().job("s0")->fence;
    world.stall(world.number(first), 15 * kS);
    assert(world.until([&] { return world.evening().job("s0")->fence > fence; }, 14 * kS));
    assert(world.holder("s0") != first);
    assert(world.ends() && world.kept() && world.counts().turns_done == 1);
}

void a_leader_cut_off_gives_nothing_out() {
    Begun world(five_of_five());
    const int old = world.leader();
    world.cut({old});
    world.order(old, {"s1"}, "cut off");
    world.pass(2 * kS);
    assert(world.until([&] { return world.leader() >= 0 && world.leader() != old; }, 30 * kS));
    const int fresh = world.leader();
    world.ordered({"s0"}, fresh);
    assert(world.comes_to("s0", JobState::kDone));
    assert(world.front(old).warden->schedule().job("s0") == nullptr);
    world.pass(12 * kS);
    assert(world.answers.contains("cut off") && !world.answers["cut off"].first); // and its operator hears so
    world.heal();
    assert(world.until([&] { return world.front(old).warden->schedule().job("s0") != nullptr; }, 20 * kS));
    assert(world.kept());
}

void five_cut_into_two_and_three() {
    Begun world(five_of_five());
    world.cut({0, 1});
    assert(world.until([&] { return world.leader() >= 2; }, 30 * kS));
    world.ordered({"s0", "s1", "s2"}, 3);
    assert(world.until([&] { return world.all_over(); }, 200 * kS) && world.kept());
}

void without_a_majority_nobody_goes_out() {
    Begun world(five_of_five());
    world.cut({0, 1}), world.cut({1, 2}), world.cut({3});
    world.order(0, {"s0"}, "a"), world.order(4, {"s1"}, "b");
    world.pass(60 * kS);
    assert(world.machines_out().empty() && world.counts().turns_done == 0);
    world.heal();
    world.ordered({"s3"}, 2);
    assert(world.ends() && world.kept());
}

void every_second_datagram_of_a_link_is_lost() {
    Begun world(five_of_five());
    int nth = 0;
    world.drops = [&nth](int from, int to) { return (from == 0 || to == 0) && ++nth % 2 == 0; };
    world.ordered({"s0", "s1", "s2", "n3"}, 1);
    assert(world.ends() && world.kept());
}

void one_way_silence_of_the_leader() {
    Begun world(five_of_five());
    const int old = world.leader();
    world.ordered({"s0", "s1", "s2", "s3"});
    world.cut({old}, false); // it hears, and is not heard
    assert(world.until([&] { return world.leader() >= 0 && world.leader() != old; }, 40 * kS));
    world.pass(10 * kS);
    world.heal();
    assert(world.ends() && world.kept());
}

void all_restarted_in_the_middle_of_a_turn() {
    Begun world;
    world.machine("s0").works_for = 10 * kS;
    world.ordered({"s0", "s1", "s2"});
    assert(world.comes_to("s0", JobState::kOut));
    for (int i = 0; i < 5; ++i) world.kill(i), world.front(i).failed = true;
    world.pass(kS);
    for (int i = 0; i < 5; ++i) world.front(i).failed = false, world.start(i);
    assert(world.until([&] { return world.evening().job("s0") != nullptr; }, 60 * kS));
    assert(world.ends() && world.kept() && world.counts().turns_done >= 3);
}

void a_stopped_evening_outlives_a_restart() {
    Begun world;
    world.machine("s0").never_back = true;
    world.ordered({"s0", "s1", "s2"});
    assert(world.until([&] { return world.evening().held(); }, 120 * kS)); // it does not come back: stop
    for (int i = 0; i < 5; ++i) world.kill(i), world.front(i).failed = true;
    for (int i = 0; i < 5; ++i) world.front(i).failed = false, world.start(i);
    assert(world.until([&] { return world.leader() >= 0 && world.evening().job("s0") != nullptr; }, 60 * kS));
    assert(world.evening().held() && world.evening().hold_reason().find("s0") != std::string::npos);
    world.machine("s0").never_back = false;
    world.ask(1, {{"request", "on"}, {"verb", "resume"}});
    assert(world.ends() && world.kept());
}

void one_with_a_lost_disk_votes_only_under_a_new_seat() {
    Begun world;
    world.ordered({"s0", "s1"});
    assert(world.ends());
    world.kill(0);
    world.start(0, EveningWorld::Disk::kLost);
    const auto seated = [&] {
        const int led = world.leader();
        return led >= 0 && world.front(0).warden->consensus() != nullptr &&
               world.front(0).warden->consensus()->incarnation().identity != 0 &&
               world.front(led).warden->consensus()->voters().contains("n0") &&
               world.front(led).warden->consensus()->votes_as(
                   "n0", world.front(0).warden->consensus()->incarnation());
    };
    assert(world.until(seated, 120 * kS));
    world.ordered({"s2", "s3"}, 0);
    assert(world.ends() && world.kept());
}

void one_with_an_old_disk_is_known_for_it() {
    Begun world;
    world.keep_copy(0);
    world.ordered({"s0", "s1"}); // it tells the others more than its copy holds
    assert(world.ends());
    world.kill(0);
    world.start(0, EveningWorld::Disk::kOld);
    assert(world.until([&] { return world.front(0).warden->consensus()->incarnation().identity != 0; },
                       60 * kS));
    world.ordered({"s2"}, 1);
    assert(world.ends() && world.kept());
}

void a_full_disk_takes_no_part_until_there_is_room() {
    Begun world;
    world.front(0).ledger->disk_full = true;
    world.ordered({"s0", "s1"}, 1);
    assert(world.ends());
    const ConsensusNode& node = *world.front(0).warden->consensus();
    assert(node.phase() == ConsensusPhase::kUnavailable ||
           node.schedule().applied_commands() < world.evening().applied_commands());
    world.front(0).ledger->disk_full = false;
    assert(world.until(
        [&] { return node.schedule().applied_commands() == world.evening().applied_commands(); }, 60 * kS));
    assert(world.kept());
}

void one_without_a_disk_is_told() {
    WorldPlan plan;
    plan.candidates = 3;
    Begun world(plan);
    world.ordered({"s0"}, 4); // it votes nowhere, and takes an order
    assert(world.ends());
    assert(world.front(4).warden->consensus() == nullptr);
    assert(world.until(
        [&] {
            return world.front(4).warden->schedule().job("s0") != nullptr &&
                   world.front(4).warden->schedule().job("s0")->state == JobState::kDone;
        },
        20 * kS));
    const auto told = world.front(4).warden->answer_query({{"verb", "show"}});
    assert(told["turns"].size() == 1 && told["age_ms"].get<std::int64_t>() < 10'000);
}

void another_holder_dies_while_one_is_out() {
    Begun world;
    world.machine("s0").works_for = 25 * kS;
    world.ordered({"s0", "s1", "s2", "s3"});
    assert(world.until([&] { return world.evening().job("s0")->state == JobState::kOut; }, 120 * kS));
    std::string other; // holds what s0 holds
    for (const auto& [name, machine] : world.machines())
        if (name != "s0" && machine.facts.shards == world.machine("s0").facts.shards) other = name;
    world.kill_machine(other);
    assert(world.until([&] { return world.evening().job("s0")->recalled; }, 30 * kS));
    const std::size_t done = world.counts().turns_done;
    assert(world.comes_to("s0", JobState::kProposed, 120 * kS)); // back, to come again later
    assert(world.machine("s0").serves() && world.counts().turns_done <= done + 3);
    world.revive_machine(other);
    world.machine("s0").works_for = 2 * kS;
    assert(world.ends() && world.kept());
}

void withdrawn_during_its_own_drain() {
    Begun world;
    world.machine("s0").drains_for = 15 * kS;
    world.ordered({"s0", "s1"});
    assert(world.comes_to("s0", JobState::kDraining));
    world.ask(2, {{"request", "w"}, {"verb", "withdraw"}, {"machine", "s0"}});
    assert(world.comes_to("s0", JobState::kGivenUp) && world.machine("s0").is == HallMachine::Is::kServing);
    assert(world.ends() && world.kept() && world.counts().turns_done == 1);
}

void two_operators_on_both_sides_of_a_cut() {
    Begun world(five_of_five());
    world.cut({0, 1});
    world.pass(10 * kS);
    world.order(0, {"s0", "s1"}, "minority"), world.order(3, {"s1", "s2"}, "majority");
    assert(world.until(
        [&] { return world.answers.contains("minority") && world.answers.contains("majority"); }, 40 * kS));
    assert(!world.answers["minority"].first && world.answers["majority"].first);
    world.heal();
    assert(world.ends() && world.kept() && world.evening().job("s0") == nullptr);
}

void keepers_answer_twice_late_or_never() {
    for (int how = 0; how < 3; ++how) {
        Begun world;
        world.answers_as = [how](const std::string& machine) -> std::vector<Tenths> {
            if (how == 0) return {10, 10, 300};
            if (how == 1) return {kS * 9 / 10}; // an act's span is a second
            return machine == "s0" ? std::vector<Tenths>{} : std::vector<Tenths>{10};
        };
        world.ordered({"s0", "s1"});
        if (how == 2) {
            assert(world.until([&] { return world.evening().held(); }, 100 * kS)); // the operator is wanted
            world.answers_as = {};
            world.ask(0, {{"request", "on"}, {"verb", "resume"}});
        }
        assert(world.ends() && world.kept());
    }
}

void an_answer_for_another_machine_is_no_answer() {
    Executor executor({"n0", {}, {}});
    MaintenanceSchedule schedule = small_schedule();
    assert(schedule.apply(GrantLease{"s0", "n0", {0}, {}, 0}).accepted);
    FleetObservation observed;
    ExecutorOutput output = executor.run(kS, schedule, observed);
    assert(output.actions.empty() &&
           output.commands.size() == 1); // nothing before the grant is known to be held
    assert(schedule.apply(output.commands[0]).accepted);
    output = executor.run(kS + 1, schedule, observed);
    assert(output.actions.size() == 1 && output.actions[0].action == MachineAction::kQueryState &&
           executor.holds_lease("s0", kS + 1));
    executor.on_status(kS + 2, output.actions[0].serial, "s1", MachineStatus::kDrained);
    executor.on_status(kS + 2, output.actions[0].serial + 7, "s0", MachineStatus::kDrained);
    assert(executor.counts().unmatched_replies == 2);
    executor.on_status(kS + 3, output.actions[0].serial, "s0", MachineStatus::kServing);
    executor.on_status(kS + 3, output.actions[0].serial, "s0", MachineStatus::kDrained); // again
    assert(executor.counts().unmatched_replies == 3);
    output = executor.run(kS + 4 * kS, schedule, observed);
    assert(output.actions.size() == 1 && output.actions[0].action == MachineAction::kDrain);
    assert(executor.run(kS + 11 * kS, schedule, observed).actions.empty()); // its grant has run out
}

// Its keeper is silent to it: it gives the turn back, and holds it no more from the moment that it says so.
void what_is_given_back_is_not_held() {
    Executor executor({"n0", {}, {}});
    MaintenanceSchedule schedule = small_schedule();
    assert(schedule.apply(GrantLease{"s0", "n0", {0}, {}, 0}).accepted);
    FleetObservation observed;
    assert(schedule.apply(executor.run(kS, schedule, observed).commands[0]).accepted);
    bool given = false;
    for (Tenths now = 2 * kS; now < 200 * kS && !given; now += kS) {
        for (const Command& command : executor.run(now, schedule, observed).commands) {
            given = given || std::holds_alternative<ExpireLease>(command);
            if (!given) schedule.apply(command);
        }
        assert(!given || !executor.holds_lease("s0", now));
    }
    assert(given);
}

void one_that_does_not_drain_is_put_back() {
    Begun world;
    world.machine("s0").never_drains = true;
    world.ordered({"s0", "s1"});
    assert(world.until([&] { return world.evening().job("s0")->setbacks > 0; }, 100 * kS));
    assert(world.machine("s0").is == HallMachine::Is::kServing);
    assert(world.ends(600 * kS) && world.kept());
    assert(world.state("s0") == JobState::kGivenUp && world.state("s1") == JobState::kDone);
}

void one_that_comes_back_broken_stops_the_evening() {
    Begun world;
    world.machine("s0").back_broken = true;
    world.ordered({"s0", "s3", "s4", "s5"});
    assert(world.until([&] { return world.evening().held(); }, 100 * kS));
    assert(world.evening().hold_reason().find("broken") != std::string::npos);
    const std::size_t done = world.counts().turns_done;
    world.pass(20 * kS);
    assert(world.counts().turns_done <= done + 1); // what is out comes back, nothing more goes
    world.revive_machine("s0");
    world.ask(0, {{"request", "on"}, {"verb", "resume"}});
    assert(world.ends() && world.kept());
}

void a_leader_hands_over_before_its_own_turn() {
    Begun world;
    const std::string led = "n" + std::to_string(world.leader());
    world.ordered({led}, world.leader());
    assert(world.until([&] { return world.state(led) == JobState::kGranted; }, 60 * kS));
    assert(world.leader() >= 0 && "n" + std::to_string(world.leader()) != led);
    assert(world.ends() && world.kept());
}

void a_voter_gone_for_long_gives_its_seat_to_another() {
    Begun world;
    world.kill(1);
    world.front(1).failed = true;
    const auto replaced = [&] {
        const int led = world.leader();
        if (led < 0) return false;
        const auto voters = world.front(led).warden->consensus()->voters();
        return !voters.contains("n1") && voters.size() == 3;
    };
    assert(world.until(replaced, 120 * kS));
    world.ordered({"s0"}, world.leader());
    assert(world.ends() && world.kept());
}

// A fifth process bears the first one's name, with a ledger of its own.
void two_with_one_name_do_no_harm() {
    Planted planted;
    planted.terms = [](int front, MaintenanceSettings& settings) {
        settings.name = front == 4 ? "n0" : settings.name;
    };
    WorldPlan plan;
    plan.candidates = 4;
    Begun world(plan, planted);
    world.ordered({"s0", "s1", "s2"}, 1);
    assert(world.ends() && world.kept());
}

void a_site_is_lost_and_nothing_more_goes() {
    Begun world;
    world.ordered({"s0", "s1"});
    assert(world.until([&] { return world.count(JobState::kDone) > 0; }, 100 * kS));
    for (const auto& [name, machine] : world.machines())
        if (machine.facts.zone == "b") world.kill_machine(name);
    world.order(0, {"s0"}, "again");
    world.pass(20 * kS);
    assert(world.leader() >= 0);
    const auto shown = world.front(world.leader()).warden->answer_query({{"verb", "show"}});
    assert(shown.value("waits_for", "").find("zone b is lost") != std::string::npos);
    assert(world.kept());
}

void a_hold_stands_until_it_is_lifted() {
    Begun world;
    world.ask(0, {{"request", "h"}, {"verb", "hold"}, {"why", "the final is on"}});
    assert(world.until([&] { return world.evening().held(); }, 20 * kS));
    world.ordered({"s0"});
    world.pass(20 * kS);
    assert(world.state("s0") == JobState::kProposed && world.machines_out().empty());
    world.ask(1, {{"request", "r"}, {"verb", "resume"}});
    assert(world.ends() && world.kept());
}

void clocks_that_differ_as_is_assumed_do_no_harm() {
    WorldPlan plan = five_of_five();
    plan.clock_error = 0.02, plan.loss = 0.05, plan.doubled = 0.1;
    Begun world(plan);
    world.ordered({"s0", "s1", "s2", "s3", "s4"});
    for (int i = 0; i < 5; ++i) {
        world.pass(3 * kS);
        world.stall(i, 6 * kS);
    }
    assert(world.ends() && world.kept());
}

void a_hundred_front_nodes() {
    WorldPlan plan;
    plan.fronts = 100, plan.candidates = 7, plan.council = 5, plan.servers = 60, plan.shards = 20,
    plan.zones = 4;
    plan.heartbeat = kS;
    plan.limits.fleet_share = 0.1;
    EveningWorld world(plan);
    assert(world.until([&] { return world.leader() >= 0 && world.evening().fleet().size() > 100; }, 60 * kS));
    world.order(80, {"s0", "s1", "s2", "s3", "n50"}, "one");
    assert(world.until([&] { return world.all_over(); }, 120 * kS) && world.broken().empty());
}

// ---- schedules that once broke something

void a_follower_tells_no_more_than_was_shown_to_be_the_same() { // libraft's empty AppendEntries
    assert(lab::play(lab::draw_schedule(920)).broken.empty());
}
void an_old_ledger_does_not_vouch_for_itself() { assert(lab::play(lab::draw_schedule(624)).broken.empty()); }
void a_transfer_to_one_that_is_silent_ends() { assert(lab::play(lab::draw_schedule(537)).broken.empty()); }
void a_leader_just_started_surveys_nothing() { assert(lab::play(lab::draw_schedule(990)).broken.empty()); }
void schedules_of_all_sorts() {
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
        assert(lab::play(lab::draw_schedule(seed)).broken.empty());
}

// ---- faults that are planted, and found by the checker

bool found(const Planted& planted, std::uint64_t from = 1, std::uint64_t most = 400) {
    for (std::uint64_t seed = from; seed < from + most; ++seed)
        if (!lab::play(lab::draw_schedule(seed), planted).broken.empty())
            return std::printf("found by schedule %llu\n", static_cast<unsigned long long>(seed)), true;
    return false;
}

struct Forgetful : InMemoryRaftStore {
    bool term = false, vote = false, entries = false, incarnations = false, lies = false;
    void set_term(std::uint64_t value) override {
        if (!term) InMemoryRaftStore::set_term(value);
    }
    void set_vote(std::uint64_t value) override {
        if (!vote) InMemoryRaftStore::set_vote(value);
    }
    void append(std::uint64_t first, const std::vector<LogEntry>& more) override {
        InMemoryRaftStore::append(first, more);
        if (entries && more.size() > 1) InMemoryRaftStore::truncate(first + more.size() - 1);
    }
    void record_incarnation(const std::string& name, VoterIncarnation incarnation) override {
        if (!incarnations) InMemoryRaftStore::record_incarnation(name, incarnation);
    }
    bool is_verified() const override { return lies || InMemoryRaftStore::is_verified(); }
};
template <class Set> Planted forgetful(Set set) {
    Planted planted;
    planted.ledger = [set] {
        auto made = std::make_shared<Forgetful>();
        set(*made);
        return made;
    };
    return planted;
}
template <class Set> Planted altered(Set set) {
    Planted planted;
    planted.terms = [set](int front, MaintenanceSettings& settings) { set(front, settings); };
    return planted;
}

void planted_a_term_that_is_not_kept() {
    assert(found(forgetful([](Forgetful& f) { f.term = true; }), 9));
}
// Three voters by hand, so that a crash falls between two votes of one term: `leaders` of that term.
struct Trio {
    Trio(std::uint64_t first, bool keeps_votes) : seed(first) {
        for (std::size_t i = 0; i < 3; ++i) {
            stores[i].vote = !keeps_votes, stores[i].lies = true; // nobody's word is needed after a crash
            start(i);
        }
    }
    void start(std::size_t i) {
        ConsensusSettings settings;
        settings.name = names[i], settings.candidates = names, settings.heartbeat = kS / 10,
        settings.seed = 3 * seed + i;
        nodes[i] = std::make_unique<ConsensusNode>(settings, stores[i], now);
    }
    struct Post {
        std::size_t from, to;
        std::string bytes;
    };
    // What the three have written, but what `holds` keeps back, until nobody writes any more.
    void deliver() {
        for (bool moved = true; moved;) {
            moved = false;
            for (std::size_t i = 0; i < 3; ++i)
                for (const ConsensusMessage& message : nodes[i]->take_messages()) {
                    const auto to = static_cast<std::size_t>(message.to[1] - '0');
                    if (!open[i][to] || (votes_only && !wanted(i, message.bytes))) continue;
                    moved = true;
                    if (is_vote(message.bytes) && i == held_from)
                        held.push_back({i, to, message.bytes});
                    else
                        nodes[to]->receive(now, names[i], message.bytes);
                }
        }
    }
    static bool asks(const std::string& bytes) { // for a vote, or whether it would get one
        return nlohmann::json::from_cbor(bytes)[0] == nlohmann::json(kVoteAsked);
    }
    // n1 stands for nothing itself, and hears nothing from a leader before it crashes.
    static bool wanted(std::size_t from, const std::string& bytes) {
        return from == 1 ? !asks(bytes) : nlohmann::json::from_cbor(bytes)[0] != nlohmann::json(kEntries);
    }
    static bool is_vote(const std::string& bytes) {
        return asks(bytes) && nlohmann::json::from_cbor(bytes)[7] == false;
    }
    bool until(const std::function<bool()>& holds) {
        for (const Tenths end = now + 30 * kS; now < end && !holds(); now += kS / 100) {
            for (auto& node : nodes) node->step(now);
            deliver();
        }
        return holds();
    }
    static constexpr int kEntries = 1, kVoteAsked = 3; // the library's words
    std::uint64_t seed;
    std::vector<std::string> names{"n0", "n1", "n2"};
    std::array<Forgetful, 3> stores;
    std::array<std::unique_ptr<ConsensusNode>, 3> nodes;
    std::array<std::array<bool, 3>, 3> open{{{true, true, true}, {true, true, true}, {true, true, true}}};
    std::size_t held_from = 3; // nobody
    bool votes_only = false;
    std::vector<Post> held;
    Tenths now = 100 * kS;
};

// n2 asks for n1's vote and its letter is long on its way; n0 is given that vote and leads; n1 crashes, and
// the letter comes. How many lead in that term; 0: chance had it otherwise.
std::size_t leaders_of_one_term(std::uint64_t seed, bool keeps_votes) {
    Trio trio(seed, keeps_votes);
    const auto leads = [&](std::size_t i) { return trio.nodes[i]->is_leader(); };
    assert(trio.until([&] { return leads(0) || leads(1) || leads(2); }));
    for (auto& row : trio.open) row = {};
    assert(trio.until([&] { return !leads(0) && !leads(1) && !leads(2); })); // each by itself
    trio.open[1][2] = trio.open[2][1] = trio.votes_only = true, trio.held_from = 2;
    if (!trio.until([&] { return !trio.held.empty() || leads(1); }) || leads(1)) return 0;
    const Trio::Post late = trio.held.front();
    const std::uint64_t term = trio.nodes[2]->term();
    trio.open[1][2] = trio.open[2][1] = false;
    trio.open[0][1] = trio.open[1][0] = true;
    if (!trio.until([&] { return leads(0) || leads(1); }) || !leads(0)) return 0;
    if (trio.nodes[0]->term() != term || trio.nodes[2]->term() != term) return 0;
    trio.start(1);
    trio.nodes[1]->step(trio.now);
    trio.nodes[1]->receive(trio.now, "n2", late.bytes);
    for (const ConsensusMessage& message : trio.nodes[1]->take_messages())
        if (message.to == "n2") trio.nodes[2]->receive(trio.now, "n1", message.bytes);
    return (leads(0) ? 1U : 0U) + (leads(2) && trio.nodes[2]->term() == term ? 1U : 0U);
}

void planted_a_vote_that_is_not_kept() {
    int doubled = 0, single = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        doubled += leaders_of_one_term(seed, false) == 2 ? 1 : 0;
        const std::size_t leaders = leaders_of_one_term(seed, true);
        assert(leaders < 2);
        single += static_cast<int>(leaders);
    }
    assert(doubled > 0 && single > 0);
}

void planted_an_entry_that_is_not_kept() {
    assert(found(forgetful([](Forgetful& f) { f.entries = true; })));
}
void planted_a_witness_that_lies() {
    assert(found(forgetful([](Forgetful& f) { f.lies = true; }), 285));
}
void planted_a_floor_that_is_ignored() {
    assert(found(
        altered([](int, MaintenanceSettings& t) { t.limits.min_replicas = 1, t.limits.shard_share = 1; })));
}
void planted_a_council_that_goes_out() {
    assert(found(altered([](int front, MaintenanceSettings& t) {
        t.limits.front_share = 1;
        if (front < 3) t.candidates.resize(1), t.voter_count = 1; // each believes that it is one alone
    })));
}
void planted_two_councils() {
    assert(found(altered([](int front, MaintenanceSettings& t) {
        if (front == 0) t.candidates.resize(1), t.voter_count = 1;
    })));
}
void planted_grants_that_outlast_the_leaders_patience() {
    assert(found(altered([](int, MaintenanceSettings& t) { t.timing.clock_error = -0.4; })));
}
void planted_one_that_counts_its_grant_too_long() {
    assert(
        found(altered([](int front, MaintenanceSettings& t) { t.timing.lease *= front == 1 ? 4 : 1; }), 19));
}
void planted_keepers_that_take_older_numbers() {
    Planted planted;
    planted.careless_keepers = true;
    bool caught = false; // an act that has been long on its way comes after another holder's
    HallMachine machine;
    machine.checks_fence = false;
    machine.act(1, MachineAction::kDrain, {7});
    caught = machine.act(2, MachineAction::kBringBack, {3}) != MachineStatus::kRefused;
    HallMachine careful;
    careful.act(1, MachineAction::kDrain, {7});
    assert(caught && careful.act(2, MachineAction::kBringBack, {3}) == MachineStatus::kRefused &&
           careful.is != HallMachine::Is::kServing);
}
void planted_a_machine_that_two_keep_apart() { // one node surveys another fleet: it knows of no shards
    Planted planted = altered([](int front, MaintenanceSettings& t) {
        if (front == 0)
            t.limits.min_replicas = 0, t.limits.shard_share = 1, t.limits.fleet_share = 1,
            t.limits.zone_share = 1;
    });
    assert(found(planted));
}

// ---- parcels

void pieces_that_are_lost_are_asked_for() {
    membership::DatagramCodec seal("the secret of a story, thirty-two bytes or more");
    FragmentTransport a("a", "10.0.0.1:1", seal, 1), b("b", "10.0.0.2:1", seal, 1);
    std::string large(50'000, 'x');
    for (std::size_t i = 0; i < large.size(); ++i) large[i] = static_cast<char>(i * 7);
    assert(a.send(kS, "10.0.0.2:1", MessageKind::kConsensus, large));
    Pcg chance(3);
    std::optional<PeerMessage> got;
    for (Tenths now = kS; now < 4 * kS && !got; now += kS / 20) {
        for (const OutboundDatagram& sealed : a.take_datagrams())
            if (chance.unit() > 0.3)
                if (auto message = b.receive(now, sealed.bytes)) got = message;
        b.step(now);
        for (const OutboundDatagram& sealed : b.take_datagrams())
            if (chance.unit() > 0.3) a.receive(now, sealed.bytes);
    }
    assert(got && got->bytes == large && got->from == "a" && b.counts().resend_requests > 0 &&
           b.incomplete() == 0);
    assert(!a.send(kS, "x", MessageKind::kConsensus, std::string(1'000'000, 'x')));
}

void room_for_pieces_has_a_bound() {
    membership::DatagramCodec seal("the secret of a story, thirty-two bytes or more");
    FragmentTransport a("a", "10.0.0.1:1", seal, 1), b("b", "10.0.0.2:1", seal, 1);
    for (int i = 0; i < 500; ++i) {
        a.send(kS, "10.0.0.2:1", MessageKind::kConsensus, std::string(3'000, 'x'));
        b.receive(kS, a.take_datagrams().front().bytes); // only the first piece of each
    }
    assert(b.incomplete() <= FragmentTransport::kMaxIncomplete);
    b.step(10 * kS);
    assert(b.incomplete() == 0);
    assert(!b.receive(kS, "a stranger's bytes") && seal.counts().unauthenticated == 1);
}

void a_flood_is_dropped_unread() {
    MaintenanceSettings settings;
    settings.name = "n0", settings.address = "10.0.0.1:7",
    settings.secret = "the secret of a story, thirty-two bytes or more";
    MaintenanceNode node(settings, nullptr, kS, kS);
    for (int i = 0; i < 50'000; ++i) node.receive(kS + i / 100, "10.0.0.9:1", "\x88nothing that is sealed");
    assert(node.counts().rate_limited > 40'000 && node.seal_counts().unauthenticated < 10'000);
    assert(node.take_effects().empty());
}

// ---- ledgers on a disk

struct Folder {
    Folder() {
        std::string form = (std::filesystem::temp_directory_path() / "ivyrill-ledger-XXXXXX").string();
        assert(mkdtemp(form.data()) != nullptr);
        path = form;
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string path;
};

void a_ledger_holds_what_it_was_told() {
    const Folder folder;
    {
        raft_storage::SqliteRaftStore store(folder.path + "/l.db");
        store.set_term(3), store.set_vote(7), store.set_incarnation({2, 99, 0}),
            store.record_incarnation("n1", {4, 5, 6});
        store.append(1, {{3, 1, "one"}, {3, 1, "two"}, {3, 1, std::string("\0b", 2)}});
        store.truncate(3), store.append(3, {{4, 1, "three"}, {4, 1, "four"}});
        store.set_voters({"n0", "n2"});
        store.put_snapshot({2, 3, 1, "voters", "state"}, 1);
        bool second = false; // two processes on one ledger would each believe that it is theirs
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

void a_ledger_whose_writer_dies_is_whole() {
    const Folder folder;
    for (int round = 0; round < 5; ++round) {
        int ends[2];
        assert(pipe(ends) == 0);
        const pid_t writer = fork();
        if (writer == 0) {
            raft_storage::SqliteRaftStore store(folder.path + "/l.db");
            std::uint64_t next = store.load().entries.size() + 1;
            for (;; ++next) {
                store.append(next, {{next, 1, std::string(2000, 'x')}});
                if (write(ends[1], &next, sizeof next) < 0) _exit(1);
            }
        }
        std::uint64_t told = 0;
        for (int i = 0; i < 10 + round; ++i) assert(read(ends[0], &told, sizeof told) == sizeof told);
        kill(writer, SIGKILL);
        waitpid(writer, nullptr, 0);
        close(ends[1]);
        while (read(ends[0], &told, sizeof told) == sizeof told) {}
        close(ends[0]);
        raft_storage::SqliteRaftStore store(folder.path + "/l.db");
        const StoredState stored = store.load();
        assert(stored.entries.size() >= told && stored.entries.size() <= told + 1); // what was said is there
        for (std::size_t i = 0; i < stored.entries.size(); ++i) assert(stored.entries[i].term == i + 1);
    }
}

void a_full_ledger_says_so_and_stays_whole() {
    const Folder folder;
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

void a_witness_tells_a_copy_from_the_ledger() {
    const Folder folder;
    const std::string file = folder.path + "/l.db", witness = folder.path + "/witness";
    { // new: nothing vouches, until others have
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
        store.set_term(4); // and what it writes does not make it so
    }
    raft_storage::SqliteRaftStore store(file, witness);
    assert(!store.is_verified());
}

void a_spoilt_ledger_is_not_used() {
    const Folder folder;
    { raft_storage::SqliteRaftStore store(folder.path + "/l.db"); }
    {
        std::FILE* file = std::fopen((folder.path + "/l.db").c_str(), "r+");
        std::fseek(file, 0, SEEK_SET);
        std::fputs("not a ledger at all", file);
        std::fclose(file);
    }
    bool refused = false;
    try {
        raft_storage::SqliteRaftStore store(folder.path + "/l.db");
    } catch (const RaftStoreError&) { refused = true; }
    assert(refused);
}

void an_evening_is_drawn_from_its_log() {
    std::istringstream log(
        "x info turn machine=\"s<0\" state=\"draining\" holder=\"n1\" fence=\"1\" at_ms=\"1000\" why=\"\"\n"
        "nothing of ours\n"
        "x info turn machine=\"s<0\" state=\"out\" holder=\"n1\" fence=\"1\" at_ms=\"2000\" why=\"\"\n"
        "x info turn machine=\"s<0\" state=\"done\" holder=\"-\" fence=\"1\" at_ms=\"4000\" why=\"\"\n");
    const std::string drawn = render_chart(log);
    assert(drawn.starts_with("<svg") && drawn.find("s&lt;0 out by n1") != std::string::npos);
    assert(drawn.find("3 s</text>") != std::string::npos);
}

const Test kTests[] = {
    TEST(floor_is_kept_whoever_grants),
    TEST(a_grant_that_came_second_is_void),
    TEST(a_request_heard_twice_is_done_once),
    TEST(council_keeps_its_majority),
    TEST(what_is_agreed_outlives_its_bytes),
    TEST(a_machine_that_is_out_stays_one_in_any_survey),
    TEST(most_constrained_go_first_and_no_order_is_much_shorter),
    TEST(a_plan_says_what_can_never_go),
    TEST(an_evening_goes_by_itself),
    TEST(a_holder_that_stalls_past_its_grant_wakes_to_another_holder),
    TEST(a_leader_cut_off_gives_nothing_out),
    TEST(five_cut_into_two_and_three),
    TEST(without_a_majority_nobody_goes_out),
    TEST(every_second_datagram_of_a_link_is_lost),
    TEST(one_way_silence_of_the_leader),
    TEST(all_restarted_in_the_middle_of_a_turn),
    TEST(a_stopped_evening_outlives_a_restart),
    TEST(one_with_a_lost_disk_votes_only_under_a_new_seat),
    TEST(one_with_an_old_disk_is_known_for_it),
    TEST(a_full_disk_takes_no_part_until_there_is_room),
    TEST(one_without_a_disk_is_told),
    TEST(another_holder_dies_while_one_is_out),
    TEST(withdrawn_during_its_own_drain),
    TEST(two_operators_on_both_sides_of_a_cut),
    TEST(keepers_answer_twice_late_or_never),
    TEST(an_answer_for_another_machine_is_no_answer),
    TEST(what_is_given_back_is_not_held),
    TEST(one_that_does_not_drain_is_put_back),
    TEST(one_that_comes_back_broken_stops_the_evening),
    TEST(a_leader_hands_over_before_its_own_turn),
    TEST(a_voter_gone_for_long_gives_its_seat_to_another),
    TEST(two_with_one_name_do_no_harm),
    TEST(a_site_is_lost_and_nothing_more_goes),
    TEST(a_hold_stands_until_it_is_lifted),
    TEST(clocks_that_differ_as_is_assumed_do_no_harm),
    TEST(a_hundred_front_nodes),
    TEST(a_follower_tells_no_more_than_was_shown_to_be_the_same),
    TEST(an_old_ledger_does_not_vouch_for_itself),
    TEST(a_transfer_to_one_that_is_silent_ends),
    TEST(a_leader_just_started_surveys_nothing),
    TEST(schedules_of_all_sorts),
    TEST(planted_a_term_that_is_not_kept),
    TEST(planted_a_vote_that_is_not_kept),
    TEST(planted_an_entry_that_is_not_kept),
    TEST(planted_a_witness_that_lies),
    TEST(planted_a_floor_that_is_ignored),
    TEST(planted_a_council_that_goes_out),
    TEST(planted_two_councils),
    TEST(planted_grants_that_outlast_the_leaders_patience),
    TEST(planted_one_that_counts_its_grant_too_long),
    TEST(planted_keepers_that_take_older_numbers),
    TEST(planted_a_machine_that_two_keep_apart),
    TEST(pieces_that_are_lost_are_asked_for),
    TEST(room_for_pieces_has_a_bound),
    TEST(a_flood_is_dropped_unread),
    TEST(a_ledger_holds_what_it_was_told),
    TEST(a_ledger_whose_writer_dies_is_whole),
    TEST(a_full_ledger_says_so_and_stays_whole),
    TEST(a_witness_tells_a_copy_from_the_ledger),
    TEST(a_spoilt_ledger_is_not_used),
    TEST(an_evening_is_drawn_from_its_log),
};

} // namespace

} // namespace ivyrill::maintenance

int main(int count, char** arguments) {
    return ivyrill::run_test(ivyrill::maintenance::kTests, count, arguments);
}
