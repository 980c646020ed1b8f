// A process of hollow model servers: each sends its heartbeats and answers `GET /report`; no request is
// served.
#pragma once
#include <cstddef>

namespace ivyrill::scale {

struct HollowServersPlan {
    std::size_t first = 0, step = 1, end = 0; // servers first, first + step, ... below end
    std::size_t controls = 0;
};

// Lines: `state`, `release N` (N servers say that they leave, leave, and start anew), `end`; each answered by
// one line.
int run_hollow_servers(const HollowServersPlan& plan);

} // namespace ivyrill::scale
