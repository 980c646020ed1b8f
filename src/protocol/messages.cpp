#include "protocol/messages.hpp"

#include "protocol/values.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>

namespace ivyrill::protocol {

namespace {

constexpr double kShareTolerance = 0.01; // the clients may round the shares

// A number followed by its unit, `m` or `u`; the number may have a fraction.
std::int64_t read_timeout_us(std::string_view text) {
    if (text.size() < 2) throw ProtocolError("X-Timeout: missing or malformed");
    const char unit = text.back();
    if (unit != 'm' && unit != 'u') throw ProtocolError("X-Timeout: unknown unit");
    const double count = to_number(text.substr(0, text.size() - 1), "X-Timeout");
    constexpr double kMaxTimeoutUs = 1e12;
    const double span = count * (unit == 'm' ? 1000 : 1);
    if (span < 0 || span > kMaxTimeoutUs) throw ProtocolError("X-Timeout: out of range");
    return static_cast<std::int64_t>(span);
}

// Ids are written into space-separated lines of frames, so they must not contain blanks or control
// characters.
bool is_valid_id(std::string_view id) {
    return !id.empty() && id.size() <= 128 && std::ranges::all_of(id, [](unsigned char character) {
        return character > 0x20 && character < 0x7F;
    });
}

int read_index(const Json& json, std::string_view what) {
    const std::int64_t value = json.as_integer(what);
    if (value < 0 || value > 1'000'000'000) throw ProtocolError(std::string(what) + ": out of range");
    return static_cast<int>(value);
}

// Percent-decodes the text; nothing if it contains a malformed escape.
std::optional<std::string> percent_decoded(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out += text[i];
            continue;
        }
        unsigned value = 0;
        const char* const begin = text.data() + i + 1;
        if (i + 2 >= text.size() || std::from_chars(begin, begin + 2, value, 16).ptr != begin + 2) return {};
        out += static_cast<char>(value), i += 2;
    }
    return out;
}

// The query parameter `k`. Empty if it is repeated or malformed, since the key is then ambiguous.
std::string read_key(std::string_view target) {
    const std::size_t question_mark = target.find('?');
    if (question_mark == std::string_view::npos) return {};
    std::optional<std::string> key;
    for (const std::string_view pair : split(target.substr(question_mark + 1), '&')) {
        if (!pair.starts_with("k=")) continue;
        if (key) return {};
        key = percent_decoded(pair.substr(2)).value_or("");
    }
    return key.value_or("");
}

void read_credential(const HttpMessage& message, SearchRequest& search) {
    const std::size_t times = message.header_count("authorization");
    if (times == 0) return;
    constexpr std::string_view kScheme = "bearer ";
    const std::string_view value = message.header("authorization");
    const bool bearer = value.size() > kScheme.size() &&
                        std::ranges::equal(value.substr(0, kScheme.size()), kScheme, [](char a, char b) {
                            return (a >= 'A' && a <= 'Z' ? static_cast<char>(a - 'A' + 'a') : a) == b;
                        });
    search.token_malformed = times > 1 || !bearer;
    if (!search.token_malformed) search.token = value.substr(kScheme.size());
}

SearchRequest read_search(const HttpMessage& message, std::string_view request_class) {
    for (const char* name : {"host", "x-request-id", "x-tenant-id", "x-timeout", "x-retried"})
        if (message.header_count(name) > 1) throw ProtocolError(std::string(name) + ": more than once");
    SearchRequest search;
    search.request_class = sanitize_name(request_class);
    search.id = message.header("x-request-id");
    if (!is_valid_id(search.id)) throw ProtocolError("X-Request-ID: missing or malformed");
    search.tenant = sanitize_name(message.header("x-tenant-id"));
    search.timeout_us = read_timeout_us(message.header("x-timeout"));
    search.repeat = message.header("x-retried") == "1";
    search.key = read_key(message.target);
    read_credential(message, search);
    const Json body = read_json(message.body);
    search.query = body.at("query").as_text("query");
    double shares = 0;
    for (const Json& row : body.at("targets").as_list("targets")) {
        const Target target{read_index(row.at("partition"), "partition"), row.at("share").as_number("share")};
        if (target.share < 0 || target.share > 1) throw ProtocolError("share: out of range");
        if (std::ranges::count(search.targets, target.shard, &Target::shard) > 0)
            throw ProtocolError("partition: listed twice");
        search.targets.push_back(target), shares += target.share;
    }
    if (search.targets.empty()) throw ProtocolError("targets: none");
    if (std::abs(shares - 1) > kShareTolerance) throw ProtocolError("share: the shares do not add up to 1");
    return search;
}

} // namespace

ClientRequest read_client_request(const HttpMessage& message) {
    std::string_view path = message.target;
    path = path.substr(0, path.find('?'));
    if (path == "/-/ready" || path == "/-/healthy") {
        if (message.method != "GET" && message.method != "HEAD") return BadRequest{405, "use GET"};
        return ReadyRequest{};
    }
    if (path.size() < 2 || path[0] != '/') return BadRequest{404, "no such path"};
    if (message.method != "POST") return BadRequest{405, "use POST"};
    path.remove_prefix(1);
    try {
        return read_search(message, path.substr(0, path.find('/')));
    } catch (const ProtocolError& error) { return BadRequest{400, error.what()}; }
}

Reply error_reply(int status, std::string_view message, std::string_view challenge) {
    Reply reply{status, {{"Content-Type", "application/json"}}, "{\"error\":"};
    write_json_text(reply.body, message);
    reply.body += "}";
    if (!challenge.empty()) reply.fields.emplace_back("WWW-Authenticate", challenge);
    return reply;
}

Reply ready_reply(bool ready) { return ready ? Reply{200, {}, "ready\n"} : error_reply(503, "not ready"); }

Reply reply_to_search(const FinalAnswer& answer) {
    if (answer.verdict == Verdict::kFailed)
        return error_reply(502, "the search failed and may have been partly executed");
    if (answer.verdict == Verdict::kRejected) {
        Reply reply = error_reply(503, "request rejected, nothing has run");
        if (answer.retry_after > 0) {
            char seconds[32];
            std::snprintf(seconds, sizeof seconds, "%.4f",
                          static_cast<double>(answer.retry_after) / kTicksPerSecond);
            reply.fields.emplace_back("Retry-After", seconds);
        }
        return reply;
    }
    Reply reply{200, {{"Content-Type", "application/json"}}, {}};
    std::string& body = reply.body;
    body = answer.whole ? "{\"whole\":true,\"results\":[" : "{\"whole\":false,\"results\":[";
    for (std::size_t i = 0; i < answer.results.size(); ++i) {
        body += (i > 0 ? ",{\"partition\":" : "{\"partition\":") + std::to_string(answer.results[i].shard);
        body += ",\"value\":";
        write_json_text(body, answer.results[i].value);
        body += "}";
    }
    body += "]}";
    return reply;
}

std::string write_reply(const Reply& reply, bool close) {
    std::string fields;
    for (const auto& [name, value] : reply.fields)
        fields.append(name).append(": ").append(value).append("\r\n");
    return http_response(reply.status, fields, reply.body, close);
}

ServerList read_server_list(const Json& json) {
    ServerList list;
    list.version = json.at("version").as_integer("version");
    list.full = json.at("full").as_bool("full");
    for (const Json& row : json.at("servers").as_list("servers")) {
        ServerEntry entry;
        entry.id = row.at("id").as_text("id");
        const auto text = [&row](std::string_view name) {
            const Json* found = row.find(name);
            return found != nullptr && found->type == Json::Type::kText ? found->text : std::string();
        };
        entry.address = text("addr"), entry.zone = sanitize_name(text("zone"));
        entry.kind = sanitize_name(text("kind"));
        if (const Json* cell = row.find("cell")) entry.cell = read_index(*cell, "cell");
        if (const Json* weight = row.find("weight")) entry.weight = weight->as_number("weight");
        if (const Json* started = row.find("started_ms"))
            entry.started_ms = started->as_integer("started_ms");
        // Servers in an unknown state receive no new requests.
        const std::string state = text("state");
        entry.listed = state == "SERVING"   ? ListedState::kLive
                       : state == "DELETED" ? ListedState::kGone
                                            : ListedState::kDraining;
        list.servers.push_back(std::move(entry));
    }
    return list;
}

ServerList read_server_list(std::string_view body) { return read_server_list(read_json(body)); }

std::string list_request(std::string_view host, std::int64_t after, std::int64_t wait_ms, bool whole) {
    std::string target = "/api/targets";
    if (!whole) target += "?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait_ms);
    return http_request("GET", target, host);
}

StartConfig read_start_config(std::string_view text) {
    const Json json = read_json(text);
    StartConfig config;
    config.name = json.at("name").as_text("name");
    config.listen = json.at("listen").as_text("listen");
    config.discovery = json.at("discovery").as_text("discovery");
    const Json& limits = json.at("limits");
    config.sockets = limits.at("sockets").as_integer("sockets");
    config.memory_mb = limits.at("memory_mb").as_integer("memory_mb");
    config.known = read_server_list(json.at("known"));
    std::uint64_t seed = 0;
    const std::string& digits = json.at("seed").as_text("seed");
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seed, 16);
    if (error != std::errc{} || end != digits.data() + digits.size())
        throw ProtocolError("seed: not a hexadecimal number: " + quoted(digits));
    config.front_node_config = read_front_node_config(flatten(json.at("settings")), seed);
    return config;
}

} // namespace ivyrill::protocol
