// What all edge nodes ask of each service, added up: from the nodes whose sessions stand at this control
// node, and from the sums that its peers tell of theirs. Pure.
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
                          Tenths now) {
        nodes_[node] = {demands, now};
    }
    void update_from_peer(const std::string& peer, const std::vector<model::ServiceDemand>& demands,
                          Tenths now) {
        peers_[peer] = {demands, now};
    }
    // Of the nodes here, by service: what is told to peers.
    std::vector<model::ServiceDemand> local(Tenths now);
    // Of all; none where nobody has told of that service lately.
    std::optional<model::ServiceDemand> total(const std::string& service, Tenths now);

  private:
    struct Update {
        std::vector<model::ServiceDemand> demands;
        Tenths at = 0;
    };
    using Sums = std::map<std::string, model::ServiceDemand>;
    static void add(std::map<std::string, Update>& updates, Tenths now, Sums& sums);

    std::map<std::string, Update> nodes_, peers_; // by name; by address
};

} // namespace ivyrill::duties
