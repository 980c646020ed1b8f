// A result that arrives later, awaited by one coroutine with a timeout. Shared between the awaiting and the
// resolving side, since either may be destroyed first.
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
    // nullopt if the result has not arrived by `until`.
    static Async<std::optional<Value>> wait(std::shared_ptr<Pending> pending, Ticks until) {
        Pending& self = *pending;
        const WakeAt timer(self.reactor_, until, self.slot_);
        while (!self.value_ && self.reactor_.now() < until) co_await self.slot_;
        co_return self.value_;
    }

  private:
    Reactor& reactor_;
    Slot slot_;
    std::optional<Value> value_;
};

} // namespace ivyrill::transport
