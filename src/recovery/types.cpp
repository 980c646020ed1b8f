#include "recovery/types.hpp"

#include <algorithm>
#include <array>

namespace ivyrill::recovery {

namespace {
constexpr std::array<const char*, 6> kNames{"sound", "doubted", "severed", "lost", "returning", "warming"};
}

const char* name_of(SiteState state) { return kNames[static_cast<std::size_t>(state)]; }

std::optional<SiteState> site_state_named(const std::string& name) {
    const auto found = std::ranges::find(kNames, name);
    if (found == kNames.end()) return {};
    return static_cast<SiteState>(found - kNames.begin());
}

void TrafficCounts::add(const TrafficCounts& other) {
    for (const auto& [name, addition] : other.servers) {
        ServerCounts& total = servers[name];
        total.answered += addition.answered, total.unanswered += addition.unanswered,
            total.good += addition.good;
        total.response_time += addition.response_time, total.oldest_outstanding = addition.oldest_outstanding;
        total.max_busy = std::max(total.max_busy, addition.max_busy);
        total.idle_answers += addition.idle_answers, total.idle_response_time += addition.idle_response_time;
    }
    for (const auto& [key, addition] : other.classes) {
        RequestClassCounts& total = classes[key];
        total.asked += addition.asked, total.delivered += addition.delivered,
            total.in_time += addition.in_time;
        total.rejected += addition.rejected, total.failed += addition.failed;
        total.parts += addition.parts;
    }
    for (const auto& [shard, count] : other.shards) shards[shard] += count;
    attempts += other.attempts, searches += other.searches;
}

} // namespace ivyrill::recovery
