// The usage ledger: which windows are committed, when, and with which bytes. Time, counts and
// acknowledgements are supplied by the tests.
#define BOOST_TEST_MODULE usage_ledger
#include "duties/duty.hpp"
#include "duties/platform_rate_limiter.hpp"
#include "duties/usage_ledger.hpp"
#include "protocol/json.hpp"
#include "wire/cbor.hpp"

#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using namespace ivyrill::duties;
using clock::FleetTime;

constexpr std::int64_t kWindowMs = 5'000, kFirst = 353'445'120;
constexpr std::int64_t end_ms(std::int64_t window) { return (window + 1) * kWindowMs; }

struct CountSource {
    bool complete = true;
    std::int64_t count = 1;
    UsageSources sources() const {
        return {[this](std::int64_t, std::int64_t) { return complete; },
                [this](std::int64_t window) {
                    return std::map<std::string, std::int64_t>{{"a", window - kFirst + count}};
                }};
    }
};

UsageLedger ledger_from(std::int64_t next = kFirst) { return {next, {}}; }

std::optional<UsageLedger> next_of(const UsageLedger& ledger, const CountSource& source, std::int64_t now_ms,
                                   std::int64_t error_ms = 0, const std::set<std::int64_t>& settled = {}) {
    return next_ledger(ledger, {now_ms, error_ms}, kWindowMs, source.sources(), settled);
}

std::vector<std::int64_t> numbers_of(const UsageLedger& ledger) {
    std::vector<std::int64_t> numbers;
    for (const CommittedWindow& window : ledger.committed) numbers.push_back(window.number);
    return numbers;
}

} // namespace

BOOST_AUTO_TEST_CASE(first_window_is_the_current_one) {
    const auto ledger = next_of(UsageLedger{}, {}, end_ms(kFirst) - 1);
    BOOST_REQUIRE(ledger.has_value());
    BOOST_TEST((*ledger == ledger_from()));
}

// A clock that may be ahead must not skip the actual current window.
BOOST_AUTO_TEST_CASE(uncertain_clock_starts_with_the_earliest_possible_window) {
    const auto ledger = next_of(UsageLedger{}, {}, end_ms(kFirst) + 100, 200);
    BOOST_REQUIRE(ledger.has_value());
    BOOST_TEST(ledger->next_window == kFirst);
}

BOOST_AUTO_TEST_CASE(window_is_committed_half_a_second_after_its_end_once_complete) {
    BOOST_TEST(!next_of(ledger_from(), {}, end_ms(kFirst) + 499));
    const auto ledger = next_of(ledger_from(), {}, end_ms(kFirst) + 500);
    BOOST_REQUIRE(ledger.has_value());
    BOOST_TEST(ledger->next_window == kFirst + 1);
    BOOST_TEST((numbers_of(*ledger) == std::vector{kFirst}));
}

BOOST_AUTO_TEST_CASE(possible_clock_error_delays_the_commit) {
    BOOST_TEST(!next_of(ledger_from(), {}, end_ms(kFirst) + 600, 101));
    BOOST_TEST(next_of(ledger_from(), {}, end_ms(kFirst) + 601, 101).has_value());
}

BOOST_AUTO_TEST_CASE(window_does_not_wait_forever_for_silent_processes) {
    const CountSource incomplete{false};
    BOOST_TEST(!next_of(ledger_from(), incomplete, end_ms(kFirst) + 3'999));
    BOOST_TEST(next_of(ledger_from(), incomplete, end_ms(kFirst) + 4'000).has_value());
}

BOOST_AUTO_TEST_CASE(missed_windows_follow_in_order) {
    const auto ledger = next_of(ledger_from(), {}, end_ms(kFirst + 6) + 500);
    BOOST_REQUIRE(ledger.has_value());
    BOOST_TEST((numbers_of(*ledger) ==
                std::vector{kFirst, kFirst + 1, kFirst + 2, kFirst + 3, kFirst + 4, kFirst + 5, kFirst + 6}));
    BOOST_TEST(!next_of(*ledger, {}, end_ms(kFirst + 6) + 500)); // none twice
}

BOOST_AUTO_TEST_CASE(windows_after_a_long_outage_follow_in_bounded_entries) {
    UsageLedger ledger = ledger_from();
    const std::int64_t later = end_ms(kFirst + 50'000);
    std::size_t entries = 0;
    for (auto next = next_of(ledger, {}, later); next; next = next_of(ledger, {}, later)) {
        BOOST_TEST(next->committed.size() - ledger.committed.size() <= 16U);
        ledger = *next, ++entries;
    }
    BOOST_TEST(ledger.committed.size() == kMaxCommittedWindows);
    BOOST_TEST(entries == 4U);
    const std::set<std::int64_t> settled{kFirst, kFirst + 1};
    const auto next = next_of(ledger, {}, later, 0, settled);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->committed.size() == kMaxCommittedWindows);
    BOOST_TEST(next->committed.front().number == kFirst + 2);
    BOOST_TEST(next->next_window == kFirst + static_cast<std::int64_t>(kMaxCommittedWindows) + 2);
}

BOOST_AUTO_TEST_CASE(ledger_size_is_bounded_with_ten_thousand_tenants) {
    std::map<std::string, std::int64_t> tenants;
    for (int i = 0; i < 10'000; ++i) tenants[std::string(56, 'x') + std::to_string(i)] = 1'000'000;
    const UsageSources sources{[](std::int64_t, std::int64_t) { return true; },
                               [&](std::int64_t) { return tenants; }};
    UsageLedger ledger = ledger_from();
    const FleetTime later{end_ms(kFirst + 500), 0};
    for (auto next = next_ledger(ledger, later, kWindowMs, sources, {}); next;
         next = next_ledger(ledger, later, kWindowMs, sources, {}))
        ledger = *next;
    BOOST_TEST(ledger.committed.size() >= 1U);
    BOOST_TEST(ledger.committed.size() <= 3U);
}

// Even if counts change later.
BOOST_AUTO_TEST_CASE(committed_windows_never_change) {
    CountSource source;
    const auto first = next_of(ledger_from(), source, end_ms(kFirst) + 500);
    BOOST_REQUIRE(first.has_value());
    source.count = 100;
    const auto second = next_of(*first, source, end_ms(kFirst + 1) + 500);
    BOOST_REQUIRE(second.has_value());
    BOOST_REQUIRE(second->committed.size() == 2U);
    BOOST_TEST((second->committed.front() == first->committed.front()));
}

BOOST_AUTO_TEST_CASE(settled_windows_are_removed_with_the_next_commit_only) {
    const auto first = next_of(ledger_from(), {}, end_ms(kFirst + 1) + 500);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(!next_of(*first, {}, end_ms(kFirst + 1) + 600, 0, {kFirst}));
    const auto second = next_of(*first, {}, end_ms(kFirst + 2) + 500, 0, {kFirst});
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST((numbers_of(*second) == std::vector{kFirst + 1, kFirst + 2}));
}

BOOST_AUTO_TEST_CASE(clock_set_back_reverts_nothing) {
    BOOST_TEST(!next_of(ledger_from(kFirst + 3), {}, end_ms(kFirst)));
}

BOOST_AUTO_TEST_CASE(report_body_follows_the_protocol_and_is_deterministic) {
    BOOST_TEST(usage_body(353445120, {{"nowu640", 412}, {"goka901", 412}}) ==
               R"({"windowId":353445120,"counts":{"goka901":412,"nowu640":412}})");
    BOOST_TEST(usage_body(1, {}) == R"({"windowId":1,"counts":{}})");
}

BOOST_AUTO_TEST_CASE(tenant_names_are_escaped) {
    const std::string name = "a\"},\"windowId\":2,\\\n";
    const protocol::Json body = protocol::read_json(usage_body(1, {{name, 3}}));
    BOOST_TEST(body.at("windowId").as_integer("windowId") == 1);
    BOOST_TEST(body.at("counts").at(name).as_integer("count") == 3);
    BOOST_TEST(body.at("counts").members.size() == 1U);
}

BOOST_AUTO_TEST_CASE(partition_state_round_trips_through_its_encoding) {
    PartitionState state;
    state.released_term = 7, state.usage = {kFirst + 1, {{kFirst, usage_body(kFirst, {{"a", 1}})}}};
    const auto read = read_partition_state(wire::to_bytes(state));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->released_term == 7U);
    BOOST_TEST((read->usage == state.usage));
}

BOOST_AUTO_TEST_CASE(partition_state_without_a_ledger_is_read) {
    const std::string legacy{"\x81\x07"}; // an array of one element: released in term 7
    const auto read = read_partition_state(legacy);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->released_term == 7U);
    BOOST_TEST(was_handed_over(*read, 8));
    BOOST_TEST((read->usage == UsageLedger{}));
}

BOOST_AUTO_TEST_CASE(corrupt_partition_state_is_rejected) {
    PartitionState state;
    state.usage = {kFirst + 1, {{kFirst, usage_body(kFirst, {{"a", 1}})}}};
    const std::string full = wire::to_bytes(state);
    for (std::size_t size = 0; size < full.size(); ++size)
        BOOST_TEST(!read_partition_state(full.substr(0, size)).has_value(), size);
    BOOST_TEST(!read_partition_state(full + "x").has_value());
}

// ---- rate limit of calls to the platform, over all duties

BOOST_AUTO_TEST_CASE(all_partitions_together_stay_within_the_rate_limit) {
    constexpr Ticks kStart = 1'000'000;
    for (const double per_s : {0.0, 8.0, 50.0, 51.0}) {
        PlatformRateLimiter limiter(per_s, kStart - 100 * kTicksPerSecond); // the buckets are full
        std::vector<Ticks> calls;
        for (Ticks now = kStart; now < kStart + 4 * kTicksPerSecond; now += 10)
            for (std::size_t partition = 0; partition < kDutyPartitions; ++partition)
                for (int subject = 0; subject < 50; ++subject) {
                    const Duty duty = server_count_duty("s" + std::to_string(subject), "z");
                    if (partition_of(duty) == partition && limiter.try_acquire(duty, now))
                        calls.push_back(now);
                }
        const double max_calls = per_s > 0 ? per_s : 8;
        for (std::size_t i = 0; i < calls.size(); ++i) {
            std::size_t last = i;
            while (last < calls.size() && calls[last] - calls[i] < kTicksPerSecond) ++last;
            BOOST_TEST(static_cast<double>(last - i) <= max_calls);
        }
        BOOST_TEST(static_cast<double>(calls.size()) >= 4 * max_calls / 2 - kDutyPartitions);
    }
}

BOOST_AUTO_TEST_CASE(new_process_starts_without_tokens) {
    PlatformRateLimiter limiter(50, 1'000'000);
    BOOST_TEST(!limiter.try_acquire(usage_report_duty(), 1'000'000));
    BOOST_TEST(limiter.try_acquire(usage_report_duty(), 1'000'000 + kTicksPerSecond));
}
