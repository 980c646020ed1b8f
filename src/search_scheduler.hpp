// The interface of the decision module: typed events in, actions to an abstract host. No decision is made
// here. A caller applies the events of one turn with `on`, in their order, then calls `decide` once; all
// actions of that turn are made inside `decide`. The clock is the one handed in, and it never goes back.
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
    Tenths latency_target = 0;   // an answer within this earns the full utility
    Tenths overall_deadline = 0; // how long the client waits in all, over all its tries
    Tenths dedup_window = 0;
    Idempotency idempotency = Idempotency::kIdempotent;
    double utility = 1;
    double late_utility_ratio = 0;
    double floor = 1;        // least weight that may be answered from
    double need = 1;         // weight that makes a whole answer
    int follow_up_parts = 0; // parts of the second step, 0 for none
};

struct TenantConfig {
    double quota_per_s = 0; // over all front nodes
};

// What an instance is told when it starts.
struct SchedulerConfig {
    std::uint64_t seed = 0;
    std::vector<RequestClassConfig> request_classes;
    std::vector<TenantConfig> tenants;
    int front_nodes = 1;
    Tenths decision_interval = 0;
    Tenths warm_up_time = 0;
    double cold_capacity_ratio = 1;
    Tenths overload_window = 0;
    double overload_factor = 1;
    bool has_retry_budget = false;
    double retry_slack = 0;
    double retry_ratio = 0;
    Tenths retry_budget_window = 0;
    Tenths max_retry_after = 0;
    int max_attempts = 1;
    Tenths connect_timeout = 0; // a connection not made by then never comes
    bool may_cancel = false;
    bool may_probe = false;
    bool may_send_retry_after = false;
    bool hedging_enabled = false;
    bool retries_marked = false;
    double over_quota_utility_ratio = 1;
    ListMode list_mode = ListMode::kPushed;
    Tenths list_propagation_time =
        6 * kTenthsPerSecond; // the protocol's: a change counts as told so long after it came
    int cells = 1;            // shard s is held by cells (s + j) mod this, j from 0 to span - 1
    int span = 1;
    Tenths per_call_work = 0; // what a call costs a server beside its parts
    bool holds(CellNo cell, ShardNo shard) const {
        return (cell.value - shard.value % cells + cells) % cells < span;
    }
};

struct LoadReport {
    std::optional<double> in_flight;
    std::optional<double> queued;
};

enum class Outcome {
    kAnswered,
    kError,
    kRejected,
    kTimedOut,
    kConnectTimeout,    // none came up in time
    kConnectionRefused, // nobody takes connections there
    kConnectionLost,
    kCancelled,
    kNotSent
};
enum class ListedState { kLive, kDraining, kGone };
enum class ListKind { kChanges, kWhole, kSaved, kLost };

struct SearchAccepted {
    SearchId id;
    JobNo job;
    RequestClassNo request_class;
    TenantNo tenant;
    Tenths left = 0; // until this try's expiry
    bool repeat = false;
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
    Tenths took = 0;
    LoadReport report;
};
struct ProbeEnded {
    ServerId server;
    bool passed = false;
    Tenths took = 0;
    LoadReport report;
};
struct SearchAbandoned {
    SearchId id;
};
struct SearchRevoked { // what is out may answer, no further attempt is made; whoever asked has lost the right
                       // to
    SearchId id;
};
struct ListEntry {
    ServerId server;
    ZoneNo zone;
    KindNo kind;
    CellNo cell;
    ListedState listed = ListedState::kLive;
    double weight = 1;
    Tenths born = 0; // 0: long ago
};
struct ServerListUpdate {
    ListKind kind = ListKind::kChanges;
    std::vector<ListEntry> entries;
};

struct FrontNodeCount { // so many are there, as far as this one knows; it may be wrong
    int count = 1;
};

// A plan for sites that are lost, cut off or coming back (src/recovery/), whole each time; an empty one: all
// is as ever.
struct SiteRecoveryPlan {
    struct Site {
        ZoneNo zone;
        double share = 1; // of the choices in which its servers take part as ever; 0: in none
    };
    struct Row { // tenant -1: of all that have no row of their own
        RequestClassNo request_class;
        TenantNo tenant;
        double admitted = 1, weight = 1; // share of its searches; least weight of an answer in part
    };
    std::vector<Site> sites;
    std::vector<ShardNo> gone; // no replica is left
    std::vector<Row> rows;
    std::vector<std::pair<ShardNo, double>> tight; // share of its demand for which there is room
    double further = 1;                            // of the budget for further attempts
    Tenths retry_after = 0;                        // longest, for those refused; 0: as ever
};

using Event = std::variant<SearchAccepted, PartAdded, AttemptEnded, ProbeEnded, SearchAbandoned,
                           SearchRevoked, ServerListUpdate, FrontNodeCount, SiteRecoveryPlan>;

class SchedulerHost {
  public:
    virtual ~SchedulerHost() = default;
    // Where it has not been sent after `send_within`, it must not be sent any more.
    virtual void attempt(PartId part, ServerId server, Tenths time_out, Tenths send_within) = 0;
    virtual void cancel_attempt(PartId part, AttemptNo attempt) = 0;
    virtual void answer(SearchId search, bool whole) = 0;
    virtual void reject(SearchId search, Tenths retry_after) = 0; // retry_after 0: no advice
    virtual void fail(SearchId search) = 0;
    virtual void probe(ServerId server) = 0;
    virtual void close_idle_connections(ServerId server) = 0; // closes idle connections to it
    virtual void schedule_wakeup(Tenths in) = 0;
    virtual void subscribe() = 0;
};

class SearchScheduler {
  public:
    virtual ~SearchScheduler() = default;
    virtual void handle(Tenths now, const Event& event) = 0;
    virtual void decide(Tenths now, SchedulerHost& host) = 0;
};

std::unique_ptr<SearchScheduler> make_search_scheduler(SchedulerConfig terms);

} // namespace ivyrill
