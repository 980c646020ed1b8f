// Load that KV cache transfers from prefill to decode servers put on the servers' links. Transfers of one
// server run one after another (PROTOCOL, prefill and decode), so they queue. One node sees too few transfers
// to count them: their total follows from how busy the prefill servers are, which all nodes learn from the
// same reports, and from the ratio of transfer time to prefill time.
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::replica_selection {

class KvTransferLoad {
  public:
    // One transfer: the time it occupies a link within a zone (tenths of a millisecond), and the tokens that
    // were prefilled for it.
    void add(double transfer_time, double prefilled_tokens) {
        samples_ = std::min(samples_ + 1, kMaxSamples);
        transfer_time_ += (transfer_time - transfer_time_) / samples_;
        prefilled_tokens_ += (prefilled_tokens - prefilled_tokens_) / samples_;
    }
    // One prefill at a prefill server, from the request to the answer. The fastest recent one gives the
    // prefill speed; all others include queueing.
    void add_prefill(double tokens, double took) {
        if (tokens < kMinTokens) return;
        const double time_per_token = took / tokens;
        time_per_token_ =
            time_per_token_ > 0 ? std::min(time_per_token, time_per_token_ * kSpeedDecay) : time_per_token;
    }
    // Links that the transfers of a fully busy prefill server occupy.
    double links_per_prefill_server() const { return std::min(kMaxLinks, transfer_per_prefill()); }
    // Whether transferring a prompt is so much faster than prefilling it at the decode server (at half the
    // speed, PROTOCOL) that a decode server should be dedicated to transfers: at most half the time, since a
    // prefill server is occupied as well.
    bool worth_dedicated_server() const { return transfer_per_prefill() < 1; }
    // Mean wait before a transfer at this link utilization (M/D/1), in tenths of a millisecond.
    double wait(double utilization) const {
        const double bounded = std::clamp(utilization, 0.0, kMaxUtilization);
        return transfer_time_ * bounded / (2 * (1 - bounded));
    }
    // Time a decode server took to fetch a prompt and answer, in tenths of a millisecond.
    void add_fetch(double took, Ticks now) {
        const double known = fetch_time(now);
        fetch_time_ = known + (known > 0 ? kFetchWeight : 1) * (took - known), fetched_at_ = now;
    }
    // Mean of the recent fetch times; decays to 0 without fetches.
    double fetch_time(Ticks now) const {
        return fetch_time_ * std::exp(-static_cast<double>(now - fetched_at_) / kFetchDecay);
    }

  private:
    static constexpr double kMaxSamples = 20;       // transfers that the means stand for
    static constexpr double kMinTokens = 500;       // of a prefill that counts for the speed
    static constexpr double kSpeedDecay = 1.01;     // per prefill: half the speed is adopted after 70
    static constexpr double kDefaultRatio = 0.35;   // before the first sample: two thirds of a prompt cached
    static constexpr double kMaxLinks = 1;          // a prefill server has one link
    static constexpr double kMaxUtilization = 0.98; // keeps the wait finite
    static constexpr double kFetchWeight = 0.2, kFetchDecay = 4.0 * kTicksPerSecond;

    double transfer_per_prefill() const {
        const double prefill_time = time_per_token_ * prefilled_tokens_;
        return samples_ == 0 || prefill_time <= 0 ? kDefaultRatio : transfer_time_ / prefill_time;
    }
    double samples_ = 0, transfer_time_ = 0, prefilled_tokens_ = 0;
    double time_per_token_ = 0; // tenths of a millisecond
    double fetch_time_ = 0;
    Ticks fetched_at_ = 0;
};

} // namespace ivyrill::replica_selection
