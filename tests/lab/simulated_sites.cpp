#include "lab/simulated_sites.hpp"

#include "limits/slow_start.hpp"

#include <algorithm>
#include <cmath>
#include <deque>

namespace ivyrill::lab {

namespace {

constexpr Ticks kMs = kTicksPerSecond / 1000;
constexpr Ticks kDecisionInterval = 5 * kMs, kConnectTimeout = 250 * kMs, kRestartDelay = 2 * kTicksPerSecond;

std::vector<SiteRequestClass> default_request_classes() {
    const auto terms = [](Idempotency idempotency, double utility, double floor) {
        RequestClassConfig made;
        made.latency_target = 500 * kMs, made.deadline = 1500 * kMs, made.idempotency = idempotency;
        made.utility = utility, made.late_utility_ratio = 0.1, made.min_answer_weight = floor,
        made.full_answer_weight = 1;
        return made;
    };
    return {{"find", 6, 6, terms(Idempotency::kIdempotent, 3, 1)},
            {"table", 3, 6, terms(Idempotency::kIdempotent, 1, 0.6)},
            {"note", 1, 1, terms(Idempotency::kNonIdempotent, 2, 1)}};
}

} // namespace

struct SimulatedSites::Server {
    struct Job {
        int front;
        std::uint64_t incarnation;
        PartId part;
        AttemptNo number;
    };
    int site = 0, cell = 0, busy = 0;
    bool alive = true;
    std::uint64_t incarnation = 1;
    Ticks started_at = 0; // 0: started long ago, warm
    std::deque<Job> queue;
    std::deque<Ticks> arrivals;
    double share(Ticks now, const SimulatedSitesPlan& plan) const {
        if (started_at == 0) return 1;
        return limits::SlowStart{plan.warm_up_time, plan.cold_capacity_ratio, 0, 1}.share(now - started_at);
    }
};

struct SimulatedSites::Front : SchedulerHost {
    struct AttemptState {
        ServerId server;
        Ticks sent = 0;
        bool over = false;
    };
    struct PartState {
        SearchId search;
        int shard = 0;
        double weight = 0;
        bool answered = false, non_idempotent = false;
        std::vector<AttemptState> attempt_states;
    };
    struct OpenSearch {
        std::size_t request_class = 0, tenant = 0;
        Ticks started = 0;
        std::vector<PartId> parts;
    };
    SimulatedSites* world = nullptr;
    int number = 0, site = 0;
    bool alive = true;
    std::uint64_t incarnation = 1;
    Ticks stalled_until = 0, wake_at = 0;
    std::unique_ptr<SearchScheduler> scheduler;
    std::unique_ptr<recovery::FailoverController> controller;
    recovery::TrafficCounter traffic;
    std::uint32_t next_id = 1;
    std::uint64_t next_job = 1;
    std::map<SearchId, OpenSearch> searches;
    std::map<PartId, PartState> parts;
    std::deque<std::function<void()>> deferred; // events received while stalled

    recovery::TrafficClass key(const OpenSearch& open) const {
        return {world->plan_.request_classes[open.request_class].name,
                world->plan_.tenants[open.tenant].first};
    }
    void attempt(PartId part, ServerId server, Ticks time_out, Ticks) override {
        world->attempt(*this, part, server, time_out);
    }
    void cancel_attempt(PartId part, AttemptNo number_of) override {
        const std::uint64_t own = incarnation;
        const auto part_state = parts.find(part);
        if (part_state == parts.end()) return;
        const int at_server =
            static_cast<int>(part_state->second.attempt_states[number_of.value].server.value);
        world->at(world->now_ + world->delay(), [w = world, at_server, n = number, own, part, number_of] {
            std::erase_if(w->servers_[at_server]->queue, [&](const Server::Job& job) {
                return job.front == n && job.incarnation == own && job.part == part &&
                       job.number == number_of;
            });
        });
        world->at(world->now_ + kDecisionInterval, [w = world, n = number, own, part, number_of] {
            w->complete_attempt(n, own, part, number_of, Outcome::kCancelled, false, {});
        });
    }
    void end(SearchId id, recovery::TrafficCounter::SearchEnd how) {
        const auto found = searches.find(id);
        if (found == searches.end()) return void(world->violations_.push_back("a second final answer"));
        traffic.count_end(key(found->second), how);
        for (const PartId part : found->second.parts) {
            auto& part_state = parts.at(part);
            if (std::ranges::all_of(part_state.attempt_states, &AttemptState::over)) parts.erase(part);
        }
        searches.erase(found);
    }
    void answer(SearchId id, bool whole) override {
        const auto found = searches.find(id);
        if (found == searches.end()) return void(world->violations_.push_back("a second final answer"));
        const OpenSearch open = found->second;
        const SiteRequestClass& request_class = world->plan_.request_classes[open.request_class];
        double weight = 0;
        for (const PartId part : open.parts) weight += parts.at(part).answered ? parts.at(part).weight : 0;
        if (weight + 1e-6 < request_class.terms.min_answer_weight)
            world->violations_.push_back("an answer is below its floor");
        if (whole && weight + 1e-6 < request_class.terms.full_answer_weight)
            world->violations_.push_back("an answer marked whole is incomplete");
        const bool in_time = world->now_ <= open.started + request_class.terms.latency_target;
        const double earned = request_class.terms.utility *
                              (in_time ? 1 : request_class.terms.late_utility_ratio) * std::min(1.0, weight);
        SiteTotals& totals = world->totals_;
        ++totals.delivered, totals.in_time += in_time, totals.partial += whole ? 0 : 1,
            totals.utility += earned;
        totals.request_classes[request_class.name].first += earned;
        totals.tenants[world->plan_.tenants[open.tenant].first].first += earned;
        end(id, in_time ? recovery::TrafficCounter::SearchEnd::kInTime
                        : recovery::TrafficCounter::SearchEnd::kDelivered);
    }
    void reject(SearchId id, Ticks retry_after) override {
        const auto found = searches.find(id);
        if (found == searches.end()) return void(world->violations_.push_back("a second final answer"));
        const OpenSearch open = found->second;
        ++world->totals_.rejected;
        end(id, recovery::TrafficCounter::SearchEnd::kRejected);
        if (world->plan_.retry_ratio > 0 && world->random_.unit() < world->plan_.retry_ratio)
            world->at(world->now_ + std::max<Ticks>(retry_after, 10 * kMs), [w = world, n = number, open] {
                int there = n; // the next front node that is alive
                for (std::size_t i = 0; i < w->fronts() && !w->fronts_[there]->alive; ++i)
                    there = (there + 1) % static_cast<int>(w->fronts());
                if (w->fronts_[there]->alive) w->search(there, open.request_class, open.tenant, true);
            });
    }
    void fail(SearchId id) override {
        ++world->totals_.failed;
        end(id, recovery::TrafficCounter::SearchEnd::kFailed);
    }
    void probe(ServerId server) override {
        const int target = static_cast<int>(server.value);
        const bool good = world->servers_[target]->alive && world->is_linked(site, world->site_of(target)) &&
                          world->is_linked(world->site_of(target), site);
        const Ticks elapsed = good ? world->delay() + world->delay() : kConnectTimeout;
        world->at(world->now_ + elapsed, [w = world, n = number, own = incarnation, server, good, elapsed] {
            Front& front = *w->fronts_[n];
            if (!front.alive || front.incarnation != own) return;
            front.traffic.count_probe("s" + std::to_string(server.value), good);
            front.scheduler->handle(w->now_, ProbeEnded{server, good, elapsed, {}});
            w->run_scheduler(front);
        });
    }
    void close_idle_connections(ServerId) override {}
    void schedule_wakeup(Ticks in) override {
        wake_at = world->now_ + std::max<Ticks>(1, in);
        world->at(wake_at, [w = world, n = number, own = incarnation, when = wake_at] {
            Front& front = *w->fronts_[n];
            if (front.alive && front.incarnation == own && front.wake_at == when) w->run_scheduler(front);
        });
    }
    void subscribe() override {}
};

SimulatedSites::~SimulatedSites() = default;

int SimulatedSites::site_of(int server) const { return server * plan_.sites / plan_.servers; }
int SimulatedSites::home_site_of(int front) const { return front % plan_.sites; }

SimulatedSites::SimulatedSites(SimulatedSitesPlan plan) : plan_(std::move(plan)), random_(plan_.seed) {
    if (plan_.request_classes.empty()) plan_.request_classes = default_request_classes();
    if (plan_.tenants.empty()) plan_.tenants = {{"etna", 0.7}, {"ortigia", 0.3}};
    for (int i = 0; i < plan_.servers; ++i) {
        auto server = std::make_unique<Server>();
        server->site = site_of(i), server->cell = i % (plan_.servers / plan_.replicas);
        servers_.push_back(std::move(server));
    }
    double parts = 0, weight = 0;
    for (const auto& request_class : plan_.request_classes)
        parts += request_class.rate * request_class.parts, weight += request_class.rate;
    double capacity = 0;
    for (int i = 0; i < plan_.servers; ++i) capacity += server_capacity(i);
    rate_ = plan_.load * capacity / (parts / weight);
    for (int i = 0; i < plan_.fronts; ++i) {
        fronts_.push_back(std::make_unique<Front>());
        fronts_[i]->world = this, fronts_[i]->number = i, fronts_[i]->site = home_site_of(i);
    }
    for (int i = 0; i < plan_.fronts; ++i) start_front_now(i);
    update_members();
    for (int i = 0; i < plan_.fronts; ++i) schedule_next_search(i);
}

double SimulatedSites::server_capacity(int number) const {
    const Server& server = *servers_[number];
    if (!server.alive) return 0;
    return server.share(now_, plan_) * plan_.cores * static_cast<double>(kTicksPerSecond) /
           static_cast<double>(plan_.service);
}

bool SimulatedSites::serves(int server) const { return servers_[server]->alive; }

void SimulatedSites::at(Ticks when, std::function<void()> what) {
    events_.push({std::max(when, now_), ++next_sequence_, std::move(what)});
}

Ticks SimulatedSites::delay() {
    return plan_.min_delay +
           static_cast<Ticks>(random_.unit() * static_cast<double>(plan_.max_delay - plan_.min_delay));
}

void SimulatedSites::advance(Ticks span) {
    for (const Ticks end = now_ + span; !events_.empty() && events_.top().at <= end;) {
        now_ = events_.top().at;
        const auto what = std::move(const_cast<Event&>(events_.top()).what);
        events_.pop();
        what();
        if (events_.empty() || events_.top().at > end) {
            now_ = end;
            break;
        }
    }
}

bool SimulatedSites::until(const std::function<bool()>& holds, Ticks bound) {
    for (const Ticks end = now_ + bound; now_ < end && !holds();) advance(20 * kMs);
    return holds();
}

// ---- front nodes

ServerListUpdate SimulatedSites::list_update(bool whole) const {
    ServerListUpdate update{whole ? ServerListKind::kPersisted : ServerListKind::kDelta, {}};
    for (int i = 0; i < plan_.servers; ++i) {
        const Server& server = *servers_[i];
        update.entries.push_back({ServerId{static_cast<std::uint32_t>(i)}, ZoneNo{server.site}, KindNo{0},
                                  CellNo{server.cell}, server.alive ? ListedState::kLive : ListedState::kGone,
                                  1, server.started_at});
    }
    return update;
}

void SimulatedSites::start_front_now(int number) {
    Front& front = *fronts_[number];
    front.alive = true, ++front.incarnation, front.stalled_until = 0;
    front.searches.clear(), front.parts.clear(), front.deferred.clear();
    SchedulerConfig terms;
    terms.seed = plan_.seed * 1000 + static_cast<std::uint64_t>(number) + 7 * front.incarnation;
    for (const auto& request_class : plan_.request_classes)
        terms.request_classes.push_back(request_class.terms);
    const int nodes = plan_.configured_node_count > 0 ? plan_.configured_node_count : plan_.fronts;
    for (const auto& [name, share] : plan_.tenants) terms.tenants.push_back({rate_ * share * 2});
    terms.front_nodes = nodes, terms.decision_interval = kDecisionInterval;
    terms.warm_up_time = plan_.warm_up_time, terms.cold_capacity_ratio = plan_.cold_capacity_ratio;
    terms.overload_window = plan_.overload_window, terms.overload_factor = plan_.overload_factor;
    terms.max_retry_after = 2 * kTicksPerSecond, terms.max_attempts = 3;
    terms.may_cancel = terms.may_send_retry_after = true, terms.may_probe = plan_.may_probe;
    terms.cell_count = plan_.servers / plan_.replicas, terms.replicas_per_shard = 1;
    front.scheduler = make_search_scheduler(terms);
    front.traffic = recovery::TrafficCounter(plan_.request_classes[0].terms.latency_target);
    front.controller.reset();
    if (plan_.with_failover) {
        recovery::FailoverOptions own;
        own.name = "n" + std::to_string(number), own.home_site = site_name(front.site), own.seed = terms.seed;
        Ticks due = plan_.request_classes[0].terms.latency_target;
        for (const auto& request_class : plan_.request_classes) {
            own.request_classes.push_back(request_class.name);
            own.request_class_info[request_class.name] = {request_class.terms.utility,
                                                          request_class.terms.min_answer_weight,
                                                          request_class.terms.full_answer_weight,
                                                          request_class.terms.late_utility_ratio,
                                                          request_class.terms.latency_target,
                                                          request_class.terms.idempotency ==
                                                              Idempotency::kNonIdempotent};
            due = std::min(due, request_class.terms.latency_target);
        }
        for (const auto& [name, share] : plan_.tenants)
            own.tenants.push_back(name), own.quotas[name] = rate_ * share * 2;
        for (int site = 0; site < plan_.sites; ++site) own.zones.push_back(site_name(site));
        own.latency_target = due, own.warm_up_time = plan_.warm_up_time,
        own.cold_capacity_ratio = plan_.cold_capacity_ratio;
        own.max_retry_after = terms.max_retry_after, own.configured_nodes = nodes, own.shards = plan_.shards;
        own.configured_capacity = plan_.operator_capacity;
        front.controller = std::make_unique<recovery::FailoverController>(own, now_);
        const std::uint64_t incarnation = front.incarnation;
        at(now_ + static_cast<Ticks>(random_.unit() * static_cast<double>(due) / 8),
           [this, number, incarnation] {
               if (fronts_[number]->incarnation == incarnation) step_controller(*fronts_[number]);
           });
    }
    update_server_list(front, list_update(true), current_servers());
}

void SimulatedSites::run_scheduler(Front& front) {
    if (!front.alive) return;
    if (now_ < front.stalled_until) return;
    front.scheduler->decide(now_, front);
}

void SimulatedSites::step_controller(Front& front) {
    const int number = front.number;
    const std::uint64_t incarnation = front.incarnation;
    if (!front.alive) return;
    if (now_ >= front.stalled_until) {
        for (const auto& [id, part_state] : front.parts)
            for (const auto& out : part_state.attempt_states)
                if (!out.over)
                    front.traffic.note_outstanding("s" + std::to_string(out.server.value), out.sent);
        front.controller->add_counts(now_, front.traffic.take());
        front.controller->step(now_, now_);
        for (auto& effect : front.controller->take_effects()) {
            if (const auto* report = std::get_if<recovery::OutgoingReport>(&effect)) {
                const int to = std::stoi(report->to.substr(1));
                if (!plan_.exchange_reports || random_.unit() < plan_.report_loss_ratio ||
                    !is_linked(front.site, fronts_[to]->site) || reports_blocked_.contains(to))
                    continue;
                at(now_ + delay(), [this, to, bytes = report->bytes] {
                    Front& other = *fronts_[to];
                    if (!other.alive) return;
                    if (now_ < other.stalled_until) return; // a stalled process loses datagrams
                    other.controller->receive_report(now_, bytes);
                });
            } else if (const auto* policy_update = std::get_if<FailoverPolicyUpdate>(&effect)) {
                front.scheduler->handle(now_, *policy_update);
                run_scheduler(front);
            } else if (on_line) {
                on_line(number, std::get<recovery::SiteLogLine>(effect));
            }
        }
    }
    at(std::max(front.controller->next_step(), now_ + 1), [this, number, incarnation] {
        if (fronts_[number]->alive && fronts_[number]->incarnation == incarnation)
            step_controller(*fronts_[number]);
    });
}

const recovery::FailoverController* SimulatedSites::controller(int front) const {
    return fronts_[front]->controller.get();
}

recovery::SiteState SimulatedSites::state(int front, int site) const {
    return fronts_[front]->controller->monitor().state(site_name(site));
}

std::size_t SimulatedSites::count_front_nodes_seeing(int site, recovery::SiteState wanted) const {
    return static_cast<std::size_t>(std::ranges::count_if(fronts_, [&](const auto& front) {
        return front->alive && front->controller &&
               front->controller->monitor().state(site_name(site)) == wanted;
    }));
}

void SimulatedSites::apply_override(int front, recovery::SiteOverride site_override) {
    fronts_[front]->controller->apply_override(std::move(site_override));
}

// ---- clients

void SimulatedSites::schedule_next_search(int number) {
    // Clients that cannot reach one front node use another: the live ones share all searches.
    const auto alive = std::ranges::count_if(fronts_, [](const auto& front) { return front->alive; });
    const double own_rate =
        fronts_[number]->alive
            ? rate_ * load_factor_ / static_cast<double>(std::max<std::ptrdiff_t>(1, alive))
            : 0;
    const double interval = own_rate > 0 ? -std::log(1 - random_.unit()) / own_rate : 0.1;
    at(now_ + static_cast<Ticks>(interval * static_cast<double>(kTicksPerSecond)) + 1,
       [this, number, own_rate] {
           if (own_rate > 0 && fronts_[number]->alive) {
               double drawn = random_.unit(), all = 0;
               for (const auto& request_class : plan_.request_classes) all += request_class.rate;
               std::size_t request_class = 0, tenant = 0;
               for (drawn *= all; request_class + 1 < plan_.request_classes.size() &&
                                  drawn >= plan_.request_classes[request_class].rate;
                    ++request_class)
                   drawn -= plan_.request_classes[request_class].rate;
               for (drawn = random_.unit();
                    tenant + 1 < plan_.tenants.size() && drawn >= plan_.tenants[tenant].second; ++tenant)
                   drawn -= plan_.tenants[tenant].second;
               search(number, request_class, tenant, false);
           }
           schedule_next_search(number);
       });
}

void SimulatedSites::search(int number, std::size_t class_no, std::size_t tenant, bool is_retry) {
    Front& front = *fronts_[number];
    const SiteRequestClass& request_class = plan_.request_classes[class_no];
    if (!is_retry) {
        ++totals_.asked, totals_.most_utility += request_class.terms.utility;
        totals_.request_classes[request_class.name].second += request_class.terms.utility;
        totals_.tenants[plan_.tenants[tenant].first].second += request_class.terms.utility;
    }
    const SearchId id{front.next_id++};
    const JobNo job{front.next_job++};
    Front::OpenSearch& open = front.searches[id];
    open.request_class = class_no, open.tenant = tenant, open.started = now_;
    const auto key = front.key(open);
    front.traffic.count_search(key);
    std::vector<int> shards(static_cast<std::size_t>(plan_.shards));
    for (int i = 0; i < plan_.shards; ++i) shards[i] = i;
    for (int i = 0; i < request_class.parts && i < plan_.shards; ++i)
        std::swap(shards[i], shards[i + static_cast<int>(random_.unit() * (plan_.shards - i))]);
    const int count = std::min(request_class.parts, plan_.shards);
    front.scheduler->handle(now_, SearchAccepted{id, job, RequestClassNo{static_cast<std::int32_t>(class_no)},
                                                 TenantNo{static_cast<std::int32_t>(tenant)},
                                                 request_class.terms.deadline, is_retry});
    for (int i = 0; i < count; ++i) {
        const PartId part{front.next_id++};
        open.parts.push_back(part);
        front.parts[part] = {
            id, shards[i], 1.0 / count, false, request_class.terms.idempotency == Idempotency::kNonIdempotent,
            {}};
        front.traffic.count_part(key, shards[i]);
        front.scheduler->handle(now_, PartAdded{part, job, ShardNo{shards[i]}, 1.0 / count});
    }
    at(now_ + request_class.terms.deadline, [this, number, incarnation = front.incarnation, id] {
        Front& front_node = *fronts_[number];
        if (!front_node.alive || front_node.incarnation != incarnation || !front_node.searches.contains(id))
            return;
        if (now_ < front_node.stalled_until + kConnectTimeout)
            return; // a stalled node cannot answer; its clients have switched
        ++lost_;
        front_node.scheduler->handle(now_, SearchAbandoned{id});
        front_node.fail(id);
    });
    run_scheduler(front);
}

// ---- attempts

void SimulatedSites::attempt(Front& front, PartId part, ServerId server, Ticks time_out) {
    auto& part_state = front.parts.at(part);
    const AttemptNo number{static_cast<std::uint32_t>(part_state.attempt_states.size())};
    part_state.attempt_states.push_back({server, now_, false});
    ++totals_.attempts;
    const int target = static_cast<int>(server.value), from = front.number;
    const std::uint64_t incarnation = front.incarnation;
    at(now_ + time_out, [this, from, incarnation, part, number] {
        complete_attempt(from, incarnation, part, number, Outcome::kTimedOut, false, {});
    });
    if (!is_linked(front.site, site_of(target))) return;
    const bool non_idempotent = part_state.non_idempotent;
    at(now_ + delay(), [this, target, from, incarnation, part, number, non_idempotent] {
        deliver_attempt(target, from, incarnation, part, number, non_idempotent);
    });
}

void SimulatedSites::deliver_attempt(int target, int from, std::uint64_t incarnation, PartId part,
                                     AttemptNo number, bool non_idempotent) {
    Server& server = *servers_[target];
    if (!server.alive) {
        if (is_linked(server.site, fronts_[from]->site))
            at(now_ + delay(), [this, from, incarnation, part, number] {
                complete_attempt(from, incarnation, part, number, Outcome::kConnectTimeout, false, {});
            });
        return;
    }
    ++arrived_;
    if (non_idempotent && !executed_parts_.insert({from, incarnation, part}).second)
        ++duplicate_attempts_; // the earlier attempt may have been executed
    server.queue.push_back({from, incarnation, part, number});
    if (server.started_at > 0 && now_ < server.started_at + plan_.warm_up_time) {
        server.arrivals.push_back(now_);
        while (server.arrivals.front() <= now_ - plan_.overload_window) server.arrivals.pop_front();
        const double warm_capacity =
            plan_.cores * static_cast<double>(plan_.overload_window) / static_cast<double>(plan_.service);
        const double allowed = plan_.overload_factor * warm_capacity * server.share(now_, plan_);
        const double max_arrivals = allowed + 3 * std::sqrt(allowed) + 3;
        cold_limit_used_ =
            std::max(cold_limit_used_, static_cast<double>(server.arrivals.size()) / max_arrivals);
        if (static_cast<double>(server.arrivals.size()) > max_arrivals) return fail_from_overload(target);
    }
    start_parts(target);
}

void SimulatedSites::start_parts(int target) {
    Server& server = *servers_[target];
    while (server.busy < plan_.cores && !server.queue.empty()) {
        const Server::Job job = server.queue.front();
        server.queue.pop_front();
        ++server.busy;
        const double mean = static_cast<double>(plan_.service) / server.share(now_, plan_);
        const auto elapsed = static_cast<Ticks>(-std::log(1 - random_.unit()) * mean) + 1;
        at(now_ + elapsed, [this, target, job, incarnation = server.incarnation] {
            Server& done = *servers_[target];
            if (!done.alive || done.incarnation != incarnation) return;
            --done.busy;
            start_parts(target);
            const LoadReport report{static_cast<double>(done.busy), static_cast<double>(done.queue.size())};
            if (is_linked(done.site, fronts_[job.front]->site))
                at(now_ + delay(), [this, job, report] {
                    complete_attempt(job.front, job.incarnation, job.part, job.number, Outcome::kAnswered,
                                     true, report);
                });
        });
    }
}

void SimulatedSites::complete_attempt(int from, std::uint64_t incarnation, PartId part, AttemptNo number,
                                      Outcome outcome, bool, LoadReport report) {
    Front& front = *fronts_[from];
    if (!front.alive || front.incarnation != incarnation) return;
    if (now_ < front.stalled_until) {
        at(front.stalled_until, [this, from, incarnation, part, number, outcome, report] {
            complete_attempt(from, incarnation, part, number, outcome, true, report);
        });
        return;
    }
    const auto found = front.parts.find(part);
    if (found == front.parts.end()) return;
    Front::PartState& part_state = found->second;
    Front::AttemptState& out = part_state.attempt_states[number.value];
    if (std::exchange(out.over, true)) return;
    const Ticks elapsed = now_ - out.sent;
    if (outcome == Outcome::kAnswered) part_state.answered = true;
    const ServerId server = out.server;
    front.traffic.count_attempt("s" + std::to_string(server.value), outcome, elapsed, report);
    const SearchId search = part_state.search;
    if (!front.searches.contains(search) &&
        std::ranges::all_of(part_state.attempt_states, &Front::AttemptState::over))
        front.parts.erase(found);
    front.scheduler->handle(now_, AttemptEnded{part, number, server, outcome, elapsed, report});
    run_scheduler(front);
}

// ---- faults

void SimulatedSites::kill_server(int number) {
    Server& server = *servers_[number];
    if (!server.alive) return;
    server.alive = false, ++server.incarnation, server.busy = 0;
    // Queued parts end with a lost connection.
    for (const Server::Job& job : std::exchange(server.queue, {}))
        at(now_ + delay(), [this, job] {
            complete_attempt(job.front, job.incarnation, job.part, job.number, Outcome::kConnectionLost,
                             false, {});
        });
    at(now_ + plan_.list_lag, [this] { update_server_lists(); });
}

void SimulatedSites::start_server(int number) {
    Server& server = *servers_[number];
    if (server.alive) return;
    server.alive = true, ++server.incarnation, server.started_at = now_, server.busy = 0;
    server.arrivals.clear();
    at(now_ + plan_.list_lag, [this] { update_server_lists(); });
}

void SimulatedSites::fail_from_overload(int number) {
    ++overload_failures_;
    kill_server(number);
    at(now_ + kRestartDelay, [this, number] { start_server(number); });
}

void SimulatedSites::kill_site(int site, bool with_front_nodes) {
    for (int i = 0; i < plan_.servers; ++i)
        if (site_of(i) == site) kill_server(i);
    for (auto& front : fronts_)
        if (with_front_nodes && front->site == site) {
            front->alive = false, ++front->incarnation;
            // Open searches of a killed front node are dropped; its clients may retry.
            front->searches.clear(), front->parts.clear();
        }
    at(now_ + plan_.member_lag, [this] { update_members(); });
}

void SimulatedSites::return_site(int site) {
    for (int i = 0; i < plan_.servers; ++i)
        if (site_of(i) == site) start_server(i);
    for (auto& front : fronts_)
        if (front->site == site && !front->alive) start_front_now(front->number);
    at(now_ + plan_.member_lag, [this] { update_members(); });
}

void SimulatedSites::cut_site(int site, bool both_ways) {
    for (int other = 0; other < plan_.sites; ++other)
        if (other != site) {
            cuts_.insert({site, other});
            if (both_ways) cuts_.insert({other, site});
        }
    at(now_ + plan_.member_lag, [this] { update_members(); });
}

void SimulatedSites::cut_between(int a, int b) {
    cuts_.insert({a, b}), cuts_.insert({b, a});
    at(now_ + plan_.member_lag, [this] { update_members(); });
}

void SimulatedSites::heal() {
    cuts_.clear(), reports_blocked_.clear();
    at(now_ + plan_.member_lag, [this] { update_members(); });
}

void SimulatedSites::stall_front(int number, Ticks span) {
    Front& front = *fronts_[number];
    front.stalled_until = now_ + span;
    at(front.stalled_until + 1, [this, number] { run_scheduler(*fronts_[number]); });
}

void SimulatedSites::start_front(int number) { start_front_now(number); }
void SimulatedSites::block_reports(const std::set<int>& fronts) { reports_blocked_ = fronts; }

std::map<std::string, recovery::ListedServer> SimulatedSites::current_servers() const {
    std::map<std::string, recovery::ListedServer> servers;
    const int cells = plan_.servers / plan_.replicas;
    for (int i = 0; i < plan_.servers; ++i) {
        recovery::ListedServer seen;
        seen.site = site_name(site_of(i)), seen.live = servers_[i]->alive,
        seen.started = servers_[i]->started_at;
        for (int shard = 0; shard < plan_.shards; ++shard)
            if (shard % cells == servers_[i]->cell) seen.shards.push_back(shard);
        servers["s" + std::to_string(i)] = std::move(seen);
    }
    return servers;
}

void SimulatedSites::update_server_list(Front& front, const ServerListUpdate& update,
                                        const std::map<std::string, recovery::ListedServer>& servers) {
    if (!front.alive || !front.scheduler) return;
    front.scheduler->handle(now_, update);
    if (front.controller) front.controller->update_servers(now_, servers);
    run_scheduler(front);
}

// Changes at one instant are published together.
void SimulatedSites::update_server_lists() {
    if (lists_updated_at_ == now_) return;
    lists_updated_at_ = now_;
    const auto servers = current_servers();
    const ServerListUpdate update = list_update(false);
    for (auto& front : fronts_) update_server_list(*front, update, servers);
}

void SimulatedSites::update_members() {
    for (auto& front : fronts_) {
        if (!front->alive || !front->controller || !plan_.exchange_reports) continue;
        std::set<std::string> others;
        for (const auto& other : fronts_)
            if (other->alive && other != front && is_linked(front->site, other->site) &&
                is_linked(other->site, front->site))
                others.insert("n" + std::to_string(other->number));
        front->controller->set_peers(now_, others);
    }
}

double SimulatedSites::best_share() const {
    recovery::PlanInput terms;
    terms.unit_capacity =
        plan_.cores * static_cast<double>(kTicksPerSecond) / static_cast<double>(plan_.service);
    terms.headroom = 1;
    terms.servers = current_servers();
    for (int i = 0; i < plan_.servers; ++i)
        terms.available_share["s" + std::to_string(i)] = servers_[i]->share(now_, plan_);
    double all = 0;
    for (const auto& request_class : plan_.request_classes) all += request_class.rate;
    for (const auto& request_class : plan_.request_classes) {
        terms.request_classes[request_class.name] = {request_class.terms.utility,
                                                     request_class.terms.min_answer_weight,
                                                     request_class.terms.full_answer_weight,
                                                     request_class.terms.late_utility_ratio,
                                                     request_class.terms.latency_target,
                                                     false};
        for (const auto& [tenant, share] : plan_.tenants)
            terms.demand.rows[{request_class.name, tenant}] = {
                rate_ * load_factor_ * request_class.rate / all * share,
                static_cast<double>(std::min(request_class.parts, plan_.shards))};
    }
    for (int shard = 0; shard < plan_.shards; ++shard) terms.demand.shards[shard] = 1.0 / plan_.shards;
    const recovery::Plan plan = recovery::plan_for_lost_sites(terms, {});
    return plan.shedding.max_utility > 0 ? plan.shedding.utility / plan.shedding.max_utility : 0;
}

} // namespace ivyrill::lab
