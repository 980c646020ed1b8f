// The HTTP API of a control node: calls of model servers and of operators, and its inspection.
#pragma once
#include "control/instance_registry.hpp"
#include "control/operator_calls.hpp"
#include "http/call_router.hpp"

#include <functional>
#include <string>

namespace ivyrill::control {

struct ReadConfigurationCall {};
struct ReadConfigurationReply {
    std::string body;
};
struct ReplaceConfigurationCall {
    std::int64_t if_match = 0;
    std::string body;
};
struct ReplaceConfigurationReply {};
struct InspectCall {};
struct InspectReply {
    std::string body;
};

class ControlApi {
  public:
    // `registry` and `calls` must outlive this object. `inspect` returns the body of GET /inspect.
    ControlApi(InstanceRegistry& registry, OperatorCalls& calls, std::function<std::string()> inspect);
    transport::Async<http::Response> handle(protocol::HttpMessage message) const {
        return router_.handle(std::move(message));
    }
    std::size_t max_body_bytes(const protocol::HttpMessage& head) const {
        return router_.max_body_bytes(head);
    }

  private:
    void add_server_calls();
    void add_operator_calls();
    transport::Async<Result<ReadConfigurationReply>> read();
    transport::Async<Result<ReplaceConfigurationReply>> replace(ReplaceConfigurationCall call);

    InstanceRegistry& registry_;
    OperatorCalls& calls_;
    http::CallRouter router_;
};

} // namespace ivyrill::control
