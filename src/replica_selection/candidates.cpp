// Which servers a request may go to, and where its prompt is at home.
#include "base/hash.hpp"
#include "replica_selection/pair_selector.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::replica_selection {

namespace {

constexpr double kReaderWeight = 1, kRunnerWeight = 0.5; // as homes of prompts: the pace at which each reads
constexpr double kForgetSpan = 4.0 * kTenthsPerSecond; // without answers, means go back to the usual over it
constexpr double kLostHandleLimit = 0.4;               // from which a reader is left alone
constexpr double kBrokenLimit = 0.3;
constexpr std::size_t kHomes = 2;                    // of one prompt: a second for when the first is slow
constexpr double kSlowShare = 0.4;                   // of the latency target, expected for the reading alone
constexpr Tenths kStreamSpan = 2 * kTenthsPerSecond; // before a runner more is read at again
constexpr double kStreamShare = 0.75;                // of a server's slots that they are to fill
// Of a server's slots, places for long answers: below the one a runner is added, above the other one is taken
// away.
constexpr double kLeastFreeShare = 0.1, kMostFreeShare = 0.3;
constexpr double kUnheardShare = 0.5; // of a runner's slots, while it was not reported on

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
    if (tried.contains(server.instance.id)) return Rank::kTried;
    if (server.instance.state == model::InstanceState::kSilent) return Rank::kSilent;
    const bool unsound = server.lost_handles > kLostHandleLimit || server.breaks > kBrokenLimit;
    return unsound || now < server.avoided_until ? Rank::kAvoided : Rank::kGood;
}

PairSelector::Candidates PairSelector::candidates(const Request& request, const std::set<std::string>& tried,
                                                  Tenths now) {
    Candidates found;
    std::array<Rank, 3> best{Rank::kTried, Rank::kTried, Rank::kTried}; // by stage
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
    divide_runners(std::move(runners), request, found, now);
    // The runners read as well: readers that are all in bad standing are not insisted on.
    if (best[static_cast<std::size_t>(model::Stage::kPrefill)] != Rank::kGood) found.readers.clear();
    keep_homes(request, found, now);
    return found;
}

// Long answers go to the first runners of an order that every node finds by the same hash: to so many that
// places are left at them, as all learn from the same reports. What runs on at others after a loss of this
// fleet takes places too.
std::size_t PairSelector::runners_for_streams(const std::vector<Server*>& runners, double free_share) {
    const auto slots = [](const Server* server) {
        return static_cast<double>(std::max<std::int64_t>(1, server->instance.slots));
    };
    double places = 0; // what runs anywhere is taken off, as it may be a long answer
    for (const Server* server : runners)
        places -= server->running_there.value_or(kUnheardShare * slots(server));
    std::size_t count = 0;
    while (count < runners.size() && places < free_share * slots(runners[count]))
        places += kStreamShare * slots(runners[count++]);
    return count;
}

void PairSelector::divide_runners(std::vector<Server*> runners, const Request& request, Candidates& found,
                                  Tenths now) {
    ServiceView& view = services_[request.service];
    const std::uint64_t key = hash_text(request.service, 1);
    std::ranges::sort(runners, std::ranges::greater{},
                      [key](const Server* server) { return hash_text(server->instance.id, key); });
    // One more at once, one fewer only when it is clear and after a while: what runs there goes on for
    // seconds.
    const std::size_t least = runners_for_streams(runners, kLeastFreeShare);
    if (least > view.stream_runners) {
        view.stream_runners = least, view.changed = now;
    } else if (runners_for_streams(runners, kMostFreeShare) < view.stream_runners &&
               now - view.changed >= kStreamSpan) {
        --view.stream_runners, view.changed = now;
    }
    const std::size_t apart = std::min(view.stream_runners, runners.size());
    found.stream_runners.assign(runners.begin(), runners.begin() + static_cast<std::ptrdiff_t>(apart));
    found.reading_runners.assign(runners.begin() + static_cast<std::ptrdiff_t>(apart), runners.end());
}

bool PairSelector::slow(const Server& home, const Request& request, Tenths now) const {
    const Work work = home.instance.stage == model::Stage::kPrefill ? Work::kReadOnly : Work::kReadAndRun;
    const double usual =
        usual_time(work, tokens_of(home, request, work, true, now), false, request.latency_target);
    return response_of(home, work, usual, now) > kSlowShare * static_cast<double>(request.latency_target);
}

// Where a prompt's shared parts are kept: every node finds the same few servers without a word, and few
// prompts move when servers come and go (weighted rendezvous hashing, Thaler and Ravishankar 1998). The
// others are left out, also when the homes are slow: a prompt read where nothing of it is held costs three
// times the work, just when there is too much.
void PairSelector::keep_homes(const Request& request, Candidates& candidates, Tenths now) const {
    if (request.prompt.size() < 2 || streams(request)) return;
    const std::uint64_t key = hash_text(request.prompt[request.prompt.size() - 2].id);
    std::vector<std::pair<double, const Server*>> order;
    const auto look_at = [&](const std::vector<Server*>& servers, double weight) {
        for (const Server* server : servers) {
            const std::uint64_t hash = hash_text(server->instance.id, key);
            const double unit = (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0; // in (0, 1)
            order.emplace_back(-weight / std::log(unit), server);
        }
    };
    look_at(candidates.readers, kReaderWeight);
    look_at(candidates.reading_runners, kRunnerWeight);
    if (order.empty()) return;
    const std::size_t homes = std::min(kHomes, order.size());
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(homes),
                              std::ranges::greater{});
    order.resize(homes);
    candidates.home = order.front().second;
    if (!slow(*candidates.home, request, now)) order.resize(1);
    const auto is_home = [&](const Server* server) {
        return std::ranges::any_of(order, [server](const auto& home) { return home.second == server; });
    };
    std::erase_if(candidates.readers, [&](const Server* server) { return !is_home(server); });
    // What is fetched is kept too, and would push the prompts that are at home there out of a reading
    // runner's memory.
    if (candidates.stream_runners.empty()) candidates.stream_runners = candidates.reading_runners;
    std::erase_if(candidates.reading_runners, [&](const Server* server) { return !is_home(server); });
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
