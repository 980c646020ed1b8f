// How long a connection may take to come up before another server is asked.
#define BOOST_TEST_MODULE connect_patience
#include "proxy/connect_patience.hpp"

#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using ivyrill::proxy::ConnectPatience;

constexpr Tenths kTarget = 2500, kMillisecond = kTenthsPerSecond / 1000;

ConnectPatience after(Tenths took, int times) {
    ConnectPatience patience;
    for (int i = 0; i < times; ++i) patience.came_up(took + i % 2);
    return patience;
}

} // namespace

BOOST_AUTO_TEST_CASE(without_a_sample_it_is_the_latency_target_within_bounds) {
    const ConnectPatience none;
    BOOST_TEST(none.patience(kTarget) == kTarget);
    BOOST_TEST(none.patience(1) == 100 * kMillisecond);
    BOOST_TEST(none.patience(1'000'000) == 500 * kMillisecond);
}

BOOST_AUTO_TEST_CASE(quick_connections_make_it_a_small_share_of_the_target) {
    BOOST_TEST(after(5 * kMillisecond, 50).patience(kTarget) <= kTarget / 10);
    BOOST_TEST(after(5 * kMillisecond, 50).patience(kTarget) >= 4 * 5 * kMillisecond);
}

BOOST_AUTO_TEST_CASE(it_follows_what_connections_take_up_to_the_target) {
    const Tenths slow = after(60 * kMillisecond, 50).patience(kTarget);
    BOOST_TEST(slow > 60 * kMillisecond);
    BOOST_TEST(after(5000 * kMillisecond, 50).patience(kTarget) == kTarget);
    ConnectPatience turned = after(5 * kMillisecond, 50);
    for (int i = 0; i < 50; ++i) turned.came_up(60 * kMillisecond);
    BOOST_TEST(turned.patience(kTarget) > 60 * kMillisecond);
}

BOOST_AUTO_TEST_CASE(it_is_doubled_while_none_comes_up_and_bounded) {
    ConnectPatience patience = after(5 * kMillisecond, 50);
    const Tenths usual = patience.patience(kTarget);
    patience.gave_up();
    BOOST_TEST(patience.patience(kTarget) == 2 * usual);
    for (int i = 0; i < 100; ++i) patience.gave_up();
    BOOST_TEST(patience.patience(kTarget) < kTarget); // many servers may be dark at once
    patience.came_up(5 * kMillisecond);
    BOOST_TEST(patience.patience(kTarget) <= usual + kMillisecond);
}
