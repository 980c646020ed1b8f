// Connections to servers, kept for further requests. A server is known by its instance id, so that one that
// took over an address is never spoken to over its predecessor's connection.
#pragma once
#include "http/client_connection.hpp"
#include "transport/reactor.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ivyrill::proxy {

class ServerConnections {
  public:
    ServerConnections(transport::Reactor& reactor, std::size_t most_out)
        : reactor_(reactor), most_out_(most_out) {}
    ~ServerConnections();

    // One that rests since at most `longest_idle`, proven quiet; null without one.
    std::unique_ptr<http::ClientConnection> take_idle(const std::string& instance, Tenths longest_idle);
    std::unique_ptr<http::ClientConnection> open(const std::string& address);
    void give_back(const std::string& instance, std::unique_ptr<http::ClientConnection> connection);
    // Ends one in use: a running coroutine may stand on it, so it is freed in a later turn.
    void discard(std::unique_ptr<http::ClientConnection> connection);
    void keep_only(const std::function<bool(const std::string&)>& known); // instances
    void start(); // closing what has rested for too long

  private:
    void close_idle();

    transport::Reactor& reactor_;
    std::size_t most_out_;
    std::map<std::string, std::vector<std::unique_ptr<http::ClientConnection>>> idle_;
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::proxy
