// A session: the protocol of one client connection as a state machine without I/O. Bytes go in and searches
// come out; final answers go in and bytes come out. The owner of the connection transfers the bytes and
// passes the events to the reducer; a session knows no socket, event loop or reducer. A new protocol
// implements this interface and the translation of its requests into `protocol::SearchRequest` (see
// docs/architecture.md).
#pragma once
#include "base/time.hpp"
#include "protocol/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace ivyrill::sessions {

// Identifies a search on its connection; 0 for protocols with one search at a time.
using StreamId = std::uint32_t;

struct SearchRequested {
    StreamId stream = 0;
    protocol::SearchRequest request;
};
struct SearchCancelled { // the client cancelled it
    StreamId stream = 0;
};
struct AnsweredLocally {}; // a request other than a search was received and answered by the session
using SessionEvent = std::variant<SearchRequested, SearchCancelled, AnsweredLocally>;

struct NodeStatus { // front node state that sessions use; kept up to date by the owner
    bool ready = false;
    Ticks now = 0;
};

class Session {
  public:
    virtual ~Session() = default;

    // Consumes bytes until there is an event or it waits for an answer; returns how many.
    virtual std::size_t feed(std::string_view bytes) = 0;
    virtual bool wants_input() const = 0;         // would consume bytes now
    virtual bool has_partial_request() const = 0; // a request has begun but is incomplete
    std::vector<SessionEvent> take_events() { return std::exchange(events_, {}); } // since the last call

    // Sends the final answer of a search; dropped if its stream is closed.
    virtual void answer(StreamId stream, const protocol::FinalAnswer& answer, bool last) = 0;
    // Answers the request with an error instead. `last`: no further requests are accepted on this connection.
    virtual void reject(StreamId stream, int status, std::string_view reason, std::string_view challenge,
                        bool last) = 0;
    virtual void drain() {} // tells the client to reconnect elsewhere, if the protocol can

    virtual std::string take_output(std::size_t room) = 0; // returns at most `room` bytes for the client
    virtual std::size_t pending_answer_bytes() const {
        return 0;
    }                                // answer bytes held back by the client's flow control
    virtual bool closed() const = 0; // all output has been taken and no more input is read

  protected:
    std::vector<SessionEvent> events_;
};

} // namespace ivyrill::sessions
