#include "recovery/peer_reports.hpp"

#include <algorithm>

namespace ivyrill::recovery {

void PeerReports::receive_report(Ticks now, SiteReport report) {
    if (report.from == options_.name || report.from.empty()) return;
    if (reports_.size() >= kMaxReports && !reports_.contains(report.from)) return;
    ReceivedReport& other = reports_[report.from];
    // Drops duplicates and reordered reports. After `kDemandLifetime` any serial is accepted.
    if (other.received_at != 0 && report.serial <= other.report.serial &&
        is_fresh(other, now, kDemandLifetime))
        return;
    other = {std::move(report), now};
}

void PeerReports::set_peers(Ticks now, const std::set<std::string>& names) {
    peers_ = names;
    if (!names.empty()) had_peers_ = true;
    // Without any peer this node may itself be cut off: it keeps the last known number.
    if (!names.empty() || !had_peers_)
        node_count_ =
            had_peers_ ? static_cast<int>(names.size()) + 1 : std::max(1, options_.configured_nodes);
    std::erase_if(reports_, [&](const auto& entry) {
        return !is_fresh(entry.second, now, kDemandLifetime) || !names.contains(entry.first);
    });
}

std::size_t PeerReports::fresh_reports(Ticks now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        reports_, [&](const auto& entry) { return is_fresh(entry.second, now, kObservationLifetime); }));
}

std::map<SiteName, PeerObservations> PeerReports::observations(Ticks now) const {
    std::map<SiteName, PeerObservations> result;
    for (const auto& [name, other] : reports_) {
        if (!is_fresh(other, now, kObservationLifetime)) continue;
        for (const auto& row : other.report.rows) {
            // Ignores what front nodes say of their own site: they may be cut off together with it.
            if (other.report.home_site == row.site) continue;
            PeerObservations& sum = result[row.site];
            if (row.answers) ++sum.reached;
            if (row.silent && !row.answers) ++sum.unreached;
            if (row.state == SiteState::kRampingUp) sum.ramping_up = true;
        }
    }
    return result;
}

double PeerReports::answer_rate(Ticks now, double own) const {
    double sum = 0, count = 0;
    for (const auto& [name, other] : reports_)
        if (is_fresh(other, now, kDemandLifetime)) sum += other.report.answer_rate, ++count;
    return own + (count > 0 ? sum / count : own) * (node_count_ - 1);
}

Demand PeerReports::demand(Ticks now, const Demand& own) const {
    struct Sum {
        double searches = 0, parts = 0;
    };
    std::map<TrafficClass, Sum> sums;
    std::map<int, double> shards;
    double count = 0;
    const auto add = [](auto& into, auto& per_shard, const Demand& source, double scale) {
        double parts = 0, total = 0;
        for (const auto& [key, row] : source.rows) {
            into[key].searches += scale * row.searches, into[key].parts += scale * row.searches * row.parts;
            parts += row.searches * row.parts;
        }
        for (const auto& [shard, share] : source.shards) total += share;
        for (const auto& [shard, share] : source.shards)
            per_shard[shard] += total > 0 ? scale * parts * share / total : 0;
    };
    std::map<TrafficClass, Sum> peer_sums;
    std::map<int, double> peer_shards;
    for (const auto& [name, other] : reports_) {
        if (!is_fresh(other, now, kDemandLifetime)) continue;
        add(peer_sums, peer_shards, other.report.demand, 1);
        ++count;
    }
    add(sums, shards, own, 1);
    const double scale = node_count_ - 1;
    if (count > 0) {
        for (const auto& [key, sum] : peer_sums)
            sums[key].searches += sum.searches / count * scale, sums[key].parts += sum.parts / count * scale;
        for (const auto& [shard, rate] : peer_shards) shards[shard] += rate / count * scale;
    } else {
        add(sums, shards, own, scale);
    }
    Demand result;
    for (const auto& [key, sum] : sums)
        if (sum.searches > 0) result.rows[key] = {sum.searches, sum.parts / sum.searches};
    double total = 0;
    for (const auto& [shard, rate] : shards) total += rate;
    for (const auto& [shard, rate] : shards) result.shards[shard] = total > 0 ? rate / total : 0;
    return result;
}

std::map<SiteName, double> PeerReports::origins(Ticks now) const {
    std::map<SiteName, double> result;
    if (!options_.home_site.empty()) result[options_.home_site] += 1;
    for (const auto& [name, other] : reports_)
        if (is_fresh(other, now, kDemandLifetime) && !other.report.home_site.empty())
            result[other.report.home_site] += 1;
    double sum = 0;
    for (const auto& [site, count] : result) sum += count;
    for (auto& [site, count] : result) count /= sum;
    return result;
}

bool PeerReports::apply_override(Ticks wall, const SiteOverride& site_override) {
    if (site_override.site.empty() ||
        (site_override.kind != SiteOverride::Kind::kNone && site_override.until <= wall))
        return false;
    const auto known = overrides_.find(site_override.site);
    if (known == overrides_.end() && overrides_.size() >= kMaxOverrides) return false;
    if (known != overrides_.end() && known->second.stamp >= site_override.stamp) return false;
    overrides_[site_override.site] = site_override;
    return true;
}

const SiteOverride* PeerReports::override_for(const SiteName& site, Ticks wall) const {
    const auto found = overrides_.find(site);
    if (found == overrides_.end() || found->second.kind == SiteOverride::Kind::kNone) return nullptr;
    return found->second.until > wall ? &found->second : nullptr;
}

std::vector<SiteOverride> PeerReports::overrides(Ticks wall) const {
    std::vector<SiteOverride> result;
    for (const auto& [site, site_override] : overrides_)
        if (site_override.kind == SiteOverride::Kind::kNone
                ? wall < site_override.until + kOverrideReleaseLifetime
                : wall < site_override.until)
            result.push_back(site_override);
    return result;
}

} // namespace ivyrill::recovery
