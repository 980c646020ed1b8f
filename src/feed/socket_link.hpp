// Links over TCP: messages encoded as CBOR in frames.
#pragma once
#include "feed/link.hpp"
#include "transport/listener.hpp"
#include "transport/reactor.hpp"
#include "transport/stream.hpp"
#include "wire/cbor.hpp"
#include "wire/frame.hpp"

#include <memory>
#include <string>

namespace ivyrill::feed {

class SocketLink : public Link {
  public:
    SocketLink(transport::Reactor& reactor, int descriptor, transport::Stream::Start start, Ticks silence,
               Callbacks callbacks);
    ~SocketLink() override;
    void start() override;
    bool up() const override { return stream_.established() && !ended_; }
    bool send(const Message& message) override;
    bool send_frame(const std::string& frame) override;
    void end(const std::string& reason) override;

  private:
    transport::Task read();
    void fail(const Error& error);
    void check_silence();

    transport::Reactor& reactor_;
    transport::Slot wake_;
    transport::Stream stream_;
    Ticks silence_, last_received_;
    Callbacks callbacks_;
    wire::FrameReader reader_;
    bool reported_up_ = false, ended_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    transport::Reactor::TimerId silence_timer_{};
    transport::Task task_;
};

// Wraps the descriptor of an accepted connection.
AcceptedLink accept_socket(transport::Reactor& reactor, int descriptor);

class SocketNetwork : public LinkNetwork {
  public:
    explicit SocketNetwork(transport::Reactor& reactor) : reactor_(reactor) {}
    std::unique_ptr<Link> connect(const std::string& address, Ticks silence,
                                  Link::Callbacks callbacks) override;
    // Throws AddressError or std::system_error.
    std::unique_ptr<LinkListener> listen(const std::string& address,
                                         std::function<void(AcceptedLink)> accepted) override;

  private:
    transport::Reactor& reactor_;
};

} // namespace ivyrill::feed
