#include "proxy/client_request.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <string_view>

namespace ivyrill::proxy {

namespace {

constexpr Ticks kTicksPerMs = kTicksPerSecond / 1000;
constexpr std::int64_t kMaxPromptTokens = 1'000'000'000; // in total: far more than any server's memory

// Hop-by-hop headers (RFC 9110, 7.6.1).
constexpr std::array<std::string_view, 9> kHopByHop{"connection", "keep-alive",        "proxy-connection",
                                                    "te",         "transfer-encoding", "upgrade",
                                                    "trailer",    "content-length",    "expect"};
// Set only by the system: dropped from client requests.
constexpr std::array<std::string_view, 8> kSystemHeaders{"serving-stage", "kv-from",     "target-instance",
                                                         "priority",      "deadline-ms", "expect-version",
                                                         "last-event-id", "tenant"};
constexpr std::string_view kApiKeyHeader = "api-key"; // secret, never forwarded

constexpr std::size_t kMaxPromptParts = 64; // each part is tracked per server

template <std::size_t Size>
bool is_one_of(const std::array<std::string_view, Size>& names, std::string_view name) {
    return std::ranges::find(names, name) != names.end();
}

// Whether the Connection header lists the name, which makes it hop-by-hop.
bool is_listed(std::string_view list, std::string_view name) {
    for (std::size_t begin = 0; begin < list.size();) {
        const std::size_t end = std::min(list.find(',', begin), list.size());
        std::string item;
        for (const char character : list.substr(begin, end - begin))
            if (character != ' ' && character != '\t')
                item.push_back(character >= 'A' && character <= 'Z' ? static_cast<char>(character + 32)
                                                                    : character);
        if (item == name) return true;
        begin = end + 1;
    }
    return false;
}

std::optional<std::int64_t> parse_number(std::string_view text) {
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return number;
}

// `ID:TOKENS`, separated by commas. A malformed or excess part ends the list, which is only a hint for the
// choice of servers.
std::vector<replica_selection::PromptPart> parse_prompt(std::string_view text) {
    std::vector<replica_selection::PromptPart> parts;
    std::int64_t left = kMaxPromptTokens;
    while (!text.empty() && parts.size() < kMaxPromptParts) {
        const std::size_t end = std::min(text.find(','), text.size());
        const std::string_view item = text.substr(0, end);
        const std::size_t colon = item.find(':');
        if (colon == std::string_view::npos) break;
        const auto tokens = parse_number(item.substr(colon + 1));
        if (!tokens || *tokens < 0 || *tokens > left) break;
        left -= *tokens;
        parts.push_back({std::string(item.substr(0, colon)), *tokens});
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

std::string_view reason_phrase(int status) { return status >= 200 && status < 300 ? "OK" : "Status"; }

} // namespace

ClientRequest read_client_request(protocol::HttpMessage message, Ticks received) {
    ClientRequest request;
    request.received = received;
    request.attempt_id = message.header("attempt-id");
    request.model = message.header("model-name");
    request.last_event_id = message.header("last-event-id");
    request.prompt = parse_prompt(message.header("prompt-prefix"));
    const std::string_view counts = message.header("token-counts");
    if (const std::size_t comma = counts.find(','); comma != std::string_view::npos)
        request.output_tokens = std::max<std::int64_t>(0, parse_number(counts.substr(comma + 1)).value_or(0));
    if (const auto span = parse_number(message.header("deadline-ms")); span && *span >= 0)
        request.client_deadline = received + std::min<std::int64_t>(*span, 86'400'000) * kTicksPerMs;
    request.message = std::move(message);
    return request;
}

std::string server_request(const ClientRequest& request, const Forwarding& forwarding) {
    const protocol::HttpMessage& message = request.message;
    const std::string_view listed = message.header("connection");
    std::string out;
    out.reserve(512 + message.body.size());
    out.append(message.method).append(" ").append(message.target).append(" HTTP/1.1\r\n");
    for (const auto& [name, value] : message.headers) {
        if (is_one_of(kHopByHop, name) || is_one_of(kSystemHeaders, name) || name == kApiKeyHeader) continue;
        if (!listed.empty() && is_listed(listed, name)) continue;
        out.append(name).append(": ").append(value).append("\r\n");
    }
    out.append(fmt::format("target-instance: {}\r\ndeadline-ms: {}\r\n", forwarding.target_instance,
                           std::max<Ticks>(1, forwarding.time_left / kTicksPerMs)));
    if (!forwarding.tenant.empty()) out.append("tenant: ").append(forwarding.tenant).append("\r\n");
    if (forwarding.prefill_only) out.append("serving-stage: prefill\r\n");
    if (!forwarding.kv_from.empty()) out.append("kv-from: ").append(forwarding.kv_from).append("\r\n");
    if (!forwarding.last_event_id.empty())
        out.append("last-event-id: ").append(forwarding.last_event_id).append("\r\n");
    if (forwarding.sends_priority) out.append(fmt::format("priority: {}\r\n", forwarding.priority));
    const bool has_body =
        !message.body.empty() ||
        message.header_count("content-length") + message.header_count("transfer-encoding") > 0;
    if (has_body) out.append(fmt::format("content-length: {}\r\n", message.body.size()));
    return out.append("\r\n").append(message.body);
}

std::string answer_head(const protocol::HttpMessage& answer, std::optional<std::size_t> length, bool close) {
    const std::string_view listed = answer.header("connection");
    std::string out = fmt::format("HTTP/1.1 {} {}\r\n", answer.status, reason_phrase(answer.status));
    for (const auto& [name, value] : answer.headers) {
        if (is_one_of(kHopByHop, name)) continue;
        if (!listed.empty() && name != "server-seal" && name != "attempt-id" && is_listed(listed, name))
            continue;
        out.append(name).append(": ").append(value).append("\r\n");
    }
    if (length)
        out.append(fmt::format("content-length: {}\r\n", *length));
    else
        out.append("transfer-encoding: chunked\r\n");
    if (close) out.append("connection: close\r\n");
    return out.append("\r\n");
}

std::string chunk(std::string_view bytes) {
    std::string out = fmt::format("{:x}\r\n", bytes.size());
    return out.append(bytes).append("\r\n");
}

} // namespace ivyrill::proxy
