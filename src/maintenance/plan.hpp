// In which order machines go out for work: computed, with its reason for each step, and measured against
// first come, first served and, on small cases, the best that there is. Free of I/O; chance is seeded.
#pragma once
#include "maintenance/maintenance_schedule.hpp"

#include <optional>

namespace ivyrill::maintenance {

struct PlannedJob { // what the plan asks of a turn
    std::string machine;
    Tenths duration = 0;
    bool prioritized = false;
    Tenths earliest = 0; // from the plan's start
};

struct PlanStep {
    std::string machine;
    Tenths start = 0, end = 0;
    std::string reason; // what held it until then, or makes it go first
};

struct Plan {
    std::vector<PlanStep> steps;                   // by their beginning
    std::map<std::string, std::string> impossible; // what can't go however long one waits, and why
    Tenths duration = 0;
};

// Starts whatever may go at each moment, those named first before the others.
Plan plan_in_order(const Constraints& constraints, const std::vector<PlannedJob>& order,
                   const std::set<std::string>& down);
// One after the other as they came; nobody overtakes.
Plan plan_first_come_first_served(const Constraints& constraints, const std::vector<PlannedJob>& order,
                                  const std::set<std::string>& down);
// Most constrained first, then bettered by exchanges within so many trials.
Plan plan_optimized(const MaintenanceSchedule& schedule, const std::vector<PlannedJob>& jobs,
                    const std::set<std::string>& down, std::uint64_t seed, int trials = 200);
// Every order tried, for `most` machines at the most; nothing above that.
std::optional<Plan> plan_exhaustive(const Constraints& constraints, const std::vector<PlannedJob>& jobs,
                                    const std::set<std::string>& down, std::size_t max_jobs = 8);
// No order is shorter than this: the work that must come one after the other.
Tenths duration_lower_bound(const MaintenanceSchedule& schedule, const std::vector<PlannedJob>& jobs);

// The open turns of an evening as tasks, `now` in Unix time.
std::vector<PlannedJob> pending_jobs(const MaintenanceSchedule& schedule, Tenths now);

} // namespace ivyrill::maintenance
