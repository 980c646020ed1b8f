// Demand that a proxy measures between two takes.
#define BOOST_TEST_MODULE demand_meter
#include "proxy/demand_meter.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace ivyrill;
using proxy::DemandMeter;

namespace {
constexpr Ticks kSecond = kTicksPerSecond;
}

BOOST_AUTO_TEST_CASE(rates_and_shares_cover_the_time_since_the_last_take) {
    DemandMeter meter;
    meter.take(kSecond);
    for (int i = 0; i < 30; ++i) meter.count_request("model", 100);
    meter.count_rejection("model");
    meter.count_transfer("model", 500);
    const auto taken = meter.take(3 * kSecond);
    BOOST_REQUIRE(taken.size() == 1U);
    BOOST_TEST((taken.front() == model::ServiceDemand{"model", 15, 0.5, 0, 0.025, 0.15}));
    BOOST_TEST(meter.take(4 * kSecond).empty()); // no demand since
}

BOOST_AUTO_TEST_CASE(answers_count_while_they_are_generated) {
    DemandMeter meter;
    meter.take(0);
    meter.answer_started("model", 0);
    meter.answer_started("model", kSecond / 2);
    meter.answer_ended("model", 3 * kSecond / 4);
    BOOST_TEST(meter.take(kSecond).front().answers == 1.25);
    BOOST_TEST(meter.take(2 * kSecond).front().answers ==
               1); // one answer is still running, without a new request
    meter.answer_ended("model", 5 * kSecond / 2);
    BOOST_TEST(meter.take(3 * kSecond).front().answers == 0.5);
    BOOST_TEST(meter.take(4 * kSecond).empty());
}
