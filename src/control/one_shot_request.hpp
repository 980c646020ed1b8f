// One HTTP/1.1 call of a duty on a connection of its own, which is reset at its end: what a cut holds up of
// it is then lost, and reaches nobody after the holder's lease. The system drops it as well, so that it is
// lost also where this process stands still meanwhile.
#pragma once
#include "transport/async.hpp"
#include "transport/reactor.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace ivyrill::control {

struct OneShotRequest {
    std::string address; // IP:PORT
    std::string request; // as it goes out
    Tenths delivery_patience = 0;
    Tenths answer_patience = 0; // since the connection was begun
};

struct OneShotResult {
    enum class Kind : std::uint8_t {
        kNotSent,    // no byte of it left, or it was no longer to be sent
        kUnanswered, // it may have been taken
        kNoAnswer,   // what came is no HTTP answer
        kAnswered
    };
    Kind kind = Kind::kNotSent;
    int status = 0; // where it was answered
};

// `may_send` is asked in the moment in which the call leaves. An answer counts by its status, whatever
// follows it.
transport::Async<OneShotResult> send_one_shot(transport::Reactor& reactor, OneShotRequest call,
                                              const std::function<bool()>& may_send);

} // namespace ivyrill::control
