// The program `control`: the operator's API, the servers' heartbeats, this node's part in the configuration's
// group, its links with its peers, and the feed that agents follow.
#pragma once
#include "control/configuration_group.hpp"
#include "control/instance_registry.hpp"
#include "control/known_state.hpp"
#include "control/peer_mesh.hpp"
#include "feed/publisher.hpp"
#include "http/call_server.hpp"
#include "settings/settings.hpp"
#include "transport/listener.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ivyrill::control {

struct ReadConfigurationCall {};
struct ReadConfigurationReply {
    std::string body;
};
struct ReplaceConfigurationCall {
    std::int64_t if_match = 0;
    std::string body;
};
struct ReplaceConfigurationReply {};
struct InspectCall {};
struct InspectReply {
    std::string body;
};

class ControlNode {
  public:
    // An error where the settings or the disk can't be served with.
    static Result<std::unique_ptr<ControlNode>> open(transport::Reactor& reactor,
                                                     const settings::Settings& settings);
    ~ControlNode();
    void begin_end(); // SIGTERM: hands over, tells its peers, ends within a second

  private:
    ControlNode(transport::Reactor& reactor, const settings::Settings& settings);
    Result<void> start();
    void open_registry();
    void open_group_callbacks(ConfigurationGroup::Callbacks& callbacks);
    void open_peers();
    void open_feed();
    Result<void> open_known_state();
    KnownState known_state() const;
    void publish(); // after items were put into the log
    void open_calls();
    void peer_said(const model::ControlNode& peer, feed::Message message);
    void peers_changed();
    void put_edge_nodes();
    void put_control_nodes();
    void watch();
    std::size_t further_copies() const;
    std::string call_address(const std::string& peer) const;
    transport::Async<Result<ReadConfigurationReply>> carry_out(ReadConfigurationCall call);
    transport::Async<Result<ReplaceConfigurationReply>> carry_out(ReplaceConfigurationCall call);
    transport::Async<Result<InspectReply>> carry_out(InspectCall call);
    // By whoever owns the configuration: here, or at the peer that does.
    transport::Async<http::Answer> at_owner(std::string method, std::string if_match, std::string body);
    transport::Async<http::Answer> decide_here(const std::string& method, const std::string& if_match,
                                               std::string body);
    transport::Task answer_forwarded(std::string peer, feed::ForwardedCall call);

    transport::Reactor& reactor_;
    settings::Settings settings_;
    model::ControlNode self_;
    feed::FeedLog log_;
    std::unique_ptr<feed::Publisher> publisher_;
    std::unique_ptr<PeerMesh> peers_;
    std::unique_ptr<ConfigurationGroup> group_;
    std::unique_ptr<InstanceRegistry> registry_;
    std::unique_ptr<KnownStateKeeper> known_state_; // null until it was loaded
    std::string configuration_body_;                // of the newest configuration in the log
    std::unique_ptr<http::CallServer> calls_;
    http::CallRouter router_;
    std::unique_ptr<transport::Listener> peer_listener_, feed_listener_;
    std::map<std::uint64_t, std::shared_ptr<transport::Pending<http::Answer>>> forwarded_;
    std::map<std::string, std::pair<model::EdgeNode, Tenths>>
        edge_nodes_;                               // by name, with when it was last there
    std::vector<model::EdgeNode> told_edge_nodes_; // as last put into the log
    std::uint64_t count_ = 0;
    bool ending_ = false, serving_feed_ = false;
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::control
