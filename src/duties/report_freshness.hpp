// Tracks which servers have reported recently. The report interval grows with the fleet
// (agent::ReportPoller), so the limit follows from the observed interval. Pure: the current time is a
// parameter.
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace ivyrill::duties {

class ReportFreshness {
  public:
    void record_report(const std::string& instance, Ticks now) {
        const auto [entry, inserted] = seen_.try_emplace(instance, Seen{now, 0});
        if (!inserted) entry->second = {now, now - entry->second.last};
    }
    void forget_old(Ticks now) {
        std::erase_if(seen_, [now](const auto& entry) { return now - entry.second.last > kRetention; });
    }
    bool is_fresh(const std::string& instance, Ticks now) const {
        const auto found = seen_.find(instance);
        if (found == seen_.end()) return false;
        return now - found->second.last <= std::max(kMinFreshAge, kMissedReports * found->second.interval);
    }

  private:
    struct Seen {
        Ticks last = 0, interval = 0; // between the last two reports
    };
    static constexpr Ticks kMinFreshAge = 3 * kTicksPerSecond;
    static constexpr Ticks kMissedReports = 3; // reports that may be missed
    static constexpr Ticks kRetention = 120 * kTicksPerSecond;
    std::map<std::string, Seen> seen_; // by instance id
};

} // namespace ivyrill::duties
