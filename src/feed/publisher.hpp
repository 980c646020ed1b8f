// The publishing side of a feed: accepts subscribers on one address, brings each up to date, and sends every
// new item to all of them. A subscription is the session that makes a node a member.
#pragma once
#include "clock/fleet_clock.hpp"
#include "feed/feed_log.hpp"
#include "feed/flush_plan.hpp"
#include "feed/instance_table.hpp"
#include "feed/link.hpp"
#include "transport/reactor.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::feed {

class Publisher {
  public:
    struct Options {
        // Interval of heartbeats; 0: none, if the closed link suffices to detect a dead peer.
        Ticks heartbeat = 0;
        Ticks silence = 0;        // without data for this long a subscriber is considered dead
        Ticks batch_delay = 1000; // loads and node lists are batched for this long
        // All other items are sent at once, but at least this long after the previous flush.
        Ticks min_flush_interval = 300;
    };
    struct Callbacks {
        std::function<std::optional<std::string>()> refuse; // reason to refuse subscribers now, or none
        std::function<bool()> ready; // if false, subscribers wait until `serve_deferred`; unset: always ready
        std::function<void()> sessions_changed;
        std::function<Digests()> digests;                                   // of the instances known here
        std::function<void(const std::vector<model::Instance>&)> instances; // known to a subscriber
        std::function<void(const std::vector<model::Load>&)> loads;
        std::function<void(const std::string& node, const std::vector<model::ServiceDemand>&)> demands;
        std::function<void(const std::vector<model::ProcessUsage>&)> usage;
        std::function<void(const std::string& node, std::int64_t unix_ms)> time_of_day; // of a subscriber
        // Sent to subscribers once they are up to date, and then every second; unset: not sent.
        std::function<std::optional<clock::FleetTime>()> fleet_time;
    };
    Publisher(transport::Reactor& reactor, FeedLog& log, Options options, Callbacks callbacks);
    ~Publisher();

    // A connection whose first message was Subscribe is handed over with that message.
    void accept(const AcceptedLink& connection); // a new connection of a subscriber
    void publish();                              // to be called after items were put
    void publish_time();                         // sends the fleet's time to all immediately
    void serve_deferred();                       // serves subscribers that came before `ready`
    void close_all(const std::string& reason);
    std::vector<model::EdgeNode> sessions() const;

  private:
    struct Subscriber {
        std::optional<Subscribe> deferred; // set until the publisher is ready
        std::unique_ptr<Link> link;
        model::EdgeNode node;
        bool subscribed = false, awaits_records = false;
        std::uint64_t feed_id = 0, sequence = 0; // as requested, then as sent
        std::int64_t configuration_version = 0;
        Ticks last_sent = 0, time_sent_at = 0;
    };
    void received(std::uint64_t id, Message message);
    void subscribe(std::uint64_t id, Subscribe message);
    void bring_up_to_date(Subscriber& subscriber);
    void send_snapshot(Subscriber& subscriber);
    void send_batch(Subscriber& subscriber, BatchView batch);
    std::int64_t replace_by_change(BatchView& batch, std::int64_t known_version) const;
    void flush();
    void send_heartbeats();
    Heartbeat heartbeat() const;
    void send_time(std::uint64_t id);
    void send_heartbeat(std::uint64_t id, const Heartbeat& heartbeat);
    void drop(std::uint64_t id, const std::string& reason);

    transport::Reactor& reactor_;
    FeedLog& log_;
    Options options_;
    Callbacks callbacks_;
    std::map<std::uint64_t, Subscriber> subscribers_;
    std::uint64_t next_id_ = 0;
    std::uint64_t flushed_sequence_ = 0; // sequence number up to which items were flushed
    // One frame shared by all that start within a short time; later items follow separately.
    std::string snapshot_;
    std::uint64_t snapshot_sequence_ = 0;
    std::int64_t snapshot_version_ = 0; // version of its configuration
    Ticks snapshot_at_ = 0;
    transport::Reactor::TimerId flush_timer_{}, heartbeat_timer_{};
    FlushPlan plan_;
};

} // namespace ivyrill::feed
