// A connection between two of ivyrill's own processes: typed messages in both directions, with liveness
// detection. The owner of a link gets each message through a callback; after the link has ended there are no
// more callbacks. The transport is behind the interface: sockets in the programs, a simulated network in
// tests.
#pragma once
#include "base/result.hpp"
#include "base/time.hpp"
#include "feed/messages.hpp"

#include <functional>
#include <memory>
#include <string>

namespace ivyrill::feed {

class Link {
  public:
    struct Callbacks {
        std::function<void()> up; // only for links that this side opened
        std::function<void(Message)> received;
        std::function<void(const Error&)> unreadable; // invalid data was received; the link ends
        // Last callback; the owner destroys the link through `free_later`.
        std::function<void(const std::string& reason)> ended;
    };
    Link() = default;
    virtual ~Link() = default;
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    // To be called once the owner holds the link: data received before is delivered from here on.
    virtual void start() = 0;
    virtual bool up() const = 0;
    // False if the peer reads too slowly or is gone; the link then ends.
    virtual bool send_frame(const std::string& frame) = 0;
    virtual bool send(const Message& message) = 0;
    virtual void end(const std::string& reason) = 0;
};

// Factory for the link of an incoming connection; to be called once. `silence`: the link ends after this long
// without data from the peer; 0: never.
using AcceptedLink = std::function<std::unique_ptr<Link>(Ticks silence, Link::Callbacks callbacks)>;

// Listens for connections until it is destroyed.
class LinkListener {
  public:
    LinkListener() = default;
    virtual ~LinkListener() = default;
    LinkListener(const LinkListener&) = delete;
    LinkListener& operator=(const LinkListener&) = delete;
};

class LinkNetwork {
  public:
    LinkNetwork() = default;
    virtual ~LinkNetwork() = default;
    LinkNetwork(const LinkNetwork&) = delete;
    LinkNetwork& operator=(const LinkNetwork&) = delete;
    // Null if the connection can't even be started.
    virtual std::unique_ptr<Link> connect(const std::string& address, Ticks silence,
                                          Link::Callbacks callbacks) = 0;
    virtual std::unique_ptr<LinkListener> listen(const std::string& address,
                                                 std::function<void(AcceptedLink)> accepted) = 0;
};

} // namespace ivyrill::feed
