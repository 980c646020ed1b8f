// What index servers can do, as learnt: parts a second of a warm one of power 1. Three sources, the best
// there is: an operator's word; servers' reports (how many parts they work on while others wait, over the
// time that one takes while none does); else what they were seen to do, forgotten slowly. Whichever it is, a
// trust corrects it while sites are lost: it shrinks as searches that were let in miss their time, and grows
// again while they don't. Free of I/O.
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
    // Of one server's reports, `power` its weight.
    void reported(const ServerTally& tally, double power);
    // Of searches that were let in since last: so many ended in time, so many late, failed or rejected.
    // While all sites are sound it only learns how many miss as a rule: what misses always is no overload.
    void judged(Tenths now, std::uint64_t in_time, std::uint64_t missed, bool sound);
    // Sites are lost: what quiet times made of the trust is none of busy ones'.
    void begin();

    double of_one() const; // parts a second, power 1, warm
    double trust() const { return trust_; }
    double seen() const { return seen_; }
    double by_reports() const; // 0: there were none that tell

  private:
    CapacityTerms terms_;
    double seen_ = 0, trust_ = 1, busy_ = 0, service_ = 0, usual_ = 0; // the last: share of misses
    std::uint64_t reports_ = 0;
    Tenths at_ = 0, judged_at_ = 0;
    std::uint64_t in_time_ = 0, missed_ = 0;

    static constexpr double kHope = 1.5; // times what was seen: servers were not full
    static constexpr double kLeastTrust = 0.3, kMostTrust = 2;
    static constexpr double kMissed = 0.05; // share of misses over the usual one that is too many
    static constexpr double kUsual = 0.1;   // weight of a judgement in the latter
    static constexpr double kGrow = 0.02;   // each time that there were fewer
    static constexpr double kShrink = 0.5, kMostShrink = 0.15; // of the share of misses; at a time
    static constexpr std::uint64_t kNews = 20;                 // searches, and reports, until they tell
    static constexpr double kJudgeGap = 0.5;                   // of a due span, between two judgements
    static constexpr double kForget = 600;                     // due spans in which the best seen halves
    static constexpr double kFresh = 0.02;                     // weight of an answer's time in its mean
    static constexpr double kBusyFades = 0.001;                // of a report in which nobody waits
};

} // namespace ivyrill::recovery
