// Autoscaling: wanted counts as the load changes, tracking of an order, and the calls a holder sends to the
// platform. Time, input and the platform's answers are supplied by the tests.
#define BOOST_TEST_MODULE autoscaler
#include "control/autoscale_duty.hpp"
#include "duties/platform_rate_limiter.hpp"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <utility>

namespace {

using namespace ivyrill;
using namespace ivyrill::duties;
using model::Stage;

constexpr Ticks kSecond = kTicksPerSecond, kStart = 1'000'000;
const model::Scaling kScaling{2, 24, 4};
const std::vector<std::string> kZones{"a", "b", "c", "d"};

// ---- a service's servers, the same number in each of four zones

struct Fleet {
    ScalingInput input;
    explicit Fleet(std::int64_t servers_per_zone) {
        for (const std::string& zone : kZones) input.target_counts.push_back({zone, servers_per_zone});
        input.demand = model::ServiceDemand{"model", 100, 0, 2, 0, 0.2};
        start_all();
    }
    // Starts all ordered servers.
    void start_all() {
        input.servers.clear();
        for (const ZoneServerCount& zone : input.target_counts)
            for (std::int64_t i = 0; i < zone.servers; ++i) add(zone.zone, i);
    }
    void add(const std::string& zone, std::int64_t number) {
        StagedServer server;
        server.id = zone + std::to_string(number), server.zone = zone;
        server.stage = number % 2 == 0 ? Stage::kPrefill : Stage::kDecode;
        server.reported = true, server.slots = 24;
        input.servers.push_back(server);
    }
    // Sets the utilization of every server.
    void load(double utilization) {
        for (StagedServer& server : input.servers) {
            const bool is_prefill = server.stage == Stage::kPrefill;
            server.running = is_prefill ? std::min(1.0, std::floor(utilization)) : utilization * server.slots;
            server.waiting = is_prefill ? 2 * (utilization - server.running) : 0;
        }
    }
    void lose(const std::string& zone) {
        std::erase_if(input.servers, [&](const StagedServer& server) { return server.zone == zone; });
    }
    std::int64_t ordered() const {
        std::int64_t sum = 0;
        for (const ZoneServerCount& zone : input.target_counts) sum += zone.servers;
        return sum;
    }
    void apply(const std::vector<ZoneServerCount>& wanted) {
        for (const ZoneServerCount& zone : wanted)
            std::ranges::find(input.target_counts, zone.zone, &ZoneServerCount::zone)->servers = zone.servers;
    }
};

// Load for `load_servers` fully used servers, divided among the running ones. Orders are executed
// immediately; new servers serve after the boot time.
struct ScalingLoop {
    Autoscaler controller;
    Ticks now = kStart, ready_at = 0;
    int changes = 0, reversals = 0;
    std::int64_t last_step = 0;
    void run(Fleet& fleet, Ticks span, double load_servers, const std::string& lost_zone = {}) {
        for (const Ticks end = now + span; now < end; now += Autoscaler::kInterval) {
            if (now >= ready_at) fleet.start_all();
            if (!lost_zone.empty()) fleet.lose(lost_zone);
            fleet.load(load_servers / static_cast<double>(fleet.input.servers.size()));
            fleet.input.demand->requests = 10 * load_servers;
            const std::int64_t before = fleet.ordered();
            fleet.apply(controller.plan(fleet.input, kScaling, now));
            const std::int64_t step = fleet.ordered() - before;
            if (step == 0) continue;
            ++changes, ready_at = now + (step > 0 ? 4 * kSecond : 0);
            if (last_step != 0 && (step > 0) != (last_step > 0)) ++reversals;
            last_step = step;
        }
    }
};

} // namespace

// ---- the controller

BOOST_AUTO_TEST_CASE(scales_up_in_one_step_and_down_in_small_ones) {
    Fleet fleet(8);
    ScalingLoop loop;
    loop.run(fleet, 10 * kSecond, 10);
    BOOST_TEST(loop.changes == 0);
    loop.run(fleet, 6 * kSecond, 19);
    BOOST_TEST(loop.changes == 1);
    const std::int64_t count_after_burst = fleet.ordered();
    BOOST_TEST(count_after_burst == 44); // the number required by a load of 19
    loop.run(fleet, 20 * kSecond, 19);
    BOOST_TEST(loop.changes == 1);
    loop.run(fleet, 9 * kSecond, 8);
    BOOST_TEST(fleet.ordered() == count_after_burst);
    loop.run(fleet, 4 * kSecond, 8);
    BOOST_TEST(fleet.ordered() == count_after_burst - 4);
    BOOST_TEST(loop.reversals == 1);
}

BOOST_AUTO_TEST_CASE(oscillating_load_causes_no_order) {
    Fleet fleet(8);
    ScalingLoop loop;
    for (int i = 0; i < 12; ++i) loop.run(fleet, 5 * kSecond, i % 2 == 0 ? 9 : 12);
    BOOST_TEST(loop.changes == 0);
}

BOOST_AUTO_TEST_CASE(load_alternating_every_six_seconds_does_not_cause_flapping) {
    Fleet fleet(8);
    ScalingLoop loop;
    for (int i = 0; i < 20; ++i) loop.run(fleet, 6 * kSecond, i % 2 == 0 ? 22 : 2);
    BOOST_TEST(loop.reversals == 0);
    BOOST_TEST(loop.changes <= 2);
}

BOOST_AUTO_TEST_CASE(lost_zone_is_compensated_in_the_other_zones) {
    Fleet fleet(8);
    ScalingLoop loop;
    loop.run(fleet, 5 * kSecond, 14);
    loop.run(fleet, 5 * kSecond, 14, "c");
    BOOST_TEST(loop.changes == 1);
    for (const ZoneServerCount& zone : fleet.input.target_counts)
        BOOST_TEST((zone.zone == "c" ? zone.servers == 8 : zone.servers > 8), zone.zone);
}

BOOST_AUTO_TEST_CASE(counts_stay_within_the_limits_of_a_zone) {
    Fleet fleet(8);
    ScalingLoop loop;
    for (int i = 1; i <= 20; ++i) loop.run(fleet, 10 * kSecond, 15 * i);
    for (const ZoneServerCount& zone : fleet.input.target_counts) BOOST_TEST(zone.servers == 24);
    loop.run(fleet, 600 * kSecond, 0);
    for (const ZoneServerCount& zone : fleet.input.target_counts) BOOST_TEST(zone.servers == 2);
}

// The observed count may be outside the limits; such a zone is not ordered back into them.
BOOST_AUTO_TEST_CASE(zone_outside_its_limits_is_not_changed) {
    Fleet fleet(30);
    ScalingLoop loop;
    loop.run(fleet, 60 * kSecond, 90);
    BOOST_TEST(loop.changes == 0);
}

BOOST_AUTO_TEST_CASE(orders_for_a_zone_outside_its_limits_lie_within_them) {
    for (const std::int64_t servers : {std::int64_t{30}, std::int64_t{1}}) {
        Fleet fleet(servers);
        ScalingLoop loop;
        loop.run(fleet, 12 * kSecond, servers == 30 ? 0 : 3);
        BOOST_TEST(loop.changes == 1);
        for (const ZoneServerCount& zone : fleet.input.target_counts) {
            BOOST_TEST(zone.servers >= kScaling.min_count);
            BOOST_TEST(zone.servers <= kScaling.max_count);
        }
    }
}

BOOST_AUTO_TEST_CASE(scale_down_leaves_enough_to_survive_the_largest_zone) {
    Fleet fleet(8);
    ScalingLoop loop;
    loop.run(fleet, 600 * kSecond, 4);
    BOOST_TEST(loop.changes > 0);
    BOOST_TEST(fleet.ordered() * 3 / 4 >= 12); // three of four zones carry a load that requires twelve
}

BOOST_AUTO_TEST_CASE(no_scale_down_while_crashed_servers_are_missing) {
    Fleet fleet(8);
    ScalingLoop loop;
    loop.run(fleet, 15 * kSecond, 6);
    const std::int64_t before = fleet.ordered();
    loop.ready_at = loop.now + 60 * kSecond; // crashed servers do not return
    fleet.input.servers.resize(fleet.input.servers.size() - 2);
    loop.run(fleet, 30 * kSecond, 6);
    BOOST_TEST(fleet.ordered() == before);
}

BOOST_AUTO_TEST_CASE(no_order_without_reports_or_demand) {
    Fleet fleet(8);
    fleet.load(3);
    Autoscaler controller;
    ScalingInput unreported = fleet.input, without_demand = fleet.input;
    for (std::size_t i = 0; i < unreported.servers.size() / 2; ++i) unreported.servers[i].reported = false;
    without_demand.demand.reset();
    for (Ticks at = kStart; at < kStart + 20 * kSecond; at += Autoscaler::kInterval) {
        BOOST_TEST(controller.plan(unreported, kScaling, at).empty());
        BOOST_TEST(controller.plan(without_demand, kScaling, at).empty());
        BOOST_TEST(controller.plan(ScalingInput{}, kScaling, at).empty());
    }
}

// Utilization falls little when more servers prefill at the same time, so the required count also follows
// from the request rate.
BOOST_AUTO_TEST_CASE(constant_utilization_does_not_cause_unbounded_growth) {
    Autoscaler controller;
    Fleet busy(8);
    for (Ticks at = kStart; at < kStart + 200 * kSecond; at += Autoscaler::kInterval) {
        busy.start_all(), busy.load(0.7);
        busy.apply(controller.plan(busy.input, kScaling, at));
    }
    BOOST_TEST(busy.ordered() > 32);
    BOOST_TEST(busy.ordered() <= 56); // shortage at 32; with 54 each server gets 0.6 of the requests
}

// ---- the order

BOOST_AUTO_TEST_CASE(order_is_sent_once_until_it_is_answered) {
    ScaleOrder order(7);
    BOOST_TEST(!order.due(kStart).has_value());
    order.request(12, kStart);
    BOOST_TEST((order.due(kStart) == 12));
    order.sent();
    BOOST_TEST(!order.due(kStart + kSecond).has_value());
    order.answered(12, PlatformOutcome::kAccepted, kStart + kSecond);
    BOOST_TEST((order.accepted() == 12));
    BOOST_TEST(!order.due(kStart + kSecond).has_value());
}

BOOST_AUTO_TEST_CASE(unaccepted_order_is_retried_with_increasing_backoff) {
    for (const auto outcome : {PlatformOutcome::kBusy, PlatformOutcome::kFailed, PlatformOutcome::kUnanswered,
                               PlatformOutcome::kNotSent}) {
        ScaleOrder order(7);
        Ticks now = kStart, last_backoff = 0;
        for (int tries = 0; tries < 3; ++tries) {
            order.request(12, now);
            order.sent();
            order.answered(12, outcome, now);
            const Ticks sent_at = now;
            while (!order.due(now)) now += 100;
            BOOST_TEST(now - sent_at > last_backoff);
            last_backoff = now - sent_at;
        }
        BOOST_TEST(!order.accepted().has_value());
    }
}

BOOST_AUTO_TEST_CASE(unaccepted_order_expires) {
    ScaleOrder order(7);
    order.request(12, kStart);
    BOOST_TEST(order.due(kStart + ScaleOrder::kOrderValidity - 1).has_value());
    BOOST_TEST(!order.due(kStart + ScaleOrder::kOrderValidity).has_value());
}

BOOST_AUTO_TEST_CASE(refusal_of_an_older_count_keeps_the_newer_one) {
    ScaleOrder order(12);
    order.request(3, kStart);
    order.sent();
    order.request(5, kStart);
    order.answered(3, PlatformOutcome::kRefused, kStart);
    BOOST_TEST((order.due(kStart + ScaleOrder::kInitialBackoff) == 5));
}

BOOST_AUTO_TEST_CASE(refused_order_is_not_retried_and_fenced_off_holder_stops) {
    ScaleOrder refused(7), fenced_off(7);
    refused.request(12, kStart), fenced_off.request(12, kStart);
    refused.answered(12, PlatformOutcome::kRefused, kStart);
    fenced_off.answered(12, PlatformOutcome::kFencedOff, kStart);
    BOOST_TEST(!refused.due(kStart + 5 * kSecond).has_value());
    refused.request(13, kStart + 5 * kSecond);
    BOOST_TEST(refused.due(kStart + 6 * kSecond).has_value());
    fenced_off.request(13, kStart + 5 * kSecond);
    BOOST_TEST(!fenced_off.due(kStart + 6 * kSecond).has_value());
}

// ---- the duty, with a platform controlled by the test

namespace {

struct SentCall {
    PlatformCall call;
    std::string holder;
    std::function<bool()> may_send;
    std::function<void(PlatformOutcome)> done;
};

class FakePlatform : public PlatformClient {
  public:
    std::vector<SentCall> calls;
    void send(const PlatformCall& call, const std::string& holder, std::function<bool()> may_send,
              std::function<void(PlatformOutcome)> done) override {
        calls.push_back({call, holder, std::move(may_send), std::move(done)});
    }
};

// One overloaded service in four zones; the node holds the duty for zone `held_zone`.
struct Holder {
    transport::Reactor reactor{kStart};
    FakePlatform platform;
    feed::InstanceTable table;
    Fleet fleet{8};
    model::Configuration configuration;
    std::string held_zone = "a";
    std::optional<std::uint64_t> fence = 5;
    bool has_tokens = true;
    std::unique_ptr<control::AutoscaleDuty> duty;

    Holder() {
        model::Service service;
        service.name = "model", service.engine.emplace(), service.scaling = kScaling;
        configuration.services.push_back(service);
        fleet.load(2);
        for (const StagedServer& server : fleet.input.servers) add(server);
        control::AutoscaleDuty::Callbacks callbacks;
        callbacks.fence = [this](const Duty& requested) {
            return requested == server_count_duty("model", held_zone) ? fence : std::nullopt;
        };
        callbacks.may_act_under = [this](const Duty&, std::uint64_t used_fence) {
            return fence == used_fence;
        };
        callbacks.configuration = [this] { return &configuration; };
        callbacks.instances = [this]() -> const feed::InstanceTable& { return table; };
        callbacks.servers = [this](const std::string&) { return fleet.input.servers; };
        callbacks.demand = [this](const std::string&) { return fleet.input.demand; };
        callbacks.acquire_call = [this](const Duty&) { return has_tokens; };
        duty = std::make_unique<control::AutoscaleDuty>(reactor, platform, "core-1", std::move(callbacks));
    }
    void add(const StagedServer& server) {
        model::Instance record;
        record.id = server.id, record.service = "model", record.zone = server.zone;
        record.stage = server.stage, record.revision = 1;
        table.merge(record, kStart);
    }
    void run(Ticks span) {
        for (const Ticks end = reactor.now() + span; reactor.now() < end;)
            reactor.turn(reactor.now() + Autoscaler::kInterval, 0);
    }
    void answer_all(PlatformOutcome outcome) {
        for (const SentCall& call : std::exchange(platform.calls, {})) call.done(outcome);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(holder_observes_first_and_orders_only_for_its_own_zone) {
    Holder holder;
    holder.run(2 * kSecond);
    BOOST_TEST(holder.platform.calls.empty());
    holder.run(12 * kSecond);
    BOOST_REQUIRE(holder.platform.calls.size() == 1U); // one call at a time
    const SentCall& sent = holder.platform.calls.front();
    BOOST_TEST(sent.call.path == "/scale");
    BOOST_TEST(sent.call.body == R"({"service":"model","zone":"a","desiredCount":12})");
    BOOST_TEST(sent.call.fence == 5U);
    BOOST_TEST(sent.holder == "core-1");
    BOOST_TEST(sent.may_send());
    holder.fence = 6;
    BOOST_TEST(!sent.may_send());
}

BOOST_AUTO_TEST_CASE(accepted_count_is_not_ordered_again) {
    Holder holder;
    holder.run(12 * kSecond);
    BOOST_REQUIRE(holder.platform.calls.size() == 1U);
    holder.answer_all(PlatformOutcome::kAccepted);
    BOOST_TEST((holder.duty->zone_statuses().front().accepted == 12));
    holder.fleet.load(0.4);
    holder.run(5 * kSecond);
    BOOST_TEST(holder.platform.calls.empty());
}

BOOST_AUTO_TEST_CASE(failing_platform_is_retried_with_increasing_backoff) {
    Holder holder;
    int calls = 0;
    for (int i = 0; i < 60; ++i) {
        holder.run(kSecond);
        calls += static_cast<int>(holder.platform.calls.size());
        holder.answer_all(PlatformOutcome::kFailed);
    }
    BOOST_TEST(calls >= 8); // retried as long as the count is wanted
    BOOST_TEST(calls <= 40);
    BOOST_TEST(!holder.duty->zone_statuses().front().accepted.has_value());
}

BOOST_AUTO_TEST_CASE(fenced_off_holder_waits_for_its_next_fence) {
    Holder holder;
    holder.run(12 * kSecond);
    holder.answer_all(PlatformOutcome::kFencedOff);
    holder.run(20 * kSecond);
    BOOST_TEST(holder.platform.calls.empty());
    holder.fence = 9;
    holder.run(20 * kSecond);
    BOOST_REQUIRE(!holder.platform.calls.empty());
    BOOST_TEST(holder.platform.calls.front().call.fence == 9U);
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_without_the_duty_or_over_the_rate_limit) {
    Holder holder;
    holder.fence.reset();
    holder.run(20 * kSecond);
    BOOST_TEST(holder.platform.calls.empty());
    BOOST_TEST(holder.duty->zone_statuses().empty());
    holder.fence = 6, holder.has_tokens = false;
    holder.run(20 * kSecond);
    BOOST_TEST(holder.platform.calls.empty());
}

// The platform may remove servers on its own; the accepted order is outdated then.
BOOST_AUTO_TEST_CASE(removed_servers_are_ordered_again_while_needed) {
    Holder holder;
    holder.run(12 * kSecond);
    holder.answer_all(PlatformOutcome::kAccepted); // twelve ordered; only eight remain
    holder.fleet.load(0.35);
    holder.run(14 * kSecond);
    BOOST_TEST(holder.platform.calls.empty());
    holder.fleet.load(2);
    holder.run(5 * kSecond);
    BOOST_REQUIRE(!holder.platform.calls.empty());
    BOOST_TEST(holder.platform.calls.back().call.body == control::scale_body("model", {"a", 12}));
}

// The answer to a call of a former fence must not count for the order of the next one.
BOOST_AUTO_TEST_CASE(answer_for_a_former_fence_changes_nothing) {
    Holder holder;
    holder.run(12 * kSecond);
    const auto former = std::exchange(holder.platform.calls, {});
    holder.fence = 8;
    holder.run(kSecond);
    former.front().done(PlatformOutcome::kAccepted);
    BOOST_TEST(!holder.duty->zone_statuses().front().accepted.has_value());
}

BOOST_AUTO_TEST_CASE(service_without_scaling_limits_is_never_ordered) {
    Holder holder;
    holder.configuration.services.front().scaling.reset();
    holder.run(12 * kSecond);
    BOOST_TEST(holder.platform.calls.empty());
    holder.configuration.services.front().scaling = kScaling;
    holder.run(12 * kSecond);
    BOOST_REQUIRE(holder.platform.calls.size() == 1U);
    holder.configuration.services.clear();
    holder.run(12 * kSecond);
    holder.answer_all(PlatformOutcome::kAccepted); // for a service that has been removed
    BOOST_TEST(holder.duty->zone_statuses().empty());
}

BOOST_AUTO_TEST_CASE(names_are_escaped_in_json) {
    BOOST_TEST(control::scale_body("a\"b", {"z\\", 3}) ==
               R"({"service":"a\"b","zone":"z\\","desiredCount":3})");
}
