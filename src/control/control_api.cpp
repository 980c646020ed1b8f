#include "control/control_api.hpp"

#include <utility>

namespace ivyrill::control {

namespace {

constexpr std::size_t kMaxConfigurationBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxInstanceBytes = 256 * 1024; // a server with thousands of adapters

} // namespace

ControlApi::ControlApi(InstanceRegistry& registry, OperatorCalls& calls, std::function<std::string()> inspect)
    : registry_(registry), calls_(calls) {
    add_server_calls();
    add_operator_calls();
    router_.add<InspectCall, InspectReply>(
        {"GET", "/inspect",
         [](const protocol::HttpMessage&, const std::string&) { return Result<InspectCall>(InspectCall{}); },
         [inspect = std::move(inspect)](InspectCall) -> transport::Async<Result<InspectReply>> {
             co_return InspectReply{inspect()};
         },
         [](const InspectReply& reply) { return http::json_response(reply.body); }});
}

void ControlApi::add_server_calls() {
    router_.add<RegisterCall, RegisterReply>(
        {"PUT", "/instances/",
         [](const protocol::HttpMessage& message, const std::string& id) {
             return read_register_call(id, message.body);
         },
         [this](RegisterCall call) { return registry_.handle(std::move(call)); },
         [](const RegisterReply& reply) {
             if (reply.heartbeat_address.empty()) return http::json_response("{}");
             return http::json_response("{\"beatAddr\":\"" + reply.heartbeat_address + "\"}");
         },
         kMaxInstanceBytes});
    router_.add<DeregisterCall, DeregisterReply>(
        {"DELETE", "/instances/",
         [](const protocol::HttpMessage&, const std::string& id) {
             return Result<DeregisterCall>(DeregisterCall{id});
         },
         [this](DeregisterCall call) { return registry_.handle(std::move(call)); },
         [](const DeregisterReply&) { return http::json_response("{}"); }});
}

void ControlApi::add_operator_calls() {
    router_.add<ReplaceConfigurationCall, ReplaceConfigurationReply>(
        {"PUT", "/config",
         [](protocol::HttpMessage& message, const std::string&) -> Result<ReplaceConfigurationCall> {
             BOOST_OUTCOME_TRY(version, read_if_match(std::string(message.header("if-match"))));
             return ReplaceConfigurationCall{version, std::move(message.body)};
         },
         [this](ReplaceConfigurationCall call) { return replace(std::move(call)); },
         [](const ReplaceConfigurationReply&) { return http::json_response("{}"); }, kMaxConfigurationBytes});
    router_.add<ReadConfigurationCall, ReadConfigurationReply>(
        {"GET", "/config",
         [](const protocol::HttpMessage&, const std::string&) {
             return Result<ReadConfigurationCall>(ReadConfigurationCall{});
         },
         [this](ReadConfigurationCall) { return read(); },
         [](const ReadConfigurationReply& reply) { return http::json_response(reply.body); }});
}

transport::Async<Result<ReadConfigurationReply>> ControlApi::read() {
    Result<std::string> body = co_await calls_.read();
    if (body.has_error()) co_return body.error();
    co_return ReadConfigurationReply{std::move(body.value())};
}

transport::Async<Result<ReplaceConfigurationReply>> ControlApi::replace(ReplaceConfigurationCall call) {
    const Result<void> replaced = co_await calls_.replace(call.if_match, std::move(call.body));
    if (replaced.has_error()) co_return replaced.error();
    co_return ReplaceConfigurationReply{};
}

} // namespace ivyrill::control
