// The maintenance subsystem of one front node, free of I/O: membership, consensus, scheduler, executor and
// operators' requests. Input: datagrams, machine states from the controllers, the server list and the time.
// Output: datagrams, machine commands and log lines. It runs the same on sockets and in simulated time.
#pragma once
#include "maintenance/consensus_node.hpp"
#include "maintenance/executor.hpp"
#include "maintenance/fragment_transport.hpp"
#include "maintenance/scheduler.hpp"
#include "membership/member_list.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <variant>

namespace ivyrill::maintenance {

struct Candidate {
    std::string name, address;
};

struct MaintenanceNodeSettings {
    std::string name, address, secret;
    std::vector<std::string> peers; // addresses; those of the candidates are always added
    // Front nodes with a Raft store; empty: membership only, no maintenance.
    std::vector<Candidate> candidates;
    std::size_t voter_count = 3;
    Limits limits;
    Timing timing;
    FailurePolicy failure_policy;
    Ticks probe_interval = kTicksPerSecond;
    Ticks heartbeat = kTicksPerSecond / 10;
    Ticks replace_voter_after = 60 * kTicksPerSecond; // a voter unreachable for this long is replaced
    Ticks front_node_duration = 60 * kTicksPerSecond; // planned maintenance time of a front node
    std::uint64_t seed = 0;
    std::uint64_t incarnation = 1;
    double max_datagrams_per_second = 20'000; // datagrams above this rate are dropped unread
    double max_datagrams_per_peer = 4'000;
};

struct SendDatagram {
    std::string address, bytes;
};
struct LogLine {           // a structured log line
    bool is_error = false; // needs the attention of an operator
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};
struct MemberCount { // number of front nodes known to be present; C3's n
    std::size_t present = 1;
};
using MaintenanceEffect = std::variant<SendDatagram, MachineCommand, LogLine, MemberCount>;

struct MaintenanceCounts {
    std::uint64_t datagrams = 0, rate_limited = 0, proposals = 0, forwarded = 0, rejected_commands = 0,
                  schedules_received = 0, schedule_requests = 0, operator_requests = 0,
                  stale_operator_requests = 0;
};

class MaintenanceNode {
  public:
    // `store` may be null: the node is then a member but never a voter.
    MaintenanceNode(MaintenanceNodeSettings settings, RaftStore* store, Ticks now, Ticks wall_time);

    void receive(Ticks now, const std::string& from, std::string_view bytes);
    // The index servers from the list, and the share of recent searches that this node has rejected.
    void update_servers(const std::map<std::string, ObservedMachine>& servers, double rejected_search_share);
    void on_machine_status(Ticks now, std::uint64_t serial, const std::string& machine, MachineStatus status);
    void step(Ticks now, Ticks wall_time);
    void leave(Ticks now);
    Ticks next_step() const; // when `step` has to be called next
    std::vector<MaintenanceEffect> take_effects() { return std::exchange(effects_, {}); }

    // Called for each command when it is committed.
    std::function<void(const Command&, const CommandResult&)> on_committed;

    const membership::MemberList& member_list() const { return member_list_; }
    const ConsensusNode* consensus() const { return consensus_ ? consensus_.get() : nullptr; }
    const MaintenanceSchedule& schedule() const;
    // Time since this node's copy of the schedule was known to be current.
    Ticks schedule_age(Ticks now) const;
    const Executor& executor() const { return executor_; }
    const Scheduler& scheduler() const { return scheduler_; }
    const MaintenanceCounts& counts() const { return counts_; }
    const FragmentCounts& fragment_counts() const { return transport_.counts(); }
    const membership::CodecCounts& codec_counts() const { return datagram_codec_.counts(); }
    nlohmann::json answer_query(const nlohmann::json& query); // answers an operator's read-only request
    FleetObservation observe_fleet() const;

  private:
    struct TokenBucket {
        double tokens = 0;
        Ticks refilled_at = 0;
    };
    struct PendingRequest { // an operator's request, until it is committed
        std::string address;
        Ticks deadline = 0, retry_at = 0;
        Command command;
    };
    bool take_token(Ticks now, TokenBucket& bucket, double rate) const;
    void handle_member_list_effects(std::vector<membership::Effect> effects);
    void dispatch(const PeerMessage& message);
    void send_consensus_messages();
    void send(const std::string& name, MessageKind kind, const std::string& bytes);
    void send_to(const std::string& address, MessageKind kind, const std::string& bytes);
    void propose(const Command& command, const std::string& requested_by = {}, int forwards = 0);
    void on_command_applied(const Command& command, const CommandResult& outcome);
    void run_scheduler();
    void transfer_leadership(const FleetObservation& observed);
    void manage_voters(const FleetObservation& observed);
    void handle_operator_request(const PeerMessage& message);
    void handle_proposal(const PeerMessage& message);
    void handle_proposal_result(const PeerMessage& message);
    void handle_schedule(const PeerMessage& message);
    void request_schedule();
    void send_schedule(const std::string& address);
    void log_event(std::string event, std::vector<std::pair<std::string, std::string>> fields,
                   bool is_error = false);
    const std::string* address_of(const std::string& name) const;
    std::string leader() const;
    bool is_voter() const;
    bool leaderless() const;

    MaintenanceNodeSettings settings_;
    Ticks now_, started_at_, wall_time_ = 0;
    MaintenanceSchedule uncommitted_schedule_;
    Ticks uncommitted_refresh_at_ = 0;
    membership::DatagramCodec datagram_codec_;
    membership::MemberList member_list_;
    FragmentTransport transport_;
    std::unique_ptr<ConsensusNode> consensus_;
    Scheduler scheduler_;
    Executor executor_;
    MaintenanceSchedule remote_schedule_; // copy held by a node that does not vote, as last received
    std::string remote_leader_;
    std::set<std::string> remote_voters_;
    Ticks remote_schedule_at_ = 0, request_schedule_at_ = 0, executor_at_ = 0, scheduler_at_ = 0;
    Pcg random_;
    std::map<std::string, ObservedMachine> servers_;
    double rejected_search_share_ = 0;
    std::map<std::string, TokenBucket> peer_buckets_;
    TokenBucket total_bucket_;
    std::map<std::string, PendingRequest> pending_requests_; // by request id
    // Requests proposed for other nodes: address for the result, by request id.
    std::map<std::string, std::string> requesters_;
    std::size_t pending_proposals_ = 0;  // proposals of the scheduler that are not committed yet
    std::uint64_t leadership_count_ = 0; // number of times this node was elected
    bool was_leader_ = false;
    std::string wait_reason_;
    std::map<std::string, Ticks> voter_gone_since_;
    std::size_t present_members_ = 0;
    std::vector<MaintenanceEffect> effects_;
    MaintenanceCounts counts_;
};

} // namespace ivyrill::maintenance
