// The coroutine scheduler: one edge-triggered epoll set and a queue of coroutines that are ready to run.
// Coroutines are resumed only by `wait` and `run_ready`, so an owner may destroy one whenever no coroutine
// runs.
#pragma once
#include "base/time.hpp"

#include <coroutine>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace ivyrill::transport {

class Loop;

// A place where one coroutine can wait; destroying the slot removes the waiting coroutine from the queue.
class Slot {
  public:
    explicit Slot(Loop& loop) : loop_(loop) {}
    ~Slot();
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;
    void wake(); // schedules the waiting coroutine; if none waits, the next wait returns at once

    bool await_ready() { return std::exchange(set_, false); }
    void await_suspend(std::coroutine_handle<> waiting) { waiting_ = waiting; }
    void await_resume() { waiting_ = nullptr, queued_ = false; }

  private:
    Loop& loop_;
    std::coroutine_handle<> waiting_;
    bool set_ = false, queued_ = false;
};

// A descriptor in the epoll set. Its slots are woken on each edge; the waiting coroutine must read or write
// until the system returns EAGAIN.
class Source {
  public:
    Source(Loop& loop, int descriptor); // takes ownership of the descriptor
    ~Source();
    Source(const Source&) = delete;
    Source& operator=(const Source&) = delete;
    int descriptor() const { return descriptor_; }
    // The peer has closed its side or the connection is broken; known even if nothing is read.
    bool hung_up() const { return hung_up_; }

    Slot readable, writable;

  private:
    friend class Loop;
    Loop& loop_;
    int descriptor_;
    bool hung_up_ = false;
};

class Loop {
  public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    // Waits for events or until the given time, then runs all ready coroutines until they wait again.
    void wait(std::optional<Ticks> until);
    // The two halves of `wait`: waits for events and queues the coroutines they wake; runs the queue.
    void wait_for_events(std::optional<Ticks> until);
    void run_ready();
    bool has_ready() const { return !ready_.empty(); }
    // Unix time at startup, advanced by the monotonic clock: never goes back.
    Ticks now() const;
    static Ticks wall(); // the system's real-time clock, which may jump

  private:
    friend class Slot;
    friend class Source;
    int epoll_;
    std::int64_t steady_to_unix_us_;
    std::deque<std::coroutine_handle<>> ready_;
};

} // namespace ivyrill::transport
