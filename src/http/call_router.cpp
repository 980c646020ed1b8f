#include "http/call_router.hpp"

#include <algorithm>
#include <string_view>

namespace ivyrill::http {

namespace {

int status_of(ErrorKind kind) {
    switch (kind) {
    case ErrorKind::kVersionConflict:
        return 412;
    case ErrorKind::kUnavailable:
    case ErrorKind::kStorage:
        return 503;
    default:
        return 400;
    }
}

// Whether an endpoint's path matches the target; `rest` is set to what follows it.
bool matches(const std::string& path, std::string_view target, std::string& rest) {
    if (path.ends_with('/')) {
        if (!target.starts_with(path) || target.size() == path.size()) return false;
        rest = target.substr(path.size());
        return true;
    }
    return target == path;
}

std::string_view path_of(const protocol::HttpMessage& message) {
    return std::string_view(message.target).substr(0, message.target.find('?'));
}

} // namespace

Response json_response(std::string body) {
    return {200, "Content-Type: application/json\r\n", std::move(body)};
}

Response error_response(const Error& error) {
    const int status = status_of(error.kind);
    return {status, "Content-Type: text/plain\r\n", error.message + "\n"};
}

std::size_t CallRouter::max_body_bytes(const protocol::HttpMessage& head) const {
    std::string ignored;
    for (const Entry& entry : entries_)
        if (entry.method == head.method && matches(entry.path, path_of(head), ignored))
            return entry.max_body_bytes;
    return kMaxUnneededBodyBytes;
}

transport::Async<Response> CallRouter::handle(protocol::HttpMessage message) const {
    const std::string_view target = path_of(message);
    bool path_known = false;
    for (const Entry& entry : entries_) {
        std::string rest;
        if (!matches(entry.path, target, rest)) continue;
        path_known = true;
        if (entry.method == message.method) co_return co_await entry.handle(message, rest);
    }
    if (path_known) co_return Response{405, "", ""};
    co_return Response{404, "", ""};
}

} // namespace ivyrill::http
