// Counts what a front node's searches and attempts come to, between two looks. Whoever carries attempts out
// keeps one; nothing is decided here.
#pragma once
#include "brain.hpp"
#include "recovery/types.hpp"

#include <utility>

namespace ivyrill::recovery {

class TrafficCounter {
  public:
    explicit TrafficCounter(Tenths latency_target = 0)
        : silence_threshold_(static_cast<Tenths>(kSilenceShare * static_cast<double>(latency_target))) {}
    void count_search(const TrafficClass& key) { ++counts_.classes[key].asked, ++counts_.searches; }
    void count_part(const TrafficClass& key, int shard) {
        ++counts_.classes[key].parts, ++counts_.shards[shard];
    }
    enum class SearchEnd { kDelivered, kInTime, kRejected, kFailed };
    void count_end(const TrafficClass& key, SearchEnd end) {
        RequestClassCounts& row = counts_.classes[key];
        row.delivered += end == SearchEnd::kDelivered || end == SearchEnd::kInTime ? 1 : 0;
        row.in_time += end == SearchEnd::kInTime ? 1 : 0;
        row.rejected += end == SearchEnd::kRejected ? 1 : 0;
        row.failed += end == SearchEnd::kFailed ? 1 : 0;
    }
    void count_attempt(const std::string& server, Outcome outcome, Tenths took, const LoadReport& report) {
        ServerCounts& row = counts_.servers[server];
        switch (outcome) {
        case Outcome::kAnswered:
            ++row.good, row.response_time += took;
            [[fallthrough]];
        case Outcome::kError:
        case Outcome::kTurnedAway:
            ++row.answered;
            break;
        case Outcome::kTimedOut:
        case Outcome::kNoConnection:
        case Outcome::kRefused:
        case Outcome::kBroken:
            ++row.unanswered;
            break;
        case Outcome::kRecalled: // called off: for its silence, or before it could say anything
            row.unanswered += took >= silence_threshold_ ? 1 : 0;
            break;
        case Outcome::kNeverSent:
            break;
        }
        if (report.in_flight && report.queued && *report.queued > 0)
            row.max_busy = std::max(row.max_busy, *report.in_flight);
        if (outcome == Outcome::kAnswered && report.queued && *report.queued <= 0)
            ++row.idle_answers, row.idle_response_time += took;
        ++counts_.attempts;
    }
    void count_probe(const std::string& server, bool passed) {
        ServerCounts& row = counts_.servers[server];
        passed ? ++row.answered : ++row.unanswered;
    }
    void note_outstanding(const std::string& server, Tenths at) {
        Tenths& oldest = counts_.servers[server].oldest_outstanding;
        oldest = oldest == 0 ? at : std::min(oldest, at);
    }
    TrafficCounts take() { return std::exchange(counts_, {}); }

  private:
    static constexpr double kSilenceShare = 0.25; // of the shortest due span
    Tenths silence_threshold_;
    TrafficCounts counts_;
};

} // namespace ivyrill::recovery
