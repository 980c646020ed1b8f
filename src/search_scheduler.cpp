// Search scheduler: C3 (replica_selection/c3.hpp) over replicated shards, extended for the contract's rules
// and for faulty servers (docs/design.md). `handle` only updates state. `decide` computes the wanted state
// (attempts, answers, probes, wake-up), and only `emit` turns its difference from the current one into
// actions.
#include "search_scheduler.hpp"

#include "base/pcg.hpp"
#include "limits/slow_start.hpp"
#include "recovery/failover_policy.hpp"
#include "replica_selection/c3.hpp"
#include "search_scheduler_state.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <ranges>

namespace ivyrill {
namespace {

// Fractions of a latency target unless stated otherwise; of the shortest one where no request class is given.
constexpr double kUnknownServiceTime = 0.1;                  // while no server has answered
constexpr double kNewWeight = 0.3, kReportWeight = 0.6;      // in a mean: of an answer, of a load report
constexpr double kDeviations = 4;                            // hedge delay: mean plus these mean deviations,
constexpr double kMinHedgeDelay = 0.3, kMaxHedgeDelay = 0.5; // ... within these bounds
constexpr double kSilenceLimit = 0.35;  // silence that makes a server suspect; later answers are late
constexpr int kCostlySlowParts = 2;     // slow parts, none fast, of a search that is expensive itself
constexpr double kMaxFailureRate = 0.5; // above it a server is ejected
constexpr int kMaxSilentAttempts = 2;   // ... as after so many overdue attempts in a row
constexpr double kProbeInterval = 0.15; // doubled for each failed trial
constexpr int kMaxDoublings = 3, kTrialProbes = 2, kTrialAttempts = 8; // a trial's passed probes, attempts
constexpr double kIdleWait = 0.1, kFullWait = 0.3; // mean expected wait without and at full overload
constexpr double kShardScale = 2; // both, times this, for the replicas of one shard: fewer samples
constexpr double kMinWaitShare = 0.25, kMaxWaitShare = 0.6; // of the time left: least, most valuable search
constexpr double kRetryRatio = 0.2, kRetrySlack = 5; // for repeated work, where the contract has no budget
constexpr double kSlower = 1.5, kConcurrency = 2;    // mean service times; parts a server runs at once
constexpr double kFleetMeanAge = 0.1;                // caching time of the fleet's mean service time
constexpr double kQueryWait = 0.25; // between queries for the list: share of its propagation time
constexpr double kCrashLimit = 3, kCrashDecay = 5; // recent crashes of servers; time constant of their decay
constexpr std::size_t kMaxCrashes = 2;             // of servers under one search
constexpr double kLossWeight = 0.05, kLossLimit = 0.3; // mean loss from which idle connections are distrusted
constexpr double kNewLossWeight = 0.2;                 // ... weight of an attempt over a new connection
constexpr double kIdle = 0.5, kRenewTime = 20;         // ... idle from then on; closed before use for so long
constexpr double kFleetWeight = 0.1, kZoneWeight = 0.1, kKindWeight = 0.03; // of an attempt in their means
constexpr double kRetentionAnswers = 4, kDegradedRate = 0.4; // answer intervals; failure rate of a group
constexpr double kShortTime = 0.6,
                 kSameTime = 0.01;                      // time left of a hasty client; spread of first tries
constexpr double kWeightSlack = 1e-6, kRankStep = 1e12; // rounding error; distance between ranks

using Eligibility = recovery::FailoverPolicy::Eligibility;
using replica_selection::kWindow;

class C3SearchScheduler : public SearchScheduler {
  public:
    explicit C3SearchScheduler(SchedulerConfig config) : config_(std::move(config)), random_(config_.seed) {
        for (const RequestClassConfig& request_class : config_.request_classes) {
            request_classes_.push_back({request_class, 0, 0, false, 1, 0, 0});
            target_ = std::min(target_, static_cast<double>(request_class.latency_target));
        }
        tenants_.resize(config_.tenants.size());
        subscribe_wanted_ = config_.list_mode == ListMode::kQueried;
        if (!config_.has_retry_budget) {
            config_.retry_slack = kRetrySlack, config_.retry_ratio = kRetryRatio;
            config_.retry_window = of_target(4);
        }
    }

    void handle(Ticks now, const Event& event) override {
        now_ = now;
        std::visit([this](auto& what) { apply(what); }, event);
    }

    void decide(Ticks now, SchedulerHost& host) override {
        now_ = now;
        wakeup_ = kNever;
        if (subscribe_wanted_) wake_by(subscribe_at_);
        std::erase_if(watched_, [this](auto& kept) { return !check_server(*kept.second); });
        probe_degraded_groups();
        overload_ = overload(watched_ | std::views::values, 1);
        for (auto& [job, search] : searches_) {
            if (search.status != Status::kOpen) continue;
            update_state(search);
            if (search.status == Status::kOpen) send_attempts(search);
        }
        emit(host);
    }

  private:
    void apply(const SearchAccepted& event) {
        auto& request_class = request_classes_.at(event.request_class.value);
        Search& search = searches_[event.job];
        search.id = event.id, search.request_class = event.request_class, search.tenant = event.tenant;
        search.shed = !failover_policy_.admits(event.request_class, event.tenant, random_);
        search.utility = request_class.config.utility;
        // The latency target counts from the first try; a retry carries the time left of the deadline.
        // Unmarked retries are recognized by a time left that differs from the usual one (a majority vote).
        const Ticks difference = std::abs(event.time_left - request_class.usual_time_left);
        const bool usual = difference < kSameTime * request_class.usual_time_left;
        const bool retry =
            config_.clients_mark_retries ? event.is_retry : !usual && request_class.usual_time_left_votes > 0;
        request_class.usual_time_left_votes += usual ? 1 : -1;
        if (request_class.usual_time_left_votes < 0)
            request_class.usual_time_left = event.time_left, request_class.usual_time_left_votes = 1;
        // A time left far below the latency target is a hasty client, not a late retry.
        const bool hasty = !config_.clients_mark_retries &&
                           event.time_left < kShortTime * request_class.config.latency_target;
        const Ticks spent =
            retry && !hasty ? std::max<Ticks>(0, request_class.config.deadline - event.time_left) : 0;
        search.target_at = now_ + request_class.config.latency_target - spent;
        search.deadline = now_ + event.time_left;
        if (search.target_at <= now_) search.utility *= request_class.config.late_utility_ratio;
        if (!within_quota(event.tenant)) search.utility *= config_.over_quota_utility_ratio;
        jobs_[event.id] = event.job;
        arrivals_.push_back(now_);
    }

    void apply(const PartAdded& event) {
        arrivals_.push_back(now_);
        const auto found = searches_.find(event.job);
        if (found == searches_.end() || found->second.status == Status::kEnded) return;
        found->second.parts.push_back({event.id, event.shard, event.weight});
        part_places_[event.id] = {event.job, found->second.parts.size() - 1};
    }
    void apply(const SearchAbandoned& event) {
        if (const auto it = jobs_.find(event.id); it != jobs_.end()) end(searches_.at(it->second));
    }
    void apply(const SearchRevoked& event) {
        if (const auto it = jobs_.find(event.id); it != jobs_.end()) searches_.at(it->second).revoked = true;
    }

    void apply(const FrontNodeCount& event) { front_nodes_ = std::max(1, event.count); }
    void apply(const FailoverPolicyUpdate& event) { failover_policy_.update(event); }
    void apply(const ServerListUpdate& update) {
        if (update.kind == ServerListKind::kQueryFailed) {
            subscribe_wanted_ = config_.list_mode == ListMode::kQueried;
            // Backs off, but notices in time that discovery has recovered.
            const double wait = std::min(++failed_queries_ * target_, kQueryWait * config_.list_propagation);
            subscribe_at_ = now_ + static_cast<Ticks>(wait * (0.5 + random_.unit() / 2));
            return;
        }
        if (update.kind != ServerListKind::kPersisted) failed_queries_ = 0, subscribe_wanted_ = false;
        if (update.kind != ServerListKind::kDelta)
            for (auto& [id, server] : servers_) server.entry.listed = ListedState::kGone;
        for (const ListEntry& entry : update.entries) {
            IndexServer& server = servers_[entry.server];
            if (!server.known || server.entry.cell != entry.cell) replicas_.clear();
            if (!server.known) server.id = entry.server;
            const bool restart = entry.started > server.entry.started && entry.started > server.started_at;
            if (restart && server.known) count_crash();
            server.entry = entry, server.known = true;
            if (restart) start_warm_up(server, entry.started);
            if (server.health == Health::kEjected) watch(server);
        }
    }

    void apply(const ProbeEnded& event) {
        const auto found = servers_.find(event.server);
        if (found == servers_.end()) return;
        IndexServer& server = found->second;
        server.probe_in_flight = false;
        record_group_result(server, event.passed, event.took);
        if (event.passed) apply_report(server, event.report);
        if (server.health != Health::kEjected) return;
        server.next_probe = now_ + probe_interval(server.failed_trials);
        server.passed_probes =
            event.passed && event.took < target_ * kSilenceLimit ? server.passed_probes + 1 : 0;
        if (server.passed_probes < kTrialProbes) return;
        server.health = Health::kTrial, server.trial_limit = 1;
        server.failure_rate = 0, server.measured = false, server.silent = 0;
        server.last_answer = now_; // attempts from before the trial do not count as silent
        // A server that refused connections may have restarted and counts as cold; one that only timed out
        // was delayed by the network. Known weakness: a server that is back, cold, long before it is listed.
        if (server.refused) start_warm_up(server, now_);
        server.unreachable = server.refused = false;
    }

    void apply(const AttemptEnded& event) {
        const auto found = part_places_.find(event.part);
        if (found == part_places_.end()) return;
        Search& search = searches_.at(found->second.first);
        Part& part = search.parts[found->second.second];
        if (event.attempt.value >= part.attempts.size()) return;
        Attempt& attempt = part.attempts[event.attempt.value];
        if (attempt.state != AttemptState::kInFlight) return;
        attempt.state = AttemptState::kEnded;
        attempt.may_have_run = event.outcome != Outcome::kRejected && !unconnected(event.outcome) &&
                               event.outcome != Outcome::kNotSent;
        if (event.outcome == Outcome::kAnswered) {
            part.answered = true;
            search.has_fast_part = search.has_fast_part ||
                                   event.took <= hedge_delay(request_classes_[search.request_class.value]);
        }
        // After a rejection another replica is tried at once, later attempts are delayed: all may be full.
        if (!attempt.may_have_run) part.not_before = now_ + of_target(kProbeInterval * event.attempt.value);
        detect_crashing_search(search, attempt, event.outcome);
        if (const auto at = servers_.find(attempt.server); at != servers_.end()) {
            const auto sent = at->second.sent_at.find({part.id, event.attempt});
            const bool refused = unconnected(event.outcome);
            const bool lost = sent->second.overdue && event.outcome != Outcome::kAnswered;
            if (refused || lost || event.outcome == Outcome::kAnswered)
                record_connection_result(sent->second, lost, refused);
            at->second.sent_at.erase(sent);
            at->second.used = now_;
            record_result(at->second, request_classes_[search.request_class.value], event);
        }
        if (search.status == Status::kEnded) forget(found->second.first);
    }
    static bool unconnected(Outcome outcome) {
        return outcome == Outcome::kConnectTimeout || outcome == Outcome::kConnectionRefused;
    }

    void record_result(IndexServer& server, RequestClassState& request_class, const AttemptEnded& event) {
        const double due = request_class.config.latency_target;
        const bool success = event.outcome == Outcome::kAnswered;
        if (event.outcome == Outcome::kNotSent) return;
        // A lost connection ends all its attempts: they count as one failure.
        if (event.outcome == Outcome::kConnectionLost &&
            std::exchange(server.connection_lost_at, now_) == now_)
            return;
        if (event.outcome != Outcome::kCancelled && event.outcome != Outcome::kTimedOut)
            record_group_result(server, success, event.took);
        if (event.outcome == Outcome::kCancelled) {
            if (server.measured && event.took > server.response) mix(server.response, event.took, kNewWeight);
            return;
        }
        // Fast errors must not look like a fast server: a failure counts as an answer at the latency target.
        double took = success ? static_cast<double>(event.took) : due;
        if (success) {
            if (server.last_answer > 0)
                mix(answer_interval_, static_cast<double>(now_ - server.last_answer), kFleetWeight);
            server.last_answer = now_, server.silent = 0;
            server.limiter.answered(now_);
            server.limiter.adapt(now_, server.in_flight(), backlogged(server));
            if (!request_class.measured) request_class.response = took;
            const double outlier =
                request_class.response + 2 * kDeviations * std::max(request_class.deviation, due * 0.02);
            took = std::min(took, request_class.measured ? outlier : took);
            if (request_class.measured)
                mix(request_class.deviation, std::abs(took - request_class.response), kNewWeight);
            mix(request_class.response, took, kNewWeight);
            request_class.measured = true;
        }
        const double queue = event.report.queued.value_or(event.report.in_flight.value_or(0));
        const double service = took / (1 + queue);
        if (success) update_fleet_means(queue, took);
        if (!server.measured) { server.response = took, server.service = service, server.queue = queue; }
        mix(server.response, took, kNewWeight);
        if (success) mix(server.service, service, kNewWeight);
        apply_report(server, event.report);
        server.measured = server.measured || success;
        mix(server.failure_rate, success ? 0 : 1, kNewWeight);
        if (success && server.health == Health::kTrial && ++server.trial_limit >= kTrialAttempts)
            server.health = Health::kInService, server.failed_trials = 0;
        // A full server is healthy, so it is not ejected, but gets nothing for a latency target or the usual
        // interval between its answers, doubled each time. Parts sent to it would keep it busy with abandoned
        // work, and each of many front nodes would retry too early. Known weakness: a burst fills one.
        if (success) server.rejections = 0, server.backoff_until = 0;
        if (event.outcome == Outcome::kRejected) {
            const double backoff =
                std::max(target_, answer_interval_) * (1 << std::min(server.rejections++, kMaxDoublings));
            server.backoff_until = now_ + static_cast<Ticks>(backoff * (0.75 + 0.5 * random_.unit()));
            return;
        }
        const bool refused = unconnected(event.outcome);
        if (refused && !server.unreachable) count_crash();
        server.unreachable = server.unreachable || refused;
        server.refused = server.refused || event.outcome == Outcome::kConnectionRefused;
        if (!success && (refused || server.health == Health::kTrial || server.failure_rate > kMaxFailureRate))
            eject(server);
    }

    // Guards against searches that crash every server. While servers crash or restart in quick succession,
    // each search sends one part until one is answered; it is ended if it crashes two servers, or one with a
    // single part in flight. Deploys and lost zones trigger this too, at the cost of one more round trip.
    void count_crash() { crash_count_ = crashes() + 1, crash_count_at_ = now_; }
    double crashes() const {
        return crash_count_ * std::exp(-(now_ - crash_count_at_) / (kCrashDecay * target_));
    }

    void detect_crashing_search(Search& search, const Attempt& attempt, Outcome outcome) {
        if (outcome == Outcome::kAnswered) search.has_answer = true;
        if (outcome != Outcome::kConnectionLost || search.has_answer) return;
        search.crashed.insert(attempt.server);
        search.is_query_of_death =
            search.crashed.size() >= kMaxCrashes || (attempt.is_crash_test && crashes() >= kCrashLimit);
    }

    void apply_report(IndexServer& server, const LoadReport& report) {
        watch(server);
        if (!report.queued && !report.in_flight) return;
        mix(server.queue, report.queued.value_or(report.in_flight.value_or(0)), kReportWeight);
        server.in_flight_at_report = server.in_flight();
    }

    // Detects idle connections that the network has dropped silently: attempts over them get no answer,
    // others do. They are then closed before use for a while, unless new ones fail as well. With many front
    // nodes nearly every connection is idle, so two slow parts in a row must not be enough.
    void record_connection_result(const SentAttempt& sent, bool lost, bool refused) {
        if (sent.on_new_connection) mix(new_loss_, refused || lost ? 1 : 0, kNewLossWeight);
        if (refused) return;
        mix(sent.was_idle ? idle_loss_ : busy_loss_, lost ? 1 : 0, kLossWeight);
        if (!lost || !sent.was_idle || idle_loss_ < kLossLimit || idle_loss_ < 2 * busy_loss_) return;
        if (now_ >= renew_until_) new_loss_ = 0;
        renew_until_ = now_ + of_target(kRenewTime);
    }

    // Servers of a zone or machine kind whose attempts fail (for a zone also: are late), while another group
    // is healthy, rank last, their score divided by the squared success rate: zones partitioned, lost, slow
    // or full, bad releases on one kind. Failures in a degraded zone do not count against the kind.
    void record_group_result(const IndexServer& server, bool success, double took) {
        const bool late = took >= target_ * kSilenceLimit;
        const ServerGroup zone = server.groups()[0], kind = server.groups()[1];
        groups_[zone].record(!success || late, success ? took : target_, kZoneWeight);
        if (!degraded(zone)) groups_[kind].record(!success, success ? took : target_, kKindWeight);
    }
    double failure_rate(ServerGroup group) const {
        const auto found = groups_.find(group);
        return found == groups_.end() ? 0 : std::min(found->second.failure_rate, 0.99);
    }

    bool degraded(ServerGroup group) const {
        const double here = failure_rate(group);
        return here >= kDegradedRate && std::ranges::any_of(groups_, [&](auto& other) {
                   return other.first.first == group.first && other.second.failure_rate < here / 2;
               });
    }
    bool stale(const IndexServer& server) const { return now_ > server.last_answer + of_target(1); }
    bool degraded(const IndexServer& server) const {
        return stale(server) && std::ranges::any_of(server.groups(), [&](auto& g) { return degraded(g); });
    }

    void probe_degraded_groups() {
        if (!config_.may_probe) return;
        for (auto& [group, view] : groups_) {
            if (!degraded(group)) continue;
            wake_by(view.next_probe);
            if (now_ < view.next_probe) continue;
            IndexServer* target = nullptr;
            int seen = 0;
            for (auto& [id, server] : servers_)
                if (std::ranges::count(server.groups(), group) > 0 && !server.probe_in_flight &&
                    server.entry.listed == ListedState::kLive && random_.unit() < 1.0 / ++seen)
                    target = &server;
            view.next_probe = now_ + probe_interval(0);
            if (target != nullptr) target->probe_due = true, watch(*target);
        }
    }
    Ticks silence_limit(const IndexServer& server) const {
        return static_cast<Ticks>(std::clamp(2 * response_mean(server), target_ * kSilenceLimit, target_));
    }

    void eject(IndexServer& server) {
        if (server.health == Health::kEjected) return;
        const int failed_trial = server.health == Health::kTrial ? 1 : 0;
        server.failed_trials = std::min(server.failed_trials + failed_trial, kMaxDoublings);
        server.health = Health::kEjected, server.passed_probes = server.silent = 0, watch(server);
        server.next_probe = now_ + probe_interval(server.failed_trials);
    }

    // At least the interval between answers: 300 front nodes probing each latency target would be a load.
    Ticks probe_interval(int failed_trials) {
        const double base = std::max(target_, answer_interval_);
        return static_cast<Ticks>(base * kProbeInterval * (1 << failed_trials) *
                                  (0.75 + 0.5 * random_.unit()));
    }
    bool backlogged(const IndexServer& server) const {
        return std::ranges::any_of(
            backlog_, [&](auto& s) { return s.second > 0 && config_.holds(server.entry.cell, s.first); });
    }
    double service_time(const IndexServer& server) const {
        return server.measured ? std::max(server.service, 1.0) : mean_service();
    }

    // Cached for a while, so that the cost of a turn does not grow with the fleet.
    double mean_service() const {
        if (now_ < fleet_service_until_) return fleet_service_;
        double sum = 0, count = 0;
        for (const auto& [id, server] : servers_)
            if (server.measured && !is_cold(server)) sum += server.service, ++count;
        fleet_service_until_ = now_ + (count > 0 ? of_target(kFleetMeanAge) : 1);
        return fleet_service_ = count > 0 ? std::max(sum / count, 1.0) : target_ * kUnknownServiceTime;
    }

    const std::vector<IndexServer*>& replicas(ShardNo shard) {
        const auto [place, is_new] = replicas_.try_emplace(shard);
        if (is_new)
            for (auto& [id, server] : servers_)
                if (config_.holds(server.entry.cell, shard)) place->second.push_back(&server);
        for (IndexServer* server : place->second) decay_means(*server);
        return place->second;
    }

    // A turn checks only servers with recent traffic and ejected ones.
    void watch(IndexServer& server) { watched_[server.id] = &server, server.watched_at = now_; }

    double queue_of(const IndexServer& s) const { return s.measured ? s.queue : faded(fleet_queue_); }
    double response_mean(const IndexServer& s) const {
        return s.measured ? s.response : std::max(faded(fleet_response_), service_time(s));
    }

    // C3 expects steady feedback. Where it is sparse, silence counts as a response of that length.
    double response_of(const IndexServer& server) const {
        const double known = response_mean(server);
        const Ticks oldest = server.oldest();
        if (oldest == kNever) return known;
        return std::max(known, static_cast<double>(now_ - std::max(oldest, server.last_answer)));
    }

    // Without answers, high means fall at the rate of service and low ones decay, towards the fleet's means.
    void decay_means(IndexServer& server) {
        server.limiter.advance(now_);
        const double passed = static_cast<double>(now_ - server.decayed_at);
        server.decayed_at = now_;
        if (server.in_flight() > 0 || passed <= 0 || !server.measured) return;
        const double service = service_time(server), span = retention();
        const double forgotten = 1 - std::exp(-passed / span), pass = passed * target_ / span;
        decay(server.queue, faded(fleet_queue_), pass / service, forgotten);
        decay(server.response, std::max(service, faded(fleet_response_)), pass, forgotten);
    }

    // Decays without answers, so that searches are not rejected forever because of an old overload.
    double faded(double mean) const { return mean * std::exp(-(now_ - fleet_means_at_) / target_); }
    void update_fleet_means(double queue, double took) {
        fleet_queue_ = faded(fleet_queue_), fleet_response_ = faded(fleet_response_), fleet_means_at_ = now_;
        mix(fleet_queue_, queue, kFleetWeight), mix(fleet_response_, took, kFleetWeight);
    }

    double score(const IndexServer& server) const {
        const double service = service_time(server);
        // An attempt in the same call saves the work of a separate one, and no other front node sends it.
        const double joined =
            config_.call_overhead > 0 ? service / (service + config_.call_overhead) : front_nodes_;
        const double before = (server.in_flight() - server.batched_this_turn) * front_nodes_;
        const double waiting = 1 + before + server.batched_this_turn * joined + queue_of(server);
        return replica_selection::score(response_of(server), service, waiting);
    }

    bool check_server(IndexServer& server) {
        decay_means(server);
        server.batched_this_turn = 0;
        // The network may lose one attempt, so ejection takes two; after one the server only ranks lower.
        if (now_ >= server.last_overdue_at + of_target(2)) server.silent = 0;
        for (auto& [attempt, sent] : server.sent_at) {
            if (sent.at < server.last_answer) continue;
            const Ticks limit = sent.at + silence_limit(server);
            wake_by(limit);
            if (now_ < limit || sent.overdue) continue;
            sent.overdue = true, ++server.silent, server.last_overdue_at = now_;
            record_group_result(server, false, 0);
        }
        if (server.silent >= (server.health == Health::kTrial ? 1 : kMaxSilentAttempts)) eject(server);
        if (server.health != Health::kEjected || server.entry.listed != ListedState::kLive)
            return server.in_flight() > 0 || now_ < server.watched_at + of_target(2);
        server.probe_due = config_.may_probe && !server.probe_in_flight && now_ >= server.next_probe;
        wake_by(server.next_probe);
        return true;
    }

    // Rule 4: attempts to a recently started server are spaced so that all front nodes together stay within
    // its budget (limits/slow_start.hpp). Its full capacity is estimated from warm servers.
    Ticks cold_attempt_time(const IndexServer& server, double attempts) const {
        const Ticks age = now_ - server.started_at; // its service time is longer while it is cold
        const double slow = std::max(service_time(server) * slow_start_.share(age), kSlower * mean_service());
        const double nodes = std::max<double>(front_nodes_, config_.front_nodes); // fewer may be a partition
        return now_ + slow_start_.time_until_due(age, slow_start_.full_attempt_rate(kConcurrency, slow),
                                                 nodes, attempts);
    }

    // All front nodes learn of a start at about the same time, so each picks a random point of the first gap.
    void start_warm_up(IndexServer& server, Ticks from) {
        server.started_at = from, server.next_cold_attempt_at = cold_attempt_time(server, random_.unit());
    }
    bool is_cold(const IndexServer& server) const {
        return server.started_at > 0 && now_ < server.started_at + config_.warm_up_time;
    }

    // Rules 3 and 4.
    bool may_serve(const IndexServer& server) {
        const bool room = !is_cold(server) || now_ >= server.next_cold_attempt_at;
        if (!room) wake_by(server.next_cold_attempt_at);
        return room && server.entry.listed == ListedState::kLive;
    }

    // The healthy replica with the lowest score and room under its limit, else the best of the others.
    IndexServer* choose_replica(Part& part, const RequestClassState& request_class, bool healthy_only) {
        IndexServer* best = nullptr;
        double best_rank = 0;
        int ties = 0;
        bool limited = false;
        const bool once = request_class.config.idempotency == Idempotency::kNonIdempotent;
        for (IndexServer* server : replicas(part.shard)) {
            const bool open = admits(*server), bad = degraded(*server);
            const auto used =
                std::ranges::count_if(part.attempts, [&](auto& l) { return l.server == server->id; });
            const auto eligibility = failover_policy_.eligibility(server->entry.zone, once, random_);
            if (!may_serve(*server) || (!open && !may_test(*server)) || eligibility == Eligibility::kExcluded)
                continue;
            if (now_ < server->backoff_until) {
                wake_by(server->backoff_until);
                continue;
            }
            if (healthy_only && (!open || used > 0 || bad || eligibility != Eligibility::kEligible)) continue;
            limited = limited || !server->limiter.has_room(now_);
            if (!server->limiter.has_room(now_)) continue;
            double rank = score(*server), penalty = 0.5 * static_cast<double>(used);
            if (!open) penalty += server->unreachable ? 3 : 2;
            if (once && server->health == Health::kTrial) ++penalty;
            if (server->silent > 0) penalty += 0.25;
            if (eligibility == Eligibility::kLastResort) penalty += 1.2;
            if (bad) {
                double success = 1;
                for (const ServerGroup& group : server->groups()) success *= 1 - failure_rate(group);
                rank /= success * success, penalty += 1.5;
            }
            rank += kRankStep * penalty;
            // Ties are broken at random: front nodes with the same reports must not all pick the same server.
            if (best == nullptr || rank < best_rank)
                best = server, best_rank = rank, ties = 1;
            else if (rank == best_rank && random_.unit() < 1.0 / ++ties)
                best = server;
        }
        if (best == nullptr && limited && !part.waits_for_capacity) ++backlog_[part.shard];
        part.waits_for_capacity = best == nullptr && limited;
        return best;
    }

    bool within_quota(TenantNo tenant) {
        if (tenant.value < 0 || static_cast<std::size_t>(tenant.value) >= tenants_.size()) return true;
        TenantState& view = tenants_[tenant.value];
        const double rate = config_.tenants[tenant.value].quota_per_s / config_.front_nodes;
        view.tokens = std::min(rate * 2, view.tokens + rate * (now_ - view.filled_at) / kTicksPerSecond);
        view.filled_at = now_;
        return view.tokens >= 1 ? (view.tokens -= 1, true) : false;
    }

    Ticks margin() const { return 4 * config_.decision_interval; }
    Ticks hedge_delay(const RequestClassState& request_class) const {
        const double due = static_cast<double>(request_class.config.latency_target);
        const double usual =
            request_class.measured ? request_class.response + kDeviations * request_class.deviation : due;
        return static_cast<Ticks>(std::clamp(usual, due * kMinHedgeDelay, due * kMaxHedgeDelay));
    }

    // Ends a search that is complete, out of time, or can no longer succeed.
    void update_state(Search& search) {
        const RequestClassState& request_class = request_classes_[search.request_class.value];
        double answered = 0, possible = 0; // weight
        bool all = search.parts.size() > search.step_begin;
        bool hopeless = false, in_flight = false, omits = false, waits = false;
        for (std::size_t i = search.step_begin; i < search.parts.size(); ++i) {
            Part& part = search.parts[i];
            if (part.answered) answered += part.weight;
            all = all && part.answered;
            part.slow = part.slow || (!part.answered && is_slow(part, request_class));
            in_flight = in_flight || (!part.answered && part.in_flight());
            const bool exhausted = search.revoked || !may_attempt(part, request_class);
            const bool missing = !part.answered && !part.in_flight(), omitted = missing && is_omitted(part);
            hopeless = hopeless || (missing && exhausted && !omitted);
            omits = omits || omitted, waits = waits || (missing && !exhausted && !omitted);
            if (!omitted) possible += part.weight;
        }
        const double need = search.step == 1 ? request_class.config.full_answer_weight : 1;
        if (all || (need < 1 && answered + kWeightSlack >= need))
            return void(search.status = search.complete ? Status::kComplete : Status::kPartial);
        const bool partial = request_class.config.min_answer_weight < request_class.config.full_answer_weight;
        if (omits && possible + kWeightSlack < request_class.config.min_answer_weight)
            return reject_or_fail(search);
        const bool enough = partial && answered + kWeightSlack >= request_class.config.min_answer_weight;
        const bool over = now_ >= search.deadline - margin(), late = now_ >= search.target_at - margin();
        const bool no_more = !in_flight && (omits ? !waits : hopeless);
        if (enough && (over || late || no_more)) return void(search.status = Status::kPartial);
        const bool pointless = late && request_class.config.late_utility_ratio <= overload_; // costs others
        if (over || pointless || (hopeless && !(partial && in_flight))) reject_or_fail(search);
        wake_by(late ? search.deadline - margin() : std::min(search.target_at, search.deadline) - margin());
    }

    void reject_or_fail(Search& search) {
        const RequestClassState& request_class = request_classes_[search.request_class.value];
        const bool ran = std::ranges::any_of(search.parts, &Part::may_have_run);
        const bool harmless = !search.is_query_of_death && // a retry would crash more
                              (request_class.config.idempotency != Idempotency::kNonIdempotent || !ran);
        search.status = harmless ? Status::kRejected : Status::kFailed;
        const double wait = std::min(target_ * kSilenceLimit, static_cast<double>(config_.max_retry_after));
        const auto usual =
            static_cast<Ticks>(wait * (0.5 + (config_.may_send_retry_after ? random_.unit() : 0) / 2));
        search.retry_after = config_.may_send_retry_after ? failover_policy_.retry_after(usual, random_) : 0;
    }
    bool is_omitted(const Part& part) const {
        return part.omitted || failover_policy_.shard_lost(part.shard);
    }

    // Rule 2 and the limit on attempts, for a part without an answer.
    bool may_attempt(const Part& part, const RequestClassState& request_class) const {
        if (static_cast<int>(part.attempts.size()) >= config_.max_attempts) return false;
        if (part.attempts.empty() || request_class.config.idempotency == Idempotency::kIdempotent)
            return true;
        if (!part.may_have_run()) return true;
        return request_class.config.idempotency != Idempotency::kNonIdempotent &&
               now_ < dedup_deadline(part, request_class);
    }

    // Servers' deduplication window counts from the first attempt that may have run.
    Ticks dedup_deadline(const Part& part, const RequestClassState& request_class) const {
        if (request_class.config.idempotency != Idempotency::kIdempotencyKey) return kNever;
        Ticks first = kNever;
        for (const Attempt& attempt : part.attempts)
            if (attempt.may_have_run && attempt.state != AttemptState::kPlanned)
                first = std::min(first, attempt.sent);
        return first == kNever ? kNever : first + request_class.config.dedup_window - margin();
    }

    // Rule 6, or the default budget: retries must not amplify an overload.
    bool retry_budget_left() {
        while (!arrivals_.empty() && arrivals_.front() <= now_ - config_.retry_window) arrivals_.pop_front();
        while (!retries_.empty() && retries_.front() <= now_ - config_.retry_window - 1) retries_.pop_front();
        const double share = config_.retry_ratio * (1 - overload_);
        return retries_.size() + 1 <=
               (config_.retry_slack + share * arrivals_.size()) * failover_policy_.retry_budget_share();
    }

    // Expected time of a part at its best replica, preferring healthy ones.
    double best_time(const Part& part) {
        double healthy = static_cast<double>(kNever), any = healthy;
        const int ahead = backlog_[part.shard];
        for (IndexServer* server : replicas(part.shard)) {
            if (!may_serve(*server) || failover_policy_.excludes(server->entry.zone)) continue;
            if (admits(*server) && !degraded(*server))
                healthy = std::min(healthy, expected_time(*server, ahead));
            if (may_test(*server)) any = std::min(any, expected_time(*server, ahead));
        }
        return healthy < static_cast<double>(kNever) ? healthy : any;
    }

    // Overload from 0 to 1, by the mean expected wait: one slow server is none, long queues everywhere are.
    template <class Servers> double overload(const Servers& servers, double scale) const {
        double sum = 0, counted = 0;
        for (const IndexServer* server : servers)
            if (server->entry.listed == ListedState::kLive && server->health == Health::kInService)
                sum += std::min(expected_time(*server), target_), ++counted;
        const double wait = sum / std::max(counted, 1.0) / target_;
        return std::clamp((wait - kIdleWait * scale) / (kFullWait - kIdleWait) / scale, 0.0, 1.0);
    }

    static bool admits(const IndexServer& server) {
        return server.health == Health::kInService ||
               (server.health == Health::kTrial && server.in_flight() < server.trial_limit);
    }

    // An unreachable server gets one attempt at a time, to find out when it is back.
    static bool may_test(const IndexServer& server) { return !server.unreachable || server.in_flight() == 0; }

    double expected_time(const IndexServer& server, int ahead = 0) const {
        const double waiting =
            ahead + queue_of(server) + std::max(0, server.in_flight() - server.in_flight_at_report);
        const ServerGroup zone_group = server.groups()[0];
        const double zone = stale(server) && degraded(zone_group) ? groups_.at(zone_group).response : 0;
        const double full = static_cast<double>(std::max<Ticks>(0, server.backoff_until - now_));
        return full + std::max({zone, response_of(server), service_time(server) * (1 + waiting)});
    }

    // Rejects, before any work, a search that would be late. The lower its utility for its work, the less of
    // its time it may wait; the higher the overload, the less a possible partial answer counts.
    bool admit(Search& search) {
        RequestClassState& request_class = request_classes_[search.request_class.value];
        mix(request_class.parts, static_cast<double>(search.parts.size()), kNewWeight);
        double best = 0;
        for (const RequestClassState& other : request_classes_)
            best = std::max(best, other.config.utility / other.parts);
        const double value = std::sqrt(std::min(1.0, search.utility / search.parts.size() / best));
        const int steps = request_class.config.follow_up_parts > 0 ? 2 : 1;
        const Ticks left = (search.target_at > now_ ? search.target_at : search.deadline) - now_;
        const double wait_share = kMinWaitShare + (kMaxWaitShare - kMinWaitShare) * value;
        // Where a partial answer is allowed, the parts' mean wait decides, else that of each part.
        const bool whole = request_class.config.min_answer_weight >= request_class.config.full_answer_weight;
        double missing = 0, wait_ratio = 0;
        for (Part& part : search.parts) {
            if (is_omitted(part)) continue; // update_state() checks the rest
            const double full = std::max(overload_, overload(replicas(part.shard), kShardScale));
            const double wait = best_time(part) * steps, room = left * (1 - full * (1 - wait_share));
            if (wait > (whole ? room : left)) missing += part.weight;
            wait_ratio += part.weight * std::min(1.5, wait / room);
        }
        if (!whole && wait_ratio > 1) return false;
        missing -=
            (1 - std::min(request_class.config.min_answer_weight, request_class.config.full_answer_weight)) *
            (1 - overload_);
        return missing <= kWeightSlack;
    }

    void send_attempts(Search& search) {
        RequestClassState& request_class = request_classes_[search.request_class.value];
        if (search.parts.empty() || search.revoked) return;
        const bool begun = std::ranges::any_of(search.parts, [](auto& p) { return !p.attempts.empty(); });
        if (!begun)
            failover_policy_.omit_parts(search, request_class.config.min_answer_weight, search.tenant);
        if (!begun && (search.shed || !admit(search))) return reject_or_fail(search); // also while backlogged
        if (search.is_query_of_death) return reject_or_fail(search);
        const bool singly = !search.has_answer && crashes() >= kCrashLimit;
        const bool in_flight = search.in_flight();
        Part* first = nullptr; // the one with the least expected time
        double least = 0;
        for (std::size_t i = search.step_begin; i < search.parts.size(); ++i) {
            Part& part = search.parts[i];
            if (part.answered || (!part.in_flight() && is_omitted(part))) continue;
            if (part.in_flight())
                hedge_or_move(search, part, request_class);
            else if (!singly)
                start_attempt(part, request_class);
            else if (const double wait = in_flight ? 0 : best_time(part);
                     !in_flight && (first == nullptr || wait < least))
                first = &part, least = wait;
        }
        if (first != nullptr && start_attempt(*first, request_class))
            first->attempts.back().is_crash_test = true;
    }

    bool is_slow(const Part& part, const RequestClassState& request_class) const {
        return std::ranges::any_of(part.attempts, [&](auto& attempt) {
            const IndexServer& server = servers_.at(attempt.server);
            return attempt.state == AttemptState::kInFlight &&
                   now_ >= attempt.sent + hedge_delay(request_class) && server.health == Health::kInService &&
                   server.silent == 0;
        });
    }

    // Hedges an overdue attempt where that is allowed, else cancels it to retry at another replica.
    void hedge_or_move(Search& search, Part& part, RequestClassState& request_class) {
        if (request_class.config.idempotency == Idempotency::kNonIdempotent) return;
        Attempt* last = nullptr;
        int copies = 0, alive = 0; // in flight; those at servers that answer
        for (Attempt& attempt : part.attempts) {
            if (attempt.state == AttemptState::kEnded) continue;
            last = &attempt, ++copies, alive += servers_[attempt.server].silent == 0 ? 1 : 0;
        }
        const bool ejected = servers_[last->server].health == Health::kEjected;
        const Ticks overdue = last->sent + hedge_delay(request_class);
        if (!ejected && now_ < overdue) return wake_by(overdue);
        if (copies > 1 && alive > 0) return wake_by(overdue + of_target(kMinHedgeDelay));
        if (now_ >= search.target_at || !retry_budget_left() || !may_attempt(part, request_class)) return;
        // The search itself is slow, not its servers: repeating its parts would only double the work.
        const bool costly =
            !search.has_fast_part && std::ranges::count_if(search.parts, &Part::slow) >= kCostlySlowParts;
        if (!ejected && costly) return wake_by(last->sent + 2 * hedge_delay(request_class));
        // Once it is long overdue, an unhealthy replica is better than a silent one.
        const bool healthy_only = now_ < last->sent + 2 * hedge_delay(request_class);
        if (healthy_only) wake_by(last->sent + 2 * hedge_delay(request_class));
        IndexServer* other = choose_replica(part, request_class, healthy_only);
        if (other != nullptr && config_.hedging_enabled) plan_attempt(part, *other);
        if (other != nullptr && !config_.hedging_enabled && config_.may_cancel) last->result_needed = false;
    }

    bool start_attempt(Part& part, const RequestClassState& request_class) {
        if (now_ < part.not_before) return wake_by(part.not_before), false;
        if (!may_attempt(part, request_class) || (uses_retry_budget(part) && !retry_budget_left()))
            return wake_by(now_ + kWindow), false;
        IndexServer* server = choose_replica(part, request_class, false);
        return server == nullptr ? (wake_by((now_ / kWindow + 1) * kWindow), false)
                                 : (plan_attempt(part, *server), true);
    }

    // The default budget counts repeated work, a configured one every further attempt.
    bool uses_retry_budget(const Part& part) const {
        return config_.has_retry_budget ? !part.attempts.empty() : part.may_have_run();
    }

    void plan_attempt(Part& part, IndexServer& server) {
        if (uses_retry_budget(part)) retries_.push_back(now_);
        part.attempts.push_back({server.id, AttemptState::kPlanned, true, false, true, false, now_});
        const bool idle = server.used > 0 && server.in_flight() == 0 && now_ > server.used + of_target(kIdle);
        const bool trusted = now_ >= renew_until_ || new_loss_ >= kLossLimit;
        server.close_idle_before_next_attempt = server.close_idle_before_next_attempt || (idle && !trusted);
        const AttemptNo number{static_cast<std::uint32_t>(part.attempts.size() - 1)};
        server.sent_at[{part.id, number}] = {now_, idle && !server.close_idle_before_next_attempt, false,
                                             server.close_idle_before_next_attempt};
        server.used = now_, server.limiter.sent(now_), ++server.batched_this_turn;
        watch(server);
        if (is_cold(server)) server.next_cold_attempt_at = cold_attempt_time(server, 0.5 + random_.unit());
    }

    // How long a server's means stay valid: a latency target, or several intervals between its answers.
    double retention() const { return std::max(target_, kRetentionAnswers * answer_interval_); }
    Ticks of_target(double share) const { return static_cast<Ticks>(target_ * share); }
    void wake_by(Ticks at) { wakeup_ = std::min(wakeup_, std::max(at, now_ + config_.decision_interval)); }

    void emit(SchedulerHost& host) {
        if (subscribe_wanted_ && now_ >= subscribe_at_) host.subscribe(), subscribe_wanted_ = false;
        backlog_.clear();
        for (auto next = searches_.begin(); next != searches_.end();) {
            auto& [job, search] = *next++;
            const bool answered = search.status == Status::kComplete || search.status == Status::kPartial;
            const int steps = request_classes_[search.request_class.value].config.follow_up_parts > 0 ? 2 : 1;
            search.complete = search.status == Status::kComplete || (search.complete && !answered);
            if (answered) host.answer(search.id, search.complete);
            if (search.status == Status::kRejected) host.reject(search.id, search.retry_after);
            if (search.status == Status::kFailed) host.fail(search.id);
            if (answered && search.step < steps)
                ++search.step, search.step_begin = search.parts.size(), search.status = Status::kOpen;
            else if (search.status != Status::kOpen && search.status != Status::kEnded)
                end(search);
            for (Part& part : search.parts) {
                for (std::size_t i = 0; i < part.attempts.size(); ++i) {
                    Attempt& attempt = part.attempts[i];
                    const bool wanted =
                        attempt.result_needed && !part.answered && search.status == Status::kOpen;
                    if (attempt.state == AttemptState::kPlanned) {
                        IndexServer& server = servers_.at(attempt.server);
                        if (server.close_idle_before_next_attempt)
                            host.close_idle_connections(attempt.server),
                                server.close_idle_before_next_attempt = false;
                        const Ticks by = dedup_deadline(part, request_classes_[search.request_class.value]);
                        host.attempt(part.id, attempt.server, search.deadline - now_,
                                     std::min(search.deadline, by) - now_);
                        attempt.state = AttemptState::kInFlight;
                    } else if (attempt.state == AttemptState::kInFlight && !wanted && !attempt.cancelled &&
                               config_.may_cancel) {
                        host.cancel_attempt(part.id, AttemptNo{static_cast<std::uint32_t>(i)}),
                            attempt.cancelled = true;
                    }
                }
                if (part.waits_for_capacity && search.status == Status::kOpen) ++backlog_[part.shard];
            }
            if (search.status == Status::kEnded) forget(job);
        }
        for (auto& [id, server] : watched_) {
            if (!server->probe_due) continue;
            host.probe(id);
            server->probe_due = false, server->probe_in_flight = true;
        }
        if (wakeup_ != kNever && (armed_ <= now_ || wakeup_ < armed_))
            host.schedule_wakeup(wakeup_ - now_), armed_ = wakeup_;
    }

    void end(Search& search) { search.status = Status::kEnded, jobs_.erase(search.id); }

    // An ended search is kept until its last attempt has ended: its outcome updates its server.
    void forget(JobNo job) {
        const Search& search = searches_.at(job);
        if (search.in_flight()) return;
        for (const Part& part : search.parts) part_places_.erase(part.id);
        searches_.erase(job);
    }

    SchedulerConfig config_;
    Pcg random_;
    limits::SlowStart slow_start_{config_.warm_up_time, config_.cold_capacity_ratio, config_.overload_window,
                                  config_.overload_factor};
    recovery::FailoverPolicy failover_policy_;
    double front_nodes_ = config_.front_nodes, target_ = 1e9; // target_: the shortest latency target
    double overload_ = 0;                                     // at the start of this decision
    Ticks now_ = 0, wakeup_ = kNever, armed_ = 0;             // armed_: the wake-up last scheduled
    std::vector<RequestClassState> request_classes_;
    std::vector<TenantState> tenants_;
    std::map<JobNo, Search> searches_; // in order of arrival
    std::map<SearchId, JobNo> jobs_;
    std::map<PartId, std::pair<JobNo, std::size_t>> part_places_;
    std::map<ServerId, IndexServer> servers_;
    std::map<ServerGroup, GroupStats> groups_;
    std::map<ServerId, IndexServer*> watched_;
    std::map<ShardNo, std::vector<IndexServer*>> replicas_;             // by shard, in order of their ids
    mutable Ticks fleet_service_until_ = 0;                             // expiry of the cached value below
    mutable double fleet_service_ = 0;                                  // mean service time
    double fleet_queue_ = 0, fleet_response_ = 0, answer_interval_ = 0; // means over all servers
    std::map<ShardNo, int> backlog_; // parts that wait for room under a replica's sending limit
    double idle_loss_ = 0, busy_loss_ = 0, new_loss_ = 0; // unanswered over idle, other, new connections
    double crash_count_ = 0;                              // decaying, as of crash_count_at_
    Ticks fleet_means_at_ = 0, crash_count_at_ = 0, renew_until_ = 0, subscribe_at_ = 0;
    std::deque<Ticks> arrivals_, retries_;
    bool subscribe_wanted_ = false; // to the server list
    int failed_queries_ = 0;        // in a row
};

} // namespace

std::unique_ptr<SearchScheduler> make_search_scheduler(SchedulerConfig config) {
    return std::make_unique<C3SearchScheduler>(std::move(config));
}
} // namespace ivyrill
