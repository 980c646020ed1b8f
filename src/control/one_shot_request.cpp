#include "control/one_shot_request.hpp"

#include "http/client_connection.hpp"

namespace ivyrill::control {

namespace {

using Kind = OneShotResult::Kind;

OneShotResult result_of(const protocol::HttpParser& parser) {
    const int status = parser.message().status;
    if (parser.broken() != 0 && status == 0) return {Kind::kInvalidResponse, 0};
    if (parser.broken() != 0 || parser.head_complete()) return {Kind::kAnswered, status};
    return {Kind::kUnanswered, 0};
}

} // namespace

transport::Async<OneShotResult> send_one_shot(transport::Reactor& reactor, OneShotRequest call,
                                              const std::function<bool()>& may_send) {
    const auto connection = http::ClientConnection::open_for_one_call(
        reactor, call.address, call.request.size(), call.delivery_timeout);
    if (!connection) co_return OneShotResult{};
    // The request must be delivered or lost within the timeout: half of it is reserved for transmission.
    const Ticks send_deadline = reactor.now() + call.delivery_timeout / 2;
    const Ticks response_deadline = reactor.now() + call.response_timeout;
    transport::Slot wake(reactor.loop());
    connection->stream().also_wake(&wake);
    {
        const transport::WakeAt timer(reactor, send_deadline, wake);
        while (!connection->stream().established()) {
            if (connection->stream().ended() || reactor.now() >= send_deadline) co_return OneShotResult{};
            co_await wake;
        }
    }
    if (reactor.now() >= send_deadline || !may_send()) co_return OneShotResult{};
    connection->stream().send(call.request);
    const transport::WakeAt timer(reactor, response_deadline, wake);
    for (;;) {
        connection->read();
        const protocol::HttpParser& parser = connection->parser();
        const bool is_finished = parser.complete() || parser.broken() != 0 || connection->stream().ended();
        if (is_finished || reactor.now() >= response_deadline) co_return result_of(parser);
        co_await wake;
    }
}

} // namespace ivyrill::control
