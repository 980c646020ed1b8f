// Which node reads which server's report, and that keeping it up gives the same as finding it anew.
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
    std::vector<model::EdgeNode> made;
    for (std::size_t i = first; i < end; ++i) made.push_back({"edge-" + std::to_string(i), "zone", "", 1});
    return made;
}

std::string server(std::size_t number) { return "i-" + std::to_string(number); }

} // namespace

BOOST_AUTO_TEST_CASE(every_server_has_one_reader_and_every_node_reads_some) {
    agent::ReportAssignment duties;
    duties.set_nodes(nodes(0, 10));
    std::map<std::string, int> read;
    for (std::size_t i = 0; i < 500; ++i) ++read[duties.reader(server(i))];
    BOOST_TEST(read.size() == 10U);
    for (const auto& [node, count] : read) BOOST_TEST(count > 20);
}

BOOST_AUTO_TEST_CASE(kept_up_over_joins_and_losses_it_is_what_is_found_anew) {
    agent::ReportAssignment kept;
    Pcg random(7);
    std::vector<model::EdgeNode> present = nodes(0, 5);
    for (std::size_t round = 0; round < 60; ++round) {
        if (present.size() > 2 && random.unit() < 0.5)
            present.erase(present.begin() +
                          static_cast<std::ptrdiff_t>(random.unit() * static_cast<double>(present.size())));
        else
            present.push_back({"joined-" + std::to_string(round), "zone", "", round});
        kept.set_nodes(present);
        for (std::size_t i = 0; i < 100; ++i)
            BOOST_TEST(kept.reader(server(i)) == agent::poller_of(server(i), present));
    }
}

BOOST_AUTO_TEST_CASE(a_node_that_leaves_moves_only_its_own_servers) {
    agent::ReportAssignment duties;
    duties.set_nodes(nodes(0, 10));
    std::vector<std::string> before;
    for (std::size_t i = 0; i < 200; ++i) before.push_back(duties.reader(server(i)));
    duties.set_nodes(nodes(1, 10));
    for (std::size_t i = 0; i < 200; ++i) {
        if (before[i] != "edge-0") BOOST_TEST(duties.reader(server(i)) == before[i]);
        BOOST_TEST(duties.reader(server(i)) != "edge-0");
    }
}

BOOST_AUTO_TEST_CASE(without_nodes_nobody_reads_until_one_joins) {
    agent::ReportAssignment duties;
    BOOST_TEST(duties.reader(server(1)).empty());
    duties.set_nodes(nodes(0, 1));
    BOOST_TEST(duties.reader(server(1)) == "edge-0");
    duties.bound(0);
    BOOST_TEST(duties.reader(server(1)) == "edge-0");
}

// 3,000 servers read twice a second by 300 nodes and told to all held a control node's processor and link.
BOOST_AUTO_TEST_CASE(reports_come_in_proportion_more_rarely_in_a_large_fleet) {
    transport::Reactor reactor;
    agent::ReportPoller reader(reactor, {"edge-0", 5000, 150}, [](const model::Load&) {});
    std::map<std::string, model::Instance> instances;
    const auto grow = [&](std::size_t count) {
        for (std::size_t i = instances.size(); i < count; ++i) instances[server(i)].id = server(i);
        reader.assign(instances, nodes(1, 3)); // others read them
    };
    grow(14);
    BOOST_TEST(reader.interval() == 5000);
    grow(150);
    BOOST_TEST(reader.interval() == 5000);
    grow(3000);
    BOOST_TEST(reader.interval() == 100'000);
    BOOST_TEST(reader.readings() == 0U);
}

BOOST_AUTO_TEST_CASE(reports_that_say_what_cannot_be_are_dropped) {
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

BOOST_AUTO_TEST_CASE(a_report_tells_of_stage_and_orders) {
    const auto report = [](const std::string& fields) {
        return agent::read_report("i-1", 24,
                                  R"({"waiting":1,"running":2,"kvUsed":3,"kvTotal":9)" + fields + "}");
    };
    const auto whole = report(R"(,"stage":"prefill","busy":true,"callSeq":2)");
    BOOST_REQUIRE(whole.has_value());
    BOOST_TEST((whole->stage == model::Stage::kPrefill && whole->changing && whole->orders_accepted == 2));
    const auto without = report("");
    BOOST_REQUIRE(without.has_value());
    BOOST_TEST(
        (without->stage == model::Stage::kNone && !without->changing && without->orders_accepted == 0));
    for (const char* spoilt : {R"(,"callSeq":-1)", R"(,"callSeq":"two")", R"(,"busy":1)", R"(,"stage":3)"})
        BOOST_TEST(!report(spoilt).has_value(), spoilt);
}
