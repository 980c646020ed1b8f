// An HTTP/1.1 client connection for one request at a time. The user selects the slot that its stream wakes.
#pragma once
#include "protocol/http.hpp"
#include "transport/reactor.hpp"
#include "transport/stream.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace ivyrill::http {

class ClientConnection {
  public:
    // Returns null if connecting fails at once.
    static std::unique_ptr<ClientConnection> open(transport::Reactor& reactor, const std::string& address,
                                                  std::size_t max_output_bytes) {
        const int descriptor = transport::connect_to(address);
        if (descriptor < 0) return nullptr;
        return std::unique_ptr<ClientConnection>(new ClientConnection(reactor, descriptor, max_output_bytes));
    }
    // For a single call: data that is not delivered within `delivery_timeout` is dropped, as is data in
    // transit when the connection is closed.
    static std::unique_ptr<ClientConnection> open_for_one_call(transport::Reactor& reactor,
                                                               const std::string& address,
                                                               std::size_t max_output_bytes,
                                                               Ticks delivery_timeout) {
        const int descriptor = transport::connect_to(address);
        if (descriptor < 0) return nullptr;
        transport::reset_on_close(descriptor);
        transport::set_delivery_timeout(descriptor, delivery_timeout);
        return std::unique_ptr<ClientConnection>(new ClientConnection(reactor, descriptor, max_output_bytes));
    }

    transport::Stream& stream() { return stream_; }
    protocol::HttpParser& parser() { return parser_; }
    // Feeds received bytes to the parser; returns whether there were any.
    bool read() {
        bool any = false;
        while (stream_.unread() && !parser_.complete() && parser_.broken() == 0)
            any = stream_.feed(parser_) > 0 || any;
        return any;
    }
    std::size_t buffered_bytes() const { return stream_.buffered_bytes() + parser_.buffered_bytes(); }
    // Established, with no unread input and no close by the server: the next request may use it.
    bool reusable() {
        return stream_.established() && !stream_.hung_up() && !stream_.has_unread_input() && !parser_.begun();
    }

    Ticks idle_since = 0;
    Ticks server_idle_timeout = 0; // from the server's Keep-Alive header; 0 if absent
    std::uint64_t uses = 0;
    std::uint64_t number = 0; // unique in its pool

  private:
    ClientConnection(transport::Reactor& reactor, int descriptor, std::size_t max_output_bytes)
        : stream_(reactor.loop(), descriptor, transport::Stream::Start::kConnecting, kMaxUnreadBytes,
                  max_output_bytes),
          parser_(protocol::HttpParser::Side::kResponses, {32 * 1024, kMaxBodyBytes}) {
        transport::limit_system_buffers(descriptor, kMaxUnreadBytes);
    }
    static constexpr std::size_t kMaxUnreadBytes = 64 * 1024;
    static constexpr std::size_t kMaxBodyBytes = 256 * 1024; // until it is taken from the parser
    transport::Stream stream_;
    protocol::HttpParser parser_;
};

} // namespace ivyrill::http
