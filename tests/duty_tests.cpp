// The parts of the duties: who may act and when, what the answers to orders mean, when servers change their
// part, and what all nodes ask for together. Clock and reports are handed in.
#define BOOST_TEST_MODULE duties
#include "control/http_order_client.hpp"
#include "duties/demand_aggregator.hpp"
#include "duties/duty.hpp"
#include "duties/lease.hpp"
#include "duties/report_freshness.hpp"
#include "duties/stage_controller.hpp"
#include "duties/stage_order_tracker.hpp"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <set>

namespace {

using namespace ivyrill;
using namespace ivyrill::duties;
using model::Stage;

constexpr Tenths kSecond = kTenthsPerSecond, kStart = 1'000'000;
constexpr Lease::Timing kTiming{3 * kSecond, kSecond, kSecond / 2};

// ---- a service's servers, four zones in turn

struct Servers {
    std::vector<StagedServer> list;
    explicit Servers(int readers, int runners) {
        for (int i = 0; i < readers + runners; ++i) {
            StagedServer server;
            server.id = "s" + std::to_string(i), server.zone = std::string(1, static_cast<char>('a' + i % 4));
            server.stage = i < readers ? Stage::kPrefill : Stage::kDecode;
            server.reported = true, server.slots = 48;
            list.push_back(server);
        }
    }
    void load(Stage stage, double running, double waiting = 0) {
        for (StagedServer& server : list)
            if (server.stage == stage) server.running = running, server.waiting = waiting;
    }
    int count(Stage stage) const {
        return static_cast<int>(std::ranges::count(list, stage, &StagedServer::stage));
    }
    void carry_out(const std::vector<StageChange>& changes) {
        for (const StageChange& change : changes)
            std::ranges::find(list, change.instance, &StagedServer::id)->stage = change.to;
    }
};

struct Loop {
    StageController controller{kSecond / 2};
    Tenths now = kStart;
    model::ServiceDemand demand{"model", 100, 0, 2, 0, 0.2};
    int orders = 0, reversals = 0;
    Stage last = Stage::kNone; // that was ordered
    // Looks for so long; what is ordered is done at once.
    void run(Servers& servers, Tenths span, const std::function<void(Servers&)>& load = {}) {
        for (const Tenths end = now + span; now < end; now += StageController::kInterval) {
            if (load) load(servers);
            const auto changes = controller.plan(servers.list, demand, now);
            orders += static_cast<int>(changes.size());
            for (const StageChange& change : changes)
                if (std::exchange(last, change.to) != change.to) ++reversals;
            servers.carry_out(changes);
        }
    }
};

StageOrder an_order() { return {"s1", "10.0.0.9:80", Stage::kPrefill, 7, 3}; }

model::Load report(Stage stage, std::int64_t orders_accepted, bool changing = false) {
    model::Load load;
    load.instance = "s1", load.stage = stage, load.orders_accepted = orders_accepted,
    load.changing = changing;
    return load;
}

} // namespace

// ---- the lease

BOOST_AUTO_TEST_CASE(a_holder_waits_for_the_lease_of_whoever_held_before) {
    Lease lease(kTiming, kStart - 10 * kSecond);
    BOOST_TEST(!lease.may_act(kStart, kStart));
    lease.begin(false, kStart);
    BOOST_TEST(!lease.may_act(kStart + kTiming.duration - 1, kStart + kTiming.duration - 1));
    BOOST_TEST(lease.may_act(kStart + kTiming.duration, kStart + kTiming.duration));
}

BOOST_AUTO_TEST_CASE(a_holder_acts_only_so_long_after_its_last_certain_contact) {
    Lease lease(kTiming, kStart - 10 * kSecond);
    lease.begin(true, kStart - kSecond);
    BOOST_TEST(lease.may_act(kStart, kStart + kTiming.max_contact_age));
    BOOST_TEST(!lease.may_act(kStart, kStart + kTiming.max_contact_age + 1)); // e.g. it was frozen
    BOOST_TEST(!lease.may_act(std::nullopt, kStart));
}

// An order of the former holder may still be on its way: the model found one that came in after the next
// one's.
BOOST_AUTO_TEST_CASE(a_planned_hand_over_waits_only_for_what_is_on_its_way) {
    Lease lease(kTiming, kStart - 10 * kSecond);
    lease.begin(true, kStart);
    const Tenths from = kStart + kTiming.max_in_flight;
    BOOST_TEST(!lease.may_act(from - 1, from - 1));
    BOOST_TEST(lease.may_act(from, from));
}

// Else two holders would take turns within a lease.
BOOST_AUTO_TEST_CASE(whoever_held_lately_waits_even_where_it_is_handed_over) {
    Lease lease(kTiming, kStart - 10 * kSecond);
    lease.begin(true, kStart);
    lease.end(kStart + kSecond);
    lease.begin(true, kStart + 2 * kSecond);
    BOOST_TEST(!lease.may_act(kStart + 2 * kSecond, kStart + 2 * kSecond));
    const Tenths later = kStart + kSecond + kTiming.duration + kTiming.max_in_flight;
    BOOST_TEST(lease.may_act(later, later));
    Lease of_new_process(kTiming, kStart); // the one before it may have held until just now
    of_new_process.begin(true, kStart + kSecond);
    BOOST_TEST(!of_new_process.may_act(kStart + kSecond, kStart + kSecond));
}

// Looked at after what is on its way is over, so that the own wait alone holds it back.
BOOST_AUTO_TEST_CASE(whoever_held_lately_or_has_just_started_waits_longer_than_a_hand_over_asks) {
    Lease lease(kTiming, kStart - 10 * kSecond);
    lease.begin(true, kStart);
    lease.end(kStart + kSecond);
    lease.begin(true, kStart + 2 * kSecond);
    const Tenths returns = kStart + kSecond + kTiming.duration + kTiming.max_in_flight;
    BOOST_TEST(!lease.may_act(returns - 1, returns - 1));
    BOOST_TEST(lease.may_act(returns, returns));
    Lease of_new_process(kTiming, kStart);
    of_new_process.begin(true, kStart + kSecond);
    const Tenths first = kStart + kTiming.duration + kTiming.max_in_flight;
    BOOST_TEST(!of_new_process.may_act(first - 1, first - 1));
    BOOST_TEST(of_new_process.may_act(first, first));
}

BOOST_AUTO_TEST_CASE(whoever_did_not_hold_does_not_wait_after_a_lost_election) {
    Lease lease(kTiming, kStart - 10 * kSecond);
    lease.end(kStart);
    lease.begin(true, kStart);
    const Tenths from = kStart + kTiming.max_in_flight;
    BOOST_TEST(lease.may_act(from, from));
}

BOOST_AUTO_TEST_CASE(a_release_counts_for_the_next_term_alone) {
    BOOST_TEST(was_handed_over(PartitionState{4}, 5));
    BOOST_TEST(!was_handed_over(PartitionState{4}, 6)); // somebody held the term between
    BOOST_TEST(!was_handed_over(PartitionState{4}, 4));
    BOOST_TEST(!was_handed_over(PartitionState{}, 1));
}

BOOST_AUTO_TEST_CASE(duties_are_spread_over_all_parts) {
    std::set<std::size_t> parts;
    for (int i = 0; i < 60; ++i)
        parts.insert(partition_of({DutyKind::kServerStages, "s" + std::to_string(i)}));
    BOOST_TEST(parts.size() == kDutyPartitions);
}

// ---- orders

BOOST_AUTO_TEST_CASE(an_order_is_under_way_until_the_server_reports_its_stage) {
    StageOrderTracker orders;
    orders.sent(an_order(), kStart);
    BOOST_TEST((orders.pending_stage("s1", kStart) == Stage::kPrefill));
    orders.answered("s1", OrderOutcome::kAccepted, kStart);
    orders.reported(report(Stage::kDecode, 4, true), kStart + kSecond);
    BOOST_TEST((orders.pending_stage("s1", kStart + kSecond) == Stage::kPrefill));
    orders.reported(report(Stage::kPrefill, 4), kStart + 2 * kSecond);
    BOOST_TEST(!orders.pending_stage("s1", kStart + 2 * kSecond));
    BOOST_TEST(!orders.is_backing_off("s1", kStart + 2 * kSecond));
}

// It may have been taken: nothing is sent again before a report tells.
BOOST_AUTO_TEST_CASE(an_order_without_an_answer_is_neither_repeated_nor_forgotten) {
    StageOrderTracker orders;
    orders.sent(an_order(), kStart);
    orders.answered("s1", OrderOutcome::kUnanswered, kStart + 6000);
    orders.reported(report(Stage::kDecode, 3), kStart + kSecond); // from before it, perhaps
    BOOST_TEST(orders.pending_stage("s1", kStart + kSecond).has_value());
    orders.reported(report(Stage::kDecode, 3), kStart + 3 * kSecond); // it was not taken
    BOOST_TEST(!orders.pending_stage("s1", kStart + 3 * kSecond));
    BOOST_TEST(orders.is_backing_off("s1", kStart + 3 * kSecond));
    BOOST_TEST(!orders.is_backing_off("s1", kStart + 10 * kSecond));
}

BOOST_AUTO_TEST_CASE(an_order_of_which_nothing_is_heard_ends_by_itself) {
    StageOrderTracker orders;
    orders.sent(an_order(), kStart);
    orders.answered("s1", OrderOutcome::kAccepted, kStart);
    BOOST_TEST(orders.pending_stage("s1", kStart + 14 * kSecond).has_value());
    BOOST_TEST(!orders.pending_stage("s1", kStart + 16 * kSecond).has_value());
}

BOOST_AUTO_TEST_CASE(an_order_that_is_turned_down_leaves_the_server_alone_for_a_while) {
    for (const int status : {409, 412, 421, 400, 500, 302}) {
        StageOrderTracker orders;
        orders.sent(an_order(), kStart);
        orders.answered("s1", outcome_of_status(status), kStart);
        BOOST_TEST(!orders.pending_stage("s1", kStart), status);
        BOOST_TEST(orders.is_backing_off("s1", kStart), status);
        BOOST_TEST(!orders.is_backing_off("s1", kStart + 6 * kSecond), status);
    }
}

BOOST_AUTO_TEST_CASE(whoever_is_fenced_off_acts_no_more_under_that_fence) {
    StageOrderTracker orders;
    orders.sent(an_order(), kStart);
    orders.answered("s1", OrderOutcome::kFencedOff, kStart);
    BOOST_TEST(orders.is_fenced_off(6));
    BOOST_TEST(orders.is_fenced_off(7));
    BOOST_TEST(!orders.is_fenced_off(8));
}

BOOST_AUTO_TEST_CASE(a_late_refusal_of_an_older_fence_does_not_lift_that_of_a_newer) {
    StageOrderTracker orders;
    StageOrder newer = an_order(), older = an_order();
    newer.instance = "s2", newer.fence = older.fence + 2;
    orders.sent(newer, kStart), orders.sent(older, kStart);
    orders.answered("s2", OrderOutcome::kFencedOff, kStart);
    orders.answered("s1", OrderOutcome::kFencedOff, kStart);
    BOOST_TEST(orders.is_fenced_off(newer.fence));
}

BOOST_AUTO_TEST_CASE(an_answer_to_no_order_changes_nothing) {
    StageOrderTracker orders;
    orders.answered("s1", OrderOutcome::kFencedOff, kStart);
    BOOST_TEST(!orders.is_fenced_off(1));
    BOOST_TEST(!orders.is_backing_off("s1", kStart));
}

BOOST_AUTO_TEST_CASE(an_order_names_the_server_the_fence_and_what_it_should_have_taken) {
    const std::string request = control::order_request(an_order(), "core-1");
    for (const char* part :
         {"POST /order HTTP/1.1\r\n", "target-instance: s1\r\n", R"("op":"stage")", R"("stage":"prefill")",
          R"("holder":"core-1")", R"("fenceToken":7)", R"("expectedCount":3)"})
        BOOST_TEST(request.find(part) != std::string::npos, part);
}

// ---- the controller

BOOST_AUTO_TEST_CASE(runners_become_readers_while_readers_are_short_and_runners_are_not) {
    Servers servers(3, 9);
    Loop loop;
    loop.run(servers, 30 * kSecond, [](Servers& here) {
        here.load(Stage::kPrefill, 1, here.count(Stage::kPrefill) < 7 ? 2 : 0);
        if (here.count(Stage::kPrefill) >= 7) here.load(Stage::kPrefill, 0);
    });
    BOOST_TEST(servers.count(Stage::kPrefill) == 7);
    BOOST_TEST(loop.orders == 4); // no more than were wanted
}

BOOST_AUTO_TEST_CASE(readers_become_runners_while_runners_are_short) {
    Servers servers(10, 2);
    Loop loop;
    loop.run(servers, 30 * kSecond, [](Servers& here) {
        here.load(Stage::kDecode, here.count(Stage::kDecode) < 5 ? 48 : 10, 0);
        here.load(Stage::kPrefill, 0);
    });
    BOOST_TEST(servers.count(Stage::kDecode) >= 5);
    BOOST_TEST(servers.count(Stage::kDecode) <= 6); // in steps of two
}

BOOST_AUTO_TEST_CASE(nothing_changes_while_neither_is_short) {
    Servers servers(3, 9);
    Loop loop;
    loop.run(servers, 60 * kSecond, [](Servers& here) { here.load(Stage::kDecode, 12); });
    BOOST_TEST(loop.orders == 0);
}

BOOST_AUTO_TEST_CASE(nothing_changes_without_reports_or_demand) {
    Servers servers(3, 9);
    servers.load(Stage::kPrefill, 1, 9);
    for (StagedServer& server : servers.list) server.reported = server.id < "s5"; // too few tell
    Loop loop;
    loop.run(servers, 20 * kSecond);
    BOOST_TEST(loop.orders == 0);
    for (StagedServer& server : servers.list) server.reported = true;
    for (Tenths at = kStart; at < kStart + 20 * kSecond; at += StageController::kInterval)
        BOOST_TEST(loop.controller.plan(servers.list, std::nullopt, at).empty());
    loop.run(servers, 20 * kSecond);
    BOOST_TEST(loop.orders > 0);
}

// What links or slots would be asked for once all is read by readers counts before a runner is given away.
BOOST_AUTO_TEST_CASE(runners_stay_as_many_as_moves_and_answers_ask_for) {
    Loop loop;
    loop.demand.links_required = 1.5;
    Servers servers(3, 9);
    loop.run(servers, 60 * kSecond, [](Servers& here) { here.load(Stage::kPrefill, 1, 3); });
    BOOST_TEST(servers.count(Stage::kDecode) >= 5); // 1.5 links at 0.3 of their time
    loop.demand.links_required = 0, loop.demand.answers = 90;
    Servers others(3, 9);
    Loop fresh;
    fresh.demand = loop.demand;
    fresh.run(others, 60 * kSecond, [](Servers& here) { here.load(Stage::kPrefill, 1, 3); });
    BOOST_TEST(others.count(Stage::kDecode) >= 6); // 90 answers in 48 slots each, at 0.3
}

BOOST_AUTO_TEST_CASE(each_stage_keeps_two_and_what_outlives_the_loss_of_a_zone) {
    Servers servers(3, 9);
    Loop loop;
    loop.demand = {"model", 100, 50, 0, 0, 0};
    loop.run(servers, 120 * kSecond, [](Servers& here) { here.load(Stage::kPrefill, 1, 9); });
    BOOST_TEST(servers.count(Stage::kDecode) >= 2);
    std::set<std::string> zones;
    for (const StagedServer& server : servers.list)
        if (server.stage == Stage::kDecode) zones.insert(server.zone);
    BOOST_TEST(zones.size() >= 2U);
}

// A burst that turns, and turns back within ten seconds: steps may go on one way, but none is taken back at
// once.
BOOST_AUTO_TEST_CASE(a_load_that_turns_every_five_seconds_does_not_make_servers_flap) {
    Servers servers(6, 6);
    Loop loop;
    loop.run(servers, 60 * kSecond, [&](Servers& here) {
        const bool readers = (loop.now - kStart) / (5 * kSecond) % 2 == 0;
        here.load(Stage::kPrefill, readers ? 1 : 0, readers ? 2 : 0);
        here.load(Stage::kDecode, readers ? 0 : 48);
    });
    BOOST_TEST(loop.reversals <= 6); // in twelve turns
    BOOST_TEST(loop.orders <= 24);   // in steps of two
}

BOOST_AUTO_TEST_CASE(what_is_turned_away_counts_as_readers_that_are_short) {
    Servers servers(3, 9);
    Loop loop;
    loop.demand.rejected = 10;
    loop.run(servers, 5 * kSecond);
    BOOST_TEST(loop.orders > 0);
}

// ---- demand

BOOST_AUTO_TEST_CASE(demand_is_added_up_over_nodes_and_peers_and_forgotten) {
    DemandAggregator aggregator;
    aggregator.update_from_node("edge-1", {{"model", 10, 1, 2, 0.5, 1}}, kStart);
    aggregator.update_from_node("edge-1", {{"model", 20, 2, 3, 0.5, 1}},
                                kStart); // the newest of a node counts
    aggregator.update_from_node("edge-2", {{"model", 5, 0, 1, 0.25, 0.5}, {"other", 1, 0, 0, 0, 0}}, kStart);
    aggregator.update_from_peer("core-2", {{"model", 100, 10, 7, 1, 2}}, kStart + kSecond);
    const auto all = aggregator.total("model", kStart + kSecond);
    BOOST_REQUIRE(all.has_value());
    BOOST_TEST((*all == model::ServiceDemand{"model", 125, 12, 11, 1.75, 3.5}));
    BOOST_TEST(aggregator.local(kStart).size() == 2U);
    BOOST_TEST(!aggregator.total("unknown", kStart).has_value());
    const auto later =
        aggregator.total("model", kStart + 7 * kSecond / 2); // the nodes here have fallen silent
    BOOST_REQUIRE(later.has_value());
    BOOST_TEST(later->requests == 100);
    BOOST_TEST(!aggregator.total("model", kStart + 5 * kSecond).has_value());
}

// In a fleet of thousands each server is reported on every half minute.
BOOST_AUTO_TEST_CASE(what_counts_as_lately_follows_from_how_often_reports_come) {
    ReportFreshness freshness;
    BOOST_TEST(!freshness.is_fresh("s1", kStart));
    freshness.record_report("s1", kStart);
    BOOST_TEST(freshness.is_fresh("s1", kStart + 3 * kSecond));
    BOOST_TEST(!freshness.is_fresh("s1", kStart + 4 * kSecond));
    freshness.record_report("s1", kStart + 26 * kSecond);
    BOOST_TEST(freshness.is_fresh("s1", kStart + 100 * kSecond));
    BOOST_TEST(!freshness.is_fresh("s1", kStart + 106 * kSecond));
    freshness.forget_old(kStart + 150 * kSecond);
    BOOST_TEST(!freshness.is_fresh("s1", kStart + 26 * kSecond));
}
