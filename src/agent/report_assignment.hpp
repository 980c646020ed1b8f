// Assigns each server's report to one edge node: the live node with the highest rendezvous hash for the
// server's id. Updated incrementally: a node that joins is compared with each server's current poller, and
// only the servers of a node that left are reassigned. Pure.
#pragma once
#include "model/instance.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace ivyrill::agent {

std::string poller_of(const std::string& instance, const std::vector<model::EdgeNode>& nodes);

class ReportAssignment {
  public:
    void set_nodes(const std::vector<model::EdgeNode>& nodes);
    const std::string& poller(const std::string& instance); // empty while no node is known
    // Clears the cache once it holds more than twice `instances` entries.
    void limit_cache(std::size_t instances);

  private:
    struct Poller {
        std::string node;
        std::uint64_t weight = 0;
    };
    Poller best_of_all_nodes(const std::string& instance) const;

    std::vector<std::string> nodes_; // sorted
    std::unordered_map<std::string, Poller> pollers_;
};

} // namespace ivyrill::agent
