// Deliberate wrong lines, so that the simulations can be asked whether they would find them. They exist only
// in the test builds of the libraries (IVYRILL_PLANTED_FAULTS); in any other build `planted` is the constant
// false.
#pragma once
#include <cstdint>

namespace ivyrill {

enum class PlantedFault : std::uint8_t {
    kNone,
    // Of the agreement (src/consensus).
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
    kOlderTermAccepted,       // an append of an older term is accepted
    // Of the control nodes (src/control), and of the agreement where only whole nodes show it.
    kMajorityIsEnough,       // an entry is committed on a majority, however many disks may be lost at once
    kLeavingVoterCounted,    // a copy at a voter that is about to leave counts as lasting
    kAnswerOfFormerProcess,  // an answer is matched by its number, though another process asked
    kRefusalUnconfirmed,     // an order is refused without a majority having confirmed the leadership
    kReadUnconfirmed,        // any node answers a read by what it knows
    kResentOrderUnknown,     // an order that was taken is not known again
    kAnyBaseAccepted,        // an order is taken whatever version it builds on
    kFeedBeforeCaughtUp,     // a feed is served before the node knows what the leader has committed
    kFeedServedCutOff,       // a feed is served on by a node that is cut off from the majority
    kContactByAnyAppend,     // what a cut has held up counts as contact when it comes
    kFeedBeforeServersKnown, // a feed is served before the servers' records of a majority were merged
    kLeavingInMemoryOnly,    // a leaving is acknowledged before it is durable
    kLeavingHeldByAnyone,    // copies of a leaving at members that don't vote count
    kOlderFileUsed,          // a member whose newest state file is spoilt goes on from the one before
    kCopiesKept,             // a node that was cut off opens its feed by the records that it had before
    kDeadVotersKept,         // voters that are gone stay on the list where nobody takes their place
    kFoundsAgain,            // a founder whose empty disk comes back founds the group again
    kReplacedDiskAwaited,    // a voter whose address another disk holds counts as there
    kReadyKept,              // a member that was cut off may become a voter by the copies from before
    kContactWithoutMajority, // a leader that is itself cut off keeps others in contact
    kLeaderCommitForgotten,  // what a leader has committed is forgotten while it is not heard
    // Of the duties (src/duties, src/control/duty_partitions.hpp) and of orders to servers.
    kLeaseNotAwaited,       // a holder acts as soon as it is elected
    kHolderReturnsAtOnce,   // a holder that held shortly before acts again without a wait
    kActsWithoutContact,    // a holder acts on while no majority answers it
    kFenceFromMemory,       // the fence counts how often this process has held
    kActsAfterRelease,      // a holder that ends says that it acts no more, and acts on
    kDutiesForgotten,       // a process that starts anew does not read what its parts' groups agreed on
    kOrderWithoutTarget,    // an order names no server: whoever has the address by now takes it
    kOrderNotExpected,      // an order does not say how many the server should have taken
    kOrderSentAgainAtOnce,  // an order without an answer is sent again at once, as if none had been taken
    kFenceNotCheckedAtSend, // the lease is looked at before the connection comes up, not when the order
                            // leaves
    kFencedOffIgnored,      // a holder that a server has fenced off goes on
    // Of usage reports (src/duties/usage_ledger.hpp, src/control/usage_duty.hpp).
    kSentBeforeAgreed,     // a window's report is sent before it is agreed on
    kCountedAgain,         // each holder works a window's counts out again
    kLedgerForgotten,      // a holder that releases its part forgets what is agreed on beside that
    kAgreedOnChanged,      // a window that is agreed on is agreed on again, with the counts of now
    kPlatformNotChecked,   // whether it may act is looked at before the connection comes up only
    kRetriedWithoutLease,  // a call that failed is sent again without a look at the lease
    kPlatformFenceIgnored, // a holder that the platform has fenced off goes on
    kWindowLeftOut,        // after a pause the windows that were missed are passed over
    kGivenUpWhenBusy       // a report that the platform has turned away as busy is not sent again
};
inline constexpr int kConsensusFaults = 12; // the first ones
inline constexpr int kControlFaults =
    static_cast<int>(PlantedFault::kLeaderCommitForgotten); // with those before
inline constexpr int kPlantedFaults = static_cast<int>(PlantedFault::kGivenUpWhenBusy);

#ifdef IVYRILL_PLANTED_FAULTS
inline thread_local PlantedFault planted_fault = PlantedFault::kNone;
inline bool planted(PlantedFault fault) { return planted_fault == fault; }
#else
constexpr bool planted(PlantedFault) { return false; }
#endif

} // namespace ivyrill
