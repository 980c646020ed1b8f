// Tracks a holder's outstanding orders to servers (PROTOCOL, `POST /order`) and interprets the answers. An
// order is sent only once: if it is not answered it may still have been accepted, which the server's later
// reports show. Pure: the current time is a parameter.
#pragma once
#include "base/time.hpp"
#include "model/instance.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace ivyrill::duties {

struct StageOrder {
    std::string instance, address;
    model::Stage stage = model::Stage::kNone;
    std::uint64_t fence = 0;
    // Number of orders the server has accepted; a different number: 409.
    std::optional<std::int64_t> expected_count;
};

enum class OrderOutcome : std::uint8_t {
    kAccepted,       // 202
    kAlreadyInStage, // 200: the server already has that stage
    kConflict,       // 409: another order is being executed, or the server has accepted more orders
    kFencedOff,      // 412: the server has seen a higher fencing token
    kOtherServer,    // 421: another server now has the address
    kRefused,        // 400, or any other answer
    kNotSent,        // no byte was sent, or the lease had expired
    kUnanswered      // the server may have accepted it
};
OrderOutcome outcome_of_status(int status);

class StageOrderTracker {
  public:
    struct Counts {
        std::uint64_t sent = 0, taken = 0, conflicts = 0, fenced_off = 0, other_server = 0, refused = 0,
                      not_sent = 0, unanswered = 0;
    };
    void sent(const StageOrder& order, Ticks now);
    void answered(const std::string& instance, OrderOutcome outcome, Ticks now);
    void reported(const model::Load& load, Ticks now); // reported by the server itself
    void forget(const std::string& instance) { orders_.erase(instance); }

    // Target stage of an order from here that the server may still be executing.
    std::optional<model::Stage> pending_stage(const std::string& instance, Ticks now) const;
    // The last order was refused or not answered: the server gets no orders for a while.
    bool is_backing_off(const std::string& instance, Ticks now) const;
    // A server has seen a higher fencing token: the holder of this one must not act under it.
    bool is_fenced_off(std::uint64_t fence) const;
    const Counts& counts() const { return counts_; }

  private:
    struct Order {
        StageOrder order;
        bool may_be_pending = true;
        Ticks sent_at = 0;
        Ticks until = 0; // latest end of the pending state or of the backoff
    };
    std::map<std::string, Order> orders_; // by instance id
    std::uint64_t fenced_off_ = 0;        // highest fence that was refused
    Counts counts_;
};

} // namespace ivyrill::duties
