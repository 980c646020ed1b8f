// Failover plans: which servers take the load when sites are unavailable, what is shed and which shards are
// lost. Computed from the estimated capacity, the replicas of each shard, the demand by request class and
// tenant, and the cost of distance. Pure and deterministic.
#pragma once
#include "recovery/load_assignment.hpp"
#include "recovery/load_shedding.hpp"

namespace ivyrill::recovery {

struct PlanInput {
    std::map<std::string, ListedServer> servers; // all that serve or may return
    double unit_capacity = 0;                    // parts per second of a warm server of weight 1
    std::map<std::string, double>
        available_share; // of a server's capacity, less while it is cold or failing; absent: 1
    std::map<std::string, RequestClassInfo> request_classes;
    std::map<std::string, double> quotas;
    Demand demand;
    std::map<SiteName, double> origins; // share of the searches that originate at each site
    std::map<std::pair<SiteName, SiteName>, double> costs, links;
    double headroom = 0.9; // share of a server's capacity that a plan may use
};

struct Plan {
    std::set<SiteName> lost_sites;
    LoadAssignment assignment;
    SheddingPlan shedding;
    std::set<int> lost_shards;                   // no replica is left
    std::map<std::string, double> utility_share; // share of each request class's utility that remains
    double capacity = 0, demand = 0;             // parts per second
    bool serves_all() const;                     // nothing is shed or lost
};

Plan plan_for_lost_sites(const PlanInput& input, const std::set<SiteName>& lost_sites);
// Plans for no loss, for the loss of each site and of each pair of sites.
std::vector<Plan> plan_all_losses(const PlanInput& input);
std::set<SiteName> sites_of(const PlanInput& input);

} // namespace ivyrill::recovery
