#include "agent/report_assignment.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <iterator>

namespace ivyrill::agent {

namespace {

constexpr std::size_t kSpareReaders = 100;

std::uint64_t weight_of(const std::string& node, const std::string& instance) {
    return hash_text(node, hash_text(instance));
}

} // namespace

std::string poller_of(const std::string& instance, const std::vector<model::EdgeNode>& nodes) {
    ReportAssignment duties;
    duties.set_nodes(nodes);
    return duties.reader(instance);
}

void ReportAssignment::set_nodes(const std::vector<model::EdgeNode>& nodes) {
    std::vector<std::string> names, joined, left;
    for (const model::EdgeNode& node : nodes) names.push_back(node.name);
    std::ranges::sort(names);
    std::ranges::set_difference(names, nodes_, std::back_inserter(joined));
    std::ranges::set_difference(nodes_, names, std::back_inserter(left));
    nodes_ = std::move(names);
    if (joined.empty() && left.empty()) return;
    for (auto& [instance, reader] : readers_) {
        if (reader.node.empty() || std::ranges::binary_search(left, reader.node)) {
            reader = among_all(instance);
            continue;
        }
        for (const std::string& node : joined) {
            const std::uint64_t weight = weight_of(node, instance);
            if (weight > reader.weight) reader = {node, weight};
        }
    }
}

ReportAssignment::Reader ReportAssignment::among_all(const std::string& instance) const {
    Reader best;
    for (const std::string& node : nodes_) {
        const std::uint64_t weight = weight_of(node, instance);
        if (best.node.empty() || weight > best.weight) best = {node, weight};
    }
    return best;
}

const std::string& ReportAssignment::reader(const std::string& instance) {
    const auto known = readers_.find(instance);
    if (known != readers_.end()) return known->second.node;
    return readers_.emplace(instance, among_all(instance)).first->second.node;
}

void ReportAssignment::bound(std::size_t instances) {
    if (readers_.size() > 2 * instances + kSpareReaders) readers_.clear();
}

} // namespace ivyrill::agent
