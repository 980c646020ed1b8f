#include "recovery/plan.hpp"

#include <algorithm>

namespace ivyrill::recovery {

std::set<SiteName> sites_of(const PlanTerms& terms) {
    std::set<SiteName> made;
    for (const auto& [name, server] : terms.servers) made.insert(server.site);
    return made;
}

bool Plan::full() const {
    return gone.empty() && std::ranges::all_of(triage.verdicts, [](const auto& held) {
               return held.second.admitted >= 0.999 && held.second.weight >= 0.999;
           });
}

Plan plan_without(const PlanTerms& terms, const std::set<SiteName>& without) {
    Plan made;
    made.without = without;
    made.demand = terms.demand.parts();
    DivisionTerms division;
    division.costs = terms.costs, division.links = terms.links;
    std::set<int> held;
    for (const auto& [name, server] : terms.servers) {
        if (without.contains(server.site) || !server.live) continue;
        const auto there = terms.presence.find(name);
        const double power = server.power * (there == terms.presence.end() ? 1 : there->second);
        division.servers.push_back({name, server.site, server.shards, power * terms.of_one * terms.headroom});
        held.insert(server.shards.begin(), server.shards.end());
        made.room += division.servers.back().room;
    }
    double all = 0, left = 0;
    for (const auto& [shard, share] : terms.demand.shards) all += share;
    for (const auto& [shard, share] : terms.demand.shards) {
        if (held.contains(shard))
            division.shards[shard] = all > 0 ? made.demand * share / all : 0;
        else
            made.gone.insert(shard);
    }
    // Who came to a site that is lost comes to the others.
    for (const auto& [site, share] : terms.origins)
        if (!without.contains(site)) division.origins[site] = share, left += share;
    for (auto& [site, share] : division.origins) share /= std::max(left, 1e-9);
    made.division = divide(division);
    TriageTerms sorting{terms.request_classes, terms.quotas, terms.demand, {}};
    for (const auto& [shard, rate] : division.shards)
        sorting.room[shard] = rate * made.division.served[shard];
    made.triage = triage(sorting);
    std::map<std::string, std::pair<double, double>> sums;
    for (const auto& [key, verdict] : made.triage.verdicts) {
        const double searches = terms.demand.rows.at(key).searches;
        sums[key.first].first += searches * verdict.admitted * verdict.weight;
        sums[key.first].second += searches;
    }
    for (const auto& [request_class, sum] : sums)
        made.survives[request_class] = sum.second > 0 ? sum.first / sum.second : 1;
    return made;
}

std::vector<Plan> plan_ahead(const PlanTerms& terms) {
    std::vector<Plan> made{plan_without(terms, {})};
    const std::set<SiteName> sites = sites_of(terms);
    for (const SiteName& site : sites) made.push_back(plan_without(terms, {site}));
    for (auto first = sites.begin(); first != sites.end(); ++first)
        for (auto second = std::next(first); second != sites.end(); ++second)
            made.push_back(plan_without(terms, {*first, *second}));
    return made;
}

} // namespace ivyrill::recovery
