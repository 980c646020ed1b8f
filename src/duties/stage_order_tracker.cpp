#include "duties/stage_order_tracker.hpp"

#include "base/planted_fault.hpp"

#include <algorithm>

namespace ivyrill::duties {

namespace {

// What runs at a server comes to its end before it changes, and the longest answers take so long.
constexpr Tenths kChangePatience = 15 * kTenthsPerSecond;
constexpr Tenths kRest = 5 * kTenthsPerSecond;
constexpr Tenths kReportLag = 2 * kTenthsPerSecond; // reports are some hundred ms old, and come by others

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

void StageOrderTracker::sent(const StageOrder& order, Tenths now) {
    ++counts_.sent;
    orders_[order.instance] = {order, true, now, now + kChangePatience};
}

void StageOrderTracker::answered(const std::string& instance, OrderOutcome outcome, Tenths now) {
    const auto found = orders_.find(instance);
    if (found == orders_.end()) return;
    Order& here = found->second;
    const auto rest = [&](std::uint64_t& count) {
        ++count;
        here.may_be_pending = false, here.until = now + kRest;
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
        return rest(counts_.conflicts);
    case OrderOutcome::kFencedOff:
        fenced_off_ = std::max(fenced_off_, here.order.fence);
        return rest(counts_.fenced_off);
    case OrderOutcome::kOtherServer:
        return rest(counts_.other_server);
    case OrderOutcome::kRefused:
        return rest(counts_.refused);
    case OrderOutcome::kNotSent:
        return rest(counts_.not_sent);
    case OrderOutcome::kUnanswered:
        ++counts_.unanswered;
        return;
    }
}

// Done: it has the stage that was ordered. Not taken: long after it was sent the server reports as many
// orders as before.
void StageOrderTracker::reported(const model::Load& load, Tenths now) {
    const auto found = orders_.find(load.instance);
    if (found == orders_.end() || !found->second.may_be_pending || load.changing) return;
    Order& here = found->second;
    if (load.stage == here.order.stage) {
        orders_.erase(found);
    } else if (here.order.expected_count == load.orders_accepted && now - here.sent_at >= kReportLag) {
        here.may_be_pending = false, here.until = now + kRest;
    }
}

std::optional<model::Stage> StageOrderTracker::pending_stage(const std::string& instance, Tenths now) const {
    const auto found = orders_.find(instance);
    if (found == orders_.end() || !found->second.may_be_pending || now >= found->second.until)
        return std::nullopt;
    return found->second.order.stage;
}

bool StageOrderTracker::is_backing_off(const std::string& instance, Tenths now) const {
    const auto found = orders_.find(instance);
    return found != orders_.end() && now < found->second.until;
}

bool StageOrderTracker::is_fenced_off(std::uint64_t fence) const {
    return fence <= fenced_off_ && !planted(PlantedFault::kFencedOffIgnored);
}

} // namespace ivyrill::duties
