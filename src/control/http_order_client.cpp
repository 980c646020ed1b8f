#include "control/http_order_client.hpp"

#include "base/planted_fault.hpp"
#include "control/one_shot_request.hpp"

#include <fmt/format.h>
#include <utility>

namespace ivyrill::control {

using duties::OrderOutcome;

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

void HttpOrderClient::send(const duties::StageOrder& order, const std::string& holder,
                           std::function<bool()> may_send, std::function<void(OrderOutcome)> done) {
    reactor_.spawn(run(order, holder, std::move(may_send), std::move(done)));
}

transport::Task HttpOrderClient::run(duties::StageOrder order, std::string holder,
                                     std::function<bool()> may_send, std::function<void(OrderOutcome)> done) {
    const OrderOutcome outcome = co_await execute(order, holder, may_send);
    done(outcome);
}

transport::Async<OrderOutcome> HttpOrderClient::execute(const duties::StageOrder& order,
                                                        const std::string& holder,
                                                        const std::function<bool()>& may_send) {
    OneShotRequest request{order.address, order_request(order, holder), kTimeout, kTimeout};
    const OneShotResult end = co_await send_one_shot(reactor_, std::move(request), may_send);
    if (end.kind == OneShotResult::Kind::kNotSent) co_return OrderOutcome::kNotSent;
    if (end.kind != OneShotResult::Kind::kAnswered) co_return OrderOutcome::kUnanswered;
    co_return duties::outcome_of_status(end.status);
}

} // namespace ivyrill::control
