// A complete control node without sockets and files: its member of the configuration group, the server
// registry, the links to its peers, the duties, the feed to the agents, and its state on disk. HTTP calls are
// passed to `handle`.
#pragma once
#include "clock/fleet_clock.hpp"
#include "control/autoscale_duty.hpp"
#include "control/configuration_group.hpp"
#include "control/control_api.hpp"
#include "control/duty_partitions.hpp"
#include "control/edge_node_list.hpp"
#include "control/environment.hpp"
#include "control/feed_gate.hpp"
#include "control/instance_registry.hpp"
#include "control/node_snapshot.hpp"
#include "control/operator_calls.hpp"
#include "control/peer_mesh.hpp"
#include "control/stage_duty.hpp"
#include "control/usage_duty.hpp"
#include "control/usage_exchange.hpp"
#include "duties/platform_rate_limiter.hpp"
#include "duties/usage_aggregator.hpp"
#include "feed/publisher.hpp"
#include "settings/settings.hpp"

#include <memory>
#include <string>
#include <vector>

namespace ivyrill::control {

class ControlNode {
  public:
    // Returns an error if the settings or the stored state can't be used.
    static Result<std::unique_ptr<ControlNode>> open(Environment environment,
                                                     const settings::Settings& settings);
    ~ControlNode();
    transport::Async<http::Response> handle(protocol::HttpMessage message) const {
        return api_->handle(std::move(message));
    }
    // Upper limit of the body of a call with this head; bytes.
    std::size_t max_body_bytes(const protocol::HttpMessage& head) const { return api_->max_body_bytes(head); }
    // For SIGTERM: transfers leadership, informs the peers, stops the reactor within 1 s.
    void begin_shutdown();

    const ConfigurationGroup& group() const { return *group_; }
    const InstanceRegistry& registry() const { return *registry_; }
    const feed::FeedLog& log() const { return log_; }
    const DutyPartitions* duty_partitions() const {
        return duty_partitions_.get();
    } // null in deployments without duties
    const clock::FleetClock& fleet_clock() const { return fleet_clock_; } // empty if usage is not reported
    const duties::UsageAggregator& usage_aggregator() const { return usage_aggregator_; } // likewise
    bool serves_feed() const { return feed_gate_.is_open(); }
    // The number of peers' replies that were dropped as not matching a pending request of this process.
    std::uint64_t dropped_replies() const;

  private:
    ControlNode(Environment environment, const settings::Settings& settings);
    Result<void> start();
    std::size_t tolerated_losses() const;
    std::size_t min_voters() const;
    Result<void> open_snapshot_store();
    Result<void> open_duty_partitions();
    Result<void> open_group();
    void open_registry();
    void open_operator_calls();
    void open_stage_duty();
    void open_autoscale_duty(); // after open_stage_duty(), whose demand and server data it uses
    void open_peers();
    void open_feed();
    void restore_snapshot(); // initial state until the group and the servers provide it
    NodeSnapshot take_snapshot() const;
    void publish(); // call after a change of the log
    void publish_configuration(const model::Configuration& configuration, const std::string& body);
    void handle_peer_message(const model::ControlNode& peer, feed::Message message);
    void peers_changed();
    void identity_changed();
    void publish_edge_nodes();
    void publish_control_nodes();
    void publish_orders(const std::vector<feed::StageOrdered>& orders);
    void open_usage_exchange();
    void open_usage_duty();
    void propose_usage(UsageDuty::ChangeLedger change);
    void exchange_usage();
    void merge_usage(const model::ControlNode& peer, const feed::UsageCounts& counts);
    void update_duties();
    void check_periodically();
    void update_gate();
    void update_readiness();
    void handle_partition();
    FeedConditions feed_conditions() const;
    std::string call_address(const std::string& peer) const;
    std::string inspect() const;

    Environment environment_;
    transport::Reactor& reactor_;
    settings::Settings settings_;
    std::uint64_t incarnation_; // random id of this process
    model::ControlNode self_;
    feed::FeedLog log_;
    clock::FleetClock fleet_clock_;
    duties::UsageAggregator usage_aggregator_;
    std::unique_ptr<UsageExchange> usage_exchange_; // null if usage is not reported
    duties::PlatformRateLimiter platform_rate_limiter_{settings_.cloud_api.duty_per_s,
                                                       reactor_.now()}; // shared by all duties
    std::unique_ptr<SnapshotStore> snapshot_store_;
    std::unique_ptr<feed::Publisher> publisher_;
    std::unique_ptr<PeerMesh> peers_;
    std::unique_ptr<DutyPartitions> duty_partitions_;
    std::unique_ptr<ConfigurationGroup> group_;
    std::unique_ptr<InstanceRegistry> registry_;
    std::unique_ptr<StageDuty> stage_duty_;         // null without duties
    std::unique_ptr<UsageDuty> usage_duty_;         // null if usage is not reported
    std::unique_ptr<AutoscaleDuty> autoscale_duty_; // null if the platform takes no server counts
    std::unique_ptr<OperatorCalls> operator_calls_;
    std::unique_ptr<ControlApi> api_;
    std::unique_ptr<feed::LinkListener> peer_listener_, feed_listener_;
    std::string configuration_body_; // of the newest configuration in the log
    std::vector<model::ControlNode> alive_;
    EdgeNodeList edge_nodes_;
    FeedGate feed_gate_;
    bool shutting_down_ = false;
    bool ready_ = false; // may vote: the merged server records are durable, or are being written
    std::uint64_t partition_count_ = 0; // how often it was partitioned and reset its sync state
    transport::Reactor::TimerId timer_{}, usage_timer_{};
};

} // namespace ivyrill::control
