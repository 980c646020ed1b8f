// The orders to servers that a holder has under way (PROTOCOL, `POST /order`), and what their answers mean.
// An order goes out once: one without an answer may have been taken, and what the server reports later tells.
// Pure: the clock is handed in.
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
    std::optional<std::int64_t> expected_count; // orders that the server has taken; another count: 409
};

enum class OrderOutcome : std::uint8_t {
    kAccepted,       // 202
    kAlreadyInStage, // 200: it has that stage already
    kConflict,       // 409: another order is under way, or the server has taken more of them
    kFencedOff,      // 412: the server has seen a higher fence
    kOtherServer,    // 421: another server has the address
    kRefused,        // 400, or any other answer
    kNotSent,        // no byte of it left, or the holder could no longer act
    kUnanswered      // it may have been taken
};
OrderOutcome outcome_of_status(int status);

class StageOrderTracker {
  public:
    struct Counts {
        std::uint64_t sent = 0, taken = 0, conflicts = 0, fenced_off = 0, other_server = 0, refused = 0,
                      not_sent = 0, unanswered = 0;
    };
    void sent(const StageOrder& order, Tenths now);
    void answered(const std::string& instance, OrderOutcome outcome, Tenths now);
    void reported(const model::Load& load, Tenths now); // by the server itself
    void forget(const std::string& instance) { orders_.erase(instance); }

    // The stage that the server changes to, while it may be changing by an order from here.
    std::optional<model::Stage> pending_stage(const std::string& instance, Tenths now) const;
    // It turned the last order down, or did not answer it: it is left alone for a while.
    bool is_backing_off(const std::string& instance, Tenths now) const;
    // A server has seen a higher fence than this: whoever holds it must not act under it any more.
    bool is_fenced_off(std::uint64_t fence) const;
    const Counts& counts() const { return counts_; }

  private:
    struct Order {
        StageOrder order;
        bool may_be_pending = true;
        Tenths sent_at = 0;
        Tenths until = 0; // under way, or at rest, until then at the latest
    };
    std::map<std::string, Order> orders_; // by instance
    std::uint64_t fenced_off_ = 0;        // the highest fence that was refused
    Counts counts_;
};

} // namespace ivyrill::duties
