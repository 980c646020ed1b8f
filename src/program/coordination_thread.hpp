// Runs the membership and maintenance node with its socket, its Raft store and the machine controllers in a
// thread of its own, so that searches don't wait when the store is synced to disk before a message is sent.
// The front node's thread passes in the server list and the share of rejected searches, and gets the number
// of members.
#pragma once
#include "maintenance/maintenance_node.hpp"
#include "operator/operator_settings.hpp"
#include "protocol/front_node_config.hpp"
#include "protocol/messages.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace ivyrill::program {

class CoordinationThread {
  public:
    // Opens the socket and the files, or throws; nothing runs before `start`.
    CoordinationThread(const operators::OperatorSettings& settings, const std::string& secret,
                       const protocol::FrontNodeConfig& config, const std::string& name, std::uint64_t seed);
    ~CoordinationThread();
    CoordinationThread(const CoordinationThread&) = delete;
    CoordinationThread& operator=(const CoordinationThread&) = delete;
    void start();

    // The following are called from the front node's thread.
    void update_servers(const protocol::ServerList& list);
    void set_rejected_search_share(double share); // of the recent searches
    void leave();                                 // announces the departure to the other members
    std::size_t member_count() const;             // present members, including this one
    int member_count_descriptor() const;          // becomes readable when that number has changed
    int port() const;
    // Facts of all machines by the settings and their health by the list at the time `wall`.
    static std::map<std::string, maintenance::ObservedMachine>
    observe_machines(const protocol::ServerList& list, const protocol::FrontNodeConfig& config,
                     const std::map<std::string, Ticks>& maintenance_durations, Ticks wall);

  private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace ivyrill::program
