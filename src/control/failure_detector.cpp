#include "control/failure_detector.hpp"

namespace ivyrill::control {

namespace {

constexpr double kSilentBeats = 2.6, kGoneBeats = 25; // missed heartbeats after which a server counts as ...

} // namespace

model::InstanceState FailureDetector::judge(const model::Instance& record, Tenths now) {
    const Tenths at = last_heard_.try_emplace(record.id, now).first->second;
    const double missed = static_cast<double>(now - at) / static_cast<double>(heartbeat_);
    if (missed >= kGoneBeats) return model::InstanceState::kGone;
    const bool falls_silent = missed >= kSilentBeats && record.state == model::InstanceState::kServing;
    return falls_silent ? model::InstanceState::kSilent : record.state;
}

std::vector<model::Instance>
FailureDetector::judge(const feed::InstanceTable& table,
                       const std::function<bool(const std::string& service)>& owned, Tenths now) {
    std::vector<model::Instance> judged;
    for (const auto& [id, record] : table.records()) {
        if (record.state == model::InstanceState::kGone || !owned(record.service)) continue;
        model::Instance judgement = record;
        judgement.state = judge(record, now);
        if (judgement.state != record.state) judged.push_back(judgement);
    }
    return judged;
}

} // namespace ivyrill::control
