// What the decision module consults of a plan for lost sites: which sites take part in the choice, what is
// refused first, which parts are left out. It is told by `ReliefTold` (brain.hpp) and forgets nothing by
// itself: whoever plans says when all is as ever again. Nothing told: nothing differs.
//
// Whatever it is told, however wrong, the rules hold: it only takes away. A site that is shut gets fewer
// attempts, a search that is not admitted has had none, parts are left out only down to the request class's
// floor and an answer without them is in part, further attempts become fewer and never more.
#pragma once
#include "base/pcg.hpp"
#include "state.hpp"

#include <map>
#include <set>

namespace ivyrill::recovery {

class FailoverPolicy {
  public:
    void update(const ReliefTold& policy_update);

    enum class Eligibility { kEligible, kLastResort, kExcluded }; // takes part; after all others; not at all
    // Drawn anew for each choice where its site comes back in steps. What may run once is never sent to a
    // site that is only tried.
    Eligibility eligibility(ZoneNo zone, bool once, Pcg& chance) const;
    bool excludes(ZoneNo zone) const { return !site_shares_.empty() && site_share(zone) <= 0; }
    bool shard_lost(ShardNo shard) const { return lost_shards_.contains(shard); } // nobody holds it any more
    // Whether a search is let in at all; drawn once a search.
    bool admits(RequestClassNo request_class, TenantNo tenant, Pcg& chance) const;
    // Marks the parts that a request class which may be answered in part does without: of the shards in most
    // need first, never below `floor` of the weight.
    void omit_parts(Search& search, double floor, TenantNo tenant) const;
    double attempt_budget_share() const {
        return attempt_budget_share_;
    } // of the budget for further attempts
    // When a client that is refused should come again: spread, so that they do not come together.
    Tenths retry_after(Tenths usual, Pcg& chance) const;

  private:
    double site_share(ZoneNo zone) const;
    const ReliefTold::Row* find_row(RequestClassNo request_class, TenantNo tenant) const;

    std::map<ZoneNo, double> site_shares_;
    std::set<ShardNo> lost_shards_;
    std::map<std::pair<RequestClassNo, TenantNo>, ReliefTold::Row> admission_rows_;
    std::map<ShardNo, double> capacity_share_;
    double attempt_budget_share_ = 1;
    Tenths longest_retry_after_ = 0;
};

} // namespace ivyrill::recovery
