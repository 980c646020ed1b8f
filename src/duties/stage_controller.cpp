#include "duties/stage_controller.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace ivyrill::duties {

namespace {

using model::Stage;

namespace statistics = boost::accumulators;

constexpr std::size_t kSamples = 4;                 // window of the means, and samples needed before a change
constexpr double kMaxPrefillUtilizationAfter = 0.6; // at most, after giving one away
constexpr double kMaxDecodeUtilizationAfter = 0.2;  // at most, after giving one away
constexpr double kMaxUtilizationAfterZoneLoss = 0.35; // at most, with the pool's largest zone lost
constexpr std::size_t kMinServersPerChange = 6;       // at most one in this many servers changes at a time
// Utilization from which a pool is overloaded, not only short of servers.
constexpr double kOverloadUtilization = 1;
constexpr int kSamplesIfOverloaded = 2;            // half the samples suffice then
constexpr std::size_t kMinServersPerStage = 2;     // servers of each stage that must remain
constexpr Ticks kSettleTime = 2 * kTicksPerSecond; // after a change: caches are cold and the means outdated
constexpr Ticks kReversalDelay = 8 * kTicksPerSecond; // before a change in the opposite direction

// Number of servers that brings the load of each back to the target; bounded, because the input is some
// seconds old.
std::size_t wanted_step(std::size_t count, double overload_ratio, std::size_t max_step) {
    const double wanted = std::ceil(static_cast<double>(count) * (overload_ratio - 1));
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(1.0, wanted)), 1, max_step);
}

} // namespace

StageController::StageController(Ticks stage_change_time)
    : stage_change_time_(stage_change_time),
      prefill_utilization_(statistics::tag::rolling_window::window_size = kSamples),
      decode_utilization_(statistics::tag::rolling_window::window_size = kSamples) {}

bool StageController::decode_can_spare(const StagePool& decode, const model::ServiceDemand& demand,
                                       std::size_t step) const {
    if (decode.count() < kMinServersPerStage + step) return false;
    const std::size_t left = decode.count() - step;
    const std::size_t without_zone =
        decode.count_after_zone_loss() > step ? decode.count_after_zone_loss() - step : 0;
    return projected_decode_utilization(decode, demand, left) <= kMaxDecodeUtilizationAfter &&
           projected_decode_utilization(decode, demand, without_zone) <= kMaxUtilizationAfterZoneLoss;
}

bool StageController::prefill_can_spare(const StagePool& prefill, std::size_t step) const {
    if (prefill.count() < kMinServersPerStage + step) return false;
    const auto count = static_cast<double>(prefill.count());
    const double after = prefill_utilization() * count / (count - static_cast<double>(step));
    return after <= kMaxPrefillUtilizationAfter || after <= decode_utilization();
}

bool StageController::may_change_to(Stage stage, Ticks now) const {
    if (!changed_at_) return true;
    const Ticks delay = stage == changed_to_ ? kSettleTime : kReversalDelay;
    return now - *changed_at_ >= delay + stage_change_time_;
}

std::vector<StageChange> StageController::plan(const std::vector<StagedServer>& servers,
                                               const std::optional<model::ServiceDemand>& demand, Ticks now) {
    const bool is_changing = std::ranges::any_of(servers, &StagedServer::changing);
    const StagePool prefill = pool_of(servers, Stage::kPrefill), decode = pool_of(servers, Stage::kDecode);
    if (is_changing || !has_enough_reports(servers) || !demand) {
        samples_ = 0; // earlier samples may be outdated
        return {};
    }
    prefill_utilization_(utilization_of_prefill(prefill, *demand));
    decode_utilization_(utilization_of_decode(decode, *demand));
    const double prefill_load = prefill_utilization(), decode_load = decode_utilization();
    const bool is_overloaded = std::max(prefill_load, decode_load) >= kOverloadUtilization;
    if (++samples_ < (is_overloaded ? kSamplesIfOverloaded : static_cast<int>(kSamples))) return {};
    const std::size_t max_step = std::max<std::size_t>(1, servers.size() / kMinServersPerChange);
    if (decode_load >= kShortageThreshold && decode_load > prefill_load && may_change_to(Stage::kDecode, now))
        for (std::size_t step = wanted_step(decode.count(), decode_load / kShortageThreshold, max_step);
             step > 0; --step)
            if (prefill_can_spare(prefill, step))
                return select_changes(prefill, decode, Stage::kDecode, step, now);
    if (prefill_load >= kShortageThreshold && prefill_load > decode_load &&
        may_change_to(Stage::kPrefill, now))
        for (std::size_t step = wanted_step(prefill.count(), prefill_load / kShortageThreshold, max_step);
             step > 0; --step)
            if (decode_can_spare(decode, *demand, step))
                return select_changes(decode, prefill, Stage::kPrefill, step, now);
    return {};
}

// Picks the least loaded donors, from zones with many donors and few receivers.
std::vector<StageChange> StageController::select_changes(const StagePool& donors, const StagePool& receivers,
                                                         Stage to, std::size_t step, Ticks now) {
    std::map<std::string, int> surplus; // by zone
    for (const StagedServer* server : donors.servers) ++surplus[server->zone];
    for (const StagedServer* server : receivers.servers) --surplus[server->zone];
    std::vector<const StagedServer*> left = donors.servers;
    std::vector<StageChange> changes;
    while (changes.size() < step && !left.empty()) {
        const auto chosen = std::ranges::max_element(left, [&](const StagedServer* a, const StagedServer* b) {
            const auto rank = [&](const StagedServer* server) {
                return std::tuple(surplus[server->zone], -(server->running + server->waiting), server->id);
            };
            return rank(a) < rank(b);
        });
        surplus[(*chosen)->zone] -= 2;
        changes.push_back({(*chosen)->id, to});
        left.erase(chosen);
    }
    samples_ = 0, changed_at_ = now, changed_to_ = to;
    return changes;
}

} // namespace ivyrill::duties
