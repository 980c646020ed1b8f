// Counts the outcomes of a front node's searches, attempts and probes between two checks of the failover
// controller. Owned by the component that sends the attempts; makes no decisions.
#pragma once
#include "recovery/types.hpp"
#include "search_scheduler.hpp"

#include <utility>

namespace ivyrill::recovery {

class TrafficCounter {
  public:
    explicit TrafficCounter(Ticks latency_target = 0)
        : silence_threshold_(static_cast<Ticks>(kSilenceShare * static_cast<double>(latency_target))) {}
    void count_search(const TrafficClass& key) { ++counts_.classes[key].asked, ++counts_.searches; }
    void count_part(const TrafficClass& key, int shard) {
        ++counts_.classes[key].parts, ++counts_.shards[shard];
    }
    // kDelivered: after the latency target.
    enum class SearchEnd { kDelivered, kInTime, kRejected, kFailed };
    void count_end(const TrafficClass& key, SearchEnd end) {
        RequestClassCounts& row = counts_.classes[key];
        row.delivered += end == SearchEnd::kDelivered || end == SearchEnd::kInTime ? 1 : 0;
        row.in_time += end == SearchEnd::kInTime ? 1 : 0;
        row.rejected += end == SearchEnd::kRejected ? 1 : 0;
        row.failed += end == SearchEnd::kFailed ? 1 : 0;
    }
    void count_attempt(const std::string& server, Outcome outcome, Ticks response_time,
                       const LoadReport& report) {
        ServerCounts& row = counts_.servers[server];
        switch (outcome) {
        case Outcome::kAnswered:
            ++row.good, row.response_time += response_time;
            [[fallthrough]];
        case Outcome::kError:
        case Outcome::kRejected:
            ++row.answered;
            break;
        case Outcome::kTimedOut:
        case Outcome::kConnectTimeout:
        case Outcome::kConnectionRefused:
        case Outcome::kConnectionLost:
            ++row.unanswered;
            break;
        case Outcome::kCancelled: // cancelled: counts only if the server had enough time to reply
            row.unanswered += response_time >= silence_threshold_ ? 1 : 0;
            break;
        case Outcome::kNotSent:
            break;
        }
        if (report.in_flight && report.queued && *report.queued > 0)
            row.max_busy = std::max(row.max_busy, *report.in_flight);
        if (outcome == Outcome::kAnswered && report.queued && *report.queued <= 0)
            ++row.idle_answers, row.idle_response_time += response_time;
        ++counts_.attempts;
    }
    void count_probe(const std::string& server, bool passed) {
        ServerCounts& row = counts_.servers[server];
        passed ? ++row.answered : ++row.unanswered;
    }
    // An attempt sent at `sent_at` has no reply yet.
    void note_outstanding(const std::string& server, Ticks sent_at) {
        Ticks& oldest = counts_.servers[server].oldest_outstanding;
        oldest = oldest == 0 ? sent_at : std::min(oldest, sent_at);
    }
    // Returns the counts and resets them.
    TrafficCounts take() { return std::exchange(counts_, {}); }

  private:
    static constexpr double kSilenceShare = 0.25; // of the latency target
    Ticks silence_threshold_;
    TrafficCounts counts_;
};

} // namespace ivyrill::recovery
