// The one decision module of ivyrill: C3 (replica_selection/c3.hpp) over replicated shards, and what the
// rules and broken servers ask beside it; docs/design.md tells which is which. brain.hpp is its interface. A
// caller opens one Brain an instance, hands it each turn's events by `on`, in order, then calls `decide`
// once; all actions go to the Host. `on` only learns. `decide` works out the wanted state (what should be
// out, what ends, who is probed, when to wake), and `emit` alone turns its difference to the present one into
// actions.
#include "brain.hpp"

#include "base/pcg.hpp"
#include "limits/cold_rule.hpp"
#include "recovery/failover_policy.hpp"
#include "replica_selection/c3.hpp"
#include "state.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <ranges>

namespace ivyrill {
namespace {

// Ours. Shares of a due span, unless said otherwise; of the shortest where no request class is in question.
constexpr double kUnheardShare = 0.1;              // service time where nobody was heard
constexpr double kFresh = 0.3, kFreshReport = 0.6; // weight in a mean: of an answer, of a report
constexpr double kDeviations = 4; // an attempt is overdue past the mean and so many mean deviations
constexpr double kLeastPatience = 0.3, kMostPatience = 0.5; // ... but not before the one or after the other
constexpr double kSilence = 0.35;   // of silence before a server is doubted, of an answer that comes late
constexpr int kCostlyParts = 2;     // slow parts, and no quick one, that show a costly search
constexpr double kFaultLimit = 0.5; // mean of recent failures that sets a server aside
constexpr int kSilentAttempts = 2;  // ... and attempts unanswered in a row
constexpr double kProbeGap = 0.15;  // between probes, doubled for each failed trial up to so many times
constexpr int kMostSetbacks = 3, kPassesNeeded = 2, kTrialEnd = 8; // probes before, trial room at the end
constexpr double kCalmWait = 0.1, kFullWait = 0.3; // mean forecasts: all calm, admission at its strictest
constexpr double kLocalScale = 2; // both, times this, for the replicas of one shard: fewer, so more chance
constexpr double kPatientShare = 0.25, kPayingShare = 0.6; // of the time left: least and best paying search's
constexpr double kFurtherRatio = 0.2, kFurtherSpare = 5;   // double attempts, where the terms state no budget
constexpr double kSlowMachine = 1.5, kColdSafety = 2; // mean service times; parts a server works on at once
constexpr double kFleetAge = 0.1;                     // how long a look at all servers serves
constexpr double kLostWait = 0.25; // of the time in which news counts as told: between calls for the list
constexpr double kStorm = 3, kStormSpan = 5; // signs of breaking servers, and how long they take to fade
constexpr std::size_t kBreaksEnd = 2;        // servers broken under one search that end it
constexpr double kLossWeight = 0.05, kLossLimit = 0.3; // mean loss at which idle connections are not trusted
constexpr double kRenewedWeight = 0.2;                 // ... and of an attempt over a new one in theirs
constexpr double kRest = 0.5, kRenewSpan = 20;         // ... idle for so long; closed before use for so long
constexpr double kUsualWeight = 0.1, kZoneWeight = 0.1, kKindWeight = 0.03; // of an attempt in their means
constexpr double kNewsGaps = 4, kGroupLimit = 0.4;  // news stands for; mean trouble that shuns a group
constexpr double kHasty = 0.6, kAlike = 0.01;       // time left in haste; spread of first tries' time
constexpr double kWeightSlack = 1e-6, kGulf = 1e12; // the latter lies between classes of standing

using Eligibility = recovery::FailoverPolicy::Eligibility;
using replica_selection::kWindow;

class ReplicaSelector : public Brain {
  public:
    explicit ReplicaSelector(OpeningTerms terms) : terms_(std::move(terms)), chance_(terms_.seed) {
        for (const RequestClassTerms& request_class : terms_.request_classes) {
            request_classes_.push_back({request_class, 0, 0, false, 1, 0, 0});
            pace_ = std::min(pace_, static_cast<double>(request_class.latency_target));
        }
        tenants_.resize(terms_.tenants.size());
        ask_wanted_ = terms_.list_mode == ListMode::kAsked;
        if (!terms_.attempt_budget) {
            terms_.spare_attempts = kFurtherSpare, terms_.further_ratio = kFurtherRatio;
            terms_.budget_span = shares(4);
        }
    }

    void on(Tenths now, const Event& event) override {
        now_ = now;
        std::visit([this](auto& what) { hear(what); }, event);
    }

    void decide(Tenths now, Host& host) override {
        now_ = now;
        next_ = kNever;
        if (ask_wanted_) note(ask_at_);
        std::erase_if(watched_, [this](auto& kept) { return !review(*kept.second); });
        review_groups();
        full_ = pressure(watched_ | std::views::values, 1);
        for (auto& [job, search] : searches_) {
            if (search.fate != Fate::kOpen) continue;
            settle(search);
            if (search.fate == Fate::kOpen) tend(search);
        }
        emit(host);
    }

  private:
    void hear(const SearchTaken& event) {
        auto& request_class = request_classes_.at(event.request_class.value);
        Search& search = searches_[event.job];
        search.id = event.id, search.request_class = event.request_class, search.tenant = event.tenant;
        search.spared = !relief_.admits(event.request_class, event.tenant, chance_);
        search.utility = request_class.terms.utility;
        // The due time counts from the first try, a repeat is given what is left of the expiry span. Where
        // repeats are not marked, their time left differs from most searches'.
        const Tenths off = std::abs(event.left - request_class.usual_left);
        const bool alike = off < kAlike * request_class.usual_left;
        const bool repeat = terms_.repeats_marked ? event.repeat : !alike && request_class.votes > 0;
        request_class.votes += alike ? 1 : -1; // a majority vote
        if (request_class.votes < 0) request_class.usual_left = event.left, request_class.votes = 1;
        // Much less time than even a due span is a client in haste, not one that has waited for long.
        const bool hasty = !terms_.repeats_marked && event.left < kHasty * request_class.terms.latency_target;
        const Tenths spent =
            repeat && !hasty ? std::max<Tenths>(0, request_class.terms.deadline_span - event.left) : 0;
        search.due = now_ + request_class.terms.latency_target - spent;
        search.expiry = now_ + event.left;
        if (search.due <= now_) search.utility *= request_class.terms.late_share;
        if (!within_share(event.tenant)) search.utility *= terms_.over_share_utility;
        jobs_[event.id] = event.job;
        taken_.push_back(now_);
    }

    void hear(const PartTaken& event) {
        taken_.push_back(now_);
        const auto found = searches_.find(event.job);
        if (found == searches_.end() || found->second.fate == Fate::kEnded) return;
        found->second.parts.push_back({event.id, event.shard, event.weight});
        part_of_[event.id] = {event.job, found->second.parts.size() - 1};
    }

    void hear(const SearchLapsed& event) {
        if (const auto job = jobs_.find(event.id); job != jobs_.end()) end(searches_.at(job->second));
    }

    void hear(const SearchBarred& event) {
        if (const auto job = jobs_.find(event.id); job != jobs_.end())
            searches_.at(job->second).barred = true;
    }

    void hear(const FrontNodesSeen& event) { front_nodes_ = std::max(1, event.count); }
    void hear(const ReliefTold& told) { relief_.update(told); }
    void hear(const ListNews& news) {
        if (news.kind == ListKind::kLost) {
            ask_wanted_ = terms_.list_mode == ListMode::kAsked;
            // The more calls are lost the longer the wait, but discovery's return must not be slept through.
            const double wait = std::min(++lost_calls_ * pace_, kLostWait * terms_.told_span);
            ask_at_ = now_ + static_cast<Tenths>(wait * (0.5 + chance_.unit() / 2));
            return;
        }
        if (news.kind != ListKind::kSaved) lost_calls_ = 0, ask_wanted_ = false;
        if (news.kind != ListKind::kChanges)
            for (auto& [id, server] : servers_) server.entry.listed = Listed::kGone;
        for (const ListEntry& entry : news.entries) {
            IndexServer& server = servers_[entry.server];
            if (!server.known || server.entry.cell != entry.cell) replicas_.clear();
            if (!server.known) server.id = entry.server;
            const bool started = entry.born > server.entry.born && entry.born > server.cold_from;
            if (started && server.known) sign_of_storm();
            server.entry = entry, server.known = true;
            if (started) chill(server, entry.born);
            if (server.standing == Standing::kAside) watch(server);
        }
    }

    void hear(const ProbeReturned& event) {
        const auto found = servers_.find(event.server);
        if (found == servers_.end()) return;
        IndexServer& server = found->second;
        server.probe_out = false;
        weigh_group(server, event.passed, event.took);
        if (event.passed) hear_report(server, event.report);
        if (server.standing != Standing::kAside) return;
        server.next_probe = now_ + probe_gap(server.setbacks);
        server.passes = event.passed && event.took < pace_ * kSilence ? server.passes + 1 : 0;
        if (server.passes < kPassesNeeded) return;
        server.standing = Standing::kTrial, server.trial_room = 1;
        server.faults = 0, server.heard = false, server.silent = 0;
        server.last_answer = now_; // what it still owes from before is not held against it
        // Nobody was there and the list has not said why: it may have started anew and counts as cold, after
        // any end of its process. A connection that only never came up in time was held on the way: a sound
        // server is not spared a whole warming for it. It hurts where one is back cold long before it is
        // listed.
        if (server.gone) chill(server, now_);
        server.unreachable = server.gone = false;
    }

    void hear(const AttemptReturned& event) {
        const auto found = part_of_.find(event.part);
        if (found == part_of_.end()) return;
        Search& search = searches_.at(found->second.first);
        Part& part = search.parts[found->second.second];
        if (event.attempt.value >= part.attempts.size()) return;
        Attempt& attempt = part.attempts[event.attempt.value];
        if (attempt.stage != Stage::kOut) return;
        attempt.stage = Stage::kOver;
        attempt.may_have_run = event.outcome != Outcome::kTurnedAway && !unconnected(event.outcome) &&
                               event.outcome != Outcome::kNeverSent;
        if (event.outcome == Outcome::kAnswered) {
            part.in = true;
            search.quick =
                search.quick || event.took <= patience(request_classes_[search.request_class.value]);
        }
        // Turned away by one replica it goes to another at once, but attempts are not spent on a full set.
        if (!attempt.may_have_run) part.not_before = now_ + shares(kProbeGap * event.attempt.value);
        suspect(search, attempt, event.outcome);
        if (const auto at = servers_.find(attempt.server); at != servers_.end()) {
            const auto sending = at->second.sent_at.find({part.id, event.attempt});
            const bool refused = unconnected(event.outcome);
            const bool lost = sending->second.missed && event.outcome != Outcome::kAnswered;
            if (refused || lost || event.outcome == Outcome::kAnswered)
                weigh_rest(sending->second, lost, refused);
            at->second.sent_at.erase(sending);
            at->second.used = now_;
            learn(at->second, request_classes_[search.request_class.value], event);
        }
        if (search.fate == Fate::kEnded) forget(found->second.first);
    }

    static bool unconnected(Outcome end) { return end == Outcome::kNoConnection || end == Outcome::kRefused; }

    void learn(IndexServer& server, RequestClassView& request_class, const AttemptReturned& event) {
        const double due = request_class.terms.latency_target;
        const bool good = event.outcome == Outcome::kAnswered;
        if (event.outcome == Outcome::kNeverSent) return;
        // A connection that breaks takes all its attempts along: one failure, and no word of its server.
        if (event.outcome == Outcome::kBroken && std::exchange(server.broke_at, now_) == now_) return;
        if (event.outcome != Outcome::kRecalled && event.outcome != Outcome::kTimedOut)
            weigh_group(server, good, event.took);
        if (event.outcome == Outcome::kRecalled) {
            if (server.heard && event.took > server.response) mix(server.response, event.took, kFresh);
            return;
        }
        // Quick errors look like speed: a failure counts as an answer that took the whole due span.
        double took = good ? static_cast<double>(event.took) : due;
        if (good) {
            if (server.last_answer > 0)
                mix(news_gap_, static_cast<double>(now_ - server.last_answer), kUsualWeight);
            server.last_answer = now_, server.silent = 0;
            server.sending.answered(now_);
            server.sending.adapt(now_, server.out(), backlogged(server));
            if (!request_class.heard) request_class.response = took;
            const double odd =
                request_class.response + 2 * kDeviations * std::max(request_class.deviation, due * 0.02);
            took = std::min(took, request_class.heard ? odd : took);
            if (request_class.heard)
                mix(request_class.deviation, std::abs(took - request_class.response), kFresh);
            mix(request_class.response, took, kFresh);
            request_class.heard = true;
        }
        const double queue = event.report.queued.value_or(event.report.in_flight.value_or(0));
        const double service = took / (1 + queue);
        if (good) mix_usual(queue, took);
        if (!server.heard) { server.response = took, server.service = service, server.queue = queue; }
        mix(server.response, took, kFresh);
        if (good) mix(server.service, service, kFresh);
        hear_report(server, event.report);
        server.heard = server.heard || good;
        mix(server.faults, good ? 0 : 1, kFresh);
        if (good && server.standing == Standing::kTrial && ++server.trial_room >= kTrialEnd)
            server.standing = Standing::kIn, server.setbacks = 0;
        // A full server is sound, so it is not set aside, but nothing more is sent there for a latency
        // target, or for as long as it takes to hear of a server again, doubled each time; forecasts know it.
        // Where servers work on at what is given up, parts sent to full ones keep them full for nobody: among
        // many front nodes each forgot sooner than it came by again. It hurts where one burst filled it.
        if (good) server.turned_away = 0, server.full_until = 0;
        if (event.outcome == Outcome::kTurnedAway) {
            const double rest =
                std::max(pace_, news_gap_) * (1 << std::min(server.turned_away++, kMostSetbacks));
            server.full_until = now_ + static_cast<Tenths>(rest * (0.75 + 0.5 * chance_.unit()));
            return;
        }
        const bool refused = unconnected(event.outcome);
        if (refused && !server.unreachable) sign_of_storm();
        server.unreachable = server.unreachable || refused;
        server.gone = server.gone || event.outcome == Outcome::kRefused;
        if (!good && (refused || server.standing == Standing::kTrial || server.faults > kFaultLimit))
            set_aside(server);
    }

    // Searches that break every server they reach: while servers break or start anew one after another, each
    // search sends a single part until one is answered; one that breaks two servers, or one with its part out
    // alone, is ended. Acts on deploys and lost zones too, for the time of one more answer.
    void sign_of_storm() { storm_ = storm() + 1, storm_at_ = now_; }
    double storm() const { return storm_ * std::exp(-(now_ - storm_at_) / (kStormSpan * pace_)); }

    void suspect(Search& search, const Attempt& attempt, Outcome outcome) {
        if (outcome == Outcome::kAnswered) search.proven = true;
        if (outcome != Outcome::kBroken || search.proven) return;
        search.broken.insert(attempt.server);
        search.breaker = search.broken.size() >= kBreaksEnd || (attempt.alone && storm() >= kStorm);
    }

    void hear_report(IndexServer& server, const LoadReport& report) {
        watch(server);
        if (!report.queued && !report.in_flight) return;
        mix(server.queue, report.queued.value_or(report.in_flight.value_or(0)), kFreshReport);
        server.out_at_report = server.out();
    }

    // Connections dropped unseen: attempts over long idle ones get no answer, others do. Idle ones are then
    // closed before use for a while, unless new ones fail as well. Among many front nodes nearly every
    // connection has long been idle, so it takes a mean over more than two slow parts in a row.
    void weigh_rest(const Sending& sending, bool lost, bool refused) {
        if (sending.renewed) mix(renewed_loss_, refused || lost ? 1 : 0, kRenewedWeight);
        if (refused) return;
        mix(sending.rested ? rested_loss_ : busy_loss_, lost ? 1 : 0, kLossWeight);
        if (!lost || !sending.rested || rested_loss_ < kLossLimit || rested_loss_ < 2 * busy_loss_) return;
        if (now_ >= renew_until_) renewed_loss_ = 0;
        renew_until_ = now_ + shares(kRenewSpan);
    }

    // Few attempts tell of one server, many of its zone and kind of machine. Servers of a group whose
    // attempts fail (in a zone also: come late) while another is sound come last, by a score worse by the
    // square: zones cut off, lost, slow or full and releases gone bad on one kind. A zone blames no kind.
    void weigh_group(const IndexServer& server, bool sound, double took) {
        const bool late = took >= pace_ * kSilence;
        const Group zone = server.groups()[0], kind = server.groups()[1];
        groups_[zone].weigh(!sound || late, sound ? took : pace_, kZoneWeight);
        if (!in_trouble(zone)) groups_[kind].weigh(!sound, sound ? took : pace_, kKindWeight);
    }

    double trouble(Group group) const {
        const auto found = groups_.find(group);
        return found == groups_.end() ? 0 : std::min(found->second.trouble, 0.99);
    }

    bool in_trouble(Group group) const {
        const double here = trouble(group);
        return here >= kGroupLimit && std::ranges::any_of(groups_, [&](auto& other) {
                   return other.first.first == group.first && other.second.trouble < here / 2;
               });
    }

    bool unshown(const IndexServer& server) const { return now_ > server.last_answer + shares(1); }

    bool in_trouble(const IndexServer& server) const {
        return unshown(server) &&
               std::ranges::any_of(server.groups(), [&](auto& g) { return in_trouble(g); });
    }

    void review_groups() {
        if (!terms_.may_probe) return;
        for (auto& [group, view] : groups_) {
            if (!in_trouble(group)) continue;
            note(view.next_probe);
            if (now_ < view.next_probe) continue;
            IndexServer* scout = nullptr;
            int seen = 0;
            for (auto& [id, server] : servers_)
                if (std::ranges::count(server.groups(), group) > 0 && !server.probe_out &&
                    server.entry.listed == Listed::kLive && chance_.unit() < 1.0 / ++seen)
                    scout = &server;
            view.next_probe = now_ + probe_gap(0);
            if (scout != nullptr) scout->probe_wanted = true, watch(*scout);
        }
    }

    Tenths silence(const IndexServer& server) const {
        return static_cast<Tenths>(std::clamp(2 * response_mean(server), pace_ * kSilence, pace_));
    }

    void set_aside(IndexServer& server) {
        if (server.standing == Standing::kAside) return;
        const int failed_trial = server.standing == Standing::kTrial ? 1 : 0;
        server.setbacks = std::min(server.setbacks + failed_trial, kMostSetbacks);
        server.standing = Standing::kAside, server.passes = server.silent = 0, watch(server);
        server.next_probe = now_ + probe_gap(server.setbacks);
    }

    Tenths probe_gap(int setbacks) {
        const double news = std::max(pace_, news_gap_); // by the due span, 300 that probe are a load
        return static_cast<Tenths>(news * kProbeGap * (1 << setbacks) * (0.75 + 0.5 * chance_.unit()));
    }

    bool backlogged(const IndexServer& server) const {
        return std::ranges::any_of(
            backlog_, [&](auto& s) { return s.second > 0 && terms_.holds(server.entry.cell, s.first); });
    }

    double service_of(const IndexServer& server) const {
        return server.heard ? std::max(server.service, 1.0) : usual_service();
    }

    // One look at all servers serves for a while: a turn costs what it touches, not what the fleet counts.
    double usual_service() const {
        if (now_ < fleet_until_) return fleet_service_;
        double sum = 0, heard = 0;
        for (const auto& [id, server] : servers_)
            if (server.heard && !is_cold(server)) sum += server.service, ++heard;
        fleet_until_ = now_ + (heard > 0 ? shares(kFleetAge) : 1);
        return fleet_service_ = heard > 0 ? std::max(sum / heard, 1.0) : pace_ * kUnheardShare;
    }

    const std::vector<IndexServer*>& replicas(ShardNo shard) {
        const auto [place, fresh] = replicas_.try_emplace(shard);
        if (fresh)
            for (auto& [id, server] : servers_)
                if (terms_.holds(server.entry.cell, shard)) place->second.push_back(&server);
        for (IndexServer* server : place->second) drain(*server);
        return place->second;
    }

    // Servers that were lately sent to or heard, or are set aside: a turn looks at these alone.
    void watch(IndexServer& server) { watched_[server.id] = &server, server.touched = now_; }

    double queue_of(const IndexServer& s) const { return s.heard ? s.queue : usual(usual_queue_); }
    double response_mean(const IndexServer& s) const {
        return s.heard ? s.response : std::max(usual(usual_response_), service_of(s));
    }

    // C3 expects feedback all the time; where it is scarce, silence counts as a response of its length.
    double response_of(const IndexServer& server) const {
        const double known = response_mean(server);
        const Tenths oldest = server.oldest();
        if (oldest == kNever) return known;
        return std::max(known, static_cast<double>(now_ - std::max(oldest, server.last_answer)));
    }

    // Without answers, what was high drains and what was low is forgotten, towards the fleet's usual.
    void drain(IndexServer& server) {
        server.sending.roll(now_);
        const double passed = static_cast<double>(now_ - server.drained);
        server.drained = now_;
        if (server.out() > 0 || passed <= 0 || !server.heard) return;
        const double service = service_of(server), span = memory();
        const double forgotten = 1 - std::exp(-passed / span), pass = passed * pace_ / span;
        relax(server.queue, usual(usual_queue_), pass / service, forgotten);
        relax(server.response, std::max(service, usual(usual_response_)), pass, forgotten);
    }

    // Fades without news, lest all searches are rejected for ever for what once was.
    double usual(double mean) const { return mean * std::exp(-(now_ - usual_at_) / pace_); }

    void mix_usual(double queue, double took) {
        usual_queue_ = usual(usual_queue_), usual_response_ = usual(usual_response_), usual_at_ = now_;
        mix(usual_queue_, queue, kUsualWeight), mix(usual_response_, took, kUsualWeight);
    }

    double score(const IndexServer& server) const {
        const double service = service_of(server);
        // A sibling in the same call spares the work of a call of its own, and no other front node sends it.
        const double joined = terms_.call_work > 0 ? service / (service + terms_.call_work) : front_nodes_;
        const double before = (server.out() - server.joining) * front_nodes_;
        const double waiting = 1 + before + server.joining * joined + queue_of(server);
        return replica_selection::score(response_of(server), service, waiting);
    }

    bool review(IndexServer& server) {
        drain(server);
        server.joining = 0;
        // One attempt may be lost on its way, so it takes two to set a server aside; after one it comes last.
        if (now_ >= server.silent_at + shares(2)) server.silent = 0;
        for (auto& [attempt, sending] : server.sent_at) {
            if (sending.at < server.last_answer) continue;
            const Tenths limit = sending.at + silence(server);
            note(limit);
            if (now_ < limit || sending.missed) continue;
            sending.missed = true, ++server.silent, server.silent_at = now_;
            weigh_group(server, false, 0);
        }
        if (server.silent >= (server.standing == Standing::kTrial ? 1 : kSilentAttempts)) set_aside(server);
        if (server.standing != Standing::kAside || server.entry.listed != Listed::kLive)
            return server.out() > 0 || now_ < server.touched + shares(2);
        server.probe_wanted = terms_.may_probe && !server.probe_out && now_ >= server.next_probe;
        note(server.next_probe);
        return true;
    }

    // Rule 4: attempts to a server that started lately are spaced so that all front nodes together stay
    // within its budget (limits/cold_rule.hpp); its full power is what warm servers do.
    Tenths cold_moment(const IndexServer& server, double attempts) const {
        const Tenths age = now_ - server.cold_from; // what it takes now is the longer for its being cold
        const double slow = std::max(service_of(server) * cold_.share(age), kSlowMachine * usual_service());
        const double nodes = std::max<double>(front_nodes_, terms_.front_nodes); // fewer seen may be a cut
        return now_ + cold_.gap(age, cold_.full(kColdSafety, slow), nodes, attempts);
    }

    // All hear of a start at about the same time, so each draws its own moment of the first gap.
    void chill(IndexServer& server, Tenths from) {
        server.cold_from = from, server.cold_next = cold_moment(server, chance_.unit());
    }

    bool is_cold(const IndexServer& server) const {
        return server.cold_from > 0 && now_ < server.cold_from + terms_.cold_span;
    }

    // Rules 3 and 4 for every attempt.
    bool may_serve(const IndexServer& server) {
        const bool room = !is_cold(server) || now_ >= server.cold_next;
        if (!room) note(server.cold_next);
        return room && server.entry.listed == Listed::kLive;
    }

    // The lowest score among the replicas in good standing and under their limit, else the least bad.
    IndexServer* choose(Part& part, const RequestClassView& request_class, bool sound_only) {
        IndexServer* best = nullptr;
        double best_rank = 0;
        int ties = 0;
        bool limited = false;
        const bool once = request_class.terms.effect == Effect::kNonIdempotent;
        for (IndexServer* server : replicas(part.shard)) {
            const bool open = is_open(*server), bad = in_trouble(*server);
            const auto used =
                std::ranges::count_if(part.attempts, [&](auto& l) { return l.server == server->id; });
            const auto eligibility = relief_.eligibility(server->entry.zone, once, chance_);
            if (!may_serve(*server) || (!open && !may_try(*server)) || eligibility == Eligibility::kExcluded)
                continue;
            if (now_ < server->full_until) {
                note(server->full_until);
                continue;
            }
            if (sound_only && (!open || used > 0 || bad || eligibility != Eligibility::kEligible)) continue;
            limited = limited || !server->sending.has_room(now_);
            if (!server->sending.has_room(now_)) continue;
            double rank = score(*server), below = 0.5 * static_cast<double>(used);
            if (!open) below += server->unreachable ? 3 : 2;
            if (once && server->standing == Standing::kTrial) ++below;
            if (server->silent > 0) below += 0.25;
            if (eligibility == Eligibility::kLastResort) below += 1.2;
            if (bad) {
                double sound = 1;
                for (const Group& group : server->groups()) sound *= 1 - trouble(group);
                rank /= sound * sound, below += 1.5;
            }
            rank += kGulf * below;
            // Front nodes with the same reports must not all pick the same server: chance breaks a tie.
            if (best == nullptr || rank < best_rank)
                best = server, best_rank = rank, ties = 1;
            else if (rank == best_rank && chance_.unit() < 1.0 / ++ties)
                best = server;
        }
        if (best == nullptr && limited && !part.held) ++backlog_[part.shard];
        part.held = best == nullptr && limited;
        return best;
    }

    bool within_share(TenantNo tenant) {
        if (tenant.value < 0 || static_cast<std::size_t>(tenant.value) >= tenants_.size()) return true;
        TenantView& view = tenants_[tenant.value];
        const double rate = terms_.tenants[tenant.value].quota_per_s / terms_.front_nodes;
        view.room = std::min(rate * 2, view.room + rate * (now_ - view.filled) / kTenthsPerSecond);
        view.filled = now_;
        return view.room >= 1 ? (view.room -= 1, true) : false;
    }

    Tenths margin() const { return 4 * terms_.turn_gap; }
    Tenths patience(const RequestClassView& request_class) const {
        const double due = static_cast<double>(request_class.terms.latency_target);
        const double usual =
            request_class.heard ? request_class.response + kDeviations * request_class.deviation : due;
        return static_cast<Tenths>(std::clamp(usual, due * kLeastPatience, due * kMostPatience));
    }

    // Ends what is complete, out of time, or beyond hope; the final answer then goes out at once.
    void settle(Search& search) {
        const RequestClassView& request_class = request_classes_[search.request_class.value];
        double in = 0, may_be = 0; // weight
        bool all = search.parts.size() > search.step_begin;
        bool hopeless = false, out = false, lacks = false, waits = false;
        for (std::size_t i = search.step_begin; i < search.parts.size(); ++i) {
            Part& part = search.parts[i];
            if (part.in) in += part.weight;
            all = all && part.in;
            part.slow = part.slow || (!part.in && dawdles(part, request_class));
            out = out || (!part.in && part.out());
            const bool done = search.barred || !may_go_again(part, request_class);
            const bool missing = !part.in && !part.out(), without = missing && does_without(part);
            hopeless = hopeless || (missing && done && !without);
            lacks = lacks || without, waits = waits || (missing && !done && !without);
            if (!without) may_be += part.weight;
        }
        const double need = search.step == 1 ? request_class.terms.need : 1;
        if (all || (need < 1 && in + kWeightSlack >= need))
            return void(search.fate = search.whole ? Fate::kWhole : Fate::kPartial);
        const bool partial = request_class.terms.floor < request_class.terms.need;
        if (lacks && may_be + kWeightSlack < request_class.terms.floor) return give_up(search);
        const bool enough = partial && in + kWeightSlack >= request_class.terms.floor;
        const bool over = now_ >= search.expiry - margin(), late = now_ >= search.due - margin();
        const bool no_more = !out && (lacks ? !waits : hopeless);
        if (enough && (over || late || no_more)) return void(search.fate = Fate::kPartial);
        const bool pointless = late && request_class.terms.late_share <= full_; // it costs others more
        if (over || pointless || (hopeless && !(partial && out))) give_up(search);
        note(late ? search.expiry - margin() : std::min(search.due, search.expiry) - margin());
    }

    void give_up(Search& search) {
        const RequestClassView& request_class = request_classes_[search.request_class.value];
        const bool ran = std::ranges::any_of(search.parts, &Part::may_have_run);
        const bool harmless = !search.breaker && // to come again would break more
                              (request_class.terms.effect != Effect::kNonIdempotent || !ran);
        search.fate = harmless ? Fate::kRejected : Fate::kFailed;
        const double wait = std::min(pace_ * kSilence, static_cast<double>(terms_.longest_come_back));
        const auto usual = static_cast<Tenths>(wait * (0.5 + (terms_.may_advise ? chance_.unit() : 0) / 2));
        search.come_back = terms_.may_advise ? relief_.retry_after(usual, chance_) : 0;
    }

    bool does_without(const Part& part) const { return part.left_out || relief_.shard_lost(part.shard); }

    // Rule 2 and the attempt limit: whether a part without an answer may be attempted at all.
    bool may_go_again(const Part& part, const RequestClassView& request_class) const {
        if (static_cast<int>(part.attempts.size()) >= terms_.most_attempts) return false;
        if (part.attempts.empty() || request_class.terms.effect == Effect::kIdempotent) return true;
        if (!part.may_have_run()) return true;
        return request_class.terms.effect != Effect::kNonIdempotent &&
               now_ < repeats_until(part, request_class);
    }

    // The window in which repeats are dropped counts from the first attempt that may have run.
    Tenths repeats_until(const Part& part, const RequestClassView& request_class) const {
        if (request_class.terms.effect != Effect::kKeyed) return kNever;
        Tenths first = kNever;
        for (const Attempt& attempt : part.attempts)
            if (attempt.may_have_run && attempt.stage != Stage::kPlanned)
                first = std::min(first, attempt.sent);
        return first == kNever ? kNever : first + request_class.terms.repeat_window - margin();
    }

    // Rule 6, and our own bound where the terms state none: further attempts must not feed a storm.
    bool budget_left() {
        while (!taken_.empty() && taken_.front() <= now_ - terms_.budget_span) taken_.pop_front();
        while (!further_.empty() && further_.front() <= now_ - terms_.budget_span - 1) further_.pop_front();
        const double share = terms_.further_ratio * (1 - full_);
        return further_.size() + 1 <=
               (terms_.spare_attempts + share * taken_.size()) * relief_.attempt_budget_share();
    }

    // How long a part would take at the replica that promises most, the sound ones first.
    double forecast(const Part& part) {
        double sound = static_cast<double>(kNever), any = sound;
        const int ahead = backlog_[part.shard];
        for (IndexServer* server : replicas(part.shard)) {
            if (!may_serve(*server) || relief_.excludes(server->entry.zone)) continue;
            if (is_open(*server) && !in_trouble(*server))
                sound = std::min(sound, forecast_of(*server, ahead));
            if (may_try(*server)) any = std::min(any, forecast_of(*server, ahead));
        }
        return sound < static_cast<double>(kNever) ? sound : any;
    }

    // How overloaded some servers are, from 0 to 1: one slow server is none, long queues all round are.
    template <class Servers> double pressure(const Servers& servers, double scale) const {
        double sum = 0, counted = 0;
        for (const IndexServer* server : servers)
            if (server->entry.listed == Listed::kLive && server->standing == Standing::kIn)
                sum += std::min(forecast_of(*server), pace_), ++counted;
        const double wait = sum / std::max(counted, 1.0) / pace_;
        return std::clamp((wait - kCalmWait * scale) / (kFullWait - kCalmWait) / scale, 0.0, 1.0);
    }

    static bool is_open(const IndexServer& server) {
        return server.standing == Standing::kIn ||
               (server.standing == Standing::kTrial && server.out() < server.trial_room);
    }

    // The least bad gets work, but one that nobody reaches only one attempt at a time, to learn from.
    static bool may_try(const IndexServer& server) { return !server.unreachable || server.out() == 0; }

    double forecast_of(const IndexServer& server, int ahead = 0) const {
        const double waiting = ahead + queue_of(server) + std::max(0, server.out() - server.out_at_report);
        const Group home = server.groups()[0];
        const double zone = unshown(server) && in_trouble(home) ? groups_.at(home).response : 0;
        const double full = static_cast<double>(std::max<Tenths>(0, server.full_until - now_));
        return full + std::max({zone, response_of(server), service_of(server) * (1 + waiting)});
    }

    // Pushes back, before any work, what would not make it. The less a search pays for its work, the less of
    // its time it may wait; the fuller the fleet, the less it is let in for an answer in part.
    bool admit(Search& search) {
        RequestClassView& request_class = request_classes_[search.request_class.value];
        mix(request_class.parts, static_cast<double>(search.parts.size()), kFresh);
        double best = 0;
        for (const RequestClassView& other : request_classes_)
            best = std::max(best, other.terms.utility / other.parts);
        const double paying = std::sqrt(std::min(1.0, search.utility / search.parts.size() / best));
        const int steps = request_class.terms.follow_up > 0 ? 2 : 1;
        const Tenths left = (search.due > now_ ? search.due : search.expiry) - now_;
        const double strict = kPatientShare + (kPayingShare - kPatientShare) * paying;
        // Where an answer in part will do, the parts' mean wait decides, else that of each.
        const bool whole = request_class.terms.floor >= request_class.terms.need;
        double missing = 0, asked = 0;
        for (Part& part : search.parts) {
            if (does_without(part)) continue; // settle() looks whether the rest will do
            const double full = std::max(full_, pressure(replicas(part.shard), kLocalScale));
            const double wait = forecast(part) * steps, room = left * (1 - full * (1 - strict));
            if (wait > (whole ? room : left)) missing += part.weight;
            asked += part.weight * std::min(1.5, wait / room);
        }
        if (!whole && asked > 1) return false;
        missing -= (1 - std::min(request_class.terms.floor, request_class.terms.need)) * (1 - full_);
        return missing <= kWeightSlack;
    }

    void tend(Search& search) {
        RequestClassView& request_class = request_classes_[search.request_class.value];
        if (search.parts.empty() || search.barred) return;
        const bool begun =
            std::ranges::any_of(search.parts, [](auto& part) { return !part.attempts.empty(); });
        if (!begun) relief_.omit_parts(search, request_class.terms.floor, search.tenant);
        if (!begun && (search.spared || !admit(search))) return give_up(search); // asked anew in the backlog
        if (search.breaker) return give_up(search);
        const bool singly = !search.proven && storm() >= kStorm;
        const bool out = search.out();
        Part* first = nullptr; // of those to attempt, the one that promises most
        double least = 0;
        for (std::size_t i = search.step_begin; i < search.parts.size(); ++i) {
            Part& part = search.parts[i];
            if (part.in || (!part.out() && does_without(part))) continue;
            if (part.out())
                hurry(search, part, request_class);
            else if (!singly)
                attempt(part, request_class);
            else if (const double wait = out ? 0 : forecast(part); !out && (first == nullptr || wait < least))
                first = &part, least = wait;
        }
        if (first != nullptr && attempt(*first, request_class)) first->attempts.back().alone = true;
    }

    bool dawdles(const Part& part, const RequestClassView& request_class) const {
        return std::ranges::any_of(part.attempts, [&](auto& attempt) {
            const IndexServer& server = servers_.at(attempt.server);
            return attempt.stage == Stage::kOut && now_ >= attempt.sent + patience(request_class) &&
                   server.standing == Standing::kIn && server.silent == 0;
        });
    }

    // An overdue attempt gets company where copies are allowed, else it is called off to go elsewhere.
    void hurry(Search& search, Part& part, RequestClassView& request_class) {
        if (request_class.terms.effect == Effect::kNonIdempotent) return;
        Attempt* last = nullptr;
        int copies = 0, alive = 0; // out, and those at servers that answer
        for (Attempt& attempt : part.attempts) {
            if (attempt.stage == Stage::kOver) continue;
            last = &attempt, ++copies, alive += servers_[attempt.server].silent == 0 ? 1 : 0;
        }
        const bool aside = servers_[last->server].standing == Standing::kAside;
        const Tenths overdue = last->sent + patience(request_class);
        if (!aside && now_ < overdue) return note(overdue);
        if (copies > 1 && alive > 0) return note(overdue + shares(kLeastPatience));
        if (now_ >= search.due || !budget_left() || !may_go_again(part, request_class)) return;
        // The search is slow, not its servers: to attempt its parts again would only double the work.
        const bool costly = !search.quick && std::ranges::count_if(search.parts, &Part::slow) >= kCostlyParts;
        if (!aside && costly) return note(last->sent + 2 * patience(request_class));
        // Long overdue: even a replica in bad standing beats waiting for one that says nothing.
        const bool sound_only = now_ < last->sent + 2 * patience(request_class);
        if (sound_only) note(last->sent + 2 * patience(request_class));
        IndexServer* other = choose(part, request_class, sound_only);
        if (other != nullptr && terms_.second_copies) place(part, *other);
        if (other != nullptr && !terms_.second_copies && terms_.may_recall) last->wanted = false;
    }

    bool attempt(Part& part, const RequestClassView& request_class) {
        if (now_ < part.not_before) return note(part.not_before), false;
        if (!may_go_again(part, request_class) || (counts(part) && !budget_left()))
            return note(now_ + kWindow), false;
        IndexServer* server = choose(part, request_class, false);
        return server == nullptr ? (note((now_ / kWindow + 1) * kWindow), false)
                                 : (place(part, *server), true);
    }

    // Our own bound is on double work; a stated budget counts every further attempt.
    bool counts(const Part& part) const {
        return terms_.attempt_budget ? !part.attempts.empty() : part.may_have_run();
    }

    void place(Part& part, IndexServer& server) {
        if (counts(part)) further_.push_back(now_);
        part.attempts.push_back({server.id, Stage::kPlanned, true, false, true, false, now_});
        const bool idle = server.used > 0 && server.out() == 0 && now_ > server.used + shares(kRest);
        const bool trusted = now_ >= renew_until_ || renewed_loss_ >= kLossLimit;
        server.renew = server.renew || (idle && !trusted);
        const AttemptNo number{static_cast<std::uint32_t>(part.attempts.size() - 1)};
        server.sent_at[{part.id, number}] = {now_, idle && !server.renew, false, server.renew};
        server.used = now_, server.sending.sent(now_), ++server.joining;
        watch(server);
        if (is_cold(server)) server.cold_next = cold_moment(server, 0.5 + chance_.unit());
    }

    // How long what was heard of a server stands: a due span, or as long as it takes to hear of it again.
    double memory() const { return std::max(pace_, kNewsGaps * news_gap_); }
    Tenths shares(double of_pace) const { return static_cast<Tenths>(pace_ * of_pace); }
    void note(Tenths at) { next_ = std::min(next_, std::max(at, now_ + terms_.turn_gap)); }

    void emit(Host& host) {
        if (ask_wanted_ && now_ >= ask_at_) host.subscribe(), ask_wanted_ = false;
        backlog_.clear();
        for (auto next = searches_.begin(); next != searches_.end();) {
            auto& [job, search] = *next++;
            const bool answered = search.fate == Fate::kWhole || search.fate == Fate::kPartial;
            const int steps = request_classes_[search.request_class.value].terms.follow_up > 0 ? 2 : 1;
            search.whole = search.fate == Fate::kWhole || (search.whole && !answered);
            if (answered) host.answer(search.id, search.whole);
            if (search.fate == Fate::kRejected) host.reject(search.id, search.come_back);
            if (search.fate == Fate::kFailed) host.fail(search.id);
            if (answered && search.step < steps)
                ++search.step, search.step_begin = search.parts.size(), search.fate = Fate::kOpen;
            else if (search.fate != Fate::kOpen && search.fate != Fate::kEnded)
                end(search);
            for (Part& part : search.parts) {
                for (std::size_t i = 0; i < part.attempts.size(); ++i) {
                    Attempt& attempt = part.attempts[i];
                    const bool wanted = attempt.wanted && !part.in && search.fate == Fate::kOpen;
                    if (attempt.stage == Stage::kPlanned) {
                        IndexServer& server = servers_.at(attempt.server);
                        if (server.renew) host.hang_up(attempt.server), server.renew = false;
                        const Tenths by = repeats_until(part, request_classes_[search.request_class.value]);
                        host.attempt(part.id, attempt.server, search.expiry - now_,
                                     std::min(search.expiry, by) - now_);
                        attempt.stage = Stage::kOut;
                    } else if (attempt.stage == Stage::kOut && !wanted && !attempt.recalled &&
                               terms_.may_recall) {
                        host.recall(part.id, AttemptNo{static_cast<std::uint32_t>(i)}),
                            attempt.recalled = true;
                    }
                }
                if (part.held && search.fate == Fate::kOpen) ++backlog_[part.shard];
            }
            if (search.fate == Fate::kEnded) forget(job);
        }
        for (auto& [id, server] : watched_) {
            if (!server->probe_wanted) continue;
            host.probe(id);
            server->probe_wanted = false, server->probe_out = true;
        }
        if (next_ != kNever && (alarm_ <= now_ || next_ < alarm_)) host.wake(next_ - now_), alarm_ = next_;
    }

    void end(Search& search) { search.fate = Fate::kEnded, jobs_.erase(search.id); }

    // An ended search is kept until its last attempt has returned: that still teaches about its server.
    void forget(JobNo job) {
        const Search& search = searches_.at(job);
        if (search.out()) return;
        for (const Part& part : search.parts) part_of_.erase(part.id);
        searches_.erase(job);
    }

    OpeningTerms terms_;
    Pcg chance_;
    limits::ColdRule cold_{terms_.cold_span, terms_.cold_share, terms_.fall_span, terms_.fall_multiple};
    recovery::FailoverPolicy relief_;                      // while sites are lost
    double front_nodes_ = terms_.front_nodes, pace_ = 1e9; // as seen; the shortest due span, a while here
    double full_ = 0;                                      // the pressure at the start of this decision
    Tenths now_ = 0, next_ = kNever, alarm_ = 0;
    std::vector<RequestClassView> request_classes_;
    std::vector<TenantView> tenants_;
    std::map<JobNo, Search> searches_; // in the order they were taken
    std::map<SearchId, JobNo> jobs_;
    std::map<PartId, std::pair<JobNo, std::size_t>> part_of_;
    std::map<ServerId, IndexServer> servers_;
    std::map<Group, GroupView> groups_;
    std::map<ServerId, IndexServer*> watched_;
    std::map<ShardNo, std::vector<IndexServer*>> replicas_; // by shard, in the order of their ids
    mutable Tenths fleet_until_ = 0;                        // the mean service time stands until then
    mutable double fleet_service_ = 0;
    double usual_queue_ = 0, usual_response_ = 0, news_gap_ = 0; // means over all; between a server's answers
    std::map<ShardNo, int> backlog_; // parts that wait for a replica of their shard under its limit
    double rested_loss_ = 0, busy_loss_ = 0, renewed_loss_ = 0; // no answer over idle, other, new connections
    double storm_ = 0; // servers that broke or started anew of late, fading, at:
    Tenths usual_at_ = 0, storm_at_ = 0, renew_until_ = 0, ask_at_ = 0;
    std::deque<Tenths> taken_, further_;
    bool ask_wanted_ = false; // a subscription to the list
    int lost_calls_ = 0;
};

} // namespace

std::unique_ptr<Brain> open_brain(OpeningTerms terms) {
    return std::make_unique<ReplicaSelector>(std::move(terms));
}
} // namespace ivyrill
