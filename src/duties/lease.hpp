// Whether a node may act for the duties that it holds, by its own steady clock. Pure.
//
// A holder acts until `hold` after it sent what a majority has answered. Whoever is elected next had the vote
// of a member that answered before it voted, so the former holder's last act comes no later than `hold` after
// the election; the next holder acts from `length` after it. Between the two lies `length` less `hold`, in
// which what a call of the former holder still has on its way comes in or is reset. After a planned hand-over
// only that is waited for.
#pragma once
#include "base/planted_fault.hpp"
#include "base/time.hpp"

#include <algorithm>
#include <optional>

namespace ivyrill::duties {

class Lease {
  public:
    struct Timing {
        Tenths duration = 0;        // `leaseMs`
        Tenths max_contact_age = 0; // since the last certain contact with a majority
        Tenths max_in_flight = 0;   // so long at the most does an act take to come in, once it has left
    };
    // A process that starts may have held the duties just before it ended.
    Lease(Timing timing, Tenths process_started)
        : timing_(timing), blocked_until_(process_started + timing.duration + timing.max_in_flight) {}

    // This node leads its part from `now` on; `handed_over`: by a leader that acts no more.
    void begin(bool handed_over, Tenths now) {
        leads_ = true;
        acts_after_ = now + (handed_over ? timing_.max_in_flight : timing_.duration);
        if (planted(PlantedFault::kLeaseNotAwaited)) acts_after_ = now;
    }
    void end(Tenths now) {
        // Another one may act meanwhile: a lease has to lie between the last act that came in and the next.
        if (leads_) blocked_until_ = now + timing_.duration + timing_.max_in_flight;
        leads_ = false;
    }
    // The wait for former holders is over, however the contact is now.
    bool former_leases_expired(Tenths now) const {
        const bool may_return = now >= blocked_until_ || planted(PlantedFault::kHolderReturnsAtOnce);
        return leads_ && now >= acts_after_ && may_return;
    }
    // What binds no former holder may be done while one is waited for: this node leads, and has not held
    // the duties, nor started, within the lease's length.
    bool may_prepare(Tenths now) const { return leads_ && now >= blocked_until_; }
    // `contact`: when this node sent what a majority has answered since.
    bool may_act(std::optional<Tenths> contact, Tenths now) const {
        const bool in_contact = contact && now - *contact <= timing_.max_contact_age;
        return former_leases_expired(now) && (in_contact || planted(PlantedFault::kActsWithoutContact));
    }

  private:
    Timing timing_;
    Tenths blocked_until_;
    Tenths acts_after_ = 0;
    bool leads_ = false;
};

} // namespace ivyrill::duties
