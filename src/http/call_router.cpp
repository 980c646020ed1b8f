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

} // namespace

Response json_response(std::string body) {
    return {200, "Content-Type: application/json\r\n", std::move(body)};
}

Response error_response(const Error& error) {
    const int status = status_of(error.kind);
    return {status, "Content-Type: text/plain\r\n", error.message + "\n"};
}

transport::Async<Response> CallRouter::handle(protocol::HttpMessage message) const {
    const std::string_view target = std::string_view(message.target).substr(0, message.target.find('?'));
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
