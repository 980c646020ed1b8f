// Computes the order in which machines go out of service, with a reason for each step, and the baselines it
// is compared with: first come, first served and, for small cases, the optimum. Free of I/O; the random
// generator is seeded.
#pragma once
#include "maintenance/maintenance_schedule.hpp"

#include <optional>

namespace ivyrill::maintenance {

struct PlannedJob { // a job as the planner sees it
    std::string machine;
    Ticks duration = 0;
    bool prioritized = false;
    Ticks earliest = 0; // relative to the start of the plan
};

struct PlanStep {
    std::string machine;
    Ticks start = 0, end = 0;
    std::string reason; // what delayed it, or why it goes first
};

struct Plan {
    std::vector<PlanStep> steps;                   // sorted by start
    std::map<std::string, std::string> impossible; // machines that can never go out, and why
    Ticks duration = 0;
};

// Starts every job that is allowed at each point in time, in the given order of preference.
Plan plan_in_order(const Constraints& constraints, const std::vector<PlannedJob>& order,
                   const std::set<std::string>& down);
// Strictly in the given order, without overtaking.
Plan plan_first_come_first_served(const Constraints& constraints, const std::vector<PlannedJob>& order,
                                  const std::set<std::string>& down);
// Most constrained first, then improved by exchanging jobs in `trials` random trials.
Plan plan_optimized(const MaintenanceSchedule& schedule, const std::vector<PlannedJob>& jobs,
                    const std::set<std::string>& down, std::uint64_t seed, int trials = 200);
// The optimum by trying every order; empty for more than `max_jobs` jobs.
std::optional<Plan> plan_exhaustive(const Constraints& constraints, const std::vector<PlannedJob>& jobs,
                                    const std::set<std::string>& down, std::size_t max_jobs = 8);
// Lower bound of the duration of any order: the work that must run sequentially.
Ticks duration_lower_bound(const MaintenanceSchedule& schedule, const std::vector<PlannedJob>& jobs);

// The proposed jobs of a schedule; `now` in Unix time.
std::vector<PlannedJob> pending_jobs(const MaintenanceSchedule& schedule, Ticks now);

} // namespace ivyrill::maintenance
