#include "proxy/client_session.hpp"

#include "proxy/exchange.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::proxy {

namespace {

constexpr std::size_t kMaxUnread = 64 * 1024;
constexpr std::size_t kMaxUnsent = 1024 * 1024;
constexpr Ticks kTicksPerMs = kTicksPerSecond / 1000;
constexpr Ticks kCloseTimeout = 20'000; // for the client to read the rest and close
constexpr Ticks kBodyTimeout = 600'000; // for the whole body, from the start of the head

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
      parser_(protocol::HttpParser::Side::kRequests, parser_limits(limits_of(context))) {
    stream_.also_wake(&wake_);
}

void ClientSession::start() {
    task_ = serve();
    task_.start();
}

void ClientSession::close_if_idle() {
    if (busy_) return;
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
    on_end_(*this);
}

transport::Async<bool> ClientSession::read_request() {
    const Ticks started_at = context_.reactor.now();
    Ticks head_started_at = 0;
    for (;;) {
        if (stream_.unread() && !parser_.complete() && parser_.broken() == 0) {
            stream_.feed(parser_);
            if (parser_.begun() && head_started_at == 0) head_started_at = context_.reactor.now();
            busy_ = parser_.begun();
            continue;
        }
        if (parser_.complete()) co_return true;
        if (parser_.broken() != 0) {
            ++context_.counters.bad_requests;
            send_error(parser_.broken());
            co_await close_gracefully();
            co_return false;
        }
        if (stream_.ended() || closing_) co_return false;
        const model::ClientLimits limits = limits_of(context_);
        Ticks until = started_at + limits.idle_timeout_ms * kTicksPerMs;
        if (parser_.head_complete())
            until = head_started_at + kBodyTimeout;
        else if (head_started_at > 0)
            until = head_started_at + limits.header_timeout_ms * kTicksPerMs;
        if (context_.reactor.now() >= until) {
            if (head_started_at > 0) {
                send_error(408);
                co_await close_gracefully();
            }
            co_return false;
        }
        const transport::WakeAt timer(context_.reactor, until, wake_);
        co_await wake_;
    }
}

transport::Async<bool> ClientSession::serve_request() {
    protocol::HttpMessage message = parser_.take();
    const bool http_1_0 = message.close && message.header("connection").empty(); // HTTP/1.0
    const bool close = message.close || context_.shutting_down || http_1_0;
    ExchangeResult end = ExchangeResult::kAbort;
    {
        Exchange exchange(context_, stream_, wake_,
                          read_client_request(std::move(message), context_.reactor.now()), close);
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
    const Ticks until = context_.reactor.now() + kCloseTimeout;
    const transport::WakeAt timer(context_.reactor, until, wake_);
    while (stream_.unwritten() > 0 && !stream_.ended() && context_.reactor.now() < until) co_await wake_;
    stream_.finish();
    while (!stream_.ended() && context_.reactor.now() < until) {
        stream_.discard();
        co_await wake_;
    }
    co_return transport::Done{};
}

} // namespace ivyrill::proxy
