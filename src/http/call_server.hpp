// An HTTP/1.1 server: listens at one address, reads one request at a time from each connection, runs the
// handler and sends the response. Bodies are held in memory up to a limit.
#pragma once
#include "http/call_router.hpp"
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
        std::size_t max_body_bytes = 8 * 1024 * 1024;
        std::size_t max_connections = 1000; // further connections are closed at once
        Ticks request_timeout = 50'000;     // for a whole request, from its first byte
        Ticks idle_timeout = 300'000;       // between requests
    };
    using Handler = std::function<transport::Async<Response>(protocol::HttpMessage)>;
    CallServer(transport::Reactor& reactor, const std::string& address, Options options, Handler handler);
    ~CallServer();
    void close_listener(); // accepts no further connections; open ones continue
    int port() const;

  private:
    struct Connection {
        Connection(transport::Reactor& reactor, int descriptor, const Options& options);
        transport::Slot wake;
        transport::Stream stream;
        protocol::HttpParser parser;
        bool closed = false;
        transport::Task task;
    };
    transport::Task accept_all();
    transport::Task serve(Connection& connection);
    transport::Async<transport::Done> answer(Connection& connection);
    void reap();

    transport::Reactor& reactor_;
    Options options_;
    Handler handler_;
    std::list<Connection> connections_;
    std::unique_ptr<transport::Source> listener_;
    transport::Task accepting_;
    bool reap_scheduled_ = false;
};

} // namespace ivyrill::http
