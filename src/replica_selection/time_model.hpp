// How long one kind of work takes by its size: a fixed part and a part for each token, fitted by least
// squares over the answers of all servers, with older ones forgotten.
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
        per_token_ = spread > kLeastSpread * weight_ * weight_ ? (weight_ * xy_ - x_ * y_) / spread : 0;
        // Neither part is negative, and the line goes through the mean.
        per_token_ = std::clamp(per_token_, 0.0, mean_tokens > 0 ? mean_took / mean_tokens : 0.0);
        fixed_ = mean_took - per_token_ * mean_tokens;
    }
    bool known() const { return weight_ > 0; }
    double time(double tokens) const { return fixed_ + per_token_ * tokens; }

  private:
    static constexpr double kKept = 0.995; // of older answers' weight with each new one: 200 of them count
    static constexpr double kLeastSpread = 100; // variance of tokens from which a slope is told from noise
    double weight_ = 0, x_ = 0, xx_ = 0, y_ = 0, xy_ = 0;
    double fixed_ = 0, per_token_ = 0;
};

} // namespace ivyrill::replica_selection
