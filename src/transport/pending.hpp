// A result that comes later, awaited by one coroutine with a bound in time. Shared by whoever awaits and
// whoever resolves, since either may be gone first.
#pragma once
#include "transport/async.hpp"
#include "transport/reactor.hpp"

#include <memory>
#include <optional>
#include <utility>

namespace ivyrill::transport {

template <class Value> class Pending {
  public:
    explicit Pending(Reactor& reactor) : reactor_(reactor), slot_(reactor.loop()) {}
    void resolve(Value value) {
        if (value_) return;
        value_.emplace(std::move(value));
        slot_.wake();
    }
    bool resolved() const { return value_.has_value(); }
    // Nothing where it has not come by then.
    static Async<std::optional<Value>> wait(std::shared_ptr<Pending> pending, Tenths until) {
        Pending& here = *pending;
        const WakeAt timer(here.reactor_, until, here.slot_);
        while (!here.value_ && here.reactor_.now() < until) co_await here.slot_;
        co_return here.value_;
    }

  private:
    Reactor& reactor_;
    Slot slot_;
    std::optional<Value> value_;
};

} // namespace ivyrill::transport
