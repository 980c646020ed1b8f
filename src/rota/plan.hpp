// In which order machines go out for work: computed, with its reason for each step, and measured against
// first come, first served and, on small cases, the best that there is. Free of I/O; chance is seeded.
#pragma once
#include "rota/evening.hpp"

#include <optional>

namespace ivyrill::rota {

struct Task { // what the plan asks of a turn
    std::string machine;
    Tenths work = 0;
    bool hurried = false;
    Tenths earliest = 0; // from the plan's start
};

struct Step {
    std::string machine;
    Tenths begins = 0, ends = 0;
    std::string why; // what held it until then, or makes it go first
};

struct Plan {
    std::vector<Step> steps;                  // by their beginning
    std::map<std::string, std::string> never; // what can't go however long one waits, and why
    Tenths length = 0;
};

// Starts whatever may go at each moment, those named first before the others.
Plan plan_in_order(const Room& room, const std::vector<Task>& order, const std::set<std::string>& down);
// One after the other as they came; nobody overtakes.
Plan plan_first_come(const Room& room, const std::vector<Task>& order, const std::set<std::string>& down);
// Most constrained first, then bettered by exchanges within so many trials.
Plan plan_well(const Evening& evening, const std::vector<Task>& tasks, const std::set<std::string>& down,
               std::uint64_t seed, int trials = 200);
// Every order tried, for `most` machines at the most; nothing above that.
std::optional<Plan> plan_best(const Room& room, const std::vector<Task>& tasks,
                              const std::set<std::string>& down, std::size_t most = 8);
// No order is shorter than this: the work that must come one after the other.
Tenths least_length(const Evening& evening, const std::vector<Task>& tasks);

// The open turns of an evening as tasks, `now` in Unix time.
std::vector<Task> tasks_of(const Evening& evening, Tenths now);

} // namespace ivyrill::rota
