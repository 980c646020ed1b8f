// How services and their servers' heartbeats are spread over the control nodes. A service belongs to one of
// the parts by its name's hash, and each part to one of the nodes that are alive, its owner. The same at
// every node that knows the same nodes and servers. Pure.
#pragma once
#include "feed/instance_table.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ivyrill::control {

inline constexpr std::uint64_t kPartitions = 256; // that services are hashed to

// The owner of a service's part among `nodes` (addresses): the highest rendezvous hash; empty for no nodes.
std::string owner_of(const std::string& service, const std::vector<std::string>& nodes);

class ServicePartitions {
  public:
    // `max_per_owner`: servers that may keep a connection to one node; 0: any number.
    explicit ServicePartitions(std::size_t max_per_owner) : max_per_owner_(max_per_owner) {}

    void set_nodes(std::vector<std::string> alive); // with this node
    const std::vector<std::string>& nodes() const { return nodes_; }
    void count_servers(const feed::InstanceTable& table); // every so often

    const std::string& owner(const std::string& service);
    // The owner and whoever would follow it: a node that does not know of the owner's end yet, or already
    // does, tells at least one that watches the service.
    std::vector<std::string> watchers(const std::string& service) const;
    // Where a server's heartbeats should go: to the owner, while it has connections enough for all of its
    // servers; else to it as many as it can take, by their ids, and to the other nodes the rest.
    std::string heartbeat_target(const std::string& service, const std::string& instance);

  private:
    std::size_t max_per_owner_;
    std::vector<std::string> nodes_;
    std::map<std::string, std::string> owners_;  // by service
    std::map<std::string, std::size_t> servers_; // by owner, at the last count
};

} // namespace ivyrill::control
