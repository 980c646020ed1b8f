// Parts of the selection: latency model, prompt cache view and retry budget.
#define BOOST_TEST_MODULE selection_parts
#include "base/pcg.hpp"
#include "replica_selection/latency_model.hpp"
#include "replica_selection/prompt_cache_view.hpp"
#include "replica_selection/retry_budget.hpp"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using namespace ivyrill::replica_selection;

constexpr Ticks kSecond = kTicksPerSecond, kStart = 100 * kSecond;
constexpr RetryBudget::Limits kLimits{0.2, 54, 10 * kSecond};

int use_all(RetryBudget& budget, Ticks now) {
    int used = 0;
    while (used < 100'000 && budget.try_retry(now)) ++used;
    return used;
}

} // namespace

BOOST_AUTO_TEST_CASE(linear_times_are_fitted) {
    LatencyModel model;
    BOOST_TEST(!model.known());
    for (int i = 0; i < 300; ++i) model.add(i % 30 * 100, 50 + 0.25 * (i % 30 * 100));
    BOOST_TEST(model.known());
    for (const double tokens : {0.0, 777.0, 3000.0, 9000.0})
        BOOST_TEST(model.time(tokens) == 50 + 0.25 * tokens, boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(equal_sizes_give_a_mean_and_no_slope) {
    LatencyModel model;
    for (int i = 0; i < 50; ++i) model.add(500, i % 2 == 0 ? 90 : 110);
    BOOST_TEST(model.time(500) == 100, boost::test_tools::tolerance(0.02));
    BOOST_TEST(model.time(50'000) == model.time(0));
}

BOOST_AUTO_TEST_CASE(neither_part_of_a_time_is_negative) {
    LatencyModel falling, steep;
    for (int i = 0; i < 50; ++i) {
        falling.add(i * 100, 6000 - i * 100);
        steep.add(1000 + i * 100, i * 100);
    }
    BOOST_TEST(falling.time(0) >= 0);
    BOOST_TEST(falling.time(1e6) >= falling.time(0));
    BOOST_TEST(steep.time(0) >= 0);
}

BOOST_AUTO_TEST_CASE(old_times_decay) {
    LatencyModel model;
    for (int i = 0; i < 1000; ++i) model.add(i % 10 * 100, 1000);
    for (int i = 0; i < 1500; ++i) model.add(i % 10 * 100, 10);
    BOOST_TEST(model.time(500) < 20);
}

BOOST_AUTO_TEST_CASE(only_leading_parts_count_as_cached) {
    PromptCacheView cache;
    const std::vector<PromptPart> prompt{{"a", 100}, {"b", 50}, {"c", 7}};
    BOOST_TEST(cache.cached_tokens(prompt, kStart) == 0);
    cache.record_use({{"a", 100}, {"b", 50}}, 100'000, 1, kStart);
    BOOST_TEST(cache.cached_tokens(prompt, kStart) == 150);
    BOOST_TEST(cache.cached_tokens({{"x", 9}, {"a", 100}}, kStart) ==
               0); // cached only after the same leading parts
    BOOST_TEST(cache.cached_tokens({{"a", 100}, {"x", 9}, {"b", 50}}, kStart) == 100);
    BOOST_TEST(cache.cached_tokens({}, kStart) == 0);
    cache.clear();
    BOOST_TEST(cache.cached_tokens(prompt, kStart) == 0);
}

BOOST_AUTO_TEST_CASE(retention_follows_from_memory_and_token_rate) {
    for (const double senders : {1.0, 10.0}) {
        PromptCacheView cache;
        Ticks now = kStart;
        for (int i = 0; i < 400; ++i, now += kSecond / 20) // 20 prompts of 1000 tokens per second and sender
            cache.record_use({{std::to_string(i), 1000}}, 400'000, senders, now);
        std::int64_t held = 0;
        for (int i = 0; i < 400; ++i) held += cache.cached_tokens({{std::to_string(i), 1000}}, now);
        const double room = 400'000 / senders; // the other senders use the rest
        BOOST_TEST((held > room / 2 && held < room * 2), "held " << held << " with " << senders);
    }
}

BOOST_AUTO_TEST_CASE(unused_parts_expire) {
    PromptCacheView cache;
    cache.record_use({{"a", 100}}, 1'000'000'000, 1, kStart);
    BOOST_TEST(cache.cached_tokens({{"a", 100}}, kStart + 50 * kSecond) == 100);
    BOOST_TEST(cache.cached_tokens({{"a", 100}}, kStart + 61 * kSecond) == 0);
    PromptCacheView small;
    small.record_use({{"a", 100}}, 0, 1, kStart);
    BOOST_TEST(small.cached_tokens({{"a", 100}}, kStart + 2 * kSecond) == 0);
}

BOOST_AUTO_TEST_CASE(all_nodes_together_stay_within_ratio_and_slack) {
    for (const std::size_t nodes : {1U, 2U, 7U, 9U, 30U, 300U})
        for (const int requests : {0, 3, 100, 1000}) {
            int used = 0;
            for (std::size_t node = 0; node < nodes; ++node) {
                RetryBudget budget(kLimits);
                budget.set_edge_nodes(nodes, kStart);
                for (int i = 0; i < requests; ++i) budget.count_request(kStart);
                used += use_all(budget, kStart);
            }
            const double allowed = kLimits.ratio * requests * static_cast<double>(nodes) + kLimits.slack;
            BOOST_TEST(used <= allowed, nodes << " nodes, " << requests << " requests each");
            if (requests >= 100) BOOST_TEST(used >= allowed / 2);
        }
}

BOOST_AUTO_TEST_CASE(small_fleet_may_retry_before_it_has_seen_requests) {
    for (const std::size_t nodes : {1U, 7U, 9U}) {
        RetryBudget budget(kLimits);
        budget.set_edge_nodes(nodes, kStart);
        BOOST_TEST(budget.try_retry(kStart), nodes << " nodes");
    }
}

BOOST_AUTO_TEST_CASE(any_window_stays_within_the_budget) {
    Pcg random(31);
    RetryBudget budget(kLimits);
    budget.set_edge_nodes(7, kStart);
    std::vector<Ticks> requests, used;
    for (Ticks now = kStart; now < kStart + 120 * kSecond; now += static_cast<Ticks>(random.next() % 400)) {
        const bool burst = (now / (7 * kSecond)) % 2 == 0;
        if (burst) budget.count_request(now), requests.push_back(now);
        if (budget.try_retry(now)) used.push_back(now);
        const auto within = [now](const std::vector<Ticks>& times) {
            return std::ranges::count_if(times, [now](Ticks at) { return at > now - kLimits.window; });
        };
        const double allowed = kLimits.ratio * static_cast<double>(within(requests)) + kLimits.slack / 7;
        BOOST_REQUIRE(static_cast<double>(within(used)) <= allowed + 1);
    }
    BOOST_TEST(used.size() > 20U);
}

BOOST_AUTO_TEST_CASE(retries_count_for_one_window) {
    RetryBudget budget(kLimits);
    budget.set_edge_nodes(1, kStart);
    const int first = use_all(budget, kStart);
    BOOST_TEST(first > 0);
    BOOST_TEST(!budget.try_retry(kStart + kLimits.window - 1));
    BOOST_TEST(use_all(budget, kStart + kLimits.window) == first);
}

BOOST_AUTO_TEST_CASE(fewer_visible_nodes_do_not_raise_the_share_at_once) {
    RetryBudget steady(kLimits), cut_off(kLimits);
    steady.set_edge_nodes(9, kStart);
    cut_off.set_edge_nodes(9, kStart);
    cut_off.set_edge_nodes(1, kStart + kSecond); // the others may only be partitioned
    BOOST_TEST(use_all(cut_off, kStart + kSecond) == use_all(steady, kStart + kSecond));
    const Ticks later = kStart + 4 * kLimits.window;
    cut_off.set_edge_nodes(1, later);
    steady.set_edge_nodes(9, later);
    BOOST_TEST(use_all(cut_off, later) > use_all(steady, later));
    RetryBudget grown(kLimits);
    grown.set_edge_nodes(1, kStart);
    grown.set_edge_nodes(9, kStart); // a higher count applies at once
    RetryBudget of_nine(kLimits);
    of_nine.set_edge_nodes(9, kStart);
    BOOST_TEST(use_all(grown, kStart) == use_all(of_nine, kStart));
}

BOOST_AUTO_TEST_CASE(unchecked_retries_are_counted) {
    RetryBudget budget(kLimits);
    budget.set_edge_nodes(1, kStart);
    const int room = [&] {
        RetryBudget same(kLimits);
        same.set_edge_nodes(1, kStart);
        return use_all(same, kStart);
    }();
    for (int i = 0; i < room; ++i) {
        BOOST_TEST(budget.has_room(kStart));
        budget.count_retry(kStart);
    }
    BOOST_TEST(!budget.has_room(kStart));
    BOOST_TEST(!budget.try_retry(kStart));
    budget.count_retry(kStart); // still counted
    BOOST_TEST(!budget.has_room(kStart + kLimits.window - 1));
    BOOST_TEST(use_all(budget, kStart + kLimits.window) == room);
}

BOOST_AUTO_TEST_CASE(budgets_of_services_are_separate) {
    RetryBudgets budgets(kLimits);
    budgets.set_edge_nodes(9, kStart);
    const int idle = use_all(budgets.of("idle"), kStart);
    for (int i = 0; i < 1000; ++i) budgets.of("busy").count_request(kStart);
    BOOST_TEST(!budgets.of("idle").try_retry(kStart));
    BOOST_TEST(use_all(budgets.of("busy"), kStart) > 10 * idle);
    RetryBudget alone(kLimits);
    alone.set_edge_nodes(9, kStart);
    BOOST_TEST(use_all(alone, kStart) == idle); // the node count applies to new services too
    budgets.keep_only([](const std::string& service) { return service == "busy"; });
    BOOST_TEST(!budgets.of("busy").try_retry(kStart));
    BOOST_TEST(budgets.of("idle").has_room(kStart));
}
