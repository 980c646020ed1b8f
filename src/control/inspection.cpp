#include "control/inspection.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace ivyrill::control {

namespace {

const char* text_of(model::InstanceState state) {
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

template <class Items, class Write> std::string list_of(const Items& items, Write write) {
    std::string list;
    for (const auto& item : items) {
        if (!list.empty()) list += ",";
        list += write(item);
    }
    return "[" + list + "]";
}

std::string voters_of(const Inspection& seen) {
    return list_of(seen.voters, [](const consensus::Member& voter) {
        return fmt::format(R"({{"address":"{}","member":"{}"}})", voter.address, voter.id.value);
    });
}

std::string peers_of(const Inspection& seen) {
    return list_of(seen.peers, [](const model::ControlNode& peer) {
        return fmt::format(R"({{"address":"{}","zone":"{}"}})", peer.address, peer.zone);
    });
}

std::string edge_nodes_of(const Inspection& seen) {
    return list_of(seen.edge_nodes, [](const model::EdgeNode& node) {
        return fmt::format(R"({{"name":"{}","zone":"{}"}})", node.name, node.zone);
    });
}

std::string servers_of(const Inspection& seen) {
    return list_of(seen.servers, [](const model::Instance& server) {
        return fmt::format(R"({{"id":"{}","service":"{}","address":"{}","zone":"{}","state":"{}"}})",
                           server.id, server.service, server.address, server.zone, text_of(server.state));
    });
}

std::string address_of(const Inspection& seen, consensus::MemberId member) {
    const auto found = std::ranges::find(seen.voters, member, &consensus::Member::id);
    return found == seen.voters.end() ? "" : found->address;
}

// `heldForMs` is known to the holder alone.
std::string duties_of(const Inspection& seen) {
    return list_of(seen.duties, [&](const DutyPartitions::Status& part) {
        const std::string holder = part.leader ? std::to_string(part.leader->value) : "";
        const std::string address = part.leader ? address_of(seen, *part.leader) : "";
        return fmt::format(
            R"({{"holder":"{}","holderAddress":"{}","holds":{},"acts":{},"fence":{},"heldForMs":{}}})",
            holder, address, part.leads, part.acts, part.fence, part.led_for / (kTenthsPerSecond / 1000));
    });
}

std::string calls_of(const duties::PlatformCallStats& calls) {
    std::string counts = fmt::format(R"("sent":{})", calls.calls());
    for (const duties::PlatformOutcome outcome : duties::kPlatformOutcomes)
        counts += fmt::format(R"(,"{}":{})", duties::name_of(outcome), calls.count(outcome));
    return "{" + counts + "}";
}

std::string usage_of(const Inspection& seen) {
    if (!seen.usage) return "null";
    const UsageDuty::Status& usage = *seen.usage;
    return fmt::format(
        R"({{"part":{},"reports":{},"fence":{},"nextWindow":{},"due":{},"acknowledged":{},"givenUp":{},)"
        R"("calls":{}}})",
        duties::partition_of(duties::usage_report_duty()), usage.fence.has_value(), usage.fence.value_or(0),
        usage.next_window, usage.due, usage.acknowledged, usage.given_up, calls_of(usage.calls));
}

std::string orders_of(const Inspection& seen) {
    const duties::StageOrderTracker::Counts& orders = seen.orders;
    return fmt::format(
        R"({{"sent":{},"taken":{},"conflicts":{},"fencedOff":{},"otherServer":{},"refused":{},"notSent":{},)"
        R"("unanswered":{}}})",
        orders.sent, orders.taken, orders.conflicts, orders.fenced_off, orders.other_server, orders.refused,
        orders.not_sent, orders.unanswered);
}

std::string server_counts_of(const Inspection& seen) {
    const std::string zones = list_of(seen.server_counts, [](const AutoscaleDuty::ZoneStatus& zone) {
        const std::string accepted = zone.accepted ? std::to_string(*zone.accepted) : "null";
        return fmt::format(R"({{"service":"{}","zone":"{}","fence":{},"there":{},"accepted":{}}})",
                           zone.service, zone.zone, zone.fence, zone.servers, accepted);
    });
    return fmt::format(R"({{"zones":{},"calls":{}}})", zones, calls_of(seen.count_calls));
}

std::string refused_of(const Inspection& seen) {
    return fmt::format(
        R"({{"otherMember":{},"olderTerm":{},"unknownMember":{},"unreadable":{},"otherVersion":{},"beforeHello":{},"formerProcess":{},)"
        R"("copyOfOtherProcess":{},"copyUnasked":{},"answerOfOtherProcess":{},"answerUnasked":{},)"
        R"("answerOfOtherPeer":{}}})",
        seen.group.other_member, seen.group.older_term, seen.group.unknown_member, seen.links.unreadable,
        seen.links.other_version, seen.links.before_hello, seen.links.former_process,
        seen.copies.other_process, seen.copies.unasked, seen.calls.other_process, seen.calls.unasked,
        seen.calls.other_peer);
}

} // namespace

std::string to_json(const Inspection& seen) {
    return fmt::format(
        R"({{"node":"{}","leads":{},"inContact":{},"servesFeed":{},"version":{},"voters":{},)"
        R"("peers":{},"edgeNodes":{},"servers":{},"duties":{},"orders":{},"serverCounts":{},"usage":{},"refused":{}}})",
        seen.node, seen.leads, seen.in_contact, seen.serves_feed, seen.version, voters_of(seen),
        peers_of(seen), edge_nodes_of(seen), servers_of(seen), duties_of(seen), orders_of(seen),
        server_counts_of(seen), usage_of(seen), refused_of(seen));
}

} // namespace ivyrill::control
