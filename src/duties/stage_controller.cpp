#include "duties/stage_controller.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace ivyrill::duties {

namespace {

using model::Stage;

namespace statistics = boost::accumulators;

constexpr std::size_t kLooks = 4;         // that a mean is of, and that are wanted before a change
constexpr double kReadersBusyAfter = 0.6; // at the most, where they give one away
constexpr double kRunnersBusyAfter = 0.2; // at the most, where they give one away
constexpr double kBusyWithoutZone = 0.35; // at the most, where the zone with the most of them is lost as well
constexpr std::size_t kMostStepShare = 6; // one of so many servers changes at a time, at the most
constexpr double kOverwhelmed = 1;        // use from which a side is not only short
constexpr int kLooksIfOverwhelmed = 2;    // ... and half the looks are enough
constexpr std::size_t kLeastOfEach = 2;   // servers of each stage that stay
constexpr Tenths kSettleSpan = 2 * kTenthsPerSecond; // after a change: memory is cold, means are old
constexpr Tenths kTurnSpan = 8 * kTenthsPerSecond;   // before a change the other way

// So many more that each has as much to do as it should, bounded: what is seen is some seconds old.
std::size_t wanted_step(std::size_t count, double times_too_busy, std::size_t most) {
    const double wanted = std::ceil(static_cast<double>(count) * (times_too_busy - 1));
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(1.0, wanted)), 1, most);
}

} // namespace

StageController::StageController(Tenths stage_change_time)
    : change_span_(stage_change_time), reader_use_(statistics::tag::rolling_window::window_size = kLooks),
      runner_use_(statistics::tag::rolling_window::window_size = kLooks) {}

bool StageController::runners_can_spare(const StagePool& runners, const model::ServiceDemand& demand,
                                        std::size_t step) const {
    if (runners.count() < kLeastOfEach + step) return false;
    const std::size_t left = runners.count() - step;
    const std::size_t without_zone =
        runners.count_after_zone_loss() > step ? runners.count_after_zone_loss() - step : 0;
    return projected_decode_utilization(runners, demand, left) <= kRunnersBusyAfter &&
           projected_decode_utilization(runners, demand, without_zone) <= kBusyWithoutZone;
}

bool StageController::readers_can_spare(const StagePool& readers, std::size_t step) const {
    if (readers.count() < kLeastOfEach + step) return false;
    const auto count = static_cast<double>(readers.count());
    const double after = prefill_utilization() * count / (count - static_cast<double>(step));
    return after <= kReadersBusyAfter || after <= decode_utilization();
}

bool StageController::may_change_to(Stage stage, Tenths now) const {
    if (!changed_at_) return true;
    const Tenths span = stage == changed_to_ ? kSettleSpan : kTurnSpan;
    return now - *changed_at_ >= span + change_span_;
}

std::vector<StageChange> StageController::plan(const std::vector<StagedServer>& servers,
                                               const std::optional<model::ServiceDemand>& demand,
                                               Tenths now) {
    const bool is_changing = std::ranges::any_of(servers, &StagedServer::changing);
    const StagePool readers = pool_of(servers, Stage::kPrefill), runners = pool_of(servers, Stage::kDecode);
    if (is_changing || !has_enough_reports(servers) || !demand) {
        looks_ = 0; // what was seen before may be long ago
        return {};
    }
    reader_use_(utilization_of_prefill(readers, *demand));
    runner_use_(utilization_of_decode(runners, *demand));
    const double reading = prefill_utilization(), running = decode_utilization();
    const bool is_overwhelmed = std::max(reading, running) >= kOverwhelmed;
    if (++looks_ < (is_overwhelmed ? kLooksIfOverwhelmed : static_cast<int>(kLooks))) return {};
    const std::size_t most = std::max<std::size_t>(1, servers.size() / kMostStepShare);
    if (running >= kShortageThreshold && running > reading && may_change_to(Stage::kDecode, now))
        for (std::size_t step = wanted_step(runners.count(), running / kShortageThreshold, most); step > 0;
             --step)
            if (readers_can_spare(readers, step)) return order(readers, runners, Stage::kDecode, step, now);
    if (reading >= kShortageThreshold && reading > running && may_change_to(Stage::kPrefill, now))
        for (std::size_t step = wanted_step(readers.count(), reading / kShortageThreshold, most); step > 0;
             --step)
            if (runners_can_spare(runners, *demand, step))
                return order(runners, readers, Stage::kPrefill, step, now);
    return {};
}

// Those with the least to do, from zones that have many of the one stage and few of the other.
std::vector<StageChange> StageController::order(const StagePool& giving, const StagePool& taking, Stage to,
                                                std::size_t step, Tenths now) {
    std::map<std::string, int> surplus; // by zone
    for (const StagedServer* server : giving.servers) ++surplus[server->zone];
    for (const StagedServer* server : taking.servers) --surplus[server->zone];
    std::vector<const StagedServer*> left = giving.servers;
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
    looks_ = 0, changed_at_ = now, changed_to_ = to;
    return changes;
}

} // namespace ivyrill::duties
