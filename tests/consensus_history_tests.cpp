// Histories drawn from seeds. One that fails is played alone, with its story, by
// `IVYRILL_SEED=N consensus_history_tests --run_test=history_of_one_seed --log_level=message`.
#define BOOST_TEST_MODULE consensus_history
#include "lab/consensus_world.hpp"

#include <boost/test/included/unit_test.hpp>
#include <cstdlib>

namespace {

using namespace ivyrill::lab;

constexpr std::uint64_t kSeedsOfCase = 250;

void play_seeds(std::uint64_t part) {
    for (std::uint64_t seed = part * kSeedsOfCase + 1; seed <= (part + 1) * kSeedsOfCase; ++seed) {
        ConsensusWorld world(plan_of_seed(seed));
        world.play();
        for (const std::string& what : world.broken()) BOOST_ERROR("seed " << seed << " " << what);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(histories_of_seeds_1_to_250) { play_seeds(0); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_251_to_500) { play_seeds(1); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_501_to_750) { play_seeds(2); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_751_to_1000) { play_seeds(3); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1001_to_1250) { play_seeds(4); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1251_to_1500) { play_seeds(5); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1501_to_1750) { play_seeds(6); }
BOOST_AUTO_TEST_CASE(histories_of_seeds_1751_to_2000) { play_seeds(7); }

BOOST_AUTO_TEST_CASE(history_of_one_seed) {
    const char* given = std::getenv("IVYRILL_SEED");
    ConsensusPlan plan = plan_of_seed(given ? std::strtoull(given, nullptr, 10) : 1);
    plan.tells = true;
    ConsensusWorld world(plan);
    world.play();
    for (const std::string& line : world.story()) BOOST_TEST_MESSAGE(line);
    for (const std::string& what : world.broken()) BOOST_ERROR(what);
}

// A history in which hardly anything happens would find hardly anything.
BOOST_AUTO_TEST_CASE(histories_hold_faults_writes_and_changes) {
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

BOOST_AUTO_TEST_CASE(a_history_is_the_same_each_time) {
    std::vector<std::string> stories[2];
    for (auto& story : stories) {
        ConsensusPlan plan = plan_of_seed(17);
        plan.tells = true;
        ConsensusWorld world(plan);
        world.play();
        story = world.story();
    }
    BOOST_TEST(stories[0].size() > 50);
    BOOST_TEST((stories[0] == stories[1]));
}
