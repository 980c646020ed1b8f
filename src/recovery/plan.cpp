#include "recovery/plan.hpp"

#include <algorithm>

namespace ivyrill::recovery {

std::set<SiteName> sites_of(const PlanInput& input) {
    std::set<SiteName> result;
    for (const auto& [name, server] : input.servers) result.insert(server.site);
    return result;
}

bool Plan::serves_all() const {
    return lost_shards.empty() && std::ranges::all_of(shedding.admissions, [](const auto& entry) {
               return entry.second.admitted_share >= 0.999 && entry.second.answer_weight >= 0.999;
           });
}

Plan plan_for_lost_sites(const PlanInput& input, const std::set<SiteName>& lost_sites) {
    Plan result;
    result.lost_sites = lost_sites;
    result.demand = input.demand.parts();
    AssignmentInput assignment;
    assignment.costs = input.costs, assignment.links = input.links;
    std::set<int> served_shards;
    for (const auto& [name, server] : input.servers) {
        if (lost_sites.contains(server.site) || !server.live) continue;
        const auto share = input.available_share.find(name);
        const double available_weight =
            server.capacity_weight * (share == input.available_share.end() ? 1 : share->second);
        assignment.servers.push_back(
            {name, server.site, server.shards, available_weight * input.unit_capacity * input.headroom});
        served_shards.insert(server.shards.begin(), server.shards.end());
        result.capacity += assignment.servers.back().capacity;
    }
    double total = 0, remaining_share = 0;
    for (const auto& [shard, share] : input.demand.shards) total += share;
    for (const auto& [shard, share] : input.demand.shards) {
        if (served_shards.contains(shard))
            assignment.shards[shard] = total > 0 ? result.demand * share / total : 0;
        else
            result.lost_shards.insert(shard);
    }
    // Clients of an unavailable site go to the other sites.
    for (const auto& [site, share] : input.origins)
        if (!lost_sites.contains(site)) assignment.origins[site] = share, remaining_share += share;
    for (auto& [site, share] : assignment.origins) share /= std::max(remaining_share, 1e-9);
    result.assignment = assign_load(assignment);
    SheddingInput shedding{input.request_classes, input.quotas, input.demand, {}};
    for (const auto& [shard, rate] : assignment.shards)
        shedding.capacity[shard] = rate * result.assignment.served_share[shard];
    result.shedding = plan_shedding(shedding);
    std::map<std::string, std::pair<double, double>> sums;
    for (const auto& [key, admission] : result.shedding.admissions) {
        const double searches = input.demand.rows.at(key).searches;
        sums[key.first].first += searches * admission.admitted_share * admission.answer_weight;
        sums[key.first].second += searches;
    }
    for (const auto& [request_class, sum] : sums)
        result.utility_share[request_class] = sum.second > 0 ? sum.first / sum.second : 1;
    return result;
}

std::vector<Plan> plan_all_losses(const PlanInput& input) {
    std::vector<Plan> result{plan_for_lost_sites(input, {})};
    const std::set<SiteName> sites = sites_of(input);
    for (const SiteName& site : sites) result.push_back(plan_for_lost_sites(input, {site}));
    for (auto first = sites.begin(); first != sites.end(); ++first)
        for (auto second = std::next(first); second != sites.end(); ++second)
            result.push_back(plan_for_lost_sites(input, {*first, *second}));
    return result;
}

} // namespace ivyrill::recovery
