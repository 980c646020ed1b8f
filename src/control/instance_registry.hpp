// A control node's registry of the model servers. Services are partitioned by a hash of their names; the
// owner of a partition among the live control nodes (service_partitions.hpp) alone runs the failure detector
// for its servers (failure_detector.hpp). A server's drain or departure is acknowledged once enough control
// nodes hold it on their disks.
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
        std::string self;              // this node's address for its peers
        std::uint64_t incarnation = 0; // of this process
        Ticks heartbeat_interval = 0;  // of the servers
        std::size_t max_per_owner = 0; // see ServicePartitions; 0: unlimited
    };
    struct Callbacks {
        std::function<void(const feed::Message&)> send_to_peers;
        std::function<bool(const std::string& peer, const feed::Message&)>
            send; // returns false if the link is down
        // Whether a record on the disks of these members survives the tolerated number of simultaneous
        // losses.
        std::function<bool(const std::set<std::uint64_t>& members)> survives_losses;
        std::function<std::uint64_t()> self; // the member id of this node
        // Calls back with whether the current state is durable on this node's disk.
        std::function<void(std::function<void(bool)>)> make_durable;
        std::function<bool()> in_contact;        // with a leader that has a majority
        std::function<bool()> may_confirm_calls; // of servers, see FeedGate
        std::function<std::string(const std::string& peer)>
            call_address;              // a peer's address for calls of servers
        std::function<void()> changed; // instances in the log have changed
        std::function<void(const std::vector<model::Load>&)> loads_changed; // loads in the log have changed
    };
    InstanceRegistry(transport::Reactor& reactor, feed::FeedLog& log, Options options, Callbacks callbacks);
    ~InstanceRegistry();

    transport::Async<Result<RegisterReply>> handle(RegisterCall call);
    transport::Async<Result<DeregisterReply>> handle(DeregisterCall call);

    void set_nodes(std::vector<std::string> alive); // includes this node
    void handle_replicate(const model::ControlNode& peer, const feed::Replicate& message);
    void handle_replicate_ack(const model::ControlNode& peer, const feed::Replicated& message);
    void handle_digests(const model::ControlNode& peer, const feed::PeerStatus& status);
    void handle_range_request(const model::ControlNode& peer, const feed::RangeRequest& wanted);
    // Requests all records of a peer, unless this process already has them: digests don't cover servers that
    // are gone.
    void request_sync(const model::ControlNode& peer);
    void handle_records(const model::ControlNode& peer, const feed::Instances& records);
    // The members whose records were all merged by this process.
    const std::set<std::uint64_t>& synced_members() const { return sync_tracker_.synced_members(); }
    // Call after a partition: others may have acknowledged further records, so all peers are asked again.
    void reset_sync() { sync_tracker_.reset(); }
    const DroppedSyncReplies& dropped_replies() const { return sync_tracker_.dropped_replies(); }
    void record_remote_heartbeats(const feed::HeartbeatsSeen& message);    // received by a peer
    void merge_agent_records(const std::vector<model::Instance>& records); // known to an agent
    void update_loads(const std::vector<model::Load>& loads, bool from_agent);
    const std::map<std::string, model::Load>& loads() const { return loads_; }
    feed::Digests digests() const { return table_.digests(); }
    const feed::InstanceTable& table() const { return table_; }

  private:
    struct PendingDeparture {
        std::set<std::uint64_t> members; // that hold the record on their disks
        std::shared_ptr<transport::Pending<bool>> durable;
    };
    void record_copy(std::uint64_t number, std::uint64_t member);
    bool merge(const std::vector<model::Instance>& records); // returns whether any has changed
    bool accept(const model::Instance& record);              // merges and publishes; false if unchanged
    // Marks the other records with the same address as gone.
    void retire_predecessors(const model::Instance& record);
    transport::Async<bool> replicate_durably(std::vector<model::Instance> records);
    void check_failures();
    bool remove_gone(); // returns whether any was removed
    bool is_owner(const std::string& service) { return partitions_.owner(service) == options_.self; }
    void record_heartbeat(const std::string& id) { failure_detector_.record_heartbeat(id, reactor_.now()); }
    void queue_notifications(const model::Instance& record);
    void notify_watchers();

    transport::Reactor& reactor_;
    feed::FeedLog& log_;
    Options options_;
    Callbacks callbacks_;
    feed::InstanceTable table_;
    ServicePartitions partitions_;
    FailureDetector failure_detector_;
    SyncTracker sync_tracker_;
    std::map<std::string, model::Load> loads_;                           // by instance
    std::map<std::string, std::set<std::string>> pending_notifications_; // by the node to notify
    std::set<std::string> durable_departures_;
    std::map<std::string, int> digest_mismatches_; // consecutive mismatches of a peer's digests
    std::map<std::uint64_t, PendingDeparture> pending_departures_; // by message number
    bool was_out_of_contact_ = false;                              // at the last check
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::control
