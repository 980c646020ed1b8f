// The calls of model servers (PROTOCOL, service discovery) and the parsing of a heartbeat's JSON.
#pragma once
#include "base/result.hpp"
#include "model/instance.hpp"

#include <string>

namespace ivyrill::control {

struct RegisterCall {
    model::Instance instance; // its revision is the heartbeat's sequence number
};
struct RegisterReply {
    std::string heartbeat_address; // where to send later heartbeats; empty: no change
};
struct DeregisterCall {
    std::string instance;
};
struct DeregisterReply {};

// Returns kInvalidInput if a required field is missing or any field is invalid.
Result<RegisterCall> read_register_call(const std::string& id, const std::string& json);

} // namespace ivyrill::control
