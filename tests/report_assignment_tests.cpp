// Assignment of servers' reports to nodes: incremental updates must equal a full computation.
#define BOOST_TEST_MODULE report_assignment
#include "agent/report_assignment.hpp"
#include "agent/report_poller.hpp"
#include "base/pcg.hpp"

#include <boost/test/included/unit_test.hpp>

#include <algorithm>
#include <map>

namespace {

using namespace ivyrill;

std::vector<model::EdgeNode> nodes(std::size_t first, std::size_t end) {
    std::vector<model::EdgeNode> list;
    for (std::size_t i = first; i < end; ++i) list.push_back({"edge-" + std::to_string(i), "zone", "", 1});
    return list;
}

std::string server(std::size_t number) { return "i-" + std::to_string(number); }

} // namespace

BOOST_AUTO_TEST_CASE(every_server_has_one_poller_and_every_node_polls_some) {
    agent::ReportAssignment assignment;
    assignment.set_nodes(nodes(0, 10));
    std::map<std::string, int> polled;
    for (std::size_t i = 0; i < 500; ++i) ++polled[assignment.poller(server(i))];
    BOOST_TEST(polled.size() == 10U);
    for (const auto& [node, count] : polled) BOOST_TEST(count > 20);
}

BOOST_AUTO_TEST_CASE(incremental_updates_equal_a_full_computation) {
    agent::ReportAssignment incremental;
    Pcg random(7);
    std::vector<model::EdgeNode> present = nodes(0, 5);
    for (std::size_t round = 0; round < 60; ++round) {
        if (present.size() > 2 && random.unit() < 0.5)
            present.erase(present.begin() +
                          static_cast<std::ptrdiff_t>(random.unit() * static_cast<double>(present.size())));
        else
            present.push_back({"joined-" + std::to_string(round), "zone", "", round});
        incremental.set_nodes(present);
        for (std::size_t i = 0; i < 100; ++i)
            BOOST_TEST(incremental.poller(server(i)) == agent::poller_of(server(i), present));
    }
}

BOOST_AUTO_TEST_CASE(leaving_node_moves_only_its_own_servers) {
    agent::ReportAssignment assignment;
    assignment.set_nodes(nodes(0, 10));
    std::vector<std::string> before;
    for (std::size_t i = 0; i < 200; ++i) before.push_back(assignment.poller(server(i)));
    assignment.set_nodes(nodes(1, 10));
    for (std::size_t i = 0; i < 200; ++i) {
        if (before[i] != "edge-0") BOOST_TEST(assignment.poller(server(i)) == before[i]);
        BOOST_TEST(assignment.poller(server(i)) != "edge-0");
    }
}

BOOST_AUTO_TEST_CASE(no_poller_until_a_node_joins) {
    agent::ReportAssignment assignment;
    BOOST_TEST(assignment.poller(server(1)).empty());
    assignment.set_nodes(nodes(0, 1));
    BOOST_TEST(assignment.poller(server(1)) == "edge-0");
    assignment.limit_cache(0);
    BOOST_TEST(assignment.poller(server(1)) == "edge-0");
}

// Guards against overload: 3,000 servers polled twice a second by 300 nodes, with every load sent to all
// nodes, saturated a control node's CPU and link.
BOOST_AUTO_TEST_CASE(report_interval_grows_with_the_fleet) {
    transport::Reactor reactor;
    agent::ReportPoller poller(reactor, {"edge-0", 5000, 150}, [](const model::Load&) {});
    std::map<std::string, model::Instance> instances;
    const auto grow = [&](std::size_t count) {
        for (std::size_t i = instances.size(); i < count; ++i) instances[server(i)].id = server(i);
        poller.assign(instances, nodes(1, 3)); // others poll them
    };
    grow(14);
    BOOST_TEST(poller.interval() == 5000);
    grow(150);
    BOOST_TEST(poller.interval() == 5000);
    grow(3000);
    BOOST_TEST(poller.interval() == 100'000);
    BOOST_TEST(poller.polled_servers() == 0U);
}

BOOST_AUTO_TEST_CASE(implausible_reports_are_dropped) {
    const std::int64_t slots = 24;
    const auto report = [&](const std::string& waiting, const std::string& running, const std::string& used) {
        return agent::read_report("i-1", slots,
                                  R"({"stage":"decode","waiting":)" + waiting + R"(,"running":)" + running +
                                      R"(,"kvUsed":)" + used + R"(,"kvTotal":90000})");
    };
    BOOST_REQUIRE(report("1", "24", "41000").has_value());
    BOOST_TEST(report("1", "24", "41000")->running == 24);
    BOOST_TEST(!report("-1", "12", "41000").has_value());
    BOOST_TEST(!report("99999999", "12", "41000").has_value());
    BOOST_TEST(!report("1", "25", "41000").has_value()); // more than slots
    BOOST_TEST(!report("1", "-3", "41000").has_value());
    BOOST_TEST(!report("1", "12", "-1").has_value());
    BOOST_TEST(!report("1", "12", "90001").has_value());
    BOOST_TEST(!report("1", "12", "\"many\"").has_value());
    BOOST_TEST(!agent::read_report("i-1", slots, "{\"waiting\":1").has_value());
}

BOOST_AUTO_TEST_CASE(report_contains_stage_and_order_count) {
    const auto report = [](const std::string& fields) {
        return agent::read_report("i-1", 24,
                                  R"({"waiting":1,"running":2,"kvUsed":3,"kvTotal":9)" + fields + "}");
    };
    const auto full = report(R"(,"stage":"prefill","busy":true,"callSeq":2)");
    BOOST_REQUIRE(full.has_value());
    BOOST_TEST((full->stage == model::Stage::kPrefill && full->changing && full->orders_accepted == 2));
    const auto without = report("");
    BOOST_REQUIRE(without.has_value());
    BOOST_TEST(
        (without->stage == model::Stage::kNone && !without->changing && without->orders_accepted == 0));
    for (const char* invalid : {R"(,"callSeq":-1)", R"(,"callSeq":"two")", R"(,"busy":1)", R"(,"stage":3)"})
        BOOST_TEST(!report(invalid).has_value(), invalid);
}
