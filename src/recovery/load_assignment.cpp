#include "recovery/load_assignment.hpp"

#include <algorithm>
#include <cmath>

#include <lemon/network_simplex.h>
#include <lemon/smart_graph.h>

namespace ivyrill::recovery {

namespace {

constexpr int kCapacityBands = 8;           // of a server's capacity
constexpr double kFlowUnits = 1000;         // per part and second: the library works on integers
constexpr std::int64_t kBandCost = 1000;    // cost difference between neighbouring bands
constexpr std::int64_t kDistanceCost = 500; // cost of distance 1
constexpr std::int64_t kUnservedCost = 1'000'000;
constexpr int kUnservedBands =
    32; // of a shard's unassigned load, at rising cost, so that all shards lack similar shares

std::int64_t units(double rate) { return static_cast<std::int64_t>(std::llround(rate * kFlowUnits)); }

std::int64_t distance(const AssignmentInput& input, const SiteName& from, const SiteName& to) {
    const auto found = input.costs.find({from, to});
    const double cost = found != input.costs.end() ? found->second : 0;
    return static_cast<std::int64_t>(std::lround(cost * static_cast<double>(kDistanceCost)));
}

// Without costs and link limits the origin of a search does not matter.
std::map<SiteName, double> origins_of(const AssignmentInput& input) {
    if (!input.origins.empty() && (!input.costs.empty() || !input.links.empty())) return input.origins;
    return {{SiteName{}, 1.0}};
}

void compute_utilization(const AssignmentInput& input, LoadAssignment& result) {
    for (const AssignmentServer& server : input.servers) {
        const double load = result.load[server.name];
        const double utilization = server.capacity > 0 ? load / server.capacity : load > 0 ? 1 : 0;
        result.utilization[server.name] = utilization;
        result.max_utilization = std::max(result.max_utilization, utilization);
    }
}

} // namespace

LoadAssignment assign_load(const AssignmentInput& input) {
    using Graph = lemon::SmartDigraph;
    Graph graph;
    Graph::ArcMap<std::int64_t> capacity(graph), cost(graph);
    Graph::NodeMap<std::int64_t> supply(graph, 0);
    const auto arc = [&](Graph::Node from, Graph::Node to, std::int64_t capacity_units,
                         std::int64_t unit_cost) {
        const Graph::Arc result = graph.addArc(from, to);
        capacity[result] = capacity_units, cost[result] = unit_cost;
        return result;
    };
    const Graph::Node sink = graph.addNode();
    std::vector<Graph::Node> servers;
    for (const AssignmentServer& server : input.servers) {
        servers.push_back(graph.addNode());
        const std::int64_t total = units(server.capacity);
        for (int band = 0; band < kCapacityBands; ++band)
            arc(servers.back(), sink, total * (band + 1) / kCapacityBands - total * band / kCapacityBands,
                band * kBandCost);
    }
    struct Route {
        Graph::Arc arc;
        int shard;
        std::size_t server;
        SiteName from;
    };
    struct UnservedArc {
        Graph::Arc arc;
        int shard;
    };
    std::vector<Route> routes;
    std::vector<UnservedArc> unserved_arcs;
    const auto origins = origins_of(input);
    const double total_rate = [&] {
        double sum = 0;
        for (const auto& [shard, rate] : input.shards) sum += rate;
        return sum;
    }();
    std::int64_t total = 0;
    for (const auto& [shard, rate] : input.shards) {
        for (const auto& [from, share] : origins) {
            const std::int64_t wanted = units(rate * share);
            if (wanted <= 0) continue;
            const Graph::Node source = graph.addNode();
            supply[source] = wanted, total += wanted;
            for (int band = 0; band < kUnservedBands; ++band)
                unserved_arcs.push_back(
                    {arc(source, sink, wanted * (band + 1) / kUnservedBands - wanted * band / kUnservedBands,
                         kUnservedCost + band * kUnservedCost / kUnservedBands),
                     shard});
            // The capacity of a limited link is divided among the shards in proportion to their demand.
            std::map<SiteName, Graph::Node> link_nodes;
            for (std::size_t i = 0; i < input.servers.size(); ++i) {
                const AssignmentServer& server = input.servers[i];
                if (std::ranges::find(server.shards, shard) == server.shards.end() || server.capacity <= 0)
                    continue;
                Graph::Node entry = source;
                std::int64_t unit_cost = distance(input, from, server.site);
                const auto link = input.links.find({from, server.site});
                if (link != input.links.end() && from != server.site) {
                    const auto [link_node, inserted] = link_nodes.try_emplace(server.site);
                    if (inserted) {
                        link_node->second = graph.addNode();
                        arc(source, link_node->second,
                            units(link->second * (total_rate > 0 ? rate / total_rate : 0)), unit_cost);
                    }
                    entry = link_node->second, unit_cost = 0;
                }
                routes.push_back({arc(entry, servers[i], wanted, unit_cost), shard, i, from});
            }
        }
    }
    supply[sink] = -total;
    LoadAssignment result;
    lemon::NetworkSimplex<Graph, std::int64_t, std::int64_t> simplex(graph);
    simplex.upperMap(capacity).costMap(cost).supplyMap(supply);
    if (total > 0 && simplex.run() != decltype(simplex)::OPTIMAL) return result;
    std::map<int, double> unserved;
    for (const UnservedArc& unserved_arc : unserved_arcs)
        unserved[unserved_arc.shard] +=
            total > 0 ? static_cast<double>(simplex.flow(unserved_arc.arc)) / kFlowUnits : 0;
    for (const Route& route : routes) {
        const double flow = total > 0 ? static_cast<double>(simplex.flow(route.arc)) / kFlowUnits : 0;
        if (flow <= 0) continue;
        const AssignmentServer& server = input.servers[route.server];
        result.load[server.name] += flow;
        result.by_site[{route.shard, server.site}] += flow / input.shards.at(route.shard);
        if (route.from != server.site && !route.from.empty()) result.links[{route.from, server.site}] += flow;
    }
    for (const auto& [shard, rate] : input.shards)
        result.served_share[shard] = rate > 0 ? std::clamp(1 - unserved[shard] / rate, 0.0, 1.0) : 1;
    compute_utilization(input, result);
    return result;
}

LoadAssignment assign_by_capacity(const AssignmentInput& input) {
    LoadAssignment result;
    for (const auto& [shard, rate] : input.shards) {
        double total = 0;
        for (const auto& server : input.servers)
            if (std::ranges::find(server.shards, shard) != server.shards.end()) total += server.capacity;
        result.served_share[shard] = total > 0 ? 1 : 0;
        for (const auto& server : input.servers)
            if (total > 0 && std::ranges::find(server.shards, shard) != server.shards.end())
                result.load[server.name] += rate * server.capacity / total,
                    result.by_site[{shard, server.site}] += server.capacity / total;
    }
    compute_utilization(input, result);
    return result;
}

LoadAssignment assign_by_water_filling(const AssignmentInput& input, int rounds) {
    std::map<std::pair<int, std::size_t>, double> parts; // shard, server
    std::vector<double> load(input.servers.size(), 0);
    for (int round = 0; round < rounds; ++round) {
        for (const auto& [shard, rate] : input.shards) {
            std::vector<std::size_t> replicas;
            for (std::size_t i = 0; i < input.servers.size(); ++i) {
                const auto& server = input.servers[i];
                if (server.capacity > 0 && std::ranges::find(server.shards, shard) != server.shards.end())
                    replicas.push_back(i), load[i] -= std::exchange(parts[{shard, i}], 0);
            }
            if (replicas.empty()) continue;
            // Bisects the utilization to which all replicas are filled.
            double low = 0, high = 1;
            const auto capacity_up_to = [&](double level) {
                double sum = 0;
                for (const std::size_t i : replicas)
                    sum += std::max(0.0, level * input.servers[i].capacity - load[i]);
                return sum;
            };
            while (capacity_up_to(high) < rate && high < 1e6) high *= 2;
            for (int i = 0; i < 40; ++i)
                (capacity_up_to((low + high) / 2) < rate ? low : high) = (low + high) / 2;
            for (const std::size_t i : replicas) {
                const double more = std::max(0.0, high * input.servers[i].capacity - load[i]);
                parts[{shard, i}] = more, load[i] += more;
            }
        }
    }
    LoadAssignment result;
    for (const auto& [key, flow] : parts) {
        const auto& server = input.servers[key.second];
        result.load[server.name] += flow;
        if (input.shards.at(key.first) > 0)
            result.by_site[{key.first, server.site}] += flow / input.shards.at(key.first);
    }
    for (const auto& [shard, rate] : input.shards) {
        double total = 0;
        for (std::size_t i = 0; i < input.servers.size(); ++i) {
            const auto found = parts.find({shard, i});
            if (found != parts.end()) total += found->second;
        }
        result.served_share[shard] = rate > 0 ? std::min(1.0, total / rate) : 1;
    }
    compute_utilization(input, result);
    return result;
}

} // namespace ivyrill::recovery
