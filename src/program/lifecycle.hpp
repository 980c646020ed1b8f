// The process's phases from start to exit. One table lists the allowed transitions.
#pragma once
#include "base/time.hpp"

#include <string_view>

namespace ivyrill::program {

enum class Phase {
    kStarting,  // reading the configuration, opening sockets
    kServing,   // ready
    kDraining,  // stop requested: still accepts what arrives, each answer is the last on its connection
    kFinishing, // nothing new is accepted: answers the open requests
    kStopped,   // all requests are answered
};

class Lifecycle {
  public:
    Phase phase() const { return phase_; }
    Ticks since() const { return since_; }
    bool enter(Phase next, Ticks now); // false, without any change, where the transition is not allowed
    static std::string_view name(Phase phase);

  private:
    Phase phase_ = Phase::kStarting;
    Ticks since_ = 0;
};

} // namespace ivyrill::program
