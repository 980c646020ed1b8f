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

enum class Effect { kIdempotent, kKeyed, kNonIdempotent };
enum class ListMode { kPushed, kAsked };

struct RequestClassTerms {
    Tenths latency_target = 0; // an answer within this earns the full utility
    Tenths deadline_span = 0;  // how long the client waits in all, over all its tries
    Tenths repeat_window = 0;
    Effect effect = Effect::kIdempotent;
    double utility = 1;
    double late_share = 0;
    double floor = 1;  // least weight that may be answered from
    double need = 1;   // weight that makes a whole answer
    int follow_up = 0; // parts of the second step, 0 for none
};

struct TenantTerms {
    double quota_per_s = 0; // over all front nodes
};

// What an instance is told when it starts.
struct OpeningTerms {
    std::uint64_t seed = 0;
    std::vector<RequestClassTerms> request_classes;
    std::vector<TenantTerms> tenants;
    int front_nodes = 1;
    Tenths turn_gap = 0;
    Tenths cold_span = 0;
    double cold_share = 1;
    Tenths fall_span = 0;
    double fall_multiple = 1;
    bool attempt_budget = false;
    double spare_attempts = 0;
    double further_ratio = 0;
    Tenths budget_span = 0;
    Tenths longest_come_back = 0;
    int most_attempts = 1;
    Tenths connect_span = 0; // a connection not made by then never comes
    bool may_recall = false;
    bool may_probe = false;
    bool may_advise = false;
    bool second_copies = false;
    bool repeats_marked = false;
    double over_share_utility = 1;
    ListMode list_mode = ListMode::kPushed;
    Tenths told_span = 6 * kTenthsPerSecond; // the protocol's: a change counts as told so long after it came
    int cells = 1; // shard s is held by cells (s + j) mod this, j from 0 to span - 1
    int span = 1;
    Tenths call_work = 0; // what a call costs a server beside its parts
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
    kTurnedAway,
    kTimedOut,
    kNoConnection, // none came up in time
    kRefused,      // nobody takes connections there
    kBroken,
    kRecalled,
    kNeverSent
};
enum class Listed { kLive, kDraining, kGone };
enum class ListKind { kChanges, kWhole, kSaved, kLost };

struct SearchTaken {
    SearchId id;
    JobNo job;
    RequestClassNo request_class;
    TenantNo tenant;
    Tenths left = 0; // until this try's expiry
    bool repeat = false;
};
struct PartTaken {
    PartId id;
    JobNo job;
    ShardNo shard;
    double weight = 0;
};
struct AttemptReturned {
    PartId part;
    AttemptNo attempt;
    ServerId server;
    Outcome outcome = Outcome::kError;
    Tenths took = 0;
    LoadReport report;
};
struct ProbeReturned {
    ServerId server;
    bool passed = false;
    Tenths took = 0;
    LoadReport report;
};
struct SearchLapsed {
    SearchId id;
};
struct SearchBarred { // what is out may answer, no further attempt is made; whoever asked has lost the right
                      // to
    SearchId id;
};
struct ListEntry {
    ServerId server;
    ZoneNo zone;
    KindNo kind;
    CellNo cell;
    Listed listed = Listed::kLive;
    double weight = 1;
    Tenths born = 0; // 0: long ago
};
struct ListNews {
    ListKind kind = ListKind::kChanges;
    std::vector<ListEntry> entries;
};

struct FrontNodesSeen { // so many are there, as far as this one knows; it may be wrong
    int count = 1;
};

// A plan for sites that are lost, cut off or coming back (src/recovery/), whole each time; an empty one: all
// is as ever.
struct ReliefTold {
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
    Tenths come_back = 0;                          // longest, for those refused; 0: as ever
};

using Event = std::variant<SearchTaken, PartTaken, AttemptReturned, ProbeReturned, SearchLapsed, SearchBarred,
                           ListNews, FrontNodesSeen, ReliefTold>;

class Host {
  public:
    virtual ~Host() = default;
    // Where it has not been sent after `send_within`, it must not be sent any more.
    virtual void attempt(PartId part, ServerId server, Tenths time_out, Tenths send_within) = 0;
    virtual void recall(PartId part, AttemptNo attempt) = 0;
    virtual void answer(SearchId search, bool whole) = 0;
    virtual void reject(SearchId search, Tenths come_back) = 0; // come_back 0: no advice
    virtual void fail(SearchId search) = 0;
    virtual void probe(ServerId server) = 0;
    virtual void hang_up(ServerId server) = 0; // closes idle connections to it
    virtual void wake(Tenths in) = 0;
    virtual void subscribe() = 0;
};

class Brain {
  public:
    virtual ~Brain() = default;
    virtual void on(Tenths now, const Event& event) = 0;
    virtual void decide(Tenths now, Host& host) = 0;
};

std::unique_ptr<Brain> open_brain(OpeningTerms terms);

} // namespace ivyrill
