// Mutation tests of the simulated histories: each planted fault must violate an invariant in one of them.
#define BOOST_TEST_MODULE consensus_planted
#include "lab/consensus_world.hpp"
#include "lab/planted_search.hpp"

#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using namespace ivyrill::consensus;
using namespace ivyrill::lab;

constexpr std::uint64_t kSeeds = 2000;

void check_found(PlantedFault fault) {
    const auto found = search_planted<ConsensusWorld>(fault, plan_of_seed, 1, kSeeds);
    BOOST_TEST(found.has_value(), "not found within " << kSeeds << " seeds");
}

} // namespace

BOOST_AUTO_TEST_CASE(no_violations_without_a_fault) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        ConsensusWorld world(plan_of_seed(seed));
        world.play();
        BOOST_TEST(world.violations().empty());
    }
}

BOOST_AUTO_TEST_CASE(finds_a_vote_before_it_is_stored) { check_found(PlantedFault::kVoteBeforeStored); }
BOOST_AUTO_TEST_CASE(finds_former_voters_ignored) { check_found(PlantedFault::kFormerVotersIgnored); }
BOOST_AUTO_TEST_CASE(finds_the_own_disk_assumed) { check_found(PlantedFault::kOwnDiskAssumed); }
BOOST_AUTO_TEST_CASE(finds_an_older_candidate_accepted) {
    check_found(PlantedFault::kOlderCandidateAccepted);
}
BOOST_AUTO_TEST_CASE(finds_a_new_disk_that_votes) { check_found(PlantedFault::kNewDiskVotes); }
BOOST_AUTO_TEST_CASE(finds_an_old_term_committed) { check_found(PlantedFault::kOldTermCommitted); }
BOOST_AUTO_TEST_CASE(finds_a_read_without_a_round) { check_found(PlantedFault::kReadWithoutRound); }
BOOST_AUTO_TEST_CASE(finds_a_reply_before_it_is_stored) { check_found(PlantedFault::kReplyBeforeStored); }
BOOST_AUTO_TEST_CASE(finds_a_change_without_joint_entry) {
    check_found(PlantedFault::kChangeWithoutJointEntry);
}
BOOST_AUTO_TEST_CASE(finds_queued_reported_committed) { check_found(PlantedFault::kQueuedReportedCommitted); }
BOOST_AUTO_TEST_CASE(finds_unknown_reported_rejected) { check_found(PlantedFault::kUnknownReportedRejected); }
BOOST_AUTO_TEST_CASE(finds_an_older_term_accepted) { check_found(PlantedFault::kOlderTermAccepted); }
