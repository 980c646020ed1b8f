// This node's part in the group that holds the configuration: the replicated value on this node's disk and
// links, and the operator's two calls on it.
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
        std::vector<std::string> initial_voters; // addresses of those who found the group on a first start
        bool first_start = false;
        bool disk_is_corrupt = false; // in another of its files
        std::size_t min_voters = 3, max_voters = 9;
        std::size_t min_copies = 1;          // disks, of voters that stay, that hold what is acknowledged
        std::function<std::uint64_t()> draw; // random numbers, never 0
    };
    struct Callbacks {
        std::function<void(const consensus::Send&)> send;
        std::function<void(const model::Configuration&, const std::string& body)>
            committed;                          // a newer one, each once
        std::function<void()> leader_changed;   // another one is known to lead, or none
        std::function<void()> identity_changed; // this disk turned out to be a new one
        // Who founds the duties' groups, each time it is read from what was committed.
        std::function<void(const std::vector<consensus::Member>&)> initial_duty_voters;
    };
    // An error where the disk holds what can't be served from.
    static Result<std::unique_ptr<ConfigurationGroup>>
    open(transport::Reactor& reactor, std::unique_ptr<StateFile> file, Options options, Callbacks callbacks);
    ~ConfigurationGroup();

    consensus::MemberId self() const { return self_.id; }
    const consensus::Member& self_member() const { return self_; }
    bool leads() const { return replica().leads(); }
    std::optional<consensus::MemberId> leader() const { return replica().leader(); }
    // Heard lately from whoever leads, or leads with a majority: what it knows is current.
    bool in_contact() const;
    Tenths time_out_of_contact() const; // for how long it has not been
    bool caught_up() const { return replica().caught_up(); }
    std::uint64_t term() const { return replica().term(); }
    const consensus::DroppedMessages& dropped_messages() const { return replica().dropped_messages(); }
    std::vector<consensus::Member> voters() const;
    // Whether what these members hold on their disks outlasts what may be lost at once.
    bool survives_losses(const std::set<std::uint64_t>& members) const;
    // Whether these members, with this node where it votes, are a majority of the voters.
    bool is_majority(const std::set<std::uint64_t>& members) const;
    std::int64_t version() const { return published_version_; }

    void receive(const consensus::Message& message);
    // A peer has said hello and told the newest term that it knows of: a founder learns by it whether the
    // group exists already.
    void handle_peer_hello(const std::string& address, std::uint64_t term);
    void set_member_statuses(std::vector<consensus::MemberStatus> candidates);
    void resign();
    // Leading, and nobody is named yet: names so many of the voters, once there are as many.
    void propose_initial_duty_voters(std::size_t count);
    bool is_bootstrapping() const { return founding_; } // takes part in nothing yet

    // Only where this node leads; else kUnavailable at once.
    transport::Async<Result<void>> replace(std::int64_t if_match, std::string body);
    transport::Async<Result<std::optional<std::string>>> read(); // none: no configuration was taken yet

  private:
    ConfigurationGroup(transport::Reactor& reactor, std::unique_ptr<StateFile> file, Options options,
                       Callbacks callbacks);
    Result<void> load();
    const consensus::Replica& replica() const { return member_->replica(); }
    void open_member(const consensus::DurableState& durable);
    void bootstrap();
    void bootstrap_if_unopposed(); // nobody knows of a group, or nobody else can be asked any longer
    void join_as_new_disk();
    void watch_leader();
    void publish(const consensus::Entry& entry);

    transport::Reactor& reactor_;
    Options options_;
    Callbacks callbacks_;
    consensus::Member self_;
    std::unique_ptr<StateFile> disk_;
    std::unique_ptr<ReplicatedGroup> member_; // of the group; after its disk, which it writes to
    std::int64_t published_version_ = 0;
    Tenths opened_at_ = 0;
    std::optional<consensus::MemberId> told_leader_;
    bool founding_ = false;              // on an empty disk at a first start: takes part in nothing yet
    std::set<std::string> met_founders_; // that know of no group either
    transport::Reactor::TimerId founding_timer_{};
};

} // namespace ivyrill::control
