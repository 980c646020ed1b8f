// Number and order of the dedicated decode servers, and the link load of KV transfers.
#define BOOST_TEST_MODULE decode_partition
#include "replica_selection/decode_partition.hpp"
#include "replica_selection/kv_transfer_load.hpp"

#include <boost/test/included/unit_test.hpp>
#include <set>

namespace {

using namespace ivyrill;
using namespace ivyrill::replica_selection;

constexpr Ticks kStart = 1000, kLong = 60 * kTicksPerSecond;

std::vector<DecodeServerLoad> idle_servers(std::size_t count) {
    return std::vector<DecodeServerLoad>(count, DecodeServerLoad{24, 0.0});
}

model::Instance decode_server(const std::string& id, const std::string& zone) {
    model::Instance made;
    made.id = id, made.zone = zone;
    return made;
}

} // namespace

BOOST_AUTO_TEST_CASE(dedicated_servers_grow_with_link_load) {
    std::size_t last = 0;
    for (const double busy_links : {0.0, 1.0, 3.0, 6.0}) {
        DecodePartition partition;
        const std::size_t dedicated = partition.dedicated_count(idle_servers(20), busy_links, kStart);
        BOOST_TEST(static_cast<double>(dedicated) * kMaxLinkUtilization >= busy_links);
        BOOST_TEST((dedicated > last || busy_links == 0.0));
        last = dedicated;
    }
    BOOST_TEST(last < 20U);
}

BOOST_AUTO_TEST_CASE(servers_are_dedicated_at_once_and_released_one_by_one) {
    DecodePartition partition;
    const std::size_t many = partition.dedicated_count(idle_servers(20), 6, kStart);
    BOOST_TEST(partition.dedicated_count(idle_servers(20), 0, kStart + kTicksPerSecond) == many);
    Ticks now = kStart;
    std::size_t dedicated = many;
    while (dedicated > 1 && now < kStart + 100 * kLong) {
        now += kTicksPerSecond;
        const std::size_t next = partition.dedicated_count(idle_servers(20), 0, now);
        BOOST_REQUIRE((next == dedicated || next + 1 == dedicated));
        dedicated = next;
    }
    BOOST_TEST(dedicated == 1U);
    BOOST_TEST(now - kStart > static_cast<Ticks>(many) * 2 * kTicksPerSecond);
}

BOOST_AUTO_TEST_CASE(burst_of_link_load_is_bounded_by_the_server_count) {
    DecodePartition partition;
    BOOST_TEST(partition.dedicated_count(idle_servers(10), 1000, kStart) == 10U);
    BOOST_TEST(partition.dedicated_count(idle_servers(10), 0, kStart + kLong) == 9U);
}

BOOST_AUTO_TEST_CASE(small_load_changes_change_nothing) {
    DecodePartition partition;
    const std::size_t dedicated = partition.dedicated_count(idle_servers(20), 3, kStart);
    for (int i = 1; i <= 40; ++i)
        BOOST_TEST(partition.dedicated_count(idle_servers(20), i % 2 == 0 ? 3 : 2.2, kStart + i * kLong) ==
                   dedicated);
}

BOOST_AUTO_TEST_CASE(first_servers_of_the_order_are_in_different_zones) {
    std::vector<model::Instance> instances;
    for (int i = 0; i < 12; ++i)
        instances.push_back(decode_server("r" + std::to_string(i), i < 9 ? "a" : i < 11 ? "b" : "c"));
    std::vector<const model::Instance*> seen;
    for (const model::Instance& instance : instances) seen.push_back(&instance);
    const std::vector<std::size_t> order = decode_server_order(seen, "service");
    BOOST_TEST((std::set<std::size_t>(order.begin(), order.end()).size() == 12U));
    std::set<std::string> zones;
    for (std::size_t i = 0; i < 3; ++i) zones.insert(instances[order[i]].zone);
    BOOST_TEST(zones.size() == 3U);
    // Another node, with another input order, gets the same result.
    std::vector<const model::Instance*> reversed(seen.rbegin(), seen.rend());
    const std::vector<std::size_t> other = decode_server_order(reversed, "service");
    for (std::size_t i = 0; i < 12; ++i) BOOST_TEST(reversed[other[i]]->id == seen[order[i]]->id);
}

BOOST_AUTO_TEST_CASE(link_load_follows_from_transfers_and_the_fastest_prefill) {
    KvTransferLoad load;
    const double unseen = load.links_per_prefill_server();
    BOOST_TEST((unseen > 0 && unseen < 1));
    for (int i = 0; i < 50; ++i) {
        load.add(50, 4000);
        load.add_prefill(4000, i % 5 == 0 ? 200 : 900); // most of them queued
    }
    BOOST_TEST(load.links_per_prefill_server() == 0.25, boost::test_tools::tolerance(0.1));
    BOOST_TEST(load.worth_dedicated_server());
}

BOOST_AUTO_TEST_CASE(slow_transfers_are_not_worth_a_dedicated_server) {
    KvTransferLoad load;
    for (int i = 0; i < 50; ++i) load.add(300, 4000), load.add_prefill(4000, 200);
    BOOST_TEST(!load.worth_dedicated_server());
    BOOST_TEST(load.links_per_prefill_server() == 1.0); // the limit of its own link
}

BOOST_AUTO_TEST_CASE(short_prefills_are_ignored_and_old_speeds_decay) {
    KvTransferLoad load;
    load.add(50, 4000);
    const double unseen = load.links_per_prefill_server();
    load.add_prefill(10, 100);
    BOOST_TEST(load.links_per_prefill_server() == unseen);
    load.add_prefill(4000, 100);
    const double quick = load.links_per_prefill_server();
    for (int i = 0; i < 200; ++i) load.add_prefill(4000, 400);
    BOOST_TEST(load.links_per_prefill_server() == quick / 4, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(wait_for_a_link_grows_with_load_and_stays_finite) {
    KvTransferLoad load;
    load.add(50, 4000);
    BOOST_TEST(load.wait(0) == 0);
    BOOST_TEST(load.wait(0.5) < load.wait(0.9));
    BOOST_TEST(load.wait(50) < 1e5);
    BOOST_TEST(load.wait(-1) == 0);
}

BOOST_AUTO_TEST_CASE(fetch_times_count_and_decay) {
    KvTransferLoad load;
    BOOST_TEST(load.fetch_time(kStart) == 0);
    for (int i = 0; i < 10; ++i) load.add_fetch(3000, kStart);
    BOOST_TEST(load.fetch_time(kStart) == 3000, boost::test_tools::tolerance(0.01));
    load.add_fetch(100, kStart);
    BOOST_TEST(load.fetch_time(kStart) < 3000);
    BOOST_TEST(load.fetch_time(kStart + kLong) < 1);
}
