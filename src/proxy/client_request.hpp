// A client's request as the proxy needs it, read out of its message; and the heads that go on from it.
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
    protocol::HttpMessage message; // names of headers in lower case
    std::string attempt_id, model, last_event_id;
    std::vector<replica_selection::PromptPart> prompt;
    std::int64_t output_tokens = 0; // the most that it generates
    Tenths received = 0;
    std::optional<Tenths> client_deadline; // from Deadline-Ms
};

ClientRequest read_client_request(protocol::HttpMessage message, Tenths received);

// What the system adds to a request that it sends on.
struct Forwarding {
    std::string target_instance;
    std::string tenant; // that the client's key belongs to; empty: none
    Tenths time_left = 0;
    bool prefill_only = false;
    std::string kv_from;       // empty: none
    std::string last_event_id; // empty: none
    std::int64_t priority = 5; // 0 to 9
    bool tells_priority = false;
};

// Head and body, ready to be sent.
std::string server_request(const ClientRequest& request, const Forwarding& forwarding);

// The head of the answer to the client: the server's status and headers but for those of one connection.
// `length`: of the body; without one it goes in chunks, or (to HTTP/1.0) until the connection ends.
std::string answer_head(const protocol::HttpMessage& answer, std::optional<std::size_t> length, bool close);
std::string chunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace ivyrill::proxy
