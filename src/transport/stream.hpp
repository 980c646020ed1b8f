// A TCP connection: a ring buffer for each direction, and two coroutines that transfer between the buffers
// and the system.
#pragma once
#include "transport/address.hpp"
#include "transport/loop.hpp"
#include "transport/ring_buffer.hpp"
#include "transport/task.hpp"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace ivyrill::transport {

int listen_at(const std::string& address);  // `1.2.3.4:80`; throws AddressError or std::system_error
int port_of(int descriptor);                // the local port
int connect_to(const std::string& address); // non-blocking; negative if it fails at once
// On close, data that the peer has not received is discarded and the connection is reset.
void reset_on_close(int descriptor);
// The system drops the connection, with its unacknowledged data, if data stays unacknowledged for this long,
// even while this process does not run.
void set_delivery_timeout(int descriptor, Ticks span);
// The system buffers at most about this much in either direction: unread input, and output that was not sent
// yet.
void limit_system_buffers(int descriptor, int bytes);
void close_descriptor(int descriptor);
int accept_from(int listener);  // negative if there is none, see errno
bool connected(int descriptor); // after the descriptor became writable

class Stream {
  public:
    enum class Start { kConnected, kConnecting };
    Stream(Loop& loop, int descriptor, Start start, std::size_t max_input_bytes,
           std::size_t max_output_bytes);

    Slot changed; // woken by new input, end of the connection, establishment and written output

    // Also woken whenever `changed` is; null for none. Must outlive its registration.
    void also_wake(Slot* slot) { other_slot_ = slot; }

    bool established() const { return established_; }
    bool ended() const { return ended_; }     // no more input arrives and nothing can be written
    bool was_reset() const { return reset_; } // ended by an error, not by the peer's close
    // The peer has closed, even if input that it sent before is still unread for lack of room.
    bool hung_up() const { return ended_ || source_.hung_up(); }
    bool has_unread_input() const;                     // in this buffer or in the system's
    std::uint64_t written() const { return written_; } // total bytes written to the system
    std::uint64_t transferred_bytes() const { return received_ + written_; }
    std::size_t unwritten() const { return out_.size(); }
    std::size_t unread_bytes() const { return in_.size(); }
    std::size_t buffered_bytes() const { return in_.capacity() + out_.capacity(); } // memory of both buffers
    std::size_t room() const { return out_.room(); }
    Ticks last_receive_age() const;           // time since the last bytes reached this machine, read or not
    bool send(std::string_view bytes);        // false if the buffer has no room for them
    void finish();                            // closes the sending side of the connection
    void abandon() { output_closed_ = true; } // writes nothing more, not even what is buffered
    // Feeds received bytes to a parser, which may consume only some, and resumes reading.
    template <class Parser> std::size_t feed(Parser& parser) { // returns the number of bytes consumed
        const std::size_t consumed = parser.feed(in_.front());
        in_.consume(consumed);
        if (input_full_) source_.readable.wake();
        return consumed;
    }
    void discard() { // drops all received input
        in_.consume(in_.front().size());
        if (input_full_) source_.readable.wake();
    }
    bool unread() const { return !in_.empty(); }

  private:
    Task pump_in();
    Task pump_out();
    void write_some();
    void end();
    void notify();

    Source source_;
    Slot* other_slot_ = nullptr;
    Slot establishment_, outgoing_;
    RingBuffer in_, out_;
    std::uint64_t received_ = 0, written_ = 0;
    bool established_, ended_ = false, reset_ = false;
    // output_closed_: nothing more is written. write_failed_: because a write failed.
    bool output_closed_ = false, write_failed_ = false;
    bool input_full_ = false; // the reader waits for room or for the peer's close
    Task reader_, writer_;    // declared last, so that they are destroyed first
};

} // namespace ivyrill::transport
