// A whole control node, free of sockets and files: its part in the configuration's group, the servers'
// records, its links with its peers, the feed that agents follow, and what its disk keeps. Calls come in as
// messages, see `handle`.
#pragma once
#include "clock/fleet_clock.hpp"
#include "control/configuration_group.hpp"
#include "control/control_api.hpp"
#include "control/count_duty.hpp"
#include "control/duty_parts.hpp"
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
#include "duties/call_budget.hpp"
#include "duties/usage_tally.hpp"
#include "feed/publisher.hpp"
#include "settings/settings.hpp"

#include <memory>
#include <string>
#include <vector>

namespace ivyrill::control {

class ControlNode {
  public:
    // An error where the settings or the disk can't be served with.
    static Result<std::unique_ptr<ControlNode>> open(Environment environment,
                                                     const settings::Settings& settings);
    ~ControlNode();
    transport::Async<http::Answer> handle(protocol::HttpMessage message) const {
        return api_->handle(std::move(message));
    }
    void begin_shutdown(); // SIGTERM: hands over, tells its peers, stops the reactor within a second

    const ConfigurationGroup& group() const { return *group_; }
    const InstanceRegistry& registry() const { return *registry_; }
    const feed::FeedLog& log() const { return log_; }
    const DutyParts* duty_parts() const { return duty_parts_.get(); } // null where the deployment has none
    const clock::FleetClock& fleet_clock() const { return fleet_clock_; }  // empty where no usage is due
    const duties::UsageTally& usage_tally() const { return usage_tally_; } // likewise
    bool serves_feed() const { return gate_.is_open(); }
    // Answers of peers that were passed over: of another process's question, of none, or of a peer not asked.
    std::uint64_t dropped_replies() const;

  private:
    ControlNode(Environment environment, const settings::Settings& settings);
    Result<void> start();
    std::size_t losses() const;
    std::size_t min_voters() const;
    Result<void> open_snapshot_store();
    Result<void> open_duty_parts();
    Result<void> open_group();
    void open_registry();
    void open_operator_calls();
    void open_stage_duty();
    void open_count_duty(); // after the servers' parts, whose picture it shares
    void open_peers();
    void open_feed();
    void restore_snapshot(); // what the disk knew, as a head start
    NodeSnapshot take_snapshot() const;
    void publish(); // after items were put into the log
    void committed(const model::Configuration& configuration, const std::string& body);
    void peer_said(const model::ControlNode& peer, feed::Message message);
    void peers_changed();
    void identity_changed();
    void put_edge_nodes();
    void put_control_nodes();
    void put_orders(const std::vector<feed::StageOrdered>& orders);
    void open_usage_exchange();
    void open_usage_duty();
    void propose_usage(UsageDuty::ChangeLedger change);
    void exchange_usage();
    void take_usage(const model::ControlNode& peer, const feed::UsageCounts& counts);
    void watch_duties();
    void watch();
    void update_gate();
    void become_ready();
    void cut_off();
    FeedConditions feed_conditions() const;
    std::string call_address(const std::string& peer) const;
    std::string inspect() const;

    Environment environment_;
    transport::Reactor& reactor_;
    settings::Settings settings_;
    std::uint64_t incarnation_; // of this process
    model::ControlNode self_;
    feed::FeedLog log_;
    clock::FleetClock fleet_clock_;
    duties::UsageTally usage_tally_;
    std::unique_ptr<UsageExchange> usage_exchange_; // null where no usage is due
    duties::CallBudget call_budget_{settings_.cloud_api.duty_per_s, reactor_.now()}; // of all duties
    std::unique_ptr<SnapshotStore> snapshot_store_;
    std::unique_ptr<feed::Publisher> publisher_;
    std::unique_ptr<PeerMesh> peers_;
    std::unique_ptr<DutyParts> duty_parts_;
    std::unique_ptr<ConfigurationGroup> group_;
    std::unique_ptr<InstanceRegistry> registry_;
    std::unique_ptr<StageDuty> stage_duty_; // null without duties
    std::unique_ptr<UsageDuty> usage_duty_; // null where no usage is due
    std::unique_ptr<CountDuty> count_duty_; // null where no numbers are ordered
    std::unique_ptr<OperatorCalls> operator_calls_;
    std::unique_ptr<ControlApi> api_;
    std::unique_ptr<feed::LinkListener> peer_listener_, feed_listener_;
    std::string configuration_body_; // of the newest configuration in the log
    std::vector<model::ControlNode> alive_;
    EdgeNodeList edge_nodes_;
    FeedGate gate_;
    bool ending_ = false;
    bool ready_ = false;     // to vote: what it has merged is being made durable, or is
    std::uint64_t cuts_ = 0; // how often it was cut off, and forgot from whom it has copies
    transport::Reactor::TimerId timer_{}, usage_timer_{};
};

} // namespace ivyrill::control
