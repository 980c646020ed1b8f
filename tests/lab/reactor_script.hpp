// Drives objects in a reactor from a test: the test is one coroutine that awaits conditions, each with a
// timeout; the reactor stops when it ends. Nothing sleeps: between two checks of a condition the reactor does
// its work.
#pragma once
#include "transport/async.hpp"
#include "transport/reactor.hpp"

#include <exception>
#include <functional>
#include <utility>

namespace ivyrill::lab {

class ReactorScript {
  public:
    using Step = transport::Async<transport::Done>;

    transport::Reactor reactor; // destroyed last: declare objects that use it after the script

    // Waits until the condition holds; returns false after `timeout`, which only a failing test uses up.
    transport::Async<bool> until(std::function<bool()> holds, Ticks timeout = 10 * kTicksPerSecond) {
        const Ticks give_up = reactor.now() + timeout;
        transport::Slot slot(reactor.loop());
        while (!holds()) {
            if (reactor.now() >= give_up) co_return false;
            const transport::WakeAt timer(reactor, reactor.now() + kPollInterval, slot);
            co_await slot;
        }
        co_return true;
    }
    // Runs the script once, until it is done; rethrows its exceptions.
    void run(const std::function<Step()>& body) {
        std::exception_ptr failure;
        reactor.spawn(guard(reactor, body, failure));
        reactor.run();
        if (failure) std::rethrow_exception(failure);
    }

  private:
    static constexpr Ticks kPollInterval = 10; // 1 ms

    static transport::Task guard(transport::Reactor& reactor, const std::function<Step()>& body,
                                 std::exception_ptr& failure) {
        try {
            co_await body();
        } catch (...) { failure = std::current_exception(); }
        reactor.stop();
    }
};

} // namespace ivyrill::lab
