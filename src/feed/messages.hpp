// Messages of feeds (control to agent, agent to proxy) and of the links between control nodes.
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

// Identifies a request of one process, so that only that process accepts the answer: a process restarted at
// the same address counts from 1 again, but has another incarnation.
struct RequestId {
    std::uint64_t incarnation = 0, number = 0; // number 0: no answer is wanted
    template <class Self> static auto tie(Self& s) { return std::tie(s.incarnation, s.number); }
    friend auto operator<=>(const RequestId&, const RequestId&) = default;
};

// Items of a feed; each replaces the previous item with its key.
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
// Difference between a configuration and the one before it. Routes are identified by host and prefix,
// services and tenants by name.
struct ConfigurationChange {
    std::int64_t base_version = 0, version = 0;
    std::vector<model::Route> routes;
    std::vector<model::Service> services;
    std::vector<model::Route> removed_routes; // host and prefix only
    std::vector<std::string> removed_services;
    model::ClientLimits limits;
    bool has_tenants = false; // whether the new configuration has tenants; if not, the lists are empty
    std::vector<model::Tenant> tenants;
    std::vector<std::string> removed_tenants;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.base_version, s.version, s.routes, s.services, s.removed_routes, s.removed_services,
                        s.limits, s.has_tenants, s.tenants, s.removed_tenants);
    }
};
struct InstanceRemoved { // the publisher no longer knows the instance; it may be published again
    std::string instance;
    template <class Self> static auto tie(Self& s) { return std::tie(s.instance); }
    friend bool operator==(const InstanceRemoved&, const InstanceRemoved&) = default;
};
struct StageOrdered { // a server has accepted an order and is changing until it reports at least this count
    std::string instance;
    model::Stage stage = model::Stage::kNone; // ordered stage
    std::int64_t orders_accepted = 0;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.instance, s.stage, s.orders_accepted);
    }
    friend bool operator==(const StageOrdered&, const StageOrdered&) = default;
};
using Item = std::variant<model::Configuration, ConfigurationChange, model::Instance, InstanceRemoved,
                          model::Load, EdgeNodes, ControlNodes, StageOrdered>;

// Number of ranges of instances that are compared by digest; the range follows from the id.
inline constexpr std::size_t kDigestRanges = 32;
struct Digests {
    std::vector<std::uint64_t> ranges;
    template <class Self> static auto tie(Self& s) { return std::tie(s.ranges); }
};

// Subscriber to publisher.
struct Subscribe { // first message on a feed's link
    model::EdgeNode node;
    std::uint64_t feed_id = 0, sequence = 0; // position to resume from; feed_id 0: from a snapshot
    std::int64_t configuration_version = 0;
    Digests instances;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.node, s.feed_id, s.sequence, s.configuration_version, s.instances);
    }
};
struct Instances { // records of the requested ranges
    std::vector<model::Instance> records;
    bool last = true;
    RequestId in_reply_to; // between control nodes: the RangeRequest being answered
    template <class Self> static auto tie(Self& s) { return std::tie(s.records, s.last, s.in_reply_to); }
};
struct Loads { // loads that a poller has read
    std::vector<model::Load> loads;
    template <class Self> static auto tie(Self& s) { return std::tie(s.loads); }
};
struct Demands { // demand at this node since its last message; one entry per service
    std::vector<model::ServiceDemand> demands;
    template <class Self> static auto tie(Self& s) { return std::tie(s.demands); }
};
struct Heartbeat {
    std::uint64_t sequence = 0; // of the publisher, or the one that the subscriber has applied
    // The fleet's time as the publisher knows it, or the subscriber's own wall clock. Unix time in ms; 0: not
    // stated.
    std::int64_t unix_ms = 0;
    std::int64_t error_ms = 0; // of the fleet's time
    template <class Self> static auto tie(Self& s) { return std::tie(s.sequence, s.unix_ms, s.error_ms); }
};
struct UsageCounts { // counts of proxy processes, sent to all control nodes and between them
    std::vector<model::ProcessUsage> counts;
    template <class Self> static auto tie(Self& s) { return std::tie(s.counts); }
};

// Publisher to subscriber.
struct RangeRequest { // the sender's records of these ranges differ from the receiver's: requests them as
                      // Instances
    std::vector<std::uint64_t> ranges;
    RequestId id; // between control nodes
    template <class Self> static auto tie(Self& s) { return std::tie(s.ranges, s.id); }
};
// Encodes to the same bytes as a Batch, without copying the items.
struct BatchView {
    std::uint64_t feed_id = 0, sequence = 0;
    bool snapshot = false;
    std::vector<const Item*> items;
};
struct Batch {                               // applied atomically
    std::uint64_t feed_id = 0, sequence = 0; // sequence number after the batch
    bool snapshot = false;                   // replaces the subscriber's whole state
    std::vector<Item> items;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.feed_id, s.sequence, s.snapshot, s.items);
    }
};
struct SubscriptionRefused { // the publisher can't serve now; the subscriber tries another one
    std::string reason;
    template <class Self> static auto tie(Self& s) { return std::tie(s.reason); }
};

// Between control nodes.
struct PeerHello { // first message on such a link, in both directions
    model::ControlNode node;
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0; // highest term of the configuration's group that this node knows
    std::vector<model::ControlNode> known;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.node, s.incarnation, s.term, s.known);
    }
};
struct SessionClock {
    std::uint64_t session = 0;  // index in the list of sessions
    std::int64_t offset_ms = 0; // offset from the sending node's wall clock
    template <class Self> static auto tie(Self& s) { return std::tie(s.session, s.offset_ms); }
};
struct PeerStatus { // sent periodically: known nodes, sessions at this node, and digests of the instances
    std::vector<model::ControlNode> known;
    std::vector<model::EdgeNode> sessions;
    Digests instances;
    std::vector<model::ServiceDemand> demands; // demand of all nodes with a session here
    bool ending = false;                       // this node is shutting down, for good or for a restart
    bool ready = false;       // the node has the server records of a majority on its disk, and so may vote
    std::int64_t unix_ms = 0; // this node's wall clock; 0: not stated
    std::vector<SessionClock> session_clocks;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.known, s.sessions, s.instances, s.demands, s.ending, s.ready, s.unix_ms,
                        s.session_clocks);
    }
};
struct HeartbeatsSeen { // instances whose heartbeats arrived here since the last such message, although this
                        // node is not their owner
    std::vector<std::string> instances;
    template <class Self> static auto tie(Self& s) { return std::tie(s.instances); }
};
struct Replicate { // merge, make durable, then acknowledge if an answer is wanted
    RequestId id;
    std::vector<model::Instance> instances;
    std::vector<model::Load> loads;
    template <class Self> static auto tie(Self& s) { return std::tie(s.id, s.instances, s.loads); }
};
struct StageOrderNotice { // orders of a duty holder, sent to all nodes
    std::vector<StageOrdered> orders;
    template <class Self> static auto tie(Self& s) { return std::tie(s.orders); }
};
struct UsageRequest { // requests all counts of these processes, because some are missing here
    std::vector<std::uint64_t> processes;
    template <class Self> static auto tie(Self& s) { return std::tie(s.processes); }
};
struct Replicated { // the records are durable on this node's disk
    RequestId id;
    template <class Self> static auto tie(Self& s) { return std::tie(s.id); }
};
// An operator's request that another control node must decide.
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

// Message within the group of one partition of the duties.
struct DutyMessage {
    std::uint64_t partition = 0;
    consensus::Message message;
    template <class Self> static auto tie(Self& s) { return std::tie(s.partition, s.message); }
};

using Message =
    std::variant<Subscribe, Instances, Loads, Demands, Heartbeat, RangeRequest, Batch, SubscriptionRefused,
                 PeerHello, PeerStatus, HeartbeatsSeen, Replicate, StageOrderNotice, Replicated,
                 ForwardedCall, ForwardedAnswer, consensus::Message, DutyMessage, UsageCounts, UsageRequest>;

// The encoding of Message{Batch{...}}.
std::string to_bytes(const BatchView& batch);

} // namespace ivyrill::feed
