// This node's members of the consensus groups of the duties' partitions (src/duties/duty.hpp): persistence,
// message transport, and whether this node may act for a duty now and under which fencing token. The groups
// are bootstrapped by voters of the configuration's group, which agrees on the initial voters once.
#pragma once
#include "base/result.hpp"
#include "control/replicated_group.hpp"
#include "duties/duty.hpp"
#include "duties/lease.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace ivyrill::control {

class DutyPartitions {
  public:
    struct Options {
        std::size_t min_copies =
            1;                  // number of disks, of voters that remain, that must hold a committed entry
        std::size_t voters = 3; // per partition
        Ticks lease = 0;        // `leaseMs`
        std::function<std::uint64_t()> draw;
    };
    using SendToMember = std::function<void(std::size_t partition, const consensus::Send&)>;
    struct Status { // state of one partition as seen by this node
        bool leads = false, acts = false;
        std::uint64_t fence = 0;
        std::optional<consensus::MemberId> leader;
        Ticks led_for = 0; // time since this node was elected
    };
    // Computes the next state; none if nothing should change.
    using ChangeState =
        std::function<std::optional<duties::PartitionState>(const duties::PartitionState& newest)>;

    // Loads the state from disk. Fails if it is not usable.
    static Result<std::unique_ptr<DutyPartitions>>
    open(transport::Reactor& reactor, const OpenStateFile& open_file, Options options, SendToMember send);
    // The disk has lost durable state: this node's member is lost in every group.
    bool has_lost_state() const { return has_lost_state_; }

    bool has_joined() const { return partitions_.front().member != nullptr; }
    void join(const consensus::Member& self); // to be called once the owner of the disk is known
    void bootstrap(const std::vector<consensus::Member>& initial_voters);
    void receive(std::size_t partition, const consensus::Message& message);
    void set_member_statuses(const std::vector<consensus::MemberStatus>& member_statuses);
    void resign(); // before a graceful shutdown: stops acting, releases the leases and hands over leadership

    // The fencing token under which this node may act for the duty now; none if it may not.
    std::optional<std::uint64_t> fence(const duties::Duty& duty) const;
    // Whether this node may propose for the duty: it may act, or will be able to once the leases of former
    // holders have expired.
    bool may_propose(const duties::Duty& duty) const;
    // To be checked just before sending a call that was started under that fence.
    bool may_act_under(const duties::Duty& duty, std::uint64_t fence) const;
    std::array<Status, duties::kDutyPartitions> statuses() const;
    // State committed in the duty's partition as far as this node knows; complete on a node that may act.
    // None if it can't be decoded.
    std::optional<duties::PartitionState> committed(const duties::Duty& duty) const;
    // Proposes a change if this node may propose for the duty: `change` is evaluated once, and never after
    // the fence has changed. The result shows in `committed`.
    void propose(const duties::Duty& duty, ChangeState change);

  private:
    struct Partition {
        std::unique_ptr<StateFile> disk;
        StoredReplicaState loaded;
        std::unique_ptr<ReplicatedGroup> member; // declared after the disk that it writes to
        std::unique_ptr<duties::Lease> lease;
        std::uint64_t times_elected = 0; // by this process
        Ticks led_since = 0;
    };
    DutyPartitions(transport::Reactor& reactor, Options options, SendToMember send);
    Result<void> load(const OpenStateFile& open_file);
    void open_member(std::size_t number, const consensus::Member& self);
    void role_changed(Partition& partition, const consensus::RoleChanged& role);
    void release(Partition& partition);
    bool may_act(const Partition& partition) const;

    transport::Reactor& reactor_;
    Options options_;
    SendToMember send_;
    Ticks opened_at_;
    std::array<Partition, duties::kDutyPartitions> partitions_;
    std::vector<consensus::Member> initial_voters_;
    consensus::Member self_;
    bool has_lost_state_ = false, resigning_ = false;
};

} // namespace ivyrill::control
