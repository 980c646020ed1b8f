#include "control/operator_calls.hpp"

#include "base/planted_fault.hpp"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

namespace ivyrill::control {

namespace {

constexpr Ticks kCallTimeout = 9000;       // over all leaders; below the callers' timeout of 1 s
constexpr Ticks kLeaderPollInterval = 200; // while there is no leader

http::Response to_answer(const Result<void>& result) {
    return result.has_error() ? http::error_response(result.error()) : http::json_response("{}");
}

// A definite answer, so the call is not retried; callers get 503 all the same.
http::Response no_configuration() {
    return {404, "", "no configuration was accepted yet: send one by PUT /config\n"};
}

http::Response no_leader() {
    return {503, "", "the configuration group has no leader now: retry or call another node\n"};
}

} // namespace

Result<std::int64_t> read_if_match(std::string text) {
    std::erase(text, '"');
    std::int64_t version = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (failure != std::errc{} || end != text.data() + text.size() || text.empty())
        return error(
            ErrorKind::kInvalidInput,
            "If-Match: not a version; send the version that the change is based on, 0 for the first");
    return version;
}

OperatorCalls::OperatorCalls(transport::Reactor& reactor, ConfigurationGroup& group,
                             std::uint64_t incarnation, Callbacks callbacks)
    : reactor_(reactor), group_(group), incarnation_(incarnation), callbacks_(std::move(callbacks)) {}

transport::Async<Result<std::string>> OperatorCalls::read() {
    http::Response answer = co_await call_leader("GET", "", "");
    if (answer.status != 200) co_return error(ErrorKind::kUnavailable, std::move(answer.body));
    co_return std::move(answer.body);
}

transport::Async<Result<void>> OperatorCalls::replace(std::int64_t if_match, std::string body) {
    http::Response answer = co_await call_leader("PUT", std::to_string(if_match), std::move(body));
    if (answer.status == 200) co_return boost::outcome_v2::success();
    const ErrorKind kind = answer.status == 412   ? ErrorKind::kVersionConflict
                           : answer.status == 400 ? ErrorKind::kInvalidInput
                                                  : ErrorKind::kUnavailable;
    co_return error(kind, std::move(answer.body));
}

transport::Async<http::Response>
OperatorCalls::execute_locally(const std::string& method, const std::string& if_match, std::string body) {
    if (method == "GET") {
        const Result<std::optional<std::string>> read = co_await group_.read();
        if (read.has_error()) co_return http::error_response(read.error());
        if (!read.value()) co_return no_configuration();
        co_return http::json_response(*read.value());
    }
    const auto version = read_if_match(if_match);
    if (version.has_error()) co_return http::error_response(version.error());
    co_return to_answer(co_await group_.replace(version.value(), std::move(body)));
}

// A reply of 503 from a former leader does not apply to the next one, so the call is retried there.
transport::Async<http::Response> OperatorCalls::call_leader(std::string method, std::string if_match,
                                                            std::string body) {
    const Ticks deadline = reactor_.now() + kCallTimeout;
    while (reactor_.now() < deadline) {
        http::Response answer = no_leader();
        const auto leader = group_.leader();
        if (group_.leads() || (method == "GET" && planted(PlantedFault::kReadUnconfirmed))) {
            answer = co_await execute_locally(method, if_match, body);
        } else if (leader && *leader != group_.self()) {
            feed::ForwardedCall call{{incarnation_, ++last_number_}, method, if_match, body};
            if (co_await forward(leader->value, std::move(call), deadline, answer) == Outcome::kTimedOut)
                break;
        }
        if (answer.status != 503) co_return answer;
        co_await wait_for_leader();
    }
    co_return no_leader();
}

transport::Async<transport::Done> OperatorCalls::wait_for_leader() {
    auto timer = std::make_shared<transport::Pending<bool>>(reactor_);
    co_await transport::Pending<bool>::wait(timer, reactor_.now() + kLeaderPollInterval);
    co_return transport::Done{};
}

transport::Async<OperatorCalls::Outcome> OperatorCalls::forward(std::uint64_t member,
                                                                feed::ForwardedCall call, Ticks deadline,
                                                                http::Response& answer) {
    const std::uint64_t number = call.id.number;
    auto pending = std::make_shared<transport::Pending<Outcome>>(reactor_);
    pending_calls_[number] = {member, pending, {}};
    if (!callbacks_.send_to_member(member, std::move(call))) pending->resolve(Outcome::kResend);
    const auto outcome = co_await transport::Pending<Outcome>::wait(pending, deadline);
    const auto entry = pending_calls_.find(number);
    if (outcome == Outcome::kAnswered) answer = std::move(entry->second.answer);
    pending_calls_.erase(entry);
    co_return outcome.value_or(Outcome::kTimedOut);
}

void OperatorCalls::handle_forwarded_answer(const model::ControlNode& peer, feed::ForwardedAnswer answer) {
    if (answer.id.incarnation != incarnation_ && !planted(PlantedFault::kAnswerOfFormerProcess)) {
        ++dropped_replies_.other_process;
        return;
    }
    const auto found = pending_calls_.find(answer.id.number);
    if (found == pending_calls_.end() || found->second.outcome->resolved()) {
        ++dropped_replies_.unsolicited;
        return;
    }
    if (found->second.member != peer.member) {
        ++dropped_replies_.other_peer;
        return;
    }
    PendingCall& call = found->second;
    call.answer = {static_cast<int>(answer.status), "", std::move(answer.body)};
    if (answer.status == 200) call.answer.fields = "Content-Type: application/json\r\n";
    call.outcome->resolve(Outcome::kAnswered);
}

void OperatorCalls::handle_forwarded_call(const model::ControlNode& peer, feed::ForwardedCall call) {
    reactor_.spawn(answer_forwarded(peer.address, std::move(call)));
}

transport::Task OperatorCalls::answer_forwarded(std::string peer, feed::ForwardedCall call) {
    const feed::RequestId id = call.id;
    const http::Response answer = co_await execute_locally(call.method, call.if_match, std::move(call.body));
    callbacks_.send(peer, feed::ForwardedAnswer{id, answer.status, answer.body});
}

void OperatorCalls::leader_changed() {
    const auto leader = group_.leader();
    for (auto& [number, call] : pending_calls_)
        if (!leader || leader->value != call.member) call.outcome->resolve(Outcome::kResend);
}

void OperatorCalls::peer_lost(std::uint64_t member) {
    for (auto& [number, call] : pending_calls_)
        if (call.member == member) call.outcome->resolve(Outcome::kResend);
}

} // namespace ivyrill::control
