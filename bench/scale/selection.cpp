#include "scale/selection.hpp"

#include "agent/report_reader.hpp"
#include "configuration/parse.hpp"
#include "feed/feed_log.hpp"
#include "feed/instance_table.hpp"
#include "replica_selection/pair_selector.hpp"
#include "scale/process.hpp"
#include "scale/sizes.hpp"
#include "transport/reactor.hpp"
#include "wire/cbor.hpp"
#include "wire/frame.hpp"

#include <fmt/format.h>
#include <malloc.h>
#include <map>

namespace ivyrill::scale {

namespace {

constexpr int kChoices = 300, kLists = 20;

model::Instance instance(std::size_t number) {
    model::Instance made;
    made.id = fmt::format("i-{:06}", number), made.service = service_name(number);
    made.address = server_address(number), made.zone = zone_name(number);
    made.slots = 48, made.software_version = "v1", made.revision = 1;
    made.stage = number % 100 < 28 ? model::Stage::kPrefill : model::Stage::kDecode;
    made.models = {{fmt::format("m{}", number % kServices), 1}};
    return made;
}

double heap_bytes() { return static_cast<double>(mallinfo2().uordblks); }

} // namespace

SelectionCost measure_selection(std::size_t servers, std::size_t nodes) {
    using replica_selection::Work;
    std::map<std::string, model::Instance> instances;
    for (std::size_t i = 0; i < servers; ++i) {
        const model::Instance made = instance(i);
        instances[made.id] = made;
    }
    SelectionCost cost;
    replica_selection::PairSelector selector(1);
    selector.set_services(configuration::parse(configuration_text(1)).value().services);
    selector.set_edge_nodes(nodes);
    Tenths now = 1'000'000;
    const double before = heap_bytes();
    selector.set_instances(instances, now);
    cost.kilobytes_per_server = (heap_bytes() - before) / 1024 / static_cast<double>(servers);
    double began = steady_s();
    for (int i = 0; i < kLists; ++i) selector.set_instances(instances, ++now);
    cost.set_instances_ms = (steady_s() - began) * 1000 / kLists;
    began = steady_s();
    for (int i = 0; i < kChoices; ++i) {
        replica_selection::Request request;
        request.service = service_name(static_cast<std::size_t>(i));
        request.model = fmt::format("m{}", static_cast<std::size_t>(i) % kServices);
        request.prompt = {{fmt::format("shared-{}", i % 20), 1200}, {fmt::format("own-{}", i), 400}};
        request.output_tokens = i % 2 == 0 ? 100 : 4000, request.latency_target = kTenthsPerSecond;
        now += 70;
        const auto choice = selector.choose(request, {}, true, false, now);
        if (const auto* pair = std::get_if<replica_selection::Pair>(&choice)) {
            const auto attempt =
                selector.sent(pair->runner, request, Work::kReadAndRun, pair->tokens_to_read, now);
            selector.answered(attempt, now + 50);
            selector.ended(attempt, now + 60);
        }
    }
    cost.choose_us = (steady_s() - began) * 1e6 / kChoices;
    transport::Reactor reactor;
    std::vector<model::EdgeNode> edge_nodes;
    for (std::size_t i = 0; i < nodes; ++i)
        edge_nodes.push_back({node_name(i), zone_name(i), node_host(i), 1});
    agent::ReportReader reader(reactor, {"nobody", kTenthsPerSecond}, [](model::Load) {});
    reader.assign(instances, edge_nodes);
    began = steady_s();
    instances.begin()->second.revision = 2;
    reader.assign(instances, edge_nodes);
    cost.assign_reports_ms = (steady_s() - began) * 1000;
    feed::InstanceTable table;
    feed::FeedLog log(1);
    for (const auto& [id, record] : instances) {
        table.merge(record, now);
        log.put(record);
        log.put(model::Load{id, 1, 12, 41'000, 90'000, 0});
    }
    log.put(configuration::parse(configuration_text(1)).value());
    log.put(feed::EdgeNodes{edge_nodes});
    began = steady_s();
    std::uint64_t sum = 0;
    for (int i = 0; i < kLists; ++i) sum += table.digests().ranges[static_cast<std::size_t>(i)];
    cost.digests_ms = (steady_s() - began) * 1000 / kLists + (sum == 0 ? 1e-9 : 0);
    began = steady_s();
    const std::string frame =
        wire::frame(wire::to_bytes(feed::Message{feed::Batch{1, log.place(), true, log.snapshot()}}));
    cost.snapshot_ms = (steady_s() - began) * 1000;
    cost.snapshot_kb = static_cast<double>(frame.size()) / 1000;
    return cost;
}

} // namespace ivyrill::scale
