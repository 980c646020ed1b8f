// A control node's list of the edge nodes that have a session with any control node. No I/O.
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
    // Updates the list with the current sessions. Returns it if it has changed and may be published: each
    // change sends the whole list to every node, so while many nodes join, it is published at intervals.
    std::optional<std::vector<model::EdgeNode>> update(const std::vector<model::EdgeNode>& sessions,
                                                       Ticks now) {
        for (const model::EdgeNode& node : sessions) known_[node.name] = {node, now};
        std::erase_if(known_,
                      [now](const auto& entry) { return now - entry.second.last_seen > kSessionGrace; });
        std::vector<model::EdgeNode> listed;
        for (const auto& [name, known] : known_) listed.push_back(known.node);
        const bool is_too_early =
            published_at_ && now - *published_at_ < kIntervalPerNode * static_cast<Ticks>(listed.size());
        if (listed == listed_ || is_too_early) return std::nullopt;
        listed_ = listed, published_at_ = now;
        return listed;
    }
    const std::vector<model::EdgeNode>& listed() const { return listed_; }

  private:
    static constexpr Ticks kSessionGrace = 30'000; // how long a node stays listed after its session ended
    static constexpr Ticks kIntervalPerNode = 20;  // 2 ms; lists of 500 nodes are published once a second
    struct Known {
        model::EdgeNode node;
        Ticks last_seen = 0;
    };
    std::map<std::string, Known> known_; // by name
    std::vector<model::EdgeNode> listed_;
    std::optional<Ticks> published_at_;
};

} // namespace ivyrill::control
