// Routes HTTP calls of model servers, operators and the platform. Each endpoint is a pair of types, the call
// and its reply; a generic handler parses the call, executes it and writes the reply. Errors are mapped to
// HTTP statuses by kind.
#pragma once
#include "base/result.hpp"
#include "protocol/http.hpp"
#include "transport/async.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace ivyrill::http {

struct Response {
    int status = 200;
    std::string fields; // additional header lines, each with its line end
    std::string body;
};

Response json_response(std::string body);
Response error_response(const Error& error);

// A call without a use for its body may bring a small one.
inline constexpr std::size_t kMaxUnneededBodyBytes = 4 * 1024;

template <class Call, class Reply> struct Endpoint {
    std::string method;
    std::string path; // a trailing slash: the rest of the path is passed to the call
    std::function<Result<Call>(protocol::HttpMessage&, const std::string& rest)> read; // may move the body
    std::function<transport::Async<Result<Reply>>(Call)> execute;
    std::function<Response(const Reply&)> write;
    std::size_t max_body_bytes = kMaxUnneededBodyBytes;
};

class CallRouter {
  public:
    template <class Call, class Reply> void add(Endpoint<Call, Reply> endpoint);
    transport::Async<Response> handle(protocol::HttpMessage message) const;
    // Upper limit of the body of a call with this head; bytes.
    std::size_t max_body_bytes(const protocol::HttpMessage& head) const;

  private:
    struct Entry {
        std::string method, path;
        std::function<transport::Async<Response>(protocol::HttpMessage&, std::string)> handle;
        std::size_t max_body_bytes;
    };
    template <class Call, class Reply>
    static transport::Async<Response> dispatch(std::shared_ptr<const Endpoint<Call, Reply>> endpoint,
                                               Result<Call> call);
    std::vector<Entry> entries_;
};

template <class Call, class Reply>
transport::Async<Response> CallRouter::dispatch(std::shared_ptr<const Endpoint<Call, Reply>> endpoint,
                                                Result<Call> call) {
    if (call.has_error()) co_return error_response(call.error());
    const Result<Reply> reply = co_await endpoint->execute(std::move(call.value()));
    if (reply.has_error()) co_return error_response(reply.error());
    co_return endpoint->write(reply.value());
}

template <class Call, class Reply> void CallRouter::add(Endpoint<Call, Reply> endpoint) {
    auto shared = std::make_shared<const Endpoint<Call, Reply>>(std::move(endpoint));
    entries_.push_back({shared->method, shared->path,
                        [shared](protocol::HttpMessage& message, std::string rest) {
                            return dispatch<Call, Reply>(shared, shared->read(message, rest));
                        },
                        shared->max_body_bytes});
}

} // namespace ivyrill::http
