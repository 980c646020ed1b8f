// What operators and readers of the configuration observed, and whether it is linearizable: a single register
// that moves from version to version, each built on the previous one. Performs no I/O.
#pragma once
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::lab {

using OrderNumber = std::size_t;

enum class OrderState : std::uint8_t { kOpen, kAcknowledged, kRefused };

struct Order { // one configuration, regardless of how often it was sent
    std::int64_t base = 0, version = 0;
    Ticks first_sent = 0, answered_at = 0;
    OrderState state = OrderState::kOpen;
    bool in_force = false; // seen: acknowledged, read, or known to an agent
    int sends = 0;
};

class ConfigurationHistory {
  public:
    OrderNumber begin(std::int64_t base, std::int64_t version, Ticks now);
    void sent(OrderNumber order) { ++orders_[order].sends; }
    void acknowledged(OrderNumber order, Ticks now);
    void refused(OrderNumber order, Ticks now);
    // Records that the version made by the order was observed in force, e.g. by an agent.
    void seen(OrderNumber order, const std::string& where);
    // No value: no configuration had been accepted yet. `asked_at`: when the read began.
    void read(std::optional<OrderNumber> order, Ticks asked_at, Ticks now, const std::string& where);

    const Order& order(OrderNumber number) const { return orders_[number]; }
    const std::vector<Order>& orders() const { return orders_; }
    std::int64_t newest_acknowledged() const { return newest_acknowledged_; }
    std::int64_t known_before(Ticks at) const; // the newest version that all had to know at a given time
    const std::vector<std::string>& violations() const { return violations_; }

  private:
    void put_in_force(OrderNumber order, const std::string& where);
    void break_promise(std::string what) { violations_.push_back(std::move(what)); }

    std::vector<Order> orders_;
    std::map<std::int64_t, OrderNumber> by_base_, by_version_; // of the orders in force
    std::map<Ticks, std::int64_t> known_at_; // time from which on a version was acknowledged or read
    std::int64_t newest_acknowledged_ = 0;
    std::vector<std::string> violations_;
};

} // namespace ivyrill::lab
