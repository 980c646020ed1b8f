// The schedule and the targets of the heartbeats of a simulated model server.
#define BOOST_TEST_MODULE heartbeats
#include "lab/heartbeats.hpp"

#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using namespace ivyrill::lab;

constexpr Ticks kSecond = kTicksPerSecond, kStart = 1000 * kSecond;
const HeartbeatAnswer kAccepted{200, "", "{}"};

HeartbeatPlan plan() {
    HeartbeatPlan plan;
    plan.control = {"n1:1", "n2:1", "n3:1"};
    return plan;
}

} // namespace

BOOST_AUTO_TEST_CASE(heartbeats_follow_the_interval_with_increasing_sequence_numbers) {
    Heartbeats heartbeats(plan(), kStart);
    const auto first = heartbeats.begin(kStart);
    BOOST_REQUIRE(first);
    BOOST_TEST(first->address == "n1:1");
    BOOST_TEST((first->kind == HeartbeatKind::kServing));
    BOOST_TEST(!heartbeats.begin(kStart + 10 * kSecond)); // one call at a time
    heartbeats.answered(kAccepted, kStart);
    BOOST_TEST(!heartbeats.begin(kStart + plan().interval - 1));
    const auto second = heartbeats.begin(kStart + plan().interval);
    BOOST_REQUIRE(second);
    BOOST_TEST(second->sequence > first->sequence);
    BOOST_TEST(second->address == "n1:1");
}

BOOST_AUTO_TEST_CASE(after_a_failure_the_next_node_is_called_and_after_all_of_them_there_is_a_pause) {
    Heartbeats heartbeats(plan(), kStart);
    BOOST_TEST(heartbeats.begin(kStart)->address == "n1:1");
    heartbeats.failed(kStart);
    BOOST_TEST(heartbeats.begin(kStart)->address == "n2:1");
    heartbeats.answered({503, "", ""}, kStart);
    BOOST_TEST(heartbeats.begin(kStart)->address == "n3:1");
    heartbeats.answered({200, "", std::string(Heartbeats::kMostAnswer + 1, ' ')}, kStart);
    BOOST_TEST(!heartbeats.begin(kStart));
    BOOST_REQUIRE(heartbeats.due());
    BOOST_TEST(*heartbeats.due() <= kStart + kSecond);
    BOOST_TEST(heartbeats.begin(*heartbeats.due())->address == "n1:1");
    BOOST_TEST(heartbeats.acknowledged() == 0U);
}

BOOST_AUTO_TEST_CASE(a_returned_address_is_used_until_a_heartbeat_to_it_fails) {
    Heartbeats heartbeats(plan(), kStart);
    heartbeats.begin(kStart);
    heartbeats.answered({200, "", R"({"beatAddr":"n9:1"})"}, kStart);
    Ticks now = kStart + plan().interval;
    BOOST_TEST(heartbeats.begin(now)->address == "n9:1");
    heartbeats.answered(kAccepted, now);
    now += plan().interval;
    BOOST_TEST(heartbeats.begin(now)->address == "n9:1");
    heartbeats.failed(now);
    BOOST_TEST(heartbeats.begin(now)->address == "n1:1");
}

BOOST_AUTO_TEST_CASE(at_most_two_redirects_are_followed) {
    Heartbeats heartbeats(plan(), kStart);
    const HeartbeatAnswer redirect{307, "http://n8:1/instances/i-1", ""};
    heartbeats.begin(kStart);
    heartbeats.answered(redirect, kStart);
    BOOST_TEST(heartbeats.begin(kStart)->address == "n8:1");
    heartbeats.answered(redirect, kStart);
    BOOST_TEST(heartbeats.begin(kStart)->address == "n8:1");
    heartbeats.answered(redirect, kStart);
    BOOST_TEST(heartbeats.begin(kStart)->address == "n2:1");
}

BOOST_AUTO_TEST_CASE(a_server_drains_then_deregisters_and_ends) {
    Heartbeats heartbeats(plan(), kStart);
    heartbeats.begin(kStart);
    heartbeats.leave(kStart + 10);
    BOOST_TEST(!heartbeats.begin(kStart + 10)); // the first call is still in progress
    heartbeats.answered(kAccepted, kStart + 20);
    const auto draining_call = heartbeats.begin(kStart + 20);
    BOOST_REQUIRE(draining_call);
    BOOST_TEST((draining_call->kind == HeartbeatKind::kDraining));
    heartbeats.answered(kAccepted, kStart + 30);
    const Ticks leaves_at = kStart + 30 + plan().drain + plan().drain_more;
    Ticks now = kStart + 30 + plan().interval;
    BOOST_TEST((heartbeats.begin(now)->kind == HeartbeatKind::kDraining));
    heartbeats.answered(kAccepted, now);
    now += plan().interval;
    BOOST_TEST((heartbeats.begin(now)->kind == HeartbeatKind::kDraining));
    heartbeats.answered(kAccepted, now);
    BOOST_TEST(*heartbeats.due() == leaves_at);
    BOOST_TEST((heartbeats.begin(leaves_at)->kind == HeartbeatKind::kLeave));
    BOOST_TEST(!heartbeats.ended());
    heartbeats.answered(kAccepted, leaves_at);
    BOOST_TEST(heartbeats.ended());
    BOOST_TEST(!heartbeats.due());
}

BOOST_AUTO_TEST_CASE(a_server_ends_after_a_timeout_without_acknowledgement) {
    Heartbeats heartbeats(plan(), kStart);
    heartbeats.leave(kStart);
    Ticks now = kStart;
    for (int calls = 0; !heartbeats.ended() && calls < 100; ++calls) {
        now = std::max(now, *heartbeats.due());
        BOOST_REQUIRE(heartbeats.begin(now));
        now += Heartbeats::kTimeout;
        heartbeats.failed(now);
    }
    BOOST_TEST(heartbeats.ended());
    BOOST_TEST(now >= kStart + plan().drain_unacknowledged);
    BOOST_TEST(now <= kStart + plan().drain_unacknowledged + 6 * Heartbeats::kTimeout);
}

BOOST_AUTO_TEST_CASE(a_server_without_control_nodes_ends_after_a_timeout) {
    Heartbeats heartbeats(HeartbeatPlan{}, kStart);
    BOOST_TEST(!heartbeats.begin(kStart));
    heartbeats.leave(kStart + kSecond);
    BOOST_TEST(!heartbeats.begin(kStart + kSecond));
    BOOST_TEST(!heartbeats.ended());
    BOOST_TEST(!heartbeats.begin(kStart + kSecond + HeartbeatPlan{}.drain_unacknowledged));
    BOOST_TEST(heartbeats.ended());
}
