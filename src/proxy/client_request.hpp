// Parses a client's request, and builds the request to the server and the head of the answer to the client.
#pragma once
#include "base/time.hpp"
#include "model/configuration.hpp"
#include "protocol/http.hpp"
#include "replica_selection/pair_selector.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::proxy {

struct ClientRequest {
    protocol::HttpMessage message; // header names in lower case
    std::string attempt_id, model, last_event_id;
    std::vector<replica_selection::PromptPart> prompt;
    std::int64_t output_tokens = 0; // maximum number of generated tokens
    Ticks received = 0;
    std::optional<Ticks> client_deadline; // from Deadline-Ms
};

ClientRequest read_client_request(protocol::HttpMessage message, Ticks received);

// Fields that the system adds to a forwarded request.
struct Forwarding {
    std::string target_instance;
    std::string tenant; // of the client's key; empty: none
    Ticks time_left = 0;
    bool prefill_only = false;
    std::string kv_from;       // empty: none
    std::string last_event_id; // empty: none
    std::int64_t priority = 5; // 0 to 9
    bool sends_priority = false;
};

// Head and body.
std::string server_request(const ClientRequest& request, const Forwarding& forwarding);

// Head of the answer to the client: the server's status and headers without the hop-by-hop ones. `length`: of
// the body; without it the body is chunked, or (HTTP/1.0) ends with the connection.
std::string answer_head(const protocol::HttpMessage& answer, std::optional<std::size_t> length, bool close);
std::string chunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace ivyrill::proxy
