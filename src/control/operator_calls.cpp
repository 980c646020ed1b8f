#include "control/operator_calls.hpp"

#include "base/planted_fault.hpp"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

namespace ivyrill::control {

namespace {

constexpr Tenths kPatience =
    9000;                      // for an answer, from whichever leaders: callers go elsewhere after a second
constexpr Tenths kPause = 200; // between two looks for a leader

http::Answer to_answer(const Result<void>& result) {
    return result.has_error() ? http::error_answer(result.error()) : http::json_answer("{}");
}

// Certain, and so not asked for again; callers are told 503 all the same.
http::Answer nothing_taken() {
    return {404, "", "no configuration was taken yet: send one by PUT /config\n"};
}

http::Answer no_owner() { return {503, "", "no node owns the configuration now: call again or elsewhere\n"}; }

} // namespace

Result<std::int64_t> read_if_match(std::string text) {
    std::erase(text, '"');
    std::int64_t version = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (failure != std::errc{} || end != text.data() + text.size() || text.empty())
        return error(ErrorKind::kInvalidInput,
                     "If-Match: not a version; name the one that is built on, 0 for the first");
    return version;
}

OperatorCalls::OperatorCalls(transport::Reactor& reactor, ConfigurationGroup& group,
                             std::uint64_t incarnation, Callbacks callbacks)
    : reactor_(reactor), group_(group), incarnation_(incarnation), callbacks_(std::move(callbacks)) {}

transport::Async<Result<std::string>> OperatorCalls::read() {
    http::Answer answer = co_await at_owner("GET", "", "");
    if (answer.status != 200) co_return error(ErrorKind::kUnavailable, std::move(answer.body));
    co_return std::move(answer.body);
}

transport::Async<Result<void>> OperatorCalls::replace(std::int64_t if_match, std::string body) {
    http::Answer answer = co_await at_owner("PUT", std::to_string(if_match), std::move(body));
    if (answer.status == 200) co_return boost::outcome_v2::success();
    const ErrorKind kind = answer.status == 412   ? ErrorKind::kVersionConflict
                           : answer.status == 400 ? ErrorKind::kInvalidInput
                                                  : ErrorKind::kUnavailable;
    co_return error(kind, std::move(answer.body));
}

transport::Async<http::Answer> OperatorCalls::decide_here(const std::string& method,
                                                          const std::string& if_match, std::string body) {
    if (method == "GET") {
        const Result<std::optional<std::string>> read = co_await group_.read();
        if (read.has_error()) co_return http::error_answer(read.error());
        if (!read.value()) co_return nothing_taken();
        co_return http::json_answer(*read.value());
    }
    const auto version = read_if_match(if_match);
    if (version.has_error()) co_return http::error_answer(version.error());
    co_return to_answer(co_await group_.replace(version.value(), std::move(body)));
}

// An answer of 503 by a node that no longer leads says nothing of the next one: the call goes on to that.
transport::Async<http::Answer> OperatorCalls::at_owner(std::string method, std::string if_match,
                                                       std::string body) {
    const Tenths until = reactor_.now() + kPatience;
    while (reactor_.now() < until) {
        http::Answer answer = no_owner();
        const auto leader = group_.leader();
        if (group_.leads() || (method == "GET" && planted(PlantedFault::kReadUnconfirmed))) {
            answer = co_await decide_here(method, if_match, body);
        } else if (leader && *leader != group_.self()) {
            feed::ForwardedCall call{{incarnation_, ++count_}, method, if_match, body};
            if (co_await ask(leader->value, std::move(call), until, answer) == Outcome::kTooLate) break;
        }
        if (answer.status != 503) co_return answer;
        co_await pause();
    }
    co_return no_owner();
}

transport::Async<transport::Done> OperatorCalls::pause() {
    auto nothing = std::make_shared<transport::Pending<bool>>(reactor_);
    co_await transport::Pending<bool>::wait(nothing, reactor_.now() + kPause);
    co_return transport::Done{};
}

transport::Async<OperatorCalls::Outcome> OperatorCalls::ask(std::uint64_t member, feed::ForwardedCall call,
                                                            Tenths until, http::Answer& answer) {
    const std::uint64_t number = call.id.number;
    auto pending = std::make_shared<transport::Pending<Outcome>>(reactor_);
    waiting_[number] = {member, pending, {}};
    if (!callbacks_.send_to_member(member, std::move(call))) pending->resolve(Outcome::kSendAnew);
    const auto outcome = co_await transport::Pending<Outcome>::wait(pending, until);
    const auto here = waiting_.find(number);
    if (outcome == Outcome::kAnswered) answer = std::move(here->second.answer);
    waiting_.erase(here);
    co_return outcome.value_or(Outcome::kTooLate);
}

void OperatorCalls::handle_forwarded_answer(const model::ControlNode& peer, feed::ForwardedAnswer answer) {
    if (answer.id.incarnation != incarnation_ && !planted(PlantedFault::kAnswerOfFormerProcess)) {
        ++dropped_replies_.other_process;
        return;
    }
    const auto asked = waiting_.find(answer.id.number);
    if (asked == waiting_.end() || asked->second.outcome->resolved()) {
        ++dropped_replies_.unasked;
        return;
    }
    if (asked->second.member != peer.member) {
        ++dropped_replies_.other_peer;
        return;
    }
    Waiting& waiting = asked->second;
    waiting.answer = {static_cast<int>(answer.status), "", std::move(answer.body)};
    if (answer.status == 200) waiting.answer.fields = "Content-Type: application/json\r\n";
    waiting.outcome->resolve(Outcome::kAnswered);
}

void OperatorCalls::handle_forwarded_call(const model::ControlNode& peer, feed::ForwardedCall call) {
    reactor_.spawn(answer_forwarded(peer.address, std::move(call)));
}

transport::Task OperatorCalls::answer_forwarded(std::string peer, feed::ForwardedCall call) {
    const feed::CallId id = call.id;
    const http::Answer answer = co_await decide_here(call.method, call.if_match, std::move(call.body));
    callbacks_.send(peer, feed::ForwardedAnswer{id, answer.status, answer.body});
}

void OperatorCalls::leader_changed() {
    const auto leader = group_.leader();
    for (auto& [number, waiting] : waiting_)
        if (!leader || leader->value != waiting.member) waiting.outcome->resolve(Outcome::kSendAnew);
}

void OperatorCalls::peer_lost(std::uint64_t member) {
    for (auto& [number, waiting] : waiting_)
        if (waiting.member == member) waiting.outcome->resolve(Outcome::kSendAnew);
}

} // namespace ivyrill::control
