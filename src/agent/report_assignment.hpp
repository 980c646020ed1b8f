// Which edge node reads each server's report: the live node with the highest rendezvous hash of the server's
// id. Kept up by what changes: a node that joins is weighed against each server's reader, and only the
// servers of a node that has left are given anew. Pure.
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
    const std::string& reader(const std::string& instance); // empty while no node is known
    // Forgets readers once there are more than twice `instances` of them.
    void bound(std::size_t instances);

  private:
    struct Reader {
        std::string node;
        std::uint64_t weight = 0;
    };
    Reader among_all(const std::string& instance) const;

    std::vector<std::string> nodes_; // sorted
    std::unordered_map<std::string, Reader> readers_;
};

} // namespace ivyrill::agent
