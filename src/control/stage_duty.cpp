#include "control/stage_duty.hpp"

#include "base/log.hpp"
#include "base/planted_fault.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace ivyrill::control {

using duties::Duty;
using duties::DutyKind;
using duties::OrderOutcome;
using duties::StagedServer;
using duties::StageOrder;

namespace {

const char* text_of(OrderOutcome outcome) {
    switch (outcome) {
    case OrderOutcome::kAccepted:
        return "taken";
    case OrderOutcome::kAlreadyInStage:
        return "holds";
    case OrderOutcome::kConflict:
        return "conflict";
    case OrderOutcome::kFencedOff:
        return "fenced_off";
    case OrderOutcome::kOtherServer:
        return "other_server";
    case OrderOutcome::kRefused:
        return "refused";
    case OrderOutcome::kNotSent:
        return "not_sent";
    case OrderOutcome::kUnanswered:
        return "unanswered";
    }
    return "";
}

} // namespace

StageDuty::StageDuty(transport::Reactor& reactor, duties::OrderClient& client, std::string holder,
                     Callbacks callbacks)
    : reactor_(reactor), client_(client), holder_(std::move(holder)), callbacks_(std::move(callbacks)) {
    timer_ = reactor_.call_after(duties::StageController::kInterval, [this] { run(); });
}

StageDuty::~StageDuty() { reactor_.cancel(timer_); }

void StageDuty::reported(const std::vector<model::Load>& loads) {
    for (const model::Load& load : loads) {
        report_freshness_.record_report(load.instance, reactor_.now());
        orders_.reported(load, reactor_.now());
    }
}

void StageDuty::run() {
    timer_ = reactor_.call_after(duties::StageController::kInterval, [this] { run(); });
    report_freshness_.forget_old(reactor_.now());
    const model::Configuration* configuration = callbacks_.configuration();
    if (configuration == nullptr) return;
    for (const model::Service& service : configuration->services)
        if (service.engine) run_service(service);
}

// A new holder starts with its own observations: the means of the previous holder are not handed over.
void StageDuty::run_service(const model::Service& service) {
    const Duty duty{DutyKind::kServerStages, service.name};
    const auto fence = callbacks_.fence(duty);
    if (!fence || orders_.is_fenced_off(*fence)) {
        controllers_.erase(service.name);
        return;
    }
    const auto stage_change_time = static_cast<Ticks>(service.engine->stage_switch_s * kTicksPerSecond);
    duties::StageController& controller = controllers_.try_emplace(service.name).first->second;
    controller.set_stage_change_time(stage_change_time);
    const std::vector<StagedServer> servers = servers_of(service.name);
    const auto changes =
        controller.plan(servers, demand_.total(service.name, reactor_.now()), reactor_.now());
    if (!changes.empty())
        log_line("stages", {{"service", service.name},
                            {"reader_use", fmt::format("{:.2f}", controller.prefill_utilization())},
                            {"runner_use", fmt::format("{:.2f}", controller.decode_utilization())},
                            {"changes", std::to_string(changes.size())}});
    for (const duties::StageChange& change : changes) {
        const auto server = std::ranges::find(servers, change.instance, &StagedServer::id);
        if (!orders_.is_backing_off(change.instance, reactor_.now())) order(duty, *fence, change, *server);
    }
}

void StageDuty::order(const Duty& duty, std::uint64_t fence, const duties::StageChange& change,
                      const StagedServer& server) {
    StageOrder order{server.id, server.address, change.to, fence, server.orders_accepted};
    if (planted(PlantedFault::kOrderNotExpected)) order.expected_count.reset();
    orders_.sent(order, reactor_.now());
    send(duty, order);
}

void StageDuty::send(const Duty& duty, const StageOrder& order) {
    const auto may_send = [this, duty, fence = order.fence] { return callbacks_.may_act_under(duty, fence); };
    client_.send(order, holder_, may_send,
                 [this, duty, order](OrderOutcome outcome) { answered(duty, order, outcome); });
}

void StageDuty::answered(const Duty& duty, const StageOrder& order, OrderOutcome outcome) {
    log_line("stage_order", {{"server", order.instance},
                             {"stage", std::string(model::name_of(order.stage))},
                             {"fence", std::to_string(order.fence)},
                             {"outcome", text_of(outcome)}});
    orders_.answered(order.instance, outcome, reactor_.now());
    if (outcome == OrderOutcome::kUnanswered && planted(PlantedFault::kOrderSentAgainAtOnce)) {
        StageOrder again = order;
        ++*again.expected_count;
        send(duty, again);
    }
    if (outcome == OrderOutcome::kAccepted && order.expected_count)
        callbacks_.ordered({order.instance, order.stage, *order.expected_count + 1});
}

std::vector<StagedServer> StageDuty::servers_of(const std::string& service) const {
    std::vector<StagedServer> servers;
    for (const auto& [id, instance] : callbacks_.instances().records()) {
        const bool counts = instance.service == service && instance.stage != model::Stage::kNone &&
                            instance.state == model::InstanceState::kServing;
        if (counts) servers.push_back(staged_server(instance));
    }
    return servers;
}

// A report shows a changed stage sooner than a heartbeat does.
StagedServer StageDuty::staged_server(const model::Instance& instance) const {
    StagedServer server;
    server.id = instance.id, server.address = instance.address, server.zone = instance.zone;
    server.stage = instance.stage, server.slots = static_cast<double>(instance.slots);
    const auto load = callbacks_.loads().find(instance.id);
    server.reported =
        load != callbacks_.loads().end() && report_freshness_.is_fresh(instance.id, reactor_.now());
    if (server.reported) {
        const model::Load& seen = load->second;
        if (seen.stage != model::Stage::kNone) server.stage = seen.stage;
        server.running = static_cast<double>(seen.running),
        server.waiting = static_cast<double>(seen.waiting);
        server.memory_share = seen.memory_total > 0 ? static_cast<double>(seen.memory_used) /
                                                          static_cast<double>(seen.memory_total)
                                                    : 0;
        server.orders_accepted = seen.orders_accepted, server.changing = seen.changing;
    }
    if (const auto to = orders_.pending_stage(instance.id, reactor_.now()))
        server.stage = *to, server.changing = true;
    return server;
}

} // namespace ivyrill::control
