// The part of measure_system that needs the planted build of the consensus: how many of the planted faults
// the histories find. Its last line is one JSON object.
#include "lab/consensus_world.hpp"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using namespace ivyrill;
using namespace ivyrill::consensus;
using namespace ivyrill::lab;

constexpr int kSeeds = 2000;

// The first seed whose history violates a guarantee; 0 if none does.
std::uint64_t first_seed_that_finds(PlantedFault fault) {
    planted_fault = fault;
    for (int tried = 1; tried <= kSeeds; ++tried) {
        const auto seed = static_cast<std::uint64_t>(tried);
        ConsensusWorld world(plan_of_seed(seed));
        world.play();
        if (!world.violations().empty()) return seed;
    }
    return 0;
}

} // namespace

int main() {
    int found = 0;
    std::uint64_t latest = 0;
    for (int number = 1; number <= kConsensusFaults; ++number) {
        const std::uint64_t seed = first_seed_that_finds(static_cast<PlantedFault>(number));
        found += seed > 0 ? 1 : 0;
        latest = std::max(latest, seed);
        if (seed == 0) std::fprintf(stderr, "planted fault %d is not found in %d seeds\n", number, kSeeds);
    }
    std::cout << nlohmann::json{{"planted", kConsensusFaults},
                                {"planted_found", found},
                                {"planted_latest_seed", latest}}
              << "\n";
    return found == kConsensusFaults ? 0 : 1;
}
