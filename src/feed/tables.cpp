#include "feed/tables.hpp"

#include <set>
#include <utility>

namespace ivyrill::feed {

namespace {

constexpr Tenths kGoneSpan =
    60 * kTenthsPerSecond; // what is gone is remembered so long, for records that come late

} // namespace

Tables::Applied Tables::apply(const Batch& batch, Tenths now) {
    Applied applied;
    if (!batch.snapshot && batch.feed_id != feed_id_) return applied.fits = false, applied;
    // The only item that may not fit: looked at before anything is changed.
    for (const Item& item : batch.items)
        if (const auto* change = std::get_if<ConfigurationChange>(&item))
            if (!configuration_ || (configuration_->version != change->base_version &&
                                    configuration_->version < change->version))
                return applied.fits = false, applied;
    for (const Item& item : batch.items) apply_item(item, applied, now);
    if (batch.snapshot) drop_unnamed(batch, applied, now);
    feed_id_ = batch.feed_id, sequence_ = batch.sequence;
    applied.expired = instances_.remove_expired(kGoneSpan, now);
    for (const std::string& id : applied.expired) loads_.erase(id);
    return applied;
}

// A configuration never goes back, whatever a feed says: it only moves to a higher version.
void Tables::apply_item(const Item& item, Applied& applied, Tenths now) {
    if (const auto* whole = std::get_if<model::Configuration>(&item)) {
        if (configuration_ && whole->version <= configuration_->version) return;
        configuration_ = std::make_shared<const model::Configuration>(*whole);
        applied.configuration = true;
        applied.news.emplace_back(*configuration_);
    } else if (const auto* change = std::get_if<ConfigurationChange>(&item)) {
        if (change->version <= configuration_->version) return;
        configuration_ = std::make_shared<const model::Configuration>(*feed::apply(*configuration_, *change));
        applied.configuration = true;
        applied.news.emplace_back(*configuration_);
    } else if (const auto* instance = std::get_if<model::Instance>(&item)) {
        if (!instances_.merge(*instance, now)) return;
        applied.instances = true;
        applied.news.push_back(item);
    } else if (const auto* forgotten = std::get_if<InstanceRemoved>(&item)) {
        if (instances_.find(forgotten->instance) == nullptr) return;
        instances_.forget(forgotten->instance);
        loads_.erase(forgotten->instance);
        applied.instances = true;
        applied.news.push_back(item);
    } else if (const auto* load = std::get_if<model::Load>(&item)) {
        const auto known = loads_.find(load->instance);
        if (known != loads_.end() && !model::supersedes(*load, known->second)) return;
        loads_[load->instance] = *load;
        applied.loads = true;
        applied.news.push_back(item);
    } else if (std::holds_alternative<StageOrdered>(item)) {
        applied.loads =
            true; // what it is of use for, and for as long as it takes, is the subscriber's matter
        applied.news.push_back(item);
    } else if (const auto* edges = std::get_if<EdgeNodes>(&item)) {
        if (edges->nodes == edge_nodes_) return;
        edge_nodes_ = edges->nodes, applied.nodes = true;
        applied.news.push_back(item);
    } else if (const auto* controls = std::get_if<ControlNodes>(&item)) {
        if (controls->nodes == control_nodes_) return;
        control_nodes_ = controls->nodes, applied.nodes = true;
        applied.news.push_back(item);
    }
}

void Tables::drop_unnamed(const Batch& batch, Applied& applied, Tenths now) {
    std::set<std::string> named;
    for (const Item& item : batch.items)
        if (const auto* instance = std::get_if<model::Instance>(&item)) named.insert(instance->id);
    std::vector<InstanceRemoved> unnamed;
    for (const auto& [id, record] : instances_.records())
        if (!named.contains(id)) unnamed.push_back({id});
    for (const InstanceRemoved& forgotten : unnamed) apply_item(forgotten, applied, now);
}

} // namespace ivyrill::feed
