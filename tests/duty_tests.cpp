// Components of the duties: leases, interpretation of answers to orders, the stage controller, and the
// aggregated demand. Time and reports are supplied by the tests.
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

constexpr Ticks kSecond = kTicksPerSecond, kStart = 1'000'000;
constexpr Lease::Timing kTiming{3 * kSecond, kSecond, kSecond / 2};

// ---- a service's servers, spread over four zones

struct Servers {
    std::vector<StagedServer> list;
    explicit Servers(int prefill, int decode) {
        for (int i = 0; i < prefill + decode; ++i) {
            StagedServer server;
            server.id = "s" + std::to_string(i), server.zone = std::string(1, static_cast<char>('a' + i % 4));
            server.stage = i < prefill ? Stage::kPrefill : Stage::kDecode;
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
    void apply(const std::vector<StageChange>& changes) {
        for (const StageChange& change : changes)
            std::ranges::find(list, change.instance, &StagedServer::id)->stage = change.to;
    }
};

struct ControlLoop {
    StageController controller{kSecond / 2};
    Ticks now = kStart;
    model::ServiceDemand demand{"model", 100, 0, 2, 0, 0.2};
    int orders = 0, reversals = 0;
    Stage last = Stage::kNone; // stage of the last order
    // Runs the controller for `span`; orders take effect immediately.
    void run(Servers& servers, Ticks span, const std::function<void(Servers&)>& load = {}) {
        for (const Ticks end = now + span; now < end; now += StageController::kInterval) {
            if (load) load(servers);
            const auto changes = controller.plan(servers.list, demand, now);
            orders += static_cast<int>(changes.size());
            for (const StageChange& change : changes)
                if (std::exchange(last, change.to) != change.to) ++reversals;
            servers.apply(changes);
        }
    }
};

StageOrder make_order() { return {"s1", "10.0.0.9:80", Stage::kPrefill, 7, 3}; }

model::Load report(Stage stage, std::int64_t orders_accepted, bool changing = false) {
    model::Load load;
    load.instance = "s1", load.stage = stage, load.orders_accepted = orders_accepted,
    load.changing = changing;
    return load;
}

} // namespace

// ---- the lease

BOOST_AUTO_TEST_CASE(holder_waits_for_the_lease_of_the_former_holder) {
    Lease lease(kTiming, kStart - 10 * kSecond);
    BOOST_TEST(!lease.may_act(kStart, kStart));
    lease.begin(false, kStart);
    BOOST_TEST(!lease.may_act(kStart + kTiming.duration - 1, kStart + kTiming.duration - 1));
    BOOST_TEST(lease.may_act(kStart + kTiming.duration, kStart + kTiming.duration));
}

BOOST_AUTO_TEST_CASE(holder_acts_only_within_the_max_contact_age) {
    Lease lease(kTiming, kStart - 10 * kSecond);
    lease.begin(true, kStart - kSecond);
    BOOST_TEST(lease.may_act(kStart, kStart + kTiming.max_contact_age));
    BOOST_TEST(
        !lease.may_act(kStart, kStart + kTiming.max_contact_age + 1)); // e.g. the process was suspended
    BOOST_TEST(!lease.may_act(std::nullopt, kStart));
}

// Regression: an order of the former holder that was still in flight arrived after the first order of the
// next holder.
BOOST_AUTO_TEST_CASE(graceful_handover_waits_only_for_calls_in_flight) {
    Lease lease(kTiming, kStart - 10 * kSecond);
    lease.begin(true, kStart);
    const Ticks may_act_from = kStart + kTiming.max_in_flight;
    BOOST_TEST(!lease.may_act(may_act_from - 1, may_act_from - 1));
    BOOST_TEST(lease.may_act(may_act_from, may_act_from));
}

// Otherwise two holders could alternate within one lease.
BOOST_AUTO_TEST_CASE(former_holder_waits_even_after_a_handover) {
    Lease lease(kTiming, kStart - 10 * kSecond);
    lease.begin(true, kStart);
    lease.end(kStart + kSecond);
    lease.begin(true, kStart + 2 * kSecond);
    BOOST_TEST(!lease.may_act(kStart + 2 * kSecond, kStart + 2 * kSecond));
    const Ticks later = kStart + kSecond + kTiming.duration + kTiming.max_in_flight;
    BOOST_TEST(lease.may_act(later, later));
    Lease new_process_lease(kTiming, kStart); // the previous process may have held the duty until just now
    new_process_lease.begin(true, kStart + kSecond);
    BOOST_TEST(!new_process_lease.may_act(kStart + kSecond, kStart + kSecond));
}

// Checked after the time for calls in flight has passed, so that only the node's own waiting time blocks it.
BOOST_AUTO_TEST_CASE(former_holder_or_new_process_waits_longer_than_a_handover_requires) {
    Lease lease(kTiming, kStart - 10 * kSecond);
    lease.begin(true, kStart);
    lease.end(kStart + kSecond);
    lease.begin(true, kStart + 2 * kSecond);
    const Ticks may_act_from = kStart + kSecond + kTiming.duration + kTiming.max_in_flight;
    BOOST_TEST(!lease.may_act(may_act_from - 1, may_act_from - 1));
    BOOST_TEST(lease.may_act(may_act_from, may_act_from));
    Lease new_process_lease(kTiming, kStart);
    new_process_lease.begin(true, kStart + kSecond);
    const Ticks first = kStart + kTiming.duration + kTiming.max_in_flight;
    BOOST_TEST(!new_process_lease.may_act(first - 1, first - 1));
    BOOST_TEST(new_process_lease.may_act(first, first));
}

BOOST_AUTO_TEST_CASE(node_that_did_not_hold_does_not_wait_after_a_lost_election) {
    Lease lease(kTiming, kStart - 10 * kSecond);
    lease.end(kStart);
    lease.begin(true, kStart);
    const Ticks may_act_from = kStart + kTiming.max_in_flight;
    BOOST_TEST(lease.may_act(may_act_from, may_act_from));
}

BOOST_AUTO_TEST_CASE(release_applies_to_the_next_term_only) {
    BOOST_TEST(was_handed_over(PartitionState{4}, 5));
    BOOST_TEST(!was_handed_over(PartitionState{4}, 6)); // another node held the term between
    BOOST_TEST(!was_handed_over(PartitionState{4}, 4));
    BOOST_TEST(!was_handed_over(PartitionState{}, 1));
}

BOOST_AUTO_TEST_CASE(duties_are_spread_over_all_partitions) {
    std::set<std::size_t> parts;
    for (int i = 0; i < 60; ++i)
        parts.insert(partition_of({DutyKind::kServerStages, "s" + std::to_string(i)}));
    BOOST_TEST(parts.size() == kDutyPartitions);
}

// ---- orders

BOOST_AUTO_TEST_CASE(order_is_pending_until_the_server_reports_its_stage) {
    StageOrderTracker orders;
    orders.sent(make_order(), kStart);
    BOOST_TEST((orders.pending_stage("s1", kStart) == Stage::kPrefill));
    orders.answered("s1", OrderOutcome::kAccepted, kStart);
    orders.reported(report(Stage::kDecode, 4, true), kStart + kSecond);
    BOOST_TEST((orders.pending_stage("s1", kStart + kSecond) == Stage::kPrefill));
    orders.reported(report(Stage::kPrefill, 4), kStart + 2 * kSecond);
    BOOST_TEST(!orders.pending_stage("s1", kStart + 2 * kSecond));
    BOOST_TEST(!orders.is_backing_off("s1", kStart + 2 * kSecond));
}

// The order may have been accepted: nothing is resent before a report shows the outcome.
BOOST_AUTO_TEST_CASE(unanswered_order_is_neither_resent_nor_dropped) {
    StageOrderTracker orders;
    orders.sent(make_order(), kStart);
    orders.answered("s1", OrderOutcome::kUnanswered, kStart + 6000);
    orders.reported(report(Stage::kDecode, 3), kStart + kSecond); // possibly from before the order
    BOOST_TEST(orders.pending_stage("s1", kStart + kSecond).has_value());
    orders.reported(report(Stage::kDecode, 3), kStart + 3 * kSecond); // not accepted
    BOOST_TEST(!orders.pending_stage("s1", kStart + 3 * kSecond));
    BOOST_TEST(orders.is_backing_off("s1", kStart + 3 * kSecond));
    BOOST_TEST(!orders.is_backing_off("s1", kStart + 10 * kSecond));
}

BOOST_AUTO_TEST_CASE(order_without_reports_times_out) {
    StageOrderTracker orders;
    orders.sent(make_order(), kStart);
    orders.answered("s1", OrderOutcome::kAccepted, kStart);
    BOOST_TEST(orders.pending_stage("s1", kStart + 14 * kSecond).has_value());
    BOOST_TEST(!orders.pending_stage("s1", kStart + 16 * kSecond).has_value());
}

BOOST_AUTO_TEST_CASE(refused_order_causes_a_backoff) {
    for (const int status : {409, 412, 421, 400, 500, 302}) {
        StageOrderTracker orders;
        orders.sent(make_order(), kStart);
        orders.answered("s1", outcome_of_status(status), kStart);
        BOOST_TEST(!orders.pending_stage("s1", kStart), status);
        BOOST_TEST(orders.is_backing_off("s1", kStart), status);
        BOOST_TEST(!orders.is_backing_off("s1", kStart + 6 * kSecond), status);
    }
}

BOOST_AUTO_TEST_CASE(fenced_off_holder_stops_acting_under_that_fence) {
    StageOrderTracker orders;
    orders.sent(make_order(), kStart);
    orders.answered("s1", OrderOutcome::kFencedOff, kStart);
    BOOST_TEST(orders.is_fenced_off(6));
    BOOST_TEST(orders.is_fenced_off(7));
    BOOST_TEST(!orders.is_fenced_off(8));
}

BOOST_AUTO_TEST_CASE(late_refusal_of_an_older_fence_keeps_the_newer_one_refused) {
    StageOrderTracker orders;
    StageOrder newer = make_order(), older = make_order();
    newer.instance = "s2", newer.fence = older.fence + 2;
    orders.sent(newer, kStart), orders.sent(older, kStart);
    orders.answered("s2", OrderOutcome::kFencedOff, kStart);
    orders.answered("s1", OrderOutcome::kFencedOff, kStart);
    BOOST_TEST(orders.is_fenced_off(newer.fence));
}

BOOST_AUTO_TEST_CASE(answer_without_an_order_changes_nothing) {
    StageOrderTracker orders;
    orders.answered("s1", OrderOutcome::kFencedOff, kStart);
    BOOST_TEST(!orders.is_fenced_off(1));
    BOOST_TEST(!orders.is_backing_off("s1", kStart));
}

BOOST_AUTO_TEST_CASE(order_request_contains_target_fence_and_expected_count) {
    const std::string request = control::order_request(make_order(), "core-1");
    for (const char* part :
         {"POST /order HTTP/1.1\r\n", "target-instance: s1\r\n", R"("op":"stage")", R"("stage":"prefill")",
          R"("holder":"core-1")", R"("fenceToken":7)", R"("expectedCount":3)"})
        BOOST_TEST(request.find(part) != std::string::npos, part);
}

// ---- the controller

BOOST_AUTO_TEST_CASE(decode_servers_become_prefill_servers_on_prefill_shortage) {
    Servers servers(3, 9);
    ControlLoop loop;
    loop.run(servers, 30 * kSecond, [](Servers& pool) {
        pool.load(Stage::kPrefill, 1, pool.count(Stage::kPrefill) < 7 ? 2 : 0);
        if (pool.count(Stage::kPrefill) >= 7) pool.load(Stage::kPrefill, 0);
    });
    BOOST_TEST(servers.count(Stage::kPrefill) == 7);
    BOOST_TEST(loop.orders == 4); // no more than needed
}

BOOST_AUTO_TEST_CASE(prefill_servers_become_decode_servers_on_decode_shortage) {
    Servers servers(10, 2);
    ControlLoop loop;
    loop.run(servers, 30 * kSecond, [](Servers& pool) {
        pool.load(Stage::kDecode, pool.count(Stage::kDecode) < 5 ? 48 : 10, 0);
        pool.load(Stage::kPrefill, 0);
    });
    BOOST_TEST(servers.count(Stage::kDecode) >= 5);
    BOOST_TEST(servers.count(Stage::kDecode) <= 6); // in steps of two
}

BOOST_AUTO_TEST_CASE(no_change_without_a_shortage) {
    Servers servers(3, 9);
    ControlLoop loop;
    loop.run(servers, 60 * kSecond, [](Servers& pool) { pool.load(Stage::kDecode, 12); });
    BOOST_TEST(loop.orders == 0);
}

BOOST_AUTO_TEST_CASE(no_change_without_reports_or_demand) {
    Servers servers(3, 9);
    servers.load(Stage::kPrefill, 1, 9);
    for (StagedServer& server : servers.list) server.reported = server.id < "s5"; // too few servers report
    ControlLoop loop;
    loop.run(servers, 20 * kSecond);
    BOOST_TEST(loop.orders == 0);
    for (StagedServer& server : servers.list) server.reported = true;
    for (Ticks at = kStart; at < kStart + 20 * kSecond; at += StageController::kInterval)
        BOOST_TEST(loop.controller.plan(servers.list, std::nullopt, at).empty());
    loop.run(servers, 20 * kSecond);
    BOOST_TEST(loop.orders > 0);
}

// A decode server is given away only if the others have the links and slots needed once all prefill is done
// by prefill servers.
BOOST_AUTO_TEST_CASE(decode_pool_keeps_capacity_for_transfers_and_responses) {
    ControlLoop loop;
    loop.demand.links_required = 1.5;
    Servers servers(3, 9);
    loop.run(servers, 60 * kSecond, [](Servers& pool) { pool.load(Stage::kPrefill, 1, 3); });
    BOOST_TEST(servers.count(Stage::kDecode) >= 5); // 1.5 links at 0.3 utilization
    loop.demand.links_required = 0, loop.demand.answers = 90;
    Servers others(3, 9);
    ControlLoop other_loop;
    other_loop.demand = loop.demand;
    other_loop.run(others, 60 * kSecond, [](Servers& pool) { pool.load(Stage::kPrefill, 1, 3); });
    BOOST_TEST(others.count(Stage::kDecode) >= 6); // 90 responses in 48 slots each, at 0.3 utilization
}

BOOST_AUTO_TEST_CASE(each_stage_keeps_two_servers_and_survives_a_zone_loss) {
    Servers servers(3, 9);
    ControlLoop loop;
    loop.demand = {"model", 100, 50, 0, 0, 0};
    loop.run(servers, 120 * kSecond, [](Servers& pool) { pool.load(Stage::kPrefill, 1, 9); });
    BOOST_TEST(servers.count(Stage::kDecode) >= 2);
    std::set<std::string> zones;
    for (const StagedServer& server : servers.list)
        if (server.stage == Stage::kDecode) zones.insert(server.zone);
    BOOST_TEST(zones.size() >= 2U);
}

// A burst that reverses and returns within ten seconds: changes may continue in one direction, but none is
// reverted immediately.
BOOST_AUTO_TEST_CASE(load_alternating_every_five_seconds_does_not_make_servers_flap) {
    Servers servers(6, 6);
    ControlLoop loop;
    loop.run(servers, 60 * kSecond, [&](Servers& pool) {
        const bool prefill = (loop.now - kStart) / (5 * kSecond) % 2 == 0;
        pool.load(Stage::kPrefill, prefill ? 1 : 0, prefill ? 2 : 0);
        pool.load(Stage::kDecode, prefill ? 0 : 48);
    });
    BOOST_TEST(loop.reversals <= 6); // in twelve load changes
    BOOST_TEST(loop.orders <= 24);   // in steps of two
}

BOOST_AUTO_TEST_CASE(rejected_requests_count_as_a_prefill_shortage) {
    Servers servers(3, 9);
    ControlLoop loop;
    loop.demand.rejected = 10;
    loop.run(servers, 5 * kSecond);
    BOOST_TEST(loop.orders > 0);
}

// ---- demand

BOOST_AUTO_TEST_CASE(demand_is_summed_over_nodes_and_peers_and_expires) {
    DemandAggregator aggregator;
    aggregator.update_from_node("edge-1", {{"model", 10, 1, 2, 0.5, 1}}, kStart);
    aggregator.update_from_node("edge-1", {{"model", 20, 2, 3, 0.5, 1}},
                                kStart); // the newest update of a node replaces the older one
    aggregator.update_from_node("edge-2", {{"model", 5, 0, 1, 0.25, 0.5}, {"other", 1, 0, 0, 0, 0}}, kStart);
    aggregator.update_from_peer("core-2", {{"model", 100, 10, 7, 1, 2}}, kStart + kSecond);
    const auto sum = aggregator.total("model", kStart + kSecond);
    BOOST_REQUIRE(sum.has_value());
    BOOST_TEST((*sum == model::ServiceDemand{"model", 125, 12, 11, 1.75, 3.5}));
    BOOST_TEST(aggregator.local(kStart).size() == 2U);
    BOOST_TEST(!aggregator.total("unknown", kStart).has_value());
    const auto later =
        aggregator.total("model", kStart + 7 * kSecond / 2); // the updates of the local nodes have expired
    BOOST_REQUIRE(later.has_value());
    BOOST_TEST(later->requests == 100);
    BOOST_TEST(!aggregator.total("model", kStart + 5 * kSecond).has_value());
}

// In a fleet of thousands of servers each one is reported only every half minute.
BOOST_AUTO_TEST_CASE(report_freshness_follows_the_report_interval) {
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
