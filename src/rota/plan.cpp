#include "rota/plan.hpp"

#include "base/pcg.hpp"

#include <algorithm>
#include <cmath>

namespace ivyrill::rota {

namespace {

struct Running {
    Tenths ends;
    std::string machine;
};

Plan run(const Room& room, const std::vector<Task>& order, const std::set<std::string>& down,
         bool overtaking) {
    Plan plan;
    std::vector<const Task*> waiting;
    for (const Task& task : order) {
        if (std::string why = room.objection(task.machine, down); !why.empty())
            plan.never[task.machine] = std::move(why);
        else
            waiting.push_back(&task);
    }
    std::vector<Running> running;
    std::set<std::string> out = down;
    std::map<std::string, std::string> held; // what each waits for, as last asked
    Tenths now = 0;
    while (!waiting.empty()) {
        for (auto next = waiting.begin(); next != waiting.end();) {
            const Task& task = **next;
            std::string why = task.earliest > now ? "its earliest time" : room.objection(task.machine, out);
            if (why.empty()) {
                plan.steps.push_back({task.machine, now, now + task.work,
                                      held.contains(task.machine) ? "waited: " + held[task.machine]
                                      : task.hurried              ? "hurried"
                                                                  : "nothing stands against it"});
                running.push_back({now + task.work, task.machine});
                out.insert(task.machine);
                next = waiting.erase(next);
                continue;
            }
            held[task.machine] = std::move(why);
            if (!overtaking) break;
            ++next;
        }
        if (waiting.empty()) break;
        Tenths then = -1;
        for (const Running& one : running)
            if (then < 0 || one.ends < then) then = one.ends;
        for (const Task* task : waiting)
            if (task->earliest > now && (then < 0 || task->earliest < then)) then = task->earliest;
        if (then < 0) break; // nothing runs and nobody may go: told apart above, so it cannot be
        now = then;
        std::erase_if(running,
                      [&](const Running& one) { return one.ends <= now && (out.erase(one.machine), true); });
    }
    for (const Step& step : plan.steps) plan.length = std::max(plan.length, step.ends);
    return plan;
}

// How much work must pass through the narrowest place that this machine passes through, by how many abreast.
class Narrows {
  public:
    Narrows(const Evening& evening, const std::vector<Task>& tasks) : evening_(evening) {
        std::map<std::string, std::size_t> zones;
        std::map<int, int> holders;
        std::size_t servers = 0, fronts = 0;
        for (const auto& [name, facts] : evening.fleet()) {
            if (facts.front_node) {
                ++fronts;
                continue;
            }
            ++servers, ++zones[facts.zone];
            for (const int shard : facts.shards) ++holders[shard];
        }
        const Limits& limits = evening.limits();
        const auto abreast = [](double share, std::size_t count) {
            return std::max(1.0, std::floor(share * static_cast<double>(count)));
        };
        for (const Task& task : tasks) {
            const auto found = evening.fleet().find(task.machine);
            if (found == evening.fleet().end()) continue;
            const Facts& facts = found->second;
            const auto work = static_cast<double>(task.work);
            if (facts.front_node) {
                load_["front"] += work / abreast(limits.front_share, fronts);
                continue;
            }
            load_["fleet"] += work / abreast(limits.fleet_share, servers);
            load_["z" + facts.zone] += work / abreast(limits.zone_share, zones[facts.zone]);
            for (const int shard : facts.shards) {
                const int by_floor = holders[shard] - limits.floor;
                const int by_power = static_cast<int>(std::floor(limits.shard_share * holders[shard] + 1e-9));
                load_["s" + std::to_string(shard)] += work / std::max(1, std::min(by_floor, by_power));
            }
        }
    }
    double of(const std::string& machine) const {
        const auto found = evening_.fleet().find(machine);
        if (found == evening_.fleet().end()) return 0;
        const Facts& facts = found->second;
        if (facts.front_node) return at("front");
        double most = std::max(at("fleet"), at("z" + facts.zone));
        for (const int shard : facts.shards) most = std::max(most, at("s" + std::to_string(shard)));
        return most;
    }
    double most() const {
        double most = 0;
        for (const auto& [name, load] : load_) most = std::max(most, load);
        return most;
    }

  private:
    double at(const std::string& name) const {
        const auto found = load_.find(name);
        return found == load_.end() ? 0 : found->second;
    }
    const Evening& evening_;
    std::map<std::string, double> load_;
};

// Places each task as early as it fits among those placed before it; over all orders this finds the best.
class Placing {
  public:
    Placing(const Room& room, const std::set<std::string>& down) : room_(room), down_(down) {}
    void place(const Task& task) {
        std::vector<Tenths> moments{task.earliest};
        for (const Step& step : placed)
            if (step.ends > task.earliest) moments.push_back(step.ends);
        std::ranges::sort(moments);
        for (const Tenths at : moments) {
            if (!fits(task, at)) continue;
            placed.push_back({task.machine, at, at + task.work, {}});
            length = std::max(length, at + task.work);
            return;
        }
    }
    std::vector<Step> placed;
    Tenths length = 0;

  private:
    bool fits(const Task& task, Tenths at) const {
        std::vector<Tenths> moments{at};
        for (const Step& step : placed)
            if (step.begins > at && step.begins < at + task.work) moments.push_back(step.begins);
        return std::ranges::all_of(moments, [&](Tenths moment) {
            std::set<std::string> out = down_;
            for (const Step& step : placed)
                if (step.begins <= moment && moment < step.ends) out.insert(step.machine);
            return room_.objection(task.machine, out).empty();
        });
    }
    const Room& room_;
    const std::set<std::string>& down_;
};

void search(const std::vector<Task>& tasks, std::vector<bool>& used, const Placing& so_far, Plan& best) {
    if (!best.steps.empty() && so_far.length >= best.length) return;
    bool all = true;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (used[i]) continue;
        all = false;
        Placing next = so_far;
        next.place(tasks[i]);
        used[i] = true;
        search(tasks, used, next, best);
        used[i] = false;
    }
    if (all) best.steps = so_far.placed, best.length = so_far.length;
}

} // namespace

Plan plan_in_order(const Room& room, const std::vector<Task>& order, const std::set<std::string>& down) {
    return run(room, order, down, true);
}

Plan plan_first_come(const Room& room, const std::vector<Task>& order, const std::set<std::string>& down) {
    return run(room, order, down, false);
}

Plan plan_well(const Evening& evening, const std::vector<Task>& tasks, const std::set<std::string>& down,
               std::uint64_t seed, int trials) {
    const Room room(evening.limits(), evening.fleet(), evening.voters());
    const Narrows narrows(evening, tasks);
    std::vector<std::pair<double, Task>> ranked;
    for (const Task& task : tasks) ranked.emplace_back(narrows.of(task.machine), task);
    std::ranges::stable_sort(ranked, [](const auto& a, const auto& b) {
        return std::tuple(!a.second.hurried, -a.first, -a.second.work) <
               std::tuple(!b.second.hurried, -b.first, -b.second.work);
    });
    std::vector<Task> order;
    for (auto& [rank, task] : ranked) order.push_back(std::move(task));
    Plan best = plan_in_order(room, order, down);
    const auto bound = static_cast<Tenths>(narrows.most());
    Pcg chance(seed);
    const auto pick = [&] {
        return static_cast<std::size_t>(chance.unit() * static_cast<double>(order.size()));
    };
    for (int trial = 0; trial < trials && order.size() > 2 && best.length > bound; ++trial) {
        std::vector<Task> other = order;
        const std::size_t a = pick(), b = pick();
        if (a == b || other[a].hurried != other[b].hurried) continue;
        if (chance.unit() < 0.5)
            std::swap(other[a], other[b]);
        else
            std::rotate(other.begin() + static_cast<std::ptrdiff_t>(std::min(a, b)),
                        other.begin() + static_cast<std::ptrdiff_t>(std::max(a, b)),
                        other.begin() + static_cast<std::ptrdiff_t>(std::max(a, b)) + 1);
        Plan plan = plan_in_order(room, other, down);
        if (plan.length > best.length) continue;
        best = std::move(plan), order = std::move(other);
    }
    return best;
}

std::optional<Plan> plan_best(const Room& room, const std::vector<Task>& tasks,
                              const std::set<std::string>& down, std::size_t most) {
    if (tasks.size() > most) return {};
    std::vector<Task> open;
    Plan best;
    for (const Task& task : tasks) {
        if (std::string why = room.objection(task.machine, down); !why.empty())
            best.never[task.machine] = std::move(why);
        else
            open.push_back(task);
    }
    std::vector<bool> used(open.size());
    search(open, used, Placing(room, down), best);
    std::ranges::stable_sort(best.steps, {}, &Step::begins);
    return best;
}

Tenths least_length(const Evening& evening, const std::vector<Task>& tasks) {
    Tenths longest = 0;
    for (const Task& task : tasks) longest = std::max(longest, task.work);
    return std::max(longest, static_cast<Tenths>(Narrows(evening, tasks).most()));
}

std::vector<Task> tasks_of(const Evening& evening, Tenths now) {
    std::vector<Task> tasks;
    for (const auto& [name, turn] : evening.turns()) {
        if (turn.state != TurnState::kProposed) continue;
        const auto facts = evening.fleet().find(name);
        tasks.push_back({name, facts == evening.fleet().end() ? 0 : facts->second.work, turn.hurried,
                         std::max<Tenths>(0, turn.earliest - now)});
    }
    return tasks;
}

} // namespace ivyrill::rota
