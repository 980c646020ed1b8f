// ControlWorld: the platform that receives desired server counts. Each call is checked, regardless of the
// platform's answer.
#include "lab/control_world.hpp"

#include "protocol/json.hpp"

#include <fmt/format.h>

namespace ivyrill::lab {

namespace {

constexpr std::int64_t kLeast = 1, kMost = 6; // `minCount`, `maxCount` (control_clients.cpp)

} // namespace

ControlWorld::CountSubject& ControlWorld::count_subject(const PlatformRequest& request) {
    const protocol::Json body = protocol::read_json(request.call.body);
    return platform_
        .count_subjects[body.at("service").as_text("service") + "/" + body.at("zone").as_text("zone")];
}

void ControlWorld::count_call_leaves(MachineNumber machine, const PlatformRequest& request) {
    ++counts_.count_calls;
    CountSubject& subject = count_subject(request);
    const auto fenced_off = subject.fenced_off.find(machine);
    if (fenced_off != subject.fenced_off.end() && fenced_off->second >= request.call.fence)
        report_violation(fmt::format("machine {} orders server counts under a rejected fence", machine));
    if (!subject.under_way.insert({machine, network_.incarnation(machine)}).second)
        report_violation(fmt::format("machine {} has two calls for one zone in flight", machine));
}

void ControlWorld::count_call_ends(MachineNumber machine, const PlatformRequest& request,
                                   duties::PlatformOutcome outcome) {
    CountSubject& subject = count_subject(request);
    subject.under_way.erase({machine, network_.incarnation(machine)});
    if (outcome == duties::PlatformOutcome::kFencedOff) subject.fenced_off[machine] = request.call.fence;
    if (outcome == duties::PlatformOutcome::kAccepted) ++counts_.counts_accepted;
}

void ControlWorld::judge_count(MachineNumber sender, std::uint64_t fence, const PlatformRequest& request) {
    judge_one(count_subject(request).acts, sender, fence);
    const std::int64_t servers =
        protocol::read_json(request.call.body).at("desiredCount").as_integer("desiredCount");
    if (servers < kLeast || servers > kMost)
        report_violation(fmt::format("machine {} orders {} servers in a zone", sender, servers));
}

} // namespace ivyrill::lab
