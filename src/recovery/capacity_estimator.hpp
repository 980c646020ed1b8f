// Estimates the capacity of index servers: parts per second of a warm server of weight 1. Sources,
// best first: the operator's configuration; the servers' load reports (parts in progress while others are
// queued, divided by the service time while none are); the highest observed rate, which decays slowly. While
// sites are unavailable, a correction factor is applied: it falls when admitted searches miss their latency
// target and rises while they meet it. Free of I/O.
#pragma once
#include "recovery/types.hpp"

namespace ivyrill::recovery {

struct CapacityOptions {
    double configured = 0;    // parts per second of a server of weight 1; 0: not configured
    Ticks latency_target = 0; // the shortest of all request classes
};

class CapacityEstimator {
  public:
    explicit CapacityEstimator(CapacityOptions options) : options_(options) {}

    // Called once per check. `capacity_weight`: sum over the servers in service; `rate`: parts per second
    // answered by the whole fleet, as far as known.
    void add_rate(Ticks now, double capacity_weight, double rate);
    // Counts of one server of that weight.
    void add_reports(const ServerCounts& counts, double capacity_weight);
    // Results of the searches admitted since the last call; `missed` are late, failed or rejected. While all
    // sites are healthy this only updates the usual share of misses, which does not indicate overload.
    void add_results(Ticks now, std::uint64_t in_time, std::uint64_t missed, bool all_healthy);
    // Called when a site becomes unavailable: a correction from a period of low load does not apply.
    void reset_correction();

    double unit_capacity() const; // parts per second of a warm server of weight 1
    double correction() const { return correction_; }
    double observed_rate() const { return observed_rate_; }
    double estimate_from_reports() const; // 0: too few reports

  private:
    CapacityOptions options_;
    double observed_rate_ = 0, correction_ = 1, saturation_parallelism_ = 0, service_time_ = 0,
           usual_miss_share_ = 0;
    std::uint64_t report_count_ = 0;
    Ticks last_rate_at_ = 0, last_correction_at_ = 0;
    std::uint64_t in_time_ = 0, missed_ = 0;

    static constexpr double kIdleHeadroom =
        1.5; // the observed rate is below capacity, as servers are not saturated
    static constexpr double kMinCorrection = 0.3, kMaxCorrection = 2;
    static constexpr double kToleratedMissShare = 0.05; // above the usual share of misses
    static constexpr double kUsualMissWeight = 0.1;     // of one interval in the moving average
    static constexpr double kCorrectionStep = 0.02;     // increase per interval with few misses
    static constexpr double kMissWeight = 0.5,
                            kMaxDecrease = 0.15;       // decrease per share of misses; per interval
    static constexpr std::uint64_t kMinSamples = 20;   // of searches or reports before they are used
    static constexpr double kCorrectionInterval = 0.5; // latency targets
    static constexpr double kRateHalfLife = 600;       // latency targets
    static constexpr double kServiceTimeWeight = 0.02; // of one answer in the moving average
    static constexpr double kParallelismDecay = 0.001; // per report with an empty queue
};

} // namespace ivyrill::recovery
