// Linear model of the time of one kind of work: a fixed part and a part per token, fitted by least squares
// over the answers of all servers, with exponentially decaying weights.
#pragma once
#include <algorithm>

namespace ivyrill::replica_selection {

class LatencyModel {
  public:
    // `took` in tenths of a millisecond.
    void add(double tokens, double took) {
        for (double* sum : {&weight_, &x_, &xx_, &y_, &xy_}) *sum *= kKept;
        weight_ += 1, x_ += tokens, xx_ += tokens * tokens, y_ += took, xy_ += tokens * took;
        const double spread = weight_ * xx_ - x_ * x_;
        const double mean_tokens = x_ / weight_, mean_took = y_ / weight_;
        per_token_ = spread > kMinVariance * weight_ * weight_ ? (weight_ * xy_ - x_ * y_) / spread : 0;
        // Neither part may be negative; the line goes through the mean.
        per_token_ = std::clamp(per_token_, 0.0, mean_tokens > 0 ? mean_took / mean_tokens : 0.0);
        fixed_ = mean_took - per_token_ * mean_tokens;
    }
    bool known() const { return weight_ > 0; }
    double time(double tokens) const { return fixed_ + per_token_ * tokens; }

  private:
    static constexpr double kKept = 0.995; // of the older answers' weight with each new one: about 200 count
    static constexpr double kMinVariance = 100; // of the tokens, for a meaningful slope
    double weight_ = 0, x_ = 0, xx_ = 0, y_ = 0, xy_ = 0;
    double fixed_ = 0, per_token_ = 0;
};

} // namespace ivyrill::replica_selection
