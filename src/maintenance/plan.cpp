#include "maintenance/plan.hpp"

#include "base/pcg.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::maintenance {

namespace {

struct Running {
    Ticks end;
    std::string machine;
};

Plan simulate(const Constraints& constraints, const std::vector<PlannedJob>& order,
              const std::set<std::string>& down, bool allow_overtaking) {
    Plan plan;
    std::vector<const PlannedJob*> waiting;
    for (const PlannedJob& job : order) {
        if (std::string reason = constraints.violation(job.machine, down); !reason.empty())
            plan.impossible[job.machine] = std::move(reason);
        else
            waiting.push_back(&job);
    }
    std::vector<Running> running;
    std::set<std::string> out = down;
    std::map<std::string, std::string> wait_reasons; // latest reason why each job waits
    Ticks now = 0;
    while (!waiting.empty()) {
        for (auto next = waiting.begin(); next != waiting.end();) {
            const PlannedJob& job = **next;
            std::string reason = job.earliest > now ? "its earliest time is not reached"
                                                    : constraints.violation(job.machine, out);
            if (reason.empty()) {
                plan.steps.push_back({job.machine, now, now + job.duration,
                                      wait_reasons.contains(job.machine)
                                          ? "waited: " + wait_reasons[job.machine]
                                      : job.prioritized ? "hurried"
                                                        : "no limit prevents it"});
                running.push_back({now + job.duration, job.machine});
                out.insert(job.machine);
                next = waiting.erase(next);
                continue;
            }
            wait_reasons[job.machine] = std::move(reason);
            if (!allow_overtaking) break;
            ++next;
        }
        if (waiting.empty()) break;
        Ticks next_time = -1;
        for (const Running& entry : running)
            if (next_time < 0 || entry.end < next_time) next_time = entry.end;
        for (const PlannedJob* job : waiting)
            if (job->earliest > now && (next_time < 0 || job->earliest < next_time))
                next_time = job->earliest;
        if (next_time < 0) break; // unreachable: jobs that can never start were removed above
        now = next_time;
        std::erase_if(running, [&](const Running& entry) {
            return entry.end <= now && (out.erase(entry.machine), true);
        });
    }
    for (const PlanStep& step : plan.steps) plan.duration = std::max(plan.duration, step.end);
    return plan;
}

// For each machine the load of its tightest limit: the work of all jobs under that limit, divided by how many
// may run in parallel.
class BottleneckLoad {
  public:
    BottleneckLoad(const MaintenanceSchedule& schedule, const std::vector<PlannedJob>& jobs)
        : schedule_(schedule) {
        std::map<std::string, std::size_t> zones;
        std::map<int, int> holders;
        std::size_t servers = 0, front_nodes = 0;
        for (const auto& [name, facts] : schedule.fleet()) {
            if (facts.front_node) {
                ++front_nodes;
                continue;
            }
            ++servers, ++zones[facts.zone];
            for (const int shard : facts.shards) ++holders[shard];
        }
        const Limits& limits = schedule.limits();
        const auto max_parallel = [](double share, std::size_t count) {
            return std::max(1.0, std::floor(share * static_cast<double>(count)));
        };
        for (const PlannedJob& job : jobs) {
            const auto found = schedule.fleet().find(job.machine);
            if (found == schedule.fleet().end()) continue;
            const MachineFacts& facts = found->second;
            const auto work = static_cast<double>(job.duration);
            if (facts.front_node) {
                load_["front"] += work / max_parallel(limits.front_share, front_nodes);
                continue;
            }
            load_["fleet"] += work / max_parallel(limits.fleet_share, servers);
            load_["z" + facts.zone] += work / max_parallel(limits.zone_share, zones[facts.zone]);
            for (const int shard : facts.shards) {
                const int by_min_replicas = holders[shard] - limits.min_replicas;
                const int by_capacity =
                    static_cast<int>(std::floor(limits.shard_share * holders[shard] + 1e-9));
                load_["s" + std::to_string(shard)] +=
                    work / std::max(1, std::min(by_min_replicas, by_capacity));
            }
        }
    }
    double of(const std::string& machine) const {
        const auto found = schedule_.fleet().find(machine);
        if (found == schedule_.fleet().end()) return 0;
        const MachineFacts& facts = found->second;
        if (facts.front_node) return at("front");
        double max_load = std::max(at("fleet"), at("z" + facts.zone));
        for (const int shard : facts.shards) max_load = std::max(max_load, at("s" + std::to_string(shard)));
        return max_load;
    }
    double max_load() const {
        double highest = 0;
        for (const auto& [name, load] : load_) highest = std::max(highest, load);
        return highest;
    }

  private:
    double at(const std::string& name) const {
        const auto found = load_.find(name);
        return found == load_.end() ? 0 : found->second;
    }
    const MaintenanceSchedule& schedule_;
    std::map<std::string, double> load_;
};

// Places each job at the earliest time that fits among the jobs placed before it; tried over all orders this
// finds the optimum.
class EarliestFit {
  public:
    EarliestFit(const Constraints& constraints, const std::set<std::string>& down)
        : constraints_(constraints), down_(down) {}
    void place(const PlannedJob& job) {
        std::vector<Ticks> instants{job.earliest};
        for (const PlanStep& step : placed_steps)
            if (step.end > job.earliest) instants.push_back(step.end);
        std::ranges::sort(instants);
        for (const Ticks at : instants) {
            if (!fits(job, at)) continue;
            placed_steps.push_back({job.machine, at, at + job.duration, {}});
            duration = std::max(duration, at + job.duration);
            return;
        }
    }
    std::vector<PlanStep> placed_steps;
    Ticks duration = 0;

  private:
    bool fits(const PlannedJob& job, Ticks at) const {
        std::vector<Ticks> instants{at};
        for (const PlanStep& step : placed_steps)
            if (step.start > at && step.start < at + job.duration) instants.push_back(step.start);
        return std::ranges::all_of(instants, [&](Ticks instant) {
            std::set<std::string> out = down_;
            for (const PlanStep& step : placed_steps)
                if (step.start <= instant && instant < step.end) out.insert(step.machine);
            return constraints_.violation(job.machine, out).empty();
        });
    }
    const Constraints& constraints_;
    const std::set<std::string>& down_;
};

void search(const std::vector<PlannedJob>& jobs, std::vector<bool>& used, const EarliestFit& partial,
            Plan& best) {
    if (!best.steps.empty() && partial.duration >= best.duration) return;
    bool all = true;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        if (used[i]) continue;
        all = false;
        EarliestFit next = partial;
        next.place(jobs[i]);
        used[i] = true;
        search(jobs, used, next, best);
        used[i] = false;
    }
    if (all) best.steps = partial.placed_steps, best.duration = partial.duration;
}

} // namespace

Plan plan_in_order(const Constraints& constraints, const std::vector<PlannedJob>& order,
                   const std::set<std::string>& down) {
    return simulate(constraints, order, down, true);
}

Plan plan_first_come_first_served(const Constraints& constraints, const std::vector<PlannedJob>& order,
                                  const std::set<std::string>& down) {
    return simulate(constraints, order, down, false);
}

Plan plan_optimized(const MaintenanceSchedule& schedule, const std::vector<PlannedJob>& jobs,
                    const std::set<std::string>& down, std::uint64_t seed, int trials) {
    const Constraints constraints(schedule.limits(), schedule.fleet(), schedule.voters());
    const BottleneckLoad bottlenecks(schedule, jobs);
    std::vector<std::pair<double, PlannedJob>> ranked;
    for (const PlannedJob& job : jobs) ranked.emplace_back(bottlenecks.of(job.machine), job);
    std::ranges::stable_sort(ranked, [](const auto& a, const auto& b) {
        return std::tuple(!a.second.prioritized, -a.first, -a.second.duration) <
               std::tuple(!b.second.prioritized, -b.first, -b.second.duration);
    });
    std::vector<PlannedJob> order;
    for (auto& [rank, job] : ranked) order.push_back(std::move(job));
    Plan best = plan_in_order(constraints, order, down);
    const auto lower_bound = static_cast<Ticks>(bottlenecks.max_load());
    Pcg random(seed);
    const auto pick = [&] {
        return static_cast<std::size_t>(random.unit() * static_cast<double>(order.size()));
    };
    for (int trial = 0; trial < trials && order.size() > 2 && best.duration > lower_bound; ++trial) {
        std::vector<PlannedJob> candidate = order;
        const std::size_t a = pick(), b = pick();
        if (a == b || candidate[a].prioritized != candidate[b].prioritized) continue;
        if (random.unit() < 0.5)
            std::swap(candidate[a], candidate[b]);
        else
            std::rotate(candidate.begin() + static_cast<std::ptrdiff_t>(std::min(a, b)),
                        candidate.begin() + static_cast<std::ptrdiff_t>(std::max(a, b)),
                        candidate.begin() + static_cast<std::ptrdiff_t>(std::max(a, b)) + 1);
        Plan plan = plan_in_order(constraints, candidate, down);
        if (plan.duration > best.duration) continue;
        best = std::move(plan), order = std::move(candidate);
    }
    return best;
}

std::optional<Plan> plan_exhaustive(const Constraints& constraints, const std::vector<PlannedJob>& jobs,
                                    const std::set<std::string>& down, std::size_t max_jobs) {
    if (jobs.size() > max_jobs) return {};
    std::vector<PlannedJob> open;
    Plan best;
    for (const PlannedJob& job : jobs) {
        if (std::string reason = constraints.violation(job.machine, down); !reason.empty())
            best.impossible[job.machine] = std::move(reason);
        else
            open.push_back(job);
    }
    std::vector<bool> used(open.size());
    search(open, used, EarliestFit(constraints, down), best);
    std::ranges::stable_sort(best.steps, {}, &PlanStep::start);
    return best;
}

Ticks duration_lower_bound(const MaintenanceSchedule& schedule, const std::vector<PlannedJob>& jobs) {
    Ticks longest = 0;
    for (const PlannedJob& job : jobs) longest = std::max(longest, job.duration);
    return std::max(longest, static_cast<Ticks>(BottleneckLoad(schedule, jobs).max_load()));
}

std::vector<PlannedJob> pending_jobs(const MaintenanceSchedule& schedule, Ticks now) {
    std::vector<PlannedJob> jobs;
    for (const auto& [name, job] : schedule.jobs()) {
        if (job.state != JobState::kProposed) continue;
        const auto facts = schedule.fleet().find(name);
        jobs.push_back({name, facts == schedule.fleet().end() ? 0 : facts->second.duration, job.prioritized,
                        std::max<Ticks>(0, job.earliest - now)});
    }
    return jobs;
}

} // namespace ivyrill::maintenance
