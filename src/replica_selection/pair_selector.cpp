#include "replica_selection/pair_selector.hpp"

#include "replica_selection/mechanism.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ivyrill::replica_selection {

namespace {

constexpr double kFresh = 0.3;        // weight of an answer in a server's means
constexpr double kFreshReport = 0.2;  // weight of a report in the share of time that a server reads
constexpr double kUnheardShare = 0.1; // of the latency target: expected time while nobody was heard
constexpr double kUnheardTokens =
    8000; // a prompt of such a length takes the expected time while nobody was heard
constexpr double kReadAtRunner = 2;  // a runner reads at half the pace (PROTOCOL, prefill and decode)
constexpr double kZoneFactor = 2;    // of a move between zones (PROTOCOL)
constexpr double kFarFactor = 1.5;   // ours: a runner in another zone has to be so much better to be moved to
constexpr Tenths kRefusedRest = 200; // doubled for each refusal in a row
constexpr Tenths kUnreachableRest = 2500;
constexpr Tenths kMisdirectedRest = 100'000; // until the list tells of its end
constexpr int kMostDoublings = 4;
constexpr Tenths kChangePatience = 100'000; // for a change of stage: what runs there comes to its end first
constexpr double kMostTargets =
    0.8; // expected latency targets until the prompt is read, from which some are rejected
constexpr std::size_t kDrawn = 2, kDrawnFar = 1; // servers that C3 ranks for one request: near ones, others
constexpr double kLongestComeBack = 3000;        // tenths of a millisecond

void mix(double& mean, double fresh, double weight) { mean += weight * (fresh - mean); }

std::size_t index(Work work) { return static_cast<std::size_t>(work); }

Tenths doubled(Tenths rest, int times) { return rest << std::min(times, kMostDoublings); }

} // namespace

std::int64_t Request::prompt_tokens() const {
    std::int64_t tokens = 0;
    for (const PromptPart& part : prompt) tokens += part.tokens;
    return tokens;
}

void PairSelector::set_instances(const std::map<std::string, model::Instance>& instances, Tenths now) {
    std::erase_if(servers_, [&](const auto& known) {
        const auto found = instances.find(known.first);
        return found == instances.end() || found->second.state == model::InstanceState::kGone;
    });
    for (const auto& [id, instance] : instances) {
        if (instance.state == model::InstanceState::kGone) continue;
        const auto [place, fresh] = servers_.try_emplace(id);
        Server& server = place->second;
        const model::Stage stage_before = server.instance.stage;
        const bool told_anew = server.told_stage != instance.stage;
        server.instance = instance, server.told_stage = instance.stage;
        if (fresh) {
            server.last_answer = server.relaxed = now;
            continue;
        }
        // A report may have told of a change before this heartbeat, which then repeats what was.
        server.instance.stage = stage_before;
        if (told_anew) set_stage(server, instance.stage);
    }
}

// What was learnt of it in its other stage says little; the memory that it kept there may be gone.
void PairSelector::set_stage(Server& server, model::Stage stage) {
    if (server.instance.stage == stage) return;
    server.instance.stage = stage;
    server.cache.clear();
    server.estimates = {};
    server.lost_handles = server.breaks = 0;
    server.refusals = 0;
    server.avoided_until = server.changing_until = 0;
}

void PairSelector::set_services(const std::vector<model::Service>& services) {
    std::map<std::string, ServiceView> views;
    for (const model::Service& service : services) {
        views[service.name] = services_[service.name];
        views[service.name].service = service;
    }
    services_ = std::move(views);
}

void PairSelector::set_load(const model::Load& load, Tenths now) {
    Server* server = find(load.instance);
    if (server == nullptr || load.orders_taken < server->orders_taken) return;
    server->orders_taken = load.orders_taken;
    server->changing_until = load.changing ? now + kChangePatience : 0;
    // Without an order the heartbeats tell all there is to know.
    const bool was_ordered = load.orders_taken > 0 && load.stage != model::Stage::kNone;
    if (was_ordered && !load.changing) set_stage(*server, load.stage);
    server->queue = static_cast<double>(load.waiting);
    server->running_there = static_cast<double>(load.running);
    mix(server->reading_share, load.running > 0 ? 1 : 0, kFreshReport);
}

void PairSelector::record_stage_order(const std::string& instance, std::int64_t orders_taken, Tenths now) {
    Server* server = find(instance);
    if (server == nullptr || orders_taken <= server->orders_taken) return;
    server->orders_taken = orders_taken;
    server->changing_until = now + kChangePatience;
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
                            bool fresh, Tenths now) {
    const Candidates found = candidates(request, tried, now);
    if (const auto pair = best_pair(request, found, may_split, now)) {
        if (fresh)
            if (const auto late = overloaded(request, *pair, now)) return *late;
        return *pair;
    }
    if (!found.limited) return NoServer{};
    backlog_at_ = now;
    return Backlogged{(now / kWindow + 1) * kWindow};
}

// Where more comes than can be read, a queue only makes everything late. So many are turned away at once that
// the rest is served in time; what is let in tells how long it takes now. So one is always let in: where this
// node waits for no other prompt, a late answer of before is no queue.
std::optional<Overloaded> PairSelector::overloaded(const Request& request, const Pair& pair, Tenths now) {
    if (!in_use(Mechanism::kRejection)) return std::nullopt;
    if (pair.reader.empty() && streams(request)) return std::nullopt;
    if (!waits_for_a_reading(request.service)) return std::nullopt;
    const Server& reader = servers_.at(pair.reader.empty() ? pair.runner : pair.reader);
    const Work work = pair.reader.empty() ? Work::kPrefillAndDecode : Work::kPrefillOnly;
    const double usual = usual_time(work, pair.tokens_to_prefill, false, request.latency_target);
    const double expected = response_of(reader, work, usual, now);
    const double most = kMostTargets * static_cast<double>(request.latency_target);
    if (expected <= most || random_.unit() < most / expected) return std::nullopt;
    return Overloaded{static_cast<Tenths>(std::min(expected - most, kLongestComeBack))};
}

// Of this node's own prompts, for that service.
bool PairSelector::waits_for_a_reading(const std::string& service) const {
    return std::ranges::any_of(attempts_, [&](const auto& entry) {
        const Attempt& attempt = entry.second;
        const bool reads = attempt.work == Work::kPrefillOnly || attempt.work == Work::kPrefillAndDecode;
        const model::Instance* server = instance(attempt.server);
        return reads && !attempt.answered && server != nullptr && server->service == service;
    });
}

bool PairSelector::streams(const Request& request) { return request.output_tokens > request.prompt_tokens(); }

// A pair of two servers competes with each runner that reads the prompt itself: a hand-over has to earn its
// way.
std::optional<Pair> PairSelector::best_pair(const Request& request, const Candidates& candidates,
                                            bool may_split, Tenths now) {
    const bool apart = !streams(request);
    const auto& runners =
        candidates.stream_runners.empty() ? candidates.reading_runners : candidates.stream_runners;
    if (runners.empty()) {
        const auto plain = best_of(candidates.plain, request, Work::kUnstaged, nullptr, now);
        if (!plain) return std::nullopt;
        return Pair{"", plain->server->instance.id, 0};
    }
    // Where no prompt is named there is nothing to read, and a reader runs such a request itself.
    const bool hands_over = may_split && !candidates.readers.empty() && !request.prompt.empty();
    std::optional<Scored> alone;
    if (!apart || !candidates.reading_runners.empty() || !hands_over) {
        const bool elsewhere = apart && !candidates.reading_runners.empty();
        alone = best_of(elsewhere ? candidates.reading_runners : drawn(runners, ""), request,
                        Work::kPrefillAndDecode, candidates.home, now);
        if (!hands_over) return Pair{"", alone->server->instance.id, alone->tokens};
    }
    const auto reader = best_of(candidates.readers, request, Work::kPrefillOnly, candidates.home, now);
    const Server* runner = nullptr;
    double best = 0;
    for (const Server* server : drawn(runners, reader->server->instance.zone)) {
        const bool near = server->instance.zone == reader->server->instance.zone;
        const double total =
            score(*server, request, Work::kFetchAndDecode, 0, now) * (near ? 1 : kFarFactor) +
            move_time(*reader->server, *server, request);
        if (runner == nullptr || total < best) runner = server, best = total;
    }
    best += link_wait(request.service);
    if (alone && reader->score + best >= alone->score)
        return Pair{"", alone->server->instance.id, alone->tokens};
    return Pair{reader->server->instance.id, runner->instance.id, reader->tokens};
}

// Reports are some hundred ms old, and all nodes have the same: whoever looked best in them would be sent
// everything until the next. So each request has a few drawn for it, of which C3 ranks the best (M.
// Mitzenmacher, "How Useful Is Old Information?", 2000); those of `zone` come first.
std::vector<PairSelector::Server*> PairSelector::drawn(const std::vector<Server*>& servers,
                                                       const std::string& zone) {
    if (!in_use(Mechanism::kDrawnRunners)) return servers;
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
    draw(left.begin(), far.begin(), kDrawn, chosen);
    draw(far.begin(), left.end(), chosen.empty() ? kDrawn : kDrawnFar, chosen);
    return chosen;
}

std::optional<PairSelector::Scored> PairSelector::best_of(const std::vector<Server*>& servers,
                                                          const Request& request, Work work,
                                                          const Server* home, Tenths now) {
    std::optional<Scored> best;
    int ties = 1;
    for (Server* server : servers) {
        const double tokens = tokens_of(*server, request, work, server == home, now);
        const double here = score(*server, request, work, tokens, now);
        if (!best || here < best->score)
            best = Scored{server, here, tokens}, ties = 1;
        else if (here == best->score && random_.unit() < 1.0 / ++ties)
            best = Scored{server, here, tokens}; // nodes that know the same must not all pick the same
    }
    return best;
}

double PairSelector::tokens_of(const Server& server, const Request& request, Work work, bool is_home,
                               Tenths now) const {
    if (work == Work::kFetchAndDecode || work == Work::kUnstaged || request.prompt.empty()) return 0;
    const std::int64_t all = request.prompt_tokens();
    std::int64_t held = server.cache.held(request.prompt, now);
    if (is_home) held = std::max(held, all - request.prompt.back().tokens);
    return static_cast<double>(std::max<std::int64_t>(0, all - held));
}

// While nobody was heard of such work, a long prompt takes a tenth of its target.
double PairSelector::usual_time(Work work, double tokens, bool streams, Tenths latency_target) const {
    const LatencyModel& model = times_[streams ? 1 : 0][index(work)];
    if (model.known()) return std::max(1.0, model.time(tokens));
    const double pace = work == Work::kPrefillAndDecode ? kReadAtRunner : 1;
    const double length = (kUnheardTokens + pace * tokens) / (2 * kUnheardTokens);
    return std::max(1.0, static_cast<double>(latency_target) * kUnheardShare * length);
}

// Silence counts as a response of its length: an attempt unanswered is news too.
double PairSelector::response_of(const Server& server, Work work, double usual, Tenths now) const {
    const double known = server.estimates[index(work)].response * usual;
    if (!in_use(Mechanism::kSilenceCounts) || server.unanswered.empty()) return known;
    const Tenths oldest = server.unanswered.begin()->second; // attempts are numbered as they are sent
    return std::max(known, static_cast<double>(now - std::max(oldest, server.last_answer)));
}

// A part is outstanding until its first word; from then on it takes one of the server's slots.
double PairSelector::outstanding(const Server& server) {
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, server.instance.slots));
    return static_cast<double>(server.unanswered.size()) + static_cast<double>(server.running) / slots;
}

double PairSelector::score(const Server& server, const Request& request, Work work, double tokens,
                           Tenths now) const {
    const double usual =
        usual_time(work, tokens, work != Work::kPrefillOnly && streams(request), request.latency_target);
    const double service = server.estimates[index(work)].service * usual;
    const double waiting = 1 + outstanding(server) * edge_nodes_ + server.queue;
    return replica_selection::score(response_of(server, work, usual, now), service, waiting);
}

double PairSelector::near_move_time(const Request& request) const {
    const model::Engine* engine = this->engine(request.service);
    if (engine == nullptr || engine->link_mbps <= 0) return 0;
    const double bits = static_cast<double>(request.prompt_tokens()) * engine->token_bytes * 8;
    return bits / (engine->link_mbps * 1e6) * kTenthsPerSecond;
}

double PairSelector::move_time(const Server& reader, const Server& runner, const Request& request) const {
    const double time = near_move_time(request);
    return reader.instance.zone == runner.instance.zone ? time : time * kZoneFactor;
}

double PairSelector::link_wait(const std::string& service) const {
    const auto found = services_.find(service);
    if (found == services_.end()) return 0;
    return found->second.hand_overs.wait(found->second.links_taken);
}

AttemptNo PairSelector::sent(const std::string& instance, const Request& request, Work work,
                             std::optional<double> tokens_to_prefill, Tenths now) {
    const AttemptNo number{++count_};
    Server* server = find(instance);
    if (server == nullptr) return number;
    Attempt& attempt = attempts_[number];
    attempt.server = instance, attempt.work = work;
    attempt.sent = now, attempt.latency_target = request.latency_target;
    attempt.tokens = tokens_to_prefill.value_or(tokens_of(*server, request, work, false, now));
    attempt.waiting = server->queue;
    attempt.streams = work != Work::kPrefillOnly && streams(request);
    server->limit.sent(now);
    server->unanswered[number] = now;
    if (work == Work::kPrefillOnly)
        services_[request.service].hand_overs.add(near_move_time(request), attempt.tokens);
    if (work == Work::kUnstaged || request.prompt.empty()) return number;
    const model::Engine* engine = this->engine(request.service);
    server->cache.used(request.prompt, engine == nullptr ? 0 : engine->memory_tokens, edge_nodes_, now);
    return number;
}

PairSelector::Attempt* PairSelector::out(AttemptNo attempt) {
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &found->second;
}

void PairSelector::answered(AttemptNo number, Tenths now) {
    Attempt* attempt = out(number);
    if (attempt == nullptr || std::exchange(attempt->answered, true)) return;
    Server* server = find(attempt->server);
    if (server == nullptr) return;
    const double took = std::max(1.0, static_cast<double>(now - attempt->sent));
    LatencyModel& times = times_[attempt->streams ? 1 : 0][index(attempt->work)];
    const double multiple = times.known() ? took / std::max(1.0, times.time(attempt->tokens)) : 1;
    times.add(attempt->tokens, took);
    Estimate& estimate = server->estimates[index(attempt->work)];
    mix(estimate.response, multiple, kFresh);
    mix(estimate.service, multiple / (1 + attempt->waiting), kFresh);
    KvTransferLoad& hand_overs = services_[server->instance.service].hand_overs;
    if (attempt->work == Work::kFetchAndDecode) hand_overs.fetched(took, now);
    if (attempt->work == Work::kPrefillOnly) hand_overs.read(attempt->tokens, took);
    mix(server->breaks, 0, kFresh);
    server->last_answer = server->relaxed = now;
    server->refusals = server->failures = 0;
    server->limit.answered(now);
    if (server->unanswered.erase(number) > 0) ++server->running;
    server->limit.adapt(now, static_cast<int>(server->unanswered.size()),
                        backlog_at_ >= 0 && now - backlog_at_ <= 2 * kWindow);
}

void PairSelector::close(AttemptNo number) {
    Attempt* attempt = out(number);
    if (attempt == nullptr) return;
    if (Server* server = find(attempt->server)) {
        const bool waited = server->unanswered.erase(number) > 0;
        if (!waited && attempt->answered && server->running > 0) --server->running;
    }
    attempts_.erase(number);
}

void PairSelector::ended(AttemptNo number, Tenths now) {
    Attempt* attempt = out(number);
    // Given up on without an answer: what it took so far is the least that it would have taken.
    if (attempt != nullptr && !attempt->answered) {
        Server* server = find(attempt->server);
        const double usual =
            usual_time(attempt->work, attempt->tokens, attempt->streams, attempt->latency_target);
        const double multiple = static_cast<double>(now - attempt->sent) / std::max(usual, 1.0);
        if (server != nullptr) {
            Estimate& estimate = server->estimates[index(attempt->work)];
            if (multiple > estimate.response) mix(estimate.response, multiple, kFresh);
            server->relaxed = now;
        }
    }
    close(number);
}

// An error comes fast and leaves nothing behind: it must not look like a quick server with an empty queue.
void PairSelector::refused(AttemptNo number, Tenths now) {
    if (Attempt* attempt = out(number))
        if (Server* server = find(attempt->server))
            server->avoided_until = now + doubled(kRefusedRest, server->refusals++);
    close(number);
}

void PairSelector::broken(AttemptNo number, Tenths now) {
    if (Attempt* attempt = out(number))
        if (Server* server = find(attempt->server)) {
            mix(server->breaks, 1, kFresh);
            server->relaxed = now;
        }
    close(number);
}

void PairSelector::unreachable(const std::string& instance, Tenths now) {
    if (Server* server = find(instance))
        server->avoided_until = now + doubled(kUnreachableRest, server->failures++);
}

Tenths PairSelector::silent_since(AttemptNo number) const {
    const auto found = attempts_.find(number);
    if (found == attempts_.end()) return 0;
    const auto server = servers_.find(found->second.server);
    return server == servers_.end() ? found->second.sent
                                    : std::max(found->second.sent, server->second.last_answer);
}

Tenths PairSelector::expected_response(AttemptNo number) const {
    const auto found = attempts_.find(number);
    if (found == attempts_.end()) return 0;
    const Attempt& attempt = found->second;
    const double usual = usual_time(attempt.work, attempt.tokens, attempt.streams, attempt.latency_target);
    const auto server = servers_.find(attempt.server);
    if (server == servers_.end()) return static_cast<Tenths>(usual);
    return static_cast<Tenths>(usual * std::max(1.0, server->second.estimates[index(attempt.work)].response));
}

void PairSelector::misdirected(const std::string& instance, Tenths now) {
    if (Server* server = find(instance)) server->avoided_until = now + kMisdirectedRest;
}

void PairSelector::record_handle_use(const std::string& reader, bool found) {
    if (Server* server = find(reader)) mix(server->lost_handles, found ? 0 : 1, kFresh);
}

} // namespace ivyrill::replica_selection
