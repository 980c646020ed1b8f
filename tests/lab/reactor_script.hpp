// Drives what lives in a reactor from a test: the test is one coroutine that awaits conditions, each with a
// bound in time; the reactor ends with it. Nothing sleeps: between two looks at a condition the reactor does
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

    transport::Reactor reactor; // destroyed last: declare what lives in it after the script

    // Until the condition holds; false where it doesn't within `patience`, which only a failure uses up.
    transport::Async<bool> until(std::function<bool()> holds, Ticks patience = 10 * kTicksPerSecond) {
        const Ticks give_up = reactor.now() + patience;
        transport::Slot slot(reactor.loop());
        while (!holds()) {
            if (reactor.now() >= give_up) co_return false;
            const transport::WakeAt timer(reactor, reactor.now() + kLook, slot);
            co_await slot;
        }
        co_return true;
    }
    // Once, and until it is done; what it throws is thrown here.
    void run(const std::function<Step()>& body) {
        std::exception_ptr failure;
        reactor.spawn(guard(reactor, body, failure));
        reactor.run();
        if (failure) std::rethrow_exception(failure);
    }

  private:
    static constexpr Ticks kLook = 10; // 1 ms

    static transport::Task guard(transport::Reactor& reactor, const std::function<Step()>& body,
                                 std::exception_ptr& failure) {
        try {
            co_await body();
        } catch (...) { failure = std::current_exception(); }
        reactor.stop();
    }
};

} // namespace ivyrill::lab
