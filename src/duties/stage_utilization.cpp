#include "duties/stage_utilization.hpp"

#include <algorithm>
#include <map>

namespace ivyrill::duties {

namespace {

using model::Stage;

constexpr double kTurnedAwayShare = 0.02; // from which the readers count as short, whatever reports say
constexpr double kWaitingWeight = 0.5;    // of a request that waits at a reader, beside one that reads
constexpr double kReportedShare = 0.75; // of the servers, at the least, before anything is judged by reports
constexpr double kNoneLeft = 10;        // the use of runners where there are none

} // namespace

StagePool pool_of(const std::vector<StagedServer>& servers, Stage stage) {
    StagePool made;
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

bool has_enough_reports(const std::vector<StagedServer>& servers) {
    const auto reported = static_cast<double>(std::ranges::count_if(servers, &StagedServer::reported));
    return reported >= kReportedShare * static_cast<double>(servers.size()) && reported > 0;
}

// A reader reads one prompt after another: it is busy or not, and what waits comes on top.
double utilization_of_prefill(const StagePool& readers, const model::ServiceDemand& demand) {
    double busy = 0;
    for (const StagedServer* server : readers.servers)
        busy += (server->running > 0 ? 1 : 0) + kWaitingWeight * server->waiting;
    const double use = readers.count() == 0 ? 0 : busy / static_cast<double>(readers.count());
    const bool turns_away = demand.rejected > kTurnedAwayShare * demand.requests;
    return turns_away ? std::max(use, 1.0) : use;
}

// Of what the runners are shortest of: slots, links or memory.
double utilization_of_decode(const StagePool& runners, const model::ServiceDemand& demand) {
    if (runners.count() == 0) return kNoneLeft;
    double taken = 0, memory = 0;
    for (const StagedServer* server : runners.servers) {
        taken += server->running + server->waiting;
        memory += server->memory_share;
    }
    const auto count = static_cast<double>(runners.count());
    return std::max({taken / std::max(1.0, runners.slots), demand.links_busy / count, memory / count});
}

double projected_decode_utilization(const StagePool& runners, const model::ServiceDemand& demand,
                                    std::size_t left) {
    const auto count = static_cast<double>(std::max<std::size_t>(1, runners.count()));
    const double remaining = std::max(0.5, static_cast<double>(left));
    const double slots = runners.slots / count * remaining;
    return std::max(demand.answers / std::max(1.0, slots), demand.links_required / remaining);
}

} // namespace ivyrill::duties
