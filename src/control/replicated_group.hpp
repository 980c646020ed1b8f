// Runs one consensus replica on this process's clock, disk and links: executes the replica's effects, and
// lets callers wait for the outcome of proposals and reads. The owner defines the replicated value and
// bootstraps the group.
#pragma once
#include "consensus/replica.hpp"
#include "control/state_file.hpp"
#include "transport/pending.hpp"
#include "transport/reactor.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace ivyrill::control {

// The content of a replica's state file: the durable state and the member that it belongs to.
struct StoredReplicaState {
    consensus::Member self;
    consensus::DurableState state;
    template <class Self> static auto tie(Self& s) { return std::tie(s.self, s.state); }
};

class ReplicatedGroup {
  public:
    struct Callbacks {
        std::function<void(const consensus::Send&)> send;
        std::function<void(const consensus::Entry&)> committed;
        std::function<void(const consensus::RoleChanged&)> role_changed;
        std::function<void()> stepped; // after all effects of an event were executed
    };
    // `file` must outlive this object.
    ReplicatedGroup(transport::Reactor& reactor, StateFile& file, consensus::Options options,
                    const consensus::DurableState& durable, Callbacks callbacks);
    ~ReplicatedGroup();
    ReplicatedGroup(const ReplicatedGroup&) = delete;
    ReplicatedGroup& operator=(const ReplicatedGroup&) = delete;

    const consensus::Replica& replica() const { return replica_; }

    void bootstrap(std::vector<consensus::Member> initial_voters, std::string payload);
    void receive(const consensus::Message& message);
    void set_member_statuses(std::vector<consensus::MemberStatus> statuses, std::size_t min_voters,
                             std::size_t max_voters);
    void resign();
    // Returns the outcome, or nothing if it is not known within the timeout.
    transport::Async<std::optional<consensus::ProposalOutcome>> propose(consensus::Replica::MakePayload make,
                                                                        Ticks timeout);
    void propose_without_waiting(consensus::Replica::MakePayload make);
    // Returns whether a majority has confirmed within the timeout that this member still leads.
    transport::Async<bool> confirm_leadership(Ticks timeout);
    void step(); // executes effects and sets the timer

  private:
    void execute(consensus::Effect effect);
    void store(const consensus::Store& store);

    transport::Reactor& reactor_;
    StateFile& file_;
    consensus::Member self_;
    Callbacks callbacks_;
    consensus::Replica replica_;
    std::map<consensus::ProposalId, std::shared_ptr<transport::Pending<consensus::ProposalOutcome>>>
        proposals_;
    std::map<consensus::ReadId, std::shared_ptr<transport::Pending<bool>>> reads_;
    bool executing_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); // a pending write may outlive this object
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::control
