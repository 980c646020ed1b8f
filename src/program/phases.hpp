// The program's phases, from start to exit, as named states of one object; what may follow what stands in one
// table.
#pragma once
#include "base/time.hpp"

#include <string_view>

namespace ivyrill::program {

enum class Phase {
    kStarting, // reading its orders, opening its sockets
    kServing,  // ready
    kDraining, // told to stop: still takes what arrives, answers with the last word on a connection
    kQuiet,    // nothing new can arrive: answers what it has taken
    kStopped,  // all answered
};

class Phases {
  public:
    Phase now() const { return phase_; }
    Tenths since() const { return since_; }
    bool enter(Phase next, Tenths at); // false where that phase cannot follow: nothing changes
    static std::string_view name(Phase phase);

  private:
    Phase phase_ = Phase::kStarting;
    Tenths since_ = 0;
};

} // namespace ivyrill::program
