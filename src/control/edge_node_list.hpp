// The edge nodes with a session at any control node, as one of them lists them. Pure.
#pragma once
#include "base/time.hpp"
#include "model/instance.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::control {

class EdgeNodeList {
  public:
    // With the sessions that stand now; the list where it has changed and may be told: each change is the
    // whole list for every node, so that of many nodes that join together it is told in steps.
    std::optional<std::vector<model::EdgeNode>> update(const std::vector<model::EdgeNode>& sessions,
                                                       Tenths now) {
        for (const model::EdgeNode& node : sessions) known_[node.name] = {node, now};
        std::erase_if(known_, [now](const auto& entry) { return now - entry.second.last_there > kGrace; });
        std::vector<model::EdgeNode> listed;
        for (const auto& [name, known] : known_) listed.push_back(known.node);
        const bool too_soon = told_at_ && now - *told_at_ < kGapForNode * static_cast<Tenths>(listed.size());
        if (listed == listed_ || too_soon) return std::nullopt;
        listed_ = listed, told_at_ = now;
        return listed;
    }
    const std::vector<model::EdgeNode>& listed() const { return listed_; }

  private:
    static constexpr Tenths kGrace = 30'000;  // one whose session ended may be back within so long
    static constexpr Tenths kGapForNode = 20; // 2 ms: a second between two lists of 500 nodes
    struct Known {
        model::EdgeNode node;
        Tenths last_there = 0;
    };
    std::map<std::string, Known> known_; // by name
    std::vector<model::EdgeNode> listed_;
    std::optional<Tenths> told_at_;
};

} // namespace ivyrill::control
