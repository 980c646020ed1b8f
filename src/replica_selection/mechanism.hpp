// Extensions of C3 (adaptive replica selection, Suresh et al., NSDI 2015), listed in docs/design.md. A build
// can leave one out to measure its effect: cmake -DIVYRILL_WITHOUT=N. A normal build leaves out none.
#pragma once

#ifndef IVYRILL_WITHOUT
#define IVYRILL_WITHOUT 0
#endif

namespace ivyrill::replica_selection {

// The comments say what happens with and without each.
enum class Mechanism {
    kNone = 0,
    kDecodeServersForTransfers =
        1,                     // dedicated decode servers for KV transfers; without: for long answers only
    kSampledDecodeServers = 2, // a sample of the dedicated decode servers is ranked; without: all are
    kPrefillServerAsSecondOwner = 3, // while links are free; without: the next owner, whatever its stage
    kSecondOwner = 4,                // a second owner while the first is slow; without: one owner
    kDedicatedDecodeServers = 5,     // long answers run at a few decode servers; without: at any of them
    kPromptOwners = 6, // prompts are prefilled at their owners; without: at the server that C3 ranks best
    kRejection = 7,    // some requests are rejected while prefills are late; without: none
    kTimeoutsAsResponseTimes = 8, // an unanswered attempt counts as a response; without: only answers do
    kConnectTimeout = 9,          // adaptive, from earlier connections; without: the latency target
    kLinkLoad = 10                // slow transfers count as busy links; without: links count as free
};

constexpr bool in_use(Mechanism mechanism) { return static_cast<int>(mechanism) != IVYRILL_WITHOUT; }

} // namespace ivyrill::replica_selection
