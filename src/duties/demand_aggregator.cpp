#include "duties/demand_aggregator.hpp"

namespace ivyrill::duties {

namespace {

constexpr Ticks kMaxAge = 3 * kTicksPerSecond; // older reports are dropped

} // namespace

void DemandAggregator::add(std::map<std::string, Update>& updates, Ticks now, Sums& sums) {
    std::erase_if(updates, [now](const auto& entry) { return now - entry.second.received_at > kMaxAge; });
    for (const auto& [name, update] : updates)
        for (const model::ServiceDemand& demand : update.demands) {
            model::ServiceDemand& sum = sums[demand.service];
            sum.service = demand.service;
            sum += demand;
        }
}

std::vector<model::ServiceDemand> DemandAggregator::local(Ticks now) {
    Sums sums;
    add(nodes_, now, sums);
    std::vector<model::ServiceDemand> demands;
    for (const auto& [service, sum] : sums) demands.push_back(sum);
    return demands;
}

std::optional<model::ServiceDemand> DemandAggregator::total(const std::string& service, Ticks now) {
    Sums sums;
    add(nodes_, now, sums);
    add(peers_, now, sums);
    const auto found = sums.find(service);
    return found == sums.end() ? std::nullopt : std::optional(found->second);
}

} // namespace ivyrill::duties
