// Pool of connections to servers, keyed by instance id, so that a server that takes over an address is never
// reached over its predecessor's connection.
#pragma once
#include "http/client_connection.hpp"
#include "transport/reactor.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ivyrill::proxy {

class ServerConnections {
  public:
    ServerConnections(transport::Reactor& reactor, std::size_t max_unsent)
        : reactor_(reactor), max_unsent_(max_unsent) {}
    ~ServerConnections();

    // A connection that has been idle for at most `max_idle`, has no pending input and is not one of
    // `excluded` (by their numbers); null if there is none.
    std::unique_ptr<http::ClientConnection> take_idle(const std::string& instance, Ticks max_idle,
                                                      const std::set<std::uint64_t>& excluded = {});
    // A new connection, for which idle ones are closed if there is no descriptor left; null if it can't be
    // opened.
    std::unique_ptr<http::ClientConnection> open(const std::string& address);
    void release(const std::string& instance, std::unique_ptr<http::ClientConnection> connection);
    // Closes a connection in use. A running coroutine may refer to it, so it is freed in a later turn.
    void discard(std::unique_ptr<http::ClientConnection> connection);
    void keep_only(const std::function<bool(const std::string&)>& known); // instances
    void start(); // starts closing connections that are idle for too long

  private:
    void close_idle();

    transport::Reactor& reactor_;
    std::size_t max_unsent_;
    std::uint64_t opened_ = 0; // connections so far
    std::map<std::string, std::vector<std::unique_ptr<http::ClientConnection>>> idle_;
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::proxy
