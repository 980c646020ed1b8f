// Rule 4 as arithmetic: how far apart one front node's attempts to a server that started lately must be, so
// that all front nodes together stay within its budget. Free of I/O; shared by the decision module and by
// whoever plans how a lost site comes back. Times are tenths of a millisecond.
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::limits {

struct SlowStart {
    Tenths warm_up_time = 0;        // until it has its full power
    double cold_capacity_ratio = 1; // of which it has so much at its start
    Tenths overload_window = 0;     // the window of the limit
    double overload_factor = 1;

    // Its share of power so long after its start: at least what an even rise gives.
    double share(Tenths age) const {
        return std::min(1.0, cold_capacity_ratio + rise() * static_cast<double>(std::max<Tenths>(0, age)));
    }
    // Attempts of all front nodes that it may get in a tenth at full power, with `at_once` parts worked on at
    // a time and `service` for each.
    double full(double at_once, double service) const { return at_once * overload_factor / service; }

    // The gap until `attempts` more have become one front node's due, with `nodes` of them. Where a node's
    // share of a window is under one attempt, chance makes the sum, and its root leaves room for its spread.
    // One gap may outlast the cold span, so it shrinks with the rise that comes while it runs.
    Tenths gap(Tenths age, double full, double nodes, double attempts) const {
        const double now = share(age), budget = full * now * static_cast<double>(overload_window);
        // The rate whose sum by chance, and a deviation more, is the budget.
        const double sure = budget > 0 ? std::pow(std::sqrt(budget + 0.25) - 0.5, 2) / budget : 1;
        const double need = attempts * nodes / full / (budget < nodes ? sure : 1);
        const double up = rise();
        return static_cast<Tenths>(up > 0 ? (std::sqrt(now * now + 2 * up * need) - now) / up : need / now);
    }

  private:
    double rise() const {
        return (1 - cold_capacity_ratio) / static_cast<double>(std::max<Tenths>(1, warm_up_time));
    }
};

} // namespace ivyrill::limits
