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
    struct Terms {
        Tenths length = 0;     // `leaseMs`
        Tenths hold = 0;       // since the last certain contact with a majority
        Tenths on_its_way = 0; // so long at the most does an act take to come in, once it has left
    };
    // A process that starts may have held the duties just before it ended.
    Lease(Terms terms, Tenths process_started)
        : terms_(terms), not_before_(process_started + terms.length + terms.on_its_way) {}

    // This node leads its part from `now` on; `handed_over`: by a leader that acts no more.
    void begin(bool handed_over, Tenths now) {
        holds_ = true;
        acts_from_ = now + (handed_over ? terms_.on_its_way : terms_.length);
        if (planted(PlantedFault::kLeaseNotAwaited)) acts_from_ = now;
    }
    void end(Tenths now) {
        // Another one may act meanwhile: a lease has to lie between the last act that came in and the next.
        if (holds_) not_before_ = now + terms_.length + terms_.on_its_way;
        holds_ = false;
    }
    // The wait for former holders is over, however the contact is now.
    bool is_settled(Tenths now) const {
        const bool may_return = now >= not_before_ || planted(PlantedFault::kHolderReturnsAtOnce);
        return holds_ && now >= acts_from_ && may_return;
    }
    // What binds no former holder may be done while one is waited for: this node leads, and has not held
    // the duties, nor started, within the lease's length.
    bool may_prepare(Tenths now) const { return holds_ && now >= not_before_; }
    // `contact`: when this node sent what a majority has answered since.
    bool may_act(std::optional<Tenths> contact, Tenths now) const {
        const bool in_contact = contact && now - *contact <= terms_.hold;
        return is_settled(now) && (in_contact || planted(PlantedFault::kActsWithoutContact));
    }

  private:
    Terms terms_;
    Tenths not_before_;
    Tenths acts_from_ = 0;
    bool holds_ = false;
};

} // namespace ivyrill::duties
