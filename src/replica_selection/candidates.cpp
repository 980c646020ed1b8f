// Which servers a request may go to, and where its prompt is at home.
#include "base/hash.hpp"
#include "replica_selection/pair_selector.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::replica_selection {

namespace {

constexpr double kReaderWeight = 1, kRunnerWeight = 0.5; // as homes of prompts: the pace at which each reads
constexpr double kForgetSpan = 4.0 * kTenthsPerSecond;   // without answers, means go back to the usual over it
constexpr double kLostHandleLimit = 0.4;                 // from which a reader is left alone
constexpr double kBrokenLimit = 0.3;

bool serves(const model::Instance& instance, const Request& request) {
    if (instance.service != request.service || !instance.may_be_sent_to()) return false;
    if (instance.models.empty() || request.model.empty()) return true;
    return std::ranges::any_of(instance.models, [&](const auto& served) { return served.name == request.model; });
}

void mix(double& mean, double fresh, double weight) { mean += weight * (fresh - mean); }

} // namespace

PairSelector::Rank PairSelector::rank(const Server& server, const std::set<std::string>& tried, Tenths now) const {
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
    for (auto& [id, server] : servers_) {
        const model::Stage stage = server.instance.stage;
        if (!serves(server.instance, request)) continue;
        if (rank(server, tried, now) > best[static_cast<std::size_t>(stage)]) continue;
        if (!server.limit.has_room(now)) {
            found.limited = true;
            continue;
        }
        auto& list = stage == model::Stage::kPrefill  ? found.readers
                     : stage == model::Stage::kDecode ? found.runners
                                                      : found.plain;
        list.push_back(&server);
    }
    // The runners read as well: readers that are all in bad standing are not insisted on.
    if (best[static_cast<std::size_t>(model::Stage::kPrefill)] != Rank::kGood) found.readers.clear();
    return found;
}

// Where a prompt's shared parts are kept: every node finds the same server without a word, and few prompts move when
// servers come and go (weighted rendezvous hashing, Thaler and Ravishankar 1998).
const PairSelector::Server* PairSelector::home(const Request& request, const Candidates& candidates) const {
    if (request.prompt.size() < 2) return nullptr;
    const std::uint64_t key = hash_text(request.prompt[request.prompt.size() - 2].id);
    const Server* home = nullptr;
    double best = 0;
    const auto look_at = [&](const std::vector<Server*>& servers, double weight) {
        for (const Server* server : servers) {
            const std::uint64_t hash = hash_text(server->instance.id, key);
            const double unit = (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0; // in (0, 1)
            const double rank = -weight / std::log(unit);
            if (home == nullptr || rank > best) home = server, best = rank;
        }
    };
    look_at(candidates.readers, kReaderWeight);
    look_at(candidates.runners, kRunnerWeight);
    return home;
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
