// When each server was last heard of, and which of them an owner judges silent or gone. Pure: the clock is
// handed in.
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
    explicit FailureDetector(Tenths heartbeat) : heartbeat_(heartbeat) {} // that servers keep

    void heard(const std::string& id, Tenths now) { last_heard_[id] = now; }
    void forget(const std::string& id) { last_heard_.erase(id); }
    // While this process stood still it heard nobody; the servers aren't to blame.
    void discount_pause(Tenths span) {
        for (auto& [id, at] : last_heard_) at += span;
    }
    // Whoever was cut off has not heard what servers told the others: they get their whole time again.
    void restart_timeouts(Tenths now) {
        for (auto& [id, at] : last_heard_) at = now;
    }
    // The records, as judged now, of servers of services that `owned` names whose state changes by it.
    std::vector<model::Instance> judge(const feed::InstanceTable& table,
                                       const std::function<bool(const std::string& service)>& owned,
                                       Tenths now);

  private:
    model::InstanceState judge(const model::Instance& record, Tenths now);

    Tenths heartbeat_;
    std::map<std::string, Tenths> last_heard_; // by id
};

} // namespace ivyrill::control
