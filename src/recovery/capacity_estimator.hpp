// What index servers can do, as learnt: parts a second of a warm one of power 1. Three sources, the best
// there is: an operator's word; servers' reports (how many parts they work on while others wait, over the
// time that one takes while none does); else what they were seen to do, forgotten slowly. Whichever it is, a
// trust corrects it while sites are lost: it shrinks as searches that were let in miss their time, and grows
// again while they don't. Free of I/O.
#pragma once
#include "recovery/types.hpp"

namespace ivyrill::recovery {

struct CapacityOptions {
    double configured = 0;     // parts a second of a server of power 1; 0: not stated
    Tenths latency_target = 0; // the shortest due span
};

class CapacityEstimator {
  public:
    explicit CapacityEstimator(CapacityOptions options) : options_(options) {}

    // `power`: of all servers that served, by their weights; `rate` parts a second of the whole fleet, as far
    // as it is known. Once a look.
    void add_rate(Tenths now, double power, double rate);
    // Of one server's reports, `power` its weight.
    void add_reports(const ServerCounts& tally, double power);
    // Of searches that were let in since last: so many ended in time, so many late, failed or rejected.
    // While all sites are sound it only learns how many miss as a rule: what misses always is no overload.
    void add_results(Tenths now, std::uint64_t in_time, std::uint64_t missed, bool all_healthy);
    // Sites are lost: what quiet times made of the trust is none of busy ones'.
    void reset_correction();

    double unit_capacity() const; // parts a second, power 1, warm
    double correction() const { return correction_; }
    double observed_rate() const { return observed_rate_; }
    double estimate_from_reports() const; // 0: there were none that tell

  private:
    CapacityOptions options_;
    double observed_rate_ = 0, correction_ = 1, saturation_parallelism_ = 0, service_time_ = 0,
           usual_miss_share_ = 0; // the last: share of misses
    std::uint64_t report_count_ = 0;
    Tenths last_rate_at_ = 0, last_correction_at_ = 0;
    std::uint64_t in_time_ = 0, missed_ = 0;

    static constexpr double kIdleHeadroom = 1.5; // times what was seen: servers were not full
    static constexpr double kMinCorrection = 0.3, kMaxCorrection = 2;
    static constexpr double kToleratedMissShare = 0.05; // share of misses over the usual one that is too many
    static constexpr double kUsualMissWeight = 0.1;     // weight of a judgement in the latter
    static constexpr double kCorrectionStep = 0.02;     // each time that there were fewer
    static constexpr double kMissWeight = 0.5, kMaxDecrease = 0.15; // of the share of misses; at a time
    static constexpr std::uint64_t kMinSamples = 20;                // searches, and reports, until they tell
    static constexpr double kCorrectionInterval = 0.5;              // of a due span, between two judgements
    static constexpr double kRateHalfLife = 600;                    // due spans in which the best seen halves
    static constexpr double kServiceTimeWeight = 0.02;              // weight of an answer's time in its mean
    static constexpr double kParallelismDecay = 0.001;              // of a report in which nobody waits
};

} // namespace ivyrill::recovery
