// This node's part in the group that holds the configuration: the replicated value on this node's disk and
// links, and the operator's two calls on it.
#pragma once
#include "base/result.hpp"
#include "consensus/replica.hpp"
#include "control/configuration_state.hpp"
#include "control/disk_writer.hpp"
#include "model/configuration.hpp"
#include "transport/pending.hpp"
#include "transport/reactor.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ivyrill::control {

class ConfigurationGroup {
  public:
    struct Options {
        std::string data_dir;
        std::string address, zone;         // of this node, for its peers
        std::vector<std::string> founders; // addresses of those who found the group on a first start
        bool first_start = false;
        std::uint64_t seed = 1;
        std::size_t least_voters = 3, most_voters = 9;
    };
    struct Callbacks {
        std::function<void(const consensus::Send&)> send;
        std::function<void(const model::Configuration&, const std::string& body)>
            committed; // a newer one, each once
        std::function<void()> role_changed;
    };
    // An error where the disk holds what can't be served from.
    static Result<std::unique_ptr<ConfigurationGroup>> open(transport::Reactor& reactor, Options options,
                                                            Callbacks callbacks);
    ~ConfigurationGroup();

    consensus::MemberId self() const { return self_.id; }
    bool leads() const { return replica_->leads(); }
    std::optional<consensus::MemberId> leader() const { return replica_->leader(); }
    // Heard lately from whoever leads, or leads with a majority: what it knows is current.
    bool in_contact() const;
    Tenths out_of_contact() const; // for how long it has not been
    std::vector<consensus::Member> voters() const;
    std::int64_t version() const { return published_version_; }

    void receive(const consensus::Message& message);
    void set_candidates(std::vector<consensus::Candidate> candidates);
    void resign();

    // Only where this node leads; else kUnavailable at once.
    transport::Async<Result<void>> replace(std::int64_t if_match, std::string body);
    transport::Async<Result<std::string>> read();

  private:
    ConfigurationGroup(transport::Reactor& reactor, Options options, Callbacks callbacks);
    Result<void> load();
    void step(); // carries out effects, sets the timer
    void carry_out(consensus::Effect effect);
    void store(const consensus::Store& store);
    void publish(const consensus::Entry& entry);
    void watch_contact();
    transport::Async<bool> confirmed();

    transport::Reactor& reactor_;
    Options options_;
    Callbacks callbacks_;
    consensus::Member self_;
    std::unique_ptr<DiskWriter> disk_;
    std::unique_ptr<consensus::Replica> replica_;
    std::map<consensus::ProposalId, std::shared_ptr<transport::Pending<consensus::ProposalOutcome>>>
        proposals_;
    std::map<consensus::ReadId, std::shared_ptr<transport::Pending<bool>>> reads_;
    std::int64_t published_version_ = 0;
    Tenths last_contact_ = 0, heard_leader_ = -1;
    bool stepping_ = false;
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::control
