// Counts requests that started to run, by tenant and window of the fleet's time, when this proxy sees their
// first token. Totals are sent while they grow, so that little is lost if the process is killed. Pure: the
// caller supplies the steady clock and the fleet's time.
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
    // `process`: a random id. `window_ms` 0: counts nothing.
    UsageMeter(std::uint64_t process, std::int64_t window_ms) : process_(process), window_ms_(window_ms) {}

    bool is_enabled() const { return window_ms_ > 0; }
    void update_fleet_time(const clock::FleetTime& time, Ticks now) { clock_.update(time, now); }

    // The first token of a request of that tenant has arrived; called once per request. Empty: no tenant.
    void count_started(const std::string& tenant, Ticks now) {
        if (!is_enabled() || tenant.empty()) return;
        const auto time = clock_.at(now);
        if (!time) {
            ++without_time_;
            return;
        }
        // A window reported as complete gets no more counts, even if the clock is set back.
        Window& window = windows_[std::max(time->unix_ms, counted_until_ms_) / window_ms_];
        const auto [place, is_new] = window.counts.try_emplace(tenant);
        Count& count = place->second;
        ++count.count, ++window.total;
        if (!std::exchange(count.is_changed, true)) window.changed.push_back(&*place);
    }

    // Updates to send now: tenants whose count has grown since the last take; each second also the time up to
    // which this process has counted, with the totals of the last two windows. `last`: this process stops
    // counting.
    std::vector<model::ProcessUsage> take(Ticks now, bool last = false) {
        std::vector<model::ProcessUsage> updates;
        const auto time = clock_.at(now);
        if (!is_enabled() || !time) return updates;
        counted_until_ms_ = std::max(counted_until_ms_, time->unix_ms);
        const std::int64_t current = counted_until_ms_ / window_ms_;
        forget_before(current - (kRetentionMs + window_ms_ - 1) / window_ms_);
        const bool is_due = last || now - progress_at_ >= kProgressInterval;
        if (is_due) windows_[current]; // an empty window reports the progress
        for (auto& [number, window] : windows_) {
            const bool is_progress = is_due && number + 1 >= current;
            if (window.changed.empty() && !is_progress) continue;
            updates.push_back({process_, number, changes(window), window.total, counted_until_ms_, last});
        }
        if (is_due) progress_at_ = now;
        return updates;
    }

    // Earlier updates may be lost: the next take returns everything that is retained.
    void resend_all() {
        for (auto& [number, window] : windows_) {
            window.changed.clear();
            for (auto& entry : window.counts) {
                entry.second.is_changed = true;
                window.changed.push_back(&entry);
            }
        }
    }

    std::uint64_t without_time() const {
        return without_time_;
    } // requests counted in no window, as the time was unknown

  private:
    struct Count {
        std::int64_t count = 0;
        bool is_changed = false; // since the last take
    };
    using Counts = std::unordered_map<std::string, Count>; // by tenant; references to entries stay valid
    struct Window {
        Counts counts;
        std::vector<Counts::value_type*> changed;
        std::int64_t total = 0;
    };
    static constexpr Ticks kProgressInterval = kTicksPerSecond;
    static constexpr std::int64_t kRetentionMs = 20'000;

    static std::vector<model::TenantCount> changes(Window& window) {
        std::vector<model::TenantCount> updates;
        updates.reserve(window.changed.size());
        for (Counts::value_type* entry : window.changed) {
            updates.push_back({entry->first, entry->second.count});
            entry->second.is_changed = false;
        }
        window.changed.clear();
        return updates;
    }
    void forget_before(std::int64_t oldest) {
        windows_.erase(windows_.begin(), windows_.lower_bound(oldest));
    }

    std::uint64_t process_;
    std::int64_t window_ms_;
    clock::SyncedClock clock_;
    std::map<std::int64_t, Window> windows_;
    std::int64_t counted_until_ms_ = 0; // as sent
    Ticks progress_at_ = 0;
    std::uint64_t without_time_ = 0;
};

} // namespace ivyrill::proxy
