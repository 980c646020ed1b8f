// A process's event loop with what coroutines need besides sockets: timers, a clock that is constant within a
// turn, tasks that are destroyed after they end, and calls from other threads.
#pragma once
#include "transport/loop.hpp"
#include "transport/task.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace ivyrill::transport {

class Reactor {
  public:
    using TimerId = std::pair<Ticks, std::uint64_t>;

    Reactor();
    // For simulations: time is given by `turn`. Nothing waits, and `run` must not be called.
    explicit Reactor(Ticks start);
    ~Reactor();
    Reactor(const Reactor&) = delete;
    Reactor& operator=(const Reactor&) = delete;

    Loop& loop() { return loop_; }
    Ticks now() const { return now_; } // of the current turn
    // How long this turn was delayed beyond the requested wakeup time, since the process was suspended or
    // starved.
    Ticks stalled_for() const { return stalled_for_; }

    TimerId call_at(Ticks at, std::function<void()> call);
    TimerId call_after(Ticks span, std::function<void()> call) {
        return call_at(now_ + span, std::move(call));
    }
    void cancel(TimerId id) { timers_.erase(id); }
    void spawn(Task task);                 // started at once; destroyed after the turn in which it ends
    void post(std::function<void()> call); // thread-safe; the call runs in a turn of this loop
    // `on_signal` is called with the signal's number in a turn of this loop, also for signals that were
    // blocked until now.
    void handle_signals(const std::vector<int>& numbers, std::function<void(int)> on_signal);

    void run(); // until stop() is called
    void stop() { stopped_ = true; }
    bool stopped() const { return stopped_; }
    // Runs one turn at the given time: due timers, then all ready coroutines, then destroys what has ended.
    void turn(Ticks now, Ticks stalled_for);
    // When the next turn has work: `now` if a coroutine is ready, kNever if there are no timers.
    Ticks next_turn() const;
    static constexpr Ticks kNever = INT64_MAX;
    // Defers destroying an object that a running coroutine uses to the end of the turn.
    void free_later(std::function<void()> call) { freed_later_.push_back(std::move(call)); }

  private:
    Task read_pipe();
    void run_due_timers();
    void free_ended();
    void start_pipe();

    Loop loop_;
    Ticks now_, stalled_for_ = 0;
    std::uint64_t timer_count_ = 0;
    std::map<TimerId, std::function<void()>> timers_;
    std::list<Task> tasks_;
    std::vector<std::function<void()>> freed_later_;
    std::mutex posted_mutex_;
    std::vector<std::function<void()>> posted_;
    std::function<void(int)> on_signal_;
    int pipe_write_ = -1;
    std::unique_ptr<Source> pipe_;
    Task pipe_reader_;
    bool stopped_ = false;
};

// A timer that wakes a slot; cancelled when it goes out of scope.
class WakeAt {
  public:
    WakeAt(Reactor& reactor, Ticks at, Slot& slot)
        : reactor_(reactor), id_(reactor.call_at(at, [&slot] { slot.wake(); })) {}
    ~WakeAt() { reactor_.cancel(id_); }
    WakeAt(const WakeAt&) = delete;
    WakeAt& operator=(const WakeAt&) = delete;

  private:
    Reactor& reactor_;
    Reactor::TimerId id_;
};

} // namespace ivyrill::transport
