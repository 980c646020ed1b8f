#include "control/autoscale_duty.hpp"

#include "base/log.hpp"
#include "protocol/json.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace ivyrill::control {

using duties::Duty;
using duties::PlatformOutcome;
using duties::ZoneServerCount;

namespace {

// A restarting server is missing for up to this long; the count of its zone stays the same meanwhile.
constexpr Ticks kRestartGrace = 8 * kTicksPerSecond;

// Only servers with stages report their load.
bool is_autoscaled(const model::Service& service) { return service.engine && service.scaling; }

bool is_autoscaled(const model::Configuration& configuration, const std::string& name) {
    const auto found = std::ranges::find(configuration.services, name, &model::Service::name);
    return found != configuration.services.end() && is_autoscaled(*found);
}

} // namespace

std::string scale_body(const std::string& service, const ZoneServerCount& ordered) {
    std::string body = R"({"service":)";
    protocol::write_json_text(body, service);
    body += R"(,"zone":)";
    protocol::write_json_text(body, ordered.zone);
    return body + fmt::format(R"(,"desiredCount":{}}})", ordered.servers);
}

AutoscaleDuty::AutoscaleDuty(transport::Reactor& reactor, duties::PlatformClient& client, std::string holder,
                             Callbacks callbacks)
    : reactor_(reactor), client_(client), holder_(std::move(holder)), callbacks_(std::move(callbacks)) {
    timer_ = reactor_.call_after(duties::Autoscaler::kInterval, [this] { run(); });
}

AutoscaleDuty::~AutoscaleDuty() { reactor_.cancel(timer_); }

void AutoscaleDuty::run() {
    timer_ = reactor_.call_after(duties::Autoscaler::kInterval, [this] { run(); });
    const model::Configuration* configuration = callbacks_.configuration();
    if (configuration == nullptr) return;
    std::erase_if(services_, [&](const auto& known) { return !is_autoscaled(*configuration, known.first); });
    for (const model::Service& service : configuration->services)
        if (is_autoscaled(service)) run_service(service);
}

void AutoscaleDuty::run_service(const model::Service& service) {
    ServiceCounts& counts = services_[service.name];
    count_servers(service.name, counts);
    update_held_zones(service.name, counts);
    clear_outdated_orders(counts, static_cast<Ticks>(service.scaling->boot_time_s * kTicksPerSecond));
    const auto wanted =
        counts.controller.plan(scaling_input(service.name, counts), *service.scaling, reactor_.now());
    request_counts(service.name, counts, wanted);
    for (auto& [zone, state] : counts.zones) send_pending(service.name, zone, state);
}

// Silent servers count as well: they may be partitioned or restarting.
void AutoscaleDuty::count_servers(const std::string& service, ServiceCounts& counts) const {
    std::map<std::string, std::int64_t> present; // by zone
    for (const auto& [id, instance] : callbacks_.instances().records())
        if (instance.service == service && instance.is_routable()) ++present[instance.zone];
    for (const auto& [zone, servers] : present) counts.zones[zone];
    for (auto& [zone, state] : counts.zones) {
        const std::int64_t servers = present[zone];
        const bool is_outdated = reactor_.now() - state.at > kRestartGrace;
        if (servers >= state.servers || is_outdated) state.servers = servers, state.at = reactor_.now();
    }
}

void AutoscaleDuty::update_held_zones(const std::string& service, ServiceCounts& counts) const {
    for (auto& [zone, state] : counts.zones) {
        const auto fence = callbacks_.fence(duties::server_count_duty(service, zone));
        if (fence && !state.holds) state.held_since = reactor_.now();
        state.holds = fence.has_value();
        if (!fence || (state.order && state.order->fence() == *fence)) continue;
        state.order.emplace(*fence);
        state.held_since = reactor_.now();
    }
}

// Fewer servers than ordered for this long means that some were removed, not only restarted.
void AutoscaleDuty::clear_outdated_orders(ServiceCounts& counts, Ticks boot_time) const {
    for (auto& [zone, state] : counts.zones) {
        if (!state.holds || !state.order->accepted()) continue;
        const bool should_serve = reactor_.now() - state.order->accepted_at() > boot_time + kRestartGrace;
        if (should_serve && state.servers < *state.order->accepted()) state.order->clear_accepted();
    }
}

duties::ScalingInput AutoscaleDuty::scaling_input(const std::string& service,
                                                  const ServiceCounts& counts) const {
    duties::ScalingInput result{callbacks_.servers(service), {}, callbacks_.demand(service)};
    for (const auto& [zone, state] : counts.zones) {
        const auto accepted = state.holds ? state.order->accepted() : std::nullopt;
        result.target_counts.push_back({zone, accepted.value_or(state.servers)});
    }
    return result;
}

void AutoscaleDuty::request_counts(const std::string& service, ServiceCounts& counts,
                                   const std::vector<ZoneServerCount>& wanted) const {
    for (const ZoneServerCount& count : wanted) {
        Zone& state = counts.zones.at(count.zone);
        const bool has_observed = reactor_.now() - state.held_since >= kObservationTime;
        if (!state.holds || !has_observed || state.order->is_fenced_off()) continue;
        log_line("count", {{"service", service},
                           {"zone", count.zone},
                           {"servers", std::to_string(state.servers)},
                           {"wanted", std::to_string(count.servers)},
                           {"needed", fmt::format("{:.1f}", counts.controller.needed_servers())}});
        state.order->request(count.servers, reactor_.now());
    }
}

void AutoscaleDuty::send_pending(const std::string& service, const std::string& zone, Zone& state) {
    if (!state.holds) return;
    const auto servers = state.order->due(reactor_.now());
    const Duty duty = duties::server_count_duty(service, zone);
    if (!servers || !callbacks_.acquire_call(duty)) return;
    state.order->sent(), calls_.record_sent();
    const ZoneServerCount ordered{zone, *servers};
    const std::uint64_t fence = state.order->fence();
    client_.send(
        {"/scale", scale_body(service, ordered), fence}, holder_,
        [this, duty, fence] { return callbacks_.may_act_under(duty, fence); },
        [this, service, ordered, fence](PlatformOutcome outcome) {
            answered(service, ordered, fence, outcome);
        });
}

void AutoscaleDuty::answered(const std::string& service, const ZoneServerCount& ordered, std::uint64_t fence,
                             PlatformOutcome outcome) {
    log_line("count_order", {{"service", service},
                             {"zone", ordered.zone},
                             {"servers", std::to_string(ordered.servers)},
                             {"fence", std::to_string(fence)},
                             {"outcome", std::string(duties::name_of(outcome))}});
    calls_.record_outcome(outcome);
    const auto counts = services_.find(service);
    if (counts == services_.end()) return;
    const auto zone = counts->second.zones.find(ordered.zone);
    if (zone == counts->second.zones.end() || !zone->second.order) return;
    if (zone->second.order->fence() == fence)
        zone->second.order->answered(ordered.servers, outcome, reactor_.now());
}

std::vector<AutoscaleDuty::ZoneStatus> AutoscaleDuty::zone_statuses() const {
    std::vector<ZoneStatus> result;
    for (const auto& [service, counts] : services_)
        for (const auto& [zone, state] : counts.zones)
            if (state.holds)
                result.push_back(
                    {service, zone, state.order->fence(), state.servers, state.order->accepted()});
    return result;
}

} // namespace ivyrill::control
