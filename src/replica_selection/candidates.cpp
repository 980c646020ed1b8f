// Candidate servers of a request, and the owners of its prompt.
#include "base/hash.hpp"
#include "replica_selection/mechanism.hpp"
#include "replica_selection/pair_selector.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::replica_selection {

namespace {

constexpr double kPrefillWeight = 1, kDecodeWeight = 0.5; // as owners of prompts: relative prefill speed
constexpr double kDecayTime = 4.0 * kTicksPerSecond;      // time constant, without answers
constexpr double kMaxHandleLoss = 0.4;                    // above it a prefill server is avoided
constexpr double kMaxBreakRate = 0.3;
constexpr std::size_t kOwnersPerKind =
    2; // per prompt and kind of server: the second is used while the first is slow
// Of a prefill server's time: prefills that may start before the reports, a few hundred ms old, show them.
constexpr double kMinPrefillShare = 0.5;
constexpr double kFreeLinkUtilization =
    0.9;                           // below this utilization a transfer waits for at most five others
constexpr double kSlowShare = 0.4; // of the latency target, for the prefill alone

bool serves(const model::Instance& instance, const Request& request) {
    if (instance.service != request.service || !instance.is_routable()) return false;
    if (instance.models.empty() || request.model.empty()) return true;
    return std::ranges::any_of(instance.models,
                               [&](const auto& served) { return served.name == request.model; });
}

void mix(double& mean, double sample, double weight) { mean += weight * (sample - mean); }

} // namespace

PairSelector::Rank PairSelector::rank(const Server& server, const std::set<std::string>& tried,
                                      Ticks now) const {
    if (now < server.changing_until) return Rank::kChanging;
    if (tried.contains(server.instance.id)) return Rank::kTried;
    if (server.instance.state == model::InstanceState::kSilent) return Rank::kSilent;
    const bool unsound = server.handle_loss_rate > kMaxHandleLoss || server.break_rate > kMaxBreakRate;
    return unsound || now < server.avoided_until ? Rank::kAvoided : Rank::kHealthy;
}

PairSelector::Candidates PairSelector::candidates(const Request& request, const std::set<std::string>& tried,
                                                  Ticks now) {
    Candidates found;
    std::array<Rank, 3> best{Rank::kChanging, Rank::kChanging, Rank::kChanging}; // by stage
    for (auto& [id, server] : servers_) {
        if (!serves(server.instance, request)) continue;
        decay(server, now);
        Rank& least = best[static_cast<std::size_t>(server.instance.stage)];
        least = std::min(least, rank(server, tried, now));
    }
    std::vector<Server*> decode_servers;
    for (auto& [id, server] : servers_) {
        const model::Stage stage = server.instance.stage;
        if (!serves(server.instance, request)) continue;
        if (rank(server, tried, now) > best[static_cast<std::size_t>(stage)]) continue;
        if (!server.limiter.has_room(now)) {
            found.limited = true;
            continue;
        }
        auto& list = stage == model::Stage::kPrefill  ? found.prefill_servers
                     : stage == model::Stage::kDecode ? decode_servers
                                                      : found.unstaged;
        list.push_back(&server);
    }
    partition_decode_servers(decode_servers, request, found, now);
    // Decode servers can prefill as well, so unhealthy prefill servers are not used.
    if (best[static_cast<std::size_t>(model::Stage::kPrefill)] != Rank::kHealthy)
        found.prefill_servers.clear();
    keep_prompt_owners(request, found, now);
    return found;
}

// Every node computes the same partition, as all have the same reports and similar shares of the transfers.
void PairSelector::partition_decode_servers(const std::vector<Server*>& decode_servers,
                                            const Request& request, Candidates& found, Ticks now) {
    std::vector<const model::Instance*> instances;
    for (const Server* server : decode_servers) instances.push_back(&server->instance);
    std::vector<Server*> ordered;
    std::vector<DecodeServerLoad> loads;
    for (const std::size_t index : decode_server_order(instances, request.service)) {
        Server* server = decode_servers[index];
        ordered.push_back(server);
        loads.push_back({static_cast<double>(std::max<std::int64_t>(1, server->instance.slots)),
                         server->reported_running});
    }
    ServiceState& view = services_[request.service];
    double busy_servers = 0; // busy prefill servers
    for (const Server* prefill_server : found.prefill_servers)
        busy_servers += std::max(kMinPrefillShare, prefill_server->prefill_share);
    const double links_per_prefill_server = view.kv_transfers.links_per_prefill_server();
    const bool for_transfers =
        in_use(Mechanism::kDecodeServersForTransfers) && view.kv_transfers.worth_dedicated_server();
    const double busy_links = busy_servers * links_per_prefill_server;
    const std::size_t dedicated =
        in_use(Mechanism::kDedicatedDecodeServers)
            ? view.partition.dedicated_count(loads, for_transfers ? busy_links : 0, now)
            : 0;
    const double links = static_cast<double>(std::max<std::size_t>(1, dedicated));
    const double max_links = links_per_prefill_server * static_cast<double>(found.prefill_servers.size());
    view.link_utilization = busy_links / links;
    view.carried_share =
        for_transfers || max_links <= 0 ? 1 : std::min(1.0, kMaxLinkUtilization * links / max_links);
    const auto middle = ordered.begin() + static_cast<std::ptrdiff_t>(dedicated);
    found.dedicated_servers.assign(ordered.begin(), middle);
    found.mixed_servers.assign(middle, ordered.end());
}

// The owners of a prompt part, best first.
std::vector<PairSelector::RankedOwner> PairSelector::owners_of(const std::string& part,
                                                               const std::vector<WeightedServer>& servers) {
    const std::uint64_t key = hash_text(part);
    std::vector<RankedOwner> order;
    for (const WeightedServer& one : servers) {
        const std::uint64_t hash = hash_text(one.server->instance.id, key);
        const double unit = (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0; // in (0, 1)
        order.push_back({one.server, -one.weight / std::log(unit)});
    }
    const std::size_t owners = std::min(kOwnersPerKind, order.size());
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(owners),
                              std::ranges::greater{}, &RankedOwner::weight);
    order.resize(owners);
    return order;
}

// By the time until the prompt is prefilled, and at a prefill server until its KV transfer begins.
bool PairSelector::slow(const Server& owner, const Request& request, Ticks now) const {
    const bool only_reads = owner.instance.stage == model::Stage::kPrefill;
    const Work work = only_reads ? Work::kPrefillOnly : Work::kPrefillAndDecode;
    const double usual =
        typical_time(work, missing_tokens(owner, request, work, true, now), false, request.latency_target);
    double expected = response_of(owner, work, usual, now);
    if (only_reads) expected += link_wait(request.service);
    const double most = kSlowShare * static_cast<double>(request.latency_target);
    return expected > most || (only_reads && !links_are_free(request, now));
}

// By the load from the prefill servers and the recent transfer times.
bool PairSelector::links_are_free(const Request& request, Ticks now) const {
    const auto found = services_.find(request.service);
    if (!in_use(Mechanism::kLinkLoad) || found == services_.end()) return true;
    const ServiceState& view = found->second;
    const double most = kSlowShare * static_cast<double>(request.latency_target);
    return view.link_utilization < kFreeLinkUtilization && view.kv_transfers.fetch_time(now) < most;
}

// Reduces the candidates to the owners of the prompt's shared part. Every node computes the same few servers
// without coordination, and few prompts move when servers are added or removed (weighted rendezvous hashing,
// Thaler and Ravishankar 1998). The others are left out even if the owners are slow: prefilling a prompt
// without cached parts costs three times the work, just when load is too high. The causes of a slow owner
// (queues of prefill servers, links, decode servers that prefill at half the speed) affect all servers of its
// kind, so the second owner is of the other kind.
void PairSelector::keep_prompt_owners(const Request& request, Candidates& candidates, Ticks now) const {
    if (!in_use(Mechanism::kPromptOwners) || request.prompt.size() < 2 || is_streaming(request)) return;
    const std::string& shared = request.prompt[request.prompt.size() - 2].id;
    const auto view = services_.find(request.service);
    const double carried_share = view == services_.end() ? 1 : view->second.carried_share;
    std::vector<WeightedServer> prefill_servers, decode_servers;
    for (const Server* server : candidates.prefill_servers)
        prefill_servers.push_back({server, kPrefillWeight * carried_share});
    for (const Server* server : candidates.mixed_servers) decode_servers.push_back({server, kDecodeWeight});
    const std::vector<RankedOwner> prefill_owners = owners_of(shared, prefill_servers),
                                   decode_owners = owners_of(shared, decode_servers);
    std::vector<RankedOwner> owners = prefill_owners;
    owners.insert(owners.end(), decode_owners.begin(), decode_owners.end());
    if (owners.empty()) return;
    std::ranges::sort(owners, std::ranges::greater{}, &RankedOwner::weight);
    candidates.owner = owners.front().server;
    const Server* second = nullptr;
    if (in_use(Mechanism::kSecondOwner) && slow(*candidates.owner, request, now)) {
        // A prefill server is twice as fast, if the links can carry its output.
        std::vector<RankedOwner> seconds;
        if (in_use(Mechanism::kPrefillServerAsSecondOwner))
            seconds = links_are_free(request, now) ? prefill_owners : decode_owners;
        seconds.insert(seconds.end(), owners.begin(), owners.end());
        const auto other = std::ranges::find_if(
            seconds, [&](const RankedOwner& owner) { return owner.server != candidates.owner; });
        if (other != seconds.end()) second = other->server;
    }
    const auto is_other = [&](const Server* server) {
        return server != candidates.owner && server != second;
    };
    std::erase_if(candidates.prefill_servers, is_other);
    // Fetched KV data is cached too, and would evict the prompts that a mixed decode server owns.
    if (candidates.dedicated_servers.empty()) candidates.dedicated_servers = candidates.mixed_servers;
    std::erase_if(candidates.mixed_servers, is_other);
}

void PairSelector::decay(Server& server, Ticks now) {
    const double passed = static_cast<double>(now - server.decayed_at);
    server.decayed_at = now;
    if (passed <= 0 || !server.unanswered.empty()) return;
    const double share = 1 - std::exp(-passed / kDecayTime);
    for (Estimate& estimate : server.estimates) {
        mix(estimate.response, 1, share);
        mix(estimate.service, 1, share);
    }
    mix(server.handle_loss_rate, 0, share);
    mix(server.break_rate, 0, share);
}

} // namespace ivyrill::replica_selection
