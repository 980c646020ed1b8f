// Usage reports of the whole fleet in real processes on loopback, to a stand-in for the platform. Every wait
// is for a condition, with a bound.
#define BOOST_TEST_MODULE fleet_duty
#include "lab/platform.hpp"
#include "lab/real_fleet.hpp"
#include "protocol/json.hpp"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace ivyrill;
using namespace ivyrill::lab;

constexpr std::int64_t kWindowS = 1;
constexpr Tenths kWindow = kWindowS * kTenthsPerSecond;
constexpr Tenths kLease = 3 * kTenthsPerSecond;       // `leaseMs` of examples/fleet/settings
constexpr Tenths kClockError = kTenthsPerSecond / 20; // between what a client and a proxy call now
constexpr Tenths kCountsLeave = kTenthsPerSecond / 4; // a proxy's counts are with others so much later
constexpr std::size_t kFirstWindows = 2, kMoreWindows = 3;

struct ReportingFleet : RealFleet {
    ReportingFleet() : RealFleet(PlatformSettings{kWindowS}), platform_api(loop(), platform(), kLease) {
        also_pass([this] { platform_api.pass(); });
        BOOST_REQUIRE(replace(with_tenants(5), 1) == 200);
        for (const char* proxy : {"proxy-1", "proxy-2"})
            BOOST_REQUIRE(
                until([&] { return log(proxy).find("event=configuration version=5") != std::string::npos; }));
        BOOST_REQUIRE(until([&] { return platform_api.reports().size() >= kFirstWindows; }));
    }

    // The control node that reports, by what any of them tells; 0 for none.
    int holder() {
        for (int number = 1; number <= kControls; ++number) {
            if (!running("control-" + std::to_string(number))) continue;
            ClientRequest inspect;
            inspect.method = "GET", inspect.target = "/inspect", inspect.model = "";
            if (ask(control(number), inspect).body.find("\"reports\":true") != std::string::npos)
                return number;
        }
        return 0;
    }
    std::string await_holder() {
        int number = 0;
        BOOST_REQUIRE(until([&] { return (number = holder()) != 0; }));
        return "control-" + std::to_string(number);
    }

    // Sends one request through that proxy with the tenant's key and keeps when its first token came.
    void serve(int proxy, const std::string& tenant) {
        ClientRequest request = stream("u" + std::to_string(++asked_), "f00d", 100, 4);
        request.more = {{"Api-Key", tenant == "alpha" ? "key-a1" : "key-b"}};
        const ClientAnswer& answer = ask(front(proxy), request);
        BOOST_REQUIRE(answer.head.status == 200);
        BOOST_REQUIRE(!answer.events.empty());
        begun.push_back({tenant, answer.sent_at, answer.events.front().at});
    }
    void serve_both(int times) {
        for (int i = 0; i < times; ++i) {
            serve(1 + i % 2, "alpha");
            serve(1 + i % 2, "beta");
            serve(2 - i % 2, "beta");
        }
    }

    // Every window up to the present one is reported.
    bool await_reports() {
        const std::int64_t present = loop().now() / kWindow;
        return until([&] {
            const auto& reports = platform_api.reports();
            return !reports.empty() && reports.rbegin()->first >= present && platform_api.missing() == 0;
        });
    }
    bool await_more_reports(std::size_t more = kMoreWindows) {
        const std::size_t before = platform_api.reports().size();
        return until([&] { return platform_api.reports().size() >= before + more; });
    }

    void check_promises() {
        for (const std::string& violation : platform_api.violations()) BOOST_TEST(false, violation);
        BOOST_TEST(platform_api.missing() == 0U);
        for (const char* tenant : {"alpha", "beta"}) check_counts(tenant);
    }

    Platform platform_api;

    struct Begun {
        std::string tenant;
        Tenths from = 0, to = 0; // its first token came to the proxy between
    };
    std::vector<Begun> begun;

  private:
    // Of each window: no fewer than surely began in it, and no more than may have.
    void check_counts(const std::string& tenant) {
        const auto all = std::ranges::count(begun, tenant, &Begun::tenant);
        BOOST_TEST(platform_api.counted(tenant) == all, tenant);
        for (const auto& [window, body] : platform_api.reports()) {
            const Tenths start = window * kWindow, end = start + kWindow;
            std::int64_t least = 0, most = 0;
            for (const Begun& one : begun) {
                if (one.tenant != tenant) continue;
                const Tenths from = one.from - kClockError, to = one.to + kClockError;
                least += from >= start && to < end ? 1 : 0;
                most += to >= start && from < end ? 1 : 0;
            }
            const std::int64_t told = platform_api.counted(window, tenant);
            BOOST_TEST(told >= least, tenant << " in " << body);
            BOOST_TEST(told <= most, tenant << " in " << body);
        }
    }

    int asked_ = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(each_window_is_reported_once_with_the_counts_of_both_tenants) {
    ReportingFleet fleet;
    const std::int64_t first = fleet.loop().now() / kWindow;
    while (fleet.loop().now() / kWindow < first + 3) fleet.serve_both(1);
    BOOST_REQUIRE(fleet.await_reports());
    fleet.check_promises();
    std::map<std::int64_t, int> sent; // nothing went wrong, so none is sent again
    for (const ReceivedCall& call : fleet.platform_api.calls())
        ++sent[protocol::read_json(call.body).at("windowId").as_integer("windowId")];
    for (const auto& [window, times] : sent) BOOST_TEST(times == 1, "window " << window);
}

BOOST_AUTO_TEST_CASE(a_holder_that_is_killed_is_followed_and_no_window_is_missed_or_told_otherwise) {
    ReportingFleet fleet;
    const std::string killed = fleet.await_holder();
    fleet.serve_both(4);
    fleet.signal(killed, SIGKILL);
    BOOST_REQUIRE(fleet.until([&] { return !fleet.running(killed); }));
    fleet.serve_both(4);
    BOOST_REQUIRE(fleet.await_reports());
    BOOST_TEST(fleet.platform_api.calls().back().holder != killed);
    fleet.check_promises();
}

BOOST_AUTO_TEST_CASE(a_holder_thawed_after_its_lease_with_a_call_under_way_sends_nothing_under_its_fence) {
    ReportingFleet fleet;
    const std::string frozen = fleet.await_holder();
    fleet.platform_api.set_manner(PlatformManner::kSlow);
    const std::size_t before = fleet.platform_api.calls().size();
    BOOST_REQUIRE(fleet.until([&] { return fleet.platform_api.calls().size() > before; }));
    const std::uint64_t fence = fleet.platform_api.calls().back().fence;
    fleet.signal(frozen, SIGSTOP); // the answer to that call is still to come
    fleet.serve_both(2);
    const auto is_followed = [&] { return fleet.platform_api.calls().back().fence > fence; };
    BOOST_TEST(fleet.until(is_followed));
    fleet.signal(frozen, SIGCONT);
    fleet.platform_api.set_manner(PlatformManner::kQuick);
    BOOST_REQUIRE(fleet.await_more_reports());
    BOOST_REQUIRE(fleet.await_reports());
    fleet.check_promises();
}

BOOST_AUTO_TEST_CASE(all_control_processes_killed_at_once_go_on_with_the_windows_and_tell_none_otherwise) {
    ReportingFleet fleet;
    fleet.platform_api.set_manner(PlatformManner::kResets); // taken, but not acknowledged: sent again
    fleet.serve_both(4);
    BOOST_REQUIRE(fleet.await_reports());
    const std::vector<std::string> controls{"control-1", "control-2", "control-3"};
    std::vector<std::string> killed{"agent-1", "proxy-1"}; // who could tell those counts once more
    killed.insert(killed.end(), controls.begin(), controls.end());
    for (const std::string& name : killed) fleet.signal(name, SIGKILL);
    for (const std::string& name : killed) BOOST_REQUIRE(fleet.until([&] { return !fleet.running(name); }));
    const std::size_t before = fleet.platform_api.calls().size();
    for (const std::string& name : controls) fleet.restart(name);
    BOOST_REQUIRE(fleet.until([&] { return fleet.platform_api.calls().size() > before; }));
    fleet.platform_api.set_manner(PlatformManner::kQuick);
    for (int i = 0; i < 4; ++i) fleet.serve(2, "alpha");
    BOOST_REQUIRE(fleet.await_reports());
    fleet.check_promises();
}

BOOST_AUTO_TEST_CASE(windows_of_a_platform_that_was_silent_busy_or_talked_garbage_follow_with_all_counts) {
    ReportingFleet fleet;
    for (const PlatformManner manner : {PlatformManner::kSilent, PlatformManner::kBusy,
                                        PlatformManner::kGarbage, PlatformManner::kHalfAnswer}) {
        fleet.platform_api.set_manner(manner);
        const std::size_t before = fleet.platform_api.calls().size();
        fleet.serve_both(2);
        BOOST_REQUIRE(fleet.until([&] { return fleet.platform_api.calls().size() >= before + 2; }));
    }
    fleet.platform_api.set_manner(PlatformManner::kQuick);
    BOOST_REQUIRE(fleet.await_reports());
    fleet.check_promises();
}

BOOST_AUTO_TEST_CASE(counts_of_a_killed_proxy_up_to_a_quarter_of_a_second_before_are_reported) {
    ReportingFleet fleet;
    fleet.serve_both(6);
    const Tenths served_at = fleet.loop().now();
    BOOST_REQUIRE(fleet.until([&] { return fleet.loop().now() >= served_at + kCountsLeave; }));
    fleet.signal("proxy-1", SIGKILL);
    BOOST_REQUIRE(fleet.until([&] { return !fleet.running("proxy-1"); }));
    fleet.serve(2, "alpha");
    BOOST_REQUIRE(fleet.await_reports());
    fleet.check_promises();
}
