#include "transport/reactor.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace ivyrill::transport {

namespace {

constexpr char kPosted = 0; // byte in the pipe for a posted call; any other byte is a signal number
int signal_pipe = -1;       // written by this process's signal handler

void write_signal(int number) {
    const int error = errno;
    const char byte = static_cast<char>(number);
    [[maybe_unused]] const ssize_t written = write(signal_pipe, &byte, 1);
    errno = error;
}

} // namespace

Reactor::Reactor() : now_(loop_.now()) { start_pipe(); }

Reactor::Reactor(Ticks start) : now_(start) {}

void Reactor::start_pipe() {
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0)
        throw std::system_error(errno, std::generic_category(), "pipe2");
    pipe_write_ = ends[1];
    pipe_ = std::make_unique<Source>(loop_, ends[0]);
    pipe_reader_ = read_pipe();
    pipe_reader_.start();
}

Reactor::~Reactor() {
    if (pipe_write_ < 0) return;
    if (signal_pipe == pipe_write_) signal_pipe = -1;
    close(pipe_write_);
}

Reactor::TimerId Reactor::call_at(Ticks at, std::function<void()> call) {
    const TimerId id{at, ++timer_count_};
    timers_.emplace(id, std::move(call));
    return id;
}

void Reactor::spawn(Task task) {
    Task& placed = tasks_.emplace_back(std::move(task));
    placed.start();
}

void Reactor::post(std::function<void()> call) {
    {
        const std::lock_guard lock(posted_mutex_);
        posted_.push_back(std::move(call));
    }
    [[maybe_unused]] const ssize_t written = write(pipe_write_, &kPosted, 1);
}

void Reactor::handle_signals(const std::vector<int>& numbers, std::function<void(int)> on_signal) {
    on_signal_ = std::move(on_signal);
    signal_pipe = pipe_write_;
    sigset_t handled;
    sigemptyset(&handled);
    for (const int number : numbers) {
        struct sigaction action {};
        action.sa_handler = write_signal;
        action.sa_flags = SA_RESTART;
        sigaction(number, &action, nullptr);
        sigaddset(&handled, number);
    }
    pthread_sigmask(SIG_UNBLOCK, &handled, nullptr);
}

Task Reactor::read_pipe() {
    // Works around GCC 12, which loses a pointer dereferenced in a co_await under its sanitizers.
    Source& pipe = *pipe_;
    for (;;) {
        std::array<char, 64> bytes{};
        const ssize_t count = read(pipe.descriptor(), bytes.data(), bytes.size());
        if (count <= 0) {
            co_await pipe.readable;
            continue;
        }
        for (ssize_t i = 0; i < count; ++i)
            if (bytes[static_cast<std::size_t>(i)] != kPosted && on_signal_)
                on_signal_(bytes[static_cast<std::size_t>(i)]);
        std::vector<std::function<void()>> calls;
        {
            const std::lock_guard lock(posted_mutex_);
            calls.swap(posted_);
        }
        for (const auto& call : calls) call();
    }
}

void Reactor::run_due_timers() {
    while (!timers_.empty() && timers_.begin()->first.first <= now_) {
        const auto call = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        call();
    }
}

void Reactor::free_ended() {
    std::erase_if(tasks_, [](const Task& task) { return task.done(); });
    std::vector<std::function<void()>> calls;
    calls.swap(freed_later_);
    for (const auto& call : calls) call();
}

void Reactor::run() {
    while (!stopped_) {
        std::optional<Ticks> until;
        if (!timers_.empty()) until = timers_.begin()->first.first;
        loop_.wait_for_events(until);
        const Ticks woken = loop_.now();
        turn(woken, until ? std::max<Ticks>(0, woken - std::max(*until, now_)) : 0);
    }
}

void Reactor::turn(Ticks now, Ticks stalled_for) {
    now_ = now, stalled_for_ = stalled_for;
    run_due_timers();
    loop_.run_ready();
    free_ended();
}

Ticks Reactor::next_turn() const {
    if (loop_.has_ready() || !freed_later_.empty()) return now_;
    return timers_.empty() ? kNever : timers_.begin()->first.first;
}

} // namespace ivyrill::transport
