// Typed messages of clients and service discovery, and the configuration with which a front node starts.
// No I/O.
#pragma once
#include "protocol/front_node_config.hpp"
#include "protocol/http.hpp"
#include "protocol/json.hpp"
#include "search_scheduler.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace ivyrill::protocol {

struct Target {
    int shard = 0;
    double share = 0;
};
struct SearchRequest {
    std::string id, request_class, tenant, query;
    std::int64_t timeout_us = 0; // the client's timeout, counted from when it sent the request
    bool repeat = false;
    std::vector<Target> targets;
    std::string key = {};         // the query parameter `k`; empty if absent or ambiguous
    std::string token = {};       // of `Authorization: Bearer`; empty if absent
    bool token_malformed = false; // the Authorization header is not a bearer token, or is repeated
};
struct ReadyRequest {};
struct BadRequest {
    int status = 400;
    std::string why;
};
using ClientRequest = std::variant<SearchRequest, ReadyRequest, BadRequest>;
ClientRequest read_client_request(const HttpMessage& message);

enum class Verdict { kDelivered, kRejected, kFailed };
struct PartResult {
    int shard = 0;
    std::string value;
};
struct FinalAnswer {
    Verdict verdict = Verdict::kFailed;
    bool whole = false;
    std::vector<PartResult> results;
    Ticks retry_after = 0; // 0: no Retry-After header
};
struct Reply { // an HTTP response, independent of the HTTP version
    int status = 200;
    std::vector<std::pair<std::string, std::string>> fields; // names in the usual HTTP/1.1 capitalization
    std::string body;
};
Reply reply_to_search(const FinalAnswer& answer);
// A response with a JSON error body. A non-empty `challenge` is sent as WWW-Authenticate.
Reply error_reply(int status, std::string_view message, std::string_view challenge = {});
Reply ready_reply(bool ready);
std::string write_reply(const Reply& reply, bool close); // serialized as HTTP/1.1

struct ServerEntry { // one server in the discovery service's list
    std::string id, address, zone, kind;
    int cell = 0;
    ListedState listed = ListedState::kLive;
    double weight = 1;
    std::int64_t started_ms = 0; // Unix time; 0: long ago
};
struct ServerList {
    std::int64_t version = 0;
    bool full = false;
    std::vector<ServerEntry> servers;
};
ServerList read_server_list(const Json& json); // throws ProtocolError
ServerList read_server_list(std::string_view body);
// Requests the whole list, or else a long poll of up to `wait_ms` for a version newer than `after`.
std::string list_request(std::string_view host, std::int64_t after, std::int64_t wait_ms, bool whole);

struct StartConfig { // the start-up configuration of a front node
    std::string name, listen, discovery;
    std::int64_t sockets = 0, memory_mb = 0;
    ServerList known;
    FrontNodeConfig front_node_config;
};
StartConfig read_start_config(std::string_view text); // throws ProtocolError

} // namespace ivyrill::protocol
