#include "recovery/relief.hpp"

#include <algorithm>

namespace ivyrill::recovery {

void Relief::hear(const SiteRecoveryPlan& told) {
    sites_.clear(), gone_.clear(), rows_.clear(), tight_.clear();
    for (const auto& site : told.sites) sites_[site.zone] = std::clamp(site.share, 0.0, 1.0);
    gone_.insert(told.gone.begin(), told.gone.end());
    for (const auto& row : told.rows) rows_[{row.request_class, row.tenant}] = row;
    for (const auto& [shard, served] : told.tight) tight_[shard] = served;
    further_ = std::clamp(told.further, 0.0, 1.0);
    come_back_ = std::max<Tenths>(0, told.retry_after);
}

double Relief::share_of(ZoneNo zone) const {
    const auto found = sites_.find(zone);
    return found == sites_.end() ? 1 : found->second;
}

Relief::Stand Relief::stand(ZoneNo zone, bool once, Pcg& chance) const {
    if (sites_.empty()) return Stand::kOpen;
    const double share = share_of(zone);
    if (share >= 1) return Stand::kOpen;
    if (share <= 0) return Stand::kShut;
    return once || chance.unit() >= share ? Stand::kBehind : Stand::kOpen;
}

const SiteRecoveryPlan::Row* Relief::row_of(RequestClassNo request_class, TenantNo tenant) const {
    auto found = rows_.find({request_class, tenant});
    if (found == rows_.end()) found = rows_.find({request_class, TenantNo{-1}});
    return found == rows_.end() ? nullptr : &found->second;
}

bool Relief::admits(RequestClassNo request_class, TenantNo tenant, Pcg& chance) const {
    if (rows_.empty()) return true;
    const auto* row = row_of(request_class, tenant);
    return row == nullptr || row->admitted >= 1 || chance.unit() < row->admitted;
}

void Relief::leave_out(Search& search, double floor, TenantNo tenant) const {
    if (rows_.empty() || tight_.empty()) return;
    const auto* row = row_of(search.request_class, tenant);
    if (row == nullptr || row->weight >= 1) return;
    std::vector<Part*> parts;
    double left = 0;
    for (Part& part : search.parts)
        if (!gone(part.shard)) left += part.weight, parts.push_back(&part);
    const auto need = [&](const Part* part) {
        const auto found = tight_.find(part->shard);
        return found == tight_.end() ? 1.0 : found->second;
    };
    std::ranges::stable_sort(parts, [&](auto* a, auto* b) { return need(a) < need(b); });
    const double least = std::max(floor, row->weight);
    for (Part* part : parts) {
        if (need(part) >= 1 || left - part->weight < least) continue;
        part->left_out = true, left -= part->weight;
    }
}

Tenths Relief::retry_after(Tenths usual, Pcg& chance) const {
    if (come_back_ <= usual) return usual;
    return usual + static_cast<Tenths>(chance.unit() * static_cast<double>(come_back_ - usual));
}

} // namespace ivyrill::recovery
