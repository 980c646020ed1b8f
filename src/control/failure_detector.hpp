// Failure detector for model servers: records when each server was last heard from and determines which of
// them are silent or gone. No I/O; the caller supplies the time.
#pragma once
#include "base/time.hpp"
#include "feed/instance_table.hpp"
#include "model/instance.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ivyrill::control {

class FailureDetector {
  public:
    explicit FailureDetector(Ticks heartbeat_interval) : heartbeat_interval_(heartbeat_interval) {}

    void record_heartbeat(const std::string& id, Ticks now) { last_heard_[id] = now; }
    void forget(const std::string& id) { last_heard_.erase(id); }
    // Excludes a time in which this process itself was suspended and received nothing.
    void exclude_suspension(Ticks span) {
        for (auto& [id, at] : last_heard_) at += span;
    }
    // Restarts the timeouts of all servers after a partition, during which their heartbeats reached only
    // other nodes.
    void restart_timeouts(Ticks now) {
        for (auto& [id, at] : last_heard_) at = now;
    }
    // Returns the changed records of those servers whose state changes now, among the services that `owned`
    // accepts.
    std::vector<model::Instance> check(const feed::InstanceTable& table,
                                       const std::function<bool(const std::string& service)>& owned,
                                       Ticks now);

  private:
    model::InstanceState state_of(const model::Instance& record, Ticks now);

    Ticks heartbeat_interval_;
    std::map<std::string, Ticks> last_heard_; // by id
};

} // namespace ivyrill::control
