#include "duties/stage_controller.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace ivyrill::duties {

namespace {

using model::Stage;

namespace statistics = boost::accumulators;

constexpr std::size_t kLooks = 4;         // that a mean is of, and that are wanted before a change
constexpr double kReadersBusy = 0.5;      // of the readers' time: from here on they are short
constexpr double kReadersBusyAfter = 0.6; // at the most, where they give one away
constexpr double kRunnersBusy = 0.5; // of the runners' slots, links or memory: from here on they are short
constexpr double kRunnersBusyAfter = 0.2; // at the most, where they give one away
constexpr double kBusyWithoutZone = 0.35; // at the most, where the zone with the most of them is lost as well
constexpr double kTurnedAwayShare = 0.02; // from which the readers count as short, whatever reports say
constexpr double kWaitingWeight = 0.5;    // of a request that waits at a reader, beside one that reads
constexpr std::size_t kMostStepShare = 6; // one of so many servers changes at a time, at the most
constexpr double kOverwhelmed = 1;        // use from which a side is not only short
constexpr int kLooksIfOverwhelmed = 2;    // ... and half the looks are enough
constexpr std::size_t kLeastOfEach = 2;   // servers of each stage that stay
constexpr double kReportedShare = 0.75; // of the servers, at the least, before anything is judged by reports
constexpr double kNoneLeft = 10;        // the use of runners where there are none
constexpr Tenths kSettleSpan = 2 * kTenthsPerSecond; // after a change: memory is cold, means are old
constexpr Tenths kTurnSpan = 8 * kTenthsPerSecond;   // before a change the other way

// So many more that each has as much to do as it should, bounded: what is seen is some seconds old.
std::size_t wanted_step(std::size_t count, double times_too_busy, std::size_t most) {
    const double wanted = std::ceil(static_cast<double>(count) * (times_too_busy - 1));
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(1.0, wanted)), 1, most);
}

} // namespace

StageController::StageController(Tenths change_span)
    : change_span_(change_span), reader_use_(statistics::tag::rolling_window::window_size = kLooks),
      runner_use_(statistics::tag::rolling_window::window_size = kLooks) {}

StageController::Side StageController::side(const std::vector<StagedServer>& servers, Stage stage) {
    Side made;
    std::map<std::string, std::size_t> zones;
    for (const StagedServer& server : servers) {
        if (server.stage != stage || !server.reported) continue;
        made.servers.push_back(&server);
        made.slots += server.slots;
        made.largest_zone = std::max(made.largest_zone, ++zones[server.zone]);
    }
    // Where all are in one zone there is no other to live on.
    if (zones.size() < 2) made.largest_zone = 0;
    return made;
}

// A reader reads one prompt after another: it is busy or not, and what waits comes on top.
double StageController::use_of_readers(const Side& readers, const model::ServiceDemand& demand) {
    double busy = 0;
    for (const StagedServer* server : readers.servers)
        busy += (server->running > 0 ? 1 : 0) + kWaitingWeight * server->waiting;
    const double use = readers.count() == 0 ? 0 : busy / static_cast<double>(readers.count());
    const bool turns_away = demand.turned_away > kTurnedAwayShare * demand.requests;
    return turns_away ? std::max(use, 1.0) : use;
}

// Of what the runners are shortest of: slots, links or memory.
double StageController::use_of_runners(const Side& runners, const model::ServiceDemand& demand) {
    if (runners.count() == 0) return kNoneLeft;
    double taken = 0, memory = 0;
    for (const StagedServer* server : runners.servers) {
        taken += server->running + server->waiting;
        memory += server->memory_share;
    }
    const auto count = static_cast<double>(runners.count());
    return std::max({taken / std::max(1.0, runners.slots), demand.links_busy / count, memory / count});
}

// What would be asked of so many runners if they read no prompt themselves.
double StageController::asked_of_runners(const Side& runners, const model::ServiceDemand& demand,
                                         std::size_t left) {
    const auto count = static_cast<double>(std::max<std::size_t>(1, runners.count()));
    const double remaining = std::max(0.5, static_cast<double>(left));
    const double slots = runners.slots / count * remaining;
    return std::max(demand.answers / std::max(1.0, slots), demand.links_asked / remaining);
}

bool StageController::runners_can_spare(const Side& runners, const model::ServiceDemand& demand,
                                        std::size_t step) const {
    if (runners.count() < kLeastOfEach + step) return false;
    const std::size_t left = runners.count() - step;
    const std::size_t without_zone =
        runners.left_without_a_zone() > step ? runners.left_without_a_zone() - step : 0;
    return asked_of_runners(runners, demand, left) <= kRunnersBusyAfter &&
           asked_of_runners(runners, demand, without_zone) <= kBusyWithoutZone;
}

bool StageController::readers_can_spare(const Side& readers, std::size_t step) const {
    if (readers.count() < kLeastOfEach + step) return false;
    const auto count = static_cast<double>(readers.count());
    const double after = reader_use() * count / (count - static_cast<double>(step));
    return after <= kReadersBusyAfter || after <= runner_use();
}

bool StageController::may_change_to(Stage stage, Tenths now) const {
    if (!changed_at_) return true;
    const Tenths span = stage == changed_to_ ? kSettleSpan : kTurnSpan;
    return now - *changed_at_ >= span + change_span_;
}

std::vector<StageChange> StageController::next(const std::vector<StagedServer>& servers,
                                               const std::optional<model::ServiceDemand>& demand,
                                               Tenths now) {
    const bool is_changing = std::ranges::any_of(servers, &StagedServer::changing);
    const auto reported = static_cast<double>(std::ranges::count_if(servers, &StagedServer::reported));
    const bool is_known = reported >= kReportedShare * static_cast<double>(servers.size()) && reported > 0;
    const Side readers = side(servers, Stage::kPrefill), runners = side(servers, Stage::kDecode);
    if (is_changing || !is_known || !demand) {
        looks_ = 0; // what was seen before may be long ago
        return {};
    }
    reader_use_(use_of_readers(readers, *demand));
    runner_use_(use_of_runners(runners, *demand));
    const double reading = reader_use(), running = runner_use();
    const bool is_overwhelmed = std::max(reading, running) >= kOverwhelmed;
    if (++looks_ < (is_overwhelmed ? kLooksIfOverwhelmed : static_cast<int>(kLooks))) return {};
    const std::size_t most = std::max<std::size_t>(1, servers.size() / kMostStepShare);
    if (running >= kRunnersBusy && running > reading && may_change_to(Stage::kDecode, now))
        for (std::size_t step = wanted_step(runners.count(), running / kRunnersBusy, most); step > 0; --step)
            if (readers_can_spare(readers, step)) return order(readers, runners, Stage::kDecode, step, now);
    if (reading >= kReadersBusy && reading > running && may_change_to(Stage::kPrefill, now))
        for (std::size_t step = wanted_step(readers.count(), reading / kReadersBusy, most); step > 0; --step)
            if (runners_can_spare(runners, *demand, step))
                return order(runners, readers, Stage::kPrefill, step, now);
    return {};
}

// Those with the least to do, from zones that have many of the one stage and few of the other.
std::vector<StageChange> StageController::order(const Side& giving, const Side& taking, Stage to,
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
