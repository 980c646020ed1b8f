// Slow start: how far apart one front node's attempts to a recently started server must be, so that
// all front nodes together stay within its budget. Pure; shared by the search scheduler and by the planning
// of site recovery. Times are tenths of a millisecond.
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::limits {

struct SlowStart {
    Ticks warm_up_time = 0;         // until it has its full capacity
    double cold_capacity_ratio = 1; // share of the capacity at its start
    Ticks overload_window = 0;      // in which its load is limited
    double overload_factor = 1;     // limit of the load, as a multiple of the capacity

    // Share of its capacity at this age. A lower bound: linear in the age.
    double share(Ticks age) const {
        return std::min(1.0, cold_capacity_ratio + slope() * static_cast<double>(std::max<Ticks>(0, age)));
    }
    // Attempts per tenth of a millisecond, of all front nodes together, that it may get at full capacity,
    // with `concurrency` parts at a time that take `service` each.
    double full_attempt_rate(double concurrency, double service) const {
        return concurrency * overload_factor / service;
    }

    // Time until `attempts` more are due at one front node of `nodes`. Where a node's share of a window is
    // less than one attempt, the total is random: the budget is lowered by about one standard deviation of
    // it. One gap may outlast the warm-up, so it accounts for the rise during the gap.
    Ticks time_until_due(Ticks age, double full_rate, double nodes, double attempts) const {
        const double now = share(age), budget = full_rate * now * static_cast<double>(overload_window);
        // The rate at which the mean plus one standard deviation is the budget.
        const double safe_share = budget > 0 ? std::pow(std::sqrt(budget + 0.25) - 0.5, 2) / budget : 1;
        const double need = attempts * nodes / full_rate / (budget < nodes ? safe_share : 1);
        const double rise = slope();
        return static_cast<Ticks>(rise > 0 ? (std::sqrt(now * now + 2 * rise * need) - now) / rise
                                           : need / now);
    }

  private:
    double slope() const {
        return (1 - cold_capacity_ratio) / static_cast<double>(std::max<Ticks>(1, warm_up_time));
    }
};

} // namespace ivyrill::limits
