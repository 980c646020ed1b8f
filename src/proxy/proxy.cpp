#include "proxy/proxy.hpp"

#include "base/log.hpp"
#include "feed/ports.hpp"
#include "limits/connection_choice.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace ivyrill::proxy {

namespace {

constexpr std::size_t kMaxUnsent = 16 * 1024 * 1024; // one request with the largest configurable body
constexpr Ticks kDeregistrationDelay =
    26'000; // by then the platform, which checks readiness each second, has removed this node
constexpr Ticks kShutdownMargin = 5000; // before SIGKILL
constexpr Ticks kShutdownCheckInterval = 500;
constexpr Ticks kLogInterval = 100'000;
constexpr Ticks kDemandInterval = 10'000;
constexpr Ticks kUsageInterval = 2500; // counts since the last one are lost if the process is killed
constexpr Ticks kFlushDelay = 500;     // for the last message to be written

std::uint64_t random_seed() {
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32U | device();
}

replica_selection::RetryBudget::Limits budget_terms(const settings::Bounds& bounds) {
    return {bounds.retry_budget_ratio, static_cast<double>(bounds.retry_slack),
            static_cast<Ticks>(bounds.retry_window_s * kTicksPerSecond)};
}

} // namespace

Proxy::Proxy(transport::Reactor& reactor, const settings::Settings& settings)
    : reactor_(reactor), settings_(settings), limits_(limits::proxy_limits(settings.limits)),
      context_{reactor,
               nullptr,
               replica_selection::PairSelector(random_seed()),
               replica_selection::RetryBudgets(budget_terms(settings.bounds)),
               ServerConnections(reactor, kMaxUnsent),
               ConnectTimeout{},
               Pcg(random_seed()),
               {},
               {},
               UsageMeter(random_seed(), settings.bounds.usage_window_ms()),
               {},
               false,
               0,
               limits::BufferBudget(limits_.buffer_bytes)} {
    context_.connections.start();
    open_feed();
    open_ready();
    open_front();
    log_counters();
    send_demand();
    if (context_.usage.is_enabled()) send_usage();
}

Proxy::~Proxy() {
    reactor_.cancel(timer_);
    reactor_.cancel(log_timer_);
    reactor_.cancel(demand_timer_);
    reactor_.cancel(usage_timer_);
}

void Proxy::open_feed() {
    feed::Subscriber::Options options;
    options.node = {settings_.node_name, settings_.zone, settings_.ip, random_seed()};
    options.initial_backoff = kTicksPerSecond / 10, options.max_backoff = kTicksPerSecond / 4;
    feed::Subscriber::Callbacks callbacks;
    callbacks.publishers = [this] { return std::vector<std::string>{feed::local_feed_address(settings_)}; };
    callbacks.applied = [this](const feed::Tables::Applied& applied) { this->applied(applied); };
    callbacks.synchronized = [this] { context_.usage.resend_all(); };
    callbacks.fleet_time = [this](const clock::FleetTime& time) {
        context_.usage.update_fleet_time(time, reactor_.now());
    };
    subscriber_ = std::make_unique<feed::Subscriber>(reactor_, network_, options, std::move(callbacks));
    subscriber_->start();
}

void Proxy::open_ready() {
    router_.add<ReadyCall, ReadyReply>(
        {"GET", "/ready",
         [](const protocol::HttpMessage&, const std::string&) { return Result<ReadyCall>(ReadyCall{}); },
         [this](ReadyCall) -> transport::Async<Result<ReadyReply>> {
             if (!ready())
                 co_return error(ErrorKind::kUnavailable, "no configuration is known yet, or this node ends");
             co_return ReadyReply{};
         },
         [](const ReadyReply&) { return http::Response{}; }});
    http::CallServer::Options options;
    options.max_connections = limits_.ready_connections;
    ready_server_ = std::make_unique<http::CallServer>(
        reactor_, settings_.listen_addrs.at("readyAddr"), context_.buffers, options,
        [this](const protocol::HttpMessage& head) { return router_.max_body_bytes(head); },
        [this](protocol::HttpMessage message) { return router_.handle(std::move(message)); });
}

void Proxy::open_front() {
    front_ = std::make_unique<transport::Listener>(reactor_, settings_.listen_addrs.at("front"),
                                                   [this](int descriptor) { accept_client(descriptor); });
}

void Proxy::accept_client(int descriptor) {
    if (!make_room_for_client()) return transport::close_descriptor(descriptor);
    const auto over = [this](ClientSession& session) {
        reactor_.free_later([this, &session] {
            sessions_.remove_if([&](const ClientSession& other) { return &other == &session; });
        });
    };
    sessions_.emplace_back(context_, descriptor, over).start();
}

// A client whose connection is closed before its request was read may send it again.
bool Proxy::make_room_for_client() {
    if (sessions_.size() < limits_.client_connections) return true;
    const auto least_used = limits::find_least_used(sessions_, reactor_.now());
    if (least_used == sessions_.end()) return false;
    sessions_.erase(least_used);
    return true;
}

void Proxy::applied(const feed::Tables::Applied& applied) {
    const feed::Tables& tables = subscriber_->tables();
    if (applied.configuration) {
        context_.routes = std::make_shared<const model::RoutingTable>(tables.configuration());
        context_.selector.set_services(tables.configuration()->services);
        context_.budgets.keep_only(
            [this](const std::string& service) { return context_.routes->service(service) != nullptr; });
        const model::TenantTable& tenants = context_.routes->tenants();
        log_line("configuration",
                 {{"version", std::to_string(tables.configuration()->version)},
                  {"keys", tenants.requires_keys() ? std::to_string(tenants.size()) : "none"}});
    }
    if (applied.instances) {
        context_.selector.set_instances(tables.instances().records(), reactor_.now());
        context_.connections.keep_only([this](const std::string& id) {
            const model::Instance* known = context_.selector.instance(id);
            return known != nullptr && known->is_routable();
        });
    }
    if (applied.loads)
        for (const feed::Item& item : applied.changes) {
            if (const auto* load = std::get_if<model::Load>(&item))
                context_.selector.set_load(*load, reactor_.now());
            else if (const auto* order = std::get_if<feed::StageOrdered>(&item))
                context_.selector.record_stage_order(order->instance, order->orders_accepted, reactor_.now());
        }
    if (applied.nodes) {
        context_.selector.set_edge_nodes(tables.edge_nodes().size());
        context_.budgets.set_edge_nodes(tables.edge_nodes().size(), reactor_.now());
    }
}

void Proxy::begin_shutdown() {
    if (std::exchange(context_.shutting_down, true)) return;
    log_line("ending", {{"sessions", std::to_string(sessions_.size())}});
    shutdown_since_ = reactor_.now();
    context_.shutdown_deadline = shutdown_since_ + grace() - kShutdownMargin;
    stop_when_idle();
}

Ticks Proxy::grace() const { return static_cast<Ticks>(settings_.bounds.grace_s * kTicksPerSecond); }

// Accepts connections until the platform has removed this node, then waits for open requests, within the
// grace period.
void Proxy::stop_when_idle() {
    const Ticks passed = reactor_.now() - shutdown_since_;
    if (passed >= std::min(kDeregistrationDelay, grace() / 2)) {
        front_.reset();
        for (ClientSession& session : sessions_) session.close_if_idle();
    }
    const bool done = !front_ && std::ranges::none_of(sessions_, &ClientSession::busy);
    if (done || reactor_.now() >= context_.shutdown_deadline) {
        log_line("ended", {{"sessions", std::to_string(sessions_.size())}});
        return end();
    }
    timer_ = reactor_.call_after(kShutdownCheckInterval, [this] { stop_when_idle(); });
}

void Proxy::send_demand() {
    demand_timer_ = reactor_.call_after(kDemandInterval, [this] { send_demand(); });
    auto demands = context_.demand.take(reactor_.now());
    if (!demands.empty()) subscriber_->send(feed::Demands{std::move(demands)});
}

void Proxy::send_usage() {
    usage_timer_ = reactor_.call_after(kUsageInterval, [this] { send_usage(); });
    if (!subscriber_->connected()) return; // everything is sent after the reconnect
    auto counts = context_.usage.take(reactor_.now());
    if (!counts.empty()) subscriber_->send(feed::UsageCounts{std::move(counts)});
}

void Proxy::end() {
    reactor_.cancel(usage_timer_);
    auto last_counts = context_.usage.take(reactor_.now(), true);
    if (last_counts.empty() || !subscriber_->send(feed::UsageCounts{std::move(last_counts)}))
        return reactor_.stop();
    timer_ = reactor_.call_after(kFlushDelay, [this] { reactor_.stop(); });
}

void Proxy::log_counters() {
    log_timer_ = reactor_.call_after(kLogInterval, [this] { log_counters(); });
    const Counters& c = context_.counters;
    if (c.requests == logged_requests_) return;
    logged_requests_ = c.requests;
    const auto text = [](std::uint64_t number) { return std::to_string(number); };
    log_line("counters", {{"requests", text(c.requests)},
                          {"served", text(c.served)},
                          {"failed", text(c.failed)},
                          {"rejected", text(c.rejected)},
                          {"client_gone", text(c.client_gone)},
                          {"hand_overs", text(c.hand_overs)},
                          {"further_sends", text(c.further_sends)},
                          {"lost_handles", text(c.lost_handles)},
                          {"resumed", text(c.resumed)},
                          {"connections", text(c.connections)},
                          {"bad_requests", text(c.bad_requests)},
                          {"no_route", text(c.no_route)},
                          {"key_missing", text(c.key_missing)},
                          {"key_unknown", text(c.key_unknown)},
                          {"stray_answers", text(c.stray_answers)},
                          {"too_long_to_end", text(c.too_long_to_end)},
                          {"not_run", text(c.not_run)},
                          {"misdirected", text(c.misdirected)},
                          {"refused_after_send", text(c.refused_after_send)},
                          {"no_room", text(c.no_room)}});
}

} // namespace ivyrill::proxy
