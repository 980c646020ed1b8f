// The part of a failover plan that the search scheduler consults: which sites take part in replica selection,
// which searches are rejected, which parts are omitted. Set by `FailoverPolicyUpdate`
// (search_scheduler.hpp); it does not expire, so the failover controller must withdraw it. Without one,
// nothing is restricted.
//
// A policy only restricts, so a wrong one cannot break an invariant: an excluded site gets fewer attempts, a
// search that is not admitted has had no attempt, parts are omitted only down to the request class's minimum
// weight (and the answer is marked as partial), and the retry budget is only reduced.
#pragma once
#include "base/pcg.hpp"
#include "search_scheduler_state.hpp"

#include <map>
#include <set>

namespace ivyrill::recovery {

class FailoverPolicy {
  public:
    void update(const FailoverPolicyUpdate& policy_update);

    // kLastResort: only after all eligible servers.
    enum class Eligibility { kEligible, kLastResort, kExcluded };
    // Random per selection for a site that gets a share of the traffic. A search that must run at most once
    // is not sent to such a site while others are eligible.
    Eligibility eligibility(ZoneNo zone, bool at_most_once, Pcg& rng) const;
    bool excludes(ZoneNo zone) const { return !site_shares_.empty() && site_share(zone) <= 0; }
    bool shard_lost(ShardNo shard) const { return lost_shards_.contains(shard); } // no replica is left
    // Whether to admit a search; random, to be called once per search.
    bool admits(RequestClassNo request_class, TenantNo tenant, Pcg& rng) const;
    // Marks the parts to omit from a search that allows a partial answer: of the most overloaded shards
    // first, never below `min_answer_weight`.
    void omit_parts(Search& search, double min_answer_weight, TenantNo tenant) const;
    // Share of the retry budget that may be used.
    double retry_budget_share() const { return retry_budget_share_; }
    // Delay to advise to a rejected client: random, so that clients don't return at the same time.
    Ticks retry_after(Ticks usual, Pcg& rng) const;

  private:
    double site_share(ZoneNo zone) const;
    const FailoverPolicyUpdate::Row* find_row(RequestClassNo request_class, TenantNo tenant) const;

    std::map<ZoneNo, double> site_shares_;
    std::set<ShardNo> lost_shards_;
    std::map<std::pair<RequestClassNo, TenantNo>, FailoverPolicyUpdate::Row> admission_rows_;
    std::map<ShardNo, double> capacity_share_;
    double retry_budget_share_ = 1;
    Ticks max_retry_after_ = 0;
};

} // namespace ivyrill::recovery
