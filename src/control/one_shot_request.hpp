// An HTTP/1.1 request of a duty on its own connection, which is reset afterwards: data held up by a network
// partition is then lost instead of arriving after the holder's lease. The kernel enforces the timeout as
// well, so that this holds even if the process is suspended meanwhile.
#pragma once
#include "transport/async.hpp"
#include "transport/reactor.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace ivyrill::control {

struct OneShotRequest {
    std::string address; // IP:PORT
    std::string request; // encoded request
    Ticks delivery_timeout = 0;
    Ticks response_timeout = 0; // since the start of the connection attempt
};

struct OneShotResult {
    enum class Kind : std::uint8_t {
        kNotSent,         // no byte was sent, or it was no longer allowed
        kUnanswered,      // the server may have processed it
        kInvalidResponse, // the response is not valid HTTP
        kAnswered
    };
    Kind kind = Kind::kNotSent;
    int status = 0; // if answered
};

// `may_send` is called just before the request is written. Once a status line has arrived the status counts,
// whatever follows.
transport::Async<OneShotResult> send_one_shot(transport::Reactor& reactor, OneShotRequest call,
                                              const std::function<bool()>& may_send);

} // namespace ivyrill::control
