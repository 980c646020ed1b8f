// The feed log, changes between configurations, and how a subscriber applies batches.
#define BOOST_TEST_MODULE feed
#include "base/pcg.hpp"
#include "feed/feed_log.hpp"
#include "feed/publisher_list.hpp"
#include "feed/tables.hpp"
#include "wire/cbor.hpp"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <set>

namespace {

using namespace ivyrill;
using namespace ivyrill::feed;
using model::Instance;
using model::InstanceState;

constexpr std::uint64_t kFeed = 5;

Instance instance(const std::string& id, std::uint64_t revision = 1,
                  InstanceState state = InstanceState::kServing) {
    Instance record;
    record.id = id, record.service = "model", record.address = "10.0.0.1:80";
    record.revision = revision, record.state = state;
    return record;
}

model::Configuration configuration(std::int64_t version) {
    model::Configuration result;
    result.version = version;
    return result;
}

model::Load load(const std::string& id, std::int64_t waiting) {
    model::Load result;
    result.instance = id, result.waiting = waiting;
    return result;
}

std::uint64_t random_below(Pcg& random, std::uint64_t below) { return random.next() % below; }

// From few hosts, prefixes and services, so that two configurations share some, differ in some, and each
// lacks some.
model::Configuration random_configuration(Pcg& random, std::int64_t version) {
    model::Configuration result = configuration(version);
    for (const char* host : {"a.example", "b.example", "c.example"})
        for (const char* prefix : {"/", "/x/", "/x/y/"}) {
            if (random_below(random, 2) == 0) continue;
            model::Route route;
            route.host = host, route.path_prefix = prefix, route.name = std::string(host) + prefix;
            route.timeout_ms = static_cast<std::int64_t>(1 + random_below(random, 2));
            route.services = {{"s" + std::to_string(random_below(random, 4)), 1}};
            result.routes.push_back(route);
        }
    for (const char* name : {"s0", "s1", "s2", "s3"}) {
        if (random_below(random, 3) == 0) continue;
        model::Service service;
        service.name = name, service.connection_limit = static_cast<std::int64_t>(random_below(random, 2));
        if (random_below(random, 2) == 0) service.engine = model::Engine{};
        result.services.push_back(service);
    }
    result.limits.idle_timeout_ms = static_cast<std::int64_t>(1000 * (1 + random_below(random, 3)));
    if (random_below(random, 4) == 0) return result;
    result.tenants.emplace();
    for (const char* name : {"t0", "t1", "t2"})
        if (random_below(random, 3) != 0)
            result.tenants->push_back({name, {name + std::to_string(random_below(random, 3))}, std::nullopt});
    return result;
}

model::Configuration sorted(model::Configuration result) {
    const auto sequence = [](const model::Route& route) { return route.host + " " + route.path_prefix; };
    std::ranges::sort(result.routes, {}, sequence);
    std::ranges::sort(result.services, {}, &model::Service::name);
    if (result.tenants) std::ranges::sort(*result.tenants, {}, &model::Tenant::name);
    return result;
}

Batch batch(std::uint64_t sequence, std::vector<Item> items, bool snapshot = false) {
    return {kFeed, sequence, snapshot, std::move(items)};
}

std::vector<Item> copies(const std::vector<const Item*>& items) {
    std::vector<Item> result;
    for (const Item* item : items) result.push_back(*item);
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(log_resumes_from_any_sequence_number) {
    FeedLog log(kFeed);
    for (int i = 1; i <= 5; ++i) log.put(instance("i-" + std::to_string(i)));
    BOOST_TEST(log.sequence() == 5U);
    for (std::uint64_t sequence = 0; sequence <= 5; ++sequence) {
        const auto items = log.since(sequence);
        BOOST_REQUIRE(items.has_value());
        BOOST_REQUIRE(items->size() == 5 - sequence);
        for (std::size_t i = 0; i < items->size(); ++i)
            BOOST_TEST(std::get<Instance>(*(*items)[i]).id == "i-" + std::to_string(sequence + i + 1));
    }
    BOOST_TEST(!log.since(6).has_value()); // not a sequence number of this log
}

BOOST_AUTO_TEST_CASE(log_keeps_the_latest_item_of_each_key) {
    FeedLog log(kFeed);
    log.put(instance("i-1", 1));
    log.put(load("i-1", 1));
    log.put(instance("i-1", 2));
    log.put(load("i-1", 7));
    log.put(EdgeNodes{{{"a", "z", "1", 1}}});
    log.put(EdgeNodes{});
    const auto items = log.snapshot();
    BOOST_REQUIRE(items.size() == 3U);
    BOOST_TEST(std::get<Instance>(*items[0]).revision == 2U);
    BOOST_TEST(std::get<model::Load>(*items[1]).waiting == 7);
    BOOST_TEST(std::get<EdgeNodes>(*items[2]).nodes.empty());
    BOOST_TEST(log.since(4)->size() ==
               1U); // both node lists came after sequence number 4; only the latest is left
}

BOOST_AUTO_TEST_CASE(resuming_before_a_forgotten_item_requires_a_snapshot) {
    FeedLog log(kFeed);
    log.put(instance("i-1"));
    log.put(instance("i-2"));
    log.put(load("i-2", 1));
    log.put(instance("i-3"));
    log.forget_instance("i-2");
    for (std::uint64_t sequence = 0; sequence < 3; ++sequence) BOOST_TEST(!log.since(sequence).has_value());
    for (std::uint64_t sequence = 3; sequence <= 4; ++sequence) BOOST_TEST(log.since(sequence).has_value());
    BOOST_TEST(log.snapshot().size() == 2U);
    log.forget_instance("unknown");
    BOOST_TEST(log.since(3).has_value());
}

BOOST_AUTO_TEST_CASE(subscribers_resuming_anywhere_end_with_equal_tables) {
    FeedLog log(kFeed);
    std::vector<Tables> subscribers(1);
    for (int i = 0; i < 40; ++i) {
        const std::string id = "i-" + std::to_string(i % 7);
        log.put(instance(id, static_cast<std::uint64_t>(i),
                         i % 3 == 0 ? InstanceState::kDraining : InstanceState::kServing));
        log.put(load(id, i));
        if (i % 10 == 0) log.put(configuration(i + 1));
        // At each step another subscriber stops at the current state.
        Tables fresh;
        BOOST_REQUIRE(fresh.apply(batch(log.sequence(), copies(log.snapshot()), true), 0).is_applicable);
        subscribers.push_back(fresh);
    }
    subscribers.front().apply(batch(log.sequence(), copies(log.snapshot()), true), 0);
    for (Tables& tables : subscribers) {
        BOOST_REQUIRE(
            tables.apply(batch(log.sequence(), copies(*log.since(tables.sequence()))), 0).is_applicable);
        BOOST_TEST((tables.instances().records() == subscribers.front().instances().records()));
        BOOST_TEST((tables.loads() == subscribers.front().loads()));
        BOOST_TEST(tables.configuration()->version == 31);
    }
}

BOOST_AUTO_TEST_CASE(difference_applied_to_the_older_configuration_gives_the_newer) {
    Pcg random(11);
    std::size_t unchanged = 0;
    for (int i = 0; i < 2000; ++i) {
        const auto from = random_configuration(random, i),
                   to = random_configuration(random, i + 1 + static_cast<int>(random_below(random, 9)));
        const ConfigurationChange change = difference(from, to);
        const auto result = feed::apply(from, change);
        BOOST_REQUIRE(result.has_value());
        BOOST_REQUIRE((sorted(*result) == sorted(to)));
        unchanged += to.routes.size() - change.routes.size();
    }
    BOOST_TEST(unchanged > 300U); // unchanged routes are not transferred
    const auto same = random_configuration(random, 1);
    const ConfigurationChange nothing = difference(same, same);
    BOOST_TEST((nothing.routes.empty() && nothing.services.empty()));
    BOOST_TEST((nothing.removed_routes.empty() && nothing.removed_services.empty()));
    BOOST_TEST((nothing.tenants.empty() && nothing.removed_tenants.empty()));
}

BOOST_AUTO_TEST_CASE(change_of_each_configuration_field_is_transferred) {
    Pcg random(12);
    model::Configuration from = configuration(1);
    from.routes = {model::Route{}}, from.services = {model::Service{}};
    from.routes[0].host = "a.example", from.routes[0].path_prefix = "/", from.services[0].name = "s";
    from.services[0].engine = model::Engine{};
    from.tenants = {{"t", {"k"}, std::nullopt}};
    using Change = void (*)(model::Configuration&);
    const Change changes[] = {[](auto& to) { to.routes[0].name = "n"; },
                              [](auto& to) { to.routes[0].kind = model::RouteKind::kSafe; },
                              [](auto& to) { to.routes[0].timeout_ms = 1; },
                              [](auto& to) { to.routes[0].latency_target_ms = 1; },
                              [](auto& to) { to.routes[0].priority = 1; },
                              [](auto& to) {
                                  to.routes[0].services = {{"s", 0.5}};
                              },
                              [](auto& to) { to.routes[0].max_attempts = 2; },
                              [](auto& to) { to.routes[0].sticky = true; },
                              [](auto& to) { to.routes[0].resumable = true; },
                              [](auto& to) { to.routes[0].max_event_gap_ms = 1; },
                              [](auto& to) { to.routes[0].path_prefix = "/x/"; },
                              [](auto& to) { to.routes.clear(); },
                              [](auto& to) { to.services[0].health_path = "/h"; },
                              [](auto& to) { to.services[0].connection_limit = 1; },
                              [](auto& to) { to.services[0].engine.reset(); },
                              [](auto& to) { to.services[0].engine->slots = 9; },
                              [](auto& to) {
                                  to.services[0].scaling = model::Scaling{1, 2, 0};
                              },
                              [](auto& to) { to.services.clear(); },
                              [](auto& to) { to.routes[0].is_public = true; },
                              [](auto& to) { to.tenants.reset(); },
                              [](auto& to) { to.tenants->clear(); },
                              [](auto& to) { to.tenants->at(0).priority = 1; },
                              [](auto& to) { to.tenants->at(0).api_keys.clear(); },
                              [](auto& to) { to.tenants->at(0).api_keys.push_back("l"); },
                              [](auto& to) {
                                  to.tenants->push_back({"u", {"m"}, std::nullopt});
                              },
                              [](auto& to) { to.limits.max_header_bytes = 1; },
                              [](auto& to) { to.limits.max_body_bytes = 1; },
                              [](auto& to) { to.limits.header_timeout_ms = 1; },
                              [](auto& to) { to.limits.idle_timeout_ms = 1; }};
    for (const Change change : changes) {
        model::Configuration to = from;
        to.version = 2;
        change(to);
        BOOST_TEST((feed::apply(from, difference(from, to)) == to));
    }
}

BOOST_AUTO_TEST_CASE(change_based_on_another_version_is_not_applied) {
    const ConfigurationChange change = difference(configuration(3), configuration(4));
    for (const std::int64_t version : {0, 1, 2, 4, 5})
        BOOST_TEST(!feed::apply(configuration(version), change).has_value());
}

BOOST_AUTO_TEST_CASE(inapplicable_batch_changes_nothing) {
    Tables tables;
    BOOST_REQUIRE(tables.apply(batch(3, {configuration(2), instance("i-1")}, true), 0).is_applicable);
    const ConfigurationChange inapplicable_change = difference(configuration(5), configuration(6));
    for (const Batch& inapplicable : {batch(9, {instance("i-2"), load("i-1", 4), inapplicable_change}),
                                      batch(9, {inapplicable_change, instance("i-2")}),
                                      batch(9, {instance("i-2"), inapplicable_change}, true),
                                      Batch{kFeed + 1, 9, false, {instance("i-2"), configuration(8)}}}) {
        const Tables::Applied applied = tables.apply(inapplicable, 0);
        BOOST_TEST(!applied.is_applicable);
        BOOST_TEST((applied.changes.empty() && !applied.instances && !applied.configuration));
        BOOST_TEST(tables.sequence() == 3U);
        BOOST_TEST(tables.feed_id() == kFeed);
        BOOST_TEST(tables.instances().records().size() == 1U);
        BOOST_TEST(tables.loads().empty());
        BOOST_TEST(tables.configuration()->version == 2);
    }
    Tables empty;
    BOOST_TEST(
        !empty.apply(batch(1, {difference(configuration(0), configuration(1))}, true), 0).is_applicable);
}

BOOST_AUTO_TEST_CASE(configuration_version_never_decreases) {
    Tables tables;
    tables.apply(batch(1, {configuration(5)}, true), 0);
    const auto before = tables.configuration();
    for (const Batch& older :
         {batch(2, {configuration(4)}), batch(3, {configuration(5)}),
          batch(4, {difference(configuration(3), configuration(4))}),
          Batch{kFeed + 1, 1, true, {configuration(1)}}, Batch{kFeed + 2, 1, true, {}}}) {
        const Tables::Applied applied = tables.apply(older, 0);
        BOOST_TEST(applied.is_applicable);
        BOOST_TEST(!applied.configuration);
        BOOST_TEST((tables.configuration() == before));
    }
    BOOST_TEST(tables.apply({kFeed + 2, 2, false, {difference(configuration(5), configuration(9))}}, 0)
                   .configuration);
    BOOST_TEST(tables.configuration()->version == 9);
    BOOST_TEST(before->version == 5); // readers of the previous configuration still see it unchanged
}

BOOST_AUTO_TEST_CASE(snapshot_removes_unlisted_instances_which_may_return) {
    Tables tables;
    tables.apply(batch(3, {instance("i-1", 4), instance("i-2", 4), load("i-2", 3)}, true), 0);
    const Tables::Applied applied = tables.apply({kFeed + 1, 9, true, {instance("i-1", 4)}}, 0);
    BOOST_TEST(applied.instances);
    BOOST_REQUIRE(applied.changes.size() == 1U);
    BOOST_TEST(std::get<InstanceRemoved>(applied.changes[0]).instance == "i-2");
    BOOST_TEST(tables.instances().find("i-2") == nullptr);
    BOOST_TEST(tables.loads().empty());
    BOOST_TEST(tables.feed_id() == kFeed + 1);
    BOOST_TEST(tables.apply({kFeed + 1, 10, false, {instance("i-2", 4)}}, 0).instances);
    BOOST_REQUIRE(tables.instances().find("i-2") != nullptr);
    BOOST_TEST(tables.instances().find("i-2")->is_routable());
}

BOOST_AUTO_TEST_CASE(outdated_records_change_nothing) {
    Tables tables;
    tables.apply(batch(1, {instance("i-1", 7, InstanceState::kDraining)}, true), 0);
    for (const Instance& outdated :
         {instance("i-1", 6), instance("i-1", 7), instance("i-1", 7, InstanceState::kDraining),
          instance("i-1", 6, InstanceState::kGone)}) {
        const Tables::Applied applied = tables.apply(batch(2, {outdated}), 0);
        BOOST_TEST((applied.is_applicable && !applied.instances && applied.changes.empty()));
        BOOST_TEST((tables.instances().find("i-1")->state == InstanceState::kDraining));
    }
    BOOST_TEST(tables.sequence() == 2U);
}

BOOST_AUTO_TEST_CASE(gone_instances_are_kept_for_a_minute) {
    Tables tables;
    tables.apply(batch(1, {instance("i-1", 7, InstanceState::kGone), load("i-1", 2)}, true), 0);
    tables.apply(batch(2, {instance("i-1", 6)}), 60 * kTicksPerSecond - 1);
    BOOST_REQUIRE(tables.instances().find("i-1") != nullptr);
    BOOST_TEST((tables.instances().find("i-1")->state == InstanceState::kGone));
    tables.apply(batch(3, {}), 60 * kTicksPerSecond);
    BOOST_TEST(tables.instances().find("i-1") == nullptr);
    BOOST_TEST(tables.loads().empty());
}

BOOST_AUTO_TEST_CASE(removed_instance_is_dropped_with_its_load) {
    Tables tables;
    tables.apply(batch(1, {instance("i-1"), load("i-1", 2)}, true), 0);
    BOOST_TEST(tables.apply(batch(2, {InstanceRemoved{"i-1"}}), 0).changes.size() == 1U);
    BOOST_TEST(tables.instances().records().empty());
    BOOST_TEST(tables.loads().empty());
    BOOST_TEST(tables.apply(batch(3, {InstanceRemoved{"i-1"}}), 0).changes.empty());
}

// An agent's log lives as long as its process, so removals must not accumulate.
BOOST_AUTO_TEST_CASE(removed_instances_are_bounded) {
    ivyrill::feed::FeedLog log(7);
    for (int i = 0; i < 5000; ++i) {
        const std::string id = "i-" + std::to_string(i);
        ivyrill::model::Instance instance;
        instance.id = id;
        log.put(instance);
        log.put(ivyrill::feed::InstanceRemoved{id});
    }
    BOOST_TEST(log.snapshot().size() <= 1100U);
    BOOST_TEST(!log.since(1).has_value()); // a sequence number that is no longer covered requires a snapshot
    BOOST_TEST(log.since(log.sequence()).has_value());
}

BOOST_AUTO_TEST_CASE(formerly_listed_publishers_are_tried_last_one_per_round) {
    PublisherList list(3);
    const std::vector<std::string> seeds{"seed-1", "seed-2"};
    BOOST_TEST(list.next_candidates(seeds).size() == 2U);
    list.update({"a", "b", "c", "seed-1"}, 1000);
    const auto all = list.next_candidates(seeds);
    BOOST_REQUIRE(all.size() == 5U);
    BOOST_TEST(all.back() == "seed-2");
    list.update({"seed-1", "a"}, 2000); // listed by a publisher in the minority side of a partition
    std::set<std::string> last;
    for (int round = 0; round < 2; ++round) {
        const auto addresses = list.next_candidates(seeds);
        BOOST_REQUIRE(addresses.size() == 4U);
        BOOST_TEST((std::set<std::string>(addresses.begin(), addresses.begin() + 2) ==
                    std::set<std::string>{"a", "seed-1"}));
        BOOST_TEST(addresses[2] == "seed-2");
        last.insert(addresses[3]);
    }
    BOOST_TEST((last == std::set<std::string>{"b", "c"}));
    list.update({"a"}, 2000 + 3601 * kTicksPerSecond); // the others were last listed over an hour ago
    BOOST_TEST(list.next_candidates(seeds).size() == 3U);
}

BOOST_AUTO_TEST_CASE(subscribers_spread_over_the_publishers) {
    std::set<std::string> first;
    for (std::uint64_t key = 0; key < 40; ++key) {
        PublisherList list(key);
        list.update({"a", "b", "c"}, 0);
        first.insert(list.next_candidates({}).front());
    }
    BOOST_TEST(first.size() == 3U);
}

// A BatchView must encode to the same bytes as a Batch of copies of its items.
BOOST_AUTO_TEST_CASE(batch_view_encodes_to_the_same_bytes) {
    Pcg random(7);
    FeedLog log(kFeed);
    for (int i = 0; i < 30; ++i) {
        log.put(instance("i-" + std::to_string(random_below(random, 9)), random_below(random, 100)));
        log.put(load("i-" + std::to_string(random_below(random, 9)),
                     static_cast<std::int64_t>(random_below(random, 50))));
        log.put(random_configuration(random, i + 1));
        log.put(EdgeNodes{{{"a", "z", "1", random_below(random, 5)}}});
        for (const bool snapshot : {false, true}) {
            const std::uint64_t from = snapshot ? 0 : log.sequence() - random_below(random, 3);
            const auto items = snapshot ? log.snapshot() : *log.since(from);
            const Message batch_of_copies{Batch{kFeed, log.sequence(), snapshot, copies(items)}};
            BOOST_TEST((to_bytes(BatchView{kFeed, log.sequence(), snapshot, items}) ==
                        wire::to_bytes(batch_of_copies)));
        }
    }
}

BOOST_AUTO_TEST_CASE(change_is_available_from_the_previous_version_only) {
    FeedLog log(kFeed);
    log.put(configuration(3));
    BOOST_TEST((log.change_from(0) == nullptr));
    log.put(configuration(7));
    BOOST_TEST((log.change_from(7) == nullptr));
    const Item* change = log.change_from(3);
    BOOST_REQUIRE((change != nullptr));
    BOOST_TEST(std::get<ConfigurationChange>(*change).version == 7);
}

// A report from before a known order shows an outdated stage.
BOOST_AUTO_TEST_CASE(report_from_before_an_order_changes_nothing) {
    Tables tables;
    model::Load ordered = load("i-1", 2);
    ordered.orders_accepted = 1, ordered.changing = true;
    model::Load before = load("i-1", 9);
    tables.apply(batch(1, {instance("i-1"), ordered}, true), 0);
    tables.apply(batch(2, {before}), 0);
    BOOST_TEST((tables.loads().at("i-1") == ordered));
    model::Load after = load("i-1", 1);
    after.orders_accepted = 1;
    tables.apply(batch(3, {after}), 0);
    BOOST_TEST((tables.loads().at("i-1") == after));
}
