// State of the search scheduler by lifetime: attempt, part, search, index server, group of servers,
// scheduler. Only types: decisions and tuned constants are in search_scheduler.cpp.
#pragma once
#include "replica_selection/c3.hpp"
#include "search_scheduler.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace ivyrill {

constexpr Ticks kNever = std::numeric_limits<Ticks>::max();

enum class Health { kInService, kEjected, kTrial };
enum class AttemptState { kPlanned, kInFlight, kEnded };
// kEnded: the outcome was passed to the host; attempts may still be in flight.
enum class Status { kOpen, kComplete, kPartial, kRejected, kFailed, kEnded };

// Updates an exponentially weighted mean.
inline void mix(double& mean, double sample, double weight) { mean += weight * (sample - mean); }

// Lowers a mean towards `baseline` by at most `max_decrease`, or raises it by a share of the difference.
inline void decay(double& mean, double baseline, double max_decrease, double rise_share) {
    mean = mean > baseline ? std::max(baseline, mean - max_decrease) : mean + rise_share * (baseline - mean);
}

using ServerGroup = std::pair<int, std::int32_t>; // servers of one zone (0) or of one kind of machine (1)

struct Attempt {
    ServerId server;
    AttemptState state = AttemptState::kPlanned;
    bool result_needed = true, cancelled = false, may_have_run = true;
    bool is_crash_test = false; // its search's only attempt, sent to learn whether the search crashes servers
    Ticks sent = 0;
};

struct Part {
    PartId id;
    ShardNo shard;
    double weight = 0;
    bool answered = false, waits_for_capacity = false; // no server of its shard may take it yet
    bool slow = false;                                 // overdue at a server that answers others
    bool omitted = false; // omitted from the answer while its shard lacks capacity
    Ticks not_before = 0; // no attempt until then
    std::vector<Attempt> attempts{};
    bool in_flight() const {
        return std::ranges::any_of(attempts,
                                   [](auto& attempt) { return attempt.state != AttemptState::kEnded; });
    }
    bool may_have_run() const { return std::ranges::any_of(attempts, &Attempt::may_have_run); }
};

struct Search {
    SearchId id;
    RequestClassNo request_class;
    TenantNo tenant;
    Ticks target_at = 0, deadline = 0, retry_after = 0; // target_at: by the latency target
    double utility = 0;
    int step = 1;
    bool complete = true; // so far
    Status status = Status::kOpen;
    std::vector<Part> parts;
    std::size_t step_begin = 0; // index of the current step's first part
    std::set<ServerId> crashed; // servers that lost the connection during one of its attempts
    bool has_answer = false;
    bool is_query_of_death = false; // crashes the servers that it is sent to
    bool has_fast_part = false;     // a part was answered within the hedge delay
    bool revoked = false;           // no further attempts
    bool shed = false;              // not admitted under the recovery plan
    bool in_flight() const { return std::ranges::any_of(parts, &Part::in_flight); }
};

struct SentAttempt { // an attempt, in its server's records
    Ticks at = 0;
    bool was_idle = false; // sent over a connection that had been idle for long
    bool overdue = false;
    bool on_new_connection = false;
};

struct IndexServer {
    ServerId id;
    ListEntry entry;
    // C3: exponentially weighted means of response time, reported queue and service time.
    bool measured = false;
    double response = 0, queue = 0, service = 0;
    replica_selection::SendRateLimiter limiter;
    int in_flight_at_report = 0, batched_this_turn = 0; // attempts that share this turn's call
    // health
    std::map<std::pair<PartId, AttemptNo>, SentAttempt> sent_at;
    Health health = Health::kInService;
    double failure_rate = 0;
    int failed_trials = 0, passed_probes = 0, trial_limit = 0; // trial_limit: attempts during a trial
    int silent = 0;                                            // overdue attempts since its last answer
    Ticks last_overdue_at = 0, last_answer = 0, next_probe = 0, decayed_at = 0, connection_lost_at = 0;
    Ticks watched_at = 0, used = 0; // last put under observation; last traffic on a connection to it
    Ticks started_at = 0, next_cold_attempt_at = 0; // last start, listed or inferred; next attempt while cold
    int rejections = 0;                             // in a row
    Ticks backoff_until = 0;                        // after rejections
    bool known = false, unreachable = false, refused = false, probe_due = false, probe_in_flight = false;
    bool close_idle_before_next_attempt = false;

    std::array<ServerGroup, 2> groups() const {
        return {ServerGroup{0, entry.zone.value}, ServerGroup{1, entry.kind.value}};
    }
    int in_flight() const { return static_cast<int>(sent_at.size()); }
    Ticks oldest() const {
        Ticks first = kNever;
        for (const auto& [attempt, sent] : sent_at) first = std::min(first, sent.at);
        return first;
    }
};

struct GroupStats {
    double failure_rate = 0; // mean over attempts and probes
    double response = 0;     // mean; a lost attempt counts as the latency target
    Ticks next_probe = 0;
    void record(bool failed, double took, double weight) {
        mix(failure_rate, failed ? 1 : 0, weight), mix(response, took, weight);
    }
};

struct RequestClassState {
    RequestClassConfig config;
    double response = 0, deviation = 0; // of answered attempts, fleet-wide
    bool measured = false;
    double parts = 1;              // mean number for one search
    Ticks usual_time_left = 0;     // of first requests, not of clients' retries; by majority vote
    int usual_time_left_votes = 0; // of the majority vote
};

struct TenantState { // token bucket of its quota
    double tokens = 0;
    Ticks filled_at = 0;
};

} // namespace ivyrill
