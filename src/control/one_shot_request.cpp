#include "control/one_shot_request.hpp"

#include "http/client_connection.hpp"

namespace ivyrill::control {

namespace {

using Kind = OneShotResult::Kind;

OneShotResult end_of(const protocol::HttpParser& parser) {
    const int status = parser.message().status;
    if (parser.broken() != 0 && status == 0) return {Kind::kNoAnswer, 0};
    if (parser.broken() != 0 || parser.head_complete()) return {Kind::kAnswered, status};
    return {Kind::kUnanswered, 0};
}

} // namespace

transport::Async<OneShotResult> send_one_shot(transport::Reactor& reactor, OneShotRequest call,
                                              const std::function<bool()>& may_send) {
    const auto connection = http::ClientConnection::open_for_one_call(
        reactor, call.address, call.request.size(), call.delivery_patience);
    if (!connection) co_return OneShotResult{};
    // It has to have come in, or be lost, within the patience: half of it is for its way.
    const Tenths leaves_before = reactor.now() + call.delivery_patience / 2;
    const Tenths until = reactor.now() + call.answer_patience;
    transport::Slot wake(reactor.loop());
    connection->stream().also_wake(&wake);
    {
        const transport::WakeAt timer(reactor, leaves_before, wake);
        while (!connection->stream().up()) {
            if (connection->stream().ended() || reactor.now() >= leaves_before) co_return OneShotResult{};
            co_await wake;
        }
    }
    if (reactor.now() >= leaves_before || !may_send()) co_return OneShotResult{};
    connection->stream().send(call.request);
    const transport::WakeAt timer(reactor, until, wake);
    for (;;) {
        connection->read();
        const protocol::HttpParser& parser = connection->parser();
        const bool is_over = parser.complete() || parser.broken() != 0 || connection->stream().ended();
        if (is_over || reactor.now() >= until) co_return end_of(parser);
        co_await wake;
    }
}

} // namespace ivyrill::control
