// The process's budget for buffers: who may go on reading, who is shed, which connection gives way, and how a
// machine's limits are divided.
#define BOOST_TEST_MODULE buffer_budget
#include "base/pcg.hpp"
#include "limits/buffer_budget.hpp"
#include "limits/connection_choice.hpp"
#include "limits/process_limits.hpp"

#include <boost/test/included/unit_test.hpp>
#include <iterator>
#include <list>
#include <memory>
#include <vector>

namespace {

using namespace ivyrill;
using namespace ivyrill::limits;

using Account = BufferBudget::Account;

constexpr std::size_t kCapacity = 10 * 1024 * 1024, kWatermark = kCapacity * 6 / 10;
constexpr std::size_t kSmall = Account::kSmallRequestBytes;
constexpr Ticks kStart = 70, kLater = kStart + Account::kStallTime;

struct Connection {
    Connection(BufferBudget& budget, BufferPhase phase, std::size_t held, Ticks since = kStart)
        : charged(budget, since, [this] { ++times_shed; }) {
        charged.enter(phase, since);
        charged.set_held(held);
    }
    Account& account() { return charged; }
    Account charged;
    int times_shed = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(what_accounts_hold_is_summed_and_returned) {
    BufferBudget budget(kCapacity);
    {
        Connection one(budget, BufferPhase::kReceiving, 300), two(budget, BufferPhase::kServing, 40);
        BOOST_TEST(budget.held() == 340U);
        one.charged.set_held(100);
        BOOST_TEST(budget.held() == 140U);
        BOOST_TEST(budget.has_room(kCapacity - 140));
        BOOST_TEST(!budget.has_room(kCapacity - 139));
    }
    BOOST_TEST(budget.held() == 0U);
}

BOOST_AUTO_TEST_CASE(beyond_the_watermark_only_small_requests_are_read_further) {
    BufferBudget budget(kCapacity);
    Connection others(budget, BufferPhase::kServing, kWatermark);
    Connection large(budget, BufferPhase::kReceiving, kSmall), small(budget, BufferPhase::kReceiving, 0);
    BOOST_TEST(!large.charged.may_grow(1));
    BOOST_TEST(small.charged.may_grow(kSmall));
    others.charged.set_held(kCapacity - kSmall);
    BOOST_TEST(!small.charged.may_grow(1)); // nothing is left at all
    others.charged.set_held(kWatermark - kSmall - 1);
    BOOST_TEST(large.charged.may_grow(1));
}

BOOST_AUTO_TEST_CASE(large_request_that_is_nearly_alone_may_use_all) {
    BufferBudget budget(kCapacity);
    Connection large(budget, BufferPhase::kReceiving, kWatermark),
        small(budget, BufferPhase::kReceiving, 100);
    BOOST_TEST(large.charged.may_grow(kCapacity - kWatermark - 100));
    BOOST_TEST(!large.charged.may_grow(kCapacity - kWatermark - 99));
}

BOOST_AUTO_TEST_CASE(of_stalled_peers_the_one_that_holds_most_is_shed_once) {
    BufferBudget budget(kCapacity);
    Connection little(budget, BufferPhase::kReceiving, 1000), most(budget, BufferPhase::kSending, 3000);
    BOOST_TEST(!budget.shed_stalled(kLater - 1));
    BOOST_TEST(budget.shed_stalled(kLater + kTicksPerSecond));
    BOOST_TEST(most.times_shed == 1);
    BOOST_TEST(most.charged.is_shed());
    BOOST_TEST(budget.shed_stalled(kLater + kTicksPerSecond));
    BOOST_TEST(little.times_shed == 1);
    BOOST_TEST(!budget.shed_stalled(kLater + kTicksPerSecond));
    BOOST_TEST(most.times_shed == 1);
    BOOST_TEST(budget.shed_count() == 2U);
}

BOOST_AUTO_TEST_CASE(what_a_server_runs_and_what_this_process_pauses_is_never_shed) {
    BufferBudget budget(kCapacity);
    for (const BufferPhase phase : {BufferPhase::kServing, BufferPhase::kPaused, BufferPhase::kIdle}) {
        Connection connection(budget, phase, 3000);
        BOOST_TEST(!budget.shed_stalled(kLater + 60 * kTicksPerSecond));
        BOOST_TEST(connection.times_shed == 0);
    }
}

BOOST_AUTO_TEST_CASE(peer_that_moves_has_not_stalled_and_one_that_trickles_has) {
    constexpr std::uint64_t kLineOf2Mbit = 250'000; // bytes a second
    const auto stalled_after = [](std::uint64_t bytes_per_s, Ticks span) {
        BufferBudget budget(kCapacity);
        Connection connection(budget, BufferPhase::kSending, 3000);
        for (Ticks passed = 0; passed <= span; passed += kTicksPerSecond / 10)
            connection.charged.record_transferred(
                bytes_per_s * static_cast<std::uint64_t>(passed) / kTicksPerSecond, kStart + passed);
        return connection.charged.has_stalled(kStart + span);
    };
    BOOST_TEST(!stalled_after(kLineOf2Mbit, 20 * kTicksPerSecond));
    BOOST_TEST(!stalled_after(kLineOf2Mbit / 4, 20 * kTicksPerSecond));
    BOOST_TEST(!stalled_after(20'000, Account::kPatience - 1));
    BOOST_TEST(stalled_after(20'000, Account::kPatience));
    BOOST_TEST(stalled_after(3'000, Account::kStallTime));
    BOOST_TEST(stalled_after(0, Account::kStallTime));
}

BOOST_AUTO_TEST_CASE(progress_of_an_earlier_phase_does_not_count_in_the_next) {
    BufferBudget budget(kCapacity);
    Connection connection(budget, BufferPhase::kReceiving, 3000);
    connection.charged.record_transferred(4'000'000, kStart);
    connection.charged.enter(BufferPhase::kSending, kStart + kTicksPerSecond);
    connection.charged.enter(BufferPhase::kSending, kLater); // it is in that phase already
    BOOST_TEST(!connection.charged.has_stalled(kLater));
    BOOST_TEST(connection.charged.has_stalled(kLater + kTicksPerSecond));
}

BOOST_AUTO_TEST_CASE(longest_idle_connection_gives_way_then_a_stalled_one_and_none_in_use) {
    BufferBudget budget(kCapacity);
    std::list<Connection> connections;
    const auto chosen = [&] {
        return std::distance(connections.begin(), find_least_used(connections, kLater));
    };
    BOOST_TEST(chosen() == 0);
    connections.emplace_back(budget, BufferPhase::kServing, 0);
    connections.emplace_back(budget, BufferPhase::kReceiving, 0, kLater - 1);
    BOOST_TEST(chosen() == 2); // the end: none
    connections.emplace_back(budget, BufferPhase::kReceiving, 0);
    BOOST_TEST(chosen() == 2);
    connections.emplace_back(budget, BufferPhase::kIdle, 0, kLater - 1);
    connections.emplace_back(budget, BufferPhase::kIdle, 0, kLater - 2);
    BOOST_TEST(chosen() == 4);
}

BOOST_AUTO_TEST_CASE(no_order_of_events_exceeds_the_capacity_or_sheds_what_runs) {
    constexpr BufferPhase kPhases[] = {BufferPhase::kIdle, BufferPhase::kReceiving, BufferPhase::kPaused,
                                       BufferPhase::kServing, BufferPhase::kSending};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Pcg random(seed);
        const auto below = [&random](std::size_t bound) { return random.next() % bound; };
        BufferBudget budget(kCapacity);
        std::list<Connection> connections;
        Ticks now = kStart;
        for (int step = 0; step < 2000; ++step) {
            now += static_cast<Ticks>(below(kTicksPerSecond / 5));
            if (connections.size() < 40) connections.emplace_back(budget, BufferPhase::kIdle, 0, now);
            auto picked = std::next(connections.begin(), static_cast<long>(below(connections.size())));
            const std::size_t bytes = below(kCapacity / 8);
            if (picked->charged.may_grow(bytes)) picked->charged.set_held(picked->charged.held() + bytes);
            picked->charged.enter(kPhases[below(std::size(kPhases))], now);
            BOOST_REQUIRE(budget.held() <= kCapacity);
            budget.shed_stalled(now);
            for (auto connection = connections.begin(); connection != connections.end();) {
                const bool is_shed = connection->charged.is_shed();
                const BufferPhase phase = connection->charged.phase();
                if (is_shed)
                    BOOST_REQUIRE((phase == BufferPhase::kReceiving || phase == BufferPhase::kSending));
                BOOST_REQUIRE(connection->times_shed == (is_shed ? 1 : 0));
                connection = is_shed ? connections.erase(connection) : std::next(connection);
            }
        }
        connections.clear();
        BOOST_TEST(budget.held() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(divided_limits_stay_within_the_machine) {
    for (const std::int64_t descriptors : {64, 256, 1024, 4100, 65'536}) {
        settings::MachineLimits machine;
        machine.memory_mb = 260, machine.file_descriptors = descriptors;
        const ProxyLimits proxy = proxy_limits(machine);
        BOOST_TEST(proxy.client_connections > 0U);
        BOOST_TEST(proxy.ready_connections > 0U);
        // Each client may need a connection to a server as well.
        BOOST_TEST(2 * proxy.client_connections + proxy.ready_connections <
                   static_cast<std::size_t>(descriptors));
        const ControlLimits control = control_limits(machine);
        BOOST_TEST(control.call_connections > 0U);
        BOOST_TEST(control.call_connections < static_cast<std::size_t>(descriptors));
        BOOST_TEST(control.buffer_bytes == proxy.buffer_bytes);
        BOOST_TEST(proxy.buffer_bytes < 130U * 1024 * 1024);
    }
    BOOST_TEST(proxy_limits({}).buffer_bytes > 0U); // the settings name no limits
    BOOST_TEST(proxy_limits({}).client_connections > 0U);
}
