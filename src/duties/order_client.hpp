// How an order travels to a server, behind an interface: HTTP in the program, a simulated network in tests.
#pragma once
#include "duties/stage_order_tracker.hpp"

#include <functional>
#include <string>

namespace ivyrill::duties {

class OrderClient {
  public:
    OrderClient() = default;
    virtual ~OrderClient() = default;
    OrderClient(const OrderClient&) = delete;
    OrderClient& operator=(const OrderClient&) = delete;

    // Sends it once. `may_send` is asked in the moment in which it leaves; `done` is told once, in a later
    // turn and within kPatience, after which nothing of the order is on its way any more.
    virtual void send(const StageOrder& order, const std::string& holder, std::function<bool()> may_send,
                      std::function<void(OrderOutcome)> done) = 0;

    static constexpr Tenths kTimeout = 6'000;
};

} // namespace ivyrill::duties
