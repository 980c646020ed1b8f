// The plan for the loss of sites, made ahead: where the load goes, what is refused first, what is gone. For
// the loss of each site and of each pair; from capacity as learnt, replicas by shard, the demand by request
// class and tenant, and the cost of distance. Pure; the same terms give the same plan.
#pragma once
#include "recovery/load_assignment.hpp"
#include "recovery/load_shedding.hpp"

namespace ivyrill::recovery {

struct PlanInput {
    std::map<std::string, ListedServer> servers; // all that serve or may again
    double unit_capacity = 0;                    // parts a second of a warm server of power 1
    std::map<std::string, double>
        available_share; // share of a server's power that is there: cold, failing; not named: 1
    std::map<std::string, RequestClassInfo> request_classes;
    std::map<std::string, double> quotas;
    Demand demand;
    std::map<SiteName, double> origins; // share of the searches that come up at each site
    std::map<std::pair<SiteName, SiteName>, double> costs, links;
    double headroom = 0.9; // share of a server's power that a plan may fill
};

struct Plan {
    std::set<SiteName> without;
    LoadAssignment assignment;
    SheddingPlan shedding;
    std::set<int> lost_shards;                   // shards
    std::map<std::string, double> utility_share; // of each request class, share of its utility
    double capacity = 0, demand = 0;             // parts a second
    bool serves_all() const;                     // it serves all that is asked for
};

Plan plan_without(const PlanInput& input, const std::set<SiteName>& without);
// For each site, each pair, and none.
std::vector<Plan> plan_each_loss(const PlanInput& input);
std::set<SiteName> sites_of(const PlanInput& input);

} // namespace ivyrill::recovery
