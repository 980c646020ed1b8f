// The histories of duties are asked whether they would find a wrong line: each planted fault must break a
// promise.
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
BOOST_AUTO_TEST_CASE(finds_acts_without_contact) { check_found(PlantedFault::kActsWithoutContact); }
BOOST_AUTO_TEST_CASE(finds_a_fence_from_memory) { check_found(PlantedFault::kFenceFromMemory); }
BOOST_AUTO_TEST_CASE(finds_acts_after_a_release) { check_found(PlantedFault::kActsAfterRelease); }
BOOST_AUTO_TEST_CASE(finds_duties_forgotten) { check_found(PlantedFault::kDutiesForgotten); }
BOOST_AUTO_TEST_CASE(finds_an_order_without_target) { check_found(PlantedFault::kOrderWithoutTarget); }
BOOST_AUTO_TEST_CASE(finds_an_order_that_is_not_expected) { check_found(PlantedFault::kOrderNotExpected); }
BOOST_AUTO_TEST_CASE(finds_an_order_sent_again_at_once) { check_found(PlantedFault::kOrderSentAgainAtOnce); }
BOOST_AUTO_TEST_CASE(finds_a_fence_not_checked_at_send) { check_found(PlantedFault::kFenceNotCheckedAtSend); }
BOOST_AUTO_TEST_CASE(finds_a_holder_that_goes_on_fenced_off) { check_found(PlantedFault::kFencedOffIgnored); }
BOOST_AUTO_TEST_CASE(finds_a_report_sent_before_it_is_agreed_on) {
    check_found(PlantedFault::kSentBeforeAgreed);
}
BOOST_AUTO_TEST_CASE(finds_counts_worked_out_again) { check_found(PlantedFault::kCountedAgain); }
BOOST_AUTO_TEST_CASE(finds_a_ledger_that_a_release_forgets) { check_found(PlantedFault::kLedgerForgotten); }
BOOST_AUTO_TEST_CASE(finds_an_agreed_window_that_changes) { check_found(PlantedFault::kAgreedOnChanged); }
BOOST_AUTO_TEST_CASE(finds_a_platform_call_that_is_not_checked) {
    check_found(PlantedFault::kPlatformNotChecked);
}
BOOST_AUTO_TEST_CASE(finds_a_retry_without_the_lease) { check_found(PlantedFault::kRetriedWithoutLease); }
BOOST_AUTO_TEST_CASE(finds_a_platform_fence_that_is_ignored) {
    check_found(PlantedFault::kPlatformFenceIgnored);
}
BOOST_AUTO_TEST_CASE(finds_a_window_left_out) { check_found(PlantedFault::kWindowLeftOut); }
BOOST_AUTO_TEST_CASE(finds_a_report_given_up_when_busy) { check_found(PlantedFault::kGivenUpWhenBusy); }
