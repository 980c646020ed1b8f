// This node's member in the group of each part of the duties (src/duties/duty.hpp): on its disk and links,
// and whether it may act for a duty now, under which fence. The groups are founded by voters of the
// configuration's group, which agrees on them once.
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

class DutyParts {
  public:
    struct Options {
        std::size_t min_copies = 1; // disks, of voters that stay, that hold what is agreed on
        std::size_t voters = 3;     // of each part
        Tenths lease = 0;           // `leaseMs`
        std::function<std::uint64_t()> draw;
    };
    using SendToMember = std::function<void(std::size_t part, const consensus::Send&)>;
    struct Standing { // of one part, as this node sees it
        bool leads = false, acts = false;
        std::uint64_t fence = 0;
        std::optional<consensus::MemberId> leader;
        Tenths led_for = 0; // since this node was elected
    };
    // The state that should follow; none where nothing is to change.
    using ChangeState = std::function<std::optional<duties::PartState>(const duties::PartState& newest)>;

    // Reads the disk. An error where it holds what can't be served with.
    static Result<std::unique_ptr<DutyParts>>
    open(transport::Reactor& reactor, const OpenStateFile& open_file, Options options, SendToMember send);
    // The disk has lost what was durable here: this node's member is lost with it, in every group.
    bool is_spoilt() const { return spoilt_; }

    bool has_joined() const { return parts_.front().member != nullptr; }
    void join(const consensus::Member& self); // once it is certain whose disk this is
    void found(const std::vector<consensus::Member>& founders);
    void receive(std::size_t part, const consensus::Message& message);
    void set_member_statuses(const std::vector<consensus::MemberStatus>& candidates);
    void resign(); // before a planned end: acts no more, says so, and hands over

    // The fence under which this node may act for the duty at this moment; none where it may not.
    std::optional<std::uint64_t> fence(const duties::Duty& duty) const;
    // Whether this node may propose for the duty: it acts, or will once former holders are waited for.
    bool may_propose(const duties::Duty& duty) const;
    // In the moment in which something leaves that was begun under that fence.
    bool may_act_under(const duties::Duty& duty, std::uint64_t fence) const;
    std::array<Standing, duties::kDutyParts> standings() const;
    // What the duty's part has agreed on, as far as this node knows; whoever may act knows all of it. None
    // where it can't be read.
    std::optional<duties::PartState> agreed(const duties::Duty& duty) const;
    // Where this node may propose for the duty: `change` is asked once at its turn, never after that fence.
    // What became of it shows in `agreed`.
    void propose(const duties::Duty& duty, ChangeState change);

  private:
    struct Part {
        std::unique_ptr<StateFile> disk;
        StoredReplicaState loaded;
        std::unique_ptr<ReplicatedGroup> member; // after its disk, which it writes to
        std::unique_ptr<duties::Lease> lease;
        std::uint64_t times_led = 0; // by this process
        Tenths led_since = 0;
    };
    DutyParts(transport::Reactor& reactor, Options options, SendToMember send);
    Result<void> load(const OpenStateFile& open_file);
    void open_member(std::size_t number, const consensus::Member& self);
    void role_changed(Part& part, const consensus::RoleChanged& role);
    void release(Part& part);
    bool may_act(const Part& part) const;

    transport::Reactor& reactor_;
    Options options_;
    SendToMember send_;
    Tenths opened_at_;
    std::array<Part, duties::kDutyParts> parts_;
    std::vector<consensus::Member> founders_;
    consensus::Member self_;
    bool spoilt_ = false, ending_ = false;
};

} // namespace ivyrill::control
