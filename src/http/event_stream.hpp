// Splits the bytes of a `text/event-stream` body (WHATWG HTML, 9.2) into whole events, for a proxy that
// passes on whole events only: where the sender breaks off inside an event, nothing of that event has been
// passed on. Pure; the result doesn't depend on how the bytes were divided between calls.
#pragma once
#include "base/result.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ivyrill::http {

class EventStreamSplitter {
  public:
    // The most bytes that one event may have, its blank line included.
    explicit EventStreamSplitter(std::size_t max_event_bytes) : max_event_bytes_(max_event_bytes) {}

    // Takes the next bytes of the body. kProtocol where an event is longer than the bound: the events before
    // it can still be taken, and every later call fails likewise.
    Result<void> feed(std::string_view bytes);

    // The bytes of the events that became whole since the last call, as they came.
    std::string take_complete();

    // The id that the last whole event named (`id:`); events that name none leave it as it is, as browsers
    // do. Empty where none was named.
    const std::string& last_id() const { return last_id_; }
    // Whole events so far. Blank lines alone are passed on, but they are no event.
    std::uint64_t events() const { return events_; }
    // Bytes of an unfinished event are held back.
    bool partial() const { return !event_.empty(); }

  private:
    void line_done();
    void event_done();
    void read_field(std::string_view line);

    std::size_t max_event_bytes_;
    std::string whole_, event_;  // events to be taken; the unfinished one
    std::size_t line_begin_ = 0; // of the unfinished line, in event_
    std::string last_id_, id_;   // id_: that the unfinished event has named
    bool id_named_ = false, too_long_ = false, at_start_ = true;
    std::uint64_t events_ = 0;
};

} // namespace ivyrill::http
