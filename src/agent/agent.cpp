#include "agent/agent.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "clock/time_of_day.hpp"
#include "feed/ports.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace ivyrill::agent {

namespace {

constexpr Ticks kPollInterval = 5000;  // reports are some hundred ms old when received, and each has a cost
constexpr Ticks kFlushInterval = 1000; // loads read within it are sent together
constexpr Ticks kShutdownDelay = 100;
constexpr Ticks kTimeInterval = kTicksPerSecond; // between updates of the fleet's time to the proxy

std::uint64_t draw() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U | device()) | 1U;
}

std::string host_text(const std::string& address) { return address.substr(0, address.rfind(':')); }

} // namespace

Agent::Agent(transport::Reactor& reactor, const settings::Settings& settings)
    : reactor_(reactor), settings_(settings), network_(reactor), log_(draw()),
      control_nodes_(hash_text(settings.node_name)) {
    feed::Publisher::Callbacks proxy_callbacks;
    feed::Publisher::Options proxy_options;
    feed::Subscriber::Callbacks callbacks;
    if (settings_.bounds.usage_window_ms() > 0) {
        usage_relay_.emplace(settings_.bounds.usage_window_ms());
        proxy_options.heartbeat = kTimeInterval;
        relay_usage(proxy_callbacks, callbacks);
    }
    proxy_callbacks.demands = [this](const std::string&, const std::vector<model::ServiceDemand>& demands) {
        subscriber_->send(feed::Demands{demands});
    };
    publisher_ = std::make_unique<feed::Publisher>(reactor_, log_, proxy_options, std::move(proxy_callbacks));
    listener_ = network_.listen(feed::local_feed_address(settings_),
                                [this](feed::AcceptedLink connection) { publisher_->accept(connection); });
    report_poller_ = std::make_unique<ReportPoller>(
        reactor_, ReportPoller::Options{settings_.node_name, kPollInterval},
        [this](model::Load load) { pending_loads_.push_back(std::move(load)); });
    feed::Subscriber::Options options;
    options.node = {settings_.node_name, settings_.zone, settings_.ip, draw()};
    options.heartbeat = feed::kSessionHeartbeat, options.silence = feed::kSessionTimeout;
    options.offers_records = true;
    callbacks.publishers = [this] { return control_addresses(); };
    callbacks.applied = [this](const feed::Tables::Applied& applied) { this->applied(applied); };
    subscriber_ = std::make_unique<feed::Subscriber>(reactor_, network_, options, std::move(callbacks));
    subscriber_->start();
    flush_loads();
}

Agent::~Agent() { reactor_.cancel(timer_); }

void Agent::use_settings(const settings::Settings& settings) { settings_ = settings; }

void Agent::relay_usage(feed::Publisher::Callbacks& proxy_callbacks,
                        feed::Subscriber::Callbacks& control_callbacks) {
    proxy_callbacks.fleet_time = [this] { return usage_relay_->time(reactor_.now()); };
    proxy_callbacks.usage = [this](const std::vector<model::ProcessUsage>& counts) {
        usage_relay_->add_counts(counts, reactor_.now());
        subscriber_->send(feed::UsageCounts{counts});
    };
    control_callbacks.time_of_day = clock::time_of_day;
    control_callbacks.fleet_time = [this](const clock::FleetTime& time) {
        if (usage_relay_->update_fleet_time(time, reactor_.now())) publisher_->publish_time();
    };
    control_callbacks.synchronized = [this] { // anything sent over the previous link may be lost
        auto counts = usage_relay_->recent();
        if (!counts.empty()) subscriber_->send(feed::UsageCounts{std::move(counts)});
    };
}

std::vector<std::string> Agent::control_addresses() {
    std::vector<std::string> seeds;
    for (const std::string& seed : settings_.seed_nodes)
        seeds.push_back(feed::feed_address(settings_, host_text(seed)));
    return control_nodes_.next_candidates(std::move(seeds));
}

void Agent::learn_control_nodes() {
    std::vector<std::string> addresses;
    for (const model::ControlNode& node : subscriber_->tables().control_nodes())
        addresses.push_back(feed::feed_address(settings_, host_text(node.address)));
    control_nodes_.update(addresses, reactor_.now());
}

void Agent::applied(const feed::Tables::Applied& applied) {
    for (const feed::Item& item : applied.changes) log_.put(item);
    for (const std::string& id : applied.expired) log_.forget_instance(id);
    publisher_->publish();
    if (applied.nodes) learn_control_nodes();
    if (applied.instances || applied.nodes)
        report_poller_->assign(subscriber_->tables().instances().records(),
                               subscriber_->tables().edge_nodes());
}

// Sends the loads to the control node, which passes them on to all nodes.
void Agent::flush_loads() {
    timer_ = reactor_.call_after(kFlushInterval, [this] { flush_loads(); });
    if (pending_loads_.empty()) return;
    subscriber_->send(feed::Loads{std::exchange(pending_loads_, {})});
}

void Agent::begin_end() {
    log_line("ending");
    reactor_.call_after(kShutdownDelay, [this] { reactor_.stop(); });
}

} // namespace ivyrill::agent
