#include "replica_selection/decode_partition.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <tuple>

namespace ivyrill::replica_selection {

namespace {

constexpr Tenths kChangeSpan = 4 * kTenthsPerSecond; // before one runner fewer is kept apart
constexpr double kAnswerShare = 0.75;                // of a server's slots that long answers are to fill
// Of a server's slots, places for long answers: below the one a runner is added, above the other one is taken
// away.
constexpr double kLeastFreeShare = 0.1, kMostFreeShare = 0.3;
constexpr double kUnheardShare = 0.5; // of a runner's slots, while it was not reported on
// Above kMaxLinkUtilization a runner is added, below this one is taken away. Far below, as the few readers of
// a small service are busy by chance, and long answers go on at a runner that begins to read.
constexpr double kLeastLinkShare = 0.3;

// Places: what runs anywhere is taken off, as it may be a long answer, also after a loss of this fleet.
std::size_t needed_for_answers(const std::vector<DecodeServerLoad>& runners, double free_share) {
    double places = 0;
    for (const DecodeServerLoad& runner : runners)
        places -= runner.running.value_or(kUnheardShare * runner.slots);
    std::size_t count = 0;
    while (count < runners.size() && places < free_share * runners[count].slots)
        places += kAnswerShare * runners[count++].slots;
    return count;
}

std::size_t needed_for_moves(double links_busy, double link_share) {
    return static_cast<std::size_t>(std::ceil(links_busy / link_share));
}

} // namespace

std::size_t DecodePartition::dedicated_count(const std::vector<DecodeServerLoad>& runners, double links_busy,
                                             Tenths now) {
    const std::size_t least =
        std::min(runners.size(), std::max(needed_for_answers(runners, kLeastFreeShare),
                                          needed_for_moves(links_busy, kMaxLinkUtilization)));
    const std::size_t most =
        std::max(needed_for_answers(runners, kMostFreeShare), needed_for_moves(links_busy, kLeastLinkShare));
    // One more at once, one fewer only when it is clear and after a while: what runs there goes on for
    // seconds, and prompts that were at home elsewhere are read again.
    if (least > kept_) {
        kept_ = least, changed_ = now;
    } else if (most < kept_ && now - changed_ >= kChangeSpan) {
        --kept_, changed_ = now;
    }
    return std::min(kept_, runners.size());
}

std::vector<std::size_t> decode_server_order(const std::vector<const model::Instance*>& instances,
                                             const std::string& service) {
    const std::uint64_t key = hash_text(service, 1);
    std::vector<std::uint64_t> hashes;
    for (const model::Instance* instance : instances) hashes.push_back(hash_text(instance->id, key));
    std::vector<std::size_t> order(instances.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::sort(order, std::ranges::greater{}, [&](std::size_t index) { return hashes[index]; });
    std::map<std::string, std::size_t> taken; // of each zone
    std::vector<std::size_t> turn(instances.size());
    for (const std::size_t index : order) turn[index] = taken[instances[index]->zone]++;
    std::ranges::stable_sort(order, std::ranges::less{}, [&](std::size_t index) { return turn[index]; });
    return order;
}

} // namespace ivyrill::replica_selection
