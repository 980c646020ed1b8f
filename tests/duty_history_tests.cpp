// Simulated histories of control nodes whose duties move between nodes while servers accept orders. A failing
// seed is replayed alone, with its event log, by `measure_control --duty-seed N`.
#define BOOST_TEST_MODULE duty_history
#include "lab/control_world.hpp"

#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill::lab;

#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kSeedsPerCase =
    3; // each takes ten times as long with the sanitizer, and a test case may run for a minute
#else
constexpr std::uint64_t kSeedsPerCase = 20;
#endif

// Also checks that the histories exercise the duties: servers were ordered and accepted orders, usage was
// reported and retried, and server counts were ordered.
void run_seeds(std::uint64_t group) {
    std::uint64_t orders = 0, accepted = 0, calls = 0, reports = 0, counts = 0;
    for (std::uint64_t seed = group * kSeedsPerCase + 1; seed <= (group + 1) * kSeedsPerCase; ++seed) {
        ControlWorld world(duty_plan_of_seed(seed));
        world.play();
        for (const std::string& violation : world.violations())
            BOOST_ERROR("seed " << seed << " " << violation);
        orders += world.counts().orders_to_servers, accepted += world.counts().orders_accepted;
        calls += world.counts().platform_calls, reports += world.counts().reports_accepted;
        counts += world.counts().counts_accepted;
    }
    BOOST_TEST(orders > 20 * kSeedsPerCase);
    BOOST_TEST(accepted > 0U);
    BOOST_TEST(reports > 10 * kSeedsPerCase);
    BOOST_TEST(calls > reports);
    BOOST_TEST(counts > kSeedsPerCase);
}

} // namespace

BOOST_AUTO_TEST_CASE(duty_histories_of_seeds_1_to_20) { run_seeds(0); }
BOOST_AUTO_TEST_CASE(duty_histories_of_seeds_21_to_40) { run_seeds(1); }
BOOST_AUTO_TEST_CASE(duty_histories_of_seeds_41_to_60) { run_seeds(2); }
BOOST_AUTO_TEST_CASE(duty_histories_of_seeds_61_to_80) { run_seeds(3); }
