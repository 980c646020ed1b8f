// Of an exchange: the server's answer on its way to the client.
#include "proxy/exchange.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::proxy {

namespace {

constexpr std::size_t kHeldBack = 256 * 1024;  // of a plain answer, while it may still be asked for elsewhere
constexpr std::size_t kClientRoom = 64 * 1024; // that a slow client must leave before more is read for it

bool promises_not_run(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

} // namespace

transport::Async<bool> Exchange::await_client_room(std::size_t bytes) {
    while (client_.room() < bytes) {
        if (client_gone() || now() >= deadline_) co_return false;
        co_await wait(deadline_);
    }
    co_return true;
}

transport::Async<Exchange::RelayEnd> Exchange::relay() {
    const bool success = answer_.status >= 200 && answer_.status < 300;
    may_have_run_ = true;
    if (success && answer_.header("server-seal").empty()) {
        end_call(false);
        co_return RelayEnd::kCutOff;
    }
    // These statuses promise that the request has not run; the server has not said so.
    if (promises_not_run(answer_.status) && !route_->idempotent()) {
        end_call(false);
        co_return RelayEnd::kCutOff;
    }
    if (head_sent_ && !success) { // a stream that was to go on elsewhere
        end_call(false);
        co_return RelayEnd::kCutOff;
    }
    const bool streams = success && route_->kind == model::RouteKind::kStreaming;
    if (success && !streams) count_begun();
    const RelayEnd end = streams ? co_await relay_events() : co_await relay_body();
    end_call(end == RelayEnd::kComplete);
    if (end == RelayEnd::kComplete) ++context_.counters.served;
    co_return end;
}

void Exchange::count_begun() {
    if (!std::exchange(counted_, true)) context_.usage.began(told_tenant_, now());
}

transport::Async<Exchange::RelayEnd> Exchange::relay_events() {
    protocol::HttpParser& parser = connection_->parser();
    events_ = http::EventStreamSplitter(1024 * 1024);
    for (;;) {
        connection_->read();
        if (events_.feed(parser.take_body()).has_error()) co_return RelayEnd::kCutOff;
        const bool to_end = parser.ends_with_connection() && connection_->stream().ended();
        const bool complete = parser.complete() || (to_end && !connection_->stream().was_reset());
        std::string whole = events_.take_whole();
        if (!whole.empty()) {
            count_begun();
            if (!events_.last_id().empty()) last_event_id_ = events_.last_id();
            if (!std::exchange(head_sent_, true)) client_.send(answer_head(answer_, std::nullopt, close_));
            if (!client_.send(chunk(whole))) co_return RelayEnd::kClientGone;
        }
        if (complete && !events_.partial()) {
            if (!std::exchange(head_sent_, true)) client_.send(answer_head(answer_, std::nullopt, close_));
            client_.send(kLastChunk);
            co_return RelayEnd::kComplete;
        }
        if (complete || parser.broken() != 0 || connection_->stream().ended()) co_return RelayEnd::kCutOff;
        if (client_gone()) co_return RelayEnd::kClientGone;
        if (now() >= deadline_) co_return RelayEnd::kOutOfTime;
        if (client_.room() < kClientRoom && !co_await await_client_room(kClientRoom))
            co_return RelayEnd::kClientGone;
        co_await wait(deadline_);
    }
}

transport::Async<Exchange::RelayEnd> Exchange::relay_body() {
    protocol::HttpParser& parser = connection_->parser();
    std::string held;
    for (;;) {
        connection_->read();
        held += parser.take_body();
        const bool to_end = parser.ends_with_connection() && connection_->stream().ended();
        const bool complete = parser.complete() || (to_end && !connection_->stream().was_reset());
        if (complete) {
            if (!std::exchange(head_sent_, true)) {
                if (!co_await await_client_room(held.size() + kClientRoom)) co_return RelayEnd::kClientGone;
                client_.send(answer_head(answer_, held.size(), close_));
                client_.send(held);
            } else {
                if (!held.empty()) client_.send(chunk(held));
                client_.send(kLastChunk);
            }
            co_return RelayEnd::kComplete;
        }
        if (held.size() > kHeldBack) {
            if (!std::exchange(head_sent_, true)) client_.send(answer_head(answer_, std::nullopt, close_));
            if (!co_await await_client_room(held.size() + kClientRoom)) co_return RelayEnd::kClientGone;
            client_.send(chunk(std::exchange(held, {})));
        }
        if (parser.broken() != 0 || connection_->stream().ended()) co_return RelayEnd::kCutOff;
        if (client_gone()) co_return RelayEnd::kClientGone;
        if (now() >= deadline_) co_return RelayEnd::kOutOfTime;
        co_await wait(deadline_);
    }
}

} // namespace ivyrill::proxy
