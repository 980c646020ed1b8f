// InstanceRegistry with simulated peers: heartbeats, departures, failure detection, synchronization and
// loads.
#define BOOST_TEST_MODULE instance_registry
#include "control/instance_registry.hpp"
#include "lab/reactor_script.hpp"

#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using namespace ivyrill::control;
using feed::Replicate;
using feed::Replicated;
using lab::ReactorScript;
using model::Instance;
using model::InstanceState;
using transport::Done;

constexpr Ticks kInterval = 500; // 50 ms; a server is silent after 130 ms and gone after 1.25 s
const std::string kSelf = "10.0.0.1:7000", kPeer = "10.0.0.2:7000", kThird = "10.0.0.3:7000";
constexpr std::uint64_t kIncarnation = 77, kSelfMember = 1;
const model::ControlNode kPeerNode{kPeer, "a", 2}, kThirdNode{kThird, "a", 3};

// Returns a service that the given node owns.
std::string service_owned_by(const std::string& node, const std::vector<std::string>& nodes) {
    for (int i = 0;; ++i)
        if (const std::string name = "s" + std::to_string(i); owner_of(name, nodes) == node) return name;
}

struct Sent {
    std::string peer; // empty: sent to all
    feed::Message message;
};

struct Node {
    explicit Node(ReactorScript& script)
        : script(script), log(1),
          registry(script.reactor, log, {kSelf, kIncarnation, kInterval}, callbacks()) {
        registry.set_nodes({kSelf, kPeer});
    }
    InstanceRegistry::Callbacks callbacks() {
        InstanceRegistry::Callbacks made;
        made.send_to_peers = [this](const feed::Message& message) {
            sent.push_back({"", message});
            const auto* replicate = std::get_if<Replicate>(&message);
            if (replicate == nullptr || replicate->id.number == 0) return;
            for (const model::ControlNode& peer : acknowledging)
                registry.handle_replicate_ack(peer, Replicated{replicate->id});
        };
        made.send = [this](const std::string& peer, const feed::Message& message) {
            if (peer == unreachable) return false;
            sent.push_back({peer, message});
            return true;
        };
        made.survives_losses = [this](const std::set<std::uint64_t>& members) {
            return members.contains(kSelfMember) && members.size() > required_copies;
        };
        made.self = [] { return kSelfMember; };
        made.make_durable = [this](const std::function<void(bool)>& done) {
            if (disk_answers)
                done(true);
            else
                waiting.push_back(done);
        };
        made.may_confirm_calls = [this] { return serves; };
        made.in_contact = [this] { return ++contact_checks, in_contact; };
        made.call_address = [](const std::string& peer) { return "call " + peer; };
        made.changed = [this] { ++changes; };
        made.loads_changed = [this](const std::vector<model::Load>&) { ++changes; };
        return made;
    }
    // Returns the heartbeat's reply or the error.
    transport::Async<Result<RegisterReply>> beat(Instance instance) {
        return registry.handle(RegisterCall{std::move(instance)});
    }
    transport::Async<Result<DeregisterReply>> leave(std::string id) {
        return registry.handle(DeregisterCall{std::move(id)});
    }
    InstanceState state(const std::string& id) const {
        const Instance* known = registry.table().find(id);
        return known == nullptr ? InstanceState::kGone : known->state;
    }
    std::size_t records_sent(const std::string& id) const { // how many records of it were sent to peers
        std::size_t count = 0;
        for (const Sent& one : sent)
            if (const auto* replicate = std::get_if<Replicate>(&one.message))
                count +=
                    static_cast<std::size_t>(std::ranges::count(replicate->instances, id, &Instance::id));
        return count;
    }
    ReactorScript& script;
    feed::FeedLog log;
    std::vector<Sent> sent;
    std::vector<model::ControlNode> acknowledging{kPeerNode}; // each numbered message, at once
    std::size_t required_copies = 1;                          // copies in addition to this node's
    bool in_contact = true, serves = true, disk_answers = true;
    std::vector<std::function<void(bool)>> waiting; // writes in progress
    int contact_checks = 0, changes = 0;
    std::string unreachable;   // the link to this peer is down
    InstanceRegistry registry; // last: its constructor uses the callbacks
};

Instance server(const std::string& id, std::uint64_t sequence = 1,
                InstanceState state = InstanceState::kServing) {
    Instance record;
    record.id = id, record.service = service_owned_by(kSelf, {kSelf, kPeer});
    record.address = "10.1.0.1:" + std::to_string(8000 + id.back());
    record.revision = sequence, record.state = state;
    return record;
}

// Returns the id of the request for all records that the node has just sent to a peer; fails without one.
feed::RequestId last_sync_request(const Node& node) {
    const auto* request =
        node.sent.empty() ? nullptr : std::get_if<feed::RangeRequest>(&node.sent.back().message);
    BOOST_REQUIRE(request != nullptr);
    BOOST_TEST(request->ranges.size() == feed::kDigestRanges);
    return request->id;
}

// Simulates a peer that answers the request without any new record.
void complete_sync(Node& node, const model::ControlNode& peer) {
    node.registry.request_sync(peer);
    node.registry.handle_records(peer, {{}, true, last_sync_request(node)});
    node.sent.clear();
}

} // namespace

BOOST_AUTO_TEST_CASE(a_new_server_is_listed_and_replicated_once) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
            const auto reply = co_await node.beat(server("i-1", sequence));
            BOOST_REQUIRE(reply.has_value());
            BOOST_TEST(reply.value().heartbeat_address.empty()); // this node owns its partition
        }
        BOOST_TEST(node.records_sent("i-1") == 1U);
        BOOST_TEST(node.changes == 1);
        BOOST_TEST(node.log.snapshot().size() == 1U);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(an_outdated_heartbeat_changes_nothing) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1", 5));
        Instance moved = server("i-1", 6);
        moved.slots = 77;
        co_await node.beat(moved);
        for (const std::uint64_t old_sequence : {0ULL, 4ULL, 5ULL, 6ULL}) {
            const auto reply = co_await node.beat(server("i-1", old_sequence));
            BOOST_TEST(reply.has_value());
            BOOST_TEST(node.registry.table().find("i-1")->slots == 77);
        }
        co_await node.beat(server("i-1", 9, InstanceState::kDraining));
        co_await node.beat(server("i-1", 8));
        BOOST_TEST((node.state("i-1") == InstanceState::kDraining));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(draining_is_acknowledged_once_enough_copies_are_confirmed) {
    ReactorScript script;
    Node node(script);
    node.required_copies = 2;
    node.acknowledging.clear();
    bool done = false;
    const auto drain = [&]() -> transport::Task {
        const auto reply = co_await node.beat(server("i-1", 2, InstanceState::kDraining));
        BOOST_TEST(reply.has_value());
        done = true;
    };
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1"));
        script.reactor.spawn(drain());
        const auto& message = std::get<Replicate>(node.sent.back().message);
        BOOST_TEST(message.id.number != 0U);
        BOOST_REQUIRE(message.instances.size() == 1U);
        BOOST_TEST((message.instances[0].state == InstanceState::kDraining));
        const feed::RequestId id = message.id;
        node.registry.handle_replicate_ack(kPeerNode, {id});
        node.registry.handle_replicate_ack(kPeerNode, {id}); // the same peer is not counted twice
        node.registry.handle_replicate_ack(
            kThirdNode, {{id.incarnation, id.number + 17}}); // a reply to another request is not counted
        int checks = 0;
        co_await script.until([&] { return ++checks > 5; });
        BOOST_TEST(!done);
        node.registry.handle_replicate_ack(kThirdNode, {id});
        const bool holds = co_await script.until([&] { return done; }, kTicksPerSecond / 2);
        BOOST_TEST(holds);
        // Once durable, the next heartbeat needs no further replication.
        const std::size_t before = node.sent.size();
        const auto again = co_await node.beat(server("i-1", 3, InstanceState::kDraining));
        BOOST_TEST(again.has_value());
        BOOST_TEST(node.sent.size() == before);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(leaving_is_not_acknowledged_with_too_few_copies) {
    ReactorScript script;
    Node node(script);
    node.acknowledging.clear();
    script.run([&]() -> ReactorScript::Step {
        const auto draining = co_await node.beat(server("i-1", 1, InstanceState::kDraining));
        BOOST_REQUIRE(draining.has_error());
        BOOST_TEST((draining.error().kind == ErrorKind::kUnavailable)); // 503: the server calls another node
        const auto leaving = co_await node.leave("i-1");
        BOOST_REQUIRE(leaving.has_error());
        BOOST_TEST((leaving.error().kind == ErrorKind::kUnavailable));
        BOOST_TEST((node.state("i-1") == InstanceState::kGone)); // the server gets no further requests anyway
        node.acknowledging = {kPeerNode};
        const auto again = co_await node.leave("i-1");
        BOOST_TEST(again.has_value());
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(a_server_that_left_stays_gone_and_an_unknown_id_may_leave) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        const auto unknown = co_await node.leave("i-9");
        BOOST_TEST(unknown.has_value());
        co_await node.beat(server("i-1", 3));
        const auto left = co_await node.leave("i-1");
        BOOST_TEST(left.has_value());
        for (const std::string id : {"i-1", "i-9"}) {
            const auto old_reply = co_await node.beat(server(id, 1000));
            BOOST_TEST(old_reply.has_value());
            BOOST_TEST((node.state(id) == InstanceState::kGone));
        }
        const auto twice = co_await node.leave("i-1");
        BOOST_TEST(twice.has_value());
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(a_departure_received_from_another_node_is_final) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1", 3));
        Instance left; // from a node that had no record of the server
        left.id = "i-1", left.state = InstanceState::kGone, left.revision = model::kFinalRevision;
        node.registry.handle_replicate(kPeerNode, {{9, 4}, {left}, {}});
        BOOST_TEST((node.state("i-1") == InstanceState::kGone));
        const auto* reply_message = std::get_if<Replicated>(&node.sent.back().message);
        BOOST_REQUIRE(reply_message != nullptr);
        BOOST_TEST((reply_message->id == feed::RequestId{9, 4} && node.sent.back().peer == kPeer));
        co_await node.beat(server("i-1", 9));
        BOOST_TEST((node.state("i-1") == InstanceState::kGone));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(a_server_that_starts_at_an_address_replaces_its_predecessor) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        Instance earlier = server("i-1"), successor = server("i-2"), elsewhere = server("i-3");
        successor.address = earlier.address;
        successor.service = service_owned_by(kPeer, {kSelf, kPeer}); // also if it belongs to another service
        co_await node.beat(earlier);
        co_await node.beat(elsewhere);
        co_await node.beat(successor);
        BOOST_TEST((node.state("i-1") == InstanceState::kGone));
        BOOST_TEST((node.state("i-2") == InstanceState::kServing));
        BOOST_TEST((node.state("i-3") == InstanceState::kServing));
        BOOST_TEST(node.records_sent("i-1") == 2U);
        earlier.revision = 50; // a late heartbeat of the earlier server does not affect the new one
        co_await node.beat(earlier);
        BOOST_TEST((node.state("i-1") == InstanceState::kGone));
        BOOST_TEST((node.state("i-2") == InstanceState::kServing));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(heartbeats_are_redirected_to_the_owner_of_the_partition) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        Instance other_service = server("i-2");
        other_service.service = service_owned_by(kPeer, {kSelf, kPeer});
        const auto reply = co_await node.beat(other_service);
        BOOST_REQUIRE(reply.has_value());
        BOOST_TEST(reply.value().heartbeat_address == "call " + kPeer);
        // The owner is notified of the heartbeat once.
        const auto notifications = [&] {
            return std::ranges::count_if(node.sent, [](const Sent& one) {
                const auto* heard = std::get_if<feed::HeartbeatsSeen>(&one.message);
                return heard != nullptr && one.peer == kPeer &&
                       heard->instances == std::vector<std::string>{"i-2"};
            });
        };
        bool holds = co_await script.until([&] { return notifications() == 1; });
        BOOST_TEST(holds);
        const int checks = node.contact_checks + 2;
        holds = co_await script.until([&] { return node.contact_checks >= checks; });
        BOOST_TEST(notifications() == 1);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(only_the_owner_detects_failures) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        Instance other_service = server("i-2");
        other_service.service = service_owned_by(kPeer, {kSelf, kPeer});
        co_await node.beat(server("i-1", 7));
        co_await node.beat(other_service);
        bool holds = co_await script.until([&] { return node.state("i-1") == InstanceState::kSilent; });
        BOOST_TEST(holds);
        BOOST_TEST((node.state("i-2") == InstanceState::kServing));
        BOOST_TEST(node.records_sent("i-1") == 2U);
        co_await node.beat(server("i-1", 8)); // it has returned
        BOOST_TEST((node.state("i-1") == InstanceState::kServing));
        holds = co_await script.until([&] { return node.state("i-1") == InstanceState::kGone; });
        BOOST_TEST(holds);
        BOOST_TEST((node.state("i-2") == InstanceState::kServing));
        co_await node.beat(server("i-1", 9)); // it was only suspended
        BOOST_TEST((node.state("i-1") == InstanceState::kServing));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(no_failures_are_detected_while_out_of_contact) {
    ReactorScript script;
    Node node(script);
    node.in_contact = false;
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1"));
        const int checks = node.contact_checks + 3;
        bool holds = co_await script.until([&] { return node.contact_checks >= checks; });
        BOOST_TEST(holds);
        BOOST_TEST((node.state("i-1") == InstanceState::kServing));
        node.in_contact = true;
        holds = co_await script.until([&] { return node.state("i-1") == InstanceState::kSilent; });
        BOOST_TEST(holds);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(heartbeats_received_by_another_node_count_for_the_owner) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1"));
        const int checks = node.contact_checks + 3;
        const bool holds = co_await script.until([&] {
            node.registry.record_remote_heartbeats(feed::HeartbeatsSeen{{"i-1"}});
            return node.contact_checks >= checks;
        });
        BOOST_TEST(holds);
        BOOST_TEST((node.state("i-1") == InstanceState::kServing));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(the_new_owner_of_a_partition_restarts_the_timeouts_of_its_servers) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        Instance other_service = server("i-2");
        other_service.service = service_owned_by(kPeer, {kSelf, kPeer});
        co_await node.beat(other_service);
        const int checks = node.contact_checks + 3;
        bool holds = co_await script.until([&] { return node.contact_checks >= checks; });
        BOOST_TEST(holds);
        const Ticks taken_over_at = script.reactor.now();
        node.registry.set_nodes({kSelf});
        holds = co_await script.until([&] { return node.state("i-2") == InstanceState::kSilent; });
        BOOST_TEST(holds);
        BOOST_TEST(script.reactor.now() - taken_over_at >= 2 * kInterval);
        // Its heartbeats are no longer redirected.
        const auto reply = co_await node.beat([&] {
            Instance next = other_service;
            next.revision = 2;
            return next;
        }());
        BOOST_TEST(reply.value().heartbeat_address.empty());
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(records_of_agents_are_merged_and_replicated_once) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1", 5));
        node.sent.clear(), node.changes = 0;
        node.registry.merge_agent_records({server("i-1", 4), server("i-2", 4)});
        BOOST_TEST(node.records_sent("i-1") == 0U);
        BOOST_TEST(node.records_sent("i-2") == 1U);
        BOOST_TEST(node.changes == 1);
        node.registry.merge_agent_records({server("i-1", 4), server("i-2", 4)});
        BOOST_TEST(node.records_sent("i-2") == 1U);
        BOOST_TEST(node.changes == 1);
        BOOST_TEST((node.state("i-2") == InstanceState::kServing));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(digests_that_differ_twice_in_a_row_trigger_a_repair) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1"));
        node.sent.clear();
        complete_sync(node, kPeerNode);
        feed::PeerStatus lacks, same;
        same.instances = node.registry.digests();
        node.registry.handle_digests(kPeerNode, lacks);
        node.registry.handle_digests(kPeerNode, same); // the difference was in transit
        node.registry.handle_digests(kPeerNode, lacks);
        BOOST_TEST(node.sent.empty());
        node.registry.handle_digests(kPeerNode, lacks);
        BOOST_REQUIRE(node.sent.size() == 1U);
        BOOST_TEST(node.sent[0].peer == kPeer);
        const auto wanted = std::get<feed::RangeRequest>(node.sent[0].message);
        BOOST_TEST((wanted.ranges == std::vector<std::uint64_t>{feed::InstanceTable::range_of("i-1")}));
        node.registry.handle_range_request(kPeerNode, wanted);
        BOOST_TEST(std::get<feed::Instances>(node.sent.back().message).records.size() == 1U);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(loads_of_unknown_or_gone_servers_are_dropped) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1"));
        co_await node.beat(server("i-2"));
        co_await node.leave("i-2");
        node.sent.clear(), node.changes = 0;
        const auto load = [](const char* id) {
            model::Load made;
            made.instance = id;
            return made;
        };
        node.registry.update_loads({load("i-2"), load("i-9")}, true);
        BOOST_TEST((node.sent.empty() && node.changes == 0));
        node.registry.update_loads({load("i-2"), load("i-1")}, true);
        BOOST_REQUIRE(node.sent.size() == 1U);
        BOOST_TEST(std::get<Replicate>(node.sent[0].message).loads.size() == 1U);
        node.registry.handle_replicate(kPeerNode, {{}, {}, {load("i-1")}}); // from a peer: not forwarded
        BOOST_TEST(node.sent.size() == 1U);
        BOOST_TEST(node.changes == 2);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(all_nodes_compute_the_same_owner_and_few_partitions_move_when_one_is_lost) {
    const std::vector<std::string> nodes{kSelf, kPeer, kThird};
    int moved = 0, owned = 0;
    for (int i = 0; i < 3000; ++i) {
        const std::string service = "service-" + std::to_string(i);
        const std::string owner = owner_of(service, nodes);
        BOOST_TEST(owner == owner_of(service, {kThird, kSelf, kPeer}));
        const std::string after = owner_of(service, {kSelf, kPeer});
        if (owner != kThird) BOOST_TEST(after == owner);
        moved += owner != after, owned += owner == kSelf;
    }
    BOOST_TEST((moved > 700 && moved < 1300));
    BOOST_TEST((owned > 700 && owned < 1300));
    BOOST_TEST(owner_of("s", {}).empty());
}

// The reply belongs to an earlier process of this node, whose request number may be in use again.
BOOST_AUTO_TEST_CASE(an_acknowledgement_for_an_earlier_process_is_dropped) {
    ReactorScript script;
    Node node(script);
    node.acknowledging.clear();
    bool done = false;
    const auto drain = [&]() -> transport::Task {
        const auto reply = co_await node.beat(server("i-1", 2, InstanceState::kDraining));
        done = reply.has_value();
    };
    script.run([&]() -> ReactorScript::Step {
        script.reactor.spawn(drain());
        const feed::RequestId id = std::get<Replicate>(node.sent.back().message).id;
        node.registry.handle_replicate_ack(kPeerNode, {{id.incarnation + 1, id.number}});
        BOOST_TEST(node.registry.dropped_replies().other_process == 1U);
        int checks = 0;
        co_await script.until([&] { return ++checks > 5; });
        BOOST_TEST(!done);
        node.registry.handle_replicate_ack(kPeerNode, {id});
        const bool holds = co_await script.until([&] { return done; }, kTicksPerSecond / 2);
        BOOST_TEST(holds);
        node.registry.handle_replicate_ack(kPeerNode, {id}); // a duplicate matches no pending request
        BOOST_TEST(node.registry.dropped_replies().unsolicited == 1U);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(leaving_is_acknowledged_only_once_durable_on_the_own_disk) {
    ReactorScript script;
    Node node(script);
    node.disk_answers = false;
    bool done = false;
    const auto leave = [&]() -> transport::Task {
        const auto reply = co_await node.leave("i-1");
        done = reply.has_value();
    };
    script.run([&]() -> ReactorScript::Step {
        script.reactor.spawn(leave());
        int checks = 0;
        co_await script.until([&] { return ++checks > 5; });
        BOOST_TEST(!done); // durable at the peer, but not at this node
        BOOST_REQUIRE(node.waiting.size() == 1U);
        node.waiting[0](true);
        const bool holds = co_await script.until([&] { return done; }, kTicksPerSecond / 2);
        BOOST_TEST(holds);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(replication_is_acknowledged_to_a_peer_once_durable) {
    ReactorScript script;
    Node node(script);
    node.disk_answers = false;
    node.registry.handle_replicate(kPeerNode, {{9, 4}, {server("i-1", 3, InstanceState::kDraining)}, {}});
    BOOST_TEST(node.sent.empty());
    BOOST_REQUIRE(node.waiting.size() == 1U);
    node.waiting[0](false); // the write failed
    BOOST_TEST(node.sent.empty());
    node.registry.handle_replicate(kPeerNode, {{9, 5}, {server("i-1", 3, InstanceState::kDraining)}, {}});
    BOOST_REQUIRE(node.waiting.size() == 2U);
    node.waiting[1](true);
    BOOST_REQUIRE(node.sent.size() == 1U);
    BOOST_TEST((std::get<Replicated>(node.sent[0].message).id == feed::RequestId{9, 5}));
}

BOOST_AUTO_TEST_CASE(a_partitioned_node_uses_heartbeats_without_confirming_them) {
    ReactorScript script;
    Node node(script);
    node.serves = false;
    script.run([&]() -> ReactorScript::Step {
        const auto reply = co_await node.beat(server("i-1"));
        BOOST_REQUIRE(reply.has_error());
        BOOST_TEST((reply.error().kind == ErrorKind::kUnavailable)); // 503: the server calls another node
        BOOST_TEST((node.state("i-1") == InstanceState::kServing));
        co_return Done{};
    });
}

// After a partition longer than the failure timeout, all servers would otherwise count as gone at once.
BOOST_AUTO_TEST_CASE(a_node_restarts_the_failure_timeouts_after_a_partition) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1"));
        node.in_contact = false;
        const Ticks partitioned_at = script.reactor.now();
        bool holds =
            co_await script.until([&] { return script.reactor.now() - partitioned_at > 30 * kInterval; });
        BOOST_TEST(holds);
        node.in_contact = true;
        const Ticks healed_at = script.reactor.now();
        holds = co_await script.until([&] { return node.state("i-1") != InstanceState::kServing; });
        BOOST_TEST(holds);
        BOOST_TEST((node.state("i-1") == InstanceState::kSilent)); // not gone
        BOOST_TEST(script.reactor.now() - healed_at >= 2 * kInterval);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(each_peer_is_synchronized_once_and_only_by_a_matching_reply) {
    ReactorScript script;
    Node node(script);
    node.registry.request_sync(kPeerNode);
    const feed::RequestId request = last_sync_request(node);
    node.registry.request_sync(kPeerNode); // a request is pending
    BOOST_TEST(node.sent.size() == 1U);
    Instance left = server("i-1", 4, InstanceState::kGone);
    node.registry.handle_records(kPeerNode, {{left}, true, {request.incarnation + 1, request.number}});
    node.registry.handle_records(kPeerNode, {{left}, true, {request.incarnation, request.number + 1}});
    node.registry.handle_records(kThirdNode, {{left}, true, request}); // no request was sent to it
    BOOST_TEST(node.registry.synced_members().empty());
    BOOST_TEST(node.registry.dropped_replies().other_process == 1U);
    BOOST_TEST(node.registry.dropped_replies().unsolicited == 2U);
    node.registry.handle_records(kPeerNode, {{left}, true, request});
    BOOST_TEST((node.registry.synced_members() == std::set<std::uint64_t>{kPeerNode.member}));
    BOOST_TEST((node.state("i-1") == InstanceState::kGone));
    BOOST_TEST(node.registry.table().find("i-1") != nullptr); // records of gone servers are included
    node.registry.request_sync(kPeerNode);
    BOOST_TEST(node.sent.size() == 1U);
}

// Regression test: after a power failure of all nodes a peer may be heard from before it can be reached; its
// records were then requested 0.5 s later, which delayed the feed.
BOOST_AUTO_TEST_CASE(a_sync_request_that_could_not_be_sent_is_sent_as_soon_as_possible) {
    ReactorScript script;
    Node node(script);
    node.unreachable = kPeer;
    node.registry.request_sync(kPeerNode);
    BOOST_TEST(node.sent.empty());
    node.unreachable.clear();
    node.registry.request_sync(kPeerNode);
    BOOST_TEST(node.sent.size() == 1U);
    node.registry.request_sync(kPeerNode); // in transit
    BOOST_TEST(node.sent.size() == 1U);
}
