// Usage reports of a whole fleet of real processes on loopback, sent to a stand-in for the platform. Every
// wait has a condition and a bound.
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
constexpr Ticks kWindow = kWindowS * kTicksPerSecond;
constexpr Ticks kLease = 3 * kTicksPerSecond;       // `leaseMs` of examples/fleet/settings
constexpr Ticks kClockError = kTicksPerSecond / 20; // difference between a client's and a proxy's clock
// Delay until a proxy's counts have reached other processes.
constexpr Ticks kCountForwardingTime = kTicksPerSecond / 4;
constexpr std::size_t kFirstWindows = 2, kMoreWindows = 3;

struct ReportingFleet : RealFleet {
    ReportingFleet() : RealFleet(PlatformSettings{kWindowS}), platform_api(loop(), platform(), kLease) {
        call_each_turn([this] { platform_api.pass(); });
        BOOST_REQUIRE(replace(with_tenants(5), 1) == 200);
        for (const char* proxy : {"proxy-1", "proxy-2"})
            BOOST_REQUIRE(
                until([&] { return log(proxy).find("event=configuration version=5") != std::string::npos; }));
        BOOST_REQUIRE(until([&] { return platform_api.reports().size() >= kFirstWindows; }));
    }

    // The control node that reports, according to the nodes' /inspect; 0 for none.
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

    // Sends a request through that proxy with the tenant's key and records when its first token arrived.
    void serve(int proxy, const std::string& tenant) {
        ClientRequest request = stream("u" + std::to_string(++request_count_), "f00d", 100, 4);
        request.more = {{"Api-Key", tenant == "alpha" ? "key-a1" : "key-b"}};
        const ClientAnswer& answer = ask(front(proxy), request);
        BOOST_REQUIRE(answer.head.status == 200);
        BOOST_REQUIRE(!answer.events.empty());
        started.push_back({tenant, answer.sent_at, answer.events.front().at});
    }
    void serve_both(int times) {
        for (int i = 0; i < times; ++i) {
            serve(1 + i % 2, "alpha");
            serve(1 + i % 2, "beta");
            serve(2 - i % 2, "beta");
        }
    }

    // Waits until every window up to the present one is reported.
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

    struct StartedRequest {
        std::string tenant;
        Ticks from = 0, to = 0; // bounds on when its first token reached the proxy
    };
    std::vector<StartedRequest> started;

  private:
    // Each window has at least the requests that certainly started in it, and at most those that possibly
    // did.
    void check_counts(const std::string& tenant) {
        const auto all = std::ranges::count(started, tenant, &StartedRequest::tenant);
        BOOST_TEST(platform_api.counted(tenant) == all, tenant);
        for (const auto& [window, body] : platform_api.reports()) {
            const Ticks start = window * kWindow, end = start + kWindow;
            std::int64_t min_count = 0, max_count = 0;
            for (const StartedRequest& request : started) {
                if (request.tenant != tenant) continue;
                const Ticks from = request.from - kClockError, to = request.to + kClockError;
                min_count += from >= start && to < end ? 1 : 0;
                max_count += to >= start && from < end ? 1 : 0;
            }
            const std::int64_t reported = platform_api.counted(window, tenant);
            BOOST_TEST(reported >= min_count, tenant << " in " << body);
            BOOST_TEST(reported <= max_count, tenant << " in " << body);
        }
    }

    int request_count_ = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(each_window_is_reported_once_with_the_counts_of_both_tenants) {
    ReportingFleet fleet;
    const std::int64_t first = fleet.loop().now() / kWindow;
    while (fleet.loop().now() / kWindow < first + 3) fleet.serve_both(1);
    BOOST_REQUIRE(fleet.await_reports());
    fleet.check_promises();
    std::map<std::int64_t, int> sent; // without faults, no window is sent twice
    for (const ReceivedCall& call : fleet.platform_api.calls())
        ++sent[protocol::read_json(call.body).at("windowId").as_integer("windowId")];
    for (const auto& [window, times] : sent) BOOST_TEST(times == 1, "window " << window);
}

BOOST_AUTO_TEST_CASE(killed_holder_is_replaced_and_no_window_is_missed_or_changed) {
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

BOOST_AUTO_TEST_CASE(holder_resumed_after_its_lease_sends_nothing_under_its_fence) {
    ReportingFleet fleet;
    const std::string frozen = fleet.await_holder();
    fleet.platform_api.set_mode(PlatformMode::kSlow);
    const std::size_t before = fleet.platform_api.calls().size();
    BOOST_REQUIRE(fleet.until([&] { return fleet.platform_api.calls().size() > before; }));
    const std::uint64_t fence = fleet.platform_api.calls().back().fence;
    fleet.signal(frozen, SIGSTOP); // the response to that call is still outstanding
    fleet.serve_both(2);
    const auto is_replaced = [&] { return fleet.platform_api.calls().back().fence > fence; };
    BOOST_TEST(fleet.until(is_replaced));
    fleet.signal(frozen, SIGCONT);
    fleet.platform_api.set_mode(PlatformMode::kQuick);
    BOOST_REQUIRE(fleet.await_more_reports());
    BOOST_REQUIRE(fleet.await_reports());
    fleet.check_promises();
}

BOOST_AUTO_TEST_CASE(restarted_control_nodes_continue_without_changing_windows) {
    ReportingFleet fleet;
    fleet.platform_api.set_mode(PlatformMode::kResets); // processed but not acknowledged: retried
    fleet.serve_both(4);
    BOOST_REQUIRE(fleet.await_reports());
    const std::vector<std::string> controls{"control-1", "control-2", "control-3"};
    std::vector<std::string> killed{"agent-1", "proxy-1"}; // processes that could send those counts again
    killed.insert(killed.end(), controls.begin(), controls.end());
    for (const std::string& name : killed) fleet.signal(name, SIGKILL);
    for (const std::string& name : killed) BOOST_REQUIRE(fleet.until([&] { return !fleet.running(name); }));
    const std::size_t before = fleet.platform_api.calls().size();
    for (const std::string& name : controls) fleet.restart(name);
    BOOST_REQUIRE(fleet.until([&] { return fleet.platform_api.calls().size() > before; }));
    fleet.platform_api.set_mode(PlatformMode::kQuick);
    for (int i = 0; i < 4; ++i) fleet.serve(2, "alpha");
    BOOST_REQUIRE(fleet.await_reports());
    fleet.check_promises();
}

BOOST_AUTO_TEST_CASE(windows_follow_with_all_counts_after_platform_faults) {
    ReportingFleet fleet;
    for (const PlatformMode mode :
         {PlatformMode::kSilent, PlatformMode::kBusy, PlatformMode::kGarbage, PlatformMode::kHalfAnswer}) {
        fleet.platform_api.set_mode(mode);
        const std::size_t before = fleet.platform_api.calls().size();
        fleet.serve_both(2);
        BOOST_REQUIRE(fleet.until([&] { return fleet.platform_api.calls().size() >= before + 2; }));
    }
    fleet.platform_api.set_mode(PlatformMode::kQuick);
    BOOST_REQUIRE(fleet.await_reports());
    fleet.check_promises();
}

BOOST_AUTO_TEST_CASE(counts_of_a_killed_proxy_are_reported_up_to_a_quarter_of_a_second_before) {
    ReportingFleet fleet;
    fleet.serve_both(6);
    const Ticks served_at = fleet.loop().now();
    BOOST_REQUIRE(fleet.until([&] { return fleet.loop().now() >= served_at + kCountForwardingTime; }));
    fleet.signal("proxy-1", SIGKILL);
    BOOST_REQUIRE(fleet.until([&] { return !fleet.running("proxy-1"); }));
    fleet.serve(2, "alpha");
    BOOST_REQUIRE(fleet.await_reports());
    fleet.check_promises();
}
