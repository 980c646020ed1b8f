#include "program/lifecycle.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace ivyrill::program {

namespace {

constexpr std::array<std::pair<Phase, Phase>, 5> kTransitions = {{
    {Phase::kStarting, Phase::kServing},
    {Phase::kStarting, Phase::kStopped}, // stop requested before serving began
    {Phase::kServing, Phase::kDraining},
    {Phase::kDraining, Phase::kFinishing},
    {Phase::kFinishing, Phase::kStopped},
}};

} // namespace

bool Lifecycle::enter(Phase next, Ticks now) {
    if (std::ranges::find(kTransitions, std::pair{phase_, next}) == kTransitions.end()) return false;
    phase_ = next, since_ = now;
    return true;
}

std::string_view Lifecycle::name(Phase phase) {
    switch (phase) {
    case Phase::kStarting:
        return "starting";
    case Phase::kServing:
        return "serving";
    case Phase::kDraining:
        return "draining";
    case Phase::kFinishing:
        return "quiet";
    case Phase::kStopped:
        return "stopped";
    }
    return "unknown";
}

} // namespace ivyrill::program
