// Assignment of services and heartbeats to control nodes, the failure detector, the sync tracker and the list
// of edge nodes.
#define BOOST_TEST_MODULE service_partitions
#include "control/edge_node_list.hpp"
#include "control/failure_detector.hpp"
#include "control/service_partitions.hpp"
#include "control/sync_tracker.hpp"

#include <boost/test/included/unit_test.hpp>
#include <map>

namespace {

using namespace ivyrill;
using namespace ivyrill::control;

constexpr Ticks kInterval = 12'000, kStart = 1'000'000;

model::Instance server(int number, const std::string& service = "model") {
    model::Instance made;
    made.id = "i-" + std::to_string(number), made.service = service;
    made.address = "10.0.0." + std::to_string(number) + ":80", made.revision = 1;
    return made;
}

std::vector<std::string> nodes(int count) {
    std::vector<std::string> made;
    for (int i = 0; i < count; ++i) made.push_back("10.1.0." + std::to_string(i) + ":7300");
    return made;
}

std::map<std::string, int> targets(ServicePartitions& partitions, int servers) {
    std::map<std::string, int> counts;
    for (int i = 0; i < servers; ++i) ++counts[partitions.heartbeat_target("model", server(i).id)];
    return counts;
}

feed::InstanceTable table_of(int servers) {
    feed::InstanceTable table;
    for (int i = 0; i < servers; ++i) table.merge(server(i), kStart);
    return table;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_owner_receives_the_heartbeats_of_all_its_servers_up_to_its_limit) {
    ServicePartitions partitions(100);
    partitions.set_nodes(nodes(5));
    partitions.count_servers(table_of(100));
    const auto counts = targets(partitions, 100);
    BOOST_TEST(counts.size() == 1U);
    BOOST_TEST(counts.begin()->first == owner_of("model", nodes(5)));
}

BOOST_AUTO_TEST_CASE(heartbeats_beyond_the_owners_limit_are_spread_over_the_others) {
    ServicePartitions partitions(200);
    partitions.set_nodes(nodes(5));
    partitions.count_servers(table_of(1000));
    const auto counts = targets(partitions, 1000);
    BOOST_TEST(counts.size() == 5U);
    for (const auto& [node, count] : counts) BOOST_TEST(count < 260, node << " takes " << count);
}

BOOST_AUTO_TEST_CASE(all_nodes_compute_the_same_targets_and_few_move_when_one_is_lost) {
    ServicePartitions some(200), others(200);
    some.set_nodes(nodes(6));
    others.set_nodes(nodes(6));
    some.count_servers(table_of(1000)), others.count_servers(table_of(1000));
    int same = 0, unchanged = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::string id = server(i).id;
        same += some.heartbeat_target("model", id) == others.heartbeat_target("model", id) ? 1 : 0;
    }
    std::vector<std::string> remaining = nodes(6);
    const std::string owner = owner_of("model", remaining);
    std::erase(remaining, remaining.front() == owner ? remaining.back() : remaining.front());
    others.set_nodes(remaining);
    others.count_servers(table_of(1000));
    for (int i = 0; i < 1000; ++i) {
        const std::string id = server(i).id;
        unchanged += some.heartbeat_target("model", id) == others.heartbeat_target("model", id) ? 1 : 0;
    }
    BOOST_TEST(same == 1000);
    BOOST_TEST(unchanged > 780);
}

// Nodes that have and have not yet noticed the owner's failure notify at least one common watcher.
BOOST_AUTO_TEST_CASE(the_watchers_are_the_owner_and_its_successor) {
    ServicePartitions partitions(0);
    for (int service = 0; service < 20; ++service) {
        const std::string name = "s" + std::to_string(service);
        std::vector<std::string> alive = nodes(5);
        partitions.set_nodes(alive);
        const auto watchers = partitions.watchers(name);
        BOOST_REQUIRE(watchers.size() == 2U);
        BOOST_TEST(watchers.front() == owner_of(name, alive));
        std::erase(alive, watchers.front());
        BOOST_TEST(watchers.back() == owner_of(name, alive));
    }
    partitions.set_nodes({});
    BOOST_TEST(partitions.watchers("s").empty());
    BOOST_TEST(partitions.heartbeat_target("s", "i-1").empty());
}

BOOST_AUTO_TEST_CASE(servers_of_owned_services_become_silent_then_gone) {
    feed::InstanceTable table;
    table.merge(server(1), kStart);
    table.merge(server(2, "other"), kStart);
    FailureDetector detector(kInterval);
    const auto owned = [](const std::string& service) { return service == "model"; };
    BOOST_TEST(detector.check(table, owned, kStart).empty());
    BOOST_TEST(detector.check(table, owned, kStart + 2 * kInterval).empty());
    const auto silent = detector.check(table, owned, kStart + 3 * kInterval);
    BOOST_REQUIRE(silent.size() == 1U);
    BOOST_TEST(silent.front().id == "i-1");
    BOOST_TEST((silent.front().state == model::InstanceState::kSilent));
    detector.exclude_suspension(2 * kInterval); // this process itself was suspended
    BOOST_TEST(detector.check(table, owned, kStart + 4 * kInterval).empty());
    detector.restart_timeouts(kStart + 20 * kInterval);
    BOOST_TEST(detector.check(table, owned, kStart + 22 * kInterval).empty());
    const auto gone = detector.check(table, owned, kStart + 45 * kInterval);
    BOOST_REQUIRE(gone.size() == 1U);
    BOOST_TEST((gone.front().state == model::InstanceState::kGone));
}

BOOST_AUTO_TEST_CASE(only_a_reply_to_a_request_of_this_process_completes_a_sync) {
    SyncTracker tracker(77);
    const auto request = tracker.request(5, kStart);
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(!tracker.request(5, kStart + 100).has_value()); // a request is pending
    BOOST_TEST(tracker.request(5, kStart + 6000).has_value()); // no reply arrived
    tracker.reply_received(5, {78, request->id.number});
    tracker.reply_received(5, request->id); // of the earlier request
    BOOST_TEST(tracker.synced_members().empty());
    BOOST_TEST(tracker.dropped_replies().other_process == 1U);
    BOOST_TEST(tracker.dropped_replies().unsolicited == 1U);
    tracker.reset();
    const auto next_request = tracker.request(5, kStart + 7000);
    BOOST_REQUIRE(next_request.has_value());
    tracker.reply_received(5, next_request->id);
    BOOST_TEST(tracker.synced_members().contains(5));
    BOOST_TEST(!tracker.request(5, kStart + 90'000).has_value());
}

// While 500 nodes join within a second, the list is published a few times, not 500 times.
BOOST_AUTO_TEST_CASE(a_long_list_of_edge_nodes_is_published_at_intervals) {
    EdgeNodeList list;
    std::vector<model::EdgeNode> sessions;
    int published = 0;
    Ticks now = kStart;
    for (int i = 0; i < 500; ++i, now += 20) {
        sessions.push_back({"edge-" + std::to_string(i), "a", "10.0.0.1", 1});
        published += list.update(sessions, now) ? 1 : 0;
    }
    BOOST_TEST(published < 60);
    BOOST_TEST(list.update(sessions, now + 10'000).has_value()); // the change that was held back follows
    BOOST_TEST(list.listed().size() == 500U);
    BOOST_TEST(!list.update(sessions, now + 30'000).has_value());
}

BOOST_AUTO_TEST_CASE(a_short_list_of_edge_nodes_is_published_at_once) {
    EdgeNodeList list;
    std::vector<model::EdgeNode> sessions;
    for (int i = 0; i < 9; ++i) {
        sessions.push_back({"edge-" + std::to_string(i), "a", "10.0.0.1", 1});
        BOOST_TEST(list.update(sessions, kStart + i * 200).has_value());
    }
}
