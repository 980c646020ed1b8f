#include "proxy/client_session.hpp"

#include "proxy/exchange.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::proxy {

namespace {

constexpr std::size_t kMostUnread = 64 * 1024;
constexpr std::size_t kMostUnsent = 1024 * 1024;
constexpr Tenths kTenthsPerMs = kTenthsPerSecond / 1000;
constexpr Tenths kCloseSpan = 20'000; // for the client to read the end and close
constexpr Tenths kBodySpan = 600'000; // for a whole body once its head is there

protocol::HttpParser::Limits parser_limits(const model::ClientLimits& limits) {
    return {static_cast<std::size_t>(limits.max_header_bytes),
            static_cast<std::size_t>(limits.max_body_bytes)};
}

model::ClientLimits limits_of(const Context& context) {
    return context.routes ? context.routes->configuration().limits : model::ClientLimits{};
}

} // namespace

ClientSession::ClientSession(Context& context, int descriptor, std::function<void(ClientSession&)> over)
    : context_(context), over_(std::move(over)), wake_(context.reactor.loop()),
      stream_(context.reactor.loop(), descriptor, transport::Stream::Start::kConnected, kMostUnread,
              kMostUnsent),
      parser_(protocol::HttpParser::Side::kRequests, parser_limits(limits_of(context))) {
    stream_.also_wake(&wake_);
}

void ClientSession::start() {
    task_ = serve();
    task_.start();
}

void ClientSession::end_if_idle() {
    if (busy_) return;
    end_ = true;
    wake_.wake();
}

transport::Task ClientSession::serve() {
    while (co_await read_request()) {
        busy_ = true;
        const bool goes_on = co_await serve_request();
        busy_ = false;
        if (!goes_on) break;
    }
    busy_ = false;
    over_(*this);
}

transport::Async<bool> ClientSession::read_request() {
    const Tenths began = context_.reactor.now();
    Tenths head_began = 0;
    for (;;) {
        if (stream_.unread() && !parser_.complete() && parser_.broken() == 0) {
            stream_.feed(parser_);
            if (parser_.begun() && head_began == 0) head_began = context_.reactor.now();
            busy_ = parser_.begun();
            continue;
        }
        if (parser_.complete()) co_return true;
        if (parser_.broken() != 0) {
            ++context_.counters.bad_requests;
            refuse(parser_.broken());
            co_await close_slowly();
            co_return false;
        }
        if (stream_.ended() || end_) co_return false;
        const model::ClientLimits limits = limits_of(context_);
        Tenths until = began + limits.idle_timeout_ms * kTenthsPerMs;
        if (parser_.head_complete())
            until = head_began + kBodySpan;
        else if (head_began > 0)
            until = head_began + limits.header_timeout_ms * kTenthsPerMs;
        if (context_.reactor.now() >= until) {
            if (head_began > 0) {
                refuse(408);
                co_await close_slowly();
            }
            co_return false;
        }
        const transport::WakeAt timer(context_.reactor, until, wake_);
        co_await wake_;
    }
}

transport::Async<bool> ClientSession::serve_request() {
    protocol::HttpMessage message = parser_.take();
    const bool old_version = message.close && message.header("connection").empty(); // HTTP/1.0
    const bool close = message.close || context_.ending || old_version;
    ExchangeEnd end = ExchangeEnd::kBreakOff;
    {
        Exchange exchange(context_, stream_, wake_,
                          read_client_request(std::move(message), context_.reactor.now()), close);
        end = co_await exchange.run();
    }
    if (end == ExchangeEnd::kBreakOff) {
        stream_.abandon();
        co_return false;
    }
    if (!close) co_return true;
    co_await close_slowly();
    co_return false;
}

void ClientSession::refuse(int status) { stream_.send(protocol::http_response(status, "", "", true)); }

// To close with bytes unread would reset the connection, and the client might lose its answer.
transport::Async<transport::Done> ClientSession::close_slowly() {
    const Tenths until = context_.reactor.now() + kCloseSpan;
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
