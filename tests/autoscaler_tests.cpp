// Numbers of servers: what is wanted as the load changes, how an order is followed up, and what a holder
// sends to the platform. Clock, picture and the platform's answers are handed in.
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

constexpr Tenths kSecond = kTenthsPerSecond, kStart = 1'000'000;
const model::Scaling kScaling{2, 24, 4};
const std::vector<std::string> kZones{"a", "b", "c", "d"};

// ---- a service's servers, as many in each of four zones

struct Fleet {
    ScalingInput picture;
    explicit Fleet(std::int64_t in_each_zone) {
        for (const std::string& zone : kZones) picture.target_counts.push_back({zone, in_each_zone});
        picture.demand = model::ServiceDemand{"model", 100, 0, 2, 0, 0.2};
        start_all();
    }
    // All that was ordered serves.
    void start_all() {
        picture.servers.clear();
        for (const ZoneServerCount& zone : picture.target_counts)
            for (std::int64_t i = 0; i < zone.servers; ++i) add(zone.zone, i);
    }
    void add(const std::string& zone, std::int64_t number) {
        StagedServer server;
        server.id = zone + std::to_string(number), server.zone = zone;
        server.stage = number % 2 == 0 ? Stage::kPrefill : Stage::kDecode;
        server.reported = true, server.slots = 24;
        picture.servers.push_back(server);
    }
    // Every server does so much of what it can.
    void load(double use) {
        for (StagedServer& server : picture.servers) {
            const bool reads = server.stage == Stage::kPrefill;
            server.running = reads ? std::min(1.0, std::floor(use)) : use * server.slots;
            server.waiting = reads ? 2 * (use - server.running) : 0;
        }
    }
    void lose(const std::string& zone) {
        std::erase_if(picture.servers, [&](const StagedServer& server) { return server.zone == zone; });
    }
    std::int64_t ordered() const {
        std::int64_t sum = 0;
        for (const ZoneServerCount& zone : picture.target_counts) sum += zone.servers;
        return sum;
    }
    void take(const std::vector<ZoneServerCount>& wanted) {
        for (const ZoneServerCount& zone : wanted)
            std::ranges::find(picture.target_counts, zone.zone, &ZoneServerCount::zone)->servers =
                zone.servers;
    }
};

// Work for so many servers: what each has of it follows from how many serve. Orders are carried out at once,
// servers serve after the boot time.
struct CountLoop {
    Autoscaler controller;
    Tenths now = kStart, serve_at = 0;
    int changes = 0, turns = 0;
    std::int64_t last_step = 0;
    void run(Fleet& fleet, Tenths span, double work, const std::string& lost = {}) {
        for (const Tenths end = now + span; now < end; now += Autoscaler::kInterval) {
            if (now >= serve_at) fleet.start_all();
            if (!lost.empty()) fleet.lose(lost);
            fleet.load(work / static_cast<double>(fleet.picture.servers.size()));
            fleet.picture.demand->requests = 10 * work;
            const std::int64_t before = fleet.ordered();
            fleet.take(controller.plan(fleet.picture, kScaling, now));
            const std::int64_t step = fleet.ordered() - before;
            if (step == 0) continue;
            ++changes, serve_at = now + (step > 0 ? 4 * kSecond : 0);
            if (last_step != 0 && (step > 0) != (last_step > 0)) ++turns;
            last_step = step;
        }
    }
};

} // namespace

// ---- the controller

BOOST_AUTO_TEST_CASE(a_burst_is_followed_in_one_step_and_its_end_in_small_ones) {
    Fleet fleet(8);
    CountLoop loop;
    loop.run(fleet, 10 * kSecond, 10);
    BOOST_TEST(loop.changes == 0);
    loop.run(fleet, 6 * kSecond, 19);
    BOOST_TEST(loop.changes == 1);
    const std::int64_t grown = fleet.ordered();
    BOOST_TEST(grown == 44); // as many as 19 of work asks for
    loop.run(fleet, 20 * kSecond, 19);
    BOOST_TEST(loop.changes == 1);
    loop.run(fleet, 9 * kSecond, 8);
    BOOST_TEST(fleet.ordered() == grown);
    loop.run(fleet, 4 * kSecond, 8);
    BOOST_TEST(fleet.ordered() == grown - 4);
    BOOST_TEST(loop.turns == 1);
}

BOOST_AUTO_TEST_CASE(a_load_that_swings_about_its_mean_makes_no_order) {
    Fleet fleet(8);
    CountLoop loop;
    for (int i = 0; i < 12; ++i) loop.run(fleet, 5 * kSecond, i % 2 == 0 ? 9 : 12);
    BOOST_TEST(loop.changes == 0);
}

BOOST_AUTO_TEST_CASE(a_load_that_turns_every_six_seconds_does_not_flap) {
    Fleet fleet(8);
    CountLoop loop;
    for (int i = 0; i < 20; ++i) loop.run(fleet, 6 * kSecond, i % 2 == 0 ? 22 : 2);
    BOOST_TEST(loop.turns == 0);
    BOOST_TEST(loop.changes <= 2);
}

BOOST_AUTO_TEST_CASE(what_a_lost_zone_served_is_ordered_in_the_others) {
    Fleet fleet(8);
    CountLoop loop;
    loop.run(fleet, 5 * kSecond, 14);
    loop.run(fleet, 5 * kSecond, 14, "c");
    BOOST_TEST(loop.changes == 1);
    for (const ZoneServerCount& zone : fleet.picture.target_counts)
        BOOST_TEST((zone.zone == "c" ? zone.servers == 8 : zone.servers > 8), zone.zone);
}

BOOST_AUTO_TEST_CASE(counts_stay_between_the_least_and_the_most_of_a_zone) {
    Fleet fleet(8);
    CountLoop loop;
    for (int i = 1; i <= 20; ++i) loop.run(fleet, 10 * kSecond, 15 * i);
    for (const ZoneServerCount& zone : fleet.picture.target_counts) BOOST_TEST(zone.servers == 24);
    loop.run(fleet, 600 * kSecond, 0);
    for (const ZoneServerCount& zone : fleet.picture.target_counts) BOOST_TEST(zone.servers == 2);
}

// As many as there are may be outside of what may be ordered: such a zone is not ordered back by itself.
BOOST_AUTO_TEST_CASE(a_zone_outside_its_bounds_is_left_as_it_is) {
    Fleet fleet(30);
    CountLoop loop;
    loop.run(fleet, 60 * kSecond, 90);
    BOOST_TEST(loop.changes == 0);
}

BOOST_AUTO_TEST_CASE(no_order_lies_outside_of_the_bounds_of_a_zone_that_does) {
    for (const std::int64_t servers : {std::int64_t{30}, std::int64_t{1}}) {
        Fleet fleet(servers);
        CountLoop loop;
        loop.run(fleet, 12 * kSecond, servers == 30 ? 0 : 3);
        BOOST_TEST(loop.changes == 1);
        for (const ZoneServerCount& zone : fleet.picture.target_counts) {
            BOOST_TEST(zone.servers >= kScaling.min_count);
            BOOST_TEST(zone.servers <= kScaling.max_count);
        }
    }
}

BOOST_AUTO_TEST_CASE(enough_stay_to_outlive_the_loss_of_the_largest_zone) {
    Fleet fleet(8);
    CountLoop loop;
    loop.run(fleet, 600 * kSecond, 4);
    BOOST_TEST(loop.changes > 0);
    BOOST_TEST(fleet.ordered() * 3 / 4 >= 12); // three zones of four do work for twelve
}

BOOST_AUTO_TEST_CASE(servers_that_crash_are_missed_and_no_count_is_lowered_for_them) {
    Fleet fleet(8);
    CountLoop loop;
    loop.run(fleet, 15 * kSecond, 6);
    const std::int64_t before = fleet.ordered();
    loop.serve_at = loop.now + 60 * kSecond; // what is gone stays gone
    fleet.picture.servers.resize(fleet.picture.servers.size() - 2);
    loop.run(fleet, 30 * kSecond, 6);
    BOOST_TEST(fleet.ordered() == before);
}

BOOST_AUTO_TEST_CASE(nothing_is_ordered_without_reports_or_demand) {
    Fleet fleet(8);
    fleet.load(3);
    Autoscaler controller;
    ScalingInput untold = fleet.picture, unasked = fleet.picture;
    for (std::size_t i = 0; i < untold.servers.size() / 2; ++i) untold.servers[i].reported = false;
    unasked.demand.reset();
    for (Tenths at = kStart; at < kStart + 20 * kSecond; at += Autoscaler::kInterval) {
        BOOST_TEST(controller.plan(untold, kScaling, at).empty());
        BOOST_TEST(controller.plan(unasked, kScaling, at).empty());
        BOOST_TEST(controller.plan(ScalingInput{}, kScaling, at).empty());
    }
}

// Use falls little where more servers read at the same time: what is enough follows from requests as well.
BOOST_AUTO_TEST_CASE(use_that_does_not_fall_makes_nothing_grow_without_end) {
    Autoscaler controller;
    Fleet busy(8);
    for (Tenths at = kStart; at < kStart + 200 * kSecond; at += Autoscaler::kInterval) {
        busy.start_all(), busy.load(0.7);
        busy.take(controller.plan(busy.picture, kScaling, at));
    }
    BOOST_TEST(busy.ordered() > 32);
    BOOST_TEST(busy.ordered() <= 56); // 32 were short, 54 have 0.6 of their requests each
}

// ---- the order

BOOST_AUTO_TEST_CASE(an_order_goes_out_once_until_it_is_answered) {
    ScaleOrder order(7);
    BOOST_TEST(!order.due(kStart).has_value());
    order.want(12, kStart);
    BOOST_TEST((order.due(kStart) == 12));
    order.sent();
    BOOST_TEST(!order.due(kStart + kSecond).has_value());
    order.answered(12, PlatformOutcome::kAccepted, kStart + kSecond);
    BOOST_TEST((order.accepted() == 12));
    BOOST_TEST(!order.due(kStart + kSecond).has_value());
}

BOOST_AUTO_TEST_CASE(an_order_that_the_platform_did_not_take_is_sent_later_and_later) {
    for (const auto outcome : {PlatformOutcome::kBusy, PlatformOutcome::kFailed, PlatformOutcome::kUnanswered,
                               PlatformOutcome::kNotSent}) {
        ScaleOrder order(7);
        Tenths now = kStart, last_pause = 0;
        for (int tries = 0; tries < 3; ++tries) {
            order.want(12, now);
            order.sent();
            order.answered(12, outcome, now);
            const Tenths sent_at = now;
            while (!order.due(now)) now += 100;
            BOOST_TEST(now - sent_at > last_pause);
            last_pause = now - sent_at;
        }
        BOOST_TEST(!order.accepted().has_value());
    }
}

BOOST_AUTO_TEST_CASE(an_order_that_nobody_takes_is_dropped_as_the_load_is_another_by_then) {
    ScaleOrder order(7);
    order.want(12, kStart);
    BOOST_TEST(order.due(kStart + ScaleOrder::kOrderValidity - 1).has_value());
    BOOST_TEST(!order.due(kStart + ScaleOrder::kOrderValidity).has_value());
}

BOOST_AUTO_TEST_CASE(a_refusal_of_an_older_count_does_not_drop_the_one_wanted_since) {
    ScaleOrder order(12);
    order.want(3, kStart);
    order.sent();
    order.want(5, kStart);
    order.answered(3, PlatformOutcome::kRefused, kStart);
    BOOST_TEST((order.due(kStart + ScaleOrder::kInitialBackoff) == 5));
}

BOOST_AUTO_TEST_CASE(a_refused_order_is_not_repeated_and_a_fenced_off_holder_sends_no_more) {
    ScaleOrder refused(7), fenced_off(7);
    refused.want(12, kStart), fenced_off.want(12, kStart);
    refused.answered(12, PlatformOutcome::kRefused, kStart);
    fenced_off.answered(12, PlatformOutcome::kFencedOff, kStart);
    BOOST_TEST(!refused.due(kStart + 5 * kSecond).has_value());
    refused.want(13, kStart + 5 * kSecond);
    BOOST_TEST(refused.due(kStart + 6 * kSecond).has_value());
    fenced_off.want(13, kStart + 5 * kSecond);
    BOOST_TEST(!fenced_off.due(kStart + 6 * kSecond).has_value());
}

// ---- the duty, with a platform whose answers the test gives

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

// One service in four zones, with more to do than it can; the node holds the duty for `held`.
struct Holder {
    transport::Reactor reactor{kStart};
    FakePlatform platform;
    feed::InstanceTable table;
    Fleet fleet{8};
    model::Configuration configuration;
    std::string held = "a";
    std::optional<std::uint64_t> fence = 5;
    bool has_room = true;
    std::unique_ptr<control::AutoscaleDuty> duty;

    Holder() {
        model::Service service;
        service.name = "model", service.engine.emplace(), service.scaling = kScaling;
        configuration.services.push_back(service);
        fleet.load(2);
        for (const StagedServer& server : fleet.picture.servers) add(server);
        control::AutoscaleDuty::Callbacks callbacks;
        callbacks.fence = [this](const Duty& asked) {
            return asked == server_count_duty("model", held) ? fence : std::nullopt;
        };
        callbacks.may_act_under = [this](const Duty&, std::uint64_t under) { return fence == under; };
        callbacks.configuration = [this] { return &configuration; };
        callbacks.instances = [this]() -> const feed::InstanceTable& { return table; };
        callbacks.servers = [this](const std::string&) { return fleet.picture.servers; };
        callbacks.demand = [this](const std::string&) { return fleet.picture.demand; };
        callbacks.acquire_call = [this](const Duty&) { return has_room; };
        duty = std::make_unique<control::AutoscaleDuty>(reactor, platform, "core-1", std::move(callbacks));
    }
    void add(const StagedServer& server) {
        model::Instance record;
        record.id = server.id, record.service = "model", record.zone = server.zone;
        record.stage = server.stage, record.revision = 1;
        table.merge(record, kStart);
    }
    void run(Tenths span) {
        for (const Tenths end = reactor.now() + span; reactor.now() < end;)
            reactor.turn(reactor.now() + Autoscaler::kInterval, 0);
    }
    void answer_all(PlatformOutcome outcome) {
        for (const SentCall& call : std::exchange(platform.calls, {})) call.done(outcome);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_holder_looks_first_and_orders_only_for_its_own_zone) {
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

BOOST_AUTO_TEST_CASE(what_the_platform_took_is_not_ordered_again) {
    Holder holder;
    holder.run(12 * kSecond);
    BOOST_REQUIRE(holder.platform.calls.size() == 1U);
    holder.answer_all(PlatformOutcome::kAccepted);
    BOOST_TEST((holder.duty->zone_statuses().front().accepted == 12));
    holder.fleet.load(0.4);
    holder.run(5 * kSecond);
    BOOST_TEST(holder.platform.calls.empty());
}

BOOST_AUTO_TEST_CASE(a_platform_that_takes_nothing_is_asked_more_and_more_seldom) {
    Holder holder;
    int calls = 0;
    for (int i = 0; i < 60; ++i) {
        holder.run(kSecond);
        calls += static_cast<int>(holder.platform.calls.size());
        holder.answer_all(PlatformOutcome::kFailed);
    }
    BOOST_TEST(calls >= 8); // it is followed up as long as it is wanted
    BOOST_TEST(calls <= 40);
    BOOST_TEST(!holder.duty->zone_statuses().front().accepted.has_value());
}

BOOST_AUTO_TEST_CASE(a_holder_that_is_fenced_off_waits_for_its_next_fence) {
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

BOOST_AUTO_TEST_CASE(whoever_holds_nothing_or_has_no_room_sends_nothing) {
    Holder holder;
    holder.fence.reset();
    holder.run(20 * kSecond);
    BOOST_TEST(holder.platform.calls.empty());
    BOOST_TEST(holder.duty->zone_statuses().empty());
    holder.fence = 6, holder.has_room = false;
    holder.run(20 * kSecond);
    BOOST_TEST(holder.platform.calls.empty());
}

// The platform may take servers away itself; what it was ordered then no longer stands.
BOOST_AUTO_TEST_CASE(servers_that_were_taken_away_are_ordered_again_while_they_are_needed) {
    Holder holder;
    holder.run(12 * kSecond);
    holder.answer_all(PlatformOutcome::kAccepted); // twelve; eight are there and stay
    holder.fleet.load(0.35);
    holder.run(14 * kSecond);
    BOOST_TEST(holder.platform.calls.empty());
    holder.fleet.load(2);
    holder.run(5 * kSecond);
    BOOST_REQUIRE(!holder.platform.calls.empty());
    BOOST_TEST(holder.platform.calls.back().call.body == control::scale_body("model", {"a", 12}));
}

// The answer to a call of a former fence must not count for the next one's order.
BOOST_AUTO_TEST_CASE(an_answer_of_a_former_fence_changes_nothing) {
    Holder holder;
    holder.run(12 * kSecond);
    const auto former = std::exchange(holder.platform.calls, {});
    holder.fence = 8;
    holder.run(kSecond);
    former.front().done(PlatformOutcome::kAccepted);
    BOOST_TEST(!holder.duty->zone_statuses().front().accepted.has_value());
}

BOOST_AUTO_TEST_CASE(a_service_without_numbers_is_never_ordered) {
    Holder holder;
    holder.configuration.services.front().scaling.reset();
    holder.run(12 * kSecond);
    BOOST_TEST(holder.platform.calls.empty());
    holder.configuration.services.front().scaling = kScaling;
    holder.run(12 * kSecond);
    BOOST_REQUIRE(holder.platform.calls.size() == 1U);
    holder.configuration.services.clear();
    holder.run(12 * kSecond);
    holder.answer_all(PlatformOutcome::kAccepted); // of a service that is gone by now
    BOOST_TEST(holder.duty->zone_statuses().empty());
}

BOOST_AUTO_TEST_CASE(a_name_that_json_must_escape_is_escaped) {
    BOOST_TEST(control::scale_body("a\"b", {"z\\", 3}) ==
               R"({"service":"a\"b","zone":"z\\","desiredCount":3})");
}
