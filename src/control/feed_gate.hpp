// When a control node serves its feed, and confirms what servers say. Pure.
#pragma once
#include "base/planted_fault.hpp"
#include "base/time.hpp"

namespace ivyrill::control {

// What a node knows of its own conditions.
struct FeedConditions {
    Tenths time_out_of_contact = 0; // for how long it has not heard a leader; 0: it hears one
    bool caught_up = false;         // it knows what that leader has committed
    bool knows_servers = false;     // it has merged the servers' records of a majority
    bool ending = false;
};

// Opens once the node knows all that may have been acknowledged before, and closes when it has been cut off
// for so long that others may have acknowledged more.
class FeedGate {
  public:
    bool is_open() const { return open_; }
    // Has never been open: whoever comes may wait, as it will know all soon or the others don't either.
    bool is_opening() const { return !open_ && !was_open_; }
    // True where it has opened or closed.
    bool update(const FeedConditions& conditions) {
        const bool was_open = open_;
        open_ = !conditions.ending && (was_open ? may_stay_open(conditions) : may_open(conditions));
        was_open_ = was_open_ || open_;
        return open_ != was_open;
    }

  private:
    // Others may acknowledge at once that a server leaves, and no request may go to it two seconds later, and
    // whoever is fed here has to turn elsewhere before. An election that is contested once is mostly over by
    // then.
    static constexpr Tenths kOutOfContact = 16'000;
    static bool may_open(const FeedConditions& conditions) {
        const bool caught_up = conditions.caught_up || planted(PlantedFault::kFeedBeforeCaughtUp);
        const bool knows_servers = conditions.knows_servers || planted(PlantedFault::kFeedBeforeServersKnown);
        return conditions.time_out_of_contact == 0 && caught_up && knows_servers;
    }
    static bool may_stay_open(const FeedConditions& conditions) {
        return conditions.time_out_of_contact < kOutOfContact || planted(PlantedFault::kFeedServedCutOff);
    }
    bool open_ = false, was_open_ = false;
};

} // namespace ivyrill::control
