// Checks that the duty histories detect faults: each planted fault must violate a promise.
#define BOOST_TEST_MODULE duty_planted
#include "lab/control_world.hpp"
#include "lab/planted_search.hpp"

#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using namespace ivyrill::lab;

constexpr std::uint64_t kSeeds = 150; // measure_control tries 2,000

void check_found(PlantedFault fault) {
    const auto found = search_planted<ControlWorld>(fault, duty_plan_of_seed, 1, kSeeds);
    BOOST_TEST(found.has_value(), "not found within " << kSeeds << " seeds");
}

} // namespace

BOOST_AUTO_TEST_CASE(finds_a_lease_that_is_not_awaited) { check_found(PlantedFault::kLeaseNotAwaited); }
BOOST_AUTO_TEST_CASE(finds_a_holder_that_returns_at_once) { check_found(PlantedFault::kHolderReturnsAtOnce); }
BOOST_AUTO_TEST_CASE(finds_acting_without_contact) { check_found(PlantedFault::kActsWithoutContact); }
BOOST_AUTO_TEST_CASE(finds_a_fence_from_memory) { check_found(PlantedFault::kFenceFromMemory); }
BOOST_AUTO_TEST_CASE(finds_acting_after_a_release) { check_found(PlantedFault::kActsAfterRelease); }
BOOST_AUTO_TEST_CASE(finds_forgotten_duty_state) { check_found(PlantedFault::kDutiesForgotten); }
BOOST_AUTO_TEST_CASE(finds_an_order_without_target) { check_found(PlantedFault::kOrderWithoutTarget); }
BOOST_AUTO_TEST_CASE(finds_an_order_without_expected_count) { check_found(PlantedFault::kOrderNotExpected); }
BOOST_AUTO_TEST_CASE(finds_an_order_sent_again_at_once) { check_found(PlantedFault::kOrderSentAgainAtOnce); }
BOOST_AUTO_TEST_CASE(finds_a_fence_not_checked_at_send) { check_found(PlantedFault::kFenceNotCheckedAtSend); }
BOOST_AUTO_TEST_CASE(finds_a_fenced_off_holder_that_continues) {
    check_found(PlantedFault::kFencedOffIgnored);
}
BOOST_AUTO_TEST_CASE(finds_a_report_sent_before_it_is_committed) {
    check_found(PlantedFault::kSentBeforeAgreed);
}
BOOST_AUTO_TEST_CASE(finds_recomputed_counts) { check_found(PlantedFault::kCountedAgain); }
BOOST_AUTO_TEST_CASE(finds_a_ledger_lost_in_a_release) { check_found(PlantedFault::kLedgerForgotten); }
BOOST_AUTO_TEST_CASE(finds_a_committed_window_that_changes) { check_found(PlantedFault::kAgreedOnChanged); }
BOOST_AUTO_TEST_CASE(finds_a_platform_call_without_a_lease_check) {
    check_found(PlantedFault::kPlatformNotChecked);
}
BOOST_AUTO_TEST_CASE(finds_a_retry_without_the_lease) { check_found(PlantedFault::kRetriedWithoutLease); }
BOOST_AUTO_TEST_CASE(finds_an_ignored_platform_fence) { check_found(PlantedFault::kPlatformFenceIgnored); }
BOOST_AUTO_TEST_CASE(finds_a_skipped_window) { check_found(PlantedFault::kWindowLeftOut); }
BOOST_AUTO_TEST_CASE(finds_a_report_given_up_when_busy) { check_found(PlantedFault::kGivenUpWhenBusy); }
