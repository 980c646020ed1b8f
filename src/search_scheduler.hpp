// Interface of the search scheduler: typed events in, actions on an abstract host out. A caller passes the
// events of one turn to `handle` in order, then calls `decide` once; `decide` performs all actions of that
// turn. The caller supplies the clock, which must never go back.
#pragma once
#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace ivyrill {

enum class Idempotency { kIdempotent, kIdempotencyKey, kNonIdempotent };
enum class ListMode { kPushed, kQueried };

struct RequestClassConfig {
    Ticks latency_target = 0; // an answer within this earns the full utility
    Ticks deadline = 0;       // how long the client waits in total, including retries
    Ticks dedup_window = 0;   // in which servers drop a repeated idempotency key
    Idempotency idempotency = Idempotency::kIdempotent;
    double utility = 1;
    double late_utility_ratio = 0; // share of the utility that a late answer earns
    double min_answer_weight = 1;  // of a partial answer
    double full_answer_weight = 1; // weight of a complete answer
    int follow_up_parts = 0;       // parts of the second step, 0: there is no second step
};

struct TenantConfig {
    double quota_per_s = 0; // over all front nodes
};

struct SchedulerConfig {
    std::uint64_t seed = 0;
    std::vector<RequestClassConfig> request_classes;
    std::vector<TenantConfig> tenants;
    int front_nodes = 1;
    Ticks decision_interval = 0;    // minimum time between two decisions
    Ticks warm_up_time = 0;         // until a started server has its full capacity
    double cold_capacity_ratio = 1; // capacity at its start
    Ticks overload_window = 0;      // in which a cold server's load is limited
    double overload_factor = 1;     // limit of that load, as a multiple of its capacity
    bool has_retry_budget = false;
    double retry_slack = 0; // retries beyond the ratio, in one window
    double retry_ratio = 0; // retries to requests, in one window
    Ticks retry_window = 0;
    Ticks max_retry_after = 0;
    int max_attempts = 1;      // of one part
    Ticks connect_timeout = 0; // a connection not established by then never is
    bool may_cancel = false;
    bool may_probe = false;
    bool may_send_retry_after = false;
    bool hedging_enabled = false;
    bool clients_mark_retries = false;
    double over_quota_utility_ratio = 1;
    ListMode list_mode = ListMode::kPushed;
    // Time after which a published change of the server list is assumed to be known to all front nodes.
    Ticks list_propagation = 6 * kTicksPerSecond;
    int cell_count = 1;
    int replicas_per_shard = 1; // in consecutive cells, from s mod cell_count on for shard s, cyclically
    Ticks call_overhead = 0;    // server time of a call in addition to its parts
    bool holds(CellNo cell, ShardNo shard) const {
        return (cell.value - shard.value % cell_count + cell_count) % cell_count < replicas_per_shard;
    }
};

struct LoadReport {
    std::optional<double> in_flight;
    std::optional<double> queued;
};

enum class Outcome {
    kAnswered,
    kError,
    kRejected, // by a full server, before it ran
    kTimedOut,
    kConnectTimeout,
    kConnectionRefused,
    kConnectionLost,
    kCancelled,
    kNotSent
};
enum class ListedState { kLive, kDraining, kGone };
enum class ServerListKind { kDelta, kFull, kPersisted, kQueryFailed }; // kPersisted: from the last run

struct SearchAccepted {
    SearchId id;
    JobNo job;
    RequestClassNo request_class;
    TenantNo tenant;
    Ticks time_left = 0; // until the client's current request expires
    bool is_retry = false;
};
struct PartAdded {
    PartId id;
    JobNo job;
    ShardNo shard;
    double weight = 0;
};
struct AttemptEnded {
    PartId part;
    AttemptNo attempt;
    ServerId server;
    Outcome outcome = Outcome::kError;
    Ticks took = 0;
    LoadReport report;
};
struct ProbeEnded {
    ServerId server;
    bool passed = false;
    Ticks took = 0;
    LoadReport report;
};
struct SearchAbandoned { // expired, or given up by its client
    SearchId id;
};
// The client's access was revoked: attempts in flight may still answer, no further one is made.
struct SearchRevoked {
    SearchId id;
};
struct ListEntry {
    ServerId server;
    ZoneNo zone;
    KindNo kind;
    CellNo cell;
    ListedState listed = ListedState::kLive;
    double weight = 1;
    Ticks started = 0; // 0: long ago
};
struct ServerListUpdate {
    ServerListKind kind = ServerListKind::kDelta;
    std::vector<ListEntry> entries;
};

struct FrontNodeCount { // live front nodes as this one sees them, which may be wrong
    int count = 1;
};

// Restrictions while sites are lost, cut off or recovering (src/recovery/). Each update
// replaces the previous one; an empty one lifts all restrictions.
struct FailoverPolicyUpdate {
    struct Site {
        ZoneNo zone;
        double share = 1; // share of replica selections that may consider its servers; 0: none
    };
    struct Row { // tenant -1: all tenants without a row of their own
        RequestClassNo request_class;
        TenantNo tenant;
        double admitted = 1, weight = 1; // share of its searches; minimum weight of a partial answer
    };
    std::vector<Site> sites;
    std::vector<ShardNo> lost_shards; // without a replica
    std::vector<Row> rows;
    // Shards short of capacity: share of the demand that fits.
    std::vector<std::pair<ShardNo, double>> capacity_shares;
    double retry_budget_share = 1; // of the retry budget that may be used
    Ticks retry_after = 0;         // maximum for rejected searches; 0: no change
};

using Event = std::variant<SearchAccepted, PartAdded, AttemptEnded, ProbeEnded, SearchAbandoned,
                           SearchRevoked, ServerListUpdate, FrontNodeCount, FailoverPolicyUpdate>;

// Performs the scheduler's actions.
class SchedulerHost {
  public:
    virtual ~SchedulerHost() = default;
    // An attempt that has not been sent after `send_within` must not be sent any more.
    virtual void attempt(PartId part, ServerId server, Ticks time_out, Ticks send_within) = 0;
    virtual void cancel_attempt(PartId part, AttemptNo attempt) = 0;
    virtual void answer(SearchId search, bool complete) = 0;
    virtual void reject(SearchId search, Ticks retry_after) = 0; // retry_after 0: no advice
    virtual void fail(SearchId search) = 0;
    virtual void probe(ServerId server) = 0;
    virtual void close_idle_connections(ServerId server) = 0;
    virtual void schedule_wakeup(Ticks in) = 0;
    virtual void subscribe() = 0; // to the server list
};

class SearchScheduler {
  public:
    virtual ~SearchScheduler() = default;
    virtual void handle(Ticks now, const Event& event) = 0;
    virtual void decide(Ticks now, SchedulerHost& host) = 0;
};

std::unique_ptr<SearchScheduler> make_search_scheduler(SchedulerConfig config);

} // namespace ivyrill
