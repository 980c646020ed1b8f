// The maintenance schedule as a replicated state machine. Nodes that apply the same commands in the same
// order hold the same state: it uses neither clock nor randomness nor network. A command that is rejected is
// rejected on every node: a lease that would leave a shard with fewer than `min_replicas` replicas is void,
// whoever granted it and whatever that node believed.
#pragma once
#include "maintenance/types.hpp"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace ivyrill::maintenance {

std::string request_id_of(const Command& command); // empty for commands without a request id

class MaintenanceSchedule {
  public:
    CommandResult apply(const Command& command);

    const std::map<std::string, MaintenanceJob>& jobs() const { return jobs_; }
    const MaintenanceJob* job(const std::string& machine) const;
    const std::map<std::string, MachineFacts>& fleet() const { return fleet_; }
    const std::set<std::string>& voters() const { return voters_; }
    const Limits& limits() const { return limits_; }
    bool held() const { return held_; }
    const std::string& hold_reason() const { return hold_reason_; }
    FencingToken last_fence() const { return last_fence_; }
    std::uint64_t applied_commands() const { return applied_commands_; } // including rejected ones
    std::set<std::string> machines_out() const;
    std::size_t open_jobs() const; // number of unfinished jobs

    // Why the machine may not go out of service while those in `down` are unavailable too; empty if it may.
    std::string violation(const std::string& machine, const std::set<std::string>& down) const;

    std::string encode() const; // CBOR
    static std::optional<MaintenanceSchedule> decode(std::string_view bytes);

  private:
    CommandResult execute(const UpdateFleet& command);
    CommandResult execute(const AddJobs& command);
    CommandResult execute(const WithdrawJob& command);
    CommandResult execute(const HoldSchedule& command);
    CommandResult execute(const ResumeSchedule& command);
    CommandResult execute(const PrioritizeJob& command);
    CommandResult execute(const GrantLease& command);
    CommandResult execute(const ConfirmLease& command);
    CommandResult execute(const AdvanceJob& command);
    CommandResult execute(const ExpireLease& command);
    CommandResult execute(const RecallJob& command);
    MaintenanceJob* job_with_fence(const std::string& machine, FencingToken fence);

    Limits limits_;
    std::map<std::string, MachineFacts> fleet_;
    std::set<std::string> voters_;
    std::map<std::string, MaintenanceJob> jobs_; // latest job of each machine
    std::deque<std::string> requests_;           // ids of recent requests, to ignore duplicates
    bool held_ = false;
    std::string hold_reason_;
    FencingToken last_fence_;
    OrderNo last_order_;
    std::uint64_t applied_commands_ = 0;
};

// Which machines may be out of service together. Shared by the state machine, the plan and its baselines.
class Constraints {
  public:
    Constraints(const Limits& limits, const std::map<std::string, MachineFacts>& fleet,
                const std::set<std::string>& voters);
    // Why `machine` may not be out of service while those in `down` are; empty if it may.
    std::string violation(const std::string& machine, const std::set<std::string>& down) const;

  private:
    static std::size_t max_out(double share, std::size_t count);
    const Limits& limits_;
    const std::map<std::string, MachineFacts>& fleet_;
    const std::set<std::string>& voters_;
    std::map<std::string, std::size_t> zone_sizes_;
    std::map<int, std::vector<const MachineFacts*>> shard_holders_;
    std::size_t server_count_ = 0, front_node_count_ = 0;
};

} // namespace ivyrill::maintenance
