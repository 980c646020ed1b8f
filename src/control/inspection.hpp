// The state of a control node that GET /inspect returns as JSON. No I/O.
#pragma once
#include "consensus/replica.hpp"
#include "control/autoscale_duty.hpp"
#include "control/duty_partitions.hpp"
#include "control/instance_registry.hpp"
#include "control/operator_calls.hpp"
#include "control/peer_mesh.hpp"
#include "control/usage_duty.hpp"
#include "duties/stage_order_tracker.hpp"
#include "model/instance.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::control {

struct Inspection {
    std::string node;
    bool leads = false, in_contact = false, serves_feed = false;
    std::int64_t version = 0;
    std::vector<consensus::Member> voters;
    std::vector<model::ControlNode> peers; // alive ones
    std::vector<model::EdgeNode> edge_nodes;
    std::vector<model::Instance> servers;
    std::vector<DutyPartitions::Status> duties;           // by partition; empty in deployments without duties
    duties::StageOrderTracker::Counts orders;             // sent to servers by this process
    std::optional<UsageDuty::Status> usage;               // none if usage is not reported
    std::vector<AutoscaleDuty::ZoneStatus> server_counts; // of the zones that this node is responsible for
    duties::PlatformCallStats count_calls;                // of this process, for these zones
    // Dropped and rejected messages by cause.
    consensus::DroppedMessages group;
    PeerMesh::RejectedMessages links;
    DroppedSyncReplies sync_replies;
    OperatorCalls::DroppedReplies call_replies;
};

std::string to_json(const Inspection& inspection);

} // namespace ivyrill::control
