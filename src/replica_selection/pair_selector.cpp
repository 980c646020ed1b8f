#include "replica_selection/pair_selector.hpp"

#include "replica_selection/mechanism.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ivyrill::replica_selection {

namespace {

constexpr double kAnswerWeight = 0.3;     // weight of an answer in a server's means
constexpr double kReportWeight = 0.2;     // weight of a report in prefill_share
constexpr double kUnknownTimeShare = 0.1; // of the latency target: expected time before the first answer
constexpr double kUnknownTokens =
    8000; // length of a prompt that takes the expected time before the first answer
constexpr double kDecodeServerSlowdown =
    2;                            // a decode server prefills at half the speed (PROTOCOL, prefill and decode)
constexpr double kZoneFactor = 2; // of a transfer between zones (PROTOCOL)
constexpr double kRemoteFactor = 1.5;    // a decode server in another zone must be better by this factor
constexpr Ticks kRejectionBackoff = 200; // doubled for each rejection in a row
constexpr Ticks kUnreachableBackoff = 2500;
constexpr Ticks kMisdirectedBackoff = 100'000; // until the server list drops it
constexpr int kMaxDoublings = 4;
constexpr Ticks kMaxStageChange = 100'000; // running requests are completed first
constexpr double kMaxTargets =
    0.8; // expected prefill time, in latency targets, above which requests are rejected
constexpr std::size_t kSampled = 2,
                      kSampledRemote = 1; // servers ranked for one request: in the zone, elsewhere
constexpr double kMaxRetryAfter = 3000;   // tenths of a millisecond

void mix(double& mean, double sample, double weight) { mean += weight * (sample - mean); }

std::size_t index(Work work) { return static_cast<std::size_t>(work); }

Ticks doubled(Ticks backoff, int times) { return backoff << std::min(times, kMaxDoublings); }

} // namespace

std::int64_t Request::prompt_tokens() const {
    std::int64_t tokens = 0;
    for (const PromptPart& part : prompt) tokens += part.tokens;
    return tokens;
}

void PairSelector::set_instances(const std::map<std::string, model::Instance>& instances, Ticks now) {
    std::erase_if(servers_, [&](const auto& known) {
        const auto found = instances.find(known.first);
        return found == instances.end() || found->second.state == model::InstanceState::kGone;
    });
    for (const auto& [id, instance] : instances) {
        if (instance.state == model::InstanceState::kGone) continue;
        const auto [place, is_new] = servers_.try_emplace(id);
        Server& server = place->second;
        const model::Stage stage_before = server.instance.stage;
        const bool stage_changed = server.heartbeat_stage != instance.stage;
        server.instance = instance, server.heartbeat_stage = instance.stage;
        if (is_new) {
            server.last_answer = server.decayed_at = now;
            continue;
        }
        // A report of a stage change may arrive before the heartbeat; an unchanged heartbeat must not undo
        // it.
        server.instance.stage = stage_before;
        if (stage_changed) set_stage(server, instance.stage);
    }
}

// Estimates from the other stage do not apply, and its cache may be lost.
void PairSelector::set_stage(Server& server, model::Stage stage) {
    if (server.instance.stage == stage) return;
    server.instance.stage = stage;
    server.cache.clear();
    server.estimates = {};
    server.handle_loss_rate = server.break_rate = 0;
    server.rejections = 0;
    server.avoided_until = server.changing_until = 0;
}

void PairSelector::set_services(const std::vector<model::Service>& services) {
    std::map<std::string, ServiceState> states;
    for (const model::Service& service : services) {
        states[service.name] = services_[service.name];
        states[service.name].service = service;
    }
    services_ = std::move(states);
}

void PairSelector::set_load(const model::Load& load, Ticks now) {
    Server* server = find(load.instance);
    if (server == nullptr || load.orders_accepted < server->orders_accepted) return;
    server->orders_accepted = load.orders_accepted;
    server->changing_until = load.changing ? now + kMaxStageChange : 0;
    // Without an order the heartbeats are sufficient.
    const bool was_ordered = load.orders_accepted > 0 && load.stage != model::Stage::kNone;
    if (was_ordered && !load.changing) set_stage(*server, load.stage);
    server->queue = static_cast<double>(load.waiting);
    server->reported_running = static_cast<double>(load.running);
    mix(server->prefill_share, load.running > 0 ? 1 : 0, kReportWeight);
}

void PairSelector::record_stage_order(const std::string& instance, std::int64_t orders_accepted, Ticks now) {
    Server* server = find(instance);
    if (server == nullptr || orders_accepted <= server->orders_accepted) return;
    server->orders_accepted = orders_accepted;
    server->changing_until = now + kMaxStageChange;
}

PairSelector::Server* PairSelector::find(const std::string& id) {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

const model::Instance* PairSelector::instance(const std::string& id) const {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second.instance;
}

const model::Engine* PairSelector::engine(const std::string& service) const {
    const auto found = services_.find(service);
    return found == services_.end() || !found->second.service.engine ? nullptr
                                                                     : &*found->second.service.engine;
}

Choice PairSelector::choose(const Request& request, const std::set<std::string>& tried, bool may_split,
                            bool may_reject, Ticks now) {
    const Candidates found = candidates(request, tried, now);
    if (const auto pair = best_pair(request, found, may_split, now)) {
        if (may_reject)
            if (const auto late = overloaded(request, *pair, now)) return *late;
        return *pair;
    }
    if (!found.limited) return NoServer{};
    backlogged_at_ = now;
    return Backlogged{(now / kWindow + 1) * kWindow};
}

// When more arrives than can be prefilled, a queue makes everything late. Rejects as large a share as is
// needed for the rest to be in time; admitted requests measure the current time. So one is always admitted:
// if this node waits for no other prefill, an earlier late answer does not imply a queue.
std::optional<Overloaded> PairSelector::overloaded(const Request& request, const Pair& pair, Ticks now) {
    if (!in_use(Mechanism::kRejection)) return std::nullopt;
    if (pair.prefill_server.empty() && is_streaming(request)) return std::nullopt;
    if (!has_pending_prefill(request.service)) return std::nullopt;
    const Server& prefill_server =
        servers_.at(pair.prefill_server.empty() ? pair.decode_server : pair.prefill_server);
    const Work work = pair.prefill_server.empty() ? Work::kPrefillAndDecode : Work::kPrefillOnly;
    const double usual = typical_time(work, pair.tokens_to_prefill, false, request.latency_target);
    const double expected = response_of(prefill_server, work, usual, now);
    const double most = kMaxTargets * static_cast<double>(request.latency_target);
    if (expected <= most || random_.unit() < most / expected) return std::nullopt;
    return Overloaded{static_cast<Ticks>(std::min(expected - most, kMaxRetryAfter))};
}

// Whether this node has an unanswered prefill at that service.
bool PairSelector::has_pending_prefill(const std::string& service) const {
    return std::ranges::any_of(attempts_, [&](const auto& entry) {
        const Attempt& attempt = entry.second;
        const bool prefills = attempt.work == Work::kPrefillOnly || attempt.work == Work::kPrefillAndDecode;
        const model::Instance* server = instance(attempt.server);
        return prefills && !attempt.answered && server != nullptr && server->service == service;
    });
}

bool PairSelector::is_streaming(const Request& request) {
    return request.output_tokens > request.prompt_tokens();
}

// A pair of servers competes with each decode server that could prefill the prompt itself: a transfer must
// pay off.
std::optional<Pair> PairSelector::best_pair(const Request& request, const Candidates& candidates,
                                            bool may_split, Ticks now) {
    const bool separate = !is_streaming(request);
    const auto& decode_servers =
        candidates.dedicated_servers.empty() ? candidates.mixed_servers : candidates.dedicated_servers;
    if (decode_servers.empty()) {
        const auto unstaged = best_of(candidates.unstaged, request, Work::kUnstaged, nullptr, now);
        if (!unstaged) return std::nullopt;
        return Pair{"", unstaged->server->instance.id, 0};
    }
    // Without a named prompt there is nothing to prefill, and a prefill server would run the request itself.
    const bool may_transfer = may_split && !candidates.prefill_servers.empty() && !request.prompt.empty();
    std::optional<Scored> alone;
    if (!separate || !candidates.mixed_servers.empty() || !may_transfer) {
        const bool use_mixed = separate && !candidates.mixed_servers.empty();
        alone = best_of(use_mixed ? candidates.mixed_servers : sample(decode_servers, ""), request,
                        Work::kPrefillAndDecode, candidates.owner, now);
        if (!may_transfer) return Pair{"", alone->server->instance.id, alone->tokens};
    }
    const auto prefill_server =
        best_of(candidates.prefill_servers, request, Work::kPrefillOnly, candidates.owner, now);
    const Server* decode_server = nullptr;
    double best = 0;
    for (const Server* server : sample(decode_servers, prefill_server->server->instance.zone)) {
        const bool near = server->instance.zone == prefill_server->server->instance.zone;
        const double total =
            score(*server, request, Work::kFetchAndDecode, 0, now) * (near ? 1 : kRemoteFactor) +
            transfer_time(*prefill_server->server, *server, request);
        if (decode_server == nullptr || total < best) decode_server = server, best = total;
    }
    best += link_wait(request.service);
    if (alone && prefill_server->score + best >= alone->score)
        return Pair{"", alone->server->instance.id, alone->tokens};
    return Pair{prefill_server->server->instance.id, decode_server->instance.id, prefill_server->tokens};
}

// Reports are a few hundred ms old and the same at all nodes: the best server by them would get everything
// until the next ones. So C3 ranks a small random sample for each request (M. Mitzenmacher, "How Useful Is
// Old Information?", 2000), servers of `zone` first.
std::vector<PairSelector::Server*> PairSelector::sample(const std::vector<Server*>& servers,
                                                        const std::string& zone) {
    if (!in_use(Mechanism::kSampledDecodeServers)) return servers;
    std::vector<Server*> left = servers;
    const auto far = std::ranges::stable_partition(
        left, [&](const Server* server) { return server->instance.zone == zone; });
    const auto draw = [&](auto begin, auto end, std::size_t count, std::vector<Server*>& into) {
        for (; count > 0 && begin != end; --count, ++begin) {
            const auto size = static_cast<double>(end - begin);
            std::iter_swap(begin, begin + static_cast<std::ptrdiff_t>(random_.unit() * size));
            into.push_back(*begin);
        }
    };
    std::vector<Server*> chosen;
    draw(left.begin(), far.begin(), kSampled, chosen);
    draw(far.begin(), left.end(), chosen.empty() ? kSampled : kSampledRemote, chosen);
    return chosen;
}

std::optional<PairSelector::Scored> PairSelector::best_of(const std::vector<Server*>& servers,
                                                          const Request& request, Work work,
                                                          const Server* owner, Ticks now) {
    std::optional<Scored> best;
    int ties = 1;
    for (Server* server : servers) {
        const double tokens = missing_tokens(*server, request, work, server == owner, now);
        const double here = score(*server, request, work, tokens, now);
        if (!best || here < best->score)
            best = Scored{server, here, tokens}, ties = 1;
        else if (here == best->score && random_.unit() < 1.0 / ++ties)
            best =
                Scored{server, here, tokens}; // nodes with the same reports must not all pick the same server
    }
    return best;
}

double PairSelector::missing_tokens(const Server& server, const Request& request, Work work, bool is_owner,
                                    Ticks now) const {
    if (work == Work::kFetchAndDecode || work == Work::kUnstaged || request.prompt.empty()) return 0;
    const std::int64_t all = request.prompt_tokens();
    std::int64_t held = server.cache.cached_tokens(request.prompt, now);
    if (is_owner) held = std::max(held, all - request.prompt.back().tokens);
    return static_cast<double>(std::max<std::int64_t>(0, all - held));
}

// Before the first answer to such work, a long prompt is assumed to take a tenth of its latency target.
double PairSelector::typical_time(Work work, double tokens, bool is_streaming, Ticks latency_target) const {
    const LatencyModel& model = times_[is_streaming ? 1 : 0][index(work)];
    if (model.known()) return std::max(1.0, model.time(tokens));
    const double pace = work == Work::kPrefillAndDecode ? kDecodeServerSlowdown : 1;
    const double length = (kUnknownTokens + pace * tokens) / (2 * kUnknownTokens);
    return std::max(1.0, static_cast<double>(latency_target) * kUnknownTimeShare * length);
}

// Silence counts as a response of that length.
double PairSelector::response_of(const Server& server, Work work, double usual, Ticks now) const {
    const double known = server.estimates[index(work)].response * usual;
    if (!in_use(Mechanism::kTimeoutsAsResponseTimes) || server.unanswered.empty()) return known;
    const Ticks oldest = server.unanswered.begin()->second; // attempts are numbered in send order
    return std::max(known, static_cast<double>(now - std::max(oldest, server.last_answer)));
}

// An attempt is outstanding until its first event; from then on it occupies one of the server's slots.
double PairSelector::outstanding(const Server& server) {
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, server.instance.slots));
    return static_cast<double>(server.unanswered.size()) + static_cast<double>(server.running) / slots;
}

double PairSelector::score(const Server& server, const Request& request, Work work, double tokens,
                           Ticks now) const {
    const double usual = typical_time(work, tokens, work != Work::kPrefillOnly && is_streaming(request),
                                      request.latency_target);
    const double service = server.estimates[index(work)].service * usual;
    const double waiting = 1 + outstanding(server) * edge_nodes_ + server.queue;
    return replica_selection::score(response_of(server, work, usual, now), service, waiting);
}

double PairSelector::local_transfer_time(const Request& request) const {
    const model::Engine* engine = this->engine(request.service);
    if (engine == nullptr || engine->link_mbps <= 0) return 0;
    const double bits = static_cast<double>(request.prompt_tokens()) * engine->token_bytes * 8;
    return bits / (engine->link_mbps * 1e6) * kTicksPerSecond;
}

double PairSelector::transfer_time(const Server& prefill_server, const Server& decode_server,
                                   const Request& request) const {
    const double time = local_transfer_time(request);
    return prefill_server.instance.zone == decode_server.instance.zone ? time : time * kZoneFactor;
}

double PairSelector::link_wait(const std::string& service) const {
    const auto found = services_.find(service);
    if (found == services_.end()) return 0;
    return found->second.kv_transfers.wait(found->second.link_utilization);
}

AttemptNo PairSelector::sent(const std::string& instance, const Request& request, Work work,
                             std::optional<double> tokens_to_prefill, Ticks now) {
    const AttemptNo number{++count_};
    Server* server = find(instance);
    if (server == nullptr) return number;
    Attempt& attempt = attempts_[number];
    attempt.server = instance, attempt.work = work;
    attempt.sent = now, attempt.latency_target = request.latency_target;
    attempt.tokens = tokens_to_prefill.value_or(missing_tokens(*server, request, work, false, now));
    attempt.waiting = server->queue;
    attempt.is_streaming = work != Work::kPrefillOnly && is_streaming(request);
    server->limiter.sent(now);
    server->unanswered[number] = now;
    if (work == Work::kPrefillOnly)
        services_[request.service].kv_transfers.add(local_transfer_time(request), attempt.tokens);
    if (work == Work::kUnstaged || request.prompt.empty()) return number;
    const model::Engine* engine = this->engine(request.service);
    server->cache.record_use(request.prompt, engine == nullptr ? 0 : engine->memory_tokens, edge_nodes_, now);
    return number;
}

PairSelector::Attempt* PairSelector::find_attempt(AttemptNo attempt) {
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &found->second;
}

void PairSelector::answered(AttemptNo number, Ticks now) {
    Attempt* attempt = find_attempt(number);
    if (attempt == nullptr || std::exchange(attempt->answered, true)) return;
    Server* server = find(attempt->server);
    if (server == nullptr) return;
    const double took = std::max(1.0, static_cast<double>(now - attempt->sent));
    LatencyModel& times = times_[attempt->is_streaming ? 1 : 0][index(attempt->work)];
    const double multiple = times.known() ? took / std::max(1.0, times.time(attempt->tokens)) : 1;
    times.add(attempt->tokens, took);
    Estimate& estimate = server->estimates[index(attempt->work)];
    mix(estimate.response, multiple, kAnswerWeight);
    mix(estimate.service, multiple / (1 + attempt->waiting), kAnswerWeight);
    KvTransferLoad& kv_transfers = services_[server->instance.service].kv_transfers;
    if (attempt->work == Work::kFetchAndDecode) kv_transfers.add_fetch(took, now);
    if (attempt->work == Work::kPrefillOnly) kv_transfers.add_prefill(attempt->tokens, took);
    mix(server->break_rate, 0, kAnswerWeight);
    server->last_answer = server->decayed_at = now;
    server->rejections = server->connect_failures = 0;
    server->limiter.answered(now);
    if (server->unanswered.erase(number) > 0) ++server->running;
    server->limiter.adapt(now, static_cast<int>(server->unanswered.size()),
                          backlogged_at_ >= 0 && now - backlogged_at_ <= 2 * kWindow);
}

void PairSelector::remove_attempt(AttemptNo number) {
    Attempt* attempt = find_attempt(number);
    if (attempt == nullptr) return;
    if (Server* server = find(attempt->server)) {
        const bool waited = server->unanswered.erase(number) > 0;
        if (!waited && attempt->answered && server->running > 0) --server->running;
    }
    attempts_.erase(number);
}

void PairSelector::ended(AttemptNo number, Ticks now) {
    Attempt* attempt = find_attempt(number);
    // Abandoned without an answer: the elapsed time is a lower bound of its response time.
    if (attempt != nullptr && !attempt->answered) {
        Server* server = find(attempt->server);
        const double usual =
            typical_time(attempt->work, attempt->tokens, attempt->is_streaming, attempt->latency_target);
        const double multiple = static_cast<double>(now - attempt->sent) / std::max(usual, 1.0);
        if (server != nullptr) {
            Estimate& estimate = server->estimates[index(attempt->work)];
            if (multiple > estimate.response) mix(estimate.response, multiple, kAnswerWeight);
            server->decayed_at = now;
        }
    }
    remove_attempt(number);
}

// A fast rejection must not look like a fast server with an empty queue, so it does not update the means.
void PairSelector::rejected(AttemptNo number, Ticks now) {
    if (Attempt* attempt = find_attempt(number))
        if (Server* server = find(attempt->server))
            server->avoided_until = now + doubled(kRejectionBackoff, server->rejections++);
    remove_attempt(number);
}

void PairSelector::failed(AttemptNo number, Ticks now) {
    if (Attempt* attempt = find_attempt(number))
        if (Server* server = find(attempt->server)) {
            mix(server->break_rate, 1, kAnswerWeight);
            server->decayed_at = now;
        }
    remove_attempt(number);
}

void PairSelector::unreachable(const std::string& instance, Ticks now) {
    if (Server* server = find(instance))
        server->avoided_until = now + doubled(kUnreachableBackoff, server->connect_failures++);
}

Ticks PairSelector::last_activity(AttemptNo number) const {
    const auto found = attempts_.find(number);
    if (found == attempts_.end()) return 0;
    const auto server = servers_.find(found->second.server);
    return server == servers_.end() ? found->second.sent
                                    : std::max(found->second.sent, server->second.last_answer);
}

Ticks PairSelector::expected_response(AttemptNo number) const {
    const auto found = attempts_.find(number);
    if (found == attempts_.end()) return 0;
    const Attempt& attempt = found->second;
    const double usual =
        typical_time(attempt.work, attempt.tokens, attempt.is_streaming, attempt.latency_target);
    const auto server = servers_.find(attempt.server);
    if (server == servers_.end()) return static_cast<Ticks>(usual);
    return static_cast<Ticks>(usual * std::max(1.0, server->second.estimates[index(attempt.work)].response));
}

void PairSelector::misdirected(const std::string& instance, Ticks now) {
    if (Server* server = find(instance)) server->avoided_until = now + kMisdirectedBackoff;
}

void PairSelector::record_handle_use(const std::string& prefill_server, bool found) {
    if (Server* server = find(prefill_server)) mix(server->handle_loss_rate, found ? 0 : 1, kAnswerWeight);
}

} // namespace ivyrill::replica_selection
