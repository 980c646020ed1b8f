// A TCP connection: a ring a direction, and two coroutines that keep the rings and the system in step.
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
int port_of(int descriptor);                // the local one
int connect_to(const std::string& address); // does not wait; below zero where it fails at once
void reset_on_close(int descriptor);        // what its end has not received by then is lost
// What the other end has not received so long after it was sent is lost with the connection. The system keeps
// it, also where this process stands still.
void set_delivery_timeout(int descriptor, Tenths span);
int accept_from(int listener);  // below zero where there is none, see errno
bool connected(int descriptor); // once it can be written to

class Stream {
  public:
    enum class Start { kConnected, kConnecting };
    Stream(Loop& loop, int descriptor, Start start, std::size_t max_input_bytes,
           std::size_t max_output_bytes);

    Slot changed; // woken on new bytes, on the end, once connected, and when bytes were written

    // Woken with `changed` from here on; null for none. It must outlive its being named here.
    void also_wake(Slot* slot) { other_slot_ = slot; }

    bool established() const { return established_; }
    bool ended() const { return ended_; }     // nothing comes any more, nothing can be written
    bool was_reset() const { return reset_; } // it ended by an error, not by the other side's close
    // The other side has closed, though bytes that it sent before may be unread for want of room.
    bool hung_up() const { return ended_ || source_.hung_up(); }
    bool has_unread_input() const;                     // bytes lie here or with the system
    std::uint64_t written() const { return written_; } // bytes that the system has taken so far
    std::uint64_t transferred_bytes() const { return received_ + written_; }
    std::size_t unwritten() const { return out_.size(); }
    std::size_t room() const { return out_.room(); }
    Tenths last_receive_age() const;   // of the last bytes that reached this machine, read or not
    bool send(std::string_view bytes); // false where the ring has no room for them
    void finish();                     // nothing more will be sent; the other side is told
    void abandon() {
        output_closed_ = true;
    } // nothing more is written from here on, not even what is in the ring
    // Hands what has come to a parser, as far as it takes it; the room is read into again.
    template <class Parser> std::size_t feed(Parser& parser) { // so many bytes it took
        const std::size_t taken = parser.feed(in_.front());
        in_.consume(taken);
        if (input_full_) source_.readable.wake();
        return taken;
    }
    void discard() { // what has come
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
    bool output_closed_ = false,
         write_failed_ = false; // nothing more is written; because the system refused it
    bool input_full_ = false;   // the reader waits for room, or for the other side's end
    Task reader_, writer_;      // last, so that they are freed first
};

} // namespace ivyrill::transport
