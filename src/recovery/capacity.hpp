// What index servers can do, as learnt: parts a second of a warm one of power 1. What they were seen to do is
// a floor (their best of late, forgotten slowly); what they could do is that times a trust that grows while
// searches that were let in come in time, and shrinks when they don't. An operator's word, where there is
// one, is where it starts. Free of I/O.
#pragma once
#include "recovery/types.hpp"

namespace ivyrill::recovery {

struct CapacityTerms {
    double stated = 0; // parts a second of a server of power 1; 0: not stated
    Tenths due = 0;    // the shortest due span
};

class Capacity {
  public:
    explicit Capacity(CapacityTerms terms) : terms_(terms) {}

    // `power`: of all servers that served, by their weights; `rate` parts a second of the whole fleet, as far
    // as it is known. Once a look.
    void learn(Tenths now, double power, double rate);
    // Of searches that were let in since last: so many ended in time, so many late, failed or pushed back.
    void judged(Tenths now, std::uint64_t in_time, std::uint64_t missed);

    void begin() {
        trust_ = kStartTrust, in_time_ = missed_ = 0;
    }                      // what quiet times made of it is none of busy ones'
    double of_one() const; // parts a second, power 1, warm
    double trust() const { return trust_; }
    double seen() const { return seen_; }

  private:
    CapacityTerms terms_;
    double seen_ = 0, trust_ = kStartTrust;
    Tenths at_ = 0, judged_at_ = 0;
    std::uint64_t in_time_ = 0, missed_ = 0;

    static constexpr double kStartTrust = 2; // of what was seen on a quiet day
    static constexpr double kLeastTrust = 0.5, kMostTrust = 3;
    static constexpr double kMissed = 0.05; // share of misses that is too many
    static constexpr double kGrow = 0.05, kShrink = 0.9;
    static constexpr std::uint64_t kNews = 20; // searches until it is judged again
    static constexpr double kJudgeGap = 0.5;   // of a due span, between two judgements
    static constexpr double kForget = 600;     // due spans in which the best seen halves
};

} // namespace ivyrill::recovery
