#include "agent/report_poller.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "protocol/json.hpp"
#include "protocol/values.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::agent {

namespace {

constexpr Tenths kReportPatience = 5000;
constexpr std::uint64_t kSpoiltLogged = 1000; // of so many, one is logged
constexpr std::size_t kMostRequest = 4096;
constexpr std::int64_t kMostWaiting = 10'000;           // requests; a server queues a few
constexpr std::int64_t kMostMemory = 1'000'000'000'000; // tokens

bool within(std::int64_t number, std::int64_t most) { return number >= 0 && number <= most; }

// A server runs no more requests than it has slots, and its memory holds no more than all of it.
bool plausible(const model::Load& load, std::int64_t slots) {
    return within(load.waiting, kMostWaiting) && within(load.running, slots) &&
           within(load.memory_total, kMostMemory) && within(load.memory_used, load.memory_total) &&
           load.orders_accepted >= 0;
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
        if (!plausible(load, slots)) return std::nullopt;
        return load;
    } catch (const protocol::ProtocolError&) { return std::nullopt; }
}

ReportPoller::ReportPoller(transport::Reactor& reactor, Options options,
                           std::function<void(model::Load)> read)
    : reactor_(reactor), options_(std::move(options)), read_(std::move(read)) {}

void ReportPoller::assign(const std::map<std::string, model::Instance>& instances,
                          const std::vector<model::EdgeNode>& nodes) {
    readers_.set_nodes(nodes);
    readers_.bound(instances.size());
    servers_ = instances.size();
    const auto is_mine = [&](const model::Instance& instance) {
        return instance.is_routable() && instance.stage != model::Stage::kNone &&
               readers_.reader(instance.id) == options_.self;
    };
    for (auto next = duties_.begin(); next != duties_.end();) {
        const auto here = next++;
        const auto known = instances.find(here->first);
        if (known != instances.end() && is_mine(known->second)) continue;
        auto held = std::make_shared<std::unique_ptr<Duty>>(std::move(here->second));
        duties_.erase(here);
        reactor_.free_later([held] { held->reset(); });
    }
    for (const auto& [id, instance] : instances) {
        if (duties_.contains(id) || !is_mine(instance)) continue;
        auto& duty = duties_[id] = std::make_unique<Duty>(reactor_, id, instance.address, instance.slots);
        duty->task = keep_reading(*duty);
        duty->task.start();
    }
}

Tenths ReportPoller::interval() const {
    const std::size_t servers = std::max(servers_, options_.servers);
    return options_.interval * static_cast<Tenths>(servers) / static_cast<Tenths>(options_.servers);
}

transport::Async<transport::Done> ReportPoller::sleep(Duty& duty, Tenths until) {
    const transport::WakeAt timer(reactor_, until, duty.wake);
    while (reactor_.now() < until) co_await duty.wake;
    co_return transport::Done{};
}

transport::Task ReportPoller::keep_reading(Duty& duty) {
    // Readings of many servers are spread over the interval by the server's id.
    const auto interval = static_cast<std::uint64_t>(this->interval());
    co_await sleep(duty, reactor_.now() + static_cast<Tenths>(hash_text(duty.instance) % interval));
    for (;;) {
        const Tenths began = reactor_.now();
        if (!co_await read_once(duty)) duty.connection.reset();
        co_await sleep(duty, began + this->interval());
    }
}

transport::Async<bool> ReportPoller::read_once(Duty& duty) {
    if (duty.connection && !duty.connection->quiet()) duty.connection.reset();
    if (!duty.connection)
        duty.connection = http::ClientConnection::open(reactor_, duty.address, kMostRequest);
    if (!duty.connection) co_return false;
    http::ClientConnection& connection = *duty.connection;
    connection.stream().also_wake(&duty.wake);
    connection.stream().send(protocol::http_request("GET", "/report", duty.address));
    const Tenths until = reactor_.now() + kReportPatience;
    const transport::WakeAt timer(reactor_, until, duty.wake);
    while (!connection.parser().complete()) {
        connection.read();
        if (connection.parser().complete()) break;
        if (connection.parser().broken() != 0 || connection.stream().ended() || reactor_.now() >= until)
            co_return false;
        co_await duty.wake;
    }
    const protocol::HttpMessage answer = connection.parser().take();
    if (answer.status == 200) {
        const auto load = read_report(duty.instance, duty.slots, answer.body);
        if (load)
            read_(*load);
        else if (++invalid_reports_ == 1 || invalid_reports_ % kSpoiltLogged == 0)
            log_line("spoilt_report",
                     {{"instance", duty.instance}, {"count", std::to_string(invalid_reports_)}});
    }
    co_return !answer.close;
}

} // namespace ivyrill::agent
