// How many requests began to run, by tenant and window of the fleet's time, as this proxy saw their first
// tokens. Whole counts are told while they grow, so that little is lost with a process that is killed. Pure:
// the steady clock is handed in, the fleet's time as it is told.
#pragma once
#include "base/time.hpp"
#include "clock/synced_clock.hpp"
#include "model/usage.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ivyrill::proxy {

class UsageMeter {
  public:
    // `process`: drawn at random. `window_ms` 0: nothing is counted.
    UsageMeter(std::uint64_t process, std::int64_t window_ms) : process_(process), window_ms_(window_ms) {}

    bool counts() const { return window_ms_ > 0; }
    void time_told(const clock::FleetTime& time, Tenths now) { clock_.update(time, now); }

    // The first token of a request of that tenant has come; once for each request. An empty name is of none.
    void began(const std::string& tenant, Tenths now) {
        if (!counts() || tenant.empty()) return;
        const auto time = clock_.at(now);
        if (!time) {
            ++without_time_;
            return;
        }
        // What was told as counted to the end is not added to, though the clock be set back.
        Window& window = windows_[std::max(time->unix_ms, counted_until_ms_) / window_ms_];
        const auto [place, fresh] = window.counts.try_emplace(tenant);
        Count& count = place->second;
        ++count.count, ++window.total;
        if (!std::exchange(count.is_changed, true)) window.changed.push_back(&*place);
    }

    // What is to be told now: tenants whose count has grown since the last take; each second how far this
    // process has counted, with the totals of the last two windows. `last`: this process counts no more.
    std::vector<model::ProcessUsage> take(Tenths now, bool last = false) {
        std::vector<model::ProcessUsage> told;
        const auto time = clock_.at(now);
        if (!counts() || !time) return told;
        counted_until_ms_ = std::max(counted_until_ms_, time->unix_ms);
        const std::int64_t present = counted_until_ms_ / window_ms_;
        forget_before(present - (kKeptMs + window_ms_ - 1) / window_ms_);
        const bool is_due = last || now - progress_at_ >= kProgress;
        if (is_due) windows_[present]; // an empty one says how far this process has counted
        for (auto& [number, window] : windows_) {
            const bool is_progress = is_due && number + 1 >= present;
            if (window.changed.empty() && !is_progress) continue;
            told.push_back({process_, number, changes(window), window.total, counted_until_ms_, last});
        }
        if (is_due) progress_at_ = now;
        return told;
    }

    // What was told may be lost: the next take tells all that is kept.
    void tell_again() {
        for (auto& [number, window] : windows_) {
            window.changed.clear();
            for (auto& entry : window.counts) {
                entry.second.is_changed = true;
                window.changed.push_back(&entry);
            }
        }
    }

    std::uint64_t without_time() const { return without_time_; } // requests that no window could be told of

  private:
    struct Count {
        std::int64_t count = 0;
        bool is_changed = false; // since it was told
    };
    using Counts = std::unordered_map<std::string, Count>; // by tenant; its entries stay where they are
    struct Window {
        Counts counts;
        std::vector<Counts::value_type*> changed;
        std::int64_t total = 0;
    };
    static constexpr Tenths kProgress = kTenthsPerSecond;
    static constexpr std::int64_t kKeptMs = 20'000;

    static std::vector<model::TenantCount> changes(Window& window) {
        std::vector<model::TenantCount> told;
        told.reserve(window.changed.size());
        for (Counts::value_type* entry : window.changed) {
            told.push_back({entry->first, entry->second.count});
            entry->second.is_changed = false;
        }
        window.changed.clear();
        return told;
    }
    void forget_before(std::int64_t oldest) {
        windows_.erase(windows_.begin(), windows_.lower_bound(oldest));
    }

    std::uint64_t process_;
    std::int64_t window_ms_;
    clock::SyncedClock clock_;
    std::map<std::int64_t, Window> windows_;
    std::int64_t counted_until_ms_ = 0; // as told
    Tenths progress_at_ = 0;
    std::uint64_t without_time_ = 0;
};

} // namespace ivyrill::proxy
