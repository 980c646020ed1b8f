// The model servers as this control node knows them. Parts of the state are cut by a hash of the service's
// name; each part has an owner among the control nodes that are alive (service_partitions.hpp), who alone
// judges silence (failure_detector.hpp). What a server says of its leaving is acknowledged once enough of the
// control nodes hold it on their disks.
#pragma once
#include "base/result.hpp"
#include "control/failure_detector.hpp"
#include "control/heartbeat_call.hpp"
#include "control/service_partitions.hpp"
#include "control/sync_tracker.hpp"
#include "feed/feed_log.hpp"
#include "feed/instance_table.hpp"
#include "feed/messages.hpp"
#include "model/instance.hpp"
#include "transport/pending.hpp"
#include "transport/reactor.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ivyrill::control {

class InstanceRegistry {
  public:
    struct Options {
        std::string self;              // this node's address among its peers
        std::uint64_t incarnation = 0; // of this process
        Tenths heartbeat = 0;          // that servers keep
        std::size_t max_per_owner = 0; // servers whose heartbeats one owner takes; 0: all of its own
    };
    struct Callbacks {
        std::function<void(const feed::Message&)> send_to_peers;
        std::function<bool(const std::string& peer, const feed::Message&)> send; // false: no link stands
        // Whether a record on the disks of these members (and of this node, where it is among them) outlasts
        // what may be lost at once.
        std::function<bool(const std::set<std::uint64_t>& members)> survives_losses;
        std::function<std::uint64_t()> self; // the identity of this node's disk
        // Tells whether all that is known here now is on this node's disk.
        std::function<void(std::function<void(bool)>)> make_durable;
        std::function<bool()> in_contact; // with whoever owns the configuration: this side is the majority
        std::function<bool()> serves;     // in contact lately enough to confirm what servers say
        std::function<std::string(const std::string& peer)> call_address; // where a peer takes servers' calls
        std::function<void()> changed;                                    // instances were put into the log
        std::function<void(const std::vector<model::Load>&)> loads_changed; // loads were
    };
    InstanceRegistry(transport::Reactor& reactor, feed::FeedLog& log, Options options, Callbacks callbacks);
    ~InstanceRegistry();

    transport::Async<Result<RegisterReply>> handle(RegisterCall call);
    transport::Async<Result<DeregisterReply>> handle(DeregisterCall call);

    void set_nodes(std::vector<std::string> alive); // with this node
    void replicate(const model::ControlNode& peer, const feed::Replicate& message);
    void replicated(const model::ControlNode& peer, const feed::Replicated& message);
    void compare(const model::ControlNode& peer, const feed::PeerStatus& status);
    void send_ranges(const model::ControlNode& peer, const feed::WantRanges& wanted);
    // A process that starts asks each peer for all its records once: digests don't tell of what is gone.
    void request_sync(const model::ControlNode& peer);
    void receive_records(const model::ControlNode& peer, const feed::Instances& records);
    // Members whose whole records were merged into this process's.
    const std::set<std::uint64_t>& synced_members() const { return copies_.synced_members(); }
    // This node was cut off: others may have acknowledged what it does not know, so each is asked anew.
    void reset_sync() { copies_.reset(); }
    const DroppedSyncReplies& dropped_replies() const { return copies_.dropped_replies(); }
    void record_remote_heartbeats(const feed::Heard& message);             // a peer has heard them
    void merge_agent_records(const std::vector<model::Instance>& records); // that an agent knows
    void update_loads(const std::vector<model::Load>& loads, bool first_hand);
    const std::map<std::string, model::Load>& loads() const { return loads_; }
    feed::Digests digests() const { return table_.digests(); }
    const feed::InstanceTable& table() const { return table_; }

  private:
    struct Copies { // of one replicated message
        std::set<std::uint64_t> members;
        std::shared_ptr<transport::Pending<bool>> enough;
    };
    void stored_at(std::uint64_t number, std::uint64_t member);
    bool merge(const std::vector<model::Instance>& records); // true where any was news
    bool accept(const model::Instance& record); // merges and publishes; false where it was no news
    void end_predecessors(const model::Instance& record);
    transport::Async<bool> secure(std::vector<model::Instance> records); // until they last
    void check_silence();
    bool forget_gone(); // true where anything was
    bool is_owner(const std::string& service) { return parts_.owner(service) == options_.self; }
    void heard(const std::string& id) { silence_.heard(id, reactor_.now()); }
    void note_for_watchers(const model::Instance& record);
    void tell_watchers();

    transport::Reactor& reactor_;
    feed::FeedLog& log_;
    Options options_;
    Callbacks callbacks_;
    feed::InstanceTable table_;
    ServicePartitions parts_;
    FailureDetector silence_;
    SyncTracker copies_;
    std::map<std::string, model::Load> loads_;                      // by instance
    std::map<std::string, std::set<std::string>> heard_for_others_; // by the node to be told
    std::set<std::string> secured_;
    std::map<std::string, int> differs_;       // statuses in a row in which a peer's digests were others
    std::map<std::uint64_t, Copies> leavings_; // by the number of the message
    bool was_blind_ = false;                   // out of contact at the last look
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::control
