#include "proxy/client_session.hpp"

#include "proxy/exchange.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::proxy {

namespace {

constexpr std::size_t kMaxUnread = 64 * 1024;
constexpr std::size_t kMaxUnsent = 2 * 1024 * 1024; // the largest event, behind others that wait already
constexpr int kSystemBufferBytes = 64 * 1024;
constexpr Ticks kTicksPerMs = kTicksPerSecond / 1000;
constexpr Ticks kCloseTimeout = 20'000; // for the client to read any of the rest, and then to close

using limits::BufferPhase;
using Step = http::RequestReader::Step;

protocol::HttpParser::Limits parser_limits(const model::ClientLimits& limits) {
    return {static_cast<std::size_t>(limits.max_header_bytes),
            static_cast<std::size_t>(limits.max_body_bytes)};
}

model::ClientLimits limits_of(const Context& context) {
    return context.routes ? context.routes->configuration().limits : model::ClientLimits{};
}

} // namespace

ClientSession::ClientSession(Context& context, int descriptor, std::function<void(ClientSession&)> on_end)
    : context_(context), on_end_(std::move(on_end)), wake_(context.reactor.loop()),
      stream_(context.reactor.loop(), descriptor, transport::Stream::Start::kConnected, kMaxUnread,
              kMaxUnsent),
      limits_(limits_of(context)), parser_(protocol::HttpParser::Side::kRequests, parser_limits(limits_)),
      account_(context.buffers, context.reactor.now(), [this] { wake_.wake(); }),
      reader_(stream_, parser_, context.buffers, account_) {
    transport::limit_system_buffers(descriptor, kSystemBufferBytes);
    stream_.also_wake(&wake_);
}

void ClientSession::start() {
    task_ = serve();
    task_.start();
}

void ClientSession::close_if_idle() {
    if (busy()) return;
    closing_ = true;
    wake_.wake();
}

transport::Task ClientSession::serve() {
    while (co_await read_request()) {
        busy_ = true;
        const bool keep_open = co_await serve_request();
        busy_ = false;
        if (!keep_open) break;
    }
    busy_ = false;
    account_.enter(BufferPhase::kServing, now()); // its owner frees it: it does not give way before
    on_end_(*this);
}

transport::Async<bool> ClientSession::read_request() {
    Ticks idle_since = now(); // or since the client has read of an earlier answer
    std::uint64_t written = stream_.written();
    head_since_ = 0;
    for (;;) {
        if (std::exchange(written, stream_.written()) != written) idle_since = now();
        follow_limits();
        const Step step = reader_.read(now());
        if (parser_.begun() && head_since_ == 0) head_since_ = now();
        busy_ = parser_.begun();
        if (step == Step::kAdvanced) continue;
        if (parser_.complete()) co_return true;
        if (account_.is_shed() || step == Step::kNoRoom) {
            co_await refuse_for_room();
            co_return false;
        }
        if (parser_.broken() != 0) {
            ++context_.counters.bad_requests;
            send_error(parser_.broken());
            co_await close_gracefully();
            co_return false;
        }
        if (stream_.ended() || closing_) co_return false;
        const Ticks until = read_deadline(step, idle_since);
        if (now() >= until) {
            if (head_since_ > 0) {
                send_error(408);
                co_await close_gracefully();
            }
            co_return false;
        }
        const transport::WakeAt timer(context_.reactor, until, wake_);
        co_await wake_;
    }
}

void ClientSession::follow_limits() {
    if (parser_.begun() || limits_ == limits_of(context_)) return;
    limits_ = limits_of(context_);
    parser_ = protocol::HttpParser(protocol::HttpParser::Side::kRequests, parser_limits(limits_));
}

Ticks ClientSession::read_deadline(Step step, Ticks idle_since) const {
    const model::ClientLimits limits = limits_of(context_);
    if (step == Step::kPaused) return reader_.resume_at();
    if (parser_.head_complete()) return reader_.body_deadline(limits.idle_timeout_ms * kTicksPerMs);
    if (head_since_ > 0) return head_since_ + limits.header_timeout_ms * kTicksPerMs;
    return idle_since + limits.idle_timeout_ms * kTicksPerMs;
}

// The request whose rest is not read has not run and will not: 503 promises that. Without a request, it is an
// earlier answer that the client does not read.
transport::Async<transport::Done> ClientSession::refuse_for_room() {
    ++context_.counters.no_room;
    if (!parser_.begun() && !stream_.unread()) {
        stream_.abandon();
        co_return transport::Done{};
    }
    std::string fields = "Retry-After: 1\r\n";
    if (const std::string_view id = parser_.message().header("attempt-id"); !id.empty())
        fields.append("Attempt-Id: ").append(id).append("\r\n");
    parser_ = protocol::HttpParser(protocol::HttpParser::Side::kRequests);
    stream_.send(protocol::http_response(503, fields, "too much is buffered for other requests\n", true));
    co_await close_gracefully();
    co_return transport::Done{};
}

transport::Async<bool> ClientSession::serve_request() {
    protocol::HttpMessage message = parser_.take();
    reader_.request_taken();
    const bool http_1_0 = message.close && message.header("connection").empty(); // HTTP/1.0
    const bool close = message.close || context_.shutting_down || http_1_0;
    ExchangeResult end = ExchangeResult::kAbort;
    {
        Exchange exchange(context_, stream_, wake_, account_, read_client_request(std::move(message), now()),
                          close);
        end = co_await exchange.run();
    }
    if (end == ExchangeResult::kAbort) {
        stream_.abandon();
        co_return false;
    }
    if (!close) co_return true;
    co_await close_gracefully();
    co_return false;
}

void ClientSession::send_error(int status) { stream_.send(protocol::http_response(status, "", "", true)); }

// Closing with unread input would reset the connection, and the client might lose its answer.
transport::Async<transport::Done> ClientSession::close_gracefully() {
    std::uint64_t written = stream_.written();
    Ticks until = now() + kCloseTimeout;
    while (stream_.unwritten() > 0 && !stream_.ended() && now() < until) {
        account_.enter(BufferPhase::kSending, now());
        account_.set_held(stream_.buffered_bytes());
        const transport::WakeAt timer(context_.reactor, until, wake_);
        co_await wake_;
        if (std::exchange(written, stream_.written()) != written) until = now() + kCloseTimeout;
    }
    account_.enter(BufferPhase::kIdle, now());
    account_.set_held(stream_.buffered_bytes());
    stream_.finish();
    const Ticks close_until = now() + kCloseTimeout;
    const transport::WakeAt timer(context_.reactor, close_until, wake_);
    while (!stream_.ended() && now() < close_until) {
        stream_.discard();
        co_await wake_;
    }
    co_return transport::Done{};
}

} // namespace ivyrill::proxy
