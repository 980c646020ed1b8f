// Exchange: relays the server's answer to the client.
#include "proxy/exchange.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::proxy {

namespace {

constexpr std::size_t kMaxBuffered =
    256 * 1024; // of an answer that is not streamed, while it may still be retried elsewhere
constexpr std::size_t kMinClientBuffer =
    64 * 1024; // free buffer space that a slow client must leave before more is read

bool implies_not_run(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

} // namespace

transport::Async<bool> Exchange::await_client_room(std::size_t bytes) {
    while (client_.room() < bytes) {
        if (client_gone() || now() >= deadline_) co_return false;
        co_await wait(deadline_);
    }
    co_return true;
}

transport::Async<Exchange::RelayResult> Exchange::relay() {
    const bool success = answer_.status >= 200 && answer_.status < 300;
    may_have_run_ = true;
    if (success && answer_.header("server-seal").empty()) {
        finish_call(false);
        co_return RelayResult::kIncomplete;
    }
    // These statuses would tell the client that the request has not run, but the server has not confirmed it.
    if (implies_not_run(answer_.status) && !route_->idempotent()) {
        finish_call(false);
        co_return RelayResult::kIncomplete;
    }
    if (head_sent_ && !success) { // a stream to be resumed elsewhere
        finish_call(false);
        co_return RelayResult::kIncomplete;
    }
    const bool streams = success && route_->kind == model::RouteKind::kStreaming;
    if (success && !streams) count_started();
    const RelayResult end = streams ? co_await relay_events() : co_await relay_body();
    finish_call(end == RelayResult::kComplete);
    if (end == RelayResult::kComplete) ++context_.counters.served;
    co_return end;
}

void Exchange::count_started() {
    if (!std::exchange(counted_, true)) context_.usage.count_started(sent_tenant_, now());
}

transport::Async<Exchange::RelayResult> Exchange::relay_events() {
    protocol::HttpParser& parser = connection_->parser();
    events_ = http::EventStreamSplitter(1024 * 1024);
    for (;;) {
        connection_->read();
        if (events_.feed(parser.take_body()).has_error()) co_return RelayResult::kIncomplete;
        const bool until_close = parser.ends_with_connection() && connection_->stream().ended();
        const bool complete = parser.complete() || (until_close && !connection_->stream().was_reset());
        std::string whole = events_.take_complete();
        if (!whole.empty()) {
            count_started();
            if (!events_.last_id().empty()) last_event_id_ = events_.last_id();
            if (!std::exchange(head_sent_, true)) client_.send(answer_head(answer_, std::nullopt, close_));
            if (!client_.send(chunk(whole))) co_return RelayResult::kClientGone;
        }
        if (complete && !events_.partial()) {
            if (!std::exchange(head_sent_, true)) client_.send(answer_head(answer_, std::nullopt, close_));
            client_.send(kLastChunk);
            co_return RelayResult::kComplete;
        }
        if (complete || parser.broken() != 0 || connection_->stream().ended())
            co_return RelayResult::kIncomplete;
        if (client_gone()) co_return RelayResult::kClientGone;
        if (now() >= deadline_) co_return RelayResult::kDeadlineExceeded;
        if (client_.room() < kMinClientBuffer && !co_await await_client_room(kMinClientBuffer))
            co_return RelayResult::kClientGone;
        co_await wait(deadline_);
    }
}

transport::Async<Exchange::RelayResult> Exchange::relay_body() {
    protocol::HttpParser& parser = connection_->parser();
    std::string held;
    for (;;) {
        connection_->read();
        held += parser.take_body();
        const bool until_close = parser.ends_with_connection() && connection_->stream().ended();
        const bool complete = parser.complete() || (until_close && !connection_->stream().was_reset());
        if (complete) {
            if (!std::exchange(head_sent_, true)) {
                if (!co_await await_client_room(held.size() + kMinClientBuffer))
                    co_return RelayResult::kClientGone;
                client_.send(answer_head(answer_, held.size(), close_));
                client_.send(held);
            } else {
                if (!held.empty()) client_.send(chunk(held));
                client_.send(kLastChunk);
            }
            co_return RelayResult::kComplete;
        }
        if (held.size() > kMaxBuffered) {
            if (!std::exchange(head_sent_, true)) client_.send(answer_head(answer_, std::nullopt, close_));
            if (!co_await await_client_room(held.size() + kMinClientBuffer))
                co_return RelayResult::kClientGone;
            client_.send(chunk(std::exchange(held, {})));
        }
        if (parser.broken() != 0 || connection_->stream().ended()) co_return RelayResult::kIncomplete;
        if (client_gone()) co_return RelayResult::kClientGone;
        if (now() >= deadline_) co_return RelayResult::kDeadlineExceeded;
        co_await wait(deadline_);
    }
}

} // namespace ivyrill::proxy
