// C3's score and rate limiter against hand-computed values and an earlier implementation.
#define BOOST_TEST_MODULE c3
#include <boost/test/included/unit_test.hpp>

#include "base/pcg.hpp"
#include "replica_selection/c3.hpp"

using ivyrill::Pcg;
using ivyrill::Ticks;
using namespace ivyrill::replica_selection;

namespace {

// Sends or answers `count` times in the window of `now`.
void send(SendRateLimiter& limit, Ticks now, int count) {
    for (int i = 0; i < count; ++i) limit.sent(now);
}

void answer(SendRateLimiter& limit, Ticks now, int count) {
    for (int i = 0; i < count; ++i) limit.answered(now);
}

// An earlier, independent implementation.
struct EarlierLimiter {
    double limit = 10, saturation = 10, recent_sends = 0;
    Ticks last_cut = 0, last_rise = 0, window = 0;
    int sent = 0, answers = 0, last_answers = 0;

    void roll_window(Ticks now) {
        const Ticks fresh = now / 200;
        if (fresh == window) return;
        recent_sends += 0.3 * ((fresh == window + 1 ? sent : 0) - recent_sends);
        last_answers = fresh == window + 1 ? answers : 0;
        window = fresh;
        sent = answers = 0;
    }

    void adapt(Ticks now, int outstanding, bool backlogged) {
        constexpr double kEarlierGamma = 0.2 * 10.0 / (1000.0 * 1000.0 * 1000.0);
        const double most = std::max(answers, last_answers);
        if (most > limit || (sent >= limit && outstanding == 0)) {
            const double offset = now - last_cut - std::cbrt(0.2 * saturation / kEarlierGamma);
            const double cubic = kEarlierGamma * offset * offset * offset + saturation;
            limit = std::max(limit, std::min(limit + 10.0, cubic));
            last_rise = now;
        } else if (most < limit && backlogged && now - last_rise > 2 * 200) {
            saturation = limit;
            const double least = std::max(2.0, 2.0 * recent_sends);
            limit = std::max(limit * 0.2, least);
            last_cut = now;
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(score_is_response_less_service_and_cubed_queue_times_service) {
    BOOST_TEST(score(5, 2, 3) == 5 - 2 + 27 * 2);
    BOOST_TEST(score(400, 100, 1) == 400);
    BOOST_TEST(score(400, 100, 0) == 300);
}

BOOST_AUTO_TEST_CASE(long_queue_outweighs_a_fast_server) {
    BOOST_TEST(score(50, 10, 6) > score(200, 100, 2));
    BOOST_TEST(score(50, 10, 2) < score(200, 100, 2));
}

BOOST_AUTO_TEST_CASE(a_window_has_room_for_the_limit) {
    SendRateLimiter limit;
    BOOST_TEST(limit.limit() == 10);
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(limit.has_room(5000));
        limit.sent(5000);
    }
    BOOST_TEST(!limit.has_room(5000));
    BOOST_TEST(!limit.has_room(5199));
    BOOST_TEST(limit.has_room(5200));
}

BOOST_AUTO_TEST_CASE(more_answers_than_the_limit_raise_it_along_the_cubic_curve) {
    // The saddle lies 100 ms after the last cut; 30 ms past it the curve is at 10 + 2e-9 * 300^3.
    SendRateLimiter limit;
    answer(limit, 1300, 11);
    limit.adapt(1300, 5, true);
    BOOST_TEST(limit.limit() == 10.054, boost::test_tools::tolerance(1e-12));
}

BOOST_AUTO_TEST_CASE(one_rise_is_capped) {
    SendRateLimiter limit;
    answer(limit, 30'000, 11);
    limit.adapt(30'000, 5, false);
    BOOST_TEST(limit.limit() == 20);
    answer(limit, 30'000, 9); // twenty answers do not exceed the new limit
    limit.adapt(30'000, 5, false);
    BOOST_TEST(limit.limit() == 20);
    answer(limit, 30'000, 1);
    limit.adapt(30'000, 5, false);
    BOOST_TEST(limit.limit() == 30);
}

BOOST_AUTO_TEST_CASE(the_curve_never_lowers_the_limit) {
    SendRateLimiter limit;
    answer(limit, 100, 11); // the curve is below the limit before its saddle
    limit.adapt(100, 5, false);
    BOOST_TEST(limit.limit() == 10);
}

BOOST_AUTO_TEST_CASE(answers_of_the_window_before_count_and_older_ones_do_not) {
    SendRateLimiter before, older;
    answer(before, 30'000, 11);
    answer(older, 30'000, 11);
    before.answered(30'200);
    before.adapt(30'200, 5, false);
    older.answered(30'400);
    older.adapt(30'400, 5, false);
    BOOST_TEST(before.limit() == 20);
    BOOST_TEST(older.limit() == 10);
}

BOOST_AUTO_TEST_CASE(full_window_with_nothing_outstanding_raises_the_limit) {
    SendRateLimiter idle, outstanding, half;
    send(idle, 30'000, 10);
    idle.adapt(30'000, 0, false);
    send(outstanding, 30'000, 10);
    outstanding.adapt(30'000, 1, false);
    send(half, 30'000, 9);
    half.adapt(30'000, 0, false);
    BOOST_TEST(idle.limit() == 20);
    BOOST_TEST(outstanding.limit() == 10);
    BOOST_TEST(half.limit() == 10);
}

BOOST_AUTO_TEST_CASE(a_backlog_with_few_answers_cuts_by_beta) {
    SendRateLimiter limit;
    answer(limit, 30'000, 11);
    limit.adapt(30'000, 5, false); // to 20
    limit.answered(31'000);
    limit.adapt(31'000, 5, true);
    BOOST_TEST(limit.limit() == 4);
}

BOOST_AUTO_TEST_CASE(nothing_is_cut_without_a_backlog) {
    SendRateLimiter limit;
    limit.answered(5000);
    limit.adapt(5000, 5, false);
    BOOST_TEST(limit.limit() == 10);
}

BOOST_AUTO_TEST_CASE(nothing_is_cut_where_answers_equal_the_limit) {
    SendRateLimiter limit;
    answer(limit, 5000, 10);
    limit.adapt(5000, 5, true);
    BOOST_TEST(limit.limit() == 10);
}

BOOST_AUTO_TEST_CASE(nothing_is_cut_within_two_windows_of_a_rise) {
    SendRateLimiter limit;
    answer(limit, 30'000, 11);
    limit.adapt(30'000, 5, false);
    limit.answered(30'400);
    limit.adapt(30'400, 5, true);
    BOOST_TEST(limit.limit() == 20);
    limit.adapt(30'401, 5, true);
    BOOST_TEST(limit.limit() == 4);
}

BOOST_AUTO_TEST_CASE(a_cut_ends_at_the_floor) {
    SendRateLimiter limit;
    limit.answered(5000);
    limit.adapt(5000, 5, true);
    BOOST_TEST(limit.limit() == 2);
    limit.adapt(5001, 5, true);
    BOOST_TEST(limit.limit() == 2);
}

BOOST_AUTO_TEST_CASE(a_cut_leaves_twice_the_recent_sends) {
    SendRateLimiter limit;
    send(limit, 5000, 10);
    limit.answered(5200); // 0.3 of a window with ten
    limit.adapt(5200, 5, true);
    BOOST_TEST(limit.limit() == 6);
}

BOOST_AUTO_TEST_CASE(skipped_window_counts_as_one_without_sends) {
    SendRateLimiter limit;
    send(limit, 5000, 10);
    limit.answered(5400);
    limit.adapt(5400, 5, true);
    BOOST_TEST(limit.limit() == 2);
}

BOOST_AUTO_TEST_CASE(after_a_cut_the_curve_returns_to_the_former_limit) {
    SendRateLimiter limit;
    limit.answered(5000);
    limit.adapt(5000, 5, true); // cut from 10 to 2: the saddle lies 100 ms from here, at 10
    answer(limit, 5600, 3);
    limit.adapt(5600, 1, true);
    BOOST_TEST(limit.limit() == 10 - 2e-9 * 400 * 400 * 400, boost::test_tools::tolerance(1e-12));
    answer(limit, 6000, 11);
    limit.adapt(6000, 1, true);
    BOOST_TEST(limit.limit() == 10, boost::test_tools::tolerance(1e-12));
}

BOOST_AUTO_TEST_CASE(matches_the_earlier_implementation) {
    Pcg random(7);
    int rises = 0, cuts = 0;
    for (int run = 0; run < 200; ++run) {
        SendRateLimiter limit;
        EarlierLimiter earlier;
        Ticks now = static_cast<Ticks>(random.unit() * 1000);
        for (int step = 0; step < 2000; ++step) {
            if (random.unit() < 0.2) now += static_cast<Ticks>(random.unit() * 300);
            earlier.roll_window(now);
            BOOST_REQUIRE_EQUAL(limit.has_room(now), !(earlier.sent >= earlier.limit));
            const double before = earlier.limit;
            if (random.unit() < 0.5) {
                limit.sent(now);
                ++earlier.sent;
            } else {
                const int outstanding = static_cast<int>(random.unit() * 3);
                const bool backlogged = random.unit() < 0.2;
                limit.answered(now);
                limit.adapt(now, outstanding, backlogged);
                ++earlier.answers;
                earlier.adapt(now, outstanding, backlogged);
            }
            rises += earlier.limit > before ? 1 : 0;
            cuts += earlier.limit < before ? 1 : 0;
            BOOST_REQUIRE(limit.limit() == earlier.limit);
        }
    }
    BOOST_TEST(rises > 1000);
    BOOST_TEST(cuts > 1000);
}
