// The calls of servers (PROTOCOL, service discovery) as typed pairs, and the reading of a heartbeat's JSON.
#pragma once
#include "base/result.hpp"
#include "model/instance.hpp"

#include <string>

namespace ivyrill::control {

struct RegisterCall {
    model::Instance instance; // with the heartbeat's own sequence number as its revision
};
struct RegisterReply {
    std::string heartbeat_address; // where later heartbeats should go; empty for no advice
};
struct DeregisterCall {
    std::string instance;
};
struct DeregisterReply {};

Result<RegisterCall> read_register_call(const std::string& id, const std::string& json);

} // namespace ivyrill::control
