#include "recovery/capacity_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::recovery {

void CapacityEstimator::add_rate(Ticks now, double capacity_weight, double rate) {
    const double elapsed = last_rate_at_ == 0 ? 0 : static_cast<double>(now - last_rate_at_);
    last_rate_at_ = now;
    observed_rate_ *= std::exp2(-elapsed / (kRateHalfLife * static_cast<double>(options_.latency_target)));
    if (capacity_weight > 0) observed_rate_ = std::max(observed_rate_, rate / capacity_weight);
}

void CapacityEstimator::add_reports(const ServerCounts& counts, double capacity_weight) {
    if (capacity_weight <= 0) return;
    if (counts.idle_answers > 0) {
        const double service_time =
            static_cast<double>(counts.idle_response_time) / counts.idle_answers * capacity_weight;
        const double weight = 1 - std::pow(1 - kServiceTimeWeight, counts.idle_answers);
        service_time_ =
            service_time_ <= 0 ? service_time : service_time_ + weight * (service_time - service_time_);
        report_count_ += counts.idle_answers;
        saturation_parallelism_ *=
            std::pow(1 - kParallelismDecay, counts.idle_answers); // a single peak must not persist
    }
    if (counts.max_busy > 0) saturation_parallelism_ = std::max(saturation_parallelism_, counts.max_busy);
}

double CapacityEstimator::estimate_from_reports() const {
    if (report_count_ < kMinSamples || saturation_parallelism_ < 1 || service_time_ <= 0) return 0;
    return saturation_parallelism_ * static_cast<double>(kTicksPerSecond) / service_time_;
}

void CapacityEstimator::reset_correction() { correction_ = 1, in_time_ = missed_ = 0; }

void CapacityEstimator::add_results(Ticks now, std::uint64_t in_time, std::uint64_t missed,
                                    bool all_healthy) {
    in_time_ += in_time, missed_ += missed;
    if (in_time_ + missed_ < kMinSamples) return;
    if (now < last_correction_at_ +
                  static_cast<Ticks>(kCorrectionInterval * static_cast<double>(options_.latency_target)))
        return;
    const double share = static_cast<double>(missed_) / static_cast<double>(in_time_ + missed_);
    const double excess = share - usual_miss_share_;
    if (all_healthy)
        usual_miss_share_ += kUsualMissWeight * excess;
    else
        correction_ = excess > kToleratedMissShare
                          ? correction_ * (1 - std::min(kMaxDecrease, kMissWeight * excess))
                          : correction_ + kCorrectionStep;
    correction_ = std::clamp(correction_, kMinCorrection, kMaxCorrection);
    in_time_ = missed_ = 0, last_correction_at_ = now;
}

double CapacityEstimator::unit_capacity() const {
    if (options_.configured > 0) return options_.configured * correction_;
    // Servers can do at least what was observed, whatever the reports say.
    if (const double from_reports = estimate_from_reports(); from_reports > 0)
        return std::max(from_reports, observed_rate_) * correction_;
    return observed_rate_ * kIdleHeadroom * correction_;
}

} // namespace ivyrill::recovery
