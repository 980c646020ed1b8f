// Of an exchange: one call to one server, up to the head of its answer.
#include "proxy/exchange.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ivyrill::proxy {

using replica_selection::Work;

namespace {

constexpr double kSilentShare = 0.6;   // of the latency target without a word, before another server is asked
constexpr Tenths kSilentResponses = 4; // ... and expected responses
constexpr Tenths kIdleForOnce = 20'000; // a connection that rested for longer may be forgotten without a word
constexpr Tenths kIdleForRepeat = 60'000; // ... which costs nothing where the request may be sent again

// `timeout=N`, whole seconds.
Tenths idle_bound(std::string_view keep_alive) {
    const std::size_t at = keep_alive.find("timeout=");
    if (at == std::string_view::npos) return 0;
    const std::string_view text = keep_alive.substr(at + 8);
    std::int64_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::max<Tenths>(seconds * kTenthsPerSecond, 1);
}

} // namespace

transport::Async<bool> Exchange::connect(const std::string& instance, const model::Instance& record) {
    const bool repeatable = route_->idempotent();
    connection_ = context_.connections.take_idle(instance, repeatable ? kIdleForRepeat : kIdleForOnce);
    if (connection_) {
        connection_->stream().also_wake(&wake_);
        co_return true;
    }
    connection_ = context_.connections.open(record.address);
    ++context_.counters.connections;
    if (!connection_) co_return false;
    connection_->stream().also_wake(&wake_);
    const Tenths began = now();
    const Tenths until =
        std::min(deadline_, began + context_.connect_patience.patience(profile_.latency_target));
    while (!connection_->stream().up()) {
        if (connection_->stream().ended() || client_gone()) co_return false;
        if (now() >= until) {
            context_.connect_patience.gave_up();
            co_return false;
        }
        co_await wait(until);
    }
    context_.connect_patience.came_up(now() - began);
    co_return true;
}

transport::Async<Exchange::CallEnd> Exchange::call(const std::string& instance, Work work,
                                                   Forwarding forwarding,
                                                   std::optional<double> tokens_to_prefill, bool may_leave) {
    end_call(false);
    const model::Instance* record = context_.selector.instance(instance);
    if (record == nullptr) co_return CallEnd::kNotSent;
    instance_ = instance;
    if (!co_await connect(instance, *record)) {
        end_call(false);
        if (client_gone()) co_return CallEnd::kClientGone;
        if (now() >= deadline_) co_return CallEnd::kOutOfTime;
        context_.selector.unreachable(instance, now());
        co_return CallEnd::kNotSent;
    }
    // While the connection came up the server may have asked for no more.
    record = context_.selector.instance(instance);
    if (record == nullptr || !record->is_routable()) {
        end_call(false);
        co_return CallEnd::kNotSent;
    }
    identify_caller();
    if (caller_.admission != Admission::kAdmitted) {
        end_call(false);
        co_return CallEnd::kKeyWithdrawn;
    }
    const model::Tenant* tenant = caller_.tenant;
    told_tenant_ = tenant != nullptr ? tenant->name : "";
    forwarding.tenant = told_tenant_;
    forwarding.target_instance = instance;
    forwarding.time_left = deadline_ - now();
    forwarding.priority = priority_of(*route_, tenant);
    forwarding.tells_priority = work != Work::kUnstaged;
    if (!connection_->stream().send(server_request(request_, forwarding))) {
        end_call(false);
        co_return CallEnd::kNotSent;
    }
    attempt_ = context_.selector.sent(instance, profile_, work, tokens_to_prefill, now());
    attempt_out_ = true, attempt_runs_ = work != Work::kPrefillOnly;
    if (work != Work::kPrefillOnly) ++sends_, sent_to_.insert(instance);
    const CallEnd end = co_await await_head(may_leave);
    if (end == CallEnd::kAnswer) {
        context_.selector.answered(attempt_, now());
        co_return end;
    }
    if (end == CallEnd::kMisdirected) {
        // It never came to the server that was meant, which counts as none that it was sent to.
        context_.selector.misdirected(instance, now());
        sent_to_.erase(instance);
        end_call(false);
    } else if (end == CallEnd::kNotRun) {
        if (forwarding.kv_from.empty()) context_.selector.rejected(attempt_, now());
        // Its connection is sound where the answer is whole.
        const bool whole = connection_->parser().complete();
        end_call(whole);
    } else {
        if (end == CallEnd::kBroken) context_.selector.failed(attempt_, now());
        end_call(false);
    }
    co_return end;
}

Tenths Exchange::silent_at() const {
    const Tenths patience =
        std::max(static_cast<Tenths>(kSilentShare * static_cast<double>(profile_.latency_target)),
                 kSilentResponses * context_.selector.expected_response(attempt_));
    return context_.selector.last_activity(attempt_) + patience;
}

transport::Async<Exchange::CallEnd> Exchange::await_head(bool may_leave) {
    bool asked = false; // whether the budget allows to leave: asked once
    for (;;) {
        connection_->read();
        protocol::HttpParser& parser = connection_->parser();
        if (parser.broken() != 0) co_return CallEnd::kBroken;
        if (parser.head_complete()) {
            const protocol::HttpMessage& head = parser.message();
            const bool interim = head.status < 200;
            const std::string_view id = head.header("attempt-id");
            const bool stray = !id.empty() && id != request_.attempt_id;
            if (!interim && !stray) co_return judge_head();
            // Another request's answer that came late, or an interim one: read whole and passed over.
            parser.take_body();
            if (parser.complete()) {
                if (stray) ++context_.counters.stray_answers;
                parser.take();
                continue;
            }
        }
        if (connection_->stream().ended()) co_return CallEnd::kBroken;
        if (client_gone()) co_return CallEnd::kClientGone;
        if (now() >= deadline_) co_return CallEnd::kOutOfTime;
        // A server that answers others is slow, not silent, and is waited for.
        if (may_leave && !asked && now() >= silent_at()) {
            asked = true;
            if (leave_is_allowed()) co_return CallEnd::kSilent;
        }
        co_await wait(may_leave && !asked ? std::min(silent_at(), deadline_) : deadline_);
    }
}

Exchange::CallEnd Exchange::judge_head() {
    answer_ = connection_->parser().message();
    answer_.body.clear();
    connection_->idle_bound = idle_bound(answer_.header("keep-alive"));
    if (answer_.status == 421) return CallEnd::kMisdirected;
    const bool says_not_run = answer_.times("not-run") > 0;
    if (says_not_run && answer_.status >= 400) return CallEnd::kNotRun;
    const bool success = answer_.status >= 200 && answer_.status < 300;
    // A success without the server's stamp, or with another's id, is not its answer.
    const bool ours = answer_.header("attempt-id") == request_.attempt_id;
    if (success && !ours) return CallEnd::kBroken;
    return CallEnd::kAnswer;
}

transport::Async<bool> Exchange::await_whole_answer(Tenths until) {
    for (;;) {
        connection_->read();
        if (connection_->parser().complete()) co_return true;
        if (connection_->parser().broken() != 0 || connection_->stream().ended()) co_return false;
        if (client_gone() || now() >= until) co_return false;
        co_await wait(until);
    }
}

// The connection goes back to the others where the answer was whole and nothing of the request is unsent.
void Exchange::end_call(bool reusable) {
    if (attempt_out_) context_.selector.ended(attempt_, now());
    attempt_out_ = false;
    if (!connection_) return;
    const bool whole = reusable && connection_->parser().complete();
    const bool closes = whole && connection_->parser().message().close;
    if (whole) connection_->parser().take();
    if (whole && !closes)
        context_.connections.give_back(instance_, std::move(connection_));
    else
        context_.connections.discard(std::move(connection_));
    connection_.reset();
}

} // namespace ivyrill::proxy
