// The adaptive connect timeout.
#define BOOST_TEST_MODULE connect_timeout
#include "proxy/connect_timeout.hpp"

#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using ivyrill::proxy::ConnectTimeout;

constexpr Ticks kTarget = 2500, kMillisecond = kTicksPerSecond / 1000;

ConnectTimeout after(Ticks took, int times) {
    ConnectTimeout timeout;
    for (int i = 0; i < times; ++i) timeout.connected(took + i % 2);
    return timeout;
}

} // namespace

BOOST_AUTO_TEST_CASE(without_samples_it_is_the_latency_target_within_bounds) {
    const ConnectTimeout none;
    BOOST_TEST(none.timeout(kTarget) == kTarget);
    BOOST_TEST(none.timeout(1) == 100 * kMillisecond);
    BOOST_TEST(none.timeout(1'000'000) == 500 * kMillisecond);
}

BOOST_AUTO_TEST_CASE(fast_connects_make_it_a_small_share_of_the_target) {
    BOOST_TEST(after(5 * kMillisecond, 50).timeout(kTarget) <= kTarget / 10);
    BOOST_TEST(after(5 * kMillisecond, 50).timeout(kTarget) >= 4 * 5 * kMillisecond);
}

BOOST_AUTO_TEST_CASE(it_follows_connect_times_up_to_the_target) {
    const Ticks slow = after(60 * kMillisecond, 50).timeout(kTarget);
    BOOST_TEST(slow > 60 * kMillisecond);
    BOOST_TEST(after(5000 * kMillisecond, 50).timeout(kTarget) == kTarget);
    ConnectTimeout slowed = after(5 * kMillisecond, 50);
    for (int i = 0; i < 50; ++i) slowed.connected(60 * kMillisecond);
    BOOST_TEST(slowed.timeout(kTarget) > 60 * kMillisecond);
}

BOOST_AUTO_TEST_CASE(it_doubles_on_timeouts_and_is_bounded) {
    ConnectTimeout timeout = after(5 * kMillisecond, 50);
    const Ticks usual = timeout.timeout(kTarget);
    timeout.timed_out();
    BOOST_TEST(timeout.timeout(kTarget) == 2 * usual);
    for (int i = 0; i < 100; ++i) timeout.timed_out();
    BOOST_TEST(timeout.timeout(kTarget) < kTarget); // many servers may be unreachable at once
    timeout.connected(5 * kMillisecond);
    BOOST_TEST(timeout.timeout(kTarget) <= usual + kMillisecond);
}
