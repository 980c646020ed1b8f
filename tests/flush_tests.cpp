// Feed: schedule of flushes, snapshots shared by several subscribers, and digests of the instance table.
#define BOOST_TEST_MODULE flush_tests
#include "base/pcg.hpp"
#include "feed/flush_plan.hpp"
#include "feed/instance_table.hpp"
#include "feed/publisher.hpp"
#include "feed/socket_link.hpp"
#include "feed/subscriber.hpp"
#include "transport/listener.hpp"

#include <boost/test/included/unit_test.hpp>

#include <optional>

namespace {

using namespace ivyrill;

constexpr Ticks kStart = 1'000'000, kGap = 300, kDelay = 1000;
constexpr Ticks kTimeout = 50'000; // for a test that should end by itself

model::Instance server(int number, std::uint64_t revision = 1) {
    model::Instance result;
    result.id = "i-" + std::to_string(number), result.service = "s", result.address = "127.0.0.1:9";
    result.revision = revision;
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(single_change_is_sent_at_once_and_later_ones_together) {
    feed::FlushPlan plan(kGap, kDelay);
    BOOST_TEST(plan.schedule(true, kStart) == kStart);
    plan.flushed(kStart);
    BOOST_TEST(plan.schedule(true, kStart + 1) == kStart + kGap);
    BOOST_TEST(plan.schedule(true, kStart + 200) == kStart + kGap);
    plan.flushed(kStart + kGap);
    BOOST_TEST(plan.schedule(true, kStart + 10 * kGap) == kStart + 10 * kGap);
}

BOOST_AUTO_TEST_CASE(batched_items_wait_and_are_sent_with_urgent_ones) {
    feed::FlushPlan plan(kGap, kDelay);
    plan.flushed(kStart);
    BOOST_TEST(plan.schedule(false, kStart + 50) == kStart + 50 + kDelay);
    BOOST_TEST(plan.schedule(false, kStart + 90) == kStart + 50 + kDelay); // not postponed by later items
    BOOST_TEST(plan.schedule(true, kStart + 100) == kStart + kGap);
    BOOST_TEST(plan.schedule(false, kStart + 110) == kStart + kGap);
}

BOOST_AUTO_TEST_CASE(incremental_digests_equal_recomputed_ones) {
    feed::InstanceTable table;
    Pcg random(3);
    for (int round = 0; round < 2000; ++round) {
        model::Instance record = server(static_cast<int>(random.unit() * 60), 1 + random.next() % 5);
        record.state = static_cast<model::InstanceState>(random.next() % 4);
        if (random.next() % 10 == 0) record.address.clear();
        if (random.next() % 8 == 0)
            table.forget(record.id);
        else
            table.merge(record, round);
        if (random.next() % 50 == 0) table.remove_expired(100, round);
        feed::InstanceTable recomputed;
        for (const auto& [id, known] : table.records()) recomputed.merge(known, round);
        BOOST_REQUIRE(table.digests().ranges == recomputed.digests().ranges);
    }
}

BOOST_AUTO_TEST_CASE(shared_snapshot_is_followed_by_later_items) {
    transport::Reactor reactor;
    feed::FeedLog log(5);
    for (int i = 0; i < 50; ++i) log.put(server(i));
    feed::Publisher publisher(reactor, log, {}, {});
    transport::Listener listener(reactor, "127.0.0.1:0", [&](int descriptor) {
        publisher.accept(feed::accept_socket(reactor, descriptor));
    });
    feed::SocketNetwork network(reactor);
    const std::string address = "127.0.0.1:" + std::to_string(listener.port());
    std::optional<feed::Subscriber> first, second;
    const auto options = [](const std::string& name) {
        feed::Subscriber::Options result;
        result.node.name = name;
        return result;
    };
    const auto publishers = [address] { return std::vector<std::string>{address}; };
    second.emplace(reactor, network, options("second"),
                   feed::Subscriber::Callbacks{publishers,
                                               [&](const auto&) {
                                                   if (second->tables().sequence() == log.sequence())
                                                       reactor.stop();
                                               },
                                               {},
                                               {},
                                               {},
                                               {}});
    first.emplace(reactor, network, options("first"),
                  feed::Subscriber::Callbacks{publishers,
                                              [&](const auto&) {
                                                  log.put(server(7, 2));
                                                  log.put(server(50));
                                                  reactor.free_later([&] { second->start(); });
                                              },
                                              {},
                                              {},
                                              {},
                                              {}});
    first->start();
    reactor.call_after(kTimeout, [&] { reactor.stop(); });
    reactor.run();
    const auto& records = second->tables().instances().records();
    BOOST_TEST(records.size() == 51U);
    BOOST_REQUIRE(records.contains("i-7"));
    BOOST_TEST(records.at("i-7").revision == 2U);
    BOOST_TEST(second->tables().sequence() == log.sequence());
}
