// ControlWorld: proxies that count started requests, and machines whose times of day differ.
#include "lab/control_world.hpp"

#include <utility>

namespace ivyrill::lab {

namespace {

constexpr std::int64_t kStartMs = 1'767'225'600'000; // true time when the simulated clock was 0
constexpr std::int64_t kTicksPerMs = kTicksPerSecond / 1000;
constexpr Ticks kUsageReportInterval = 2500;

} // namespace

std::int64_t ControlWorld::true_ms() const { return kStartMs + network_.now() / kTicksPerMs; }

std::int64_t ControlWorld::time_of_day(MachineNumber machine) const {
    const auto ahead = clocks_ahead_.find(machine);
    return true_ms() + (ahead == clocks_ahead_.end() ? 0 : ahead->second);
}

// As in the agent's program.
void ControlWorld::count_usage(std::size_t number, feed::Subscriber::Callbacks& callbacks) {
    agents_[number].usage = std::make_unique<agent::UsageRelay>(window_ms());
    callbacks.time_of_day = [this, machine = agents_[number].machine] { return time_of_day(machine); };
    callbacks.fleet_time = [this, number](const clock::FleetTime& time) {
        agents_[number].usage->update_fleet_time(time, network_.now());
    };
    callbacks.synchronized = [this, number] {
        auto counts = agents_[number].usage->recent();
        if (!counts.empty()) agents_[number].process->send(feed::UsageCounts{std::move(counts)});
    };
}

void ControlWorld::start_proxy(std::size_t number) {
    agents_[number].proxy = std::make_unique<proxy::UsageMeter>(network_.random().next(), window_ms());
    network_.schedule(network_.now() + network_.between(0, kUsageReportInterval),
                      [this, number] { report_usage(number); });
}

void ControlWorld::report_usage(std::size_t number) {
    network_.schedule(network_.now() + kUsageReportInterval, [this, number] { report_usage(number); });
    Agent& agent = agents_[number];
    if (!agent.proxy || !is_live(agent.machine) || !agent.usage) return;
    if (std::exchange(agent.proxy_linked_to, network_.incarnation(agent.machine)) !=
        network_.incarnation(agent.machine)) {
        agent.proxy->resend_all();
        agent.proxy_reported_at = 0;
    }
    if (network_.now() - agent.proxy_reported_at >= kTicksPerSecond)
        if (const auto time = agent.usage->time(network_.now())) {
            agent.proxy->update_fleet_time(*time, network_.now());
            agent.proxy_reported_at = network_.now();
        }
    agent.unreported_usage.clear();
    agent.reported_at = network_.now();
    report_to_agent(number, agent.proxy->take(network_.now()));
}

void ControlWorld::report_to_agent(std::size_t number, std::vector<model::ProcessUsage> counts) {
    if (counts.empty()) return;
    network_.run_on(agents_[number].machine, [this, number, counts = std::move(counts)] {
        agents_[number].usage->add_counts(counts, network_.now());
        agents_[number].process->send(feed::UsageCounts{counts});
    });
}

void ControlWorld::begin_request(std::size_t number, const std::string& tenant) {
    if (!agents_[number].proxy) return;
    agents_[number].proxy->count_started(tenant, network_.now());
    ++begun_[true_ms() / window_ms()][tenant];
    ++agents_[number].unreported_usage[true_ms() / window_ms()][tenant];
}

void ControlWorld::kill_agent(std::size_t number, Ticks down_for) {
    record_event("kill agent " + std::to_string(number));
    network_.kill(agents_[number].machine);
    network_.schedule(network_.now() + down_for, [this, number] { start_agent(number); });
}

void ControlWorld::kill_proxy(std::size_t number) {
    Agent& agent = agents_[number];
    if (network_.now() - agent.reported_at > kUsageReportInterval)
        report_violation("a proxy reported nothing for too long");
    for (const auto& [window, counts] : agent.unreported_usage)
        for (const auto& [tenant, count] : counts) lost_[window][tenant] += count;
    agent.proxy.reset();
}

void ControlWorld::end_proxy(std::size_t number) {
    const auto proxy = std::exchange(agents_[number].proxy, nullptr);
    report_to_agent(number, proxy->take(network_.now(), true));
}

std::optional<clock::FleetTime> ControlWorld::proxy_time(std::size_t number) const {
    const Agent& agent = agents_.at(number);
    return agent.usage ? agent.usage->time(network_.now()) : std::nullopt;
}

std::map<std::string, std::int64_t> ControlWorld::begun(std::int64_t window) const {
    const auto found = begun_.find(window);
    return found == begun_.end() ? std::map<std::string, std::int64_t>{} : found->second;
}

} // namespace ivyrill::lab
