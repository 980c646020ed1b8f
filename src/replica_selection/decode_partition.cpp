#include "replica_selection/decode_partition.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <tuple>

namespace ivyrill::replica_selection {

namespace {

constexpr Ticks kReleaseDelay = 4 * kTicksPerSecond; // before a dedicated server is released
constexpr double kTargetFill = 0.75;                 // share of a server's slots that long answers may fill
// Free slots for long answers, as a share of one server's: below the first a server is added, above the
// second one is released.
constexpr double kMinFreeShare = 0.1, kMostFreeShare = 0.3;
constexpr double kUnknownShare = 0.5; // assumed load of a server without a report, as a share of its slots
// Above kMaxLinkUtilization a server is added, below this one is released. The distance is large because the
// load of a small service's few prefill servers fluctuates, and long answers keep running at a server that
// starts to prefill.
constexpr double kMinLinkUtilization = 0.3;

// Every running request is counted as a long answer, wherever it runs: after a restart of this fleet too.
std::size_t needed_for_answers(const std::vector<DecodeServerLoad>& servers, double free_share) {
    double places = 0;
    for (const DecodeServerLoad& server : servers)
        places -= server.running.value_or(kUnknownShare * server.slots);
    std::size_t count = 0;
    while (count < servers.size() && places < free_share * servers[count].slots)
        places += kTargetFill * servers[count++].slots;
    return count;
}

std::size_t needed_for_transfers(double busy_links, double utilization) {
    return static_cast<std::size_t>(std::ceil(busy_links / utilization));
}

} // namespace

std::size_t DecodePartition::dedicated_count(const std::vector<DecodeServerLoad>& servers, double busy_links,
                                             Ticks now) {
    const std::size_t least =
        std::min(servers.size(), std::max(needed_for_answers(servers, kMinFreeShare),
                                          needed_for_transfers(busy_links, kMaxLinkUtilization)));
    const std::size_t most = std::max(needed_for_answers(servers, kMostFreeShare),
                                      needed_for_transfers(busy_links, kMinLinkUtilization));
    // Grows at once, shrinks by one server after a delay: requests running there go on for seconds, and
    // prompts that had other owners are prefilled again.
    if (least > dedicated_) {
        dedicated_ = least, changed_at_ = now;
    } else if (most < dedicated_ && now - changed_at_ >= kReleaseDelay) {
        --dedicated_, changed_at_ = now;
    }
    return std::min(dedicated_, servers.size());
}

std::vector<std::size_t> decode_server_order(const std::vector<const model::Instance*>& instances,
                                             const std::string& service) {
    const std::uint64_t key = hash_text(service, 1);
    std::vector<std::uint64_t> hashes;
    for (const model::Instance* instance : instances) hashes.push_back(hash_text(instance->id, key));
    std::vector<std::size_t> order(instances.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::sort(order, std::ranges::greater{}, [&](std::size_t index) { return hashes[index]; });
    std::map<std::string, std::size_t> counts; // by zone
    std::vector<std::size_t> round(instances.size());
    for (const std::size_t index : order) round[index] = counts[instances[index]->zone]++;
    std::ranges::stable_sort(order, std::ranges::less{}, [&](std::size_t index) { return round[index]; });
    return order;
}

} // namespace ivyrill::replica_selection
