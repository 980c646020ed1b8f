#include "feed/tables.hpp"

#include <set>
#include <utility>

namespace ivyrill::feed {

namespace {

constexpr Ticks kGoneRetention = 60 * kTicksPerSecond; // kept for late records of instances that are gone

} // namespace

Tables::Applied Tables::apply(const Batch& batch, Ticks now) {
    Applied applied;
    if (!batch.snapshot && batch.feed_id != feed_id_) return applied.is_applicable = false, applied;
    // A change is the only item that may not apply: checked before anything is modified.
    for (const Item& item : batch.items)
        if (const auto* change = std::get_if<ConfigurationChange>(&item))
            if (!configuration_ || (configuration_->version != change->base_version &&
                                    configuration_->version < change->version))
                return applied.is_applicable = false, applied;
    for (const Item& item : batch.items) apply_item(item, applied, now);
    if (batch.snapshot) remove_unlisted(batch, applied, now);
    feed_id_ = batch.feed_id, sequence_ = batch.sequence;
    applied.expired = instances_.remove_expired(kGoneRetention, now);
    for (const std::string& id : applied.expired) loads_.erase(id);
    return applied;
}

// Configurations only move to higher versions, whatever a feed sends.
void Tables::apply_item(const Item& item, Applied& applied, Ticks now) {
    if (const auto* whole = std::get_if<model::Configuration>(&item)) {
        if (configuration_ && whole->version <= configuration_->version) return;
        configuration_ = std::make_shared<const model::Configuration>(*whole);
        applied.configuration = true;
        applied.changes.emplace_back(*configuration_);
    } else if (const auto* change = std::get_if<ConfigurationChange>(&item)) {
        if (change->version <= configuration_->version) return;
        configuration_ = std::make_shared<const model::Configuration>(*feed::apply(*configuration_, *change));
        applied.configuration = true;
        applied.changes.emplace_back(*configuration_);
    } else if (const auto* instance = std::get_if<model::Instance>(&item)) {
        if (!instances_.merge(*instance, now)) return;
        applied.instances = true;
        applied.changes.push_back(item);
    } else if (const auto* removal = std::get_if<InstanceRemoved>(&item)) {
        if (instances_.find(removal->instance) == nullptr) return;
        instances_.forget(removal->instance);
        loads_.erase(removal->instance);
        applied.instances = true;
        applied.changes.push_back(item);
    } else if (const auto* load = std::get_if<model::Load>(&item)) {
        const auto known = loads_.find(load->instance);
        if (known != loads_.end() && !model::supersedes(*load, known->second)) return;
        loads_[load->instance] = *load;
        applied.loads = true;
        applied.changes.push_back(item);
    } else if (std::holds_alternative<StageOrdered>(item)) {
        applied.loads = true; // the subscriber decides how long an order is relevant
        applied.changes.push_back(item);
    } else if (const auto* edges = std::get_if<EdgeNodes>(&item)) {
        if (edges->nodes == edge_nodes_) return;
        edge_nodes_ = edges->nodes, applied.nodes = true;
        applied.changes.push_back(item);
    } else if (const auto* controls = std::get_if<ControlNodes>(&item)) {
        if (controls->nodes == control_nodes_) return;
        control_nodes_ = controls->nodes, applied.nodes = true;
        applied.changes.push_back(item);
    }
}

void Tables::remove_unlisted(const Batch& batch, Applied& applied, Ticks now) {
    std::set<std::string> listed;
    for (const Item& item : batch.items)
        if (const auto* instance = std::get_if<model::Instance>(&item)) listed.insert(instance->id);
    std::vector<InstanceRemoved> unlisted;
    for (const auto& [id, record] : instances_.records())
        if (!listed.contains(id)) unlisted.push_back({id});
    for (const InstanceRemoved& removal : unlisted) apply_item(removal, applied, now);
}

} // namespace ivyrill::feed
