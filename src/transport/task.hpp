// A coroutine owned by exactly one Task. It runs from start() until it first waits. Its frame is destroyed
// with the Task, which must not happen while the coroutine runs.
#pragma once
#include <coroutine>
#include <exception>
#include <utility>

namespace ivyrill::transport {

class Task {
  public:
    struct promise_type {
        std::exception_ptr error;
        Task get_return_object() { return Task(std::coroutine_handle<promise_type>::from_promise(*this)); }
        std::suspend_always initial_suspend() noexcept { return {}; }
        std::suspend_always final_suspend() noexcept { return {}; }
        void return_void() {}
        void unhandled_exception() { error = std::current_exception(); }
    };

    Task() = default;
    Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
    Task& operator=(Task&& other) noexcept {
        if (this != &other) destroy(), handle_ = std::exchange(other.handle_, {});
        return *this;
    }
    ~Task() { destroy(); }

    void start() { handle_.resume(); }
    bool done() const { return !handle_ || handle_.done(); }
    std::exception_ptr error() const { return handle_ ? handle_.promise().error : nullptr; }

  private:
    explicit Task(std::coroutine_handle<promise_type> handle) : handle_(handle) {}
    void destroy() {
        if (handle_) handle_.destroy();
        handle_ = {};
    }
    std::coroutine_handle<promise_type> handle_;
};

} // namespace ivyrill::transport
