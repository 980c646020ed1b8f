// An HTTP/1.1 server for calls: listens at one address, reads one request at a time from each connection, has
// it handled, and answers. Bodies are held whole, up to a bound.
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
        std::size_t max_body_bytes = 8 * 1024 * 1024; // bytes
        std::size_t max_connections = 1000;           // further ones are closed at once
        Tenths request_timeout = 50'000;              // for a whole request once it has begun
        Tenths idle_timeout = 300'000;                // between requests
    };
    using Handler = std::function<transport::Async<Response>(protocol::HttpMessage)>;
    CallServer(transport::Reactor& reactor, const std::string& address, Options options, Handler handler);
    ~CallServer();
    void close_listener(); // no further connections; what is open goes on
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
    bool reap_set_ = false;
};

} // namespace ivyrill::http
