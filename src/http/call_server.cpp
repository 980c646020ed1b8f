#include "http/call_server.hpp"

#include "limits/connection_choice.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::http {

using limits::BufferPhase;
using Step = RequestReader::Step;

namespace {

constexpr std::size_t kMaxUnreadBytes = 64 * 1024;
constexpr std::size_t kMaxUnsentBytes = 16 * 1024 * 1024;
constexpr std::size_t kMaxHeadBytes = 16 * 1024;
constexpr std::size_t kMaxBodyBytes = 8 * 1024 * 1024; // of any call
constexpr std::size_t kHeadReserve = 512;              // for the head of a response
constexpr std::size_t kAlwaysSentBytes = 4 * 1024;     // acknowledgements of what has been done
constexpr int kSystemBufferBytes = 64 * 1024;

Response no_room() {
    return {503, "Retry-After: 1\r\n", "too much is buffered for others: retry or call another node\n"};
}

} // namespace

CallServer::Connection::Connection(CallServer& server, int descriptor)
    : wake(server.reactor_.loop()),
      stream(server.reactor_.loop(), descriptor, transport::Stream::Start::kConnected, kMaxUnreadBytes,
             kMaxUnsentBytes),
      parser(protocol::HttpParser::Side::kRequests, {kMaxHeadBytes, kMaxBodyBytes}),
      buffers(server.budget_, server.reactor_.now(), [this] { wake.wake(); }),
      reader(stream, parser, server.budget_, buffers, server.body_limit_) {
    transport::limit_system_buffers(descriptor, kSystemBufferBytes);
    stream.also_wake(&wake);
}

CallServer::CallServer(transport::Reactor& reactor, const std::string& address, limits::BufferBudget& budget,
                       Options options, RequestReader::BodyLimit body_limit, Handler handler)
    : reactor_(reactor), budget_(budget), options_(options), body_limit_(std::move(body_limit)),
      handler_(std::move(handler)), listener_(std::make_unique<transport::Listener>(
                                        reactor, address, [this](int descriptor) { accept(descriptor); })) {}

CallServer::~CallServer() = default;

void CallServer::close_listener() { listener_.reset(); }

bool CallServer::make_room() {
    if (connections_.size() < options_.max_connections) return true;
    const auto least_used = limits::find_least_used(connections_, reactor_.now());
    if (least_used == connections_.end()) return false;
    connections_.erase(least_used);
    return true;
}

void CallServer::accept(int descriptor) {
    if (!make_room()) return transport::close_descriptor(descriptor);
    Connection& connection = connections_.emplace_back(*this, descriptor);
    connection.task = serve(connection);
    connection.task.start();
}

void CallServer::reap() {
    if (std::exchange(reap_scheduled_, true)) return;
    reactor_.free_later([this] {
        reap_scheduled_ = false;
        connections_.remove_if([](const Connection& connection) { return connection.closed; });
    });
}

transport::Task CallServer::serve(Connection& connection) {
    Ticks idle_since = reactor_.now();
    while (!connection.closed) {
        const Step step = connection.reader.read(reactor_.now());
        if (!connection.parser.begun()) connection.request_since = reactor_.now();
        if (step == Step::kAdvanced) continue;
        if (connection.account().is_shed() || step == Step::kNoRoom) {
            connection.parser = protocol::HttpParser(protocol::HttpParser::Side::kRequests);
            co_await send(connection, no_room(), true);
            break;
        }
        if (connection.parser.complete() || connection.parser.broken() != 0) {
            co_await answer(connection);
            idle_since = reactor_.now();
            continue;
        }
        if (connection.stream.ended()) break;
        const Ticks until = deadline_of(connection, step, idle_since);
        if (reactor_.now() >= until && step != Step::kPaused) break;
        const transport::WakeAt timer(reactor_, until, connection.wake);
        co_await connection.wake;
    }
    connection.closed = true;
    reap();
}

Ticks CallServer::deadline_of(const Connection& connection, Step step, Ticks idle_since) const {
    if (step == Step::kPaused) return connection.reader.resume_at();
    if (!connection.parser.begun()) return idle_since + options_.idle_timeout;
    if (!connection.parser.head_complete()) return connection.request_since + options_.request_timeout;
    return connection.reader.body_deadline(options_.request_timeout);
}

transport::Async<transport::Done> CallServer::answer(Connection& connection) {
    Response response;
    bool close = true;
    if (const int status = connection.parser.broken(); status != 0) {
        response.status = status;
    } else {
        protocol::HttpMessage message = connection.parser.take();
        connection.reader.request_taken();
        connection.account().enter(BufferPhase::kServing, reactor_.now());
        close = message.close || !listener_;
        response = co_await handler_(std::move(message));
    }
    const std::size_t size = response.body.size() + kHeadReserve;
    if (size > kAlwaysSentBytes && !connection.account().may_grow(2 * size)) {
        budget_.shed_stalled(reactor_.now());
        response = no_room();
    }
    co_await send(connection, response, close);
    co_return transport::Done{};
}

// The next request is read once the answer has been written, so that unread answers don't pile up.
transport::Async<transport::Done> CallServer::send(Connection& connection, const Response& response,
                                                   bool close) {
    const std::string bytes = protocol::http_response(response.status, response.fields, response.body, close);
    connection.closed = !connection.stream.send(bytes);
    co_await await_written(connection);
    if (!close || connection.closed) co_return transport::Done{};
    // Closing with unread input would reset the connection, and the peer might lose its answer.
    const Ticks until = reactor_.now() + options_.request_timeout;
    const transport::WakeAt timer(reactor_, until, connection.wake);
    connection.account().enter(BufferPhase::kIdle, reactor_.now());
    connection.account().set_held(connection.stream.buffered_bytes());
    connection.stream.finish();
    while (!connection.stream.ended() && reactor_.now() < until) {
        connection.stream.discard();
        co_await connection.wake;
    }
    connection.closed = true;
    co_return transport::Done{};
}

transport::Async<transport::Done> CallServer::await_written(Connection& connection) {
    const bool was_shed = connection.account().is_shed();
    std::uint64_t written = connection.stream.written();
    Ticks until = reactor_.now() + options_.request_timeout;
    while (connection.stream.unwritten() > 0 && !connection.stream.ended()) {
        connection.account().enter(BufferPhase::kSending, reactor_.now());
        connection.account().set_held(connection.stream.buffered_bytes());
        connection.account().record_transferred(connection.stream.transferred_bytes(), reactor_.now());
        if (std::exchange(written, connection.stream.written()) != written)
            until = reactor_.now() + options_.request_timeout;
        const bool is_shed = connection.account().is_shed() && !was_shed;
        if (is_shed || reactor_.now() >= until) {
            connection.closed = true;
            co_return transport::Done{};
        }
        const transport::WakeAt timer(reactor_, until, connection.wake);
        co_await connection.wake;
    }
    co_return transport::Done{};
}

} // namespace ivyrill::http
