#include "lab/site_world.hpp"

#include "limits/slow_start.hpp"

#include <algorithm>
#include <cmath>
#include <deque>

namespace ivyrill::lab {

namespace {

constexpr Tenths kMs = kTenthsPerSecond / 1000;
constexpr Tenths kTurn = 5 * kMs, kConnect = 250 * kMs, kDown = 2 * kTenthsPerSecond;

std::vector<SiteRequestClass> usual_request_classes() {
    const auto terms = [](Idempotency idempotency, double utility, double floor) {
        RequestClassConfig made;
        made.latency_target = 500 * kMs, made.deadline = 1500 * kMs, made.idempotency = idempotency;
        made.utility = utility, made.late_utility_ratio = 0.1, made.floor = floor, made.need = 1;
        return made;
    };
    return {{"find", 6, 6, terms(Idempotency::kIdempotent, 3, 1)},
            {"table", 3, 6, terms(Idempotency::kIdempotent, 1, 0.6)},
            {"note", 1, 1, terms(Idempotency::kNonIdempotent, 2, 1)}};
}

} // namespace

struct SiteWorld::Server {
    struct Job {
        int front;
        std::uint64_t life;
        PartId part;
        AttemptNo number;
    };
    int site = 0, cell = 0, busy = 0;
    bool alive = true;
    std::uint64_t life = 1;
    Tenths born = 0; // 0: long ago
    std::deque<Job> queue;
    std::deque<Tenths> arrivals;
    double share(Tenths now, const SiteWorldPlan& plan) const {
        if (born == 0) return 1;
        return limits::SlowStart{plan.warm_up_time, plan.cold_capacity_ratio, 0, 1}.share(now - born);
    }
};

struct SiteWorld::Front : SchedulerHost {
    struct Out {
        ServerId server;
        Tenths sent = 0;
        bool over = false;
    };
    struct Held {
        SearchId search;
        int shard = 0;
        double weight = 0;
        bool in = false, once = false;
        std::vector<Out> outs;
    };
    struct Open {
        std::size_t request_class = 0, tenant = 0;
        Tenths begun = 0;
        std::vector<PartId> parts;
    };
    SiteWorld* world = nullptr;
    int number = 0, site = 0;
    bool alive = true;
    std::uint64_t life = 1;
    Tenths stalled_until = 0, wake_at = 0;
    std::unique_ptr<SearchScheduler> scheduler;
    std::unique_ptr<recovery::FailoverController> pilot;
    recovery::TrafficCounter book;
    std::uint32_t next_id = 1;
    std::uint64_t next_job = 1;
    std::map<SearchId, Open> searches;
    std::map<PartId, Held> parts;
    std::deque<std::function<void()>> slept; // what came while it was stalled

    recovery::TrafficClass key(const Open& open) const {
        return {world->plan_.request_classes[open.request_class].name,
                world->plan_.tenants[open.tenant].first};
    }
    void attempt(PartId part, ServerId server, Tenths time_out, Tenths) override {
        world->attempt(*this, part, server, time_out);
    }
    void cancel_attempt(PartId part, AttemptNo number_of) override {
        const std::uint64_t own = life;
        const auto held = parts.find(part);
        if (held == parts.end()) return;
        const int at_server = static_cast<int>(held->second.outs[number_of.value].server.value);
        world->at(world->now_ + world->delay(), [w = world, at_server, n = number, own, part, number_of] {
            std::erase_if(w->servers_[at_server]->queue, [&](const Server::Job& job) {
                return job.front == n && job.life == own && job.part == part && job.number == number_of;
            });
        });
        world->at(world->now_ + kTurn, [w = world, n = number, own, part, number_of] {
            w->returned(n, own, part, number_of, Outcome::kCancelled, false, {});
        });
    }
    void end(SearchId id, recovery::TrafficCounter::SearchEnd how) {
        const auto found = searches.find(id);
        if (found == searches.end()) return void(world->broken_.push_back("a second final answer"));
        book.count_end(key(found->second), how);
        for (const PartId part : found->second.parts) {
            auto& held = parts.at(part);
            if (std::ranges::all_of(held.outs, &Out::over)) parts.erase(part);
        }
        searches.erase(found);
    }
    void answer(SearchId id, bool whole) override {
        const auto found = searches.find(id);
        if (found == searches.end()) return void(world->broken_.push_back("a second final answer"));
        const Open open = found->second;
        const SiteRequestClass& request_class = world->plan_.request_classes[open.request_class];
        double weight = 0;
        for (const PartId part : open.parts) weight += parts.at(part).in ? parts.at(part).weight : 0;
        if (weight + 1e-6 < request_class.terms.floor) world->broken_.push_back("an answer under its floor");
        if (whole && weight + 1e-6 < request_class.terms.need) world->broken_.push_back("whole and is not");
        const bool in_time = world->now_ <= open.begun + request_class.terms.latency_target;
        const double paid = request_class.terms.utility *
                            (in_time ? 1 : request_class.terms.late_utility_ratio) * std::min(1.0, weight);
        SiteTotals& totals = world->totals_;
        ++totals.delivered, totals.in_time += in_time, totals.in_part += whole ? 0 : 1,
            totals.utility += paid;
        totals.request_classes[request_class.name].first += paid;
        totals.tenants[world->plan_.tenants[open.tenant].first].first += paid;
        end(id, in_time ? recovery::TrafficCounter::SearchEnd::kInTime
                        : recovery::TrafficCounter::SearchEnd::kDelivered);
    }
    void reject(SearchId id, Tenths retry_after) override {
        const auto found = searches.find(id);
        if (found == searches.end()) return void(world->broken_.push_back("a second final answer"));
        const Open open = found->second;
        ++world->totals_.rejected;
        end(id, recovery::TrafficCounter::SearchEnd::kRejected);
        if (world->plan_.repeats > 0 && world->chance_.unit() < world->plan_.repeats)
            world->at(world->now_ + std::max<Tenths>(retry_after, 10 * kMs), [w = world, n = number, open] {
                int there = n; // whoever serves
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
        const bool good = world->servers_[target]->alive && world->linked(site, world->site_of(target)) &&
                          world->linked(world->site_of(target), site);
        const Tenths took = good ? world->delay() + world->delay() : kConnect;
        world->at(world->now_ + took, [w = world, n = number, own = life, server, good, took] {
            Front& front = *w->fronts_[n];
            if (!front.alive || front.life != own) return;
            front.book.count_probe("s" + std::to_string(server.value), good);
            front.scheduler->handle(w->now_, ProbeEnded{server, good, took, {}});
            w->turn(front);
        });
    }
    void close_idle_connections(ServerId) override {}
    void schedule_wakeup(Tenths in) override {
        wake_at = world->now_ + std::max<Tenths>(1, in);
        world->at(wake_at, [w = world, n = number, own = life, when = wake_at] {
            Front& front = *w->fronts_[n];
            if (front.alive && front.life == own && front.wake_at == when) w->turn(front);
        });
    }
    void subscribe() override {}
};

SiteWorld::~SiteWorld() = default;

int SiteWorld::site_of(int server) const { return server * plan_.sites / plan_.servers; }
int SiteWorld::home_of(int front) const { return front % plan_.sites; }

SiteWorld::SiteWorld(SiteWorldPlan plan) : plan_(std::move(plan)), chance_(plan_.seed) {
    if (plan_.request_classes.empty()) plan_.request_classes = usual_request_classes();
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
    for (int i = 0; i < plan_.servers; ++i) capacity += power(i);
    rate_ = plan_.load * capacity / (parts / weight);
    for (int i = 0; i < plan_.fronts; ++i) {
        fronts_.push_back(std::make_unique<Front>());
        fronts_[i]->world = this, fronts_[i]->number = i, fronts_[i]->site = home_of(i);
    }
    for (int i = 0; i < plan_.fronts; ++i) start_front_now(i);
    tell_members();
    for (int i = 0; i < plan_.fronts; ++i) arrive(i);
}

double SiteWorld::power(int number) const {
    const Server& server = *servers_[number];
    if (!server.alive) return 0;
    return server.share(now_, plan_) * plan_.cores * static_cast<double>(kTenthsPerSecond) /
           static_cast<double>(plan_.service);
}

bool SiteWorld::serves(int server) const { return servers_[server]->alive; }

void SiteWorld::at(Tenths when, std::function<void()> what) {
    events_.push({std::max(when, now_), ++order_, std::move(what)});
}

Tenths SiteWorld::delay() {
    return plan_.least_delay +
           static_cast<Tenths>(chance_.unit() * static_cast<double>(plan_.most_delay - plan_.least_delay));
}

void SiteWorld::pass(Tenths span) {
    for (const Tenths end = now_ + span; !events_.empty() && events_.top().at <= end;) {
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

bool SiteWorld::until(const std::function<bool()>& holds, Tenths bound) {
    for (const Tenths end = now_ + bound; now_ < end && !holds();) pass(20 * kMs);
    return holds();
}

// ---- front nodes

ServerListUpdate SiteWorld::news_for(bool whole) const {
    ServerListUpdate news{whole ? ListKind::kSaved : ListKind::kChanges, {}};
    for (int i = 0; i < plan_.servers; ++i) {
        const Server& server = *servers_[i];
        news.entries.push_back({ServerId{static_cast<std::uint32_t>(i)}, ZoneNo{server.site}, KindNo{0},
                                CellNo{server.cell}, server.alive ? ListedState::kLive : ListedState::kGone,
                                1, server.born});
    }
    return news;
}

void SiteWorld::start_front_now(int number) {
    Front& front = *fronts_[number];
    front.alive = true, ++front.life, front.stalled_until = 0;
    front.searches.clear(), front.parts.clear(), front.slept.clear();
    SchedulerConfig terms;
    terms.seed = plan_.seed * 1000 + static_cast<std::uint64_t>(number) + 7 * front.life;
    for (const auto& request_class : plan_.request_classes)
        terms.request_classes.push_back(request_class.terms);
    const int nodes = plan_.stated_nodes > 0 ? plan_.stated_nodes : plan_.fronts;
    for (const auto& [name, share] : plan_.tenants) terms.tenants.push_back({rate_ * share * 2});
    terms.front_nodes = nodes, terms.decision_interval = kTurn;
    terms.warm_up_time = plan_.warm_up_time, terms.cold_capacity_ratio = plan_.cold_capacity_ratio;
    terms.overload_window = plan_.overload_window, terms.overload_factor = plan_.overload_factor;
    terms.max_retry_after = 2 * kTenthsPerSecond, terms.max_attempts = 3;
    terms.may_cancel = terms.may_send_retry_after = true, terms.may_probe = plan_.may_probe;
    terms.cells = plan_.servers / plan_.replicas, terms.span = 1;
    front.scheduler = make_search_scheduler(terms);
    front.book = recovery::TrafficCounter(plan_.request_classes[0].terms.latency_target);
    front.pilot.reset();
    if (plan_.with_plan) {
        recovery::FailoverOptions own;
        own.name = "n" + std::to_string(number), own.home_site = site_name(front.site), own.seed = terms.seed;
        Tenths due = plan_.request_classes[0].terms.latency_target;
        for (const auto& request_class : plan_.request_classes) {
            own.request_classes.push_back(request_class.name);
            own.request_class_info[request_class.name] = {
                request_class.terms.utility,
                request_class.terms.floor,
                request_class.terms.need,
                request_class.terms.late_utility_ratio,
                request_class.terms.latency_target,
                request_class.terms.idempotency == Idempotency::kNonIdempotent};
            due = std::min(due, request_class.terms.latency_target);
        }
        for (const auto& [name, share] : plan_.tenants)
            own.tenants.push_back(name), own.quotas[name] = rate_ * share * 2;
        for (int site = 0; site < plan_.sites; ++site) own.zones.push_back(site_name(site));
        own.latency_target = due, own.warm_up_time = plan_.warm_up_time,
        own.cold_capacity_ratio = plan_.cold_capacity_ratio;
        own.max_retry_after = terms.max_retry_after, own.configured_nodes = nodes, own.shards = plan_.shards;
        own.configured_capacity = plan_.stated_capacity;
        front.pilot = std::make_unique<recovery::FailoverController>(own, now_);
        const std::uint64_t life = front.life;
        at(now_ + static_cast<Tenths>(chance_.unit() * static_cast<double>(due) / 8), [this, number, life] {
            if (fronts_[number]->life == life) step_pilot(*fronts_[number]);
        });
    }
    tell_list(front, news_for(true), list_now());
}

void SiteWorld::turn(Front& front) {
    if (!front.alive) return;
    if (now_ < front.stalled_until) return;
    front.scheduler->decide(now_, front);
}

void SiteWorld::step_pilot(Front& front) {
    const int number = front.number;
    const std::uint64_t life = front.life;
    if (!front.alive) return;
    if (now_ >= front.stalled_until) {
        for (const auto& [id, held] : front.parts)
            for (const auto& out : held.outs)
                if (!out.over) front.book.note_outstanding("s" + std::to_string(out.server.value), out.sent);
        front.pilot->add_counts(now_, front.book.take());
        front.pilot->step(now_, now_);
        for (auto& effect : front.pilot->take_effects()) {
            if (const auto* word = std::get_if<recovery::OutgoingReport>(&effect)) {
                const int to = std::stoi(word->to.substr(1));
                if (!plan_.talks || chance_.unit() < plan_.word_loss ||
                    !linked(front.site, fronts_[to]->site) || deaf_.contains(to))
                    continue;
                at(now_ + delay(), [this, to, bytes = word->bytes] {
                    Front& other = *fronts_[to];
                    if (!other.alive) return;
                    if (now_ < other.stalled_until) return; // its socket is full soon enough
                    other.pilot->receive_report(now_, bytes);
                });
            } else if (const auto* relief = std::get_if<FailoverPolicyUpdate>(&effect)) {
                front.scheduler->handle(now_, *relief);
                turn(front);
            } else if (on_line) {
                on_line(number, std::get<recovery::SiteLogLine>(effect));
            }
        }
    }
    at(std::max(front.pilot->next_step(), now_ + 1), [this, number, life] {
        if (fronts_[number]->alive && fronts_[number]->life == life) step_pilot(*fronts_[number]);
    });
}

const recovery::FailoverController* SiteWorld::pilot(int front) const { return fronts_[front]->pilot.get(); }

recovery::SiteState SiteWorld::state(int front, int site) const {
    return fronts_[front]->pilot->monitor().state(site_name(site));
}

std::size_t SiteWorld::seen_in(int site, recovery::SiteState wanted) const {
    return static_cast<std::size_t>(std::ranges::count_if(fronts_, [&](const auto& front) {
        return front->alive && front->pilot && front->pilot->monitor().state(site_name(site)) == wanted;
    }));
}

void SiteWorld::order(int front, recovery::SiteOverride order) {
    fronts_[front]->pilot->apply_override(std::move(order));
}

// ---- clients

void SiteWorld::arrive(int number) {
    // Whoever cannot reach one front node goes to another: those that live share all that comes.
    const auto alive = std::ranges::count_if(fronts_, [](const auto& front) { return front->alive; });
    const double mine =
        fronts_[number]->alive ? rate_ * surge_ / static_cast<double>(std::max<std::ptrdiff_t>(1, alive)) : 0;
    const double gap = mine > 0 ? -std::log(1 - chance_.unit()) / mine : 0.1;
    at(now_ + static_cast<Tenths>(gap * static_cast<double>(kTenthsPerSecond)) + 1, [this, number, mine] {
        if (mine > 0 && fronts_[number]->alive) {
            double drawn = chance_.unit(), all = 0;
            for (const auto& request_class : plan_.request_classes) all += request_class.rate;
            std::size_t request_class = 0, tenant = 0;
            for (drawn *= all; request_class + 1 < plan_.request_classes.size() &&
                               drawn >= plan_.request_classes[request_class].rate;
                 ++request_class)
                drawn -= plan_.request_classes[request_class].rate;
            for (drawn = chance_.unit();
                 tenant + 1 < plan_.tenants.size() && drawn >= plan_.tenants[tenant].second; ++tenant)
                drawn -= plan_.tenants[tenant].second;
            search(number, request_class, tenant, false);
        }
        arrive(number);
    });
}

void SiteWorld::search(int number, std::size_t class_no, std::size_t tenant, bool again) {
    Front& front = *fronts_[number];
    const SiteRequestClass& request_class = plan_.request_classes[class_no];
    if (!again) {
        ++totals_.asked, totals_.most_utility += request_class.terms.utility;
        totals_.request_classes[request_class.name].second += request_class.terms.utility;
        totals_.tenants[plan_.tenants[tenant].first].second += request_class.terms.utility;
    }
    const SearchId id{front.next_id++};
    const JobNo job{front.next_job++};
    Front::Open& open = front.searches[id];
    open.request_class = class_no, open.tenant = tenant, open.begun = now_;
    const auto key = front.key(open);
    front.book.count_search(key);
    std::vector<int> shards(static_cast<std::size_t>(plan_.shards));
    for (int i = 0; i < plan_.shards; ++i) shards[i] = i;
    for (int i = 0; i < request_class.parts && i < plan_.shards; ++i)
        std::swap(shards[i], shards[i + static_cast<int>(chance_.unit() * (plan_.shards - i))]);
    const int count = std::min(request_class.parts, plan_.shards);
    front.scheduler->handle(now_, SearchAccepted{id, job, RequestClassNo{static_cast<std::int32_t>(class_no)},
                                                 TenantNo{static_cast<std::int32_t>(tenant)},
                                                 request_class.terms.deadline, again});
    for (int i = 0; i < count; ++i) {
        const PartId part{front.next_id++};
        open.parts.push_back(part);
        front.parts[part] = {
            id, shards[i], 1.0 / count, false, request_class.terms.idempotency == Idempotency::kNonIdempotent,
            {}};
        front.book.count_part(key, shards[i]);
        front.scheduler->handle(now_, PartAdded{part, job, ShardNo{shards[i]}, 1.0 / count});
    }
    at(now_ + request_class.terms.deadline, [this, number, life = front.life, id] {
        Front& late = *fronts_[number];
        if (!late.alive || late.life != life || !late.searches.contains(id)) return;
        if (now_ < late.stalled_until + kConnect) return; // it could not; its clients went elsewhere
        ++lost_;
        late.scheduler->handle(now_, SearchAbandoned{id});
        late.fail(id);
    });
    turn(front);
}

// ---- attempts

void SiteWorld::attempt(Front& front, PartId part, ServerId server, Tenths time_out) {
    auto& held = front.parts.at(part);
    const AttemptNo number{static_cast<std::uint32_t>(held.outs.size())};
    held.outs.push_back({server, now_, false});
    ++totals_.attempts;
    const int target = static_cast<int>(server.value), from = front.number;
    const std::uint64_t life = front.life;
    at(now_ + time_out, [this, from, life, part, number] {
        returned(from, life, part, number, Outcome::kTimedOut, false, {});
    });
    if (!linked(front.site, site_of(target))) return;
    const bool once = held.once;
    at(now_ + delay(),
       [this, target, from, life, part, number, once] { reach(target, from, life, part, number, once); });
}

void SiteWorld::reach(int target, int from, std::uint64_t life, PartId part, AttemptNo number, bool once) {
    Server& server = *servers_[target];
    if (!server.alive) {
        if (linked(server.site, fronts_[from]->site))
            at(now_ + delay(), [this, from, life, part, number] {
                returned(from, life, part, number, Outcome::kConnectTimeout, false, {});
            });
        return;
    }
    ++arrived_;
    if (once && !ran_.insert({from, life, part}).second) ++doubled_; // it may have run before
    server.queue.push_back({from, life, part, number});
    if (server.born > 0 && now_ < server.born + plan_.warm_up_time) {
        server.arrivals.push_back(now_);
        while (server.arrivals.front() <= now_ - plan_.overload_window) server.arrivals.pop_front();
        const double full =
            plan_.cores * static_cast<double>(plan_.overload_window) / static_cast<double>(plan_.service);
        const double allowed = plan_.overload_factor * full * server.share(now_, plan_);
        const double most = allowed + 3 * std::sqrt(allowed) + 3;
        cold_used_ = std::max(cold_used_, static_cast<double>(server.arrivals.size()) / most);
        if (static_cast<double>(server.arrivals.size()) > most) return fall(target);
    }
    begin_work(target);
}

void SiteWorld::begin_work(int target) {
    Server& server = *servers_[target];
    while (server.busy < plan_.cores && !server.queue.empty()) {
        const Server::Job job = server.queue.front();
        server.queue.pop_front();
        ++server.busy;
        const double mean = static_cast<double>(plan_.service) / server.share(now_, plan_);
        const auto took = static_cast<Tenths>(-std::log(1 - chance_.unit()) * mean) + 1;
        at(now_ + took, [this, target, job, life = server.life] {
            Server& done = *servers_[target];
            if (!done.alive || done.life != life) return;
            --done.busy;
            begin_work(target);
            const LoadReport report{static_cast<double>(done.busy), static_cast<double>(done.queue.size())};
            if (linked(done.site, fronts_[job.front]->site))
                at(now_ + delay(), [this, job, report] {
                    returned(job.front, job.life, job.part, job.number, Outcome::kAnswered, true, report);
                });
        });
    }
}

void SiteWorld::returned(int from, std::uint64_t life, PartId part, AttemptNo number, Outcome outcome, bool,
                         LoadReport report) {
    Front& front = *fronts_[from];
    if (!front.alive || front.life != life) return;
    if (now_ < front.stalled_until) {
        at(front.stalled_until, [this, from, life, part, number, outcome, report] {
            returned(from, life, part, number, outcome, true, report);
        });
        return;
    }
    const auto found = front.parts.find(part);
    if (found == front.parts.end()) return;
    Front::Held& held = found->second;
    Front::Out& out = held.outs[number.value];
    if (std::exchange(out.over, true)) return;
    const Tenths took = now_ - out.sent;
    if (outcome == Outcome::kAnswered) held.in = true;
    const ServerId server = out.server;
    front.book.count_attempt("s" + std::to_string(server.value), outcome, took, report);
    const SearchId search = held.search;
    if (!front.searches.contains(search) && std::ranges::all_of(held.outs, &Front::Out::over))
        front.parts.erase(found);
    front.scheduler->handle(now_, AttemptEnded{part, number, server, outcome, took, report});
    turn(front);
}

// ---- faults

void SiteWorld::kill_server(int number) {
    Server& server = *servers_[number];
    if (!server.alive) return;
    server.alive = false, ++server.life, server.busy = 0;
    // Connections break: what was there returns as that.
    for (const Server::Job& job : std::exchange(server.queue, {}))
        at(now_ + delay(), [this, job] {
            returned(job.front, job.life, job.part, job.number, Outcome::kConnectionLost, false, {});
        });
    at(now_ + plan_.list_lag, [this] { tell_lists(); });
}

void SiteWorld::start_server(int number) {
    Server& server = *servers_[number];
    if (server.alive) return;
    server.alive = true, ++server.life, server.born = now_, server.busy = 0;
    server.arrivals.clear();
    at(now_ + plan_.list_lag, [this] { tell_lists(); });
}

void SiteWorld::fall(int number) {
    ++falls_;
    kill_server(number);
    at(now_ + kDown, [this, number] { start_server(number); });
}

void SiteWorld::kill_site(int site, bool fronts_too) {
    for (int i = 0; i < plan_.servers; ++i)
        if (site_of(i) == site) kill_server(i);
    for (auto& front : fronts_)
        if (fronts_too && front->site == site) {
            front->alive = false, ++front->life;
            // What its clients had asked for is theirs to ask again; nobody here answers for it.
            front->searches.clear(), front->parts.clear();
        }
    at(now_ + plan_.member_lag, [this] { tell_members(); });
}

void SiteWorld::return_site(int site) {
    for (int i = 0; i < plan_.servers; ++i)
        if (site_of(i) == site) start_server(i);
    for (auto& front : fronts_)
        if (front->site == site && !front->alive) start_front_now(front->number);
    at(now_ + plan_.member_lag, [this] { tell_members(); });
}

void SiteWorld::cut_site(int site, bool both_ways) {
    for (int other = 0; other < plan_.sites; ++other)
        if (other != site) {
            cuts_.insert({site, other});
            if (both_ways) cuts_.insert({other, site});
        }
    at(now_ + plan_.member_lag, [this] { tell_members(); });
}

void SiteWorld::cut_between(int a, int b) {
    cuts_.insert({a, b}), cuts_.insert({b, a});
    at(now_ + plan_.member_lag, [this] { tell_members(); });
}

void SiteWorld::heal() {
    cuts_.clear(), deaf_.clear();
    at(now_ + plan_.member_lag, [this] { tell_members(); });
}

void SiteWorld::stall_front(int number, Tenths span) {
    Front& front = *fronts_[number];
    front.stalled_until = now_ + span;
    at(front.stalled_until + 1, [this, number] { turn(*fronts_[number]); });
}

void SiteWorld::start_front(int number) { start_front_now(number); }
void SiteWorld::deafen(const std::set<int>& fronts) { deaf_ = fronts; }

std::map<std::string, recovery::ListedServer> SiteWorld::list_now() const {
    std::map<std::string, recovery::ListedServer> servers;
    const int cells = plan_.servers / plan_.replicas;
    for (int i = 0; i < plan_.servers; ++i) {
        recovery::ListedServer seen;
        seen.site = site_name(site_of(i)), seen.live = servers_[i]->alive, seen.started = servers_[i]->born;
        for (int shard = 0; shard < plan_.shards; ++shard)
            if (shard % cells == servers_[i]->cell) seen.shards.push_back(shard);
        servers["s" + std::to_string(i)] = std::move(seen);
    }
    return servers;
}

void SiteWorld::tell_list(Front& front, const ServerListUpdate& news,
                          const std::map<std::string, recovery::ListedServer>& servers) {
    if (!front.alive || !front.scheduler) return;
    front.scheduler->handle(now_, news);
    if (front.pilot) front.pilot->update_servers(now_, servers);
    turn(front);
}

// All that changes in one instant is told at once.
void SiteWorld::tell_lists() {
    if (told_at_ == now_) return;
    told_at_ = now_;
    const auto servers = list_now();
    const ServerListUpdate news = news_for(false);
    for (auto& front : fronts_) tell_list(*front, news, servers);
}

void SiteWorld::tell_members() {
    for (auto& front : fronts_) {
        if (!front->alive || !front->pilot || !plan_.talks) continue;
        std::set<std::string> others;
        for (const auto& other : fronts_)
            if (other->alive && other != front && linked(front->site, other->site) &&
                linked(other->site, front->site))
                others.insert("n" + std::to_string(other->number));
        front->pilot->set_peers(now_, others);
    }
}

double SiteWorld::best_share() const {
    recovery::PlanInput terms;
    terms.unit_capacity =
        plan_.cores * static_cast<double>(kTenthsPerSecond) / static_cast<double>(plan_.service);
    terms.headroom = 1;
    terms.servers = list_now();
    for (int i = 0; i < plan_.servers; ++i)
        terms.available_share["s" + std::to_string(i)] = servers_[i]->share(now_, plan_);
    double all = 0;
    for (const auto& request_class : plan_.request_classes) all += request_class.rate;
    for (const auto& request_class : plan_.request_classes) {
        terms.request_classes[request_class.name] = {
            request_class.terms.utility,        request_class.terms.floor,
            request_class.terms.need,           request_class.terms.late_utility_ratio,
            request_class.terms.latency_target, false};
        for (const auto& [tenant, share] : plan_.tenants)
            terms.demand.rows[{request_class.name, tenant}] = {
                rate_ * surge_ * request_class.rate / all * share,
                static_cast<double>(std::min(request_class.parts, plan_.shards))};
    }
    for (int shard = 0; shard < plan_.shards; ++shard) terms.demand.shards[shard] = 1.0 / plan_.shards;
    const recovery::Plan plan = recovery::plan_without(terms, {});
    return plan.shedding.max_utility > 0 ? plan.shedding.utility / plan.shedding.max_utility : 0;
}

} // namespace ivyrill::lab
