// What hand-overs ask of the links on which prompts' memory moves. Moves of one server go one after another
// (PROTOCOL, prefill and decode), so they queue as requests do. One node sees too few of all moves to count
// them: how many there are follows from how busy the readers are, which all nodes learn from the same reports,
// and from how long a move takes beside the reading before it.
#pragma once
#include "replica_selection/time_model.hpp"

#include <algorithm>

namespace ivyrill::replica_selection {

class HandOverLoad {
  public:
    // One hand-over: how long its move holds a link within a zone (tenths of a millisecond), and the tokens that
    // were read for it.
    void add(double move, double tokens_read) {
        const double weight = known_ ? kFresh : 1;
        known_ = true;
        move_ += weight * (move - move_);
        tokens_read_ += weight * (tokens_read - tokens_read_);
    }
    // How many links the moves of a reader that reads all the time keep busy; `reading`: of such prompts there.
    double links_for_reader(const TimeModel& reading) const {
        const double read = reading.per_token() * tokens_read_;
        if (reading.samples() < kLeastSamples || read <= 0) return kUnseenLinks;
        return std::min(kMostLinks, move_ / read);
    }
    // The wait before a move where that share of the links' time is taken (M/D/1), in tenths of a millisecond.
    double wait(double share) const {
        const double bounded = std::clamp(share, 0.0, kMostShare);
        return move_ * bounded / (2 * (1 - bounded));
    }
    // Whether a link moves prompts faster than its runner would read them; `alone`: reading at runners.
    bool worth_a_runner(const TimeModel& alone) const {
        if (!known_ || alone.samples() < kLeastSamples) return true;
        return move_ < alone.per_token() * tokens_read_;
    }

  private:
    static constexpr double kFresh = 0.05;       // weight of one hand-over in the means
    static constexpr double kLeastSamples = 15; // readings, from which their slope tells something
    static constexpr double kUnseenLinks = 0.35; // before any was seen: a prompt of which two thirds were held
    static constexpr double kMostLinks = 1; // its own carries no more
    static constexpr double kMostShare = 0.98; // no wait is endless
    bool known_ = false;
    double move_ = 0, tokens_read_ = 0;
};

} // namespace ivyrill::replica_selection
