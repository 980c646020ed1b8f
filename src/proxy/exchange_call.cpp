// Exchange: one call to one server, up to the head of its answer.
#include "proxy/exchange.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ivyrill::proxy {

using replica_selection::Work;

namespace {

constexpr double kSilenceShare = 0.6;  // of the latency target: silence before another server is tried
constexpr Ticks kSilenceResponses = 4; // ... and in expected response times
constexpr Ticks kMaxIdleNonIdempotent = 20'000; // a connection idle for longer may have been dropped silently
constexpr Ticks kMaxIdleIdempotent = 60'000;    // ... which is harmless if the request may be sent again

// Parses `timeout=N`, whole seconds.
Ticks server_idle_timeout(std::string_view keep_alive) {
    const std::size_t at = keep_alive.find("timeout=");
    if (at == std::string_view::npos) return 0;
    const std::string_view text = keep_alive.substr(at + 8);
    std::int64_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::max<Ticks>(seconds * kTicksPerSecond, 1);
}

} // namespace

transport::Async<bool> Exchange::connect(const std::string& instance, const model::Instance& record) {
    const bool repeatable = route_->idempotent();
    // All sends of a request have the same attempt id, so that on one connection a late copy of an answer
    // could not be told from the answer to the next send.
    connection_ = context_.connections.take_idle(
        instance, repeatable ? kMaxIdleIdempotent : kMaxIdleNonIdempotent, used_connections_);
    if (connection_) {
        connection_->stream().also_wake(&wake_);
        co_return true;
    }
    connection_ = context_.connections.open(record.address);
    ++context_.counters.connections;
    if (!connection_) co_return false;
    connection_->stream().also_wake(&wake_);
    const Ticks began = now();
    const Ticks until =
        std::min(deadline_, began + context_.connect_timeout.timeout(profile_.latency_target));
    while (!connection_->stream().established()) {
        if (connection_->stream().ended() || client_gone()) co_return false;
        if (now() >= until) {
            context_.connect_timeout.timed_out();
            co_return false;
        }
        co_await wait(until);
    }
    context_.connect_timeout.connected(now() - began);
    co_return true;
}

transport::Async<Exchange::CallResult> Exchange::call(const std::string& instance, Work work,
                                                      Forwarding forwarding,
                                                      std::optional<double> tokens_to_prefill,
                                                      bool may_abandon) {
    finish_call(false);
    const model::Instance* record = context_.selector.instance(instance);
    if (record == nullptr) co_return CallResult::kNotSent;
    instance_ = instance;
    if (!co_await connect(instance, *record)) {
        finish_call(false);
        if (client_gone()) co_return CallResult::kClientGone;
        if (now() >= deadline_) co_return CallResult::kDeadlineExceeded;
        context_.selector.unreachable(instance, now());
        co_return CallResult::kNotSent;
    }
    // The server may have started to drain during the connect.
    record = context_.selector.instance(instance);
    if (record == nullptr || !record->is_routable()) {
        finish_call(false);
        co_return CallResult::kNotSent;
    }
    identify_caller();
    if (caller_.admission != Admission::kAdmitted) {
        finish_call(false);
        co_return CallResult::kKeyRevoked;
    }
    const model::Tenant* tenant = caller_.tenant;
    sent_tenant_ = tenant != nullptr ? tenant->name : "";
    forwarding.tenant = sent_tenant_;
    forwarding.target_instance = instance;
    forwarding.time_left = deadline_ - now();
    forwarding.priority = priority_of(*route_, tenant);
    forwarding.sends_priority = work != Work::kUnstaged;
    used_connections_.insert(connection_->number);
    if (!connection_->stream().send(server_request(request_, forwarding))) {
        finish_call(false);
        co_return CallResult::kNotSent;
    }
    attempt_ = context_.selector.sent(instance, profile_, work, tokens_to_prefill, now());
    attempt_open_ = true, attempt_decodes_ = work != Work::kPrefillOnly;
    if (work != Work::kPrefillOnly) ++sends_, sent_to_.insert(instance);
    const CallResult end = co_await await_head(may_abandon);
    record_statement(end);
    if (end == CallResult::kAnswer) {
        context_.selector.answered(attempt_, now());
        co_return end;
    }
    if (end == CallResult::kMisdirected) {
        // It never reached the intended server, which does not count as one it was sent to.
        context_.selector.misdirected(instance, now());
        sent_to_.erase(instance);
        finish_call(false);
    } else if (end == CallResult::kNotRun) {
        if (forwarding.kv_from.empty()) context_.selector.rejected(attempt_, now());
        // The connection can be reused if the answer is complete.
        const bool whole = connection_->parser().complete();
        finish_call(whole);
    } else {
        if (end == CallResult::kLost) context_.selector.failed(attempt_, now());
        finish_call(false);
    }
    co_return end;
}

void Exchange::record_statement(CallResult end) {
    if (end == CallResult::kMisdirected) ++context_.counters.misdirected;
    if (end == CallResult::kNotRun) ++context_.counters.not_run;
    if (end == CallResult::kMisdirected || end == CallResult::kNotRun)
        not_run_statement_ = NotRunStatement{instance_, answer_.status, connection_->uses};
}

Ticks Exchange::silence_deadline() const {
    const Ticks patience =
        std::max(static_cast<Ticks>(kSilenceShare * static_cast<double>(profile_.latency_target)),
                 kSilenceResponses * context_.selector.expected_response(attempt_));
    return context_.selector.last_activity(attempt_) + patience;
}

transport::Async<Exchange::CallResult> Exchange::await_head(bool may_abandon) {
    bool checked = false; // whether abandoning was checked; checked once
    for (;;) {
        connection_->read();
        protocol::HttpParser& parser = connection_->parser();
        if (parser.broken() != 0) co_return CallResult::kLost;
        if (parser.head_complete()) {
            const protocol::HttpMessage& head = parser.message();
            const bool interim = head.status < 200;
            const std::string_view id = head.header("attempt-id");
            const bool stray = !id.empty() && id != request_.attempt_id;
            if (!interim && !stray) co_return classify_head();
            // A late answer to another request, or an interim one: read completely and ignored.
            parser.take_body();
            if (parser.complete()) {
                if (stray) ++context_.counters.stray_answers;
                parser.take();
                continue;
            }
        }
        if (connection_->stream().ended()) co_return CallResult::kLost;
        if (client_gone()) co_return CallResult::kClientGone;
        if (now() >= deadline_) co_return CallResult::kDeadlineExceeded;
        // A server that answers other requests is slow, not silent: keeps waiting.
        if (may_abandon && !checked && now() >= silence_deadline()) {
            checked = true;
            if (may_abandon_attempt()) co_return CallResult::kSilent;
        }
        co_await wait(may_abandon && !checked ? std::min(silence_deadline(), deadline_) : deadline_);
    }
}

Exchange::CallResult Exchange::classify_head() {
    answer_ = connection_->parser().message();
    answer_.body.clear();
    connection_->server_idle_timeout = server_idle_timeout(answer_.header("keep-alive"));
    // An answer without the attempt id may belong to another request: it tells nothing about this one.
    if (answer_.header("attempt-id") != request_.attempt_id) return CallResult::kLost;
    if (answer_.status == 421) return CallResult::kMisdirected;
    const bool says_not_run = answer_.header_count("not-run") > 0;
    return says_not_run && answer_.status >= 400 ? CallResult::kNotRun : CallResult::kAnswer;
}

transport::Async<bool> Exchange::await_whole_answer(Ticks until) {
    for (;;) {
        connection_->read();
        if (connection_->parser().complete()) co_return true;
        if (connection_->parser().broken() != 0 || connection_->stream().ended()) co_return false;
        if (client_gone() || now() >= until) co_return false;
        co_await wait(until);
    }
}

// Returns the connection to the pool if the answer is complete and the request was sent completely.
void Exchange::finish_call(bool reusable) {
    if (attempt_open_) context_.selector.ended(attempt_, now());
    attempt_open_ = false;
    if (!connection_) return;
    const bool whole = reusable && connection_->parser().complete();
    const bool closes = whole && connection_->parser().message().close;
    if (whole) connection_->parser().take();
    if (whole && !closes)
        context_.connections.release(instance_, std::move(connection_));
    else
        context_.connections.discard(std::move(connection_));
    connection_.reset();
}

} // namespace ivyrill::proxy
