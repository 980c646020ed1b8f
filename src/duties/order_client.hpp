// Interface for sending orders to servers: HTTP in the program, a simulated network in tests.
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

    // Sends the order once. `may_send` is called just before the request is written; `done` is called once,
    // from a later turn of the event loop and within kTimeout, after which nothing of the order is in flight.
    virtual void send(const StageOrder& order, const std::string& holder, std::function<bool()> may_send,
                      std::function<void(OrderOutcome)> done) = 0;

    static constexpr Ticks kTimeout = 6'000;
};

} // namespace ivyrill::duties
