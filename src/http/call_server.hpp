// An HTTP/1.1 server: listens at one address, reads one request at a time from each connection, runs the
// handler and sends the response. What its connections buffer is charged to the process's budget; beyond the
// largest number of connections, the one that has been idle longest gives way.
#pragma once
#include "http/call_router.hpp"
#include "http/request_reader.hpp"
#include "limits/buffer_budget.hpp"
#include "transport/listener.hpp"
#include "transport/reactor.hpp"
#include "transport/stream.hpp"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace ivyrill::http {

class CallServer {
  public:
    struct Options {
        std::size_t max_connections = 1000;
        Ticks request_timeout =
            50'000; // for the head of a request, and for any progress of a body or an answer
        Ticks idle_timeout = 300'000; // between requests
    };
    using Handler = std::function<transport::Async<Response>(protocol::HttpMessage)>;
    // `budget` must outlive the server. `body_limit`: see RequestReader.
    CallServer(transport::Reactor& reactor, const std::string& address, limits::BufferBudget& budget,
               Options options, RequestReader::BodyLimit body_limit, Handler handler);
    ~CallServer();
    void close_listener(); // accepts no further connections; open ones continue
    int port() const { return listener_->port(); }

  private:
    struct Connection {
        Connection(CallServer& server, int descriptor);
        limits::BufferBudget::Account& account() { return buffers; }

        transport::Slot wake;
        transport::Stream stream;
        protocol::HttpParser parser;
        limits::BufferBudget::Account buffers;
        RequestReader reader;
        bool closed = false;
        Ticks request_since = 0; // arrival of the current request's first bytes
        transport::Task task;
    };
    void accept(int descriptor);
    bool make_room(); // for one more connection
    transport::Task serve(Connection& connection);
    Ticks deadline_of(const Connection& connection, RequestReader::Step step, Ticks idle_since) const;
    transport::Async<transport::Done> answer(Connection& connection);
    transport::Async<transport::Done> send(Connection& connection, const Response& response, bool close);
    transport::Async<transport::Done> await_written(Connection& connection);
    void reap();

    transport::Reactor& reactor_;
    limits::BufferBudget& budget_;
    Options options_;
    RequestReader::BodyLimit body_limit_;
    Handler handler_;
    std::list<Connection> connections_;
    std::unique_ptr<transport::Listener> listener_;
    bool reap_scheduled_ = false;
};

} // namespace ivyrill::http
