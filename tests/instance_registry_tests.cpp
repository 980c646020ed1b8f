// A control node's list of model servers, with its peers played by the test.
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

constexpr Tenths kBeat = 500; // 50 ms: silent after 130 ms, gone after 1.25 s
const std::string kSelf = "10.0.0.1:7000", kPeer = "10.0.0.2:7000", kThird = "10.0.0.3:7000";
constexpr std::uint64_t kIncarnation = 77, kSelfMember = 1;
const model::ControlNode kPeerNode{kPeer, "a", 2}, kThirdNode{kThird, "a", 3};

// Of a name that this node owns, or the peer does.
std::string service_owned_by(const std::string& node, const std::vector<std::string>& nodes) {
    for (int i = 0;; ++i)
        if (const std::string name = "s" + std::to_string(i); owner_of(name, nodes) == node) return name;
}

struct Sent {
    std::string peer; // empty: to all
    feed::Message message;
};

struct Node {
    explicit Node(ReactorScript& script)
        : script(script), log(1), registry(script.reactor, log, {kSelf, kIncarnation, kBeat}, callbacks()) {
        registry.set_nodes({kSelf, kPeer});
    }
    InstanceRegistry::Callbacks callbacks() {
        InstanceRegistry::Callbacks made;
        made.send_to_peers = [this](const feed::Message& message) {
            sent.push_back({"", message});
            const auto* replicate = std::get_if<Replicate>(&message);
            if (replicate == nullptr || replicate->id.number == 0) return;
            for (const model::ControlNode& peer : acknowledging)
                registry.handle_replicated(peer, Replicated{replicate->id});
        };
        made.send = [this](const std::string& peer, const feed::Message& message) {
            if (peer == unreachable) return false;
            sent.push_back({peer, message});
            return true;
        };
        made.survives_losses = [this](const std::set<std::uint64_t>& members) {
            return members.contains(kSelfMember) && members.size() > wanted;
        };
        made.self = [] { return kSelfMember; };
        made.make_durable = [this](const std::function<void(bool)>& done) {
            if (disk_answers)
                done(true);
            else
                waiting.push_back(done);
        };
        made.serves = [this] { return serves; };
        made.in_contact = [this] { return ++asked, in_contact; };
        made.call_address = [](const std::string& peer) { return "call " + peer; };
        made.changed = [this] { ++changes; };
        made.loads_changed = [this](const std::vector<model::Load>&) { ++changes; };
        return made;
    }
    // What the call came to: the heartbeat's advice, or the error.
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
    std::size_t told(const std::string& id) const { // records of it that went to peers
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
    std::vector<model::ControlNode> acknowledging{kPeerNode}; // at once, each numbered message
    std::size_t wanted = 1;                                   // copies beside this node's own
    bool in_contact = true, serves = true, disk_answers = true;
    std::vector<std::function<void(bool)>> waiting; // for the disk
    int asked = 0, changes = 0;
    std::string unreachable;   // no link to that peer stands
    InstanceRegistry registry; // last: it calls back from its constructor
};

Instance server(const std::string& id, std::uint64_t sequence = 1,
                InstanceState state = InstanceState::kServing) {
    Instance record;
    record.id = id, record.service = service_owned_by(kSelf, {kSelf, kPeer});
    record.address = "10.1.0.1:" + std::to_string(8000 + id.back());
    record.revision = sequence, record.state = state;
    return record;
}

// The question that the node has just asked that peer for all its records; fails where it asked none.
feed::RequestId copy_question(const Node& node) {
    const auto* asked =
        node.sent.empty() ? nullptr : std::get_if<feed::RangeRequest>(&node.sent.back().message);
    BOOST_REQUIRE(asked != nullptr);
    BOOST_TEST(asked->ranges.size() == feed::kDigestRanges);
    return asked->id;
}

// The peer has answered with nothing that is new.
void copy_is_taken(Node& node, const model::ControlNode& peer) {
    node.registry.request_sync(peer);
    node.registry.receive_records(peer, {{}, true, copy_question(node)});
    node.sent.clear();
}

} // namespace

BOOST_AUTO_TEST_CASE(a_new_server_is_listed_and_told_to_the_peers_once) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
            const auto reply = co_await node.beat(server("i-1", sequence));
            BOOST_REQUIRE(reply.has_value());
            BOOST_TEST(reply.value().heartbeat_address.empty()); // this node owns its part
        }
        BOOST_TEST(node.told("i-1") == 1U);
        BOOST_TEST(node.changes == 1);
        BOOST_TEST(node.log.snapshot().size() == 1U);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(a_heartbeat_that_comes_late_changes_nothing) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1", 5));
        Instance moved = server("i-1", 6);
        moved.slots = 77;
        co_await node.beat(moved);
        for (const std::uint64_t late : {0ULL, 4ULL, 5ULL, 6ULL}) {
            const auto reply = co_await node.beat(server("i-1", late));
            BOOST_TEST(reply.has_value());
            BOOST_TEST(node.registry.table().find("i-1")->slots == 77);
        }
        co_await node.beat(server("i-1", 9, InstanceState::kDraining));
        co_await node.beat(server("i-1", 8));
        BOOST_TEST((node.state("i-1") == InstanceState::kDraining));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(draining_is_acknowledged_once_enough_copies_are_told) {
    ReactorScript script;
    Node node(script);
    node.wanted = 2;
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
        node.registry.handle_replicated(kPeerNode, {id});
        node.registry.handle_replicated(kPeerNode, {id}); // the same peer doesn't count twice
        node.registry.handle_replicated(kThirdNode,
                                        {{id.incarnation, id.number + 17}}); // nor one for something else
        int looks = 0;
        co_await script.until([&] { return ++looks > 5; });
        BOOST_TEST(!done);
        node.registry.handle_replicated(kThirdNode, {id});
        const bool holds = co_await script.until([&] { return done; }, kTenthsPerSecond / 2);
        BOOST_TEST(holds);
        // Once it is known to so many, the next heartbeat needs no second round.
        const std::size_t before = node.sent.size();
        const auto again = co_await node.beat(server("i-1", 3, InstanceState::kDraining));
        BOOST_TEST(again.has_value());
        BOOST_TEST(node.sent.size() == before);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(leaving_is_not_acknowledged_where_too_few_can_be_told) {
    ReactorScript script;
    Node node(script);
    node.acknowledging.clear();
    script.run([&]() -> ReactorScript::Step {
        const auto draining = co_await node.beat(server("i-1", 1, InstanceState::kDraining));
        BOOST_REQUIRE(draining.has_error());
        BOOST_TEST((draining.error().kind == ErrorKind::kUnavailable)); // 503: the server turns elsewhere
        const auto leaving = co_await node.leave("i-1");
        BOOST_REQUIRE(leaving.has_error());
        BOOST_TEST((leaving.error().kind == ErrorKind::kUnavailable));
        BOOST_TEST((node.state("i-1") == InstanceState::kGone)); // no request is sent there all the same
        node.acknowledging = {kPeerNode};
        const auto again = co_await node.leave("i-1");
        BOOST_TEST(again.has_value());
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(what_has_left_stays_gone_and_an_unknown_id_may_leave) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        const auto unknown = co_await node.leave("i-9");
        BOOST_TEST(unknown.has_value());
        co_await node.beat(server("i-1", 3));
        const auto left = co_await node.leave("i-1");
        BOOST_TEST(left.has_value());
        for (const std::string id : {"i-1", "i-9"}) {
            const auto late = co_await node.beat(server(id, 1000));
            BOOST_TEST(late.has_value());
            BOOST_TEST((node.state(id) == InstanceState::kGone));
        }
        const auto twice = co_await node.leave("i-1");
        BOOST_TEST(twice.has_value());
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(a_leaving_that_another_node_was_told_of_is_final_here) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1", 3));
        Instance left; // of a node that had not heard of it
        left.id = "i-1", left.state = InstanceState::kGone, left.revision = model::kFinalRevision;
        node.registry.handle_replicate(kPeerNode, {{9, 4}, {left}, {}});
        BOOST_TEST((node.state("i-1") == InstanceState::kGone));
        const auto* told = std::get_if<Replicated>(&node.sent.back().message);
        BOOST_REQUIRE(told != nullptr);
        BOOST_TEST((told->id == feed::RequestId{9, 4} && node.sent.back().peer == kPeer));
        co_await node.beat(server("i-1", 9));
        BOOST_TEST((node.state("i-1") == InstanceState::kGone));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(a_server_that_starts_at_an_address_ends_what_stood_there) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        Instance former = server("i-1"), fresh = server("i-2"), elsewhere = server("i-3");
        fresh.address = former.address;
        fresh.service = service_owned_by(kPeer, {kSelf, kPeer}); // also one of another service
        co_await node.beat(former);
        co_await node.beat(elsewhere);
        co_await node.beat(fresh);
        BOOST_TEST((node.state("i-1") == InstanceState::kGone));
        BOOST_TEST((node.state("i-2") == InstanceState::kServing));
        BOOST_TEST((node.state("i-3") == InstanceState::kServing));
        BOOST_TEST(node.told("i-1") == 2U);
        former.revision = 50; // a late word of the former one doesn't end the fresh one
        co_await node.beat(former);
        BOOST_TEST((node.state("i-1") == InstanceState::kGone));
        BOOST_TEST((node.state("i-2") == InstanceState::kServing));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(later_heartbeats_are_asked_for_where_the_part_is_owned) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        Instance theirs = server("i-2");
        theirs.service = service_owned_by(kPeer, {kSelf, kPeer});
        const auto reply = co_await node.beat(theirs);
        BOOST_REQUIRE(reply.has_value());
        BOOST_TEST(reply.value().heartbeat_address == "call " + kPeer);
        // What was heard for the owner is told to it, once.
        const auto times_told = [&] {
            return std::ranges::count_if(node.sent, [](const Sent& one) {
                const auto* heard = std::get_if<feed::HeartbeatsSeen>(&one.message);
                return heard != nullptr && one.peer == kPeer &&
                       heard->instances == std::vector<std::string>{"i-2"};
            });
        };
        bool holds = co_await script.until([&] { return times_told() == 1; });
        BOOST_TEST(holds);
        const int looks = node.asked + 2;
        holds = co_await script.until([&] { return node.asked >= looks; });
        BOOST_TEST(times_told() == 1);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(silence_is_judged_by_the_owner_alone) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        Instance theirs = server("i-2");
        theirs.service = service_owned_by(kPeer, {kSelf, kPeer});
        co_await node.beat(server("i-1", 7));
        co_await node.beat(theirs);
        bool holds = co_await script.until([&] { return node.state("i-1") == InstanceState::kSilent; });
        BOOST_TEST(holds);
        BOOST_TEST((node.state("i-2") == InstanceState::kServing));
        BOOST_TEST(node.told("i-1") == 2U);
        co_await node.beat(server("i-1", 8)); // it is back
        BOOST_TEST((node.state("i-1") == InstanceState::kServing));
        holds = co_await script.until([&] { return node.state("i-1") == InstanceState::kGone; });
        BOOST_TEST(holds);
        BOOST_TEST((node.state("i-2") == InstanceState::kServing));
        co_await node.beat(server("i-1", 9)); // it was only frozen
        BOOST_TEST((node.state("i-1") == InstanceState::kServing));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(nobody_is_judged_while_out_of_contact) {
    ReactorScript script;
    Node node(script);
    node.in_contact = false;
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1"));
        const int checks = node.asked + 3;
        bool holds = co_await script.until([&] { return node.asked >= checks; });
        BOOST_TEST(holds);
        BOOST_TEST((node.state("i-1") == InstanceState::kServing));
        node.in_contact = true;
        holds = co_await script.until([&] { return node.state("i-1") == InstanceState::kSilent; });
        BOOST_TEST(holds);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(words_that_reached_another_node_count_for_the_owner) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1"));
        const int checks = node.asked + 3;
        const bool holds = co_await script.until([&] {
            node.registry.record_remote_heartbeats(feed::HeartbeatsSeen{{"i-1"}});
            return node.asked >= checks;
        });
        BOOST_TEST(holds);
        BOOST_TEST((node.state("i-1") == InstanceState::kServing));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(whoever_takes_a_part_over_gives_its_servers_their_whole_time) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        Instance theirs = server("i-2");
        theirs.service = service_owned_by(kPeer, {kSelf, kPeer});
        co_await node.beat(theirs);
        const int checks = node.asked + 3;
        bool holds = co_await script.until([&] { return node.asked >= checks; });
        BOOST_TEST(holds);
        const Tenths taken = script.reactor.now();
        node.registry.set_nodes({kSelf});
        holds = co_await script.until([&] { return node.state("i-2") == InstanceState::kSilent; });
        BOOST_TEST(holds);
        BOOST_TEST(script.reactor.now() - taken >= 2 * kBeat);
        // And it is no longer sent on.
        const auto reply = co_await node.beat([&] {
            Instance next = theirs;
            next.revision = 2;
            return next;
        }());
        BOOST_TEST(reply.value().heartbeat_address.empty());
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(records_that_agents_know_are_merged_and_told_once) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1", 5));
        node.sent.clear(), node.changes = 0;
        node.registry.merge_agent_records({server("i-1", 4), server("i-2", 4)});
        BOOST_TEST(node.told("i-1") == 0U);
        BOOST_TEST(node.told("i-2") == 1U);
        BOOST_TEST(node.changes == 1);
        node.registry.merge_agent_records({server("i-1", 4), server("i-2", 4)});
        BOOST_TEST(node.told("i-2") == 1U);
        BOOST_TEST(node.changes == 1);
        BOOST_TEST((node.state("i-2") == InstanceState::kServing));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(digests_that_differ_twice_in_a_row_are_repaired) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1"));
        node.sent.clear();
        copy_is_taken(node, kPeerNode);
        feed::PeerStatus lacks, same;
        same.instances = node.registry.digests();
        node.registry.compare_digests(kPeerNode, lacks);
        node.registry.compare_digests(kPeerNode, same); // it was only on its way
        node.registry.compare_digests(kPeerNode, lacks);
        BOOST_TEST(node.sent.empty());
        node.registry.compare_digests(kPeerNode, lacks);
        BOOST_REQUIRE(node.sent.size() == 1U);
        BOOST_TEST(node.sent[0].peer == kPeer);
        const auto wanted = std::get<feed::RangeRequest>(node.sent[0].message);
        BOOST_TEST((wanted.ranges == std::vector<std::uint64_t>{feed::InstanceTable::range_of("i-1")}));
        node.registry.send_ranges(kPeerNode, wanted);
        BOOST_TEST(std::get<feed::Instances>(node.sent.back().message).records.size() == 1U);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(loads_of_servers_that_are_not_there_go_no_further) {
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
        node.registry.handle_replicate(kPeerNode,
                                       {{}, {}, {load("i-1")}}); // from a peer: told to nobody else
        BOOST_TEST(node.sent.size() == 1U);
        BOOST_TEST(node.changes == 2);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(every_node_names_the_same_owner_and_few_parts_move_when_one_goes) {
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

// A process that was here before had asked; its number may be in use again.
BOOST_AUTO_TEST_CASE(an_acknowledgement_for_a_former_process_counts_for_nothing) {
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
        node.registry.handle_replicated(kPeerNode, {{id.incarnation + 1, id.number}});
        BOOST_TEST(node.registry.dropped_replies().other_process == 1U);
        int looks = 0;
        co_await script.until([&] { return ++looks > 5; });
        BOOST_TEST(!done);
        node.registry.handle_replicated(kPeerNode, {id});
        const bool holds = co_await script.until([&] { return done; }, kTenthsPerSecond / 2);
        BOOST_TEST(holds);
        node.registry.handle_replicated(kPeerNode, {id}); // a second one finds nobody who waits
        BOOST_TEST(node.registry.dropped_replies().unsolicited == 1U);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(leaving_is_acknowledged_only_once_the_own_disk_holds_it) {
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
        int looks = 0;
        co_await script.until([&] { return ++looks > 5; });
        BOOST_TEST(!done); // the peer holds it, this node doesn't
        BOOST_REQUIRE(node.waiting.size() == 1U);
        node.waiting[0](true);
        const bool holds = co_await script.until([&] { return done; }, kTenthsPerSecond / 2);
        BOOST_TEST(holds);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(a_peer_is_told_that_records_are_held_once_they_are_on_the_disk) {
    ReactorScript script;
    Node node(script);
    node.disk_answers = false;
    node.registry.handle_replicate(kPeerNode, {{9, 4}, {server("i-1", 3, InstanceState::kDraining)}, {}});
    BOOST_TEST(node.sent.empty());
    BOOST_REQUIRE(node.waiting.size() == 1U);
    node.waiting[0](false); // the disk refused
    BOOST_TEST(node.sent.empty());
    node.registry.handle_replicate(kPeerNode, {{9, 5}, {server("i-1", 3, InstanceState::kDraining)}, {}});
    BOOST_REQUIRE(node.waiting.size() == 2U);
    node.waiting[1](true);
    BOOST_REQUIRE(node.sent.size() == 1U);
    BOOST_TEST((std::get<Replicated>(node.sent[0].message).id == feed::RequestId{9, 5}));
}

BOOST_AUTO_TEST_CASE(a_node_that_is_cut_off_uses_what_it_hears_and_confirms_nothing) {
    ReactorScript script;
    Node node(script);
    node.serves = false;
    script.run([&]() -> ReactorScript::Step {
        const auto reply = co_await node.beat(server("i-1"));
        BOOST_REQUIRE(reply.has_error());
        BOOST_TEST((reply.error().kind == ErrorKind::kUnavailable)); // 503: the server turns elsewhere
        BOOST_TEST((node.state("i-1") == InstanceState::kServing));
        co_return Done{};
    });
}

// Cut off for longer than any server may be silent, it would have judged all of them at once.
BOOST_AUTO_TEST_CASE(whoever_was_cut_off_gives_the_servers_their_whole_time_again) {
    ReactorScript script;
    Node node(script);
    script.run([&]() -> ReactorScript::Step {
        co_await node.beat(server("i-1"));
        node.in_contact = false;
        const Tenths cut = script.reactor.now();
        bool holds = co_await script.until([&] { return script.reactor.now() - cut > 30 * kBeat; });
        BOOST_TEST(holds);
        node.in_contact = true;
        const Tenths healed = script.reactor.now();
        holds = co_await script.until([&] { return node.state("i-1") != InstanceState::kServing; });
        BOOST_TEST(holds);
        BOOST_TEST((node.state("i-1") == InstanceState::kSilent)); // not gone
        BOOST_TEST(script.reactor.now() - healed >= 2 * kBeat);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(each_peer_is_asked_once_for_all_its_records_and_its_answer_is_known) {
    ReactorScript script;
    Node node(script);
    node.registry.request_sync(kPeerNode);
    const feed::RequestId question = copy_question(node);
    node.registry.request_sync(kPeerNode); // it was asked just now
    BOOST_TEST(node.sent.size() == 1U);
    Instance left = server("i-1", 4, InstanceState::kGone);
    node.registry.receive_records(kPeerNode, {{left}, true, {question.incarnation + 1, question.number}});
    node.registry.receive_records(kPeerNode, {{left}, true, {question.incarnation, question.number + 1}});
    node.registry.receive_records(kThirdNode, {{left}, true, question}); // it was not asked
    BOOST_TEST(node.registry.synced_members().empty());
    BOOST_TEST(node.registry.dropped_replies().other_process == 1U);
    BOOST_TEST(node.registry.dropped_replies().unsolicited == 2U);
    node.registry.receive_records(kPeerNode, {{left}, true, question});
    BOOST_TEST((node.registry.synced_members() == std::set<std::uint64_t>{kPeerNode.member}));
    BOOST_TEST((node.state("i-1") == InstanceState::kGone));
    BOOST_TEST(node.registry.table().find("i-1") != nullptr); // what is gone travels too
    node.registry.request_sync(kPeerNode);
    BOOST_TEST(node.sent.size() == 1U);
}

// After a loss of all power a peer may be heard before it can be reached: its records were asked for half a
// second later, and the feed opened as late.
BOOST_AUTO_TEST_CASE(a_question_that_could_not_go_out_is_asked_as_soon_as_it_can) {
    ReactorScript script;
    Node node(script);
    node.unreachable = kPeer;
    node.registry.request_sync(kPeerNode);
    BOOST_TEST(node.sent.empty());
    node.unreachable.clear();
    node.registry.request_sync(kPeerNode);
    BOOST_TEST(node.sent.size() == 1U);
    node.registry.request_sync(kPeerNode); // it is on its way
    BOOST_TEST(node.sent.size() == 1U);
}
