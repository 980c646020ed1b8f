#include "recovery/failover_policy.hpp"

#include <algorithm>

namespace ivyrill::recovery {

void FailoverPolicy::update(const FailoverPolicyUpdate& policy_update) {
    site_shares_.clear(), lost_shards_.clear(), admission_rows_.clear(), capacity_share_.clear();
    for (const auto& site : policy_update.sites) site_shares_[site.zone] = std::clamp(site.share, 0.0, 1.0);
    lost_shards_.insert(policy_update.lost_shards.begin(), policy_update.lost_shards.end());
    for (const auto& row : policy_update.rows) admission_rows_[{row.request_class, row.tenant}] = row;
    for (const auto& [shard, share] : policy_update.capacity_shares) capacity_share_[shard] = share;
    retry_budget_share_ = std::clamp(policy_update.retry_budget_share, 0.0, 1.0);
    max_retry_after_ = std::max<Ticks>(0, policy_update.retry_after);
}

double FailoverPolicy::site_share(ZoneNo zone) const {
    const auto found = site_shares_.find(zone);
    return found == site_shares_.end() ? 1 : found->second;
}

FailoverPolicy::Eligibility FailoverPolicy::eligibility(ZoneNo zone, bool at_most_once, Pcg& rng) const {
    if (site_shares_.empty()) return Eligibility::kEligible;
    const double share = site_share(zone);
    if (share >= 1) return Eligibility::kEligible;
    if (share <= 0) return Eligibility::kExcluded;
    return at_most_once || rng.unit() >= share ? Eligibility::kLastResort : Eligibility::kEligible;
}

const FailoverPolicyUpdate::Row* FailoverPolicy::find_row(RequestClassNo request_class,
                                                          TenantNo tenant) const {
    auto found = admission_rows_.find({request_class, tenant});
    if (found == admission_rows_.end()) found = admission_rows_.find({request_class, TenantNo{-1}});
    return found == admission_rows_.end() ? nullptr : &found->second;
}

bool FailoverPolicy::admits(RequestClassNo request_class, TenantNo tenant, Pcg& rng) const {
    if (admission_rows_.empty()) return true;
    const auto* row = find_row(request_class, tenant);
    return row == nullptr || row->admitted >= 1 || rng.unit() < row->admitted;
}

void FailoverPolicy::omit_parts(Search& search, double min_answer_weight, TenantNo tenant) const {
    if (admission_rows_.empty() || capacity_share_.empty()) return;
    const auto* row = find_row(search.request_class, tenant);
    if (row == nullptr || row->weight >= 1) return;
    std::vector<Part*> parts;
    double remaining_weight = 0;
    for (Part& part : search.parts)
        if (!shard_lost(part.shard)) remaining_weight += part.weight, parts.push_back(&part);
    const auto served_share = [&](const Part* part) {
        const auto found = capacity_share_.find(part->shard);
        return found == capacity_share_.end() ? 1.0 : found->second;
    };
    std::ranges::stable_sort(parts, [&](auto* a, auto* b) { return served_share(a) < served_share(b); });
    const double min_weight = std::max(min_answer_weight, row->weight);
    for (Part* part : parts) {
        if (served_share(part) >= 1 || remaining_weight - part->weight < min_weight) continue;
        part->omitted = true, remaining_weight -= part->weight;
    }
}

Ticks FailoverPolicy::retry_after(Ticks usual, Pcg& rng) const {
    if (max_retry_after_ <= usual) return usual;
    return usual + static_cast<Ticks>(rng.unit() * static_cast<double>(max_retry_after_ - usual));
}

} // namespace ivyrill::recovery
