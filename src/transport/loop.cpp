#include "transport/loop.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <sys/epoll.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace ivyrill::transport {

namespace {

std::int64_t clock_us(clockid_t clock) {
    timespec at{};
    clock_gettime(clock, &at);
    return at.tv_sec * 1'000'000 + at.tv_nsec / 1000;
}

std::int64_t steady_us() { return clock_us(CLOCK_MONOTONIC); }
std::int64_t unix_us() { return clock_us(CLOCK_REALTIME); }

} // namespace

Slot::~Slot() {
    if (queued_ && waiting_) std::erase(loop_.ready_, waiting_);
}

void Slot::wake() {
    if (!waiting_) {
        set_ = true;
    } else if (!queued_) {
        queued_ = true;
        loop_.ready_.push_back(waiting_);
    }
}

Source::Source(Loop& loop, int descriptor)
    : readable(loop), writable(loop), loop_(loop), descriptor_(descriptor) {
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.ptr = this;
    if (epoll_ctl(loop_.epoll_, EPOLL_CTL_ADD, descriptor_, &event) != 0) {
        const int error = errno;
        close(descriptor_);
        throw std::system_error(error, std::generic_category(), "epoll_ctl");
    }
}

// Closing a descriptor removes it from the epoll set only if no copy exists. A child process that is being
// started may hold one, and events would then keep arriving for a destroyed Source.
Source::~Source() {
    epoll_ctl(loop_.epoll_, EPOLL_CTL_DEL, descriptor_, nullptr);
    close(descriptor_);
}

Loop::Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)), steady_to_unix_us_(unix_us() - steady_us()) {
    if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

Loop::~Loop() { close(epoll_); }

Ticks Loop::now() const { return ticks_rounded_down(steady_us() + steady_to_unix_us_); }

Ticks Loop::wall() { return ticks_rounded_down(unix_us()); }

void Loop::wait(std::optional<Ticks> until) {
    wait_for_events(until);
    run_ready();
}

void Loop::wait_for_events(std::optional<Ticks> until) {
    std::array<epoll_event, 256> events;
    timespec timeout{};
    timespec* limit = nullptr;
    if (!ready_.empty()) {
        limit = &timeout;
    } else if (until) {
        const std::int64_t left =
            std::max<std::int64_t>(0, to_micros(*until) - steady_us() - steady_to_unix_us_);
        timeout.tv_sec = left / 1'000'000, timeout.tv_nsec = left % 1'000'000 * 1000;
        limit = &timeout;
    }
    const int count = epoll_pwait2(epoll_, events.data(), events.size(), limit, nullptr);
    if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_pwait2");
    for (int i = 0; i < count; ++i) {
        auto* source = static_cast<Source*>(events[i].data.ptr);
        const auto flags = events[i].events;
        if (flags & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) source->hung_up_ = true;
        if (flags & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) source->readable.wake();
        if (flags & (EPOLLOUT | EPOLLHUP | EPOLLERR)) source->writable.wake();
    }
}

void Loop::run_ready() {
    // Coroutines woken meanwhile run too; the round is bounded so that timers are served.
    for (std::size_t left = ready_.size() * 4; left > 0 && !ready_.empty(); --left) {
        const std::coroutine_handle<> next = ready_.front();
        ready_.pop_front();
        next.resume();
    }
}

} // namespace ivyrill::transport
