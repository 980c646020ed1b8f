// The plan for the loss of sites, made ahead: where the load goes, what is refused first, what is gone. For
// the loss of each site and of each pair; from capacity as learnt, replicas by shard, the demand by request
// class and tenant, and the cost of distance. Pure; the same terms give the same plan.
#pragma once
#include "recovery/division.hpp"
#include "recovery/triage.hpp"

namespace ivyrill::recovery {

struct PlanTerms {
    std::map<std::string, ServerSeen> servers; // all that serve or may again
    double of_one = 0;                         // parts a second of a warm server of power 1
    std::map<std::string, double>
        presence; // share of a server's power that is there: cold, failing; not named: 1
    std::map<std::string, RequestClassFacts> request_classes;
    std::map<std::string, double> quotas;
    Demand demand;
    std::map<SiteName, double> origins; // share of the searches that come up at each site
    std::map<std::pair<SiteName, SiteName>, double> costs, links;
    double headroom = 0.9; // share of a server's power that a plan may fill
};

struct Plan {
    std::set<SiteName> without;
    Division division;
    Triage triage;
    std::set<int> gone;                     // shards
    std::map<std::string, double> survives; // of each request class, share of its utility
    double room = 0, demand = 0;            // parts a second
    bool full() const;                      // it serves all that is asked for
};

Plan plan_without(const PlanTerms& terms, const std::set<SiteName>& without);
// For each site, each pair, and none.
std::vector<Plan> plan_ahead(const PlanTerms& terms);
std::set<SiteName> sites_of(const PlanTerms& terms);

} // namespace ivyrill::recovery
