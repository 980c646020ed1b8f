#include "proxy/exchange.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace ivyrill::proxy {

using replica_selection::Work;

namespace {

constexpr std::size_t kMostEventBytes = 1024 * 1024;
constexpr Tenths kComeBack = 500; // 50 ms: when a rejected client may return, at the least
constexpr Tenths kNoServerComeBack = 3000;
constexpr int kMostUnreachable = 6; // servers that no connection came up to, before giving up
constexpr Tenths kTenthsPerMs = kTenthsPerSecond / 1000;

} // namespace

Exchange::Exchange(Context& context, transport::Stream& client, transport::Slot& wake, ClientRequest request,
                   bool close)
    : context_(context), client_(client), wake_(wake), request_(std::move(request)), close_(close),
      events_(kMostEventBytes) {}

Exchange::~Exchange() {
    note_answering(false);
    end_call(false);
    release_handle();
}

transport::Async<transport::Done> Exchange::wait(Tenths until) {
    const transport::WakeAt timer(context_.reactor, until, wake_);
    co_await wake_;
    co_return transport::Done{};
}

transport::Async<ExchangeEnd> Exchange::run() {
    ++context_.counters.requests;
    routes_ = context_.routes;
    if (!routes_) co_return reject(kNoServerComeBack, "no configuration is known yet");
    route_ = routes_->find(request_.message.header("host"), request_.message.target);
    if (route_ == nullptr) {
        ++context_.counters.no_route;
        co_return answer_own(404, "", "no route");
    }
    identify_caller();
    if (caller_.admission != Admission::kAdmitted) co_return refuse_caller();
    const auto service = routes_->choose_service(*route_, context_.random.unit());
    service_ = service ? routes_->service(*service) : nullptr;
    if (service_ == nullptr) co_return reject(kNoServerComeBack, "the route has no service");
    profile_ = {*service, request_.model, request_.prompt, request_.output_tokens,
                route_->latency_target_ms * kTenthsPerMs};
    deadline_ = request_.received + route_->timeout_ms * kTenthsPerMs;
    if (request_.client_deadline) deadline_ = std::min(deadline_, *request_.client_deadline);
    last_event_id_ = request_.last_event_id;
    if (may_outlast_this_process()) {
        ++context_.counters.too_long_to_end;
        co_return reject(kComeBack, "this node ends before the answer may");
    }
    budget().count_request(now());
    if (service_->engine)
        context_.demand.requested(service_->name, context_.selector.kv_transfer_time(profile_));
    co_return co_await serve();
}

void Exchange::identify_caller() {
    if (identified_by_ == context_.routes) return;
    identified_by_ = context_.routes;
    // Route and keys of one version, or a change of both would refuse what either version allows.
    const model::Route* route =
        identified_by_->find(request_.message.header("host"), request_.message.target);
    caller_ = caller_of(request_.message, route != nullptr ? *route : *route_, identified_by_->tenants());
}

ExchangeEnd Exchange::refuse_caller() {
    const bool is_missing = caller_.admission == Admission::kKeyMissing;
    ++(is_missing ? context_.counters.key_missing : context_.counters.key_unknown);
    if (head_sent_ || may_have_run_) return fail(502, "the key was withdrawn");
    return answer_own(401, "www-authenticate: Api-Key\r\n", is_missing ? "no key" : "unknown key");
}

void Exchange::note_answering(bool answering) {
    if (std::exchange(answering_, answering) == answering) return;
    if (answering)
        context_.demand.answer_begins(service_->name, now());
    else
        context_.demand.answer_ends(service_->name, now());
}

// A stream that this process would have to cut at its end is better begun elsewhere, and its client is told
// so while nothing has run. How long a stream takes can't be told beforehand, but for its deadline: clients
// state as the most tokens what hardly any answer has, and soon after a start only short ones have ended.
bool Exchange::may_outlast_this_process() const {
    const bool streams = route_->kind == model::RouteKind::kStreaming;
    return context_.ending && streams && deadline_ > context_.ends_at;
}

transport::Async<ExchangeEnd> Exchange::serve() {
    for (;;) {
        if (client_gone()) {
            ++context_.counters.client_gone;
            co_return ExchangeEnd::kBreakOff;
        }
        if (now() >= deadline_) co_return give_up();
        if (static_cast<std::int64_t>(sent_to_.size()) >= route_->max_attempts) {
            // No further server may be sent this try; one that it was sent to may, where it has not run
            // there.
            const auto left =
                std::ranges::find_if(sent_to_, [&](const auto& id) { return !tried_.contains(id); });
            if (left == sent_to_.end()) co_return give_up();
            const replica_selection::Pair same{"", *left, 0};
            bool again = false;
            const ExchangeEnd end = co_await serve_with(same, again);
            if (!again) co_return end;
            continue;
        }
        // A reading may be turned away, which counts as a further arrival.
        const bool may_split = may_hand_over_ && budget().has_room(now());
        const auto choice = context_.selector.choose(profile_, tried_, may_split,
                                                     sends_ == 0 && handle_.empty() && tried_.empty(), now());
        if (std::holds_alternative<replica_selection::NoServer>(choice))
            co_return may_have_run_ ? fail(502, "no server is left")
                                    : reject(kNoServerComeBack, "no server is known");
        if (const auto* late = std::get_if<replica_selection::Overloaded>(&choice)) {
            context_.demand.turned_away(service_->name);
            co_return reject(std::max(late->retry_after, kComeBack), "too much to read now");
        }
        if (const auto* backlogged = std::get_if<replica_selection::Backlogged>(&choice)) {
            co_await wait(std::min(backlogged->until, deadline_));
            continue;
        }
        bool again = false;
        const replica_selection::Pair pair = std::get<replica_selection::Pair>(choice);
        const ExchangeEnd end = co_await serve_with(pair, again);
        if (!again) co_return end;
    }
}

// `again`: another choice may be made; else what is returned is final.
transport::Async<ExchangeEnd> Exchange::serve_with(const replica_selection::Pair& pair, bool& again) {
    if (!pair.prefill_server.empty() && handle_.empty()) {
        const ReadEnd read = co_await read_prompt(pair);
        again = read != ReadEnd::kRead;
        if (again) {
            tried_.insert(pair.prefill_server);
            may_hand_over_ = read == ReadEnd::kNotSent && ++unreachable_ < kMostUnreachable;
            co_return ExchangeEnd::kBreakOff;
        }
    }
    if (sends_ > 0 && !spend_further_send()) co_return give_up();
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
    const CallEnd end =
        co_await call(pair.decode_server, work, std::move(forwarding), tokens, route_->idempotent());
    switch (end) {
    case CallEnd::kAnswer: {
        if (fetches) {
            context_.selector.record_handle_use(prefill_server_, true);
            handle_.clear(), prefill_server_.clear();
        }
        if (fetches) context_.demand.moved(service_->name, context_.selector.kv_transfer_time(profile_));
        note_answering(true);
        const RelayEnd relayed = co_await relay();
        note_answering(false);
        if (relayed == RelayEnd::kComplete) co_return ExchangeEnd::kAnswered;
        if (relayed == RelayEnd::kClientGone) ++context_.counters.client_gone;
        if (relayed != RelayEnd::kCutOff) co_return head_sent_ ? ExchangeEnd::kBreakOff : give_up();
        tried_.insert(pair.decode_server);
        ++context_.counters.resumed;
        again = route_->idempotent();
        co_return again ? ExchangeEnd::kBreakOff : fail(502, "the server broke its answer off");
    }
    case CallEnd::kNotRun:
        if (fetches) {
            // The memory is gone, or the server is full: without it the same server tells which.
            context_.selector.record_handle_use(prefill_server_, false);
            ++context_.counters.lost_handles;
            release_handle();
            may_hand_over_ = false;
        } else {
            tried_.insert(pair.decode_server);
        }
        again = true;
        break;
    case CallEnd::kMisdirected:
    case CallEnd::kNotSent:
        tried_.insert(pair.decode_server);
        again = ++unreachable_ < kMostUnreachable;
        if (!again) co_return give_up();
        break;
    case CallEnd::kBroken:
    case CallEnd::kSilent:
        may_have_run_ = true;
        tried_.insert(pair.decode_server);
        handle_.clear();
        if (fetches) may_hand_over_ = false; // a second reading would count as a further send
        if (!route_->idempotent()) co_return fail(502, "the server's answer was lost");
        again = true;
        break;
    case CallEnd::kOutOfTime:
        may_have_run_ = true;
        co_return give_up();
    case CallEnd::kClientGone:
        ++context_.counters.client_gone;
        co_return ExchangeEnd::kBreakOff;
    case CallEnd::kKeyWithdrawn:
        co_return refuse_caller();
    }
    co_return ExchangeEnd::kBreakOff;
}

// A reading that is left costs nothing further, as the runner's own is no second one; a run does.
bool Exchange::leave_is_allowed() {
    identify_caller();
    if (caller_.admission != Admission::kAdmitted) return false; // no other server could be asked
    if (!attempt_runs_) return true;
    if (static_cast<std::int64_t>(sent_to_.size()) >= route_->max_attempts) return false;
    further_paid_ = spend_further_send();
    return further_paid_;
}

bool Exchange::spend_further_send() {
    if (std::exchange(further_paid_, false)) return true;
    if (!budget().try_retry(now())) return false;
    ++context_.counters.further_sends;
    return true;
}

transport::Async<Exchange::ReadEnd> Exchange::read_prompt(const replica_selection::Pair& pair) {
    Forwarding forwarding;
    forwarding.prefill_only = true;
    const CallEnd end =
        co_await call(pair.prefill_server, Work::kPrefillOnly, forwarding, pair.tokens_to_prefill, true);
    if (end == CallEnd::kNotSent || end == CallEnd::kMisdirected) co_return ReadEnd::kNotSent;
    if (end == CallEnd::kNotRun) budget().count_retry(now());
    if (end != CallEnd::kAnswer) co_return ReadEnd::kFailed;
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
    end_call(whole);
    if (handle.empty()) co_return ReadEnd::kFailed;
    prefill_server_ = pair.prefill_server, handle_ = handle;
    ++context_.counters.hand_overs;
    co_return ReadEnd::kRead;
}

void Exchange::release_handle() {
    if (handle_.empty()) return;
    const std::string handle = std::exchange(handle_, {});
    const model::Instance* prefill_server = context_.selector.instance(prefill_server_);
    if (prefill_server == nullptr) return;
    auto connection = context_.connections.take_idle(prefill_server_, kTenthsPerSecond);
    if (!connection) connection = context_.connections.open(prefill_server->address);
    if (!connection) return;
    connection->stream().send(
        fmt::format("DELETE /kv-handle/{} HTTP/1.1\r\nhost: {}\r\ntarget-instance: {}\r\n"
                    "content-length: 0\r\n\r\n",
                    handle, prefill_server->address, prefill_server_));
    // Its answer is of no interest; the connection is freed once it has had time to leave.
    auto held = std::make_shared<std::unique_ptr<http::ClientConnection>>(std::move(connection));
    context_.reactor.call_after(kTenthsPerSecond / 2, [held] { held->reset(); });
}

ExchangeEnd Exchange::give_up() {
    if (head_sent_) return ExchangeEnd::kBreakOff;
    if (may_have_run_) return fail(now() >= deadline_ ? 504 : 502, "no answer in time");
    return reject(kComeBack, "no server took it");
}

ExchangeEnd Exchange::reject(Tenths retry_after, std::string_view why) {
    ++context_.counters.rejected;
    const double seconds = static_cast<double>(retry_after) * (1 + context_.random.unit()) / kTenthsPerSecond;
    return answer_own(503, fmt::format("retry-after: {:.3f}\r\n", seconds), why);
}

ExchangeEnd Exchange::fail(int status, std::string_view why) {
    ++context_.counters.failed;
    if (head_sent_) return ExchangeEnd::kBreakOff;
    return answer_own(status, "", why);
}

ExchangeEnd Exchange::answer_own(int status, std::string fields, std::string_view why) {
    end_call(false);
    fields += "attempt-id: " + request_.attempt_id + "\r\n";
    const std::string body = std::string(why) + "\n";
    const bool sent = client_.send(protocol::http_response(status, fields, body, close_));
    return sent ? ExchangeEnd::kAnswered : ExchangeEnd::kBreakOff;
}

} // namespace ivyrill::proxy
