#include "agent/report_assignment.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <iterator>

namespace ivyrill::agent {

namespace {

constexpr std::size_t kMinCacheSize = 100;

std::uint64_t weight_of(const std::string& node, const std::string& instance) {
    return hash_text(node, hash_text(instance));
}

} // namespace

std::string poller_of(const std::string& instance, const std::vector<model::EdgeNode>& nodes) {
    ReportAssignment duties;
    duties.set_nodes(nodes);
    return duties.poller(instance);
}

void ReportAssignment::set_nodes(const std::vector<model::EdgeNode>& nodes) {
    std::vector<std::string> names, joined, left;
    for (const model::EdgeNode& node : nodes) names.push_back(node.name);
    std::ranges::sort(names);
    std::ranges::set_difference(names, nodes_, std::back_inserter(joined));
    std::ranges::set_difference(nodes_, names, std::back_inserter(left));
    nodes_ = std::move(names);
    if (joined.empty() && left.empty()) return;
    for (auto& [instance, poller] : pollers_) {
        if (poller.node.empty() || std::ranges::binary_search(left, poller.node)) {
            poller = best_of_all_nodes(instance);
            continue;
        }
        for (const std::string& node : joined) {
            const std::uint64_t weight = weight_of(node, instance);
            if (weight > poller.weight) poller = {node, weight};
        }
    }
}

ReportAssignment::Poller ReportAssignment::best_of_all_nodes(const std::string& instance) const {
    Poller best;
    for (const std::string& node : nodes_) {
        const std::uint64_t weight = weight_of(node, instance);
        if (best.node.empty() || weight > best.weight) best = {node, weight};
    }
    return best;
}

const std::string& ReportAssignment::poller(const std::string& instance) {
    const auto known = pollers_.find(instance);
    if (known != pollers_.end()) return known->second.node;
    return pollers_.emplace(instance, best_of_all_nodes(instance)).first->second.node;
}

void ReportAssignment::limit_cache(std::size_t instances) {
    if (pollers_.size() > 2 * instances + kMinCacheSize) pollers_.clear();
}

} // namespace ivyrill::agent
