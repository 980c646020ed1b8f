#include "control/http_platform_client.hpp"

#include "control/one_shot_request.hpp"

#include <fmt/format.h>
#include <utility>

namespace ivyrill::control {

using duties::PlatformOutcome;

namespace {

PlatformOutcome outcome_of(const OneShotResult& end) {
    switch (end.kind) {
    case OneShotResult::Kind::kNotSent:
        return PlatformOutcome::kNotSent;
    case OneShotResult::Kind::kUnanswered:
        return PlatformOutcome::kUnanswered;
    case OneShotResult::Kind::kInvalidResponse:
        return PlatformOutcome::kFailed;
    case OneShotResult::Kind::kAnswered:
        return platform_outcome_of_status(end.status);
    }
    return PlatformOutcome::kFailed;
}

} // namespace

std::string platform_request(const duties::PlatformCall& call, const std::string& holder,
                             const std::string& address) {
    return fmt::format("POST {} HTTP/1.1\r\nhost: {}\r\nduty-holder: {}\r\nfence-token: {}\r\n"
                       "content-type: application/json\r\ncontent-length: {}\r\n\r\n{}",
                       call.path, address, holder, call.fence, call.body.size(), call.body);
}

// 408: the platform did not wait for the whole request; a retry may succeed.
PlatformOutcome platform_outcome_of_status(int status) {
    if (status >= 200 && status < 300) return PlatformOutcome::kAccepted;
    if (status == 429) return PlatformOutcome::kBusy;
    if (status == 412) return PlatformOutcome::kFencedOff;
    if (status >= 400 && status < 500 && status != 408) return PlatformOutcome::kRefused;
    return PlatformOutcome::kFailed;
}

void HttpPlatformClient::send(const duties::PlatformCall& call, const std::string& holder,
                              std::function<bool()> may_send, std::function<void(PlatformOutcome)> done) {
    reactor_.spawn(run(platform_request(call, holder, address_), std::move(may_send), std::move(done)));
}

// `done` is called from a later turn of the event loop even if no connection could be opened.
transport::Task HttpPlatformClient::run(std::string request, std::function<bool()> may_send,
                                        std::function<void(PlatformOutcome)> done) {
    OneShotRequest call{address_, std::move(request), kDeliveryTimeout, kResponseTimeout};
    const OneShotResult end = co_await send_one_shot(reactor_, std::move(call), may_send);
    reactor_.call_at(reactor_.now(), [done = std::move(done), outcome = outcome_of(end)] { done(outcome); });
}

} // namespace ivyrill::control
