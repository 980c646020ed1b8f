// The state of a subscriber: everything received over its feed, updated by batches. A batch is applied as a
// whole or not at all.
#pragma once
#include "feed/feed_log.hpp"
#include "feed/instance_table.hpp"
#include "feed/messages.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ivyrill::feed {

class Tables {
  public:
    struct Applied {
        bool is_applicable = true; // if false, nothing was applied and a snapshot is needed
        bool configuration = false, instances = false, loads = false,
             nodes = false;               // what changed; orders count as loads
        std::vector<std::string> expired; // instances whose records were dropped after being gone for a while
        std::vector<Item> changes; // changed items, including removals of instances missing from a snapshot
    };
    Applied apply(const Batch& batch, Ticks now);

    std::uint64_t feed_id() const { return feed_id_; }
    std::uint64_t sequence() const { return sequence_; }
    void forget_sequence() { feed_id_ = sequence_ = 0; } // the next subscription starts from a snapshot
    const std::shared_ptr<const model::Configuration>& configuration() const {
        return configuration_;
    } // or null
    const InstanceTable& instances() const { return instances_; }
    InstanceTable& instances() { return instances_; }
    const std::map<std::string, model::Load>& loads() const { return loads_; }
    const std::vector<model::EdgeNode>& edge_nodes() const { return edge_nodes_; }
    const std::vector<model::ControlNode>& control_nodes() const { return control_nodes_; }

  private:
    void apply_item(const Item& item, Applied& applied, Ticks now);
    void remove_unlisted(const Batch& batch, Applied& applied, Ticks now);

    std::uint64_t feed_id_ = 0, sequence_ = 0;
    std::shared_ptr<const model::Configuration> configuration_;
    InstanceTable instances_;
    std::map<std::string, model::Load> loads_;
    std::vector<model::EdgeNode> edge_nodes_;
    std::vector<model::ControlNode> control_nodes_;
};

} // namespace ivyrill::feed
