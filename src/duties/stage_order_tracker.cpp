#include "duties/stage_order_tracker.hpp"

#include "base/planted_fault.hpp"

#include <algorithm>

namespace ivyrill::duties {

namespace {

// A server finishes its running requests before it changes; the longest take this long.
constexpr Ticks kStageChangeTimeout = 15 * kTicksPerSecond;
constexpr Ticks kBackoff = 5 * kTicksPerSecond;
constexpr Ticks kReportLag = 2 * kTicksPerSecond; // reports are some hundred ms old and may be relayed

} // namespace

OrderOutcome outcome_of_status(int status) {
    switch (status) {
    case 202:
        return OrderOutcome::kAccepted;
    case 200:
        return OrderOutcome::kAlreadyInStage;
    case 409:
        return OrderOutcome::kConflict;
    case 412:
        return OrderOutcome::kFencedOff;
    case 421:
        return OrderOutcome::kOtherServer;
    default:
        return OrderOutcome::kRefused;
    }
}

void StageOrderTracker::sent(const StageOrder& order, Ticks now) {
    ++counts_.sent;
    orders_[order.instance] = {order, true, now, now + kStageChangeTimeout};
}

void StageOrderTracker::answered(const std::string& instance, OrderOutcome outcome, Ticks now) {
    const auto found = orders_.find(instance);
    if (found == orders_.end()) return;
    Order& entry = found->second;
    const auto back_off = [&](std::uint64_t& count) {
        ++count;
        entry.may_be_pending = false, entry.until = now + kBackoff;
    };
    switch (outcome) {
    case OrderOutcome::kAccepted:
        ++counts_.taken;
        return;
    case OrderOutcome::kAlreadyInStage:
        ++counts_.taken;
        orders_.erase(found);
        return;
    case OrderOutcome::kConflict:
        return back_off(counts_.conflicts);
    case OrderOutcome::kFencedOff:
        fenced_off_ = std::max(fenced_off_, entry.order.fence);
        return back_off(counts_.fenced_off);
    case OrderOutcome::kOtherServer:
        return back_off(counts_.other_server);
    case OrderOutcome::kRefused:
        return back_off(counts_.refused);
    case OrderOutcome::kNotSent:
        return back_off(counts_.not_sent);
    case OrderOutcome::kUnanswered:
        ++counts_.unanswered;
        return;
    }
}

// Completed: the server reports the ordered stage. Not accepted: some time after the order the server still
// reports the same number of orders.
void StageOrderTracker::reported(const model::Load& load, Ticks now) {
    const auto found = orders_.find(load.instance);
    if (found == orders_.end() || !found->second.may_be_pending || load.changing) return;
    Order& entry = found->second;
    if (load.stage == entry.order.stage) {
        orders_.erase(found);
    } else if (entry.order.expected_count == load.orders_accepted && now - entry.sent_at >= kReportLag) {
        entry.may_be_pending = false, entry.until = now + kBackoff;
    }
}

std::optional<model::Stage> StageOrderTracker::pending_stage(const std::string& instance, Ticks now) const {
    const auto found = orders_.find(instance);
    if (found == orders_.end() || !found->second.may_be_pending || now >= found->second.until)
        return std::nullopt;
    return found->second.order.stage;
}

bool StageOrderTracker::is_backing_off(const std::string& instance, Ticks now) const {
    const auto found = orders_.find(instance);
    return found != orders_.end() && now < found->second.until;
}

bool StageOrderTracker::is_fenced_off(std::uint64_t fence) const {
    return fence <= fenced_off_ && !planted(PlantedFault::kFencedOffIgnored);
}

} // namespace ivyrill::duties
