// The `agent` program, one beside each proxy: keeps the machine's session with a control node, follows its
// feed and relays it to the proxy over loopback, so that the proxy spends its time on requests only. It also
// polls the load of its share of the servers on behalf of all nodes.
#pragma once
#include "agent/report_poller.hpp"
#include "agent/usage_relay.hpp"
#include "feed/publisher.hpp"
#include "feed/publisher_list.hpp"
#include "feed/socket_link.hpp"
#include "feed/subscriber.hpp"
#include "settings/settings.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::agent {

class Agent {
  public:
    Agent(transport::Reactor& reactor, const settings::Settings& settings); // throws if it can't listen
    ~Agent();
    void use_settings(const settings::Settings& settings); // reloaded settings
    void begin_end();

  private:
    std::vector<std::string> control_addresses();
    void learn_control_nodes();
    void applied(const feed::Tables::Applied& applied);
    void flush_loads();
    void relay_usage(feed::Publisher::Callbacks& proxy_callbacks,
                     feed::Subscriber::Callbacks& control_callbacks);

    transport::Reactor& reactor_;
    settings::Settings settings_;
    std::optional<UsageRelay> usage_relay_; // none if usage reports are disabled
    feed::SocketNetwork network_;
    feed::FeedLog log_;
    std::unique_ptr<feed::Publisher> publisher_;
    feed::PublisherList control_nodes_;
    std::unique_ptr<feed::Subscriber> subscriber_;
    std::unique_ptr<ReportPoller> report_poller_;
    std::unique_ptr<feed::LinkListener> listener_;
    std::vector<model::Load> pending_loads_; // loads to send with the next flush
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::agent
