// What the decision module consults of a plan for lost sites: which sites take part in the choice, what is
// refused first, which parts are left out. It is told by `SiteRecoveryPlan` (brain.hpp) and forgets nothing
// by itself: whoever plans says when all is as ever again. Nothing told: nothing differs.
//
// Whatever it is told, however wrong, the rules hold: it only takes away. A site that is shut gets fewer
// attempts, a search that is not admitted has had none, parts are left out only down to the request class's
// floor and an answer without them is in part, further attempts become fewer and never more.
#pragma once
#include "base/pcg.hpp"
#include "search_scheduler_state.hpp"

#include <map>
#include <set>

namespace ivyrill::recovery {

class Relief {
  public:
    void hear(const SiteRecoveryPlan& told);

    enum class Stand { kOpen, kBehind, kShut }; // takes part; after all others; not at all
    // Drawn anew for each choice where its site comes back in steps. What may run once is never sent to a
    // site that is only tried.
    Stand stand(ZoneNo zone, bool once, Pcg& chance) const;
    bool shut(ZoneNo zone) const { return !sites_.empty() && share_of(zone) <= 0; }
    bool gone(ShardNo shard) const { return gone_.contains(shard); } // nobody holds it any more
    // Whether a search is let in at all; drawn once a search.
    bool admits(RequestClassNo request_class, TenantNo tenant, Pcg& chance) const;
    // Marks the parts that a request class which may be answered in part does without: of the shards in most
    // need first, never below `floor` of the weight.
    void leave_out(Search& search, double floor, TenantNo tenant) const;
    double further() const { return further_; } // of the budget for further attempts
    // When a client that is refused should come again: spread, so that they do not come together.
    Tenths retry_after(Tenths usual, Pcg& chance) const;

  private:
    double share_of(ZoneNo zone) const;
    const SiteRecoveryPlan::Row* row_of(RequestClassNo request_class, TenantNo tenant) const;

    std::map<ZoneNo, double> sites_;
    std::set<ShardNo> gone_;
    std::map<std::pair<RequestClassNo, TenantNo>, SiteRecoveryPlan::Row> rows_;
    std::map<ShardNo, double> tight_;
    double further_ = 1;
    Tenths come_back_ = 0;
};

} // namespace ivyrill::recovery
