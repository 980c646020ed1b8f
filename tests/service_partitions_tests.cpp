// How heartbeats are spread over the control nodes, and what each judges of the servers' silence.
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

constexpr Tenths kBeat = 12'000, kStart = 1'000'000;

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

std::map<std::string, int> targets(ServicePartitions& parts, int servers) {
    std::map<std::string, int> counts;
    for (int i = 0; i < servers; ++i) ++counts[parts.heartbeat_target("model", server(i).id)];
    return counts;
}

feed::InstanceTable table_of(int servers) {
    feed::InstanceTable table;
    for (int i = 0; i < servers; ++i) table.merge(server(i), kStart);
    return table;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_owner_takes_the_heartbeats_of_all_its_servers_while_it_has_room) {
    ServicePartitions parts(100);
    parts.set_nodes(nodes(5));
    parts.count_servers(table_of(100));
    const auto counts = targets(parts, 100);
    BOOST_TEST(counts.size() == 1U);
    BOOST_TEST(counts.begin()->first == owner_of("model", nodes(5)));
}

BOOST_AUTO_TEST_CASE(what_is_beyond_the_owners_room_is_spread_over_the_others) {
    ServicePartitions parts(200);
    parts.set_nodes(nodes(5));
    parts.count_servers(table_of(1000));
    const auto counts = targets(parts, 1000);
    BOOST_TEST(counts.size() == 5U);
    for (const auto& [node, count] : counts) BOOST_TEST(count < 260, node << " takes " << count);
}

BOOST_AUTO_TEST_CASE(every_node_finds_the_same_targets_and_few_move_when_one_goes) {
    ServicePartitions some(200), others(200);
    some.set_nodes(nodes(6));
    others.set_nodes(nodes(6));
    some.count_servers(table_of(1000)), others.count_servers(table_of(1000));
    int alike = 0, stayed = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::string id = server(i).id;
        alike += some.heartbeat_target("model", id) == others.heartbeat_target("model", id) ? 1 : 0;
    }
    std::vector<std::string> left = nodes(6);
    const std::string owner = owner_of("model", left);
    std::erase(left, left.front() == owner ? left.back() : left.front());
    others.set_nodes(left);
    others.count_servers(table_of(1000));
    for (int i = 0; i < 1000; ++i) {
        const std::string id = server(i).id;
        stayed += some.heartbeat_target("model", id) == others.heartbeat_target("model", id) ? 1 : 0;
    }
    BOOST_TEST(alike == 1000);
    BOOST_TEST(stayed > 780);
}

// A node that knows of the owner's end, and one that does not yet, tell at least one that watches.
BOOST_AUTO_TEST_CASE(the_watchers_are_the_owner_and_whoever_follows_it) {
    ServicePartitions parts(0);
    for (int service = 0; service < 20; ++service) {
        const std::string name = "s" + std::to_string(service);
        std::vector<std::string> alive = nodes(5);
        parts.set_nodes(alive);
        const auto watchers = parts.watchers(name);
        BOOST_REQUIRE(watchers.size() == 2U);
        BOOST_TEST(watchers.front() == owner_of(name, alive));
        std::erase(alive, watchers.front());
        BOOST_TEST(watchers.back() == owner_of(name, alive));
    }
    parts.set_nodes({});
    BOOST_TEST(parts.watchers("s").empty());
    BOOST_TEST(parts.heartbeat_target("s", "i-1").empty());
}

BOOST_AUTO_TEST_CASE(only_owned_services_are_judged_silent_then_gone) {
    feed::InstanceTable table;
    table.merge(server(1), kStart);
    table.merge(server(2, "other"), kStart);
    FailureDetector detector(kBeat);
    const auto owned = [](const std::string& service) { return service == "model"; };
    BOOST_TEST(detector.check(table, owned, kStart).empty());
    BOOST_TEST(detector.check(table, owned, kStart + 2 * kBeat).empty());
    const auto silent = detector.check(table, owned, kStart + 3 * kBeat);
    BOOST_REQUIRE(silent.size() == 1U);
    BOOST_TEST(silent.front().id == "i-1");
    BOOST_TEST((silent.front().state == model::InstanceState::kSilent));
    detector.discount_pause(2 * kBeat); // this process stood still itself
    BOOST_TEST(detector.check(table, owned, kStart + 4 * kBeat).empty());
    detector.restart_timeouts(kStart + 20 * kBeat);
    BOOST_TEST(detector.check(table, owned, kStart + 22 * kBeat).empty());
    const auto gone = detector.check(table, owned, kStart + 45 * kBeat);
    BOOST_REQUIRE(gone.size() == 1U);
    BOOST_TEST((gone.front().state == model::InstanceState::kGone));
}

BOOST_AUTO_TEST_CASE(a_copy_counts_only_where_it_answers_this_processs_question) {
    SyncTracker copies(77);
    const auto question = copies.request(5, kStart);
    BOOST_REQUIRE(question.has_value());
    BOOST_TEST(!copies.request(5, kStart + 100).has_value()); // it is asked already
    BOOST_TEST(copies.request(5, kStart + 6000).has_value()); // no answer came
    copies.reply_received(5, {78, question->id.number});
    copies.reply_received(5, question->id); // of the question before
    BOOST_TEST(copies.synced_members().empty());
    BOOST_TEST(copies.dropped_replies().other_process == 1U);
    BOOST_TEST(copies.dropped_replies().unsolicited == 1U);
    copies.reset();
    const auto anew = copies.request(5, kStart + 7000);
    BOOST_REQUIRE(anew.has_value());
    copies.reply_received(5, anew->id);
    BOOST_TEST(copies.synced_members().contains(5));
    BOOST_TEST(!copies.request(5, kStart + 90'000).has_value());
}

// Of five hundred nodes that join within a second the list is told a few times, not five hundred.
BOOST_AUTO_TEST_CASE(a_long_list_of_edge_nodes_is_told_in_steps) {
    EdgeNodeList list;
    std::vector<model::EdgeNode> sessions;
    int told = 0;
    Tenths now = kStart;
    for (int i = 0; i < 500; ++i, now += 20) {
        sessions.push_back({"edge-" + std::to_string(i), "a", "10.0.0.1", 1});
        told += list.update(sessions, now) ? 1 : 0;
    }
    BOOST_TEST(told < 60);
    BOOST_TEST(list.update(sessions, now + 10'000).has_value()); // what was too soon follows
    BOOST_TEST(list.listed().size() == 500U);
    BOOST_TEST(!list.update(sessions, now + 30'000).has_value());
}

BOOST_AUTO_TEST_CASE(a_short_list_of_edge_nodes_is_told_at_once) {
    EdgeNodeList list;
    std::vector<model::EdgeNode> sessions;
    for (int i = 0; i < 9; ++i) {
        sessions.push_back({"edge-" + std::to_string(i), "a", "10.0.0.1", 1});
        BOOST_TEST(list.update(sessions, kStart + i * 200).has_value());
    }
}
