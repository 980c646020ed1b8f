#include "feed/feed_log.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace ivyrill::feed {

namespace {

constexpr std::size_t kMaxRemoved = 1024;

struct KeyOf {
    std::string operator()(const model::Configuration&) const { return "configuration"; }
    std::string operator()(const ConfigurationChange&) const { return "configuration"; }
    std::string operator()(const model::Instance& instance) const { return "instance " + instance.id; }
    std::string operator()(const InstanceRemoved& removal) const { return "instance " + removal.instance; }
    std::string operator()(const model::Load& load) const { return "load " + load.instance; }
    std::string operator()(const EdgeNodes&) const { return "edge nodes"; }
    std::string operator()(const ControlNodes&) const { return "control nodes"; }
    std::string operator()(const StageOrdered& ordered) const { return "order " + ordered.instance; }
};

bool same_route_key(const model::Route& a, const model::Route& b) {
    return a.host == b.host && a.path_prefix == b.path_prefix;
}

std::string route_key(const model::Route& route) { return route.host + " " + route.path_prefix; }

using Tenants = std::vector<model::Tenant>;

// Items identified by `name`: those of `to` that are new or changed, and the removed names.
template <class Named>
void difference_by_name(const std::vector<Named>& from, const std::vector<Named>& to,
                        std::vector<Named>& changed, std::vector<std::string>& removed) {
    std::map<std::string_view, const Named*> before;
    for (const Named& item : from) before[item.name] = &item;
    for (const Named& item : to) {
        const auto known = before.find(item.name);
        if (known == before.end() || *known->second != item) changed.push_back(item);
        if (known != before.end()) before.erase(known);
    }
    for (const auto& [name, item] : before) removed.emplace_back(name);
}

template <class Named>
void apply_by_name(std::vector<Named>& to, const std::vector<Named>& changed,
                   const std::vector<std::string>& removed) {
    std::map<std::string, std::size_t> indices;
    for (std::size_t i = 0; i < to.size(); ++i) indices[to[i].name] = i;
    for (const Named& item : changed) {
        const auto known = indices.find(item.name);
        if (known == indices.end())
            to.push_back(item);
        else
            to[known->second] = item;
    }
    const std::set<std::string_view> removed_names(removed.begin(), removed.end());
    std::erase_if(to, [&](const Named& item) { return removed_names.contains(item.name); });
}

} // namespace

void FeedLog::put(Item item) {
    const std::string key = std::visit(KeyOf{}, item);
    if (const auto* configuration = std::get_if<model::Configuration>(&item)) {
        const model::Configuration* before = this->configuration();
        last_change_.reset();
        if (before != nullptr) last_change_ = difference(*before, *configuration);
    }
    const auto* removal = std::get_if<InstanceRemoved>(&item);
    if (removal != nullptr) limit_removed(removal->instance);
    erase(key);
    ++sequence_;
    order_[sequence_] = key;
    items_[key] = {sequence_, std::move(item)};
}

// Removals are kept for a limited time only: a subscriber that was away for longer gets a snapshot.
void FeedLog::limit_removed(const std::string& instance) {
    removed_.push_back(instance);
    if (removed_.size() <= kMaxRemoved) return;
    const std::string oldest = std::move(removed_.front());
    removed_.pop_front();
    const auto known = items_.find("instance " + oldest);
    if (known != items_.end() && std::holds_alternative<InstanceRemoved>(known->second.item))
        forget_instance(oldest);
}

void FeedLog::erase(const std::string& key) {
    const auto known = items_.find(key);
    if (known == items_.end()) return;
    order_.erase(known->second.sequence);
    items_.erase(known);
}

void FeedLog::forget_instance(const std::string& id) {
    for (const std::string& key : {"instance " + id, "load " + id, "order " + id}) {
        const auto known = items_.find(key);
        if (known == items_.end()) continue;
        oldest_ = std::max(oldest_, known->second.sequence);
        erase(key);
    }
}

std::optional<std::vector<const Item*>> FeedLog::since(std::uint64_t sequence) const {
    return since(sequence, false);
}

std::optional<std::vector<const Item*>> FeedLog::since(std::uint64_t sequence, bool is_snapshot) const {
    if (!is_snapshot && (sequence < oldest_ || sequence > sequence_)) return std::nullopt;
    std::vector<const Item*> items;
    for (auto next = order_.upper_bound(sequence); next != order_.end(); ++next)
        items.push_back(&items_.at(next->second).item);
    return items;
}

const Item* FeedLog::change_from(std::int64_t base_version) const {
    if (!last_change_) return nullptr;
    const bool fits = std::get<ConfigurationChange>(*last_change_).base_version == base_version;
    return fits ? &*last_change_ : nullptr;
}

const model::Configuration* FeedLog::configuration() const {
    const auto known = items_.find("configuration");
    return known == items_.end() ? nullptr : &std::get<model::Configuration>(known->second.item);
}

ConfigurationChange difference(const model::Configuration& from, const model::Configuration& to) {
    ConfigurationChange change;
    change.base_version = from.version, change.version = to.version, change.limits = to.limits;
    std::map<std::string, const model::Route*> before;
    for (const model::Route& route : from.routes) before[route_key(route)] = &route;
    for (const model::Route& route : to.routes) {
        const auto known = before.find(route_key(route));
        if (known == before.end() || *known->second != route) change.routes.push_back(route);
        if (known != before.end()) before.erase(known);
    }
    for (const auto& [key, route] : before) {
        model::Route removed;
        removed.host = route->host, removed.path_prefix = route->path_prefix;
        change.removed_routes.push_back(removed);
    }
    difference_by_name(from.services, to.services, change.services, change.removed_services);
    change.has_tenants = to.tenants.has_value();
    if (change.has_tenants)
        difference_by_name(from.tenants.value_or(Tenants{}), *to.tenants, change.tenants,
                           change.removed_tenants);
    return change;
}

std::optional<model::Configuration> apply(const model::Configuration& from,
                                          const ConfigurationChange& change) {
    if (from.version != change.base_version) return std::nullopt;
    model::Configuration to = from;
    to.version = change.version, to.limits = change.limits;
    std::map<std::string, std::size_t> indices;
    for (std::size_t i = 0; i < to.routes.size(); ++i) indices[route_key(to.routes[i])] = i;
    for (const model::Route& route : change.routes) {
        const auto known = indices.find(route_key(route));
        if (known == indices.end())
            to.routes.push_back(route);
        else
            to.routes[known->second] = route;
    }
    std::erase_if(to.routes, [&](const model::Route& route) {
        return std::ranges::any_of(change.removed_routes,
                                   [&](const auto& removed) { return same_route_key(removed, route); });
    });
    apply_by_name(to.services, change.services, change.removed_services);
    if (!change.has_tenants) {
        to.tenants.reset();
    } else {
        if (!to.tenants) to.tenants.emplace();
        apply_by_name(*to.tenants, change.tenants, change.removed_tenants);
    }
    return to;
}

} // namespace ivyrill::feed
