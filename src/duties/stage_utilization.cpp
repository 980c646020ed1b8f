#include "duties/stage_utilization.hpp"

#include <algorithm>
#include <map>

namespace ivyrill::duties {

namespace {

using model::Stage;

// Share of rejected requests from which prefill has a shortage, whatever the reports say.
constexpr double kRejectedShareLimit = 0.02;
constexpr double kWaitingWeight = 0.5;       // weight of a queued request relative to one in prefill
constexpr double kMinReportedShare = 0.75;   // minimum share of servers with recent reports
constexpr double kNoServersUtilization = 10; // utilization of an empty decode pool

} // namespace

StagePool pool_of(const std::vector<StagedServer>& servers, Stage stage) {
    StagePool pool;
    std::map<std::string, std::size_t> zones;
    for (const StagedServer& server : servers) {
        if (server.stage != stage || !server.reported) continue;
        pool.servers.push_back(&server);
        pool.slots += server.slots;
        pool.largest_zone = std::max(pool.largest_zone, ++zones[server.zone]);
    }
    // With a single zone there is no other zone to survive on.
    if (zones.size() < 2) pool.largest_zone = 0;
    return pool;
}

bool has_enough_reports(const std::vector<StagedServer>& servers) {
    const auto reported = static_cast<double>(std::ranges::count_if(servers, &StagedServer::reported));
    return reported >= kMinReportedShare * static_cast<double>(servers.size()) && reported > 0;
}

// A prefill server processes one prompt at a time: it is busy or idle, and queued prompts come on top.
double utilization_of_prefill(const StagePool& prefill, const model::ServiceDemand& demand) {
    double busy = 0;
    for (const StagedServer* server : prefill.servers)
        busy += (server->running > 0 ? 1 : 0) + kWaitingWeight * server->waiting;
    const double utilization = prefill.count() == 0 ? 0 : busy / static_cast<double>(prefill.count());
    const bool rejects = demand.rejected > kRejectedShareLimit * demand.requests;
    return rejects ? std::max(utilization, 1.0) : utilization;
}

// Of the scarcest resource: slots, links or memory.
double utilization_of_decode(const StagePool& decode, const model::ServiceDemand& demand) {
    if (decode.count() == 0) return kNoServersUtilization;
    double occupied = 0, memory = 0;
    for (const StagedServer* server : decode.servers) {
        occupied += server->running + server->waiting;
        memory += server->memory_share;
    }
    const auto count = static_cast<double>(decode.count());
    return std::max({occupied / std::max(1.0, decode.slots), demand.links_busy / count, memory / count});
}

double projected_decode_utilization(const StagePool& decode, const model::ServiceDemand& demand,
                                    std::size_t remaining) {
    const auto count = static_cast<double>(std::max<std::size_t>(1, decode.count()));
    const double capacity_servers = std::max(0.5, static_cast<double>(remaining));
    const double slots = decode.slots / count * capacity_servers;
    return std::max(demand.answers / std::max(1.0, slots), demand.links_required / capacity_servers);
}

} // namespace ivyrill::duties
