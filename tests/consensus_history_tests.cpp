// Randomized simulations of a consensus group. To replay a failing seed with a log of its events, run
// `IVYRILL_SEED=N consensus_history_tests --run_test=history_of_one_seed --log_level=message`.
#define BOOST_TEST_MODULE consensus_history
#include "lab/consensus_world.hpp"

#include <boost/test/included/unit_test.hpp>
#include <cstdlib>

namespace {

using namespace ivyrill::lab;

constexpr std::uint64_t kSeedsPerCase = 80;

void play_seeds(std::uint64_t group) {
    for (std::uint64_t seed = group * kSeedsPerCase + 1; seed <= (group + 1) * kSeedsPerCase; ++seed) {
        ConsensusWorld world(plan_of_seed(seed));
        world.play();
        for (const std::string& what : world.violations()) BOOST_ERROR("seed " << seed << " " << what);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(histories_of_seeds_1_to_80) { play_seeds(0); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_81_to_160) { play_seeds(1); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_161_to_240) { play_seeds(2); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_241_to_320) { play_seeds(3); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_321_to_400) { play_seeds(4); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_401_to_480) { play_seeds(5); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_481_to_560) { play_seeds(6); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_561_to_640) { play_seeds(7); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_641_to_720) { play_seeds(8); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_721_to_800) { play_seeds(9); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_801_to_880) { play_seeds(10); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_881_to_960) { play_seeds(11); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_961_to_1040) { play_seeds(12); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1041_to_1120) { play_seeds(13); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1121_to_1200) { play_seeds(14); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1201_to_1280) { play_seeds(15); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1281_to_1360) { play_seeds(16); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1361_to_1440) { play_seeds(17); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1441_to_1520) { play_seeds(18); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1521_to_1600) { play_seeds(19); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1601_to_1680) { play_seeds(20); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1681_to_1760) { play_seeds(21); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1761_to_1840) { play_seeds(22); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1841_to_1920) { play_seeds(23); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1921_to_2000) { play_seeds(24); }

BOOST_AUTO_TEST_CASE(history_of_one_seed) {
    const char* given = std::getenv("IVYRILL_SEED");
    ConsensusPlan plan = plan_of_seed(given ? std::strtoull(given, nullptr, 10) : 1);
    plan.records_trace = true;
    ConsensusWorld world(plan);
    world.play();
    for (const std::string& line : world.trace()) BOOST_TEST_MESSAGE(line);
    for (const std::string& what : world.violations()) BOOST_ERROR(what);
}

// The generated histories must contain enough faults, writes and membership changes to find errors.
BOOST_AUTO_TEST_CASE(histories_contain_faults_writes_and_changes) {
    ConsensusCounts sum;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        ConsensusWorld world(plan_of_seed(seed));
        world.play();
        const ConsensusCounts& counts = world.counts();
        sum.faults += counts.faults;
        sum.acknowledged += counts.acknowledged;
        sum.unknown += counts.unknown;
        sum.reads += counts.reads;
        sum.elections += counts.elections;
        sum.wiped += counts.wiped;
        sum.replaced += counts.replaced;
        sum.changes_of_voters += counts.changes_of_voters;
    }
    BOOST_TEST(sum.faults > 500U);
    BOOST_TEST(sum.acknowledged > 5000U);
    BOOST_TEST(sum.unknown > 5U);
    BOOST_TEST(sum.reads > 1000U);
    BOOST_TEST(sum.elections > 100U);
    BOOST_TEST(sum.wiped > 5U);
    BOOST_TEST(sum.replaced > 5U);
    BOOST_TEST(sum.changes_of_voters > 50U);
}

BOOST_AUTO_TEST_CASE(a_seed_reproduces_the_same_history) {
    std::vector<std::string> traces[2];
    for (auto& trace : traces) {
        ConsensusPlan plan = plan_of_seed(17);
        plan.records_trace = true;
        ConsensusWorld world(plan);
        world.play();
        trace = world.trace();
    }
    BOOST_TEST(traces[0].size() > 50);
    BOOST_TEST((traces[0] == traces[1]));
}
