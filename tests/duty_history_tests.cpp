// Histories of whole control nodes whose duties move between them while servers take orders. One that fails
// is played alone, with its story, by `measure_control --duty-seed N`.
#define BOOST_TEST_MODULE duty_history
#include "lab/control_world.hpp"

#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill::lab;

#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kSeedsOfCase = 3; // each takes ten times as long, and a case has a minute
#else
constexpr std::uint64_t kSeedsOfCase = 20;
#endif

// Each serves its purpose: servers were ordered, and some took an order; usage was reported, also again;
// numbers of servers were ordered.
void play_seeds(std::uint64_t part) {
    std::uint64_t orders = 0, taken = 0, calls = 0, reports = 0, counts = 0;
    for (std::uint64_t seed = part * kSeedsOfCase + 1; seed <= (part + 1) * kSeedsOfCase; ++seed) {
        ControlWorld world(duty_plan_of_seed(seed));
        world.play();
        for (const std::string& what : world.broken()) BOOST_ERROR("seed " << seed << " " << what);
        orders += world.counts().orders_to_servers, taken += world.counts().orders_accepted;
        calls += world.counts().platform_calls, reports += world.counts().reports_accepted;
        counts += world.counts().counts_accepted;
    }
    BOOST_TEST(orders > 20 * kSeedsOfCase);
    BOOST_TEST(taken > 0U);
    BOOST_TEST(reports > 10 * kSeedsOfCase);
    BOOST_TEST(calls > reports);
    BOOST_TEST(counts > kSeedsOfCase);
}

} // namespace

BOOST_AUTO_TEST_CASE(duty_histories_of_seeds_1_to_20) { play_seeds(0); }
BOOST_AUTO_TEST_CASE(duty_histories_of_seeds_21_to_40) { play_seeds(1); }
BOOST_AUTO_TEST_CASE(duty_histories_of_seeds_41_to_60) { play_seeds(2); }
BOOST_AUTO_TEST_CASE(duty_histories_of_seeds_61_to_80) { play_seeds(3); }
