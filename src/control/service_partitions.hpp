// Assignment of services and of their servers' heartbeats to control nodes. A service belongs to a partition
// by the hash of its name, and each partition to one of the live nodes, its owner. The result is the same at
// every node that knows the same nodes and servers. No I/O.
#pragma once
#include "feed/instance_table.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ivyrill::control {

inline constexpr std::uint64_t kPartitions = 256;

// Returns the owner of a service's partition among `nodes` (addresses) by rendezvous hashing; empty without
// nodes.
std::string owner_of(const std::string& service, const std::vector<std::string>& nodes);

class ServicePartitions {
  public:
    // `max_per_owner`: the number of servers that may keep a connection to one node; 0: unlimited.
    explicit ServicePartitions(std::size_t max_per_owner) : max_per_owner_(max_per_owner) {}

    void set_nodes(std::vector<std::string> alive); // includes this node
    const std::vector<std::string>& nodes() const { return nodes_; }
    void count_servers(const feed::InstanceTable& table); // call it periodically

    const std::string& owner(const std::string& service);
    // Returns the owner and its successor. While nodes disagree on whether the owner is alive, each of them
    // still notifies the node that monitors the service.
    std::vector<std::string> watchers(const std::string& service) const;
    // Returns the node that a server should send its heartbeats to: the owner, if it has enough connections
    // for all of its servers; else the owner for as many servers as it can take, and the other nodes for the
    // rest, by the hash of the server's id.
    std::string heartbeat_target(const std::string& service, const std::string& instance);

  private:
    std::size_t max_per_owner_;
    std::vector<std::string> nodes_;
    std::map<std::string, std::string> owners_;            // by service
    std::map<std::string, std::size_t> servers_per_owner_; // at the last count
};

} // namespace ivyrill::control
