// The fleet's time, the proxies' counts based on it, and their aggregation.
#define BOOST_TEST_MODULE usage
#include "agent/usage_relay.hpp"
#include "clock/fleet_clock.hpp"
#include "clock/synced_clock.hpp"
#include "control/usage_exchange.hpp"
#include "duties/usage_aggregator.hpp"
#include "proxy/usage_meter.hpp"
#include "wire/cbor.hpp"
#include "wire/frame.hpp"

#include <boost/test/included/unit_test.hpp>
#include <cstdlib>

using namespace ivyrill;
using clock::FleetClock;
using clock::FleetTime;
using clock::SyncedClock;
using duties::UsageAggregator;
using model::ProcessUsage;
using proxy::UsageMeter;

namespace {

constexpr Ticks kSecond = kTicksPerSecond;
constexpr std::int64_t kStartMs = 1'767'225'600'000; // true time at 0 of the steady clock
constexpr std::int64_t kWindowMs = 5000;
constexpr std::int64_t kWindow = kStartMs / kWindowMs;
constexpr int kMachines = 63;

std::int64_t true_ms(Ticks steady) { return kStartMs + steady / 10; }

std::string machine(int number) { return "machine-" + std::to_string(number); }

// Adds samples with offsets of up to 5 ms either way; the first `stepped` machines have jumped.
void sample_all(FleetClock& clock, Ticks now, int stepped, std::int64_t step_ms) {
    for (int i = 0; i < kMachines; ++i) {
        const std::int64_t offset_ms = i % 11 - 5;
        clock.add_sample(machine(i), true_ms(now) + offset_ms + (i < stepped ? step_ms : 0), now);
    }
}

std::int64_t error_of(const FleetClock& clock, Ticks now) {
    const auto time = clock.at(now);
    BOOST_REQUIRE(time.has_value());
    return std::abs(time->unix_ms - true_ms(now));
}

FleetTime exact(Ticks now) { return {true_ms(now), 1}; }

// Merges the counts as if they arrived directly at a control node.
void merge_all(UsageAggregator& aggregator, const std::vector<ProcessUsage>& reports, Ticks now) {
    for (const ProcessUsage& usage : reports) aggregator.merge(usage, now);
}

std::int64_t count_of(const UsageAggregator& aggregator, std::int64_t window, const std::string& tenant) {
    const auto counts = aggregator.counts(window);
    const auto found = counts.find(tenant);
    return found == counts.end() ? 0 : found->second;
}

// An aggregator that has been running for a while.
UsageAggregator aggregator_at(Ticks now) {
    UsageAggregator aggregator({kWindowMs, 60'000});
    aggregator.advance(true_ms(now - 60 * kSecond), now - 60 * kSecond);
    aggregator.advance(true_ms(now), now);
    return aggregator;
}

ProcessUsage usage_of(std::uint64_t process, std::int64_t window, std::int64_t count) {
    return {process, window, {{"ada", count}}, count, (window + 1) * kWindowMs, false};
}

} // namespace

BOOST_AUTO_TEST_CASE(fleet_clock_is_unknown_without_samples_and_uncertain_with_one) {
    FleetClock clock;
    BOOST_TEST(!clock.at(kSecond).has_value());
    clock.add_sample(machine(0), true_ms(kSecond), kSecond);
    BOOST_TEST(clock.at(kSecond)->error_ms >= 3000); // a single machine may have jumped
}

BOOST_AUTO_TEST_CASE(fleet_clock_tolerates_jumps_of_two_fifths_of_the_machines) {
    for (const std::int64_t step_ms : {2000, 3000, -2000, -3000})
        for (const int stepped : {1, kMachines * 3 / 10, (kMachines * 4 + 9) / 10}) {
            FleetClock clock;
            Ticks now = 0;
            for (int second = 0; second < 30; ++second, now += kSecond) {
                sample_all(clock, now, second >= 10 && second < 20 ? stepped : 0, step_ms);
                BOOST_TEST(error_of(clock, now) <= 5);
                BOOST_TEST(error_of(clock, now) <= clock.at(now)->error_ms);
                BOOST_TEST(clock.at(now)->error_ms <= 30);
            }
        }
}

BOOST_AUTO_TEST_CASE(fleet_clock_ignores_a_jump_of_one_machine_of_three) {
    FleetClock clock;
    for (int i = 0; i < 3; ++i) clock.add_sample(machine(i), true_ms(0), 0);
    clock.add_sample(machine(1), true_ms(kSecond) + 3000, kSecond);
    BOOST_TEST(error_of(clock, kSecond) == 0);
    BOOST_TEST(clock.at(kSecond)->error_ms <= 20);
}

BOOST_AUTO_TEST_CASE(fleet_clock_advances_steadily_and_drops_old_samples) {
    FleetClock clock;
    sample_all(clock, 0, 0, 0);
    BOOST_TEST(error_of(clock, 9 * kSecond) <= 5);
    BOOST_TEST(!clock.at(11 * kSecond).has_value());
}

BOOST_AUTO_TEST_CASE(fleet_clock_keeps_the_newest_sample_regardless_of_arrival) {
    FleetClock clock;
    clock.add_sample(machine(0), true_ms(2 * kSecond), 2 * kSecond);
    clock.add_sample(machine(0), true_ms(kSecond) + 3000, kSecond);
    BOOST_TEST(*clock.wall_clock_of(machine(0), 2 * kSecond) == true_ms(2 * kSecond));
}

BOOST_AUTO_TEST_CASE(fleet_clock_ignores_implausible_times) {
    FleetClock clock;
    for (const std::int64_t implausible : {INT64_MAX, INT64_MIN, std::int64_t{0}, std::int64_t{-5}})
        clock.add_sample(machine(0), implausible, 0);
    BOOST_TEST(!clock.at(0).has_value());
}

BOOST_AUTO_TEST_CASE(synced_clock_uses_the_least_delayed_sample) {
    SyncedClock clock;
    BOOST_TEST(!clock.at(0).has_value());
    for (int second = 0; second < 8; ++second) {
        const Ticks now = second * kSecond;
        const std::int64_t delay_ms = second == 3 ? 2 : 150;
        clock.update({true_ms(now) - delay_ms, 20}, now);
    }
    BOOST_TEST(clock.at(8 * kSecond)->unix_ms == true_ms(8 * kSecond) - 2);
    BOOST_TEST(clock.at(600 * kSecond)->unix_ms == true_ms(600 * kSecond) - 2); // without new samples
}

BOOST_AUTO_TEST_CASE(synced_clock_drops_an_uncertain_sample_after_a_certain_one) {
    SyncedClock clock;
    clock.update({true_ms(0) + 2500, 3000}, 0); // from a control node that knew only its own clock
    clock.update({true_ms(kSecond), 20}, kSecond);
    BOOST_TEST(clock.at(kSecond)->unix_ms == true_ms(kSecond));
    BOOST_TEST(clock.at(kSecond)->error_ms == 20);
}

BOOST_AUTO_TEST_CASE(meter_counts_by_window_and_tenant_and_sends_totals) {
    UsageMeter meter(7, kWindowMs);
    meter.update_fleet_time(exact(0), 0);
    for (int i = 0; i < 3; ++i) meter.count_started("ada", 0);
    meter.count_started("", 0); // a tenant
    meter.count_started("bob", 5 * kSecond);
    const auto first = meter.take(5 * kSecond);
    BOOST_REQUIRE(first.size() == 2U);
    BOOST_TEST((first[0] == ProcessUsage{7, kWindow, {{"ada", 3}}, 3, true_ms(5 * kSecond), false}));
    BOOST_TEST((first[1] == ProcessUsage{7, kWindow + 1, {{"bob", 1}}, 1, true_ms(5 * kSecond), false}));
    meter.count_started("bob", 5 * kSecond + 100);
    const auto second = meter.take(5 * kSecond + 2500);
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].counts.front().count == 2);
    BOOST_TEST(meter.take(5 * kSecond + 5000).empty()); // no change
}

BOOST_AUTO_TEST_CASE(meter_reports_its_progress_each_second) {
    UsageMeter meter(7, kWindowMs);
    meter.update_fleet_time(exact(0), 0);
    int reports = 0;
    for (Ticks now = 2500; now <= 10 * kSecond; now += 2500) reports += meter.take(now).empty() ? 0 : 1;
    BOOST_TEST(reports == 10);
}

BOOST_AUTO_TEST_CASE(meter_adds_nothing_to_a_window_reported_as_complete) {
    UsageMeter meter(7, kWindowMs);
    meter.update_fleet_time({true_ms(0) + 2500, 20}, 0);
    meter.count_started("ada", 4 * kSecond);
    BOOST_TEST(meter.take(4 * kSecond).front().window == kWindow + 1);
    for (int i = 0; i < 40; ++i)
        meter.update_fleet_time({true_ms(4 * kSecond), 20}, 4 * kSecond); // clock set back
    meter.count_started("ada", 4 * kSecond);
    for (const ProcessUsage& usage : meter.take(5 * kSecond)) BOOST_TEST(usage.window == kWindow + 1);
}

BOOST_AUTO_TEST_CASE(meter_resends_all_retained_counts_after_a_lost_link) {
    UsageMeter meter(7, kWindowMs);
    meter.update_fleet_time(exact(0), 0);
    for (int second = 0; second < 60; ++second) {
        meter.count_started("ada", second * kSecond);
        meter.take(second * kSecond);
    }
    meter.resend_all();
    UsageAggregator aggregator = aggregator_at(59 * kSecond);
    merge_all(aggregator, meter.take(59 * kSecond), 59 * kSecond);
    for (std::int64_t window = kWindow + 8; window < kWindow + 12; ++window)
        BOOST_TEST(count_of(aggregator, window, "ada") == 5);
    BOOST_TEST(count_of(aggregator, kWindow + 6, "ada") == 0); // no longer retained
}

BOOST_AUTO_TEST_CASE(meter_without_a_window_or_a_time_counts_nothing) {
    UsageMeter idle(7, 0);
    idle.update_fleet_time(exact(0), 0);
    idle.count_started("ada", 0);
    BOOST_TEST(idle.take(kSecond).empty());
    UsageMeter unaware(7, kWindowMs);
    unaware.count_started("ada", 0);
    BOOST_TEST(unaware.take(kSecond).empty());
    BOOST_TEST(unaware.without_time() == 1U);
}

BOOST_AUTO_TEST_CASE(aggregator_counts_duplicates_and_late_counts_once) {
    UsageAggregator aggregator = aggregator_at(0);
    aggregator.merge(usage_of(1, kWindow, 5), 0);
    aggregator.merge(usage_of(1, kWindow, 9), 0);
    aggregator.merge(usage_of(1, kWindow, 9), 0);
    aggregator.merge(usage_of(1, kWindow, 5), 0); // arrives late
    aggregator.merge(usage_of(2, kWindow, 4), 0); // from the restarted process
    BOOST_TEST((aggregator.counts(kWindow) == std::map<std::string, std::int64_t>{{"ada", 13}}));
    BOOST_TEST(aggregator.counts(kWindow + 1).empty());
}

BOOST_AUTO_TEST_CASE(aggregator_is_complete_once_all_processes_have_passed_the_end) {
    UsageAggregator aggregator = aggregator_at(0);
    const std::int64_t end_ms = (kWindow + 1) * kWindowMs;
    ProcessUsage behind = usage_of(1, kWindow, 5), finished = usage_of(2, kWindow, 5);
    behind.counted_until_ms = end_ms - 1;
    aggregator.merge(behind, 0);
    aggregator.merge(finished, 0);
    BOOST_TEST(!aggregator.is_complete(kWindow, end_ms, kSecond));
    ProcessUsage progress{1, kWindow + 1, {}, 0, end_ms + 20, false};
    aggregator.merge(progress, kSecond);
    BOOST_TEST(aggregator.is_complete(kWindow, end_ms, kSecond));
}

BOOST_AUTO_TEST_CASE(new_aggregator_is_not_complete_before_processes_could_report) {
    UsageAggregator aggregator({kWindowMs, 60'000});
    aggregator.advance(true_ms(0), 0);
    BOOST_TEST(!aggregator.is_complete(kWindow - 1, kWindow * kWindowMs, 0));
    aggregator.merge(usage_of(1, kWindow - 1, 5), kSecond);
    BOOST_TEST(!aggregator.is_complete(kWindow - 1, kWindow * kWindowMs, kSecond));
    BOOST_TEST(aggregator.is_complete(kWindow - 1, kWindow * kWindowMs, 4 * kSecond));
}

BOOST_AUTO_TEST_CASE(aggregator_does_not_wait_for_ended_or_killed_processes) {
    UsageAggregator aggregator = aggregator_at(0);
    const std::int64_t end_ms = (kWindow + 1) * kWindowMs;
    ProcessUsage ended = usage_of(1, kWindow, 5), killed = usage_of(2, kWindow, 5);
    ended.counted_until_ms = killed.counted_until_ms = end_ms - 500;
    ended.ended = true;
    aggregator.merge(ended, 0);
    BOOST_TEST(aggregator.is_complete(kWindow, end_ms, kSecond));
    aggregator.merge(killed, 0);
    BOOST_TEST(!aggregator.is_complete(kWindow, end_ms, kSecond));
    for (Ticks now = 0; now < 6 * kSecond; now += kSecond)
        aggregator.merge(killed, now); // relayed again by other nodes
    BOOST_TEST(aggregator.is_complete(kWindow, end_ms, 6 * kSecond));
    BOOST_TEST(count_of(aggregator, kWindow, "ada") == 10);
}

BOOST_AUTO_TEST_CASE(aggregator_is_not_complete_while_counts_are_missing) {
    UsageAggregator aggregator = aggregator_at(0);
    ProcessUsage partial = usage_of(1, kWindow, 5);
    partial.total = 8; // the previous message was lost
    aggregator.merge(partial, 0);
    BOOST_TEST(aggregator.is_missing_counts(1, kWindow));
    BOOST_TEST(!aggregator.is_complete(kWindow, (kWindow + 1) * kWindowMs, 0));
    partial.counts.push_back({"bob", 3});
    aggregator.merge(partial, 0);
    BOOST_TEST(!aggregator.is_missing_counts(1, kWindow));
    BOOST_TEST(aggregator.is_complete(kWindow, (kWindow + 1) * kWindowMs, 0));
}

BOOST_AUTO_TEST_CASE(aggregator_drops_old_windows_and_processes) {
    UsageAggregator aggregator = aggregator_at(0);
    aggregator.merge(usage_of(1, kWindow, 5), 0);
    aggregator.advance(true_ms(59 * kSecond), 59 * kSecond);
    BOOST_TEST(count_of(aggregator, kWindow, "ada") == 5);
    aggregator.advance(true_ms(70 * kSecond), 70 * kSecond);
    BOOST_TEST(aggregator.counts(kWindow).empty());
    BOOST_TEST(aggregator.recent(60'000).empty());
}

BOOST_AUTO_TEST_CASE(aggregator_rejects_invalid_input_by_cause) {
    UsageAggregator aggregator = aggregator_at(0);
    aggregator.merge(usage_of(1, kWindow + 1000, 5), 0);
    aggregator.merge(usage_of(1, kWindow - 1000, 5), 0);
    aggregator.merge(usage_of(1, INT64_MAX / kWindowMs - 1, 5), 0);
    BOOST_TEST(aggregator.rejected().far_window == 3U);
    aggregator.merge(usage_of(1, kWindow, -1), 0);
    aggregator.merge(usage_of(1, kWindow, INT64_MAX), 0);
    BOOST_TEST(aggregator.rejected().negative == 2U);
    ProcessUsage too_many_tenants = usage_of(1, kWindow, 1);
    for (int i = 0; i < 30'000; ++i) too_many_tenants.counts.push_back({"t" + std::to_string(i), 1});
    aggregator.merge(too_many_tenants, 0);
    BOOST_TEST(aggregator.rejected().tenants == 10'001U);
    BOOST_TEST(aggregator.counts(kWindow).size() == 20'000U);
    for (std::uint64_t process = 1; process <= 20'010; ++process)
        aggregator.merge(usage_of(process, kWindow, 1), 0);
    BOOST_TEST(aggregator.rejected().processes == 10U);
}

BOOST_AUTO_TEST_CASE(relay_sends_the_last_windows_to_a_new_control_node) {
    agent::UsageRelay relay(kWindowMs);
    BOOST_TEST(relay.update_fleet_time(exact(0), 0));
    BOOST_TEST(!relay.update_fleet_time(exact(kSecond), kSecond));
    UsageMeter meter(7, kWindowMs);
    meter.update_fleet_time(exact(0), 0);
    for (int second = 0; second < 60; ++second) {
        meter.count_started("ada", second * kSecond);
        relay.add_counts(meter.take(second * kSecond), second * kSecond);
    }
    UsageAggregator aggregator = aggregator_at(59 * kSecond);
    merge_all(aggregator, relay.recent(), 59 * kSecond);
    for (std::int64_t window = kWindow + 8; window < kWindow + 12; ++window)
        BOOST_TEST(count_of(aggregator, window, "ada") == 5);
}

BOOST_AUTO_TEST_CASE(exchange_sends_session_clocks_as_offsets) {
    FleetClock clock, peer_clock;
    UsageAggregator aggregator = aggregator_at(0), peer_aggregator = aggregator_at(0);
    const auto jumped_time = [](Ticks now) {
        return true_ms(now) + 2700;
    }; // this node's own clock has jumped
    control::UsageExchange exchange("control-1", clock, aggregator, [&] { return jumped_time(kSecond); });
    control::UsageExchange peer("control-2", peer_clock, peer_aggregator, [] { return true_ms(kSecond); });
    exchange.tick(kSecond);
    feed::PeerStatus status;
    for (int i = 0; i < 5; ++i) status.sessions.push_back({machine(i), "zone", "address", 1});
    for (int i = 0; i < 4; ++i) exchange.add_time_of_day(machine(i), true_ms(kSecond) + i, kSecond);
    exchange.fill_status(status, kSecond);
    BOOST_TEST(status.session_clocks.size() == 4U); // the clock of one machine is unknown
    status.session_clocks.push_back({99, 0});       // no session has that index
    peer.tick(kSecond);
    peer.on_peer_status("control-1", status, kSecond);
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(*peer_clock.wall_clock_of(machine(i), kSecond) == true_ms(kSecond) + i);
    BOOST_TEST(*peer_clock.wall_clock_of("control-1", kSecond) == jumped_time(kSecond));
    BOOST_TEST(error_of(peer_clock, kSecond) <= 2);
}

BOOST_AUTO_TEST_CASE(exchange_forwards_local_counts_and_requests_missing_ones) {
    FleetClock clock, peer_clock;
    UsageAggregator aggregator = aggregator_at(0), peer_aggregator = aggregator_at(0);
    const auto time_of_day = [] { return true_ms(0); };
    control::UsageExchange exchange("control-1", clock, aggregator, time_of_day);
    control::UsageExchange peer("control-2", peer_clock, peer_aggregator, time_of_day);
    exchange.add_local_counts({usage_of(1, kWindow, 5)}, 0);
    exchange.drain_for_peers(); // lost in transit
    exchange.add_local_counts({{1, kWindow, {{"bob", 2}}, 7, true_ms(0), false}}, 0);
    const std::vector<feed::UsageCounts> forwarded = exchange.drain_for_peers();
    BOOST_REQUIRE(forwarded.size() == 1U);
    const feed::UsageRequest request = peer.merge(forwarded.front(), 0);
    BOOST_TEST((request.processes == std::vector<std::uint64_t>{1}));
    const std::vector<feed::UsageCounts> answer = exchange.answer(request);
    BOOST_REQUIRE(answer.size() == 1U);
    BOOST_TEST(peer.merge(answer.front(), 0).processes.empty());
    BOOST_TEST((peer_aggregator.counts(kWindow) == aggregator.counts(kWindow)));
    BOOST_TEST(peer.drain_for_peers().empty());
}

// Guards against a failure in which an oversized frame ended the link, and the next link began with the same
// frame.
BOOST_AUTO_TEST_CASE(exchange_of_a_large_fleet_stays_below_the_frame_limit) {
    constexpr std::uint64_t kProcesses = 560;
    constexpr int kTenants = 490, kWindows = 4;
    FleetClock clock, peer_clock;
    const Ticks now = 20 * kSecond;
    UsageAggregator aggregator = aggregator_at(now), peer_aggregator = aggregator_at(now);
    control::UsageExchange exchange("control-1", clock, aggregator, [] { return true_ms(20 * kSecond); });
    control::UsageExchange peer("control-2", peer_clock, peer_aggregator,
                                [] { return true_ms(20 * kSecond); });
    for (std::uint64_t process = 1; process <= kProcesses; ++process)
        for (std::int64_t window = kWindow; window < kWindow + kWindows; ++window) {
            ProcessUsage usage{process << 40, window, {}, kTenants * 100, true_ms(now), false};
            for (int i = 0; i < kTenants; ++i)
                usage.counts.push_back({"a-tenant-of-a-large-fleet-" + std::to_string(i), 100});
            exchange.add_local_counts({usage}, now);
        }
    const auto bytes_of = [&](const std::vector<feed::UsageCounts>& messages) {
        std::size_t sum = 0;
        for (const feed::UsageCounts& message : messages) {
            const std::size_t bytes = wire::to_bytes(feed::Message{message}).size();
            BOOST_TEST(bytes <= wire::kMaxFrameBytes / 8);
            sum += bytes;
        }
        return sum;
    };
    BOOST_TEST(bytes_of(exchange.recent()) <= wire::kMaxFrameBytes);
    for (const feed::UsageCounts& message : exchange.recent()) peer.merge(message, now);
    const std::int64_t newest = kWindow + kWindows - 1;
    BOOST_TEST((peer_aggregator.counts(newest) == aggregator.counts(newest)));
    const std::vector<feed::UsageCounts> all = exchange.drain_for_peers();
    bytes_of(all);
    for (const feed::UsageCounts& message : all) peer.merge(message, now);
    for (std::int64_t window = kWindow; window <= newest; ++window)
        BOOST_TEST((peer_aggregator.counts(window) == aggregator.counts(window)));
}
