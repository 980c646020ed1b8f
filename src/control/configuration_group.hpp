// This node's member of the consensus group that holds the configuration: its bootstrap, its identity on
// disk, and the operator's calls to read and replace the configuration.
#pragma once
#include "base/result.hpp"
#include "consensus/replica.hpp"
#include "control/configuration_state.hpp"
#include "control/replicated_group.hpp"
#include "model/configuration.hpp"
#include "transport/pending.hpp"
#include "transport/reactor.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ivyrill::control {

class ConfigurationGroup {
  public:
    struct Options {
        std::string address, zone;               // of this node, for its peers
        std::vector<std::string> initial_voters; // addresses; they bootstrap the group on its first start
        bool first_start = false;
        bool disk_is_corrupt = false; // another state file on this disk has lost durable data
        std::size_t min_voters = 3, max_voters = 9;
        std::size_t min_copies = 1;          // see consensus::Options
        std::function<std::uint64_t()> draw; // random numbers, never 0
    };
    struct Callbacks {
        std::function<void(const consensus::Send&)> send;
        std::function<void(const model::Configuration&, const std::string& body)>
            committed;                          // for each newer configuration, once
        std::function<void()> leader_changed;   // another leader is known, or none
        std::function<void()> identity_changed; // this node joins an existing group under a new member id
        // The initial voters of the duties' groups, with each committed entry that names them.
        std::function<void(const std::vector<consensus::Member>&)> initial_duty_voters;
    };
    // Returns an error if the stored state can't be read.
    static Result<std::unique_ptr<ConfigurationGroup>>
    open(transport::Reactor& reactor, std::unique_ptr<StateFile> file, Options options, Callbacks callbacks);
    ~ConfigurationGroup();

    consensus::MemberId self() const { return self_.id; }
    const consensus::Member& self_member() const { return self_; }
    bool leads() const { return replica().leads(); }
    std::optional<consensus::MemberId> leader() const { return replica().leader(); }
    // Whether this node is the leader with a majority or recently heard from it, so that its state is
    // current.
    bool in_contact() const;
    Ticks time_out_of_contact() const; // 0 while in contact
    bool caught_up() const { return replica().caught_up(); }
    std::uint64_t term() const { return replica().term(); }
    const consensus::DroppedMessages& dropped_messages() const { return replica().dropped_messages(); }
    std::vector<consensus::Member> voters() const;
    // Whether data on the disks of these members survives the tolerated number of simultaneous losses.
    bool survives_losses(const std::set<std::uint64_t>& members) const;
    // Whether these members, together with this node if it is a voter, form a majority.
    bool is_majority(const std::set<std::uint64_t>& members) const;
    std::int64_t version() const { return published_version_; }

    void receive(const consensus::Message& message);
    // Reports a peer's hello and the newest term that the peer knows: an initial voter learns from it whether
    // the group already exists.
    void handle_peer_hello(const std::string& address, std::uint64_t term);
    void set_member_statuses(std::vector<consensus::MemberStatus> statuses);
    void resign();
    // If this node leads and no initial duty voters are replicated yet, proposes `count` of the voters once
    // there are that many.
    void propose_initial_duty_voters(std::size_t count);
    bool is_bootstrapping() const { return bootstrapping_; } // ignores the group's messages

    // Both fail at once with kUnavailable if this node is not the leader.
    transport::Async<Result<void>> replace(std::int64_t if_match, std::string body);
    transport::Async<Result<std::optional<std::string>>> read(); // none: no configuration was accepted yet

  private:
    ConfigurationGroup(transport::Reactor& reactor, std::unique_ptr<StateFile> file, Options options,
                       Callbacks callbacks);
    Result<void> load();
    const consensus::Replica& replica() const { return group_->replica(); }
    void open_group(const consensus::DurableState& durable);
    void bootstrap();
    void bootstrap_if_unopposed(); // if the contacted initial voters know of no group
    void join_as_new_member();
    void check_leader();
    void publish(const consensus::Entry& entry);

    transport::Reactor& reactor_;
    Options options_;
    Callbacks callbacks_;
    consensus::Member self_;
    std::unique_ptr<StateFile> file_;
    std::unique_ptr<ReplicatedGroup> group_; // after the file, which it writes to
    std::int64_t published_version_ = 0;
    Ticks opened_at_ = 0;
    std::optional<consensus::MemberId> reported_leader_;
    bool bootstrapping_ = false;                     // an initial voter on an empty disk at a first start
    std::set<std::string> contacted_initial_voters_; // that know of no group either
    transport::Reactor::TimerId bootstrap_timer_{};
};

} // namespace ivyrill::control
