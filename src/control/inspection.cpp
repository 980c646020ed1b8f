#include "control/inspection.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace ivyrill::control {

namespace {

const char* name_of_state(model::InstanceState state) {
    switch (state) {
    case model::InstanceState::kServing:
        return "serving";
    case model::InstanceState::kSilent:
        return "silent";
    case model::InstanceState::kDraining:
        return "draining";
    case model::InstanceState::kGone:
        return "gone";
    }
    return "";
}

template <class Items, class Write> std::string json_list(const Items& items, Write write) {
    std::string list;
    for (const auto& item : items) {
        if (!list.empty()) list += ",";
        list += write(item);
    }
    return "[" + list + "]";
}

std::string voters_json(const Inspection& inspection) {
    return json_list(inspection.voters, [](const consensus::Member& voter) {
        return fmt::format(R"({{"address":"{}","member":"{}"}})", voter.address, voter.id.value);
    });
}

std::string peers_json(const Inspection& inspection) {
    return json_list(inspection.peers, [](const model::ControlNode& peer) {
        return fmt::format(R"({{"address":"{}","zone":"{}"}})", peer.address, peer.zone);
    });
}

std::string edge_nodes_json(const Inspection& inspection) {
    return json_list(inspection.edge_nodes, [](const model::EdgeNode& node) {
        return fmt::format(R"({{"name":"{}","zone":"{}"}})", node.name, node.zone);
    });
}

std::string servers_json(const Inspection& inspection) {
    return json_list(inspection.servers, [](const model::Instance& server) {
        return fmt::format(R"({{"id":"{}","service":"{}","address":"{}","zone":"{}","state":"{}"}})",
                           server.id, server.service, server.address, server.zone,
                           name_of_state(server.state));
    });
}

std::string address_of(const Inspection& inspection, consensus::MemberId member) {
    const auto found = std::ranges::find(inspection.voters, member, &consensus::Member::id);
    return found == inspection.voters.end() ? "" : found->address;
}

// Only the holder of a partition knows `heldForMs`.
std::string duties_json(const Inspection& inspection) {
    return json_list(inspection.duties, [&](const DutyPartitions::Status& partition) {
        const std::string holder = partition.leader ? std::to_string(partition.leader->value) : "";
        const std::string address = partition.leader ? address_of(inspection, *partition.leader) : "";
        return fmt::format(
            R"({{"holder":"{}","holderAddress":"{}","holds":{},"acts":{},"fence":{},"heldForMs":{}}})",
            holder, address, partition.leads, partition.acts, partition.fence,
            partition.led_for / (kTicksPerSecond / 1000));
    });
}

std::string calls_json(const duties::PlatformCallStats& calls) {
    std::string counts = fmt::format(R"("sent":{})", calls.calls());
    for (const duties::PlatformOutcome outcome : duties::kPlatformOutcomes)
        counts += fmt::format(R"(,"{}":{})", duties::name_of(outcome), calls.count(outcome));
    return "{" + counts + "}";
}

std::string usage_json(const Inspection& inspection) {
    if (!inspection.usage) return "null";
    const UsageDuty::Status& usage = *inspection.usage;
    return fmt::format(
        R"({{"part":{},"reports":{},"fence":{},"nextWindow":{},"due":{},"acknowledged":{},"givenUp":{},)"
        R"("calls":{}}})",
        duties::partition_of(duties::usage_report_duty()), usage.fence.has_value(), usage.fence.value_or(0),
        usage.next_window, usage.due, usage.acknowledged, usage.given_up, calls_json(usage.calls));
}

std::string orders_json(const Inspection& inspection) {
    const duties::StageOrderTracker::Counts& orders = inspection.orders;
    return fmt::format(
        R"({{"sent":{},"taken":{},"conflicts":{},"fencedOff":{},"otherServer":{},"refused":{},"notSent":{},)"
        R"("unanswered":{}}})",
        orders.sent, orders.taken, orders.conflicts, orders.fenced_off, orders.other_server, orders.refused,
        orders.not_sent, orders.unanswered);
}

std::string server_counts_json(const Inspection& inspection) {
    const std::string zones = json_list(inspection.server_counts, [](const AutoscaleDuty::ZoneStatus& zone) {
        const std::string accepted = zone.accepted ? std::to_string(*zone.accepted) : "null";
        return fmt::format(R"({{"service":"{}","zone":"{}","fence":{},"there":{},"accepted":{}}})",
                           zone.service, zone.zone, zone.fence, zone.servers, accepted);
    });
    return fmt::format(R"({{"zones":{},"calls":{}}})", zones, calls_json(inspection.count_calls));
}

std::string refused_json(const Inspection& inspection) {
    return fmt::format(
        R"({{"otherMember":{},"olderTerm":{},"unknownMember":{},"unreadable":{},"otherVersion":{},"beforeHello":{},"formerProcess":{},)"
        R"("copyOfOtherProcess":{},"copyUnasked":{},"answerOfOtherProcess":{},"answerUnasked":{},)"
        R"("answerOfOtherPeer":{}}})",
        inspection.group.other_member, inspection.group.older_term, inspection.group.unknown_member,
        inspection.links.unreadable, inspection.links.other_version, inspection.links.before_hello,
        inspection.links.former_process, inspection.sync_replies.other_process,
        inspection.sync_replies.unsolicited, inspection.call_replies.other_process,
        inspection.call_replies.unsolicited, inspection.call_replies.other_peer);
}

} // namespace

std::string to_json(const Inspection& inspection) {
    return fmt::format(
        R"({{"node":"{}","leads":{},"inContact":{},"servesFeed":{},"version":{},"voters":{},)"
        R"("peers":{},"edgeNodes":{},"servers":{},"duties":{},"orders":{},"serverCounts":{},"usage":{},"refused":{}}})",
        inspection.node, inspection.leads, inspection.in_contact, inspection.serves_feed, inspection.version,
        voters_json(inspection), peers_json(inspection), edge_nodes_json(inspection),
        servers_json(inspection), duties_json(inspection), orders_json(inspection),
        server_counts_json(inspection), usage_json(inspection), refused_json(inspection));
}

} // namespace ivyrill::control
