// A model server on a loopback socket whose answers a test writes byte by byte. Records every request and the
// connection on which it came.
#pragma once
#include "protocol/http.hpp"
#include "transport/listener.hpp"
#include "transport/reactor.hpp"
#include "transport/stream.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace ivyrill::lab {

class ScriptedServer {
  public:
    struct Call {
        protocol::HttpMessage request;
        std::size_t connection = 0; // in the order of their arrival
        std::size_t number = 0;     // of the request on its connection, from 0
    };
    // Returns the bytes to send after this request; empty: none.
    using Script = std::function<std::string(const Call&)>;

    ScriptedServer(transport::Reactor& reactor, Script script)
        : reactor_(reactor), script_(std::move(script)),
          listener_(reactor, "127.0.0.1:0",
                    [this](int descriptor) { reactor_.spawn(serve(descriptor, connections_++)); }) {}
    std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
    const std::vector<Call>& calls() const { return calls_; }

  private:
    static constexpr std::size_t kMaxBufferBytes = 8 << 20;

    transport::Task serve(int descriptor, std::size_t connection) {
        using transport::Stream;
        const auto stream = std::make_unique<Stream>(reactor_.loop(), descriptor, Stream::Start::kConnected,
                                                     kMaxBufferBytes, kMaxBufferBytes);
        protocol::HttpParser parser(protocol::HttpParser::Side::kRequests);
        for (std::size_t number = 0; !stream->ended() && parser.broken() == 0;) {
            if (parser.complete()) {
                calls_.push_back({parser.take(), connection, number++});
                stream->send(script_(calls_.back()));
            } else if (stream->unread()) {
                stream->feed(parser);
            } else {
                co_await stream->changed;
            }
        }
    }

    transport::Reactor& reactor_;
    Script script_;
    std::size_t connections_ = 0;
    std::vector<Call> calls_;
    transport::Listener listener_;
};

} // namespace ivyrill::lab
