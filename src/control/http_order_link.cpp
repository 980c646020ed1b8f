#include "control/http_order_link.hpp"

#include "base/planted_fault.hpp"
#include "protocol/http.hpp"

#include <fmt/format.h>
#include <utility>

namespace ivyrill::control {

using duties::OrderOutcome;

namespace {

constexpr std::size_t kMostRequest = 4096;

} // namespace

std::string order_request(const duties::StageOrder& order, const std::string& holder) {
    std::string body = fmt::format(R"({{"op":"stage","stage":"{}","holder":"{}","fenceToken":{})",
                                   model::name_of(order.stage), holder, order.fence);
    if (order.expected_count) body += fmt::format(R"(,"expectedCount":{})", *order.expected_count);
    body += "}";
    std::string head = fmt::format("POST /order HTTP/1.1\r\nhost: {}\r\n", order.address);
    if (!planted(PlantedFault::kOrderWithoutTarget))
        head += fmt::format("target-instance: {}\r\n", order.instance);
    head += fmt::format("content-type: application/json\r\ncontent-length: {}\r\n\r\n", body.size());
    return head + body;
}

void HttpOrderLink::send(const duties::StageOrder& order, const std::string& holder,
                         std::function<bool()> may_send, std::function<void(OrderOutcome)> done) {
    reactor_.spawn(carry(order, holder, std::move(may_send), std::move(done)));
}

transport::Task HttpOrderLink::carry(duties::StageOrder order, std::string holder,
                                     std::function<bool()> may_send, std::function<void(OrderOutcome)> done) {
    const OrderOutcome outcome = co_await call(order, holder, may_send);
    done(outcome);
}

transport::Async<OrderOutcome> HttpOrderLink::call(const duties::StageOrder& order, const std::string& holder,
                                                   const std::function<bool()>& may_send) {
    const auto connection = http::ClientConnection::open(reactor_, order.address, kMostRequest,
                                                         http::ClientConnection::AtEnd::kReset);
    if (!connection) co_return OrderOutcome::kNotSent;
    const Tenths until = reactor_.now() + kPatience;
    transport::Slot wake(reactor_.loop());
    connection->stream().also_wake(&wake);
    const transport::WakeAt timer(reactor_, until, wake);
    while (!connection->stream().up()) {
        if (connection->stream().ended() || reactor_.now() >= until) co_return OrderOutcome::kNotSent;
        co_await wake;
    }
    // It has to have come in, or be lost, within the patience: half of it is for its way.
    const bool too_late = reactor_.now() >= until - kPatience / 2;
    if (too_late || !may_send()) co_return OrderOutcome::kNotSent;
    connection->stream().send(order_request(order, holder));
    for (;;) {
        connection->read();
        if (connection->parser().complete()) break;
        const bool is_over = connection->parser().broken() != 0 || connection->stream().ended();
        if (is_over || reactor_.now() >= until) co_return OrderOutcome::kUnanswered;
        co_await wake;
    }
    co_return duties::outcome_of_status(connection->parser().take().status);
}

} // namespace ivyrill::control
