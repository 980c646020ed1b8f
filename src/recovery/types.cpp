#include "recovery/types.hpp"

#include <algorithm>
#include <array>

namespace ivyrill::recovery {

namespace {
constexpr std::array<const char*, 6> kWords{"sound", "doubted", "severed", "lost", "returning", "warming"};
}

const char* word_of(SiteState state) { return kWords[static_cast<std::size_t>(state)]; }

std::optional<SiteState> state_named(const std::string& word) {
    const auto found = std::ranges::find(kWords, word);
    if (found == kWords.end()) return {};
    return static_cast<SiteState>(found - kWords.begin());
}

void Tally::add(const Tally& other) {
    for (const auto& [name, more] : other.servers) {
        ServerTally& mine = servers[name];
        mine.answered += more.answered, mine.unheard += more.unheard, mine.good += more.good;
        mine.took += more.took, mine.oldest_out = more.oldest_out;
        mine.busy = std::max(mine.busy, more.busy);
        mine.quiet += more.quiet, mine.quiet_took += more.quiet_took;
    }
    for (const auto& [key, more] : other.classes) {
        ClassTally& mine = classes[key];
        mine.asked += more.asked, mine.delivered += more.delivered, mine.in_time += more.in_time;
        mine.rejected += more.rejected, mine.failed += more.failed;
        mine.parts += more.parts;
    }
    for (const auto& [shard, count] : other.shards) shards[shard] += count;
    attempts += other.attempts, searches += other.searches;
}

} // namespace ivyrill::recovery
