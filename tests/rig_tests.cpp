// Several processes of the program with faults between them: front nodes as they are served, on loopback,
// with searches of every request class all the while. `rig_tests NAME`. Afterwards the history is judged:
// the rules, one holder a turn, numbers that only grow, no shard under its number.
#include "fake_host.hpp"
#include "lab/rig.hpp"

#include <cmath>
#include <cstdio>
#include <deque>

namespace ivyrill::lab {

namespace {

constexpr Tenths kS = kTenthsPerSecond;

struct Evening : Rig {
    static RigPlan plan(std::size_t council, Tenths work) {
        RigPlan made;
        made.program = IVYRILL_PROGRAM;
        made.council = council, made.work = work;
        return made;
    }
    explicit Evening(std::size_t council = 3, Tenths work = kS / 2) : Rig(plan(council, work)) {
        for (int i = 0; i < 5; ++i) assert(ready(i));
        assert(await([this] {
            const auto shown = show(0);
            return shown.is_object() && shown["leader"] != "" && shown["machines"] >= 17;
        }));
        start_clients(3, 150);
    }
    int leader(int asked = 0) const {
        const auto shown = show(asked);
        return !shown.is_object() || shown["leader"] == "" ? -1 : shown["leader"].get<std::string>()[1] - '0';
    }
    std::string turn(int asked, const std::string& machine, const char* field) const {
        const auto shown = show(asked);
        if (shown.is_object())
            for (const auto& turn : shown["turns"])
                if (turn["machine"] == machine) return turn[field].get<std::string>();
        return {};
    }
    void pass(Tenths span) const {
        const Tenths end = now() + span;
        assert(await([&] { return now() >= end; }));
    }
    void ends_well(int asked, bool every_search = true) {
        assert(await([&] { return evening_over(asked); }, 40'000));
        const SearchCounts seen = stop_clients();
        assert(seen.asked > 100 && (!every_search || seen.delivered > seen.asked * 8 / 10));
        const auto wrong = judge();
        for (const std::string& what : wrong) std::printf("%s\n", what.c_str());
        assert(wrong.empty() && under_floor() == 0);
    }
};

void an_evening_of_processes() {
    Evening rig;
    assert(rig.work(1, {"add", "s0", "s1", "s2", "s3", "n1", "n4"}).first == 0);
    const auto [status, plan] = rig.work(2, {"plan"});
    assert(status == 0 && plan.find("first come, first served") != std::string::npos);
    rig.ends_well(0);
    assert(rig.turns_done() == 6);
    const auto [drawn, picture] = rig.work(0, {"chart", rig.folder() + "/n0/log"});
    assert(drawn == 0 && picture.find("<svg") != std::string::npos &&
           picture.find(">s3<") != std::string::npos);
    assert(rig.work(0, {"explain", "s0"}).second.find("against its going") != std::string::npos);
}

void the_holder_is_stalled_past_its_grant() {
    Evening rig(5, 4 * kS);
    assert(rig.work(0, {"add", "s0"}).first == 0);
    assert(rig.await([&] { return rig.turn(0, "s0", "state") == "out"; }));
    const std::string held_by = rig.turn(0, "s0", "holder");
    const int holder = held_by[1] - '0', other = (holder + 1) % 5;
    rig.stall(holder, true);
    assert(rig.await([&] {
        const std::string now_by = rig.turn(other, "s0", "holder");
        return !now_by.empty() && now_by != held_by;
    }));
    rig.stall(holder, false);
    rig.ends_well(other);
}

void the_leader_is_killed_and_comes_again() {
    Evening rig;
    assert(rig.work(0, {"add", "s0", "s1", "s2", "s5"}).first == 0);
    assert(rig.await([&] { return rig.turns_done() >= 1; }));
    const int leader = std::max(0, rig.leader());
    rig.kill(leader);
    const int other = (leader + 1) % 5;
    assert(rig.await([&] { return rig.leader(other) >= 0 && rig.leader(other) != leader; }));
    rig.start(leader);
    rig.ends_well(other);
}

void all_are_restarted_in_the_middle_of_a_turn() {
    Evening rig(3, 3 * kS);
    assert(rig.work(0, {"add", "s0", "s1", "s4"}).first == 0);
    assert(rig.await([&] { return rig.turn(0, "s0", "state") == "out"; }));
    rig.stop_clients();
    for (int i = 0; i < 5; ++i) rig.kill(i);
    for (int i = 0; i < 5; ++i) rig.start(i);
    rig.start_clients(3, 150);
    assert(rig.await([&] { return rig.turn(1, "s0", "machine") == "s0"; }));
    rig.ends_well(1);
}

void links_drop_double_and_are_cut() {
    Evening rig(5);
    rig.lose(0.2, 0.1, kS / 50);
    assert(rig.work(0, {"add", "s0", "s1", "s2", "s3", "n3"}).first == 0);
    rig.pass(kS);
    rig.cut({1}, false);
    rig.pass(2 * kS);
    rig.cut({0, 2});
    rig.pass(2 * kS);
    rig.heal();
    rig.ends_well(0);
}

void news_of_a_drain_is_late_at_half_of_the_front_nodes() {
    Evening rig(3, 3 * kS);
    rig.cut_from_world(1, true), rig.cut_from_world(3, true); // discovery and servers are silent to them
    assert(rig.work(0, {"add", "s0", "s1"}).first == 0);
    assert(rig.await([&] { return rig.turn(0, "s0", "state") == "out"; }, 30'000));
    rig.cut_from_world(1, false), rig.cut_from_world(3, false);
    rig.ends_well(0, false); // theirs could not all be answered; none was attempted twice
}

void one_comes_back_without_its_disk_and_one_with_an_old_one() {
    Evening rig;
    rig.keep_copy(2);
    assert(rig.work(0, {"add", "s0", "s1", "s2"}).first == 0);
    assert(rig.await([&] { return rig.turns_done() >= 3; }));
    rig.kill(1);
    rig.lose_disk(1);
    rig.start(1);
    const auto seated = [&](const char* name) {
        const auto shown = rig.show(0);
        return shown.is_object() && shown["voters"].dump().find(name) != std::string::npos &&
               shown["voters"].size() == 3 && shown["leader"] != "";
    };
    assert(rig.await([&] {
        return rig.log_of(0).find("its store was lost or replaced") != std::string::npos ||
               rig.log_of(2).find("its store was lost or replaced") != std::string::npos;
    }));
    assert(rig.await([&] { return seated("n"); }));
    rig.kill(2);
    rig.put_back_copy(2);
    rig.start(2);
    assert(rig.work(0, {"add", "s3", "s4"}).first == 0);
    rig.ends_well(0);
}

void strangers_and_wrong_operators_are_not_heard() {
    Evening rig;
    std::FILE* secret = std::fopen((rig.folder() + "/other").c_str(), "w");
    std::fputs("another secret of thirty-two bytes and more than that", secret);
    std::fclose(secret);
    const auto [status, text] = rig.work(0, {"hold", "--secret", rig.folder() + "/other"});
    assert(status != 0);
    assert(rig.work(0, {"hold", "--why", "the final"}, "h1").first == 0);
    assert(rig.work(1, {"add", "nobody"}).first != 0);
    assert(rig.work(1, {"add", "s0"}).first == 0);
    assert(rig.work(2, {"show"}).second.find("held: the final") != std::string::npos);
    assert(rig.work(0, {"resume"}).first == 0);
    rig.ends_well(0);
}

void a_machine_that_does_not_come_back_stops_the_evening() {
    Evening rig;
    rig.with_machine("s0", [](HallMachine& machine) { machine.never_back = true; });
    assert(rig.work(0, {"add", "s0", "s3", "s4", "s5"}).first == 0);
    assert(rig.await(
        [&] {
            const auto shown = rig.show(1);
            return shown.is_object() && shown["held"] == true;
        },
        30'000));
    rig.with_machine("s0", [](HallMachine& machine) { machine.never_back = false; });
    assert(rig.work(0, {"resume"}).first == 0);
    rig.ends_well(0);
}

// Rule 4 as the sum of what processes send that do not talk: a server that starts cold under a load whose
// even share would make it fall, and some of the front nodes restarted meanwhile.
void cold_server_is_spared_by(int processes) {
    RigPlan plan;
    plan.program = IVYRILL_PROGRAM;
    plan.fronts = processes, plan.servers = 3, plan.shards = 1, plan.zones = 1;
    plan.with_rota = plan.talks = false;
    plan.service = kS / 20, plan.warm_up_time = 4 * kS, plan.cold_capacity_ratio = 0.2,
    plan.overload_factor = 2;
    Rig rig(plan);
    for (int i = 0; i < processes; ++i) assert(rig.ready(i));
    rig.start_clients(20, 300);
    assert(rig.await([&] { return rig.counts().asked > 900; })); // each has learnt what a part takes
    rig.with_machine("s0", [&](HallMachine& machine) {
        machine.is = HallMachine::Is::kStarting, machine.since = rig.now();
    });
    Tenths start = 0;
    assert(rig.await([&] {
        for (const RigEvent& event : rig.history())
            if (event.what == RigEvent::What::kBack && event.name == "s0") start = event.at;
        return start > 0;
    }));
    for (int i = 0; i < processes / 10; ++i) rig.kill(i), rig.start(i);
    assert(rig.await([&] { return rig.now() >= start + plan.warm_up_time; }));
    rig.stop_clients();
    std::deque<Tenths> sent;
    std::size_t all = 0;
    for (const RigEvent& event : rig.history()) {
        if (event.what != RigEvent::What::kAttempt || event.detail != "s0" || event.at < start) continue;
        if (event.at >= start + plan.warm_up_time) break;
        sent.push_back(event.at), ++all;
        while (sent.front() <= event.at - kS) sent.pop_front();
        const double rise =
            (1 - plan.cold_capacity_ratio) * static_cast<double>(event.at - start) / plan.warm_up_time;
        const double most =
            2 * plan.overload_factor * (plan.cold_capacity_ratio + rise) * kS / plan.service; // two cores
        if (sent.size() > most + 2 * std::sqrt(most) + 2)
            std::cerr << sent.size() << " of " << most << " after " << (event.at - start) / 10 << " ms\n";
        assert(sent.size() <= most + 2 * std::sqrt(most) + 2);
    }
    const SearchCounts seen = rig.counts();
    assert(all > 5 && seen.lost == 0 && seen.delivered > seen.asked / 2);
}
void cold_server_is_spared_by_2_processes() { cold_server_is_spared_by(2); }
void cold_server_is_spared_by_20_processes() { cold_server_is_spared_by(20); }
void cold_server_is_spared_by_30_processes() { cold_server_is_spared_by(30); }

const Test kTests[] = {
    TEST(cold_server_is_spared_by_2_processes),
    TEST(cold_server_is_spared_by_20_processes),
    TEST(cold_server_is_spared_by_30_processes),
    TEST(an_evening_of_processes),
    TEST(the_holder_is_stalled_past_its_grant),
    TEST(the_leader_is_killed_and_comes_again),
    TEST(all_are_restarted_in_the_middle_of_a_turn),
    TEST(links_drop_double_and_are_cut),
    TEST(news_of_a_drain_is_late_at_half_of_the_front_nodes),
    TEST(one_comes_back_without_its_disk_and_one_with_an_old_one),
    TEST(strangers_and_wrong_operators_are_not_heard),
    TEST(a_machine_that_does_not_come_back_stops_the_evening),
};

} // namespace

} // namespace ivyrill::lab

int main(int count, char** arguments) { return ivyrill::run_test(ivyrill::lab::kTests, count, arguments); }
