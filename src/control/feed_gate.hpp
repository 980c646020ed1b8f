// Decides when a control node serves its feed and confirms the calls of servers. No I/O.
#pragma once
#include "base/planted_fault.hpp"
#include "base/time.hpp"

namespace ivyrill::control {

// The conditions that the gate depends on.
struct FeedConditions {
    Ticks time_out_of_contact = 0;   // time without contact to a leader with a majority; 0: in contact
    bool caught_up = false;          // it holds everything that the leader has committed
    bool has_server_records = false; // it has merged the server records of a majority
    bool ending = false;
};

// Opens once the node holds everything that may have been acknowledged before, and closes once it has been
// out of contact for so long that others may have acknowledged more.
class FeedGate {
  public:
    bool is_open() const { return open_; }
    // Has never been open. Subscribers may wait: the gate opens soon, or no other node can serve them either.
    bool is_opening() const { return !open_ && !was_open_; }
    // Returns whether it has opened or closed.
    bool update(const FeedConditions& conditions) {
        const bool was_open = open_;
        open_ = !conditions.ending && (was_open ? may_stay_open(conditions) : may_open(conditions));
        was_open_ = was_open_ || open_;
        return open_ != was_open;
    }

  private:
    // 1.6 s. Other nodes may acknowledge a server's departure at once, and no request may reach that server 2
    // s later; the subscribers of this feed have to connect elsewhere before. An election with one split vote
    // is mostly over by then.
    static constexpr Ticks kContactTimeout = 16'000;
    static bool may_open(const FeedConditions& conditions) {
        const bool caught_up = conditions.caught_up || planted(PlantedFault::kFeedBeforeCaughtUp);
        const bool has_server_records =
            conditions.has_server_records || planted(PlantedFault::kFeedBeforeServersKnown);
        return conditions.time_out_of_contact == 0 && caught_up && has_server_records;
    }
    static bool may_stay_open(const FeedConditions& conditions) {
        return conditions.time_out_of_contact < kContactTimeout || planted(PlantedFault::kFeedServedCutOff);
    }
    bool open_ = false, was_open_ = false;
};

} // namespace ivyrill::control
