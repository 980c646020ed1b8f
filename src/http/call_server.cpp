#include "http/call_server.hpp"

#include <cerrno>
#include <utility>

namespace ivyrill::http {

namespace {

constexpr std::size_t kMaxUnreadBytes = 64 * 1024;
constexpr std::size_t kMaxUnsentBytes = 16 * 1024 * 1024;

} // namespace

CallServer::Connection::Connection(transport::Reactor& reactor, int descriptor, const Options& options)
    : wake(reactor.loop()), stream(reactor.loop(), descriptor, transport::Stream::Start::kConnected,
                                   kMaxUnreadBytes, kMaxUnsentBytes),
      parser(protocol::HttpParser::Side::kRequests, {16 * 1024, options.max_body_bytes}) {
    stream.also_wake(&wake);
}

CallServer::CallServer(transport::Reactor& reactor, const std::string& address, Options options,
                       Handler handler)
    : reactor_(reactor), options_(options), handler_(std::move(handler)),
      listener_(std::make_unique<transport::Source>(reactor.loop(), transport::listen_at(address))) {
    accepting_ = accept_all();
    accepting_.start();
}

CallServer::~CallServer() = default;

int CallServer::port() const { return transport::port_of(listener_->descriptor()); }

void CallServer::close_listener() {
    accepting_ = {};
    listener_.reset();
}

transport::Task CallServer::accept_all() {
    transport::Source& listener = *listener_; // works around GCC 12, see Reactor::read_pipe
    for (;;) {
        const int descriptor = transport::accept_from(listener.descriptor());
        if (descriptor < 0) {
            // If out of descriptors, waiting connections are accepted with the next one.
            co_await listener.readable;
            continue;
        }
        Connection& connection = connections_.emplace_back(reactor_, descriptor, options_);
        connection.closed = connections_.size() > options_.max_connections;
        connection.task = serve(connection);
        connection.task.start();
    }
}

void CallServer::reap() {
    if (std::exchange(reap_scheduled_, true)) return;
    reactor_.free_later([this] {
        reap_scheduled_ = false;
        connections_.remove_if([](const Connection& connection) { return connection.closed; });
    });
}

transport::Task CallServer::serve(Connection& connection) {
    while (!connection.closed) {
        if (connection.parser.complete() || connection.parser.broken() != 0) {
            co_await answer(connection);
            continue;
        }
        if (connection.stream.unread()) {
            connection.stream.feed(connection.parser);
            continue;
        }
        if (connection.stream.ended()) break;
        const Ticks timeout = connection.parser.begun() ? options_.request_timeout : options_.idle_timeout;
        const Ticks until = reactor_.now() + timeout;
        const transport::WakeAt timer(reactor_, until, connection.wake);
        co_await connection.wake;
        if (reactor_.now() >= until && !connection.stream.unread()) break;
    }
    connection.closed = true;
    reap();
}

transport::Async<transport::Done> CallServer::answer(Connection& connection) {
    Response response;
    bool close = true;
    if (const int status = connection.parser.broken(); status != 0) {
        response.status = status;
    } else {
        protocol::HttpMessage message = connection.parser.take();
        close = message.close || !listener_;
        response = co_await handler_(std::move(message));
    }
    connection.stream.send(protocol::http_response(response.status, response.fields, response.body, close));
    if (!close) co_return transport::Done{};
    // Before the connection is freed, the output must be written and the peer must close.
    const Ticks until = reactor_.now() + options_.request_timeout;
    const transport::WakeAt timer(reactor_, until, connection.wake);
    while (connection.stream.unwritten() > 0 && !connection.stream.ended() && reactor_.now() < until)
        co_await connection.wake;
    connection.stream.finish();
    while (!connection.stream.ended() && reactor_.now() < until) {
        connection.stream.discard();
        co_await connection.wake;
    }
    connection.closed = true;
    co_return transport::Done{};
}

} // namespace ivyrill::http
