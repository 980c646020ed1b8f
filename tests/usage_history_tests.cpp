// Distribution of the proxies' counts to all control nodes, in simulations with faults of links, agents,
// control nodes and clocks.
#define BOOST_TEST_MODULE usage_history
#include "lab/control_world.hpp"

#include <boost/test/included/unit_test.hpp>
#include <cstdlib>

namespace {

using namespace ivyrill;
using namespace ivyrill::lab;

constexpr Ticks kSecond = kTicksPerSecond;
constexpr std::size_t kAgents = 6;
constexpr Ticks kForwardingTime = 2 * kSecond; // time for a count to reach all control nodes

ControlPlan plan_of(std::uint64_t seed, int control_machines = 3) {
    ControlPlan plan;
    plan.seed = seed, plan.kind = ControlPlanKind::kCutOff;
    plan.control_machines = control_machines, plan.agents = kAgents, plan.servers = 0, plan.operators = 0;
    plan.usage_window_s = 5;
    return plan;
}

// Requests of four tenants, one every 4 ms at a random proxy.
void serve_for(ControlWorld& world, Ticks span) {
    static const std::vector<std::string> kTenants{"ada", "ada", "ada", "bob", "bob", "cyd", "dot"};
    const Ticks end = world.network().now() + span;
    while (world.network().now() < end) {
        world.begin_request(static_cast<std::size_t>(world.network().any(kAgents)),
                            kTenants[static_cast<std::size_t>(world.network().any(7))]);
        world.run_for(40);
    }
}

void settle(ControlWorld& world) {
    world.start_all();
    BOOST_REQUIRE(world.settle(20 * kSecond));
    // Agents have reported their clocks, and the proxies know the time from many machines.
    BOOST_REQUIRE(world.run_until(
        [&] {
            for (std::size_t agent = 0; agent < kAgents; ++agent) {
                const auto time = world.proxy_time(agent);
                if (!time || time->error_ms > 100) return false;
            }
            return true;
        },
        10 * kSecond));
    world.run_for(2 * kSecond);
}

struct Comparison {
    std::int64_t truth = 0, reported = 0;
    bool holds(double error) const {
        return std::abs(static_cast<double>(reported - truth)) <= error * static_cast<double>(truth);
    }
};

std::map<std::string, Comparison> compare(const ControlWorld& world, MachineNumber machine,
                                          std::int64_t window) {
    std::map<std::string, Comparison> comparisons;
    for (const auto& [tenant, count] : world.begun(window)) comparisons[tenant].truth = count;
    if (const auto lost = world.lost().find(window); lost != world.lost().end()) // lost with a killed process
        for (const auto& [tenant, count] : lost->second) comparisons[tenant].truth -= count;
    for (const auto& [tenant, count] : world.node(machine)->usage_aggregator().counts(window))
        comparisons[tenant].reported = count;
    return comparisons;
}

// Checks that each running control node has counts within `error` for every full window between two times.
void check_windows(ControlWorld& world, std::int64_t from_ms, std::int64_t until_ms, double error,
                   bool complete = true) {
    const std::int64_t window_ms = world.window_ms();
    int windows = 0;
    for (std::int64_t window = from_ms / window_ms + 1; (window + 1) * window_ms <= until_ms; ++window) {
        ++windows;
        for (const MachineNumber machine : world.control_machines()) {
            if (!world.network().is_up(machine)) continue;
            for (const auto& [tenant, comparison] : compare(world, machine, window))
                BOOST_TEST(comparison.holds(error), "machine " << machine << " window " << window << " "
                                                               << tenant << ": " << comparison.reported
                                                               << " for " << comparison.truth);
            if (complete)
                BOOST_TEST(world.node(machine)->usage_aggregator().is_complete(
                    window, (window + 1) * window_ms, world.network().now()));
        }
    }
    BOOST_TEST(windows > 0);
}

} // namespace

BOOST_AUTO_TEST_CASE(counts_without_faults_are_exact_at_every_control_node) {
    ControlWorld world(plan_of(1));
    settle(world);
    const std::int64_t from_ms = world.true_ms();
    serve_for(world, 20 * kSecond);
    world.run_for(kForwardingTime);
    check_windows(world, from_ms, world.true_ms() - 2000, 0.02);
}

BOOST_AUTO_TEST_CASE(counts_arrive_despite_lost_and_duplicated_messages) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ControlWorld world(plan_of(seed, 5));
        settle(world);
        const std::int64_t from_ms = world.true_ms();
        world.network().set_message_faults({0.1, 0.2, 0.2});
        serve_for(world, 15 * kSecond);
        world.network().set_message_faults({});
        world.run_for(kForwardingTime);
        check_windows(world, from_ms, world.true_ms() - 2000, 0.02);
    }
}

BOOST_AUTO_TEST_CASE(counts_arrive_through_the_restarted_agent) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ControlWorld world(plan_of(seed));
        settle(world);
        const std::int64_t from_ms = world.true_ms();
        serve_for(world, 7 * kSecond);
        for (std::size_t agent = 0; agent < kAgents; agent += 2) world.kill_agent(agent, 2 * kSecond);
        serve_for(world, 8 * kSecond);
        world.run_for(kForwardingTime);
        check_windows(world, from_ms, world.true_ms() - 2000, 0.02);
    }
}

BOOST_AUTO_TEST_CASE(counts_reach_all_after_the_receiving_control_node_is_killed) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ControlWorld world(plan_of(seed));
        settle(world);
        const std::int64_t from_ms = world.true_ms();
        for (const MachineNumber machine : world.control_machines()) {
            serve_for(world, 4 * kSecond);
            world.restart(machine, kSecond, false);
            serve_for(world, 4 * kSecond);
        }
        world.run_for(kForwardingTime + 2 * kSecond);
        check_windows(world, from_ms, world.true_ms() - 4000, 0.02);
    }
}

BOOST_AUTO_TEST_CASE(partitioned_control_node_catches_up) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ControlWorld world(plan_of(seed));
        settle(world);
        const std::int64_t from_ms = world.true_ms();
        serve_for(world, 6 * kSecond);
        const MachineNumber machine = world.control_machines()[seed % 3];
        world.isolate(machine, true);
        serve_for(world, 6 * kSecond);
        world.isolate(machine, false);
        world.run_for(4 * kSecond);
        check_windows(world, from_ms, world.true_ms() - 4000, 0.02);
    }
}

BOOST_AUTO_TEST_CASE(killed_proxies_lose_at_most_a_quarter_of_a_second) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ControlWorld world(plan_of(seed));
        settle(world);
        const std::int64_t from_ms = world.true_ms();
        serve_for(world, 8 * kSecond);
        for (std::size_t agent = 0; agent < 4; ++agent) world.kill_proxy(agent);
        serve_for(world, 6 * kSecond);
        world.run_for(kForwardingTime + 4 * kSecond); // killed processes are no longer waited for
        for (const std::string& violation : world.violations()) BOOST_ERROR(violation);
        check_windows(world, from_ms, world.true_ms() - 6000, 0.02);
    }
}

BOOST_AUTO_TEST_CASE(graceful_proxy_shutdown_loses_nothing_and_does_not_delay) {
    ControlWorld world(plan_of(3));
    settle(world);
    const std::int64_t from_ms = world.true_ms();
    serve_for(world, 8 * kSecond);
    for (std::size_t agent = 0; agent < 3; ++agent) world.end_proxy(agent);
    serve_for(world, 5 * kSecond);
    world.run_for(kSecond);
    check_windows(world, from_ms, world.true_ms() - 1000, 0.02);
}

BOOST_AUTO_TEST_CASE(windows_stay_correct_while_two_fifths_of_the_clocks_jump) {
    for (const std::int64_t step_ms : {3000, -3000, 2000, -2000}) {
        ControlWorld world(plan_of(5));
        settle(world);
        const std::int64_t from_ms = world.true_ms();
        serve_for(world, 5 * kSecond);
        world.step_clock(world.control_machines()[0], step_ms); // of nine machines
        world.step_clock(world.agent_machine(0), step_ms);
        world.step_clock(world.agent_machine(1), step_ms);
        serve_for(world, 12 * kSecond);
        const auto time = world.node(world.control_machines()[0])->fleet_clock().at(world.network().now());
        BOOST_REQUIRE(time.has_value());
        BOOST_TEST(std::abs(time->unix_ms - world.true_ms()) <= 20);
        for (const MachineNumber machine : {world.control_machines()[0], world.agent_machine(0)})
            world.step_clock(machine, 0);
        serve_for(world, 8 * kSecond);
        world.run_for(kForwardingTime);
        check_windows(world, from_ms, world.true_ms() - 2000, 0.02);
        for (std::size_t agent = 0; agent < kAgents; ++agent)
            BOOST_TEST(std::abs(world.proxy_time(agent)->unix_ms - world.true_ms()) <= 20);
    }
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_or_kept_without_usage_reports) {
    ControlPlan plan = plan_of(1);
    plan.usage_window_s = 0;
    ControlWorld world(plan);
    std::uint64_t sent = 0;
    world.network().watched = [&](MachineNumber, MachineNumber, const feed::Message& message) {
        if (std::holds_alternative<feed::UsageCounts>(message)) ++sent;
        if (const auto* heartbeat = std::get_if<feed::Heartbeat>(&message);
            heartbeat && heartbeat->unix_ms != 0)
            ++sent;
        if (const auto* status = std::get_if<feed::PeerStatus>(&message); status && status->unix_ms != 0)
            ++sent;
    };
    world.start_all();
    BOOST_REQUIRE(world.settle(20 * kSecond));
    world.run_for(5 * kSecond);
    BOOST_TEST(sent == 0U);
    for (const MachineNumber machine : world.control_machines())
        BOOST_TEST(!world.node(machine)->fleet_clock().at(world.network().now()).has_value());
}
