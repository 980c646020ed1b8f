// Machines taken out for work, in virtual time: front nodes' wardens round their machines, with faults
// between them. `rota_tests NAME`.
#include "fake_host.hpp"
#include "lab/evening_world.hpp"
#include "rota/chart.hpp"
#include "rota/words.hpp"
#include "store/sqlite_ledger.hpp"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace ivyrill::rota {

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
        assert(until([&] { return evening().turn(machines.back()) != nullptr; }, 20 * kS));
    }
    TurnState state(const std::string& machine) const { return evening().turn(machine)->state; }
    bool comes_to(const std::string& machine, TurnState wanted, Tenths bound = 60 * kS) {
        return until([&] { return state(machine) == wanted; }, bound);
    }
    bool ends(Tenths bound = 300 * kS) {
        return until([&] { return all_over(); }, bound);
    }
    int number(const std::string& name) const { return std::stoi(name.substr(1)); }
    const std::string& holder(const std::string& machine) const { return evening().turn(machine)->holder; }
    bool kept() const {
        for (const std::string& what : broken()) std::printf("%s\n", what.c_str());
        return broken().empty();
    }
};

// ---- what is agreed on

Evening small_evening(int servers = 6, int fronts = 5) {
    Evening evening;
    Survey survey{{2, 1, 0.5, 0.5, 0.4, 3}, {}, {"n0", "n1", "n2"}};
    for (int i = 0; i < servers; ++i)
        survey.fleet.push_back(
            {"s" + std::to_string(i), false, i < servers / 2 ? "a" : "b", {i % 2}, 1, 10 * kS});
    for (int i = 0; i < fronts; ++i)
        survey.fleet.push_back({"n" + std::to_string(i), true, "", {}, 1, 10 * kS});
    assert(evening.apply(survey).done);
    assert(evening.apply(Add{"r1", "op", "", {"s0", "s1", "s2", "s4", "n0", "n1"}, 0, 0}).done);
    return evening;
}

void floor_is_kept_whoever_grants() {
    Evening evening = small_evening();
    assert(evening.apply(Grant{"s0", "n1", {0}, {}, 0}).done);
    const Verdict second =
        evening.apply(Grant{"s2", "n2", {0}, {}, 0}); // holds the same shard, two must stay
    assert(!second.done && second.why.find("shard 0") != std::string::npos);
    const Verdict down =
        evening.apply(Grant{"s1", "n2", {0}, {"s3", "s5"}, 0}); // others are down by themselves
    assert(!down.done && evening.out() == std::set<std::string>{"s0"});
}

void a_grant_that_came_second_is_void() {
    Evening evening = small_evening();
    assert(evening.apply(Grant{"s0", "n1", {0}, {}, 0}).done);
    assert(!evening.apply(Grant{"s0", "n2", {0}, {}, 0}).done); // by a leader that knew no better
    const Fence first = evening.turn("s0")->fence;
    assert(evening.apply(Lapse{"s0", first}).done && evening.apply(Grant{"s0", "n2", first, {}, 0}).done);
    assert(evening.turn("s0")->fence > first);
    assert(!evening.apply(Take{"s0", "n1", first, 5}).done); // the old holder's word
    assert(!evening.apply(Move{"s0", first, TurnState::kDraining, "", false}).done);
    assert(evening.apply(Take{"s0", "n2", evening.turn("s0")->fence, 7}).done);
}

void a_request_heard_twice_is_done_once() {
    Evening evening = small_evening();
    assert(evening.apply(Hold{"h", "by hand"}).done && evening.apply(Resume{"r"}).done);
    assert(evening.apply(Hold{"h", "by hand"}).done && !evening.held()); // its copy came late
    assert(!evening.apply(Add{"x", "op", "", {"nobody"}, 0, 0}).done);
    assert(!evening.apply(Add{"x", "op", "", {"nobody"}, 0, 0}).done); // what was refused is refused again
}

void council_keeps_its_majority() {
    Evening evening = small_evening();
    assert(evening.apply(Grant{"n0", "n1", {0}, {}, 0}).done);
    const Verdict second = evening.apply(Grant{"n1", "n2", {0}, {}, 0});
    assert(!second.done && second.why.find("majority") != std::string::npos);
}

void what_is_agreed_outlives_its_bytes() {
    Evening evening = small_evening();
    assert(evening.apply(Grant{"s0", "n1", {0}, {"s3"}, 77}).done);
    const auto read = Evening::decode(evening.encode());
    assert(read && read->encode() == evening.encode() &&
           read->turn("s0")->fence == evening.turn("s0")->fence);
    assert(!Evening::decode("nonsense") && !Evening::decode(evening.encode().substr(0, 40)));
    const Command commands[] = {Grant{"s1", "n2", {3}, {"a"}, 9}, Move{"s1", {4}, TurnState::kOut, "w", true},
                                Take{"s1", "n2", {4}, 12}, Add{"r", "o", "n", {"a", "b"}, 1, 2}};
    for (const Command& command : commands) {
        const auto again = decode(encode(command));
        assert(again && encode(*again) == encode(command));
    }
    assert(!decode("") && !decode(encode(commands[0]).substr(1)));
}

void a_machine_that_is_out_stays_one_in_any_survey() {
    Evening evening = small_evening();
    assert(evening.apply(Grant{"s0", "n1", {0}, {}, 0}).done);
    Survey without{evening.limits(), {}, evening.voters()};
    for (const auto& [name, facts] : evening.fleet())
        if (name != "s0") without.fleet.push_back(facts);
    assert(evening.apply(without).done && evening.fleet().contains("s0"));
}

// ---- the order

void most_constrained_go_first_and_no_order_is_much_shorter() {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        Pcg chance(seed);
        Evening evening;
        Survey survey{{1, 0.5, 0.67, 0.4, 0.34, 3}, {}, {}};
        for (int i = 0; i < 8; ++i)
            survey.fleet.push_back({"s" + std::to_string(i),
                                    false,
                                    std::string(1, static_cast<char>('a' + i % 3)),
                                    {i % 2, 2 + i % 3},
                                    1,
                                    static_cast<Tenths>((1 + 9 * chance.unit()) * kS)});
        evening.apply(survey);
        std::vector<Task> tasks;
        for (int i = 0; i < 6; ++i)
            tasks.push_back({"s" + std::to_string(i), survey.fleet[i].work, false, 0});
        const Room room(evening.limits(), evening.fleet(), evening.voters());
        const Plan ours = plan_well(evening, tasks, {}, seed), come = plan_first_come(room, tasks, {});
        const auto best = plan_best(room, tasks, {}, 6);
        assert(best && ours.steps.size() == 6 && best->steps.size() == 6);
        assert(ours.length <= come.length && ours.length >= best->length);
        assert(static_cast<double>(ours.length) <= 1.25 * static_cast<double>(best->length));
        assert(least_length(evening, tasks) <= best->length);
    }
}

void a_plan_says_what_can_never_go() {
    Evening evening = small_evening();
    const Room room(evening.limits(), evening.fleet(), evening.voters());
    const Plan plan = plan_in_order(room, tasks_of(evening, 0), {"s4", "s2"}); // shard 0 has one left
    assert(plan.never.contains("s0") && plan.never.at("s0").find("shard 0") != std::string::npos);
    assert(std::ranges::any_of(plan.steps, [](const Step& step) { return step.why.starts_with("waited"); }));
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
    assert(world.comes_to("s0", TurnState::kOut));
    const std::string first = world.holder("s0");
    const Fence fence = world.evening().turn("s0")->fence;
    world.stall(world.number(first), 15 * kS);
    assert(world.until([&] { return world.evening().turn("s0")->fence > fence; }, 14 * kS));
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
    assert(world.comes_to("s0", TurnState::kDone));
    assert(world.front(old).warden->evening().turn("s0") == nullptr);
    world.pass(12 * kS);
    assert(world.answers.contains("cut off") && !world.answers["cut off"].first); // and its operator hears so
    world.heal();
    assert(world.until([&] { return world.front(old).warden->evening().turn("s0") != nullptr; }, 20 * kS));
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
    assert(world.comes_to("s0", TurnState::kOut));
    for (int i = 0; i < 5; ++i) world.kill(i), world.front(i).failed = true;
    world.pass(kS);
    for (int i = 0; i < 5; ++i) world.front(i).failed = false, world.start(i);
    assert(world.until([&] { return world.evening().turn("s0") != nullptr; }, 60 * kS));
    assert(world.ends() && world.kept() && world.counts().turns_done >= 3);
}

void a_stopped_evening_outlives_a_restart() {
    Begun world;
    world.machine("s0").never_back = true;
    world.ordered({"s0", "s1", "s2"});
    assert(world.until([&] { return world.evening().held(); }, 120 * kS)); // it does not come back: stop
    for (int i = 0; i < 5; ++i) world.kill(i), world.front(i).failed = true;
    for (int i = 0; i < 5; ++i) world.front(i).failed = false, world.start(i);
    assert(
        world.until([&] { return world.leader() >= 0 && world.evening().turn("s0") != nullptr; }, 60 * kS));
    assert(world.evening().held() && world.evening().held_why().find("s0") != std::string::npos);
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
        return led >= 0 && world.front(0).warden->council() != nullptr &&
               world.front(0).warden->council()->life().seat != 0 &&
               world.front(led).warden->council()->voters().contains("n0") &&
               world.front(led).warden->council()->holds_seat("n0", world.front(0).warden->council()->life());
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
    assert(world.until([&] { return world.front(0).warden->council()->life().seat != 0; }, 60 * kS));
    world.ordered({"s2"}, 1);
    assert(world.ends() && world.kept());
}

void a_full_disk_takes_no_part_until_there_is_room() {
    Begun world;
    world.front(0).ledger->full = true;
    world.ordered({"s0", "s1"}, 1);
    assert(world.ends());
    const Council& council = *world.front(0).warden->council();
    assert(council.phase() == CouncilPhase::kUnable ||
           council.evening().applied() < world.evening().applied());
    world.front(0).ledger->full = false;
    assert(world.until([&] { return council.evening().applied() == world.evening().applied(); }, 60 * kS));
    assert(world.kept());
}

void one_without_a_disk_is_told() {
    WorldPlan plan;
    plan.candidates = 3;
    Begun world(plan);
    world.ordered({"s0"}, 4); // it votes nowhere, and takes an order
    assert(world.ends());
    assert(world.front(4).warden->council() == nullptr);
    assert(world.until(
        [&] {
            return world.front(4).warden->evening().turn("s0") != nullptr &&
                   world.front(4).warden->evening().turn("s0")->state == TurnState::kDone;
        },
        20 * kS));
    const auto told = world.front(4).warden->answer({{"verb", "show"}});
    assert(told["turns"].size() == 1 && told["age_ms"].get<std::int64_t>() < 10'000);
}

void another_holder_dies_while_one_is_out() {
    Begun world;
    world.machine("s0").works_for = 25 * kS;
    world.ordered({"s0", "s1", "s2", "s3"});
    assert(world.until([&] { return world.evening().turn("s0")->state == TurnState::kOut; }, 120 * kS));
    std::string other; // holds what s0 holds
    for (const auto& [name, machine] : world.machines())
        if (name != "s0" && machine.facts.shards == world.machine("s0").facts.shards) other = name;
    world.kill_machine(other);
    assert(world.until([&] { return world.evening().turn("s0")->recalled; }, 30 * kS));
    const std::size_t done = world.counts().turns_done;
    assert(world.comes_to("s0", TurnState::kProposed, 120 * kS)); // back, to come again later
    assert(world.machine("s0").serves() && world.counts().turns_done <= done + 3);
    world.revive_machine(other);
    world.machine("s0").works_for = 2 * kS;
    assert(world.ends() && world.kept());
}

void withdrawn_during_its_own_drain() {
    Begun world;
    world.machine("s0").drains_for = 15 * kS;
    world.ordered({"s0", "s1"});
    assert(world.comes_to("s0", TurnState::kDraining));
    world.ask(2, {{"request", "w"}, {"verb", "withdraw"}, {"machine", "s0"}});
    assert(world.comes_to("s0", TurnState::kGivenUp) && world.machine("s0").is == HallMachine::Is::kServing);
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
    assert(world.ends() && world.kept() && world.evening().turn("s0") == nullptr);
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
    Hand hand({"n0", {}, {}});
    Evening evening = small_evening();
    assert(evening.apply(Grant{"s0", "n0", {0}, {}, 0}).done);
    Outlook outlook;
    HandOut out = hand.carry(kS, evening, outlook);
    assert(out.acts.empty() && out.commands.size() == 1); // nothing before the grant is known to be held
    assert(evening.apply(out.commands[0]).done);
    out = hand.carry(kS + 1, evening, outlook);
    assert(out.acts.size() == 1 && out.acts[0].act == Act::kLook && hand.holds("s0", kS + 1));
    hand.hear(kS + 2, out.acts[0].serial, "s1", Kept::kDrained);
    hand.hear(kS + 2, out.acts[0].serial + 7, "s0", Kept::kDrained);
    assert(hand.counts().strange == 2);
    hand.hear(kS + 3, out.acts[0].serial, "s0", Kept::kServing);
    hand.hear(kS + 3, out.acts[0].serial, "s0", Kept::kDrained); // again
    assert(hand.counts().strange == 3);
    out = hand.carry(kS + 4 * kS, evening, outlook);
    assert(out.acts.size() == 1 && out.acts[0].act == Act::kDrain);
    assert(hand.carry(kS + 11 * kS, evening, outlook).acts.empty()); // its grant has run out
}

// Its keeper is silent to it: it gives the turn back, and holds it no more from the moment that it says so.
void what_is_given_back_is_not_held() {
    Hand hand({"n0", {}, {}});
    Evening evening = small_evening();
    assert(evening.apply(Grant{"s0", "n0", {0}, {}, 0}).done);
    Outlook outlook;
    assert(evening.apply(hand.carry(kS, evening, outlook).commands[0]).done);
    bool given = false;
    for (Tenths now = 2 * kS; now < 200 * kS && !given; now += kS) {
        for (const Command& command : hand.carry(now, evening, outlook).commands) {
            given = given || std::holds_alternative<Lapse>(command);
            if (!given) evening.apply(command);
        }
        assert(!given || !hand.holds("s0", now));
    }
    assert(given);
}

void one_that_does_not_drain_is_put_back() {
    Begun world;
    world.machine("s0").never_drains = true;
    world.ordered({"s0", "s1"});
    assert(world.until([&] { return world.evening().turn("s0")->setbacks > 0; }, 100 * kS));
    assert(world.machine("s0").is == HallMachine::Is::kServing);
    assert(world.ends(600 * kS) && world.kept());
    assert(world.state("s0") == TurnState::kGivenUp && world.state("s1") == TurnState::kDone);
}

void one_that_comes_back_broken_stops_the_evening() {
    Begun world;
    world.machine("s0").back_broken = true;
    world.ordered({"s0", "s3", "s4", "s5"});
    assert(world.until([&] { return world.evening().held(); }, 100 * kS));
    assert(world.evening().held_why().find("broken") != std::string::npos);
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
    assert(world.until([&] { return world.state(led) == TurnState::kGranted; }, 60 * kS));
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
        const auto voters = world.front(led).warden->council()->voters();
        return !voters.contains("n1") && voters.size() == 3;
    };
    assert(world.until(replaced, 120 * kS));
    world.ordered({"s0"}, world.leader());
    assert(world.ends() && world.kept());
}

// A fifth process bears the first one's name, with a ledger of its own.
void two_with_one_name_do_no_harm() {
    Planted planted;
    planted.terms = [](int front, WardenTerms& terms) { terms.name = front == 4 ? "n0" : terms.name; };
    WorldPlan plan;
    plan.candidates = 4;
    Begun world(plan, planted);
    world.ordered({"s0", "s1", "s2"}, 1);
    assert(world.ends() && world.kept());
}

void a_site_is_lost_and_nothing_more_goes() {
    Begun world;
    world.ordered({"s0", "s1"});
    assert(world.until([&] { return world.count(TurnState::kDone) > 0; }, 100 * kS));
    for (const auto& [name, machine] : world.machines())
        if (machine.facts.zone == "b") world.kill_machine(name);
    world.order(0, {"s0"}, "again");
    world.pass(20 * kS);
    assert(world.leader() >= 0);
    const auto shown = world.front(world.leader()).warden->answer({{"verb", "show"}});
    assert(shown.value("waits_for", "").find("site b is lost") != std::string::npos);
    assert(world.kept());
}

void a_hold_stands_until_it_is_lifted() {
    Begun world;
    world.ask(0, {{"request", "h"}, {"verb", "hold"}, {"why", "the final is on"}});
    assert(world.until([&] { return world.evening().held(); }, 20 * kS));
    world.ordered({"s0"});
    world.pass(20 * kS);
    assert(world.state("s0") == TurnState::kProposed && world.machines_out().empty());
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

struct Forgetful : LedgerInMemory {
    bool term = false, vote = false, entries = false, lives = false, lies = false;
    void set_term(std::uint64_t value) override {
        if (!term) LedgerInMemory::set_term(value);
    }
    void set_vote(std::uint64_t value) override {
        if (!vote) LedgerInMemory::set_vote(value);
    }
    void append(std::uint64_t first, const std::vector<LogEntry>& more) override {
        LedgerInMemory::append(first, more);
        if (entries && more.size() > 1) LedgerInMemory::truncate(first + more.size() - 1);
    }
    void remember(const std::string& name, Life life) override {
        if (!lives) LedgerInMemory::remember(name, life);
    }
    bool proven() const override { return lies || LedgerInMemory::proven(); }
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
    planted.terms = [set](int front, WardenTerms& terms) { set(front, terms); };
    return planted;
}

void planted_a_term_that_is_not_kept() {
    assert(found(forgetful([](Forgetful& f) { f.term = true; }), 9));
}
// Three voters by hand, so that a crash falls between two votes of one term: `leaders` of that term.
struct Trio {
    Trio(std::uint64_t first, bool keeps_votes) : seed(first) {
        for (std::size_t i = 0; i < 3; ++i) {
            ledgers[i].vote = !keeps_votes, ledgers[i].lies = true; // nobody's word is needed after a crash
            start(i);
        }
    }
    void start(std::size_t i) {
        CouncilTerms terms;
        terms.name = names[i], terms.candidates = names, terms.heartbeat = kS / 10, terms.seed = 3 * seed + i;
        councils[i] = std::make_unique<Council>(terms, ledgers[i], now);
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
                for (const Letter& letter : councils[i]->take_letters()) {
                    const auto to = static_cast<std::size_t>(letter.to[1] - '0');
                    if (!open[i][to] || (votes_only && !wanted(i, letter.bytes))) continue;
                    moved = true;
                    if (is_vote(letter.bytes) && i == held_from)
                        held.push_back({i, to, letter.bytes});
                    else
                        councils[to]->hear(now, names[i], letter.bytes);
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
            for (auto& council : councils) council->step(now);
            deliver();
        }
        return holds();
    }
    static constexpr int kEntries = 1, kVoteAsked = 3; // the library's words
    std::uint64_t seed;
    std::vector<std::string> names{"n0", "n1", "n2"};
    std::array<Forgetful, 3> ledgers;
    std::array<std::unique_ptr<Council>, 3> councils;
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
    const auto leads = [&](std::size_t i) { return trio.councils[i]->leads(); };
    assert(trio.until([&] { return leads(0) || leads(1) || leads(2); }));
    for (auto& row : trio.open) row = {};
    assert(trio.until([&] { return !leads(0) && !leads(1) && !leads(2); })); // each by itself
    trio.open[1][2] = trio.open[2][1] = trio.votes_only = true, trio.held_from = 2;
    if (!trio.until([&] { return !trio.held.empty() || leads(1); }) || leads(1)) return 0;
    const Trio::Post late = trio.held.front();
    const std::uint64_t term = trio.councils[2]->term();
    trio.open[1][2] = trio.open[2][1] = false;
    trio.open[0][1] = trio.open[1][0] = true;
    if (!trio.until([&] { return leads(0) || leads(1); }) || !leads(0)) return 0;
    if (trio.councils[0]->term() != term || trio.councils[2]->term() != term) return 0;
    trio.start(1);
    trio.councils[1]->step(trio.now);
    trio.councils[1]->hear(trio.now, "n2", late.bytes);
    for (const Letter& letter : trio.councils[1]->take_letters())
        if (letter.to == "n2") trio.councils[2]->hear(trio.now, "n1", letter.bytes);
    return (leads(0) ? 1U : 0U) + (leads(2) && trio.councils[2]->term() == term ? 1U : 0U);
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
    assert(found(altered([](int, WardenTerms& t) { t.limits.floor = 1, t.limits.shard_share = 1; })));
}
void planted_a_council_that_goes_out() {
    assert(found(altered([](int front, WardenTerms& t) {
        t.limits.front_share = 1;
        if (front < 3) t.candidates.resize(1), t.council = 1; // each believes that it is one alone
    })));
}
void planted_two_councils() {
    assert(found(altered([](int front, WardenTerms& t) {
        if (front == 0) t.candidates.resize(1), t.council = 1;
    })));
}
void planted_grants_that_outlast_the_leaders_patience() {
    assert(found(altered([](int, WardenTerms& t) { t.spans.clock_error = -0.4; })));
}
void planted_one_that_counts_its_grant_too_long() {
    assert(found(altered([](int front, WardenTerms& t) { t.spans.grant *= front == 1 ? 4 : 1; }), 19));
}
void planted_keepers_that_take_older_numbers() {
    Planted planted;
    planted.careless_keepers = true;
    bool caught = false; // an act that has been long on its way comes after another holder's
    HallMachine machine;
    machine.checks_fence = false;
    machine.act(1, Act::kDrain, {7});
    caught = machine.act(2, Act::kBack, {3}) != Kept::kRefused;
    HallMachine careful;
    careful.act(1, Act::kDrain, {7});
    assert(caught && careful.act(2, Act::kBack, {3}) == Kept::kRefused &&
           careful.is != HallMachine::Is::kServing);
}
void planted_a_machine_that_two_keep_apart() { // one node surveys another fleet: it knows of no shards
    Planted planted = altered([](int front, WardenTerms& t) {
        if (front == 0)
            t.limits.floor = 0, t.limits.shard_share = 1, t.limits.fleet_share = 1, t.limits.zone_share = 1;
    });
    assert(found(planted));
}

// ---- parcels

void pieces_that_are_lost_are_asked_for() {
    membership::DatagramCodec seal("the secret of a story, thirty-two bytes or more");
    Parcels a("a", "10.0.0.1:1", seal, 1), b("b", "10.0.0.2:1", seal, 1);
    std::string large(50'000, 'x');
    for (std::size_t i = 0; i < large.size(); ++i) large[i] = static_cast<char>(i * 7);
    assert(a.send(kS, "10.0.0.2:1", ParcelKind::kLetter, large));
    Pcg chance(3);
    std::optional<Parcel> got;
    for (Tenths now = kS; now < 4 * kS && !got; now += kS / 20) {
        for (const Sealed& sealed : a.take_out())
            if (chance.unit() > 0.3)
                if (auto parcel = b.hear(now, sealed.bytes)) got = parcel;
        b.step(now);
        for (const Sealed& sealed : b.take_out())
            if (chance.unit() > 0.3) a.hear(now, sealed.bytes);
    }
    assert(got && got->bytes == large && got->from == "a" && b.counts().asked_again > 0 && b.open() == 0);
    assert(!a.send(kS, "x", ParcelKind::kLetter, std::string(1'000'000, 'x')));
}

void room_for_pieces_has_a_bound() {
    membership::DatagramCodec seal("the secret of a story, thirty-two bytes or more");
    Parcels a("a", "10.0.0.1:1", seal, 1), b("b", "10.0.0.2:1", seal, 1);
    for (int i = 0; i < 500; ++i) {
        a.send(kS, "10.0.0.2:1", ParcelKind::kLetter, std::string(3'000, 'x'));
        b.hear(kS, a.take_out().front().bytes); // only the first piece of each
    }
    assert(b.open() <= Parcels::kMostOpen);
    b.step(10 * kS);
    assert(b.open() == 0);
    assert(!b.hear(kS, "a stranger's bytes") && seal.counts().unauthenticated == 1);
}

void a_flood_is_dropped_unread() {
    WardenTerms terms;
    terms.name = "n0", terms.address = "10.0.0.1:7",
    terms.secret = "the secret of a story, thirty-two bytes or more";
    Warden warden(terms, nullptr, kS, kS);
    for (int i = 0; i < 50'000; ++i) warden.hear(kS + i / 100, "10.0.0.9:1", "\x88nothing that is sealed");
    assert(warden.counts().crowded > 40'000 && warden.seals().unauthenticated < 10'000);
    assert(warden.take_effects().empty());
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
        store::SqliteLedger ledger(folder.path + "/l.db");
        ledger.set_term(3), ledger.set_vote(7), ledger.set_life({2, 99, 0}), ledger.remember("n1", {4, 5, 6});
        ledger.append(1, {{3, 1, "one"}, {3, 1, "two"}, {3, 1, std::string("\0b", 2)}});
        ledger.truncate(3), ledger.append(3, {{4, 1, "three"}, {4, 1, "four"}});
        ledger.set_voters({"n0", "n2"});
        ledger.put_snapshot({2, 3, 1, "voters", "state"}, 1);
        bool second = false; // two processes on one ledger would each believe that it is theirs
        try {
            store::SqliteLedger other(folder.path + "/l.db");
        } catch (const LedgerError&) { second = true; }
        assert(second);
    }
    store::SqliteLedger ledger(folder.path + "/l.db");
    const LedgerKept kept = ledger.load();
    assert(kept.term == 3 && kept.vote == 7 && kept.first == 2 && kept.entries.size() == 3);
    assert(kept.entries[0].bytes == "two" && kept.entries[2].bytes == "four" &&
           kept.snapshot->state == "state");
    assert((ledger.life() == Life{2, 99, 0}) && (ledger.lives()["n1"] == Life{4, 5, 6}));
    assert(ledger.voters() == std::vector<std::string>({"n0", "n2"}));
}

void a_ledger_whose_writer_dies_is_whole() {
    const Folder folder;
    for (int round = 0; round < 5; ++round) {
        int ends[2];
        assert(pipe(ends) == 0);
        const pid_t writer = fork();
        if (writer == 0) {
            store::SqliteLedger ledger(folder.path + "/l.db");
            std::uint64_t next = ledger.load().entries.size() + 1;
            for (;; ++next) {
                ledger.append(next, {{next, 1, std::string(2000, 'x')}});
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
        store::SqliteLedger ledger(folder.path + "/l.db");
        const LedgerKept kept = ledger.load();
        assert(kept.entries.size() >= told && kept.entries.size() <= told + 1); // what was said is there
        for (std::size_t i = 0; i < kept.entries.size(); ++i) assert(kept.entries[i].term == i + 1);
    }
}

void a_full_ledger_says_so_and_stays_whole() {
    const Folder folder;
    std::size_t written = 0;
    {
        store::SqliteLedger ledger(folder.path + "/l.db", {}, 40);
        try {
            for (;; ++written) ledger.append(written + 1, {{1, 1, std::string(3000, 'x')}});
        } catch (const LedgerError&) {}
        assert(written > 5 && ledger.load().entries.size() == written);
    }
    store::SqliteLedger ledger(folder.path + "/l.db");
    ledger.append(written + 1, {{1, 1, "room again"}});
    assert(ledger.load().entries.size() == written + 1);
}

void a_witness_tells_a_copy_from_the_ledger() {
    const Folder folder;
    const std::string file = folder.path + "/l.db", witness = folder.path + "/witness";
    { // new: nothing vouches, until others have
        store::SqliteLedger ledger(file, witness);
        assert(!ledger.proven());
        ledger.set_term(1), ledger.vouch(), ledger.set_term(2);
    }
    std::filesystem::copy_file(file, folder.path + "/copy");
    {
        store::SqliteLedger ledger(file, witness);
        assert(ledger.proven());
        ledger.set_term(3);
    }
    std::filesystem::copy_file(folder.path + "/copy", file,
                               std::filesystem::copy_options::overwrite_existing);
    {
        store::SqliteLedger ledger(file, witness);
        assert(!ledger.proven());
        ledger.set_term(4); // and what it writes does not make it so
    }
    store::SqliteLedger ledger(file, witness);
    assert(!ledger.proven());
}

void a_spoilt_ledger_is_not_used() {
    const Folder folder;
    { store::SqliteLedger ledger(folder.path + "/l.db"); }
    {
        std::FILE* file = std::fopen((folder.path + "/l.db").c_str(), "r+");
        std::fseek(file, 0, SEEK_SET);
        std::fputs("not a ledger at all", file);
        std::fclose(file);
    }
    bool refused = false;
    try {
        store::SqliteLedger ledger(folder.path + "/l.db");
    } catch (const LedgerError&) { refused = true; }
    assert(refused);
}

void an_evening_is_drawn_from_its_log() {
    std::istringstream log(
        "x info turn machine=\"s<0\" state=\"draining\" holder=\"n1\" fence=\"1\" at_ms=\"1000\" why=\"\"\n"
        "nothing of ours\n"
        "x info turn machine=\"s<0\" state=\"out\" holder=\"n1\" fence=\"1\" at_ms=\"2000\" why=\"\"\n"
        "x info turn machine=\"s<0\" state=\"done\" holder=\"-\" fence=\"1\" at_ms=\"4000\" why=\"\"\n");
    const std::string drawn = chart_of(log);
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

} // namespace ivyrill::rota

int main(int count, char** arguments) { return ivyrill::run_test(ivyrill::rota::kTests, count, arguments); }
