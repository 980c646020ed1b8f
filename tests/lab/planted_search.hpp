// Checks whether histories detect a planted fault.
#pragma once
#include "base/planted_fault.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace ivyrill::lab {

// Runs the plans of `count` seeds from `first` on until one violates a guarantee; returns the seed and the
// violation.
template <class World, class PlanOfSeed>
std::optional<std::string> search_planted(PlantedFault fault, PlanOfSeed plan_of_seed, std::uint64_t first,
                                          std::uint64_t count) {
    planted_fault = fault;
    std::optional<std::string> found;
    for (std::uint64_t seed = first; seed < first + count && !found; ++seed) {
        World world(plan_of_seed(seed));
        world.play();
        if (!world.violations().empty())
            found = "seed " + std::to_string(seed) + " " + world.violations().front();
    }
    planted_fault = PlantedFault::kNone;
    return found;
}

} // namespace ivyrill::lab
