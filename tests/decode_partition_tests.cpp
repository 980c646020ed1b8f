// How many runners are kept apart, in which order, and what hand-overs ask of links.
#define BOOST_TEST_MODULE runner_division
#include "replica_selection/decode_partition.hpp"
#include "replica_selection/kv_transfer_load.hpp"

#include <boost/test/included/unit_test.hpp>
#include <set>

namespace {

using namespace ivyrill;
using namespace ivyrill::replica_selection;

constexpr Tenths kStart = 1000, kLong = 60 * kTenthsPerSecond;

std::vector<DecodeServerLoad> idle_runners(std::size_t count) {
    return std::vector<DecodeServerLoad>(count, DecodeServerLoad{24, 0.0});
}

model::Instance runner(const std::string& id, const std::string& zone) {
    model::Instance made;
    made.id = id, made.zone = zone;
    return made;
}

} // namespace

BOOST_AUTO_TEST_CASE(more_runners_are_kept_apart_the_busier_the_links_are) {
    std::size_t last = 0;
    for (const double busy : {0.0, 1.0, 3.0, 6.0}) {
        DecodePartition division;
        const std::size_t kept = division.dedicated_count(idle_runners(20), busy, kStart);
        BOOST_TEST(static_cast<double>(kept) * kMaxLinkUtilization >= busy);
        BOOST_TEST((kept > last || busy == 0.0));
        last = kept;
    }
    BOOST_TEST(last < 20U);
}

BOOST_AUTO_TEST_CASE(runners_are_kept_apart_at_once_and_given_back_one_by_one) {
    DecodePartition division;
    const std::size_t many = division.dedicated_count(idle_runners(20), 6, kStart);
    BOOST_TEST(division.dedicated_count(idle_runners(20), 0, kStart + kTenthsPerSecond) == many);
    Tenths now = kStart;
    std::size_t kept = many;
    while (kept > 1 && now < kStart + 100 * kLong) {
        now += kTenthsPerSecond;
        const std::size_t next = division.dedicated_count(idle_runners(20), 0, now);
        BOOST_REQUIRE((next == kept || next + 1 == kept));
        kept = next;
    }
    BOOST_TEST(kept == 1U);
    BOOST_TEST(now - kStart > static_cast<Tenths>(many) * 2 * kTenthsPerSecond);
}

BOOST_AUTO_TEST_CASE(a_burst_of_links_is_not_remembered_beyond_the_runners_there_are) {
    DecodePartition division;
    BOOST_TEST(division.dedicated_count(idle_runners(10), 1000, kStart) == 10U);
    BOOST_TEST(division.dedicated_count(idle_runners(10), 0, kStart + kLong) == 9U);
}

BOOST_AUTO_TEST_CASE(load_that_moves_a_little_moves_no_runner) {
    DecodePartition division;
    const std::size_t kept = division.dedicated_count(idle_runners(20), 3, kStart);
    for (int i = 1; i <= 40; ++i)
        BOOST_TEST(division.dedicated_count(idle_runners(20), i % 2 == 0 ? 3 : 2.2, kStart + i * kLong) ==
                   kept);
}

BOOST_AUTO_TEST_CASE(the_first_runners_of_the_order_stand_in_different_zones) {
    std::vector<model::Instance> instances;
    for (int i = 0; i < 12; ++i)
        instances.push_back(runner("r" + std::to_string(i), i < 9 ? "a" : i < 11 ? "b" : "c"));
    std::vector<const model::Instance*> seen;
    for (const model::Instance& instance : instances) seen.push_back(&instance);
    const std::vector<std::size_t> order = decode_server_order(seen, "service");
    BOOST_TEST((std::set<std::size_t>(order.begin(), order.end()).size() == 12U));
    std::set<std::string> zones;
    for (std::size_t i = 0; i < 3; ++i) zones.insert(instances[order[i]].zone);
    BOOST_TEST(zones.size() == 3U);
    // Another node, which met them in another order, finds the same.
    std::vector<const model::Instance*> reversed(seen.rbegin(), seen.rend());
    const std::vector<std::size_t> other = decode_server_order(reversed, "service");
    for (std::size_t i = 0; i < 12; ++i) BOOST_TEST(reversed[other[i]]->id == seen[order[i]]->id);
}

BOOST_AUTO_TEST_CASE(a_readers_links_follow_from_moves_and_from_its_quickest_reading) {
    KvTransferLoad load;
    const double unseen = load.links_for_reader();
    BOOST_TEST((unseen > 0 && unseen < 1));
    for (int i = 0; i < 50; ++i) {
        load.add(50, 4000);
        load.read(4000, i % 5 == 0 ? 200 : 900); // most of them waited
    }
    BOOST_TEST(load.links_for_reader() == 0.25, boost::test_tools::tolerance(0.1));
    BOOST_TEST(load.worth_a_runner());
}

BOOST_AUTO_TEST_CASE(moves_that_take_as_long_as_readings_are_not_worth_a_runner) {
    KvTransferLoad load;
    for (int i = 0; i < 50; ++i) load.add(300, 4000), load.read(4000, 200);
    BOOST_TEST(!load.worth_a_runner());
    BOOST_TEST(load.links_for_reader() == 1.0); // its own link carries no more
}

BOOST_AUTO_TEST_CASE(short_readings_tell_no_pace_and_an_old_one_is_forgotten) {
    KvTransferLoad load;
    load.add(50, 4000);
    const double unseen = load.links_for_reader();
    load.read(10, 100);
    BOOST_TEST(load.links_for_reader() == unseen);
    load.read(4000, 100);
    const double quick = load.links_for_reader();
    for (int i = 0; i < 200; ++i) load.read(4000, 400);
    BOOST_TEST(load.links_for_reader() == quick / 4, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(the_wait_for_a_link_grows_with_its_load_and_stays_finite) {
    KvTransferLoad load;
    load.add(50, 4000);
    BOOST_TEST(load.wait(0) == 0);
    BOOST_TEST(load.wait(0.5) < load.wait(0.9));
    BOOST_TEST(load.wait(50) < 1e5);
    BOOST_TEST(load.wait(-1) == 0);
}

BOOST_AUTO_TEST_CASE(fetches_of_late_count_and_are_forgotten) {
    KvTransferLoad load;
    BOOST_TEST(load.fetch_time(kStart) == 0);
    for (int i = 0; i < 10; ++i) load.fetched(3000, kStart);
    BOOST_TEST(load.fetch_time(kStart) == 3000, boost::test_tools::tolerance(0.01));
    load.fetched(100, kStart);
    BOOST_TEST(load.fetch_time(kStart) < 3000);
    BOOST_TEST(load.fetch_time(kStart + kLong) < 1);
}
