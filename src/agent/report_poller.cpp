#include "agent/report_poller.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "protocol/json.hpp"
#include "protocol/values.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::agent {

namespace {

constexpr Ticks kReportTimeout = 5000;
constexpr std::uint64_t kInvalidReportLogRate = 1000; // one in so many is logged
constexpr std::size_t kMaxRequestBytes = 4096;
constexpr std::int64_t kMaxWaiting = 10'000;                 // requests; servers queue only a few
constexpr std::int64_t kMaxMemoryTokens = 1'000'000'000'000; // tokens

bool is_in_range(std::int64_t number, std::int64_t max) { return number >= 0 && number <= max; }

// A server can't run more requests than it has slots, nor use more memory than it has.
bool is_plausible(const model::Load& load, std::int64_t slots) {
    return is_in_range(load.waiting, kMaxWaiting) && is_in_range(load.running, slots) &&
           is_in_range(load.memory_total, kMaxMemoryTokens) &&
           is_in_range(load.memory_used, load.memory_total) && load.orders_accepted >= 0;
}

} // namespace

std::optional<model::Load> read_report(const std::string& instance, std::int64_t slots,
                                       const std::string& json) {
    try {
        const protocol::Json body = protocol::read_json(json);
        const auto number = [&body](std::string_view name) {
            const protocol::Json* found = body.find(name);
            return found == nullptr ? std::int64_t{0} : found->as_integer(name);
        };
        model::Load load;
        load.instance = instance;
        load.waiting = number("waiting"), load.running = number("running");
        load.memory_used = number("kvUsed"), load.memory_total = number("kvTotal");
        load.orders_accepted = number("callSeq");
        if (const protocol::Json* stage = body.find("stage"))
            load.stage = model::stage_from_name(stage->as_text("stage"));
        if (const protocol::Json* busy = body.find("busy")) load.changing = busy->as_bool("busy");
        if (!is_plausible(load, slots)) return std::nullopt;
        return load;
    } catch (const protocol::ProtocolError&) { return std::nullopt; }
}

ReportPoller::ReportPoller(transport::Reactor& reactor, Options options,
                           std::function<void(model::Load)> on_load)
    : reactor_(reactor), options_(std::move(options)), on_load_(std::move(on_load)) {}

void ReportPoller::assign(const std::map<std::string, model::Instance>& instances,
                          const std::vector<model::EdgeNode>& nodes) {
    assignment_.set_nodes(nodes);
    assignment_.limit_cache(instances.size());
    servers_ = instances.size();
    const auto is_mine = [&](const model::Instance& instance) {
        return instance.is_routable() && instance.stage != model::Stage::kNone &&
               assignment_.poller(instance.id) == options_.self;
    };
    for (auto next = polled_.begin(); next != polled_.end();) {
        const auto current = next++;
        const auto known = instances.find(current->first);
        if (known != instances.end() && is_mine(known->second)) continue;
        auto owner = std::make_shared<std::unique_ptr<PolledServer>>(std::move(current->second));
        polled_.erase(current);
        reactor_.free_later([owner] { owner->reset(); });
    }
    for (const auto& [id, instance] : instances) {
        if (polled_.contains(id) || !is_mine(instance)) continue;
        auto& server = polled_[id] =
            std::make_unique<PolledServer>(reactor_, id, instance.address, instance.slots);
        server->task = poll_repeatedly(*server);
        server->task.start();
    }
}

Ticks ReportPoller::interval() const {
    const std::size_t servers = std::max(servers_, options_.servers);
    return options_.interval * static_cast<Ticks>(servers) / static_cast<Ticks>(options_.servers);
}

transport::Async<transport::Done> ReportPoller::sleep(PolledServer& server, Ticks deadline) {
    const transport::WakeAt timer(reactor_, deadline, server.wake);
    while (reactor_.now() < deadline) co_await server.wake;
    co_return transport::Done{};
}

transport::Task ReportPoller::poll_repeatedly(PolledServer& server) {
    // Polls of many servers are spread over the interval by a hash of the server's id.
    const auto interval = static_cast<std::uint64_t>(this->interval());
    co_await sleep(server, reactor_.now() + static_cast<Ticks>(hash_text(server.instance) % interval));
    for (;;) {
        const Ticks began = reactor_.now();
        if (!co_await poll_once(server)) server.connection.reset();
        co_await sleep(server, began + this->interval());
    }
}

transport::Async<bool> ReportPoller::poll_once(PolledServer& server) {
    if (server.connection && !server.connection->reusable()) server.connection.reset();
    if (!server.connection)
        server.connection = http::ClientConnection::open(reactor_, server.address, kMaxRequestBytes);
    if (!server.connection) co_return false;
    http::ClientConnection& connection = *server.connection;
    connection.stream().also_wake(&server.wake);
    connection.stream().send(protocol::http_request("GET", "/report", server.address));
    const Ticks deadline = reactor_.now() + kReportTimeout;
    const transport::WakeAt timer(reactor_, deadline, server.wake);
    while (!connection.parser().complete()) {
        connection.read();
        if (connection.parser().complete()) break;
        if (connection.parser().broken() != 0 || connection.stream().ended() || reactor_.now() >= deadline)
            co_return false;
        co_await server.wake;
    }
    const protocol::HttpMessage response = connection.parser().take();
    if (response.status == 200) {
        const auto load = read_report(server.instance, server.slots, response.body);
        if (load)
            on_load_(*load);
        else if (++invalid_reports_ == 1 || invalid_reports_ % kInvalidReportLogRate == 0)
            log_line("invalid_report",
                     {{"instance", server.instance}, {"count", std::to_string(invalid_reports_)}});
    }
    co_return !response.close;
}

} // namespace ivyrill::agent
