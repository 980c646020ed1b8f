// Which faults and changes a soak of the whole fleet applies and when, drawn from a seed. Performs no I/O.
#pragma once
#include "base/time.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace ivyrill::lab {

enum class SoakRole : std::uint8_t { kControl, kAgent, kProxy, kServer };

struct SoakProcess {
    SoakRole role = SoakRole::kProxy;
    int number = 1; // from 1 within its role; a proxy and the agent on the same machine share it
    friend auto operator<=>(const SoakProcess&, const SoakProcess&) = default;
};
std::string name_of(SoakProcess process); // as `proxy-1`

enum class SoakAct : std::uint8_t {
    kTerminate,    // SIGTERM
    kKill,         // SIGKILL
    kStart,        // start, once its former process has ended
    kStartOther,   // a server of another service at the same address, once that is allowed
    kStop,         // SIGSTOP
    kContinue,     // SIGCONT
    kHangup,       // SIGHUP with rotated seeds in the settings
    kHangupBroken, // SIGHUP with unreadable settings
    kChange,       // the operator replaces the configuration
    kRace,         // two operators replace the same version
    kInvalidChange // the operator sends an invalid configuration
};
std::string name_of(SoakAct act);

struct SoakStep {
    Ticks at = 0; // from the start of the history
    SoakAct act = SoakAct::kChange;
    SoakProcess process; // not used by the operator's steps
};

struct SoakSize {
    int controls = 3, edges = 3, servers = 7;
    Ticks span = 20 * kTicksPerSecond; // of the steps, without the start and the quiet period at the end
    Ticks gap = kTicksPerSecond / 2;   // mean time between two draws
    int processes() const { return controls + 2 * edges + servers; }
};

// The steps in chronological order. Every process that a step stops or ends is continued or started by
// another step; at most a minority of the control nodes is disturbed at a time.
std::vector<SoakStep> draw_soak(std::uint64_t seed, const SoakSize& size);

} // namespace ivyrill::lab
