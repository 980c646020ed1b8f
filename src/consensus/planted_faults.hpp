// Deliberate wrong lines, so that the simulation can be asked whether it would find them. They exist only in
// the test build of the library (IVYRILL_PLANTED_FAULTS); in any other build `planted` is the constant false.
#pragma once
#include <cstdint>

namespace ivyrill::consensus {

enum class PlantedFault : std::uint8_t {
    kNone,
    kVoteBeforeStored,        // a vote is granted before it is durable
    kFormerVotersIgnored,     // a change of members needs the majority of the new voters only
    kOwnDiskAssumed,          // a leader counts itself before its own disk has stored the entry
    kOlderCandidateAccepted,  // votes for a candidate whose newest entry is older
    kNewDiskVotes,            // an empty disk votes in the name of the one it replaced
    kOldTermCommitted,        // an entry of an older term is committed by the count of its holders
    kReadWithoutRound,        // a read is confirmed without asking anyone
    kReplyBeforeStored,       // an entry is reported as durable on arrival
    kChangeWithoutJointEntry, // new voters take over at once, without the joint entry
    kQueuedReportedCommitted, // what was queued when leadership ended is reported as committed
    kUnknownReportedRejected, // what was under way when leadership ended is reported as rejected
    kOlderTermAccepted        // an append of an older term is accepted
};
inline constexpr int kPlantedFaults = 12; // without kNone

#ifdef IVYRILL_PLANTED_FAULTS
inline thread_local PlantedFault planted_fault = PlantedFault::kNone;
inline bool planted(PlantedFault fault) { return planted_fault == fault; }
#else
constexpr bool planted(PlantedFault) { return false; }
#endif

} // namespace ivyrill::consensus
