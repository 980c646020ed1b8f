// A session: one client connection's protocol as a state machine free of I/O. Bytes go in and searches come
// out; final answers go in and bytes come out. Whoever owns the connection moves the bytes and hands the news
// to the reducer; no session knows a socket, a loop or the reducer. What a new session has to write is this
// interface, and how its requests become `protocol::SearchRequest` (see docs/architecture.md).
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

using StreamId = std::uint32_t; // of a search on its connection; a session with one search at a time uses 0

struct SearchRequested {
    StreamId stream = 0;
    protocol::SearchRequest request;
};
struct SearchCancelled { // its client has taken it back
    StreamId stream = 0;
};
struct AnsweredLocally {}; // something else than a search was asked for and has its answer
using SessionEvent = std::variant<SearchRequested, SearchCancelled, AnsweredLocally>;

struct NodeStatus { // what a session may know of the front node; its owner keeps it up to date
    bool ready = false;
    Tenths now = 0;
};

class Session {
  public:
    virtual ~Session() = default;

    // Takes bytes until it has news or waits for an answer; says how many.
    virtual std::size_t feed(std::string_view bytes) = 0;
    virtual bool wants_input() const = 0;         // would take bytes now
    virtual bool has_partial_request() const = 0; // a request has begun and is not whole
    std::vector<SessionEvent> take_events() {
        return std::exchange(events_, {});
    } // since they were asked for last

    // The one final answer of a search; one for a stream that has gone is dropped.
    virtual void answer(StreamId stream, const protocol::FinalAnswer& answer, bool last) = 0;
    // ... or a word about the request itself. `last`: nothing more is taken on this connection.
    virtual void reject(StreamId stream, int status, std::string_view reason, std::string_view challenge,
                        bool last) = 0;
    virtual void drain() {} // tell the client, where the protocol can, that it should go elsewhere

    virtual std::string
    take_output(std::size_t room) = 0; // bytes for the client, no more than there is room for
    virtual std::size_t pending_answer_bytes() const {
        return 0;
    }                                // bytes of answers that the client does not let out
    virtual bool closed() const = 0; // the last word is taken out; what still comes is not read

  protected:
    std::vector<SessionEvent> events_;
};

} // namespace ivyrill::sessions
