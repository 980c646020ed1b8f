// The one decision module of ivyrill: C3 over replicated shards, and what the rules and broken servers ask
// beside it. Its interface stands in brain.hpp. A caller opens one Brain an instance, hands it each turn's
// events by `on`, in order, then calls `decide` once; all actions go to the Host. `on` only learns. `decide`
// works out the wanted state (which launches should be out, which searches end, who is probed, when to wake),
// and `emit` alone turns its difference to the present state into actions. docs/design.md tells what is C3's,
// what departs from it, and when each departure acts.
#include "brain.hpp"

#include "base/pcg.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <set>

namespace ivyrill {

namespace {

constexpr Tenths kNever = std::numeric_limits<Tenths>::max();

// C3's own figures, from the paper and the design page.
constexpr Tenths kWindow = 200;       // 20 ms, the span that a sending limit counts over
constexpr double kStartLimit = 10;    // parts a window
constexpr double kLeastLimit = 2;     // parts a window
constexpr double kRecentMultiple = 2; // ... or this many times our recent sends
constexpr double kStepCap = 10;       // smax
constexpr double kCut = 0.2;          // beta
constexpr double kSaddle = 1000;      // 100 ms
constexpr double kGamma = kCut * kStartLimit / (kSaddle * kSaddle * kSaddle);
constexpr Tenths kHold = 2 * kWindow; // no cut so soon after a rise
constexpr double kUnheardShare = 0.1; // of the due span: service time where nobody was heard

// Ours. Shares of a due span, unless said otherwise.
constexpr double kFresh = 0.3;          // weight of a new answer in a mean
constexpr double kFreshReport = 0.6;    // ... of a report, which tells a state and no sample
constexpr double kDeviations = 4;       // a launch is overdue past the mean and so many mean deviations
constexpr double kLeastPatience = 0.15; // but not before this
constexpr double kMostPatience = 0.35;  // and at the latest here
constexpr double kFaultLimit = 0.5;     // mean of recent failures that sets a server aside
constexpr int kCostlyParts = 2;         // slow parts, and no quick one, that show a costly search
constexpr int kBreaksSuspect = 2;       // servers broken under one search that make it suspect
constexpr double kSuspicionSpan = 20;   // due spans that a suspicion is kept
constexpr int kSilentLaunches = 2;      // unanswered in a row that set a server aside
constexpr double kProbeGap = 0.15;      // between probes to a server set aside
constexpr int kMostSetbacks = 3;        // doublings of that gap
constexpr int kPassesNeeded = 2;        // probes in a row before a trial
constexpr int kTrialEnd = 8;            // trial room at which a server is fully back
constexpr double kPatientShare = 0.25;  // part of the time left that the least paying search may wait
constexpr double kCalmWait = 0.1;       // mean forecast, of the shortest due span, up to which all is calm
constexpr double kFullWait = 0.3;       // ... and from which admission is at its strictest
constexpr double kLocalScale = 2;    // both, times this, for the replicas of one shard: fewer, so more chance
constexpr double kPayingShare = 0.6; // ... and the best paying one
constexpr double kFurtherRatio = 0.2; // further launches a part, where the terms state no budget
constexpr double kFurtherSpare = 5;
constexpr double kColdSafety = 2.0; // most servers work on more than one part at a time
constexpr double kAlike = 0.01;     // of the usual time left: first tries differ by less
constexpr double kWeightSlack = 1e-6;

enum class Standing { kIn, kAside, kTrial };
enum class Stage { kPlanned, kOut, kOver };
enum class Fate { kOpen, kWhole, kPartial, kPushedBack, kScrapped, kEnded };

struct Launch { // lives from its plan to its return
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
    bool in = false;
    bool held = false;  // in its shard's backlog
    bool quick = false; // answered within its product's patience
    std::vector<Launch> launches;
    bool out() const {
        return std::any_of(launches.begin(), launches.end(), [](auto& l) { return l.stage != Stage::kOver; });
    }
    bool may_have_run() const {
        return std::any_of(launches.begin(), launches.end(), [](auto& l) { return l.may_have_run; });
    }
};

struct Search {
    SearchId id;
    ProductNo product;
    KeyId key;
    Tenths due = 0, expiry = 0;
    double payoff = 0;
    int step = 1;
    bool whole = true; // so far
    Tenths come_back = 0;
    Fate fate = Fate::kOpen;
    std::vector<Part> parts;
    std::size_t step_begin = 0; // where the present step's parts begin
    std::set<ServerId> broken;  // servers that broke while they held one of its launches
};

struct Suspicion { // of what searches of one key do to servers
    int broken = 0;
    bool sure = false;
    Tenths at = 0;
};

struct IndexServer {
    ServerId id;
    ListEntry entry;
    // C3: exponentially weighted means of response, reported queue and service time.
    bool heard = false;
    double response = 0, queue = 0, service = 0;
    double limit = kStartLimit, saturation = kStartLimit, recent_sends = 0;
    Tenths last_cut = 0, last_rise = 0, window = 0;
    int sent = 0, answers = 0, last_answers = 0;
    int out_at_report = 0, joining = 0; // launches out then; siblings that share this turn's call
    // health
    std::map<std::pair<PartId, LaunchNo>, Tenths> sent_at;
    Standing standing = Standing::kIn;
    double faults = 0;
    Tenths last_answer = 0, next_probe = 0, drained = 0;
    int setbacks = 0, passes = 0, trial_room = 0;
    int silent = 0; // launches given up on unanswered since its last answer, the latest at:
    Tenths silent_at = 0;
    int unanswered = 0; // these and the ones still out for too long
    bool unreachable = false, probe_wanted = false, probe_out = false;
    Tenths cold_from = 0; // its last start, as listed or guessed
    std::deque<Tenths> cold_sends;

    int out() const { return static_cast<int>(sent_at.size()); }
    Tenths oldest() const {
        Tenths first = kNever;
        for (const auto& [launch, at] : sent_at) first = std::min(first, at);
        return first;
    }
};

struct ProductView { // a row a product: what the module reads of it, and what it has learnt
    ProductTerms terms;
    double response = 0, deviation = 0; // of answered launches, fleet-wide
    bool heard = false;
    double parts = 1;      // a search, on average
    Tenths usual_left = 0; // of first tries
    int votes = 0;
};

struct TenantView {
    double room = 0; // searches inside its share that may come now
    Tenths filled = 0;
};

class Mind : public Brain {
  public:
    explicit Mind(OpeningTerms terms) : terms_(std::move(terms)), chance_(terms_.seed) {
        for (const ProductTerms& product : terms_.products) {
            products_.push_back({product, 0, 0, false, 1, 0, 0});
            pace_ = std::min(pace_, static_cast<double>(product.due_span));
        }
        tenants_.resize(terms_.tenants.size());
        ask_wanted_ = terms_.list_mode == ListMode::kAsked;
        if (!terms_.launch_budget) {
            terms_.spare_launches = kFurtherSpare, terms_.further_ratio = kFurtherRatio;
            terms_.budget_span = static_cast<Tenths>(4 * pace_);
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
        for (auto& [id, server] : servers_) review(server);
        full_ = pressure();
        std::erase_if(suspicions_,
                      [&](auto& kept) { return now_ > kept.second.at + kSuspicionSpan * pace_; });
        for (auto& [job, search] : searches_) {
            if (search.fate != Fate::kOpen) continue;
            settle(search);
            if (search.fate == Fate::kOpen) tend(search);
        }
        emit(host);
    }

  private:
    void hear(const SearchTaken& event) {
        auto& product = products_.at(event.product.value);
        Search& search = searches_[event.job];
        search.id = event.id, search.product = event.product;
        search.key = event.key != KeyId{} ? event.key : KeyId{event.job.value};
        search.payoff = product.terms.payoff;
        // The due time counts from the client's first try, and a repeat is given all that is left of the
        // expiry span. Where repeats are not marked, they are told by time left that differs from most
        // searches'.
        const Tenths off = std::abs(event.left - product.usual_left);
        const bool alike = off < kAlike * product.usual_left;
        const bool repeat = terms_.repeats_marked ? event.repeat : !alike && product.votes > 0;
        product.votes += alike ? 1 : -1; // a majority vote
        if (product.votes < 0) product.usual_left = event.left, product.votes = 1;
        const Tenths spent = repeat ? std::max<Tenths>(0, product.terms.expiry_span - event.left) : 0;
        search.due = now_ + product.terms.due_span - spent;
        search.expiry = now_ + event.left;
        if (search.due <= now_) search.payoff *= product.terms.late_share;
        if (!within_share(event.tenant)) search.payoff *= terms_.over_share_payoff;
        jobs_[event.id] = event.job;
        taken_.push_back(now_);
    }

    void hear(const PartTaken& event) {
        taken_.push_back(now_);
        const auto found = searches_.find(event.job);
        if (found == searches_.end() || found->second.fate == Fate::kEnded) return;
        found->second.parts.push_back({event.id, event.shard, event.weight, false, false, false, {}});
        part_of_[event.id] = {event.job, found->second.parts.size() - 1};
    }

    void hear(const SearchLapsed& event) {
        const auto job = jobs_.find(event.id);
        if (job == jobs_.end()) return;
        end(searches_.at(job->second));
    }

    void hear(const ListNews& news) {
        if (news.kind == ListKind::kLost) {
            ask_wanted_ = terms_.list_mode == ListMode::kAsked;
            ask_at_ = now_ + static_cast<Tenths>(pace_ * ++lost_calls_ * (0.5 + chance_.unit()));
            return;
        }
        if (news.kind != ListKind::kSaved) lost_calls_ = 0, ask_wanted_ = false;
        if (news.kind != ListKind::kChanges)
            for (auto& [id, server] : servers_) server.entry.listed = Listed::kGone;
        for (const ListEntry& entry : news.entries) {
            IndexServer& server = servers_[entry.server];
            server.id = entry.server;
            if (entry.born > server.entry.born && entry.born > server.cold_from)
                server.cold_from = entry.born;
            server.entry = entry;
        }
    }

    void hear(const ProbeReturned& event) {
        const auto found = servers_.find(event.server);
        if (found == servers_.end()) return;
        IndexServer& server = found->second;
        server.probe_out = false;
        if (event.passed) hear_report(server, event.report);
        if (server.standing != Standing::kAside) return;
        server.next_probe = now_ + probe_gap(server);
        // A probe that crawls home says that the server still crawls.
        server.passes = event.passed && event.took < pace_ * kMostPatience ? server.passes + 1 : 0;
        if (server.passes < kPassesNeeded) return;
        server.standing = Standing::kTrial, server.trial_room = 1;
        server.faults = 0, server.heard = false, server.silent = 0;
        server.last_answer = now_; // what it still owes from before is not held against it
        // It was away and nobody has said why: it may have started anew, so it counts as cold.
        if (server.unreachable) server.cold_from = std::max(server.cold_from, now_);
        server.unreachable = false;
    }

    void hear(const LaunchReturned& event) {
        const auto found = part_of_.find(event.part);
        if (found == part_of_.end()) return;
        Search& search = searches_.at(found->second.first);
        Part& part = search.parts[found->second.second];
        if (event.launch.value >= part.launches.size()) return;
        Launch& launch = part.launches[event.launch.value];
        if (launch.stage != Stage::kOut) return;
        launch.stage = Stage::kOver;
        launch.may_have_run = event.outcome != Outcome::kTurnedAway &&
                              event.outcome != Outcome::kNoConnection && event.outcome != Outcome::kNeverSent;
        if (event.outcome == Outcome::kAnswered) part.in = true;
        part.quick = part.in && event.took <= patience(products_[search.product.value]);
        suspect(search, launch, event.outcome);
        if (const auto at = servers_.find(launch.server); at != servers_.end()) {
            at->second.sent_at.erase({part.id, event.launch});
            learn(at->second, products_[search.product.value], event);
        }
        if (search.fate == Fate::kEnded) forget(found->second.first);
    }

    void learn(IndexServer& server, ProductView& product, const LaunchReturned& event) {
        const double due = product.terms.due_span;
        const bool good = event.outcome == Outcome::kAnswered;
        if (event.outcome == Outcome::kNeverSent) return;
        if (event.outcome == Outcome::kRecalled) {
            // Called off: all that is known is that it would have taken longer.
            if (server.heard && event.took > server.response) mix(server.response, event.took);
            if (event.took >= silence(server) && server.last_answer <= now_ - event.took) {
                ++server.silent, server.silent_at = now_;
            }
            return;
        }
        // Quick errors look like speed: a failure counts as an answer that took the whole due span.
        double took = good ? static_cast<double>(event.took) : due;
        if (good) {
            server.last_answer = now_, server.silent = 0;
            roll_window(server);
            ++server.answers;
            adapt(server);
            if (!product.heard) product.response = took;
            // One costly search must not make a sound server look slow.
            const double odd = product.response + 2 * kDeviations * std::max(product.deviation, due * 0.02);
            took = std::min(took, product.heard ? odd : took);
            if (product.heard) mix(product.deviation, std::abs(took - product.response));
            mix(product.response, took);
            product.heard = true;
        }
        const double queue = event.report.queued.value_or(event.report.in_flight.value_or(0));
        const double service = took / (1 + queue);
        if (!server.heard) { server.response = took, server.service = service, server.queue = queue; }
        mix(server.response, took);
        if (good) mix(server.service, service);
        hear_report(server, event.report);
        server.heard = server.heard || good;
        mix(server.faults, good ? 0 : 1);
        if (good && server.standing == Standing::kTrial && ++server.trial_room >= kTrialEnd)
            server.standing = Standing::kIn, server.setbacks = 0;
        const bool broken = event.outcome == Outcome::kNoConnection || event.outcome == Outcome::kBroken;
        server.unreachable = server.unreachable || broken;
        if (!good && (broken || server.standing == Standing::kTrial || server.faults > kFaultLimit))
            set_aside(server);
    }

    // Whether the search rather than its servers is slow: two parts of it and more took long, each at a
    // server that answers, and none was quick. To launch those parts again would only double the work.
    bool costly(const Search& search) const {
        int slow = 0;
        for (std::size_t i = search.step_begin; i < search.parts.size(); ++i) {
            const Part& part = search.parts[i];
            if (part.quick) return false;
            slow += std::any_of(part.launches.begin(), part.launches.end(), [&](auto& launch) {
                const IndexServer& server = servers_.at(launch.server);
                return server.standing == Standing::kIn && server.unanswered == 0 &&
                       now_ >= launch.sent + patience(products_[search.product.value]) &&
                       (part.in || launch.stage == Stage::kOut);
            });
        }
        return slow >= kCostlyParts;
    }

    // Searches that break every server they reach. A crash takes one server from many searches; a search that
    // lost two servers is suspect, and so are others of its key: they send one part at a time, to learn from.
    // An answer clears them, one more broken server makes it sure. Could harm when much breaks at once: the
    // searches out at that moment go on one part at a time until the first is answered.
    void suspect(Search& search, const Launch& launch, Outcome outcome) {
        if (outcome == Outcome::kAnswered && launch.alone) suspicions_.erase(search.key);
        if (outcome != Outcome::kBroken) return;
        if (!search.broken.insert(launch.server).second) return;
        Suspicion& suspicion = suspicions_[search.key];
        ++suspicion.broken;
        suspicion.sure = suspicion.sure || launch.alone;
        suspicion.at = now_;
    }

    const Suspicion* suspicion_of(const Search& search) const {
        const auto found = suspicions_.find(search.key);
        return found != suspicions_.end() && found->second.broken >= kBreaksSuspect ? &found->second
                                                                                    : nullptr;
    }

    static void hear_report(IndexServer& server, const LoadReport& report) {
        if (!report.queued && !report.in_flight) return;
        mix(server.queue, report.queued.value_or(report.in_flight.value_or(0)), kFreshReport);
        server.out_at_report = server.out();
    }

    static void mix(double& mean, double fresh, double weight = kFresh) { mean += weight * (fresh - mean); }

    // A long queue is no silence: a server is allowed twice what it usually takes.
    Tenths silence(const IndexServer& server) const {
        return static_cast<Tenths>(std::clamp(2 * response_mean(server), pace_ * kMostPatience, pace_));
    }

    void set_aside(IndexServer& server) {
        if (server.standing == Standing::kAside) return;
        if (server.standing == Standing::kTrial)
            server.setbacks = std::min(server.setbacks + 1, kMostSetbacks);
        server.standing = Standing::kAside;
        server.passes = server.silent = 0;
        server.next_probe = now_ + probe_gap(server);
    }

    Tenths probe_gap(const IndexServer& server) {
        const double gap = pace_ * kProbeGap * (1 << server.setbacks);
        return static_cast<Tenths>(gap * (0.75 + 0.5 * chance_.unit()));
    }

    void roll_window(IndexServer& server) {
        const Tenths window = now_ / kWindow;
        if (window == server.window) return;
        mix(server.recent_sends, window == server.window + 1 ? server.sent : 0);
        server.last_answers = window == server.window + 1 ? server.answers : 0;
        server.window = window;
        server.sent = server.answers = 0;
    }

    void adapt(IndexServer& server) {
        const double answers = std::max(server.answers, server.last_answers);
        if (answers > server.limit) {
            const double reach = now_ - server.last_cut - std::cbrt(kCut * server.saturation / kGamma);
            const double cubic = kGamma * reach * reach * reach + server.saturation;
            server.limit = std::max(server.limit, std::min(server.limit + kStepCap, cubic));
            server.last_rise = now_;
        } else if (answers < server.limit && backlogged(server) && now_ - server.last_rise > kHold) {
            server.saturation = server.limit;
            const double least = std::max(kLeastLimit, kRecentMultiple * server.recent_sends);
            server.limit = std::max(server.limit * kCut, least);
            server.last_cut = now_;
        }
    }

    bool backlogged(const IndexServer& server) const {
        return std::any_of(backlog_.begin(), backlog_.end(),
                           [&](auto& shard) { return shard.second > 0 && holds(server, shard.first); });
    }

    bool holds(const IndexServer& server, ShardNo shard) const {
        const int step = (server.entry.cell.value - shard.value % terms_.cells + terms_.cells) % terms_.cells;
        return step < terms_.span;
    }

    double service_of(const IndexServer& server) const {
        if (server.heard) return std::max(server.service, 1.0);
        double sum = 0, heard = 0;
        for (const auto& [id, other] : servers_)
            if (other.heard) sum += other.service, ++heard;
        return heard > 0 ? sum / heard : pace_ * kUnheardShare;
    }

    double response_mean(const IndexServer& server) const {
        return server.heard ? server.response : service_of(server);
    }

    // C3 expects feedback all the time. Where it is scarce, means grow stale both ways. While launches are
    // out, silence of some length is a response of at least that.
    double response_of(const IndexServer& server) const {
        const double known = response_mean(server);
        const Tenths oldest = server.oldest();
        if (oldest == kNever) return known;
        return std::max(known, static_cast<double>(now_ - std::max(oldest, server.last_answer)));
    }

    // While nothing is out no answer corrects a high mean, but the queue behind it drains with time.
    void drain(IndexServer& server) {
        const double passed = static_cast<double>(now_ - server.drained);
        server.drained = now_;
        if (server.out() > 0 || passed <= 0) return;
        const double service = service_of(server);
        server.queue = std::max(0.0, server.queue - passed / service);
        server.response = std::max(std::min(server.response, service), server.response - passed);
    }

    double score(const IndexServer& server) const {
        const double service = service_of(server);
        // A sibling in the same call spares the work of a call of its own, and no other front node sends it.
        const double joined =
            terms_.call_work > 0 ? service / (service + terms_.call_work) : terms_.front_nodes;
        const double before = (server.out() - server.joining) * terms_.front_nodes;
        const double waiting = 1 + before + server.joining * joined + server.queue;
        return response_of(server) - service + waiting * waiting * waiting * service;
    }

    void review(IndexServer& server) {
        roll_window(server);
        drain(server);
        server.joining = 0;
        // Silence: work taken, nothing answered since. One launch may be lost on its way, so it takes two
        // (one in a trial) to set a server aside; after one it comes last among its like.
        if (now_ >= server.silent_at + static_cast<Tenths>(2 * pace_)) server.silent = 0;
        server.unanswered = server.silent;
        for (const auto& [launch, at] : server.sent_at) {
            if (at < server.last_answer) continue;
            server.unanswered += now_ >= at + silence(server);
            note(at + silence(server));
        }
        if (server.unanswered >= (server.standing == Standing::kTrial ? 1 : kSilentLaunches))
            set_aside(server);
        if (server.standing != Standing::kAside || server.entry.listed != Listed::kLive) return;
        server.probe_wanted = terms_.may_probe && !server.probe_out && now_ >= server.next_probe;
        note(server.next_probe);
    }

    // Rule 4: how many launches may still go to a server that started a short while ago. Its present share of
    // power is at least what an even rise over the stated span gives; its full power is taken from what warm
    // servers do, one part at a time; and the window's budget is divided among all front nodes.
    bool cold_room(IndexServer& server) {
        if (!is_cold(server)) return true;
        const Tenths age = now_ - server.cold_from;
        while (!server.cold_sends.empty() && server.cold_sends.front() <= now_ - terms_.fall_span)
            server.cold_sends.pop_front();
        const double risen = std::max(0.0, 1.0 * age / terms_.cold_span);
        const double share = terms_.cold_share + (1 - terms_.cold_share) * risen;
        double slowest = service_of(server);
        for (const auto& [id, other] : servers_)
            if (other.entry.kind == server.entry.kind) slowest = std::max(slowest, other.service);
        const double parts = terms_.fall_multiple * share * terms_.fall_span / slowest;
        const double room = std::max(1.0, kColdSafety * parts / terms_.front_nodes);
        if (server.cold_sends.size() + 1 <= room) return true;
        note(server.cold_sends.front() + terms_.fall_span);
        return false;
    }

    bool is_cold(const IndexServer& server) const {
        return server.cold_from > 0 && now_ < server.cold_from + terms_.cold_span;
    }

    // Rules 3 and 4 for every launch.
    bool may_serve(IndexServer& server, const Part& part) {
        return server.entry.listed == Listed::kLive && holds(server, part.shard) && cold_room(server);
    }

    // The best replica of a part's shard: the lowest score among those in good standing and under their
    // limit. When none is in good standing, the least bad still gets work.
    IndexServer* choose(Part& part, const ProductView& product, bool sound_only) {
        IndexServer* best = nullptr;
        double best_rank = 0;
        bool limited = false;
        for (auto& [id, server] : servers_) {
            if (!may_serve(server, part)) continue;
            const bool trial = server.standing == Standing::kTrial;
            const bool open = is_open(server);
            const int used = static_cast<int>(std::count_if(part.launches.begin(), part.launches.end(),
                                                            [&](auto& l) { return l.server == server.id; }));
            if (!open && !may_try(server)) continue;
            if (sound_only && (!open || used > 0)) continue;
            limited = limited || server.sent >= server.limit;
            if (server.sent >= server.limit) continue;
            // Classes of standing lie further apart than any score.
            double rank = score(server);
            const bool once = product.terms.effect == Effect::kAtMostOnce;
            const double gulf = 1e12;
            if (!open) rank += gulf * (server.unreachable ? 3 : 2);
            if (trial && once) rank += gulf;
            if (server.unanswered > 0) rank += gulf * 0.25;
            rank += gulf * 0.5 * used;
            if (best == nullptr || rank < best_rank) best = &server, best_rank = rank;
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
        if (view.room < 1) return false;
        view.room -= 1;
        return true;
    }

    Tenths margin() const { return 4 * terms_.turn_gap; }

    Tenths patience(const ProductView& product) const {
        const double due = static_cast<double>(product.terms.due_span);
        const double usual = product.heard ? product.response + kDeviations * product.deviation : due;
        return static_cast<Tenths>(std::clamp(usual, due * kLeastPatience, due * kMostPatience));
    }

    // Ends what is complete, out of time, or beyond hope; the final answer then goes out at once.
    void settle(Search& search) {
        const ProductView& product = products_[search.product.value];
        double in = 0;
        bool all = search.parts.size() > search.step_begin, hopeless = false, out = false;
        for (std::size_t i = search.step_begin; i < search.parts.size(); ++i) {
            const Part& part = search.parts[i];
            if (part.in) in += part.weight;
            all = all && part.in;
            out = out || (!part.in && part.out());
            hopeless = hopeless || (!part.in && !part.out() && !may_go_again(part, product));
        }
        const double need = search.step == 1 ? product.terms.need : 1;
        if (all || (need < 1 && in + kWeightSlack >= need))
            return void(search.fate = search.whole ? Fate::kWhole : Fate::kPartial);
        const bool partial = product.terms.floor < product.terms.need;
        const bool enough = partial && in + kWeightSlack >= product.terms.floor;
        const bool over = now_ >= search.expiry - margin();
        const bool late = now_ >= search.due - margin();
        if (enough && (over || late || (hopeless && !out))) return void(search.fate = Fate::kPartial);
        const bool pointless =
            late && product.terms.late_share <= full_; // in a full fleet it costs others more
        if (over || pointless || (hopeless && !(partial && out))) give_up(search);
        note(late ? search.expiry - margin() : std::min(search.due, search.expiry) - margin());
    }

    void give_up(Search& search) {
        const ProductView& product = products_[search.product.value];
        const bool ran = std::any_of(search.parts.begin(), search.parts.end(),
                                     [](auto& part) { return part.may_have_run(); });
        const bool harmful = suspicion_of(search) != nullptr; // to come again would break more
        const bool harmless = !harmful && (product.terms.effect != Effect::kAtMostOnce || !ran);
        search.fate = harmless ? Fate::kPushedBack : Fate::kScrapped;
        const double wait = std::min(pace_ * kMostPatience, static_cast<double>(terms_.longest_come_back));
        search.come_back = terms_.may_advise ? static_cast<Tenths>(wait * (0.5 + chance_.unit() / 2)) : 0;
    }

    // Rule 2 and the launch limit: whether a part without an answer may be launched at all.
    bool may_go_again(const Part& part, const ProductView& product) const {
        if (static_cast<int>(part.launches.size()) >= terms_.most_launches) return false;
        if (part.launches.empty() || product.terms.effect == Effect::kReissuable) return true;
        if (!part.may_have_run()) return true;
        if (product.terms.effect == Effect::kAtMostOnce) return false;
        Tenths first = kNever;
        for (const Launch& launch : part.launches)
            if (launch.may_have_run) first = std::min(first, launch.sent);
        return now_ < first + product.terms.repeat_window - margin();
    }

    // Rule 6, and our own bound where the terms state none: further launches must not feed a storm.
    bool budget_left() {
        while (!taken_.empty() && taken_.front() <= now_ - terms_.budget_span) taken_.pop_front();
        while (!further_.empty() && further_.front() <= now_ - terms_.budget_span - 1) further_.pop_front();
        const double share = terms_.further_ratio * (1 - full_);
        return further_.size() + 1 <= terms_.spare_launches + share * taken_.size();
    }

    // How long a part would take at the replica that promises most, the sound ones first.
    double forecast(const Part& part) {
        double sound = static_cast<double>(kNever), any = sound;
        const int ahead = backlog_[part.shard];
        for (auto& [id, server] : servers_) {
            if (!may_serve(server, part)) continue;
            if (is_open(server)) sound = std::min(sound, forecast_of(server, ahead));
            if (may_try(server)) any = std::min(any, forecast_of(server, ahead));
        }
        return sound < static_cast<double>(kNever) ? sound : any;
    }

    // How overloaded the fleet is, from 0 to 1: one slow server is no overload, long queues all round are.
    double pressure(const Part* part = nullptr) const {
        double sum = 0, counted = 0;
        for (const auto& [id, server] : servers_)
            if (server.entry.listed == Listed::kLive && server.standing == Standing::kIn &&
                (part == nullptr || holds(server, part->shard)))
                sum += server.heard ? std::min(forecast_of(server), pace_) : 0, ++counted; // unheard: calm
        const double wait = sum / std::max(counted, 1.0) / pace_;
        const double scale = part == nullptr ? 1 : kLocalScale;
        return std::clamp((wait - kCalmWait * scale) / (kFullWait - kCalmWait) / scale, 0.0, 1.0);
    }

    static bool is_open(const IndexServer& server) {
        return server.standing == Standing::kIn ||
               (server.standing == Standing::kTrial && server.out() < server.trial_room);
    }

    // The least bad gets work, but one that nobody reaches only one launch at a time, to learn from.
    static bool may_try(const IndexServer& server) { return !server.unreachable || server.out() == 0; }

    // Its recent response, or, if that is more, what its last report and our sends since make of its queue.
    double forecast_of(const IndexServer& server, int ahead = 0) const {
        const double waiting = ahead + server.queue + std::max(0, server.out() - server.out_at_report);
        return std::max(response_of(server), service_of(server) * (1 + waiting));
    }

    // Pushes back, before any work is done, what would not make it. The less a search pays for its work, the
    // less of its time it may wait; the fuller the fleet, the less it is let in for an answer in part.
    bool admit(Search& search) {
        ProductView& product = products_[search.product.value];
        mix(product.parts, static_cast<double>(search.parts.size()));
        double best = 0;
        for (const ProductView& other : products_) best = std::max(best, other.terms.payoff / other.parts);
        const double paying = std::sqrt(std::min(1.0, search.payoff / search.parts.size() / best));
        const int steps = product.terms.follow_up > 0 ? 2 : 1;
        const Tenths left = (search.due > now_ ? search.due : search.expiry) - now_;
        const double strict = kPatientShare + (kPayingShare - kPatientShare) * paying;
        double missing = 0;
        for (Part& part : search.parts) {
            const double full = std::max(full_, pressure(&part));
            if (forecast(part) * steps > left * (1 - full * (1 - strict))) missing += part.weight;
        }
        missing -= (1 - std::min(product.terms.floor, product.terms.need)) * (1 - full_);
        return missing <= kWeightSlack;
    }

    void tend(Search& search) {
        ProductView& product = products_[search.product.value];
        if (search.parts.empty()) return;
        const bool begun = std::any_of(search.parts.begin(), search.parts.end(),
                                       [](auto& part) { return !part.launches.empty(); });
        if (!begun && !admit(search)) return give_up(search); // asked anew while it waits in the backlog
        const Suspicion* suspicion = suspicion_of(search);
        if (suspicion != nullptr && suspicion->sure) return give_up(search);
        bool out = any_out(search);
        for (std::size_t i = search.step_begin; i < search.parts.size(); ++i) {
            Part& part = search.parts[i];
            if (part.in || (out && suspicion != nullptr)) continue;
            if (part.out())
                hurry(search, part, product);
            else if (launch(part, product))
                part.launches.back().alone = suspicion != nullptr, out = true;
        }
    }

    // A launch that is overdue, or at a server since set aside, gets company where copies are allowed and is
    // otherwise called off, to go elsewhere once that is confirmed.
    void hurry(Search& search, Part& part, ProductView& product) {
        if (product.terms.effect == Effect::kAtMostOnce) return;
        Launch *first = nullptr, *last = nullptr;
        for (Launch& launch : part.launches)
            if (launch.stage != Stage::kOver) first = first == nullptr ? &launch : first, last = &launch;
        const bool aside = servers_[last->server].standing == Standing::kAside;
        const Tenths overdue = last->sent + patience(product);
        if (!aside && now_ < overdue) return note(overdue);
        if (now_ >= search.due || !budget_left() || !may_go_again(part, product)) return;
        if (!aside && costly(search)) return note(last->sent + 2 * patience(product));
        if (first != last) return;
        // Long overdue: even a replica in bad standing beats waiting for one that says nothing.
        const bool sound_only = now_ < last->sent + 2 * patience(product);
        if (sound_only) note(last->sent + 2 * patience(product));
        IndexServer* other = choose(part, product, sound_only);
        if (other == nullptr) return;
        if (terms_.second_copies)
            place(part, *other);
        else if (terms_.may_recall)
            last->wanted = false;
    }

    bool launch(Part& part, const ProductView& product) {
        if (!part.launches.empty() && (!may_go_again(part, product) || !budget_left()))
            return note(now_ + kWindow), false;
        IndexServer* server = choose(part, product, false);
        if (server == nullptr) return note((now_ / kWindow + 1) * kWindow), false;
        return place(part, *server), true;
    }

    void place(Part& part, IndexServer& server) {
        if (!part.launches.empty()) further_.push_back(now_);
        part.launches.push_back({server.id, Stage::kPlanned, true, false, true, false, now_});
        server.sent_at[{part.id, LaunchNo{static_cast<std::uint32_t>(part.launches.size() - 1)}}] = now_;
        ++server.sent, ++server.joining;
        if (is_cold(server)) server.cold_sends.push_back(now_);
    }

    void note(Tenths at) { next_ = std::min(next_, std::max(at, now_ + terms_.turn_gap)); }

    void emit(Host& host) {
        if (ask_wanted_ && now_ >= ask_at_) {
            host.subscribe();
            ask_wanted_ = false;
        }
        backlog_.clear();
        for (auto next = searches_.begin(); next != searches_.end();) {
            auto& [job, search] = *next++;
            const bool answered = search.fate == Fate::kWhole || search.fate == Fate::kPartial;
            const bool first_of_two =
                answered && search.step == 1 && products_[search.product.value].terms.follow_up > 0;
            search.whole = search.fate == Fate::kWhole || (search.whole && !answered);
            if (answered) host.answer(search.id, search.whole);
            if (search.fate == Fate::kPushedBack) host.push_back(search.id, search.come_back);
            if (search.fate == Fate::kScrapped) host.scrap(search.id);
            if (first_of_two) {
                search.step = 2;
                search.step_begin = search.parts.size();
                search.fate = Fate::kOpen;
            } else if (search.fate != Fate::kOpen && search.fate != Fate::kEnded) {
                end(search);
            }
            for (Part& part : search.parts) {
                for (std::size_t i = 0; i < part.launches.size(); ++i) {
                    Launch& launch = part.launches[i];
                    const bool wanted = launch.wanted && !part.in && search.fate == Fate::kOpen;
                    if (launch.stage == Stage::kPlanned) {
                        host.launch(part.id, launch.server, search.expiry - now_);
                        launch.stage = Stage::kOut;
                    } else if (launch.stage == Stage::kOut && !wanted && !launch.recalled &&
                               terms_.may_recall) {
                        host.recall(part.id, LaunchNo{static_cast<std::uint32_t>(i)});
                        launch.recalled = true;
                    }
                }
                if (part.held && search.fate == Fate::kOpen) ++backlog_[part.shard];
            }
            if (search.fate == Fate::kEnded) forget(job);
        }
        for (auto& [id, server] : servers_) {
            if (!server.probe_wanted) continue;
            host.probe(id);
            server.probe_wanted = false;
            server.probe_out = true;
        }
        if (next_ != kNever && (alarm_ <= now_ || next_ < alarm_)) {
            host.wake(next_ - now_);
            alarm_ = next_;
        }
    }

    void end(Search& search) { search.fate = Fate::kEnded, jobs_.erase(search.id); }

    static bool any_out(const Search& search) {
        return std::any_of(search.parts.begin(), search.parts.end(), [](auto& part) { return part.out(); });
    }

    // An ended search is kept until its last launch has returned: that still teaches about its server.
    void forget(JobNo job) {
        const Search& search = searches_.at(job);
        if (any_out(search)) return;
        for (const Part& part : search.parts) part_of_.erase(part.id);
        searches_.erase(job);
    }

    OpeningTerms terms_;
    Pcg chance_;
    double pace_ = 1e9; // the shortest due span: what counts as a while here
    double full_ = 0;   // the pressure at the start of this decision
    Tenths now_ = 0, next_ = kNever, alarm_ = 0;
    std::vector<ProductView> products_;
    std::vector<TenantView> tenants_;
    std::map<JobNo, Search> searches_; // in the order they were taken
    std::map<SearchId, JobNo> jobs_;
    std::map<PartId, std::pair<JobNo, std::size_t>> part_of_;
    std::map<ServerId, IndexServer> servers_;
    std::map<ShardNo, int> backlog_; // parts that wait for a replica of their shard under its limit
    std::map<KeyId, Suspicion> suspicions_;
    std::deque<Tenths> taken_, further_;
    bool ask_wanted_ = false; // a subscription to the list
    int lost_calls_ = 0;
    Tenths ask_at_ = 0;
};

} // namespace

std::unique_ptr<Brain> open_brain(OpeningTerms terms) { return std::make_unique<Mind>(std::move(terms)); }

} // namespace ivyrill
