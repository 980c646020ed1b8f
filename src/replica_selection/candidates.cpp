// Which servers a request may go to, and where its prompt is at home.
#include "base/hash.hpp"
#include "replica_selection/mechanism.hpp"
#include "replica_selection/pair_selector.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::replica_selection {

namespace {

constexpr double kReaderWeight = 1, kRunnerWeight = 0.5; // as homes of prompts: the pace at which each reads
constexpr double kForgetSpan = 4.0 * kTenthsPerSecond; // without answers, means go back to the usual over it
constexpr double kLostHandleLimit = 0.4;               // from which a reader is left alone
constexpr double kBrokenLimit = 0.3;
constexpr std::size_t kHomes = 2; // of one prompt and kind: a second for when the first is slow
// Of a reader's time: what it may begin to read before its reports tell, which are some hundred ms old.
constexpr double kLeastReading = 0.5;
constexpr double kFreeLinks = 0.9; // of the links' time: below it a move waits for no more than five
constexpr double kSlowShare = 0.4; // of the latency target, expected for the reading alone

bool serves(const model::Instance& instance, const Request& request) {
    if (instance.service != request.service || !instance.may_be_sent_to()) return false;
    if (instance.models.empty() || request.model.empty()) return true;
    return std::ranges::any_of(instance.models,
                               [&](const auto& served) { return served.name == request.model; });
}

void mix(double& mean, double fresh, double weight) { mean += weight * (fresh - mean); }

} // namespace

PairSelector::Rank PairSelector::rank(const Server& server, const std::set<std::string>& tried,
                                      Tenths now) const {
    if (now < server.changing_until) return Rank::kChanging;
    if (tried.contains(server.instance.id)) return Rank::kTried;
    if (server.instance.state == model::InstanceState::kSilent) return Rank::kSilent;
    const bool unsound = server.lost_handles > kLostHandleLimit || server.breaks > kBrokenLimit;
    return unsound || now < server.avoided_until ? Rank::kAvoided : Rank::kGood;
}

PairSelector::Candidates PairSelector::candidates(const Request& request, const std::set<std::string>& tried,
                                                  Tenths now) {
    Candidates found;
    std::array<Rank, 3> best{Rank::kChanging, Rank::kChanging, Rank::kChanging}; // by stage
    for (auto& [id, server] : servers_) {
        if (!serves(server.instance, request)) continue;
        relax(server, now);
        Rank& least = best[static_cast<std::size_t>(server.instance.stage)];
        least = std::min(least, rank(server, tried, now));
    }
    std::vector<Server*> runners;
    for (auto& [id, server] : servers_) {
        const model::Stage stage = server.instance.stage;
        if (!serves(server.instance, request)) continue;
        if (rank(server, tried, now) > best[static_cast<std::size_t>(stage)]) continue;
        if (!server.limit.has_room(now)) {
            found.limited = true;
            continue;
        }
        auto& list = stage == model::Stage::kPrefill  ? found.readers
                     : stage == model::Stage::kDecode ? runners
                                                      : found.plain;
        list.push_back(&server);
    }
    divide_runners(runners, request, found, now);
    // The runners read as well: readers that are all in bad standing are not insisted on.
    if (best[static_cast<std::size_t>(model::Stage::kPrefill)] != Rank::kGood) found.readers.clear();
    keep_homes(request, found, now);
    return found;
}

// Every node finds the same runners, as all learn from the same reports and see like shares of the moves.
void PairSelector::divide_runners(const std::vector<Server*>& runners, const Request& request,
                                  Candidates& found, Tenths now) {
    std::vector<const model::Instance*> instances;
    for (const Server* server : runners) instances.push_back(&server->instance);
    std::vector<Server*> ordered;
    std::vector<DecodeServerLoad> loads;
    for (const std::size_t index : decode_server_order(instances, request.service)) {
        Server* server = runners[index];
        ordered.push_back(server);
        loads.push_back(
            {static_cast<double>(std::max<std::int64_t>(1, server->instance.slots)), server->running_there});
    }
    ServiceView& view = services_[request.service];
    double reading = 0; // readers that read
    for (const Server* reader : found.readers) reading += std::max(kLeastReading, reader->reading_share);
    const double links_for_reader = view.hand_overs.links_for_reader();
    const bool for_moves = in_use(Mechanism::kRunnersForLinks) && view.hand_overs.worth_a_runner();
    const double busy = reading * links_for_reader;
    const std::size_t apart = in_use(Mechanism::kRunnersApart)
                                  ? view.division.dedicated_count(loads, for_moves ? busy : 0, now)
                                  : 0;
    const double links = static_cast<double>(std::max<std::size_t>(1, apart));
    const double most = links_for_reader * static_cast<double>(found.readers.size());
    view.links_taken = busy / links;
    view.carried = for_moves || most <= 0 ? 1 : std::min(1.0, kMaxLinkUtilization * links / most);
    const auto middle = ordered.begin() + static_cast<std::ptrdiff_t>(apart);
    found.stream_runners.assign(ordered.begin(), middle);
    found.reading_runners.assign(middle, ordered.end());
}

// The first homes of a part, best first.
std::vector<PairSelector::Home> PairSelector::homes_of(const std::string& part,
                                                       const std::vector<WeightedServer>& servers) {
    const std::uint64_t key = hash_text(part);
    std::vector<Home> order;
    for (const WeightedServer& one : servers) {
        const std::uint64_t hash = hash_text(one.server->instance.id, key);
        const double unit = (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0; // in (0, 1)
        order.push_back({one.server, -one.weight / std::log(unit)});
    }
    const std::size_t homes = std::min(kHomes, order.size());
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(homes),
                              std::ranges::greater{}, &Home::weight);
    order.resize(homes);
    return order;
}

// Until the prompt is read, and where its home only reads also until its memory begins to move.
bool PairSelector::slow(const Server& home, const Request& request, Tenths now) const {
    const bool only_reads = home.instance.stage == model::Stage::kPrefill;
    const Work work = only_reads ? Work::kPrefillOnly : Work::kPrefillAndDecode;
    const double usual =
        usual_time(work, tokens_of(home, request, work, true, now), false, request.latency_target);
    double expected = response_of(home, work, usual, now);
    if (only_reads) expected += link_wait(request.service);
    const double most = kSlowShare * static_cast<double>(request.latency_target);
    return expected > most || (only_reads && !links_are_free(request, now));
}

// By what the readers' load asks of them, and by how long moves took of late.
bool PairSelector::links_are_free(const Request& request, Tenths now) const {
    const auto found = services_.find(request.service);
    if (!in_use(Mechanism::kLinksWatched) || found == services_.end()) return true;
    const ServiceView& view = found->second;
    const double most = kSlowShare * static_cast<double>(request.latency_target);
    return view.links_taken < kFreeLinks && view.hand_overs.fetch_time(now) < most;
}

// Where a prompt's shared parts are kept: every node finds the same few servers without a word, and few
// prompts move when servers come and go (weighted rendezvous hashing, Thaler and Ravishankar 1998). The
// others are left out, also when the homes are slow: a prompt read where nothing of it is held costs three
// times the work, just when there is too much. What makes one kind of home slow (readers' queues, links,
// runners that read at half the pace) does so for all of its kind, so the second home is of the other kind.
void PairSelector::keep_homes(const Request& request, Candidates& candidates, Tenths now) const {
    if (!in_use(Mechanism::kHomes) || request.prompt.size() < 2 || streams(request)) return;
    const std::string& shared = request.prompt[request.prompt.size() - 2].id;
    const auto view = services_.find(request.service);
    const double carried = view == services_.end() ? 1 : view->second.carried;
    std::vector<WeightedServer> readers, runners;
    for (const Server* server : candidates.readers) readers.push_back({server, kReaderWeight * carried});
    for (const Server* server : candidates.reading_runners) runners.push_back({server, kRunnerWeight});
    const std::vector<Home> by_readers = homes_of(shared, readers), by_runners = homes_of(shared, runners);
    std::vector<Home> homes = by_readers;
    homes.insert(homes.end(), by_runners.begin(), by_runners.end());
    if (homes.empty()) return;
    std::ranges::sort(homes, std::ranges::greater{}, &Home::weight);
    candidates.home = homes.front().server;
    const Server* second = nullptr;
    if (in_use(Mechanism::kSecondHome) && slow(*candidates.home, request, now)) {
        // A reader reads at twice the pace, where the links can take what it reads.
        std::vector<Home> seconds;
        if (in_use(Mechanism::kReaderAsSecond))
            seconds = links_are_free(request, now) ? by_readers : by_runners;
        seconds.insert(seconds.end(), homes.begin(), homes.end());
        const auto other =
            std::ranges::find_if(seconds, [&](const Home& home) { return home.server != candidates.home; });
        if (other != seconds.end()) second = other->server;
    }
    const auto is_none = [&](const Server* server) { return server != candidates.home && server != second; };
    std::erase_if(candidates.readers, is_none);
    // What is fetched is kept too, and would push the prompts that are at home there out of a reading
    // runner's memory.
    if (candidates.stream_runners.empty()) candidates.stream_runners = candidates.reading_runners;
    std::erase_if(candidates.reading_runners, is_none);
}

void PairSelector::relax(Server& server, Tenths now) {
    const double passed = static_cast<double>(now - server.relaxed);
    server.relaxed = now;
    if (passed <= 0 || !server.unanswered.empty()) return;
    const double share = 1 - std::exp(-passed / kForgetSpan);
    for (Estimate& estimate : server.estimates) {
        mix(estimate.response, 1, share);
        mix(estimate.service, 1, share);
    }
    mix(server.lost_handles, 0, share);
    mix(server.breaks, 0, share);
}

} // namespace ivyrill::replica_selection
