// One member of a replicated group on this process's clock, disk and links: carries out what its replica asks
// for, and lets callers wait for what becomes of a proposal or of a read. What is replicated, and who founds
// the group, is its owner's matter.
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

// What lies in one file: the state, and whose it is.
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
        std::function<void()> stepped; // after all effects of an event were carried out
    };
    // `disk` must outlive it.
    ReplicatedGroup(transport::Reactor& reactor, StateFile& disk, consensus::Options options,
                    const consensus::DurableState& durable, Callbacks callbacks);
    ~ReplicatedGroup();
    ReplicatedGroup(const ReplicatedGroup&) = delete;
    ReplicatedGroup& operator=(const ReplicatedGroup&) = delete;

    const consensus::Replica& replica() const { return replica_; }

    void bootstrap(std::vector<consensus::Member> initial_voters, std::string payload);
    void receive(const consensus::Message& message);
    void set_member_statuses(std::vector<consensus::MemberStatus> candidates, std::size_t least,
                             std::size_t most);
    void resign();
    // What became of it, or nothing by then.
    transport::Async<std::optional<consensus::ProposalOutcome>> propose(consensus::Replica::MakePayload make,
                                                                        Tenths patience);
    void propose_without_waiting(consensus::Replica::MakePayload make);
    // Whether a majority has confirmed within that time that this member still leads.
    transport::Async<bool> confirm_leadership(Tenths patience);
    void step(); // carries out effects, sets the timer

  private:
    void execute(consensus::Effect effect);
    void store(const consensus::Store& store);

    transport::Reactor& reactor_;
    StateFile& disk_;
    consensus::Member self_;
    Callbacks callbacks_;
    consensus::Replica replica_;
    std::map<consensus::ProposalId, std::shared_ptr<transport::Pending<consensus::ProposalOutcome>>>
        proposals_;
    std::map<consensus::ReadId, std::shared_ptr<transport::Pending<bool>>> reads_;
    bool stepping_ = false;
    std::shared_ptr<bool> is_there_ = std::make_shared<bool>(true); // a write may outlast it
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::control
