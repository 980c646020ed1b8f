// The part of measure_control that needs the planted builds: how many of the planted faults the histories
// find. Its last line is one JSON object. `--fault N` searches for one only, `--fault N --seed M` prints the
// trace of one history of whole control nodes with it.
#include "base/planted_fault.hpp"
#include "lab/consensus_world.hpp"
#include "lab/control_world.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace ivyrill;
using namespace ivyrill::lab;

constexpr std::uint64_t kSeeds = 2000; // maximum number of seeds tried for each fault

struct Finding {
    std::uint64_t seed = 0; // 0: not found
    std::string what;
};

ControlPlan plan_for(PlantedFault fault, std::uint64_t seed) {
    const bool is_of_duties = static_cast<int>(fault) > kControlFaults;
    if (is_of_duties) return duty_plan_of_seed(seed);
    // Only the smaller half provokes it, in one of hundreds of histories.
    const bool needs_cuts = fault == PlantedFault::kContactWithoutMajority;
    return needs_cuts ? control_plan_of(ControlPlanKind::kCutOff, seed) : control_plan_of_seed(seed);
}

// Faults of the consensus are searched for in its own histories, which run many times as fast; all others
// in those of whole control nodes.
Finding find(PlantedFault fault) {
    planted_fault = fault;
    Finding finding;
    for (std::uint64_t seed = 1; seed <= kSeeds && finding.seed == 0; ++seed) {
        if (static_cast<int>(fault) <= kConsensusFaults) {
            ConsensusWorld world(plan_of_seed(seed));
            world.play();
            if (!world.violations().empty()) finding = {seed, world.violations().front()};
        } else {
            ControlWorld world(plan_for(fault, seed));
            world.play();
            if (!world.violations().empty()) finding = {seed, world.violations().front()};
        }
    }
    planted_fault = PlantedFault::kNone;
    return finding;
}

int print_history(PlantedFault fault, std::uint64_t seed) {
    planted_fault = fault;
    ControlPlan plan = plan_for(fault, seed);
    plan.records_trace = true;
    ControlWorld world(plan);
    world.play();
    for (const std::string& line : world.trace()) std::cout << line << "\n";
    return world.violations().empty() ? 1 : 0;
}

} // namespace

int main(int count, char** words) {
    int first = 1, last = kPlantedFaults;
    if (count >= 3 && std::string(words[1]) == "--fault") first = last = std::atoi(words[2]);
    if (count == 5 && std::string(words[3]) == "--seed")
        return print_history(static_cast<PlantedFault>(first), std::strtoull(words[4], nullptr, 10));
    std::atomic<int> next = first;
    std::mutex mutex;
    int found = 0;
    std::uint64_t latest = 0;
    std::vector<std::thread> players;
    for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i)
        players.emplace_back([&] {
            for (int number; (number = next++) <= last;) {
                const Finding finding = find(static_cast<PlantedFault>(number));
                const std::lock_guard lock(mutex);
                found += finding.seed > 0 ? 1 : 0;
                latest = std::max(latest, finding.seed);
                if (finding.seed == 0)
                    std::fprintf(stderr, "planted fault %d was not found\n", number);
                else
                    std::fprintf(stderr, "planted fault %d: seed %llu: %s\n", number,
                                 static_cast<unsigned long long>(finding.seed), finding.what.c_str());
            }
        });
    for (auto& player : players) player.join();
    const int planted = last - first + 1;
    std::cout << nlohmann::json{{"planted", planted},
                                {"planted_found", found},
                                {"planted_latest_seed", latest}}
              << "\n";
    return found == planted ? 0 : 1;
}
