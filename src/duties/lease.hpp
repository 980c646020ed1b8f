// Decides by the node's own steady clock whether it may act for the duties it holds. Pure.
//
// A holder acts until `max_contact_age` after it sent the latest message that a majority has answered. A
// newly elected leader has the vote of a member that answered before it voted, so the former holder's last
// action comes no later than `max_contact_age` after the election, and the new holder acts only from
// `duration` after it. In the remaining `duration - max_contact_age`, calls of the former holder that are
// still in flight arrive or are reset. After a graceful handover the new holder waits only for those.
#pragma once
#include "base/planted_fault.hpp"
#include "base/time.hpp"

#include <algorithm>
#include <optional>

namespace ivyrill::duties {

class Lease {
  public:
    struct Timing {
        Ticks duration = 0;        // `leaseMs`
        Ticks max_contact_age = 0; // since the last confirmed contact with a majority
        Ticks max_in_flight = 0;   // upper bound on the delivery time of a call
    };
    // A restarted process may have held the duties just before it stopped.
    Lease(Timing timing, Ticks process_started)
        : timing_(timing), blocked_until_(process_started + timing.duration + timing.max_in_flight) {}

    // This node leads its partition from `now` on; `handed_over`: the former leader released its lease.
    void begin(bool handed_over, Ticks now) {
        leads_ = true;
        acts_after_ = now + (handed_over ? timing_.max_in_flight : timing_.duration);
        if (planted(PlantedFault::kLeaseNotAwaited)) acts_after_ = now;
    }
    void end(Ticks now) {
        // Another node may act in the meantime; a lease must pass between its last call and the next one
        // here.
        if (leads_) blocked_until_ = now + timing_.duration + timing_.max_in_flight;
        leads_ = false;
    }
    // All leases of former holders have expired, whatever the current contact is.
    bool former_leases_expired(Ticks now) const {
        const bool may_act_again = now >= blocked_until_ || planted(PlantedFault::kHolderReturnsAtOnce);
        return leads_ && now >= acts_after_ && may_act_again;
    }
    // Allows preparations that can't conflict with a former holder while its lease runs out: this node leads,
    // and has neither held the duties nor started within the lease duration.
    bool may_prepare(Ticks now) const { return leads_ && now >= blocked_until_; }
    // `contact`: send time of the latest message that a majority has answered.
    bool may_act(std::optional<Ticks> contact, Ticks now) const {
        const bool in_contact = contact && now - *contact <= timing_.max_contact_age;
        return former_leases_expired(now) && (in_contact || planted(PlantedFault::kActsWithoutContact));
    }

  private:
    Timing timing_;
    Ticks blocked_until_;
    Ticks acts_after_ = 0;
    bool leads_ = false;
};

} // namespace ivyrill::duties
