// What the decision module remembers, grouped by how long it lives: an attempt, a part, a search, an index
// server, a group of servers, the instance. Types only: no decision and no value set by tuning stands here.
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

constexpr Tenths kNever = std::numeric_limits<Tenths>::max();

enum class Standing { kIn, kAside, kTrial };
enum class Stage { kPlanned, kOut, kOver };
enum class Fate { kOpen, kWhole, kPartial, kRejected, kFailed, kEnded };

inline void mix(double& mean, double fresh, double weight) { mean += weight * (fresh - mean); }

// Lets a mean fall towards what is usual by a span, or rise towards it by a share.
inline void relax(double& mean, double usual, double fall, double share) {
    mean = mean > usual ? std::max(usual, mean - fall) : mean + share * (usual - mean);
}

using Group = std::pair<int, std::int32_t>; // servers of one zone (0) or of one kind of machine (1)

struct Attempt { // lives from its plan to its return
    ServerId server;
    Stage stage = Stage::kPlanned;
    bool wanted = true, recalled = false, may_have_run = true;
    bool alone = false; // sent to learn whether its search breaks servers
    Tenths sent = 0;
};

struct Part {
    PartId id;
    ShardNo shard;
    double weight = 0;
    bool in = false, held = false; // answered; in its shard's backlog
    bool slow = false;             // overdue at a server that answers
    bool left_out = false;         // done without, while there is not room for all
    Tenths not_before = 0;         // no attempt until then
    std::vector<Attempt> attempts{};
    bool out() const {
        return std::ranges::any_of(attempts, [](auto& l) { return l.stage != Stage::kOver; });
    }
    bool may_have_run() const { return std::ranges::any_of(attempts, &Attempt::may_have_run); }
};

struct Search {
    SearchId id;
    RequestClassNo request_class;
    TenantNo tenant;
    Tenths due = 0, expiry = 0, retry_after = 0;
    double utility = 0;
    int step = 1;
    bool whole = true; // so far
    Fate fate = Fate::kOpen;
    std::vector<Part> parts;
    std::size_t step_begin = 0; // where the present step's parts begin
    std::set<ServerId> broken;  // servers that broke while they held one of its attempts
    bool proven = false, breaker = false, quick = false, barred = false,
         spared = false; // answered in part; breaks servers; not slow in all parts; no attempts; not let in
    bool out() const { return std::ranges::any_of(parts, &Part::out); }
};

struct Sending { // an attempt as its server sees it
    Tenths at = 0;
    bool rested = false, missed = false,
         renewed = false; // over a connection long idle; silent; over a new one
};

struct IndexServer {
    ServerId id;
    ListEntry entry;
    // C3: exponentially weighted means of response, reported queue and service time.
    bool heard = false;
    double response = 0, queue = 0, service = 0;
    replica_selection::SendRateLimiter sending;
    int out_at_report = 0, joining = 0; // attempts out then; siblings that share this turn's call
    // health
    std::map<std::pair<PartId, AttemptNo>, Sending> sent_at;
    Standing standing = Standing::kIn;
    double faults = 0;
    int setbacks = 0, passes = 0, trial_room = 0;
    int silent = 0; // attempts unanswered for too long since its last answer, the latest at:
    Tenths silent_at = 0, last_answer = 0, next_probe = 0, drained = 0, broke_at = 0;
    Tenths touched = 0, used = 0; // last looked after; when something last went over a connection to it
    Tenths cold_from = 0, cold_next = 0; // its last start, as listed or guessed; our next attempt
    int turned_away = 0;                 // in a row, for which nothing more is sent until:
    Tenths full_until = 0;
    bool known = false, unreachable = false, gone = false, probe_wanted = false, probe_out = false;
    bool renew = false; // its idle connections are to be closed before it is sent to

    std::array<Group, 2> groups() const { return {Group{0, entry.zone.value}, Group{1, entry.kind.value}}; }
    int out() const { return static_cast<int>(sent_at.size()); }
    Tenths oldest() const {
        Tenths first = kNever;
        for (const auto& [attempt, sending] : sent_at) first = std::min(first, sending.at);
        return first;
    }
};

struct GroupView {
    double trouble = 0;  // mean share of failed attempts and probes
    double response = 0; // mean, losses counted as a due span
    Tenths next_probe = 0;
    void weigh(bool bad, double took, double weight) {
        mix(trouble, bad ? 1 : 0, weight), mix(response, took, weight);
    }
};

struct RequestClassView { // a row a request class: what the module reads of it, and what it has learnt
    RequestClassConfig terms;
    double response = 0, deviation = 0; // of answered attempts, fleet-wide
    bool heard = false;
    double parts = 1;      // a search, on average
    Tenths usual_left = 0; // of first tries
    int votes = 0;
};

struct TenantView {
    double room = 0; // searches inside its share that may come now
    Tenths filled = 0;
};

} // namespace ivyrill
