#include "control/failure_detector.hpp"

namespace ivyrill::control {

namespace {

constexpr double kSilentHeartbeats = 2.6, kGoneHeartbeats = 25; // intervals without a heartbeat

} // namespace

model::InstanceState FailureDetector::state_of(const model::Instance& record, Ticks now) {
    const Ticks at = last_heard_.try_emplace(record.id, now).first->second;
    const double missed = static_cast<double>(now - at) / static_cast<double>(heartbeat_interval_);
    if (missed >= kGoneHeartbeats) return model::InstanceState::kGone;
    const bool becomes_silent = missed >= kSilentHeartbeats && record.state == model::InstanceState::kServing;
    return becomes_silent ? model::InstanceState::kSilent : record.state;
}

std::vector<model::Instance>
FailureDetector::check(const feed::InstanceTable& table,
                       const std::function<bool(const std::string& service)>& owned, Ticks now) {
    std::vector<model::Instance> changes;
    for (const auto& [id, record] : table.records()) {
        if (record.state == model::InstanceState::kGone || !owned(record.service)) continue;
        model::Instance changed = record;
        changed.state = state_of(record, now);
        if (changed.state != record.state) changes.push_back(changed);
    }
    return changes;
}

} // namespace ivyrill::control
