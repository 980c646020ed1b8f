#include "proxy/exchange.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace ivyrill::proxy {

using replica_selection::Work;

namespace {

constexpr Ticks kMinRetryAfter = 500; // 50 ms: minimum for a rejected client
constexpr Ticks kNoServerRetryAfter = 3000;
constexpr Ticks kNoRoomRetryAfter = 5000;
// That a request is charged at least: what the buffers of both its connections may grow to before more room
// is asked for.
constexpr std::size_t kMinExchangeBytes = 96 * 1024;
constexpr int kMaxUnreachable = 6; // failed connects before giving up
constexpr Ticks kTicksPerMs = kTicksPerSecond / 1000;

} // namespace

Exchange::Exchange(Context& context, transport::Stream& client, transport::Slot& wake,
                   limits::BufferBudget::Account& account, ClientRequest request, bool close)
    : context_(context), client_(client), wake_(wake), account_(account), request_(std::move(request)),
      close_(close), events_(0) {}

Exchange::~Exchange() {
    set_answering(false);
    finish_call(false);
    release_handle();
}

void Exchange::update_account() {
    std::size_t bytes = client_.buffered_bytes() + request_.message.body.capacity() +
                        events_.buffered_bytes() + held_.capacity();
    if (connection_) bytes += connection_->buffered_bytes();
    using limits::BufferPhase;
    account_.enter(client_.unwritten() > 0 ? BufferPhase::kSending : BufferPhase::kServing, now());
    account_.record_transferred(client_.transferred_bytes(), now());
    account_.set_held(std::max(bytes, kMinExchangeBytes));
}

transport::Async<transport::Done> Exchange::wait(Ticks until) {
    update_account();
    const transport::WakeAt timer(context_.reactor, until, wake_);
    co_await wake_;
    co_return transport::Done{};
}

transport::Async<ExchangeResult> Exchange::run() {
    ++context_.counters.requests;
    routes_ = context_.routes;
    if (!routes_) co_return reject(kNoServerRetryAfter, "no configuration yet");
    route_ = routes_->find(request_.message.header("host"), request_.message.target);
    if (route_ == nullptr) {
        ++context_.counters.no_route;
        co_return send_own_answer(404, "", "no route");
    }
    identify_caller();
    if (caller_.admission != Admission::kAdmitted) co_return refuse_caller();
    const auto service = routes_->choose_service(*route_, context_.random.unit());
    service_ = service ? routes_->service(*service) : nullptr;
    if (service_ == nullptr) co_return reject(kNoServerRetryAfter, "the route has no service");
    profile_ = {*service, request_.model, request_.prompt, request_.output_tokens,
                route_->latency_target_ms * kTicksPerMs};
    deadline_ = request_.received + route_->timeout_ms * kTicksPerMs;
    if (request_.client_deadline) deadline_ = std::min(deadline_, *request_.client_deadline);
    last_event_id_ = request_.last_event_id;
    if (may_outlast_shutdown()) {
        ++context_.counters.too_long_to_end;
        co_return reject(kMinRetryAfter, "this node is shutting down before the answer could end");
    }
    if (!context_.buffers.has_room(kMinExchangeBytes)) {
        ++context_.counters.no_room;
        context_.buffers.shed_stalled(now());
        co_return reject(kNoRoomRetryAfter, "too much is buffered for other requests");
    }
    update_account();
    budget().count_request(now());
    if (service_->engine)
        context_.demand.count_request(service_->name, context_.selector.kv_transfer_time(profile_));
    co_return co_await serve();
}

void Exchange::identify_caller() {
    if (identified_by_ == context_.routes) return;
    // Route and keys of one version: a change of both must not refuse what either version allows. Where the
    // route has been removed since, the version that had it decides.
    const model::Route* route =
        context_.routes->find(request_.message.header("host"), request_.message.target);
    if (route == nullptr) return;
    identified_by_ = context_.routes;
    caller_ = caller_of(request_.message, *route, identified_by_->tenants());
}

ExchangeResult Exchange::refuse_caller() {
    const bool is_missing = caller_.admission == Admission::kKeyMissing;
    ++(is_missing ? context_.counters.key_missing : context_.counters.key_unknown);
    if (head_sent_ || may_have_run_) return fail(502, "the key was revoked");
    return send_own_answer(401, "www-authenticate: Api-Key\r\n", is_missing ? "no key" : "unknown key");
}

void Exchange::set_answering(bool answering) {
    if (std::exchange(answering_, answering) == answering) return;
    if (answering)
        context_.demand.answer_started(service_->name, now());
    else
        context_.demand.answer_ended(service_->name, now());
}

// A stream that this process would have to cut off at shutdown is rejected before it runs, so that the client
// can retry elsewhere. Only its deadline bounds its duration: the maximum token count that clients state is
// hardly ever reached, and soon after a start the durations seen are only those of short streams.
bool Exchange::may_outlast_shutdown() const {
    const bool streams = route_->kind == model::RouteKind::kStreaming;
    return context_.shutting_down && streams && deadline_ > context_.shutdown_deadline;
}

transport::Async<ExchangeResult> Exchange::serve() {
    for (;;) {
        if (client_gone()) {
            ++context_.counters.client_gone;
            co_return ExchangeResult::kAbort;
        }
        if (now() >= deadline_) co_return give_up();
        if (static_cast<std::int64_t>(sent_to_.size()) >= route_->max_attempts) {
            // No further server may get this request; one that already got it may, if it has not run there.
            const auto left =
                std::ranges::find_if(sent_to_, [&](const auto& id) { return !tried_.contains(id); });
            if (left == sent_to_.end()) co_return give_up();
            const replica_selection::Pair same{"", *left, 0};
            bool again = false;
            const ExchangeResult end = co_await serve_with(same, again);
            if (!again) co_return end;
            continue;
        }
        // A prefill may be rejected, which counts as a further send.
        const bool may_split = may_split_ && budget().has_room(now());
        const auto choice = context_.selector.choose(profile_, tried_, may_split,
                                                     sends_ == 0 && handle_.empty() && tried_.empty(), now());
        if (std::holds_alternative<replica_selection::NoServer>(choice))
            co_return may_have_run_ ? fail(502, "no server left")
                                    : reject(kNoServerRetryAfter, "no server available");
        if (const auto* late = std::get_if<replica_selection::Overloaded>(&choice)) {
            context_.demand.count_rejection(service_->name);
            co_return reject(std::max(late->retry_after, kMinRetryAfter),
                             "overloaded: prefill would be late");
        }
        if (const auto* backlogged = std::get_if<replica_selection::Backlogged>(&choice)) {
            co_await wait(std::min(backlogged->until, deadline_));
            continue;
        }
        bool again = false;
        const replica_selection::Pair pair = std::get<replica_selection::Pair>(choice);
        const ExchangeResult end = co_await serve_with(pair, again);
        if (!again) co_return end;
    }
}

// `again`: another choice may be made; otherwise the result is final.
transport::Async<ExchangeResult> Exchange::serve_with(const replica_selection::Pair& pair, bool& again) {
    if (!pair.prefill_server.empty() && handle_.empty()) {
        const PrefillResult prefilled = co_await prefill(pair);
        if (prefilled == PrefillResult::kRan) {
            may_have_run_ = true;
            ++sends_, sent_to_.insert(pair.prefill_server);
            if (!route_->idempotent()) co_return fail(502, "a prefill server ran the request");
        }
        again = prefilled != PrefillResult::kDone;
        if (again) {
            tried_.insert(pair.prefill_server);
            may_split_ = prefilled == PrefillResult::kNotSent && ++unreachable_count_ < kMaxUnreachable;
            co_return ExchangeResult::kAbort;
        }
    }
    if (sends_ > 0 && !try_further_send()) co_return give_up();
    const bool fetches = !handle_.empty();
    const model::Instance* prefill_server = context_.selector.instance(prefill_server_);
    Forwarding forwarding;
    if (fetches && prefill_server != nullptr) forwarding.kv_from = prefill_server->address + "/" + handle_;
    if (fetches && prefill_server == nullptr) handle_.clear();
    const bool has_stages = context_.selector.instance(pair.decode_server) != nullptr &&
                            context_.selector.instance(pair.decode_server)->stage != model::Stage::kNone;
    const Work work = !has_stages                  ? Work::kUnstaged
                      : forwarding.kv_from.empty() ? Work::kPrefillAndDecode
                                                   : Work::kFetchAndDecode;
    forwarding.last_event_id = last_event_id_;
    std::optional<double> tokens = 0;
    if (work == Work::kPrefillAndDecode)
        tokens = pair.prefill_server.empty() && pair.tokens_to_prefill > 0
                     ? std::optional(pair.tokens_to_prefill)
                     : std::nullopt;
    const CallResult end =
        co_await call(pair.decode_server, work, std::move(forwarding), tokens, route_->idempotent());
    switch (end) {
    case CallResult::kAnswer: {
        if (fetches) {
            context_.selector.record_handle_use(prefill_server_, true);
            handle_.clear(), prefill_server_.clear();
        }
        if (fetches)
            context_.demand.count_transfer(service_->name, context_.selector.kv_transfer_time(profile_));
        set_answering(true);
        const RelayResult relayed = co_await relay();
        set_answering(false);
        if (relayed == RelayResult::kComplete) co_return ExchangeResult::kAnswered;
        if (relayed == RelayResult::kClientGone) ++context_.counters.client_gone;
        if (relayed != RelayResult::kIncomplete) co_return head_sent_ ? ExchangeResult::kAbort : give_up();
        // Only a stream goes on at another server, after its last whole event. Of any other body a part has
        // gone out.
        const bool streams = route_->kind == model::RouteKind::kStreaming;
        if (head_sent_ && !streams) co_return fail(502, "the server broke off its answer");
        tried_.insert(pair.decode_server);
        ++context_.counters.resumed;
        again = route_->idempotent();
        co_return again ? ExchangeResult::kAbort : fail(502, "the server broke off its answer");
    }
    case CallResult::kNotRun:
        if (fetches) {
            // The KV data is gone, or the server is full: a retry at the same server without KV data tells
            // which.
            context_.selector.record_handle_use(prefill_server_, false);
            ++context_.counters.lost_handles;
            release_handle();
            may_split_ = false;
        } else {
            tried_.insert(pair.decode_server);
        }
        again = true;
        break;
    case CallResult::kMisdirected:
    case CallResult::kNotSent:
        tried_.insert(pair.decode_server);
        again = ++unreachable_count_ < kMaxUnreachable;
        if (!again) co_return give_up();
        break;
    case CallResult::kLost:
    case CallResult::kSilent:
        may_have_run_ = true;
        tried_.insert(pair.decode_server);
        handle_.clear();
        if (fetches) may_split_ = false; // a second prefill would count as a further send
        if (!route_->idempotent()) co_return fail(502, "the server's answer was lost");
        again = true;
        break;
    case CallResult::kDeadlineExceeded:
        may_have_run_ = true;
        co_return give_up();
    case CallResult::kClientGone:
        ++context_.counters.client_gone;
        co_return ExchangeResult::kAbort;
    case CallResult::kKeyRevoked:
        co_return refuse_caller();
    }
    co_return ExchangeResult::kAbort;
}

// An abandoned prefill counts as a further send unless its server has begun it, which is not known.
bool Exchange::may_abandon_attempt() {
    identify_caller();
    if (caller_.admission != Admission::kAdmitted) return false; // no other server may be used
    if (!attempt_decodes_) return budget().has_room(now());
    if (static_cast<std::int64_t>(sent_to_.size()) >= route_->max_attempts) return false;
    further_send_counted_ = try_further_send();
    return further_send_counted_;
}

bool Exchange::try_further_send() {
    if (std::exchange(further_send_counted_, false)) return true;
    if (!budget().try_retry(now())) return false;
    ++context_.counters.further_sends;
    return true;
}

transport::Async<Exchange::PrefillResult> Exchange::prefill(const replica_selection::Pair& pair) {
    Forwarding forwarding;
    forwarding.prefill_only = true;
    const CallResult end =
        co_await call(pair.prefill_server, Work::kPrefillOnly, forwarding, pair.tokens_to_prefill, true);
    const bool leads_to_another_send = end == CallResult::kNotRun || end == CallResult::kMisdirected ||
                                       end == CallResult::kLost || end == CallResult::kSilent;
    if (leads_to_another_send) budget().count_retry(now());
    if (end == CallResult::kNotSent || end == CallResult::kMisdirected) co_return PrefillResult::kNotSent;
    if (end != CallResult::kAnswer) co_return PrefillResult::kFailed;
    const bool whole = co_await await_whole_answer(std::min(deadline_, now() + profile_.latency_target));
    std::string handle;
    if (whole && answer_.status == 200) {
        const std::string body = connection_->parser().take_body();
        const std::string_view key = "\"promptHandle\":\"";
        if (const std::size_t at = body.find(key); at != std::string::npos) {
            const std::size_t begin = at + key.size();
            handle = body.substr(begin, body.find('"', begin) - begin);
        }
    }
    finish_call(whole);
    if (handle.empty()) co_return ran_instead_of_prefill() ? PrefillResult::kRan : PrefillResult::kFailed;
    prefill_server_ = pair.prefill_server, handle_ = handle;
    ++context_.counters.hand_overs;
    co_return PrefillResult::kDone;
}

// The result of a prefill is JSON (PROTOCOL); a server that ignores the stage answers with the response
// itself.
bool Exchange::ran_instead_of_prefill() const {
    const bool success = answer_.status >= 200 && answer_.status < 300;
    return success && !answer_.header("content-type").starts_with("application/json");
}

void Exchange::release_handle() {
    if (handle_.empty()) return;
    const std::string handle = std::exchange(handle_, {});
    const model::Instance* prefill_server = context_.selector.instance(prefill_server_);
    if (prefill_server == nullptr) return;
    auto connection = context_.connections.take_idle(prefill_server_, kTicksPerSecond);
    if (!connection) connection = context_.connections.open(prefill_server->address);
    if (!connection) return;
    connection->stream().send(
        fmt::format("DELETE /kv-handle/{} HTTP/1.1\r\nhost: {}\r\ntarget-instance: {}\r\n"
                    "content-length: 0\r\n\r\n",
                    handle, prefill_server->address, prefill_server_));
    // The answer is ignored; the connection is freed after time to send the request.
    auto held = std::make_shared<std::unique_ptr<http::ClientConnection>>(std::move(connection));
    context_.reactor.call_after(kTicksPerSecond / 2, [held] { held->reset(); });
}

ExchangeResult Exchange::give_up() {
    if (head_sent_) return ExchangeResult::kAbort;
    if (may_have_run_) return fail(now() >= deadline_ ? 504 : 502, "no answer in time");
    return reject(kMinRetryAfter, "no server accepted the request");
}

// A server may hold a request that was refused after it had been sent: what the refusal relies on is logged.
void Exchange::log_refusal_after_send(std::string_view reason) {
    ++context_.counters.refused_after_send;
    const auto suppressed = context_.refusal_log.admit(now());
    if (!suppressed) return;
    const NotRunStatement statement = not_run_statement_.value_or(NotRunStatement{});
    log_line("refused_after_send", {{"attempt", request_.attempt_id},
                                    {"reason", std::string(reason)},
                                    {"sends", std::to_string(sends_)},
                                    {"server", statement.instance},
                                    {"status", std::to_string(statement.status)},
                                    {"connection_uses", std::to_string(statement.connection_uses)},
                                    {"suppressed", std::to_string(*suppressed)}});
}

ExchangeResult Exchange::reject(Ticks retry_after, std::string_view reason) {
    ++context_.counters.rejected;
    if (sends_ > 0) log_refusal_after_send(reason);
    const double seconds = static_cast<double>(retry_after) * (1 + context_.random.unit()) / kTicksPerSecond;
    return send_own_answer(503, fmt::format("retry-after: {:.3f}\r\n", seconds), reason);
}

ExchangeResult Exchange::fail(int status, std::string_view reason) {
    ++context_.counters.failed;
    if (head_sent_) return ExchangeResult::kAbort;
    return send_own_answer(status, "", reason);
}

ExchangeResult Exchange::send_own_answer(int status, std::string fields, std::string_view reason) {
    finish_call(false);
    fields += "attempt-id: " + request_.attempt_id + "\r\n";
    const std::string body = std::string(reason) + "\n";
    const bool sent = client_.send(protocol::http_response(status, fields, body, close_));
    return sent ? ExchangeResult::kAnswered : ExchangeResult::kAbort;
}

} // namespace ivyrill::proxy
