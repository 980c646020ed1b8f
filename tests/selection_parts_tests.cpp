// The parts beside the selection: times by tokens, what servers hold of prompts, and the budget of further
// sends.
#define BOOST_TEST_MODULE selection_parts
#include "base/pcg.hpp"
#include "replica_selection/prompt_cache_view.hpp"
#include "replica_selection/retry_budget.hpp"
#include "replica_selection/time_model.hpp"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using namespace ivyrill::replica_selection;

constexpr Tenths kSecond = kTenthsPerSecond, kStart = 100 * kSecond;
constexpr RetryBudget::Terms kTerms{0.2, 54, 10 * kSecond};

int spend_all(RetryBudget& budget, Tenths now) {
    int spent = 0;
    while (spent < 100'000 && budget.spend(now)) ++spent;
    return spent;
}

} // namespace

BOOST_AUTO_TEST_CASE(times_on_a_line_are_found) {
    LatencyModel model;
    BOOST_TEST(!model.known());
    for (int i = 0; i < 300; ++i) model.add(i % 30 * 100, 50 + 0.25 * (i % 30 * 100));
    BOOST_TEST(model.known());
    for (const double tokens : {0.0, 777.0, 3000.0, 9000.0})
        BOOST_TEST(model.time(tokens) == 50 + 0.25 * tokens, boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(equal_sizes_tell_a_mean_and_no_slope) {
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

BOOST_AUTO_TEST_CASE(older_times_are_forgotten) {
    LatencyModel model;
    for (int i = 0; i < 1000; ++i) model.add(i % 10 * 100, 1000);
    for (int i = 0; i < 1500; ++i) model.add(i % 10 * 100, 10);
    BOOST_TEST(model.time(500) < 20);
}

BOOST_AUTO_TEST_CASE(only_leading_parts_count_as_held) {
    PromptCacheView cache;
    const std::vector<PromptPart> prompt{{"a", 100}, {"b", 50}, {"c", 7}};
    BOOST_TEST(cache.held(prompt, kStart) == 0);
    cache.used({{"a", 100}, {"b", 50}}, 100'000, 1, kStart);
    BOOST_TEST(cache.held(prompt, kStart) == 150);
    BOOST_TEST(cache.held({{"x", 9}, {"a", 100}}, kStart) == 0); // held only behind what stands before it
    BOOST_TEST(cache.held({{"a", 100}, {"x", 9}, {"b", 50}}, kStart) == 100);
    BOOST_TEST(cache.held({}, kStart) == 0);
    cache.clear();
    BOOST_TEST(cache.held(prompt, kStart) == 0);
}

BOOST_AUTO_TEST_CASE(parts_stay_as_long_as_the_flow_leaves_them_room) {
    for (const double senders : {1.0, 10.0}) {
        PromptCacheView cache;
        Tenths now = kStart;
        for (int i = 0; i < 400; ++i, now += kSecond / 20) // 20 prompts of 1000 tokens a second and sender
            cache.used({{std::to_string(i), 1000}}, 400'000, senders, now);
        std::int64_t held = 0;
        for (int i = 0; i < 400; ++i) held += cache.held({{std::to_string(i), 1000}}, now);
        const double room = 400'000 / senders; // of which others fill their part
        BOOST_TEST((held > room / 2 && held < room * 2), "held " << held << " with " << senders);
    }
}

BOOST_AUTO_TEST_CASE(what_was_long_unused_is_not_held_any_more) {
    PromptCacheView cache;
    cache.used({{"a", 100}}, 1'000'000'000, 1, kStart);
    BOOST_TEST(cache.held({{"a", 100}}, kStart + 50 * kSecond) == 100);
    BOOST_TEST(cache.held({{"a", 100}}, kStart + 61 * kSecond) == 0);
    PromptCacheView small;
    small.used({{"a", 100}}, 0, 1, kStart);
    BOOST_TEST(small.held({{"a", 100}}, kStart + 2 * kSecond) == 0);
}

BOOST_AUTO_TEST_CASE(all_nodes_together_stay_within_ratio_and_slack) {
    for (const std::size_t nodes : {1U, 2U, 7U, 9U, 30U, 300U})
        for (const int requests : {0, 3, 100, 1000}) {
            int spent = 0;
            for (std::size_t node = 0; node < nodes; ++node) {
                RetryBudget budget(kTerms);
                budget.set_edge_nodes(nodes, kStart);
                for (int i = 0; i < requests; ++i) budget.request(kStart);
                spent += spend_all(budget, kStart);
            }
            const double allowed = kTerms.ratio * requests * static_cast<double>(nodes) + kTerms.slack;
            BOOST_TEST(spent <= allowed, nodes << " nodes, " << requests << " requests each");
            if (requests >= 100) BOOST_TEST(spent >= allowed / 2);
        }
}

BOOST_AUTO_TEST_CASE(a_small_fleet_may_send_further_before_it_has_seen_requests) {
    for (const std::size_t nodes : {1U, 7U, 9U}) {
        RetryBudget budget(kTerms);
        budget.set_edge_nodes(nodes, kStart);
        BOOST_TEST(budget.spend(kStart), nodes << " nodes");
    }
}

BOOST_AUTO_TEST_CASE(any_window_stays_within_the_budget) {
    Pcg random(31);
    RetryBudget budget(kTerms);
    budget.set_edge_nodes(7, kStart);
    std::vector<Tenths> requests, spent;
    for (Tenths now = kStart; now < kStart + 120 * kSecond; now += static_cast<Tenths>(random.next() % 400)) {
        const bool burst = (now / (7 * kSecond)) % 2 == 0;
        if (burst) budget.request(now), requests.push_back(now);
        if (budget.spend(now)) spent.push_back(now);
        const auto within = [now](const std::vector<Tenths>& times) {
            return std::ranges::count_if(times, [now](Tenths at) { return at > now - kTerms.window; });
        };
        const double allowed = kTerms.ratio * static_cast<double>(within(requests)) + kTerms.slack / 7;
        BOOST_REQUIRE(static_cast<double>(within(spent)) <= allowed + 1);
    }
    BOOST_TEST(spent.size() > 20U);
}

BOOST_AUTO_TEST_CASE(what_was_spent_counts_for_one_window) {
    RetryBudget budget(kTerms);
    budget.set_edge_nodes(1, kStart);
    const int first = spend_all(budget, kStart);
    BOOST_TEST(first > 0);
    BOOST_TEST(!budget.spend(kStart + kTerms.window - 1));
    BOOST_TEST(spend_all(budget, kStart + kTerms.window) == first);
}

BOOST_AUTO_TEST_CASE(fewer_nodes_in_sight_do_not_raise_the_share_at_once) {
    RetryBudget steady(kTerms), cut_off(kTerms);
    steady.set_edge_nodes(9, kStart);
    cut_off.set_edge_nodes(9, kStart);
    cut_off.set_edge_nodes(1, kStart + kSecond); // the others may only be out of hearing
    BOOST_TEST(spend_all(cut_off, kStart + kSecond) == spend_all(steady, kStart + kSecond));
    const Tenths later = kStart + 4 * kTerms.window;
    cut_off.set_edge_nodes(1, later);
    steady.set_edge_nodes(9, later);
    BOOST_TEST(spend_all(cut_off, later) > spend_all(steady, later));
    RetryBudget grown(kTerms);
    grown.set_edge_nodes(1, kStart);
    grown.set_edge_nodes(9, kStart); // more count from now on
    RetryBudget of_nine(kTerms);
    of_nine.set_edge_nodes(9, kStart);
    BOOST_TEST(spend_all(grown, kStart) == spend_all(of_nine, kStart));
}

BOOST_AUTO_TEST_CASE(what_nobody_could_ask_about_is_charged_all_the_same) {
    RetryBudget budget(kTerms);
    budget.set_edge_nodes(1, kStart);
    const int room = [&] {
        RetryBudget same(kTerms);
        same.set_edge_nodes(1, kStart);
        return spend_all(same, kStart);
    }();
    for (int i = 0; i < room; ++i) {
        BOOST_TEST(budget.has_room(kStart));
        budget.charge(kStart);
    }
    BOOST_TEST(!budget.has_room(kStart));
    BOOST_TEST(!budget.spend(kStart));
    budget.charge(kStart); // one more is counted even so
    BOOST_TEST(!budget.has_room(kStart + kTerms.window - 1));
    BOOST_TEST(spend_all(budget, kStart + kTerms.window) == room);
}

BOOST_AUTO_TEST_CASE(requests_of_one_service_pay_for_nothing_at_another) {
    RetryBudgets budgets(kTerms);
    budgets.set_edge_nodes(9, kStart);
    const int idle = spend_all(budgets.of("idle"), kStart);
    for (int i = 0; i < 1000; ++i) budgets.of("busy").request(kStart);
    BOOST_TEST(!budgets.of("idle").spend(kStart));
    BOOST_TEST(spend_all(budgets.of("busy"), kStart) > 10 * idle);
    RetryBudget alone(kTerms);
    alone.set_edge_nodes(9, kStart);
    BOOST_TEST(spend_all(alone, kStart) == idle); // the count of nodes holds for services met later
    budgets.keep_only([](const std::string& service) { return service == "busy"; });
    BOOST_TEST(!budgets.of("busy").spend(kStart));
    BOOST_TEST(budgets.of("idle").has_room(kStart));
}
