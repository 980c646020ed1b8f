// A process of hollow agents: many nodes' sessions, feeds and heartbeats by the fleet's own code, without
// traffic and without a proxy beside them. Told what to do by lines on standard input.
#pragma once
#include <cstddef>
#include <string>

namespace ivyrill::scale {

struct HollowAgentsPlan {
    std::size_t first = 0, step = 1, end = 0; // nodes first, first + step, ... below end
    std::size_t controls = 0;
    std::size_t readers = 0; // so many of them read their share of the servers' reports
};

// Lines: `state`, `servers`, `reports on|off`, `restart`, `end`; each answered by one line.
int run_hollow_agents(const HollowAgentsPlan& plan);

} // namespace ivyrill::scale
