// ControlWorld: the platform that receives usage reports. It may be slow, silent or busy, reset connections
// or send invalid answers; each call is checked, regardless of the platform's answer.
#include "lab/control_world.hpp"

#include "control/http_platform_client.hpp"
#include "protocol/http.hpp"
#include "protocol/json.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace ivyrill::lab {

namespace {

using duties::PlatformCall;
using duties::PlatformClient;
using duties::PlatformOutcome;

const std::string kAddress = "10.0.9.1:8168";
constexpr std::int64_t kLateMs = 10'000;                // `usageLateS`: in the fault-free period
constexpr Ticks kReportedWithin = 40 * kTicksPerSecond; // all missed windows, once faults have ended
constexpr Ticks kRequestInterval = 500;
constexpr std::int64_t kMostStepMs = 3'000; // maximum jump of a machine's time of day
constexpr double kUsageError = 0.05;        // `usageError`
const std::vector<std::string> kTenants{"nowu640", "goka901", "\"quoted\\"};

} // namespace

// Delivers a node's calls to the simulated platform; all processes of a machine share it.
class ControlWorld::WorldPlatformLink : public PlatformClient {
  public:
    WorldPlatformLink(ControlWorld& world, MachineNumber machine) : world_(world), machine_(machine) {}
    void send(const PlatformCall& call, const std::string& holder, std::function<bool()> may_send,
              std::function<void(PlatformOutcome)> done) override {
        world_.open_platform_connection(machine_, {call, holder}, std::move(may_send), std::move(done));
    }

  private:
    ControlWorld& world_;
    MachineNumber machine_;
};

PlatformClient& ControlWorld::platform_link(MachineNumber machine) {
    std::unique_ptr<PlatformClient>& link = platform_links_[machine];
    if (!link) link = std::make_unique<WorldPlatformLink>(*this, machine);
    return *link;
}

void ControlWorld::open_platform_connection(MachineNumber machine, const PlatformRequest& request,
                                            std::function<bool()> may_send,
                                            std::function<void(PlatformOutcome)> done) {
    const Ticks up_after = network_.chance(0.3) ? network_.between(500, 2500) : network_.between(10, 30);
    const int incarnation = network_.incarnation(machine);
    network_.schedule(network_.now() + up_after,
                      [=, this, may_send = std::move(may_send), done = std::move(done)] {
                          if (!network_.is_up(machine) || network_.incarnation(machine) != incarnation)
                              return;
                          network_.run_on(machine, [=, this] {
                              if (!may_send()) return done(PlatformOutcome::kNotSent);
                              platform_call_leaves(machine, request, done);
                          });
                      });
}

// As determined by the group, to the knowledge of the sender's replica.
void ControlWorld::check_is_agreed(MachineNumber machine, const PlatformCall& call) {
    const auto state = node(machine)->duty_partitions()->committed(duties::usage_report_duty());
    const bool is_agreed =
        state && std::ranges::find(state->usage.committed, call.body, &duties::CommittedWindow::body) !=
                     state->usage.committed.end();
    if (!is_agreed) report_violation(fmt::format("machine {} sends a call that is not committed", machine));
}

void ControlWorld::report_leaves(MachineNumber machine, const PlatformRequest& request) {
    ++counts_.platform_calls;
    const auto fenced_off = platform_.fenced_off.find(machine);
    if (fenced_off != platform_.fenced_off.end() && fenced_off->second >= request.call.fence)
        report_violation(fmt::format("machine {} keeps calling under a rejected fence", machine));
    check_is_agreed(machine, request.call);
}

// A call that does not arrive within the delivery timeout never does.
void ControlWorld::platform_call_leaves(MachineNumber machine, const PlatformRequest& request,
                                        const std::function<void(PlatformOutcome)>& done) {
    is_of_count(request) ? count_call_leaves(machine, request) : report_leaves(machine, request);
    const Ticks way = network_.chance(0.2) ? network_.between(500, 3000) : network_.between(5, 20);
    const bool is_lost = network_.chance(0.05), answer_is_lost = network_.chance(0.05);
    const int incarnation = network_.incarnation(machine);
    const auto answer = [=, this](Ticks after, PlatformOutcome outcome) {
        network_.schedule(network_.now() + after, [=, this] {
            if (!network_.is_up(machine) || network_.incarnation(machine) != incarnation) return;
            network_.run_on(machine, [=, this] {
                is_of_count(request) ? count_call_ends(machine, request, outcome)
                                     : report_ends(machine, request, outcome);
                done(outcome);
            });
        });
    };
    if (is_lost) return answer(PlatformClient::kDeliveryTimeout, PlatformOutcome::kUnanswered);
    network_.schedule(network_.now() + way, [=, this] {
        const PlatformOutcome outcome = take_platform_call(machine, request);
        const bool is_unanswered = answer_is_lost || outcome == PlatformOutcome::kUnanswered;
        if (is_unanswered) return answer(PlatformClient::kResponseTimeout, PlatformOutcome::kUnanswered);
        const bool is_slow = platform_.mode == SimulatedPlatformMode::kSlow;
        answer(is_slow ? network_.between(5'000, 25'000) : network_.between(5, 20), outcome);
    });
}

PlatformOutcome ControlWorld::take_platform_call(MachineNumber sender, const PlatformRequest& request) {
    protocol::HttpParser parser(protocol::HttpParser::Side::kRequests);
    parser.feed(control::platform_request(request.call, request.holder, kAddress));
    if (!parser.complete())
        return report_violation("malformed call to the platform"), PlatformOutcome::kRefused;
    const protocol::HttpMessage message = parser.take();
    const auto fence = static_cast<std::uint64_t>(std::stoull(std::string(message.header("fence-token"))));
    const std::string name = "machine " + std::to_string(sender);
    if (message.header("duty-holder") != request.holder) report_violation(name + " does not send its name");
    const bool is_report = !is_of_count(request);
    if (is_report) judge_one(platform_.acts, sender, fence);
    if (is_report) judge_report(name, message.body);
    if (!is_report) judge_count(sender, fence, request);
    switch (platform_.mode) {
    case SimulatedPlatformMode::kBusy:
        return PlatformOutcome::kBusy;
    case SimulatedPlatformMode::kFails:
        return PlatformOutcome::kFailed;
    case SimulatedPlatformMode::kFencesOff:
        return PlatformOutcome::kFencedOff;
    case SimulatedPlatformMode::kResets: // before or after it has accepted the call
        if (is_report && network_.chance(0.5)) accept_report(message.body);
        return PlatformOutcome::kUnanswered;
    case SimulatedPlatformMode::kSilent:
        return PlatformOutcome::kUnanswered;
    case SimulatedPlatformMode::kQuick:
    case SimulatedPlatformMode::kSlow:
        break;
    }
    if (is_report) accept_report(message.body);
    return PlatformOutcome::kAccepted;
}

// Checks usage like the rule ONE, but more strictly: calls that were not accepted count as well.
void ControlWorld::judge_report(const std::string& name, const std::string& body) {
    const protocol::Json report = protocol::read_json(body);
    const std::int64_t window = report.at("windowId").as_integer("windowId");
    const auto [known, is_first] = platform_.reports.try_emplace(window, body);
    if (!is_first && known->second != body)
        report_violation(fmt::format("{} reports window {} with different counts than before", name, window));
    if ((window + 1) * window_ms() > true_ms() + kClockErrorMs)
        report_violation(fmt::format("{} reports window {}, which is not over", name, window));
}

void ControlWorld::accept_report(const std::string& body) {
    const std::int64_t window = protocol::read_json(body).at("windowId").as_integer("windowId");
    if (platform_.accepted.emplace(window, true_ms()).second) ++counts_.reports_accepted;
    record_event(fmt::format("the platform accepts window {}", window));
}

void ControlWorld::report_ends(MachineNumber machine, const PlatformRequest& request,
                               PlatformOutcome outcome) {
    if (outcome == PlatformOutcome::kAccepted) ++counts_.reports_acknowledged;
    if (outcome == PlatformOutcome::kFencedOff) platform_.fenced_off[machine] = request.call.fence;
}

// ---- the plan

void ControlWorld::start_usage() {
    begin_requests();
    change_platform_mode();
}

void ControlWorld::begin_requests() {
    network_.schedule(network_.now() + kRequestInterval, [this] { begin_requests(); });
    // Not at the edge of a window, where an error of whole milliseconds decides in which window it counts.
    const std::int64_t in_window = true_ms() % window_ms();
    if (in_window < kClockErrorMs || in_window > window_ms() - kClockErrorMs) return;
    const auto agent = static_cast<std::size_t>(network_.any(static_cast<int>(agents_.size())));
    begin_request(agent, kTenants[static_cast<std::size_t>(network_.any(static_cast<int>(kTenants.size())))]);
}

void ControlWorld::change_platform_mode() {
    if (network_.now() >= faults_until_) return;
    constexpr int kPlatformModes = static_cast<int>(SimulatedPlatformMode::kFencesOff) + 1;
    const bool is_quick = network_.chance(0.4);
    platform_.mode = is_quick ? SimulatedPlatformMode::kQuick
                              : static_cast<SimulatedPlatformMode>(network_.any(kPlatformModes));
    record_event(fmt::format("the platform's mode is {}", static_cast<int>(platform_.mode)));
    step_a_clock();
    network_.schedule(network_.now() + network_.between(10'000, 60'000), [this] { change_platform_mode(); });
}

// One machine's clock at a time: more would outvote the correct ones.
void ControlWorld::step_a_clock() {
    if (stepped_) step_clock(*stepped_, 0);
    const bool is_agent = network_.chance(0.3);
    const auto agent = static_cast<std::size_t>(network_.any(static_cast<int>(agents_.size())));
    stepped_ = is_agent ? agent_machine(agent) : any_control();
    const std::int64_t ahead_ms = network_.between(-kMostStepMs, kMostStepMs);
    step_clock(*stepped_, ahead_ms);
    record_event(fmt::format("the clock of {} is ahead by {} ms", *stepped_, ahead_ms));
}

// A platform that has rejected a holder's fence waits for a holder with a higher one.
void ControlWorld::calm_platform() {
    platform_.mode = SimulatedPlatformMode::kQuick;
    if (stepped_) step_clock(*stepped_, 0);
    for (const MachineNumber machine : control_)
        if (platform_.fenced_off.contains(machine) && !nodes_.at(machine).is_gone)
            restart(machine, 1'000, false);
    run_for(5'000);
}

bool ControlWorld::all_reported(std::int64_t last) const {
    if (platform_.reports.empty()) return false;
    for (std::int64_t window = platform_.reports.begin()->first; window <= last; ++window)
        if (!platform_.accepted.contains(window)) return false;
    return true;
}

// Every missed window has been reported; in the fault-free period each report is on time and correct.
void ControlWorld::check_usage_calm() {
    const std::int64_t missed = true_ms() / window_ms() - 1;
    if (!run_until([&] { return all_reported(missed); }, kReportedWithin))
        return report_violation("windows are not reported after the faults ended");
    const std::int64_t window = true_ms() / window_ms() + 1;
    const std::int64_t due_ms = (window + 1) * window_ms() + kLateMs;
    run_until([&] { return true_ms() >= due_ms; }, 20 * kTicksPerSecond);
    const auto accepted = platform_.accepted.find(window);
    if (accepted == platform_.accepted.end())
        return report_violation("a window of the fault-free period is reported late");
    const protocol::Json report = protocol::read_json(platform_.reports.at(window));
    for (const auto& [tenant, count] : begun(window)) {
        const protocol::Json* told = report.at("counts").find(tenant);
        const auto reported = told == nullptr ? 0.0 : told->as_number(tenant);
        const auto truth = static_cast<double>(count);
        if (std::abs(reported - truth) > kUsageError * truth)
            report_violation(fmt::format("a window of the fault-free period counts {} of {} started requests",
                                         reported, truth));
    }
}

} // namespace ivyrill::lab
