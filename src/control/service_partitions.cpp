#include "control/service_partitions.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::control {

namespace {

constexpr std::size_t kWatcherCount = 2;

std::uint64_t weight(const std::string& node, std::uint64_t key) {
    return hash_text(node, mix_bits(key + 1));
}

std::string highest_weight(const std::vector<std::string>& nodes, std::uint64_t key,
                           const std::string& excluded) {
    std::string best;
    for (const std::string& node : nodes) {
        if (node == excluded) continue;
        if (best.empty() || weight(node, key) > weight(best, key)) best = node;
    }
    return best;
}

std::uint64_t partition_of(const std::string& service) { return hash_text(service) % kPartitions; }

double unit_hash(const std::string& text) { // in [0, 1)
    return static_cast<double>(hash_text(text) >> 11U) / 9007199254740992.0;
}

} // namespace

std::string owner_of(const std::string& service, const std::vector<std::string>& nodes) {
    return highest_weight(nodes, partition_of(service), "");
}

void ServicePartitions::set_nodes(std::vector<std::string> alive) {
    nodes_ = std::move(alive);
    owners_.clear();
}

void ServicePartitions::count_servers(const feed::InstanceTable& table) {
    servers_per_owner_.clear();
    for (const auto& [id, record] : table.records())
        if (record.state != model::InstanceState::kGone) ++servers_per_owner_[owner(record.service)];
}

const std::string& ServicePartitions::owner(const std::string& service) {
    const auto [entry, inserted] = owners_.try_emplace(service);
    if (inserted) entry->second = owner_of(service, nodes_);
    return entry->second;
}

std::vector<std::string> ServicePartitions::watchers(const std::string& service) const {
    std::vector<std::string> nodes = nodes_;
    const std::uint64_t key = partition_of(service);
    const auto count = std::min(kWatcherCount, nodes.size());
    std::ranges::partial_sort(nodes, nodes.begin() + static_cast<std::ptrdiff_t>(count),
                              std::ranges::greater{},
                              [key](const std::string& node) { return weight(node, key); });
    nodes.resize(count);
    return nodes;
}

std::string ServicePartitions::heartbeat_target(const std::string& service, const std::string& instance) {
    const std::string& owner = this->owner(service);
    const auto counted = servers_per_owner_.find(owner);
    const std::size_t servers = counted == servers_per_owner_.end() ? 0 : counted->second;
    if (max_per_owner_ == 0 || servers <= max_per_owner_ || nodes_.size() < 2) return owner;
    const double share = static_cast<double>(max_per_owner_) / static_cast<double>(servers);
    if (unit_hash(instance) < share) return owner;
    return highest_weight(nodes_, hash_text(instance), owner);
}

} // namespace ivyrill::control
