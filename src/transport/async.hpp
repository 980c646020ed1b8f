// A coroutine that another coroutine awaits for its result. It starts when awaited. Its frame is owned by the
// Async, so destroying the outermost coroutine destroys all that it awaits.
#pragma once
#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace ivyrill::transport {

template <class Value> class Async {
  public:
    struct promise_type {
        std::optional<Value> value;
        std::exception_ptr error;
        std::coroutine_handle<> awaiting;

        Async get_return_object() { return Async(std::coroutine_handle<promise_type>::from_promise(*this)); }
        std::suspend_always initial_suspend() noexcept { return {}; }
        struct Resume {
            bool await_ready() noexcept { return false; }
            std::coroutine_handle<> await_suspend(std::coroutine_handle<promise_type> ended) noexcept {
                return ended.promise().awaiting;
            }
            void await_resume() noexcept {}
        };
        Resume final_suspend() noexcept { return {}; }
        void return_value(Value result) { value.emplace(std::move(result)); }
        void unhandled_exception() { error = std::current_exception(); }
    };

    Async(Async&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
    Async& operator=(Async&&) = delete;
    ~Async() {
        if (handle_) handle_.destroy();
    }

    bool await_ready() const { return false; }
    std::coroutine_handle<> await_suspend(std::coroutine_handle<> awaiting) {
        handle_.promise().awaiting = awaiting;
        return handle_;
    }
    Value await_resume() {
        if (handle_.promise().error) std::rethrow_exception(handle_.promise().error);
        return std::move(*handle_.promise().value);
    }

  private:
    explicit Async(std::coroutine_handle<promise_type> handle) : handle_(handle) {}
    std::coroutine_handle<promise_type> handle_;
};

struct Done {}; // the result of a coroutine that returns no value

} // namespace ivyrill::transport
