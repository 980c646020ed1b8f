#include "program/phases.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace ivyrill::program {

namespace {

constexpr std::array<std::pair<Phase, Phase>, 5> kMayFollow = {{
    {Phase::kStarting, Phase::kServing},
    {Phase::kStarting, Phase::kStopped}, // told to stop before it served
    {Phase::kServing, Phase::kDraining},
    {Phase::kDraining, Phase::kQuiet},
    {Phase::kQuiet, Phase::kStopped},
}};

} // namespace

bool Phases::enter(Phase next, Tenths at) {
    if (std::ranges::find(kMayFollow, std::pair{phase_, next}) == kMayFollow.end()) return false;
    phase_ = next, since_ = at;
    return true;
}

std::string_view Phases::name(Phase phase) {
    switch (phase) {
    case Phase::kStarting:
        return "starting";
    case Phase::kServing:
        return "serving";
    case Phase::kDraining:
        return "draining";
    case Phase::kQuiet:
        return "quiet";
    case Phase::kStopped:
        return "stopped";
    }
    return "unknown";
}

} // namespace ivyrill::program
