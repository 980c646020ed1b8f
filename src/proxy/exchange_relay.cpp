// Exchange: relays the server's answer to the client.
#include "proxy/exchange.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::proxy {

namespace {

// Of an answer that is not streamed, while it may still be retried elsewhere; and of any answer, while it
// waits for its client.
constexpr std::size_t kMaxBuffered = 256 * 1024;
constexpr std::size_t kMaxBufferedShortOfRoom = 16 * 1024;

constexpr std::size_t kMaxEventBytes = 1024 * 1024;
constexpr Ticks kRoomCheckInterval = kTicksPerSecond / 2; // while a client is awaited

bool implies_not_run(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

} // namespace

std::size_t Exchange::max_unwritten() const {
    return context_.buffers.is_below_watermark() ? kMaxBuffered : kMaxBufferedShortOfRoom;
}

transport::Async<bool> Exchange::await_client() {
    while (client_.unwritten() > max_unwritten()) {
        if (client_gone() || now() >= deadline_) co_return false;
        if (!context_.buffers.is_below_watermark()) context_.buffers.shed_stalled(now());
        co_await wait(std::min(deadline_, now() + kRoomCheckInterval));
    }
    co_return !client_gone();
}

Exchange::RelayResult Exchange::client_gone_or_late() const {
    return client_gone() ? RelayResult::kClientGone : RelayResult::kDeadlineExceeded;
}

bool Exchange::send_head(std::optional<std::size_t> length) {
    return std::exchange(head_sent_, true) || client_.send(answer_head(answer_, length, close_));
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

// Each turn reads from the server, passes on and only then waits: whatever woke it, nothing stays unread.
transport::Async<Exchange::RelayResult> Exchange::relay_events() {
    protocol::HttpParser& parser = connection_->parser();
    events_ = http::EventStreamSplitter(kMaxEventBytes);
    for (;;) {
        if (!co_await await_client()) co_return client_gone_or_late();
        connection_->read();
        if (events_.feed(parser.take_body()).has_error()) co_return RelayResult::kIncomplete;
        const bool until_close = parser.ends_with_connection() && connection_->stream().ended();
        const bool complete = parser.complete() || (until_close && !connection_->stream().was_reset());
        const std::string whole = events_.take_complete();
        if (!whole.empty()) {
            count_started();
            if (!events_.last_id().empty()) last_event_id_ = events_.last_id();
            if (!send_head(std::nullopt) || !client_.send(chunk(whole))) co_return RelayResult::kClientGone;
        }
        if (complete && !events_.partial()) {
            if (!send_head(std::nullopt) || !client_.send(kLastChunk)) co_return RelayResult::kClientGone;
            co_return RelayResult::kComplete;
        }
        if (complete || parser.broken() != 0 || connection_->stream().ended())
            co_return RelayResult::kIncomplete;
        if (client_gone() || now() >= deadline_) co_return client_gone_or_late();
        co_await wait(deadline_);
    }
}

transport::Async<Exchange::RelayResult> Exchange::relay_body() {
    protocol::HttpParser& parser = connection_->parser();
    held_.clear();
    for (;;) {
        connection_->read();
        held_ += parser.take_body();
        const bool until_close = parser.ends_with_connection() && connection_->stream().ended();
        const bool complete = parser.complete() || (until_close && !connection_->stream().was_reset());
        if (complete || held_.size() > max_unwritten()) {
            if (!co_await await_client()) co_return client_gone_or_late();
            if (!pass_on_held(complete)) co_return RelayResult::kClientGone;
            if (complete) co_return RelayResult::kComplete;
            continue; // more may have come while the client was awaited
        }
        if (parser.broken() != 0 || connection_->stream().ended()) co_return RelayResult::kIncomplete;
        if (client_gone() || now() >= deadline_) co_return client_gone_or_late();
        co_await wait(deadline_);
    }
}

bool Exchange::pass_on_held(bool is_last) {
    const std::string part = std::exchange(held_, {});
    if (is_last && !head_sent_) return send_head(part.size()) && client_.send(part);
    if (!send_head(std::nullopt)) return false;
    if (!part.empty() && !client_.send(chunk(part))) return false;
    return !is_last || client_.send(kLastChunk);
}

} // namespace ivyrill::proxy
