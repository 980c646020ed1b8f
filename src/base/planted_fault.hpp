// Deliberate faults that check whether the simulations detect them. They are compiled only into the test
// builds of the libraries (IVYRILL_PLANTED_FAULTS); in any other build `planted` is the constant false.
#pragma once
#include <cstdint>

namespace ivyrill {

enum class PlantedFault : std::uint8_t {
    kNone,
    // In the consensus (src/consensus).
    kVoteBeforeStored,        // a vote is granted before it is durable
    kFormerVotersIgnored,     // a membership change needs a majority of the new voters only
    kOwnDiskAssumed,          // a leader counts itself before its own disk has stored the entry
    kOlderCandidateAccepted,  // votes for a candidate whose log is less up to date
    kNewDiskVotes,            // a replaced, empty disk votes under the identity of the former one
    kOldTermCommitted,        // an entry of an older term is committed by counting its replicas
    kReadWithoutRound,        // a read is confirmed without a quorum round
    kReplyBeforeStored,       // an entry is acknowledged as durable on receipt
    kChangeWithoutJointEntry, // new voters take over immediately, without the joint entry
    kQueuedReportedCommitted, // entries queued when leadership ended are reported as committed
    kUnknownReportedRejected, // entries in flight when leadership ended are reported as rejected
    kOlderTermAccepted,       // an append of an older term is accepted
    // In the control nodes (src/control), and in the consensus where only whole nodes show the fault.
    kMajorityIsEnough,       // an entry is committed on a majority, even if the tolerance requires more disks
    kLeavingVoterCounted,    // a copy on a voter that is about to leave counts as durable
    kAnswerOfFormerProcess,  // a response is matched by its number although a former process sent the request
    kRefusalUnconfirmed,     // a command is rejected without a majority confirming the leadership
    kReadUnconfirmed,        // any node answers a read from its local state
    kResentOrderUnknown,     // a retried command that was already accepted is not recognized
    kAnyBaseAccepted,        // a command is accepted whatever its base version
    kFeedBeforeCaughtUp,     // a feed is served before the node knows what the leader has committed
    kFeedServedCutOff,       // a node partitioned from the majority keeps serving a feed
    kContactByAnyAppend,     // messages delayed by a partition count as contact on arrival
    kFeedBeforeServersKnown, // a feed is served before the servers' records of a majority were merged
    kLeavingInMemoryOnly,    // a departure is acknowledged before it is durable
    kLeavingHeldByAnyone,    // copies of a departure on non-voting members count
    kOlderFileUsed,          // a member whose newest state file is corrupt continues from the previous one
    kCopiesKept,             // a node reopens its feed after a partition from stale records
    kDeadVotersKept,         // dead voters stay in the configuration if nobody replaces them
    kFoundsAgain,            // a founder that restarts with an empty disk bootstraps the group again
    kReplacedDiskAwaited,    // a voter whose address now belongs to another disk counts as present
    kReadyKept,              // a member may become a voter from copies made before a partition
    kContactWithoutMajority, // a partitioned leader keeps others in contact
    kLeaderCommitForgotten,  // a leader's commit index is forgotten while it is not reachable
    // In the duties (src/duties, src/control/duty_partitions.hpp) and in commands to servers.
    kLeaseNotAwaited,       // a lease holder acts as soon as it is elected
    kHolderReturnsAtOnce,   // a recent lease holder acts again without waiting
    kActsWithoutContact,    // a lease holder continues without responses from a majority
    kFenceFromMemory,       // the fencing token counts the terms of this process only
    kActsAfterRelease,      // a stopping holder releases its lease and continues to act
    kDutiesForgotten,       // a restarted process does not read the committed state of its partitions
    kOrderWithoutTarget,    // a command names no server: whichever has the address now accepts it
    kOrderNotExpected,      // a command lacks the expected number of accepted commands
    kOrderSentAgainAtOnce,  // a command without a response is retried at once, as if it had not been accepted
    kFenceNotCheckedAtSend, // the lease is checked before connecting, not when the command is sent
    kFencedOffIgnored,      // a holder that a server has fenced off continues
    // In usage reports (src/duties/usage_ledger.hpp, src/control/usage_duty.hpp).
    kSentBeforeAgreed,     // a window's report is sent before it is committed
    kCountedAgain,         // each holder computes a window's counts again
    kLedgerForgotten,      // a holder that releases its partition discards other committed state
    kAgreedOnChanged,      // a committed window is committed again with the current counts
    kPlatformNotChecked,   // the lease is checked only before connecting
    kRetriedWithoutLease,  // a failed call is retried without checking the lease
    kPlatformFenceIgnored, // a holder that the platform has fenced off continues
    kWindowLeftOut,        // windows missed during a pause are skipped
    kGivenUpWhenBusy       // a report rejected as busy by the platform is not retried
};
inline constexpr int kConsensusFaults = 12; // the first values of the enum
inline constexpr int kControlFaults =
    static_cast<int>(PlantedFault::kLeaderCommitForgotten); // including the consensus faults
inline constexpr int kPlantedFaults = static_cast<int>(PlantedFault::kGivenUpWhenBusy);

#ifdef IVYRILL_PLANTED_FAULTS
inline thread_local PlantedFault planted_fault = PlantedFault::kNone;
inline bool planted(PlantedFault fault) { return planted_fault == fault; }
#else
constexpr bool planted(PlantedFault) { return false; }
#endif

} // namespace ivyrill
