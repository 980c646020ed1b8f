// Splits a `text/event-stream` body (WHATWG HTML, 9.2) into whole events, for a proxy that forwards only
// whole events: if the sender breaks off within an event, no part of that event has been forwarded. Pure; the
// result does not depend on how the bytes are divided between calls.
#pragma once
#include "base/result.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ivyrill::http {

class EventStreamSplitter {
  public:
    // The maximum size of one event, including its blank line.
    explicit EventStreamSplitter(std::size_t max_event_bytes) : max_event_bytes_(max_event_bytes) {}

    // Takes the next bytes of the body. Fails with kProtocol if an event exceeds the limit: the preceding
    // events can still be taken, and all later calls fail too.
    Result<void> feed(std::string_view bytes);

    // The unmodified bytes of the events completed since the last call.
    std::string take_complete();

    // The id of the last complete event with an `id:` field, as in browsers. Empty if there was none.
    const std::string& last_id() const { return last_id_; }
    // Complete events so far. Blank lines alone are forwarded but not counted.
    std::uint64_t events() const { return events_; }
    // An incomplete event is being held back.
    bool partial() const { return !event_.empty(); }
    std::size_t buffered_bytes() const { return complete_.capacity() + event_.capacity(); }

  private:
    void finish_line();
    void finish_event();
    void read_field(std::string_view line);

    std::size_t max_event_bytes_;
    std::string complete_, event_; // complete events to be taken; the incomplete event
    std::size_t line_begin_ = 0;   // offset of the incomplete line in event_
    std::string last_id_, id_;     // id_: that of the incomplete event
    bool id_seen_ = false, too_long_ = false, at_start_ = true;
    std::uint64_t events_ = 0;
};

} // namespace ivyrill::http
