// Counts what a front node's searches and attempts come to, between two looks. Whoever carries attempts out
// keeps one; nothing is decided here.
#pragma once
#include "recovery/types.hpp"
#include "search_scheduler.hpp"

#include <utility>

namespace ivyrill::recovery {

class TallyBook {
  public:
    explicit TallyBook(Tenths due = 0) : silent_(static_cast<Tenths>(kSilent * static_cast<double>(due))) {}
    void asked(const ClassKey& key) { ++tally_.classes[key].asked, ++tally_.searches; }
    void part(const ClassKey& key, int shard) { ++tally_.classes[key].parts, ++tally_.shards[shard]; }
    enum class End { kDelivered, kInTime, kRejected, kFailed };
    void ended(const ClassKey& key, End how) {
        ClassTally& row = tally_.classes[key];
        row.delivered += how == End::kDelivered || how == End::kInTime ? 1 : 0;
        row.in_time += how == End::kInTime ? 1 : 0;
        row.rejected += how == End::kRejected ? 1 : 0;
        row.failed += how == End::kFailed ? 1 : 0;
    }
    void returned(const std::string& server, Outcome outcome, Tenths took, const LoadReport& report) {
        ServerTally& row = tally_.servers[server];
        switch (outcome) {
        case Outcome::kAnswered:
            ++row.good, row.took += took;
            [[fallthrough]];
        case Outcome::kError:
        case Outcome::kRejected:
            ++row.answered;
            break;
        case Outcome::kTimedOut:
        case Outcome::kConnectTimeout:
        case Outcome::kConnectionRefused:
        case Outcome::kConnectionLost:
            ++row.unheard;
            break;
        case Outcome::kCancelled: // called off: for its silence, or before it could say anything
            row.unheard += took >= silent_ ? 1 : 0;
            break;
        case Outcome::kNotSent:
            break;
        }
        if (report.in_flight && report.queued && *report.queued > 0)
            row.busy = std::max(row.busy, *report.in_flight);
        if (outcome == Outcome::kAnswered && report.queued && *report.queued <= 0)
            ++row.quiet, row.quiet_took += took;
        ++tally_.attempts;
    }
    void probed(const std::string& server, bool passed) {
        ServerTally& row = tally_.servers[server];
        passed ? ++row.answered : ++row.unheard;
    }
    void out_since(const std::string& server, Tenths at) {
        Tenths& oldest = tally_.servers[server].oldest_out;
        oldest = oldest == 0 ? at : std::min(oldest, at);
    }
    Tally take() { return std::exchange(tally_, {}); }

  private:
    static constexpr double kSilent = 0.25; // of the shortest due span
    Tenths silent_;
    Tally tally_;
};

} // namespace ivyrill::recovery
