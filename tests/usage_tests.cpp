// The fleet's time, what proxies count by it, and how counts are merged.
#define BOOST_TEST_MODULE usage
#include "agent/usage_relay.hpp"
#include "clock/fleet_clock.hpp"
#include "clock/followed_clock.hpp"
#include "control/usage_exchange.hpp"
#include "duties/usage_tally.hpp"
#include "proxy/usage_meter.hpp"
#include "wire/cbor.hpp"
#include "wire/frame.hpp"

#include <boost/test/included/unit_test.hpp>
#include <cstdlib>

using namespace ivyrill;
using clock::FleetClock;
using clock::FleetTime;
using clock::FollowedClock;
using duties::UsageTally;
using model::ProcessUsage;
using proxy::UsageMeter;

namespace {

constexpr Tenths kSecond = kTenthsPerSecond;
constexpr std::int64_t kStartMs = 1'767'225'600'000; // true time at 0 of the steady clock
constexpr std::int64_t kWindowMs = 5000;
constexpr std::int64_t kWindow = kStartMs / kWindowMs;
constexpr int kMachines = 63;

std::int64_t true_ms(Tenths steady) { return kStartMs + steady / 10; }

std::string machine(int number) { return "machine-" + std::to_string(number); }

// Times of day that differ by up to 5 ms each way; the first `stepped` of them have jumped.
void sample_all(FleetClock& clock, Tenths now, int stepped, std::int64_t step_ms) {
    for (int i = 0; i < kMachines; ++i) {
        const std::int64_t differs = i % 11 - 5;
        clock.sample(machine(i), true_ms(now) + differs + (i < stepped ? step_ms : 0), now);
    }
}

std::int64_t error_of(const FleetClock& clock, Tenths now) {
    const auto time = clock.at(now);
    BOOST_REQUIRE(time.has_value());
    return std::abs(time->unix_ms - true_ms(now));
}

FleetTime exact(Tenths now) { return {true_ms(now), 1}; }

// Takes and merges as if it went straight to a control node.
void merge_all(UsageTally& tally, const std::vector<ProcessUsage>& told, Tenths now) {
    for (const ProcessUsage& usage : told) tally.merge(usage, now);
}

std::int64_t count_of(const UsageTally& tally, std::int64_t window, const std::string& tenant) {
    const auto counts = tally.counts(window);
    const auto found = counts.find(tenant);
    return found == counts.end() ? 0 : found->second;
}

// Of a process that has been there for long.
UsageTally tally_at(Tenths now) {
    UsageTally tally({kWindowMs, 60'000});
    tally.advance(true_ms(now - 60 * kSecond), now - 60 * kSecond);
    tally.advance(true_ms(now), now);
    return tally;
}

ProcessUsage usage_of(std::uint64_t process, std::int64_t window, std::int64_t count) {
    return {process, window, {{"ada", count}}, count, (window + 1) * kWindowMs, false};
}

} // namespace

BOOST_AUTO_TEST_CASE(fleet_clock_tells_nothing_before_any_sample_and_little_of_a_single_one) {
    FleetClock clock;
    BOOST_TEST(!clock.at(kSecond).has_value());
    clock.sample(machine(0), true_ms(kSecond), kSecond);
    BOOST_TEST(clock.at(kSecond)->error_ms >= 3000); // that one may have jumped
}

BOOST_AUTO_TEST_CASE(fleet_clock_bears_two_fifths_that_jump_either_way_and_back) {
    for (const std::int64_t step_ms : {2000, 3000, -2000, -3000})
        for (const int stepped : {1, kMachines * 3 / 10, (kMachines * 4 + 9) / 10}) {
            FleetClock clock;
            Tenths now = 0;
            for (int second = 0; second < 30; ++second, now += kSecond) {
                sample_all(clock, now, second >= 10 && second < 20 ? stepped : 0, step_ms);
                BOOST_TEST(error_of(clock, now) <= 5);
                BOOST_TEST(error_of(clock, now) <= clock.at(now)->error_ms);
                BOOST_TEST(clock.at(now)->error_ms <= 30);
            }
        }
}

BOOST_AUTO_TEST_CASE(fleet_clock_does_not_jump_by_a_single_machine_of_three) {
    FleetClock clock;
    for (int i = 0; i < 3; ++i) clock.sample(machine(i), true_ms(0), 0);
    clock.sample(machine(1), true_ms(kSecond) + 3000, kSecond);
    BOOST_TEST(error_of(clock, kSecond) == 0);
    BOOST_TEST(clock.at(kSecond)->error_ms <= 20);
}

BOOST_AUTO_TEST_CASE(fleet_clock_goes_on_by_the_steady_clock_and_forgets_old_samples) {
    FleetClock clock;
    sample_all(clock, 0, 0, 0);
    BOOST_TEST(error_of(clock, 9 * kSecond) <= 5);
    BOOST_TEST(!clock.at(11 * kSecond).has_value());
}

BOOST_AUTO_TEST_CASE(fleet_clock_keeps_the_newest_sample_whichever_comes_last) {
    FleetClock clock;
    clock.sample(machine(0), true_ms(2 * kSecond), 2 * kSecond);
    clock.sample(machine(0), true_ms(kSecond) + 3000, kSecond);
    BOOST_TEST(*clock.wall_of(machine(0), 2 * kSecond) == true_ms(2 * kSecond));
}

BOOST_AUTO_TEST_CASE(fleet_clock_passes_over_times_of_day_that_can_not_be) {
    FleetClock clock;
    for (const std::int64_t absurd : {INT64_MAX, INT64_MIN, std::int64_t{0}, std::int64_t{-5}})
        clock.sample(machine(0), absurd, 0);
    BOOST_TEST(!clock.at(0).has_value());
}

BOOST_AUTO_TEST_CASE(followed_clock_takes_the_least_delayed_of_late_words) {
    FollowedClock clock;
    BOOST_TEST(!clock.at(0).has_value());
    for (int second = 0; second < 8; ++second) {
        const Tenths now = second * kSecond;
        const std::int64_t delay_ms = second == 3 ? 2 : 150;
        clock.told({true_ms(now) - delay_ms, 20}, now);
    }
    BOOST_TEST(clock.at(8 * kSecond)->unix_ms == true_ms(8 * kSecond) - 2);
    BOOST_TEST(clock.at(600 * kSecond)->unix_ms == true_ms(600 * kSecond) - 2); // no news
}

BOOST_AUTO_TEST_CASE(followed_clock_drops_an_unsure_word_once_a_sure_one_has_come) {
    FollowedClock clock;
    clock.told({true_ms(0) + 2500, 3000}, 0); // of a control node that knew its own clock alone
    clock.told({true_ms(kSecond), 20}, kSecond);
    BOOST_TEST(clock.at(kSecond)->unix_ms == true_ms(kSecond));
    BOOST_TEST(clock.at(kSecond)->error_ms == 20);
}

BOOST_AUTO_TEST_CASE(meter_counts_by_window_and_tenant_and_sends_totals) {
    UsageMeter meter(7, kWindowMs);
    meter.set_fleet_time(exact(0), 0);
    for (int i = 0; i < 3; ++i) meter.count_started("ada", 0);
    meter.count_started("", 0); // no tenant
    meter.count_started("bob", 5 * kSecond);
    const auto first = meter.take(5 * kSecond);
    BOOST_REQUIRE(first.size() == 2U);
    BOOST_TEST((first[0] == ProcessUsage{7, kWindow, {{"ada", 3}}, 3, true_ms(5 * kSecond), false}));
    BOOST_TEST((first[1] == ProcessUsage{7, kWindow + 1, {{"bob", 1}}, 1, true_ms(5 * kSecond), false}));
    meter.count_started("bob", 5 * kSecond + 100);
    const auto second = meter.take(5 * kSecond + 2500);
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].counts.front().count == 2);
    BOOST_TEST(meter.take(5 * kSecond + 5000).empty()); // nothing new
}

BOOST_AUTO_TEST_CASE(meter_reports_its_progress_each_second) {
    UsageMeter meter(7, kWindowMs);
    meter.set_fleet_time(exact(0), 0);
    int told = 0;
    for (Tenths now = 2500; now <= 10 * kSecond; now += 2500) told += meter.take(now).empty() ? 0 : 1;
    BOOST_TEST(told == 10);
}

BOOST_AUTO_TEST_CASE(meter_adds_nothing_to_a_window_reported_as_complete) {
    UsageMeter meter(7, kWindowMs);
    meter.set_fleet_time({true_ms(0) + 2500, 20}, 0);
    meter.count_started("ada", 4 * kSecond);
    BOOST_TEST(meter.take(4 * kSecond).front().window == kWindow + 1);
    for (int i = 0; i < 40; ++i) meter.set_fleet_time({true_ms(4 * kSecond), 20}, 4 * kSecond); // set back
    meter.count_started("ada", 4 * kSecond);
    for (const ProcessUsage& usage : meter.take(5 * kSecond)) BOOST_TEST(usage.window == kWindow + 1);
}

BOOST_AUTO_TEST_CASE(meter_resends_all_retained_counts_after_a_lost_link) {
    UsageMeter meter(7, kWindowMs);
    meter.set_fleet_time(exact(0), 0);
    for (int second = 0; second < 60; ++second) {
        meter.count_started("ada", second * kSecond);
        meter.take(second * kSecond);
    }
    meter.resend_all();
    UsageTally tally = tally_at(59 * kSecond);
    merge_all(tally, meter.take(59 * kSecond), 59 * kSecond);
    for (std::int64_t window = kWindow + 8; window < kWindow + 12; ++window)
        BOOST_TEST(count_of(tally, window, "ada") == 5);
    BOOST_TEST(count_of(tally, kWindow + 6, "ada") == 0); // no longer retained
}

BOOST_AUTO_TEST_CASE(meter_without_a_window_or_a_time_counts_nothing) {
    UsageMeter idle(7, 0);
    idle.set_fleet_time(exact(0), 0);
    idle.count_started("ada", 0);
    BOOST_TEST(idle.take(kSecond).empty());
    UsageMeter unaware(7, kWindowMs);
    unaware.count_started("ada", 0);
    BOOST_TEST(unaware.take(kSecond).empty());
    BOOST_TEST(unaware.without_time() == 1U);
}

BOOST_AUTO_TEST_CASE(tally_counts_once_what_comes_twice_or_late) {
    UsageTally tally = tally_at(0);
    tally.merge(usage_of(1, kWindow, 5), 0);
    tally.merge(usage_of(1, kWindow, 9), 0);
    tally.merge(usage_of(1, kWindow, 9), 0);
    tally.merge(usage_of(1, kWindow, 5), 0); // was overtaken
    tally.merge(usage_of(2, kWindow, 4), 0); // of the process that followed
    BOOST_TEST((tally.counts(kWindow) == std::map<std::string, std::int64_t>{{"ada", 13}}));
    BOOST_TEST(tally.counts(kWindow + 1).empty());
}

BOOST_AUTO_TEST_CASE(tally_is_complete_once_all_that_count_have_passed_the_end) {
    UsageTally tally = tally_at(0);
    const std::int64_t end_ms = (kWindow + 1) * kWindowMs;
    ProcessUsage slow = usage_of(1, kWindow, 5), quick = usage_of(2, kWindow, 5);
    slow.counted_until_ms = end_ms - 1;
    tally.merge(slow, 0);
    tally.merge(quick, 0);
    BOOST_TEST(!tally.is_complete(kWindow, end_ms, kSecond));
    ProcessUsage further{1, kWindow + 1, {}, 0, end_ms + 20, false};
    tally.merge(further, kSecond);
    BOOST_TEST(tally.is_complete(kWindow, end_ms, kSecond));
}

BOOST_AUTO_TEST_CASE(tally_that_has_just_begun_is_not_complete_for_want_of_news) {
    UsageTally tally({kWindowMs, 60'000});
    tally.advance(true_ms(0), 0);
    BOOST_TEST(!tally.is_complete(kWindow - 1, kWindow * kWindowMs, 0));
    tally.merge(usage_of(1, kWindow - 1, 5), kSecond);
    BOOST_TEST(!tally.is_complete(kWindow - 1, kWindow * kWindowMs, kSecond));
    BOOST_TEST(tally.is_complete(kWindow - 1, kWindow * kWindowMs, 4 * kSecond));
}

BOOST_AUTO_TEST_CASE(tally_does_not_wait_for_processes_that_ended_or_were_killed) {
    UsageTally tally = tally_at(0);
    const std::int64_t end_ms = (kWindow + 1) * kWindowMs;
    ProcessUsage ended = usage_of(1, kWindow, 5), killed = usage_of(2, kWindow, 5);
    ended.counted_until_ms = killed.counted_until_ms = end_ms - 500;
    ended.ended = true;
    tally.merge(ended, 0);
    BOOST_TEST(tally.is_complete(kWindow, end_ms, kSecond));
    tally.merge(killed, 0);
    BOOST_TEST(!tally.is_complete(kWindow, end_ms, kSecond));
    for (Tenths now = 0; now < 6 * kSecond; now += kSecond) tally.merge(killed, now); // told again by others
    BOOST_TEST(tally.is_complete(kWindow, end_ms, 6 * kSecond));
    BOOST_TEST(count_of(tally, kWindow, "ada") == 10);
}

BOOST_AUTO_TEST_CASE(tally_is_not_complete_while_it_lacks_what_a_process_told) {
    UsageTally tally = tally_at(0);
    ProcessUsage rest = usage_of(1, kWindow, 5);
    rest.total = 8; // what came before was lost
    tally.merge(rest, 0);
    BOOST_TEST(tally.lacks(1, kWindow));
    BOOST_TEST(!tally.is_complete(kWindow, (kWindow + 1) * kWindowMs, 0));
    rest.counts.push_back({"bob", 3});
    tally.merge(rest, 0);
    BOOST_TEST(!tally.lacks(1, kWindow));
    BOOST_TEST(tally.is_complete(kWindow, (kWindow + 1) * kWindowMs, 0));
}

BOOST_AUTO_TEST_CASE(tally_forgets_old_windows_and_processes) {
    UsageTally tally = tally_at(0);
    tally.merge(usage_of(1, kWindow, 5), 0);
    tally.advance(true_ms(59 * kSecond), 59 * kSecond);
    BOOST_TEST(count_of(tally, kWindow, "ada") == 5);
    tally.advance(true_ms(70 * kSecond), 70 * kSecond);
    BOOST_TEST(tally.counts(kWindow).empty());
    BOOST_TEST(tally.recent(60'000).empty());
}

BOOST_AUTO_TEST_CASE(tally_refuses_absurd_input_by_cause) {
    UsageTally tally = tally_at(0);
    tally.merge(usage_of(1, kWindow + 1000, 5), 0);
    tally.merge(usage_of(1, kWindow - 1000, 5), 0);
    tally.merge(usage_of(1, INT64_MAX / kWindowMs - 1, 5), 0);
    BOOST_TEST(tally.refused().far_window == 3U);
    tally.merge(usage_of(1, kWindow, -1), 0);
    tally.merge(usage_of(1, kWindow, INT64_MAX), 0);
    BOOST_TEST(tally.refused().negative == 2U);
    ProcessUsage crowded = usage_of(1, kWindow, 1);
    for (int i = 0; i < 30'000; ++i) crowded.counts.push_back({"t" + std::to_string(i), 1});
    tally.merge(crowded, 0);
    BOOST_TEST(tally.refused().tenants == 10'001U);
    BOOST_TEST(tally.counts(kWindow).size() == 20'000U);
    for (std::uint64_t process = 1; process <= 20'010; ++process)
        tally.merge(usage_of(process, kWindow, 1), 0);
    BOOST_TEST(tally.refused().processes == 10U);
}

BOOST_AUTO_TEST_CASE(relay_tells_a_new_control_node_the_last_windows) {
    agent::UsageRelay relay(kWindowMs);
    BOOST_TEST(relay.time_told(exact(0), 0));
    BOOST_TEST(!relay.time_told(exact(kSecond), kSecond));
    UsageMeter meter(7, kWindowMs);
    meter.set_fleet_time(exact(0), 0);
    for (int second = 0; second < 60; ++second) {
        meter.count_started("ada", second * kSecond);
        relay.counted(meter.take(second * kSecond), second * kSecond);
    }
    UsageTally tally = tally_at(59 * kSecond);
    merge_all(tally, relay.recent(), 59 * kSecond);
    for (std::int64_t window = kWindow + 8; window < kWindow + 12; ++window)
        BOOST_TEST(count_of(tally, window, "ada") == 5);
}

BOOST_AUTO_TEST_CASE(exchange_tells_sessions_clocks_as_differences_that_a_peer_reads_back) {
    FleetClock clock, of_peer;
    UsageTally tally = tally_at(0), tally_of_peer = tally_at(0);
    const auto ahead = [](Tenths now) { return true_ms(now) + 2700; }; // this node's own clock has jumped
    control::UsageExchange exchange("control-1", clock, tally, [&] { return ahead(kSecond); });
    control::UsageExchange peer("control-2", of_peer, tally_of_peer, [] { return true_ms(kSecond); });
    exchange.tick(kSecond);
    feed::PeerStatus status;
    for (int i = 0; i < 5; ++i) status.sessions.push_back({machine(i), "zone", "address", 1});
    for (int i = 0; i < 4; ++i) exchange.time_of_day(machine(i), true_ms(kSecond) + i, kSecond);
    exchange.fill(status, kSecond);
    BOOST_TEST(status.session_clocks.size() == 4U); // of one nothing is known
    status.session_clocks.push_back({99, 0});       // no session has that place
    peer.tick(kSecond);
    peer.told("control-1", status, kSecond);
    for (int i = 0; i < 4; ++i) BOOST_TEST(*of_peer.wall_of(machine(i), kSecond) == true_ms(kSecond) + i);
    BOOST_TEST(*of_peer.wall_of("control-1", kSecond) == ahead(kSecond));
    BOOST_TEST(error_of(of_peer, kSecond) <= 2);
}

BOOST_AUTO_TEST_CASE(exchange_passes_on_what_its_own_sessions_told_and_asks_for_what_it_lacks) {
    FleetClock clock, of_peer;
    UsageTally tally = tally_at(0), tally_of_peer = tally_at(0);
    const auto time_of_day = [] { return true_ms(0); };
    control::UsageExchange exchange("control-1", clock, tally, time_of_day);
    control::UsageExchange peer("control-2", of_peer, tally_of_peer, time_of_day);
    exchange.counted({usage_of(1, kWindow, 5)}, 0);
    exchange.take_for_peers(); // is lost on its way
    exchange.counted({{1, kWindow, {{"bob", 2}}, 7, true_ms(0), false}}, 0);
    const std::vector<feed::UsageCounts> passed_on = exchange.take_for_peers();
    BOOST_REQUIRE(passed_on.size() == 1U);
    const feed::WantUsage wanted = peer.merge(passed_on.front(), 0);
    BOOST_TEST((wanted.processes == std::vector<std::uint64_t>{1}));
    const std::vector<feed::UsageCounts> answer = exchange.answer(wanted);
    BOOST_REQUIRE(answer.size() == 1U);
    BOOST_TEST(peer.merge(answer.front(), 0).processes.empty());
    BOOST_TEST((tally_of_peer.counts(kWindow) == tally.counts(kWindow)));
    BOOST_TEST(peer.take_for_peers().empty());
}

// A frame that is too large ends the link, and the next link would begin with the same one.
BOOST_AUTO_TEST_CASE(exchange_of_a_large_fleet_sends_no_frame_that_a_peer_refuses) {
    constexpr std::uint64_t kProcesses = 560;
    constexpr int kTenants = 490, kWindows = 4;
    FleetClock clock, of_peer;
    const Tenths now = 20 * kSecond;
    UsageTally tally = tally_at(now), tally_of_peer = tally_at(now);
    control::UsageExchange exchange("control-1", clock, tally, [] { return true_ms(20 * kSecond); });
    control::UsageExchange peer("control-2", of_peer, tally_of_peer, [] { return true_ms(20 * kSecond); });
    for (std::uint64_t process = 1; process <= kProcesses; ++process)
        for (std::int64_t window = kWindow; window < kWindow + kWindows; ++window) {
            ProcessUsage usage{process << 40, window, {}, kTenants * 100, true_ms(now), false};
            for (int i = 0; i < kTenants; ++i)
                usage.counts.push_back({"a-tenant-of-a-large-fleet-" + std::to_string(i), 100});
            exchange.counted({usage}, now);
        }
    const auto bytes_of = [&](const std::vector<feed::UsageCounts>& messages) {
        std::size_t sum = 0;
        for (const feed::UsageCounts& message : messages) {
            const std::size_t bytes = wire::to_bytes(feed::Message{message}).size();
            BOOST_TEST(bytes <= wire::kMostFrameBytes / 8);
            sum += bytes;
        }
        return sum;
    };
    BOOST_TEST(bytes_of(exchange.recent()) <= wire::kMostFrameBytes);
    for (const feed::UsageCounts& message : exchange.recent()) peer.merge(message, now);
    const std::int64_t newest = kWindow + kWindows - 1;
    BOOST_TEST((tally_of_peer.counts(newest) == tally.counts(newest)));
    const std::vector<feed::UsageCounts> all = exchange.take_for_peers();
    bytes_of(all);
    for (const feed::UsageCounts& message : all) peer.merge(message, now);
    for (std::int64_t window = kWindow; window <= newest; ++window)
        BOOST_TEST((tally_of_peer.counts(window) == tally.counts(window)));
}
