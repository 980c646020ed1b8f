// What clients and discovery say, typed; and the configuration a front node is started with. Pure.
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
    std::int64_t timeout_us = 0; // the client waits so long from its sending
    bool repeat = false;
    std::vector<Target> targets;
    std::string key = {};         // of the parameter `k`; empty where absent or not told apart
    std::string token = {};       // of `Authorization: Bearer`; empty where absent
    bool token_malformed = false; // that header is there and holds something else, or stands twice
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
    Tenths retry_after = 0; // 0: no advice
};
struct Reply { // of any door that speaks HTTP, before it is framed
    int status = 200;
    std::vector<std::pair<std::string, std::string>> fields; // names as HTTP/1.1 is used to writing them
    std::string body;
};
Reply reply_to_search(const FinalAnswer& answer);
// `challenge` goes into WWW-Authenticate where it is not empty.
Reply error_reply(int status, std::string_view words, std::string_view challenge = {});
Reply ready_reply(bool ready);
std::string write_reply(const Reply& reply, bool close); // in HTTP/1.1

struct ServerEntry { // as discovery lists it
    std::string id, address, zone, kind;
    int cell = 0;
    ListedState listed = ListedState::kLive;
    double weight = 1;
    std::int64_t started_ms = 0; // Unix time, 0: long ago
};
struct ServerList {
    std::int64_t version = 0;
    bool full = false;
    std::vector<ServerEntry> servers;
};
ServerList read_server_list(const Json& json); // throws ProtocolError
ServerList read_server_list(std::string_view body);
// The whole list where no version is given, else a watch for what is newer.
std::string list_request(std::string_view host, std::int64_t after, std::int64_t wait_ms, bool whole);

struct StartConfig { // what a front node is told when it starts
    std::string name, listen, discovery;
    std::int64_t sockets = 0, memory_mb = 0;
    ServerList known;
    FrontNodeConfig terms;
};
StartConfig read_start_config(std::string_view text); // throws ProtocolError

} // namespace ivyrill::protocol
