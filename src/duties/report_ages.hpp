// Which servers were reported on lately. Reports come more seldom in a larger fleet (agent::ReportReader), so
// what is lately follows from how far apart they came. Pure: the clock is handed in.
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace ivyrill::duties {

class ReportAges {
  public:
    void reported(const std::string& instance, Tenths now) {
        const auto [place, fresh] = seen_.try_emplace(instance, Seen{now, 0});
        if (!fresh) place->second = {now, now - place->second.at};
    }
    void forget_old(Tenths now) {
        std::erase_if(seen_, [now](const auto& entry) { return now - entry.second.at > kForgotten; });
    }
    bool is_fresh(const std::string& instance, Tenths now) const {
        const auto found = seen_.find(instance);
        if (found == seen_.end()) return false;
        return now - found->second.at <= std::max(kLeastAge, kMissed * found->second.gap);
    }

  private:
    struct Seen {
        Tenths at = 0, gap = 0; // between the last two
    };
    static constexpr Tenths kLeastAge = 3 * kTenthsPerSecond;
    static constexpr Tenths kMissed = 3; // reports that may fail to come
    static constexpr Tenths kForgotten = 120 * kTenthsPerSecond;
    std::map<std::string, Seen> seen_; // by instance
};

} // namespace ivyrill::duties
