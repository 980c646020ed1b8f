// What a proxy measures of its requests between two takes.
#define BOOST_TEST_MODULE demand_meter
#include "proxy/demand_meter.hpp"

#include <boost/test/included/unit_test.hpp>

using namespace ivyrill;
using proxy::DemandMeter;

namespace {
constexpr Tenths kSecond = kTenthsPerSecond;
}

BOOST_AUTO_TEST_CASE(rates_and_shares_are_of_the_time_since_the_last_take) {
    DemandMeter meter;
    meter.take(kSecond);
    for (int i = 0; i < 30; ++i) meter.requested("model", 100);
    meter.turned_away("model");
    meter.moved("model", 500);
    const auto told = meter.take(3 * kSecond);
    BOOST_REQUIRE(told.size() == 1U);
    BOOST_TEST((told.front() == model::ServiceDemand{"model", 15, 0.5, 0, 0.025, 0.15}));
    BOOST_TEST(meter.take(4 * kSecond).empty()); // nothing was seen since
}

BOOST_AUTO_TEST_CASE(answers_count_for_as_long_as_they_are_made) {
    DemandMeter meter;
    meter.take(0);
    meter.answer_begins("model", 0);
    meter.answer_begins("model", kSecond / 2);
    meter.answer_ends("model", 3 * kSecond / 4);
    BOOST_TEST(meter.take(kSecond).front().answers == 1.25);
    BOOST_TEST(meter.take(2 * kSecond).front().answers == 1); // one goes on, though no request came
    meter.answer_ends("model", 5 * kSecond / 2);
    BOOST_TEST(meter.take(3 * kSecond).front().answers == 0.5);
    BOOST_TEST(meter.take(4 * kSecond).empty());
}
