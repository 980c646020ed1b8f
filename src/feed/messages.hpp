// What travels over a feed (control to agent, agent to proxy) and over the links between control nodes.
#pragma once
#include "consensus/types.hpp"
#include "model/configuration.hpp"
#include "model/instance.hpp"
#include "model/usage.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace ivyrill::feed {

// Names one question of one process, so that its answer is taken by that process alone: a process that
// starts anew at the same address counts from 1 again, but draws another incarnation.
struct RequestId {
    std::uint64_t incarnation = 0, number = 0; // number 0: no answer is wanted
    template <class Self> static auto tie(Self& s) { return std::tie(s.incarnation, s.number); }
    friend auto operator<=>(const RequestId&, const RequestId&) = default;
};

// Items of a feed; each replaces what was there under its key.
struct EdgeNodes { // all of them
    std::vector<model::EdgeNode> nodes;
    template <class Self> static auto tie(Self& s) { return std::tie(s.nodes); }
    friend bool operator==(const EdgeNodes&, const EdgeNodes&) = default;
};
struct ControlNodes { // all of them
    std::vector<model::ControlNode> nodes;
    template <class Self> static auto tie(Self& s) { return std::tie(s.nodes); }
    friend bool operator==(const ControlNodes&, const ControlNodes&) = default;
};
// What a configuration changes of the one before it. Routes are known by host and prefix, services and
// tenants by name.
struct ConfigurationChange {
    std::int64_t base_version = 0, version = 0;
    std::vector<model::Route> routes;
    std::vector<model::Service> services;
    std::vector<model::Route> removed_routes; // host and prefix alone
    std::vector<std::string> removed_services;
    model::ClientLimits limits;
    bool has_tenants = false; // the later one; the lists are empty without
    std::vector<model::Tenant> tenants;
    std::vector<std::string> removed_tenants;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.base_version, s.version, s.routes, s.services, s.removed_routes, s.removed_services,
                        s.limits, s.has_tenants, s.tenants, s.removed_tenants);
    }
};
struct InstanceRemoved { // an instance that the publisher no longer knows of; it may be told of again
    std::string instance;
    template <class Self> static auto tie(Self& s) { return std::tie(s.instance); }
    friend bool operator==(const InstanceRemoved&, const InstanceRemoved&) = default;
};
struct StageOrdered { // a server has taken an order and is changing until it reports that count, or more
    std::string instance;
    model::Stage stage = model::Stage::kNone; // that it is to have
    std::int64_t orders_accepted = 0;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.instance, s.stage, s.orders_accepted);
    }
    friend bool operator==(const StageOrdered&, const StageOrdered&) = default;
};
using Item = std::variant<model::Configuration, ConfigurationChange, model::Instance, InstanceRemoved,
                          model::Load, EdgeNodes, ControlNodes, StageOrdered>;

// How many ranges of instances are compared by digest; an instance's range follows from its id.
inline constexpr std::size_t kDigestRanges = 32;
struct Digests {
    std::vector<std::uint64_t> ranges;
    template <class Self> static auto tie(Self& s) { return std::tie(s.ranges); }
};

// Subscriber to publisher.
struct Subscribe { // the first message on a link of a feed
    model::EdgeNode node;
    std::uint64_t feed_id = 0, sequence = 0; // where to go on; feed 0: from a snapshot
    std::int64_t configuration_version = 0;
    Digests instances;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.node, s.feed_id, s.sequence, s.configuration_version, s.instances);
    }
};
struct Instances { // records of the ranges that were asked for
    std::vector<model::Instance> records;
    bool last = true;
    RequestId answers; // between control nodes: the RangeRequest that it answers
    template <class Self> static auto tie(Self& s) { return std::tie(s.records, s.last, s.answers); }
};
struct Loads { // what a reader has read
    std::vector<model::Load> loads;
    template <class Self> static auto tie(Self& s) { return std::tie(s.loads); }
};
struct Demands { // of this node, since it last told; one entry a service
    std::vector<model::ServiceDemand> demands;
    template <class Self> static auto tie(Self& s) { return std::tie(s.demands); }
};
struct Heartbeat {
    std::uint64_t sequence = 0; // of the publisher, or that the subscriber has applied
    // The fleet's time as the publisher knows it, or the subscriber's own time of day. Milliseconds since the
    // start of 1970; 0: not told.
    std::int64_t unix_ms = 0;
    std::int64_t error_ms = 0; // of the fleet's time
    template <class Self> static auto tie(Self& s) { return std::tie(s.sequence, s.unix_ms, s.error_ms); }
};
struct UsageCounts { // of processes, on their way to all control nodes; also between these
    std::vector<model::ProcessUsage> counts;
    template <class Self> static auto tie(Self& s) { return std::tie(s.counts); }
};

// Publisher to subscriber.
struct RangeRequest { // the subscriber's, or a peer's, records of these ranges differ: send them as Instances
    std::vector<std::uint64_t> ranges;
    RequestId id; // between control nodes
    template <class Self> static auto tie(Self& s) { return std::tie(s.ranges, s.id); }
};
// As a publisher writes a Batch: the same bytes, of items that stay where they are.
struct BatchView {
    std::uint64_t feed_id = 0, sequence = 0;
    bool snapshot = false;
    std::vector<const Item*> items;
};
struct Batch {                               // applied whole
    std::uint64_t feed_id = 0, sequence = 0; // place after it
    bool snapshot = false;                   // replaces everything that was known
    std::vector<Item> items;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.feed_id, s.sequence, s.snapshot, s.items);
    }
};
struct SubscriptionRefused { // this publisher can't serve now; the subscriber goes elsewhere
    std::string reason;
    template <class Self> static auto tie(Self& s) { return std::tie(s.reason); }
};

// Between control nodes.
struct PeerHello { // the first message on such a link, both ways
    model::ControlNode node;
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0; // the newest of the configuration's group that this node knows of
    std::vector<model::ControlNode> known;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.node, s.incarnation, s.term, s.known);
    }
};
struct SessionClock {
    std::uint64_t session = 0; // its place in the list of sessions
    std::int64_t ahead_ms = 0; // of the time of day of the node that tells
    template <class Self> static auto tie(Self& s) { return std::tie(s.session, s.ahead_ms); }
};
struct PeerStatus { // every so often: who is known here, whose sessions stand here, and digests of the
                    // instances
    std::vector<model::ControlNode> known;
    std::vector<model::EdgeNode> sessions;
    Digests instances;
    std::vector<model::ServiceDemand> demands; // of all nodes whose sessions stand here
    bool ending = false;                       // this node ends for good or for a while
    bool ready = false;       // it holds the servers' records of a majority on its disk, and so may vote
    std::int64_t unix_ms = 0; // this node's time of day; 0: not told
    std::vector<SessionClock> session_clocks;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.known, s.sessions, s.instances, s.demands, s.ending, s.ready, s.unix_ms,
                        s.session_clocks);
    }
};
struct HeartbeatsSeen { // instances whose heartbeats came here since this was last told, though this node is
                        // not the
                        // owner
    std::vector<std::string> instances;
    template <class Self> static auto tie(Self& s) { return std::tie(s.instances); }
};
struct Replicate { // merge, make durable, then acknowledge, where an answer is wanted
    RequestId id;
    std::vector<model::Instance> instances;
    std::vector<model::Load> loads;
    template <class Self> static auto tie(Self& s) { return std::tie(s.id, s.instances, s.loads); }
};
struct StageOrderNotice { // what a holder has ordered, for all nodes
    std::vector<StageOrdered> orders;
    template <class Self> static auto tie(Self& s) { return std::tie(s.orders); }
};
struct UsageRequest { // all that the peer has of these processes: something of it did not come here
    std::vector<std::uint64_t> processes;
    template <class Self> static auto tie(Self& s) { return std::tie(s.processes); }
};
struct Replicated { // the records are on this node's disk
    RequestId id;
    template <class Self> static auto tie(Self& s) { return std::tie(s.id); }
};
// An operator's call that another control node has to decide.
struct ForwardedCall {
    RequestId id;
    std::string method, if_match, body;
    template <class Self> static auto tie(Self& s) { return std::tie(s.id, s.method, s.if_match, s.body); }
};
struct ForwardedAnswer {
    RequestId id;
    std::int64_t status = 0;
    std::string body;
    template <class Self> static auto tie(Self& s) { return std::tie(s.id, s.status, s.body); }
};

// Of the group of one part of the duties.
struct DutyMessage {
    std::uint64_t part = 0;
    consensus::Message message;
    template <class Self> static auto tie(Self& s) { return std::tie(s.part, s.message); }
};

using Message =
    std::variant<Subscribe, Instances, Loads, Demands, Heartbeat, RangeRequest, Batch, SubscriptionRefused,
                 PeerHello, PeerStatus, HeartbeatsSeen, Replicate, StageOrderNotice, Replicated,
                 ForwardedCall, ForwardedAnswer, consensus::Message, DutyMessage, UsageCounts, UsageRequest>;

// The bytes of Message{Batch{...}}.
std::string to_bytes(const BatchView& batch);

} // namespace ivyrill::feed
