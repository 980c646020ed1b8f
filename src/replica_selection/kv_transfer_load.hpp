// What hand-overs ask of the links on which prompts' memory moves. Moves of one server go one after another
// (PROTOCOL, prefill and decode), so they queue as requests do. One node sees too few of all moves to count
// them: how many there are follows from how busy the readers are, which all nodes learn from the same
// reports, and from how long a move takes beside the reading before it.
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::replica_selection {

class KvTransferLoad {
  public:
    // One hand-over: how long its move holds a link within a zone (tenths of a millisecond), and the tokens
    // that were read for it.
    void add(double move, double tokens_read) {
        seen_ = std::min(seen_ + 1, kMostSeen);
        move_ += (move - move_) / seen_;
        tokens_read_ += (tokens_read - tokens_read_) / seen_;
    }
    // A reading by a reader, from the request to the answer. The quickest of late tells the pace at which
    // readers read: all others waited as well.
    void read(double tokens, double took) {
        if (tokens < kLeastTokens) return;
        const double pace = took / tokens;
        pace_ = pace_ > 0 ? std::min(pace, pace_ * kPaceForgets) : pace;
    }
    // How many links the moves of a reader that reads all the time keep busy.
    double links_for_reader() const { return std::min(kMostLinks, move_per_read()); }
    // Whether a link moves prompts so much faster than its runner, which reads at half the pace (PROTOCOL),
    // would read them that a runner is better kept for it: in half the time, as the reader is taken up as
    // well.
    bool worth_a_runner() const { return move_per_read() < 1; }
    // The wait before a move where that share of the links' time is taken (M/D/1), in tenths of a
    // millisecond.
    double wait(double share) const {
        const double bounded = std::clamp(share, 0.0, kMostShare);
        return move_ * bounded / (2 * (1 - bounded));
    }
    // How long a runner took to fetch a prompt and answer, in tenths of a millisecond.
    void fetched(double took, Tenths now) {
        const double known = fetch_time(now);
        fetch_ = known + (known > 0 ? kFreshFetch : 1) * (took - known), fetched_ = now;
    }
    // ... of late; forgotten where prompts are no longer fetched.
    double fetch_time(Tenths now) const {
        return fetch_ * std::exp(-static_cast<double>(now - fetched_) / kFetchSpan);
    }

  private:
    static constexpr double kMostSeen = 20;      // hand-overs that the means stand for
    static constexpr double kLeastTokens = 500;  // of a reading that tells a pace
    static constexpr double kPaceForgets = 1.01; // a reading: a pace twice as slow is believed after 70
    static constexpr double kUnseenRatio =
        0.35;                                  // before any was seen: a prompt of which two thirds were held
    static constexpr double kMostLinks = 1;    // a reader's own link carries no more
    static constexpr double kMostShare = 0.98; // no wait is endless
    static constexpr double kFreshFetch = 0.2, kFetchSpan = 4.0 * kTenthsPerSecond;

    double move_per_read() const {
        const double read = pace_ * tokens_read_;
        return seen_ == 0 || read <= 0 ? kUnseenRatio : move_ / read;
    }
    double seen_ = 0, move_ = 0, tokens_read_ = 0;
    double pace_ = 0; // tenths of a millisecond a token
    double fetch_ = 0;
    Tenths fetched_ = 0;
};

} // namespace ivyrill::replica_selection
