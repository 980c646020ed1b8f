// Sums the demand of all edge nodes for each service: from the nodes with a session at this control node and
// from the sums that its peers report for theirs. Pure.
#pragma once
#include "base/time.hpp"
#include "model/instance.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::duties {

class DemandAggregator {
  public:
    void update_from_node(const std::string& node, const std::vector<model::ServiceDemand>& demands,
                          Ticks now) {
        nodes_[node] = {demands, now};
    }
    void update_from_peer(const std::string& peer, const std::vector<model::ServiceDemand>& demands,
                          Ticks now) {
        peers_[peer] = {demands, now};
    }
    // By service, from the nodes with a session here; sent to peers.
    std::vector<model::ServiceDemand> local(Ticks now);
    // Of all nodes; none without a recent report of that service.
    std::optional<model::ServiceDemand> total(const std::string& service, Ticks now);

  private:
    struct Update {
        std::vector<model::ServiceDemand> demands;
        Ticks received_at = 0;
    };
    using Sums = std::map<std::string, model::ServiceDemand>;
    static void add(std::map<std::string, Update>& updates, Ticks now, Sums& sums);

    std::map<std::string, Update> nodes_, peers_; // keyed by node name; by peer address
};

} // namespace ivyrill::duties
