// The publishing side of a feed: takes subscribers on one address, brings each up to date, and hands every
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
        Tenths heartbeat =
            0; // between heartbeats; 0 for none, where a dead peer shows itself by its closed link
        Tenths silence = 0;        // after which a subscriber counts as gone
        Tenths batch_delay = 1000; // loads and lists of nodes wait so long for company
        Tenths min_flush_interval =
            300; // everything else goes at once, but so long after what went before at the least
    };
    struct Callbacks {
        std::function<std::optional<std::string>()> refuse; // why no subscriber is taken now, or nothing
        std::function<bool()> ready; // else a subscriber waits for `serve_deferred`; none: always
        std::function<void()> sessions_changed;
        std::function<Digests()> digests;                                   // of the instances known here
        std::function<void(const std::vector<model::Instance>&)> instances; // that a subscriber knows
        std::function<void(const std::vector<model::Load>&)> loads;
        std::function<void(const std::string& node, const std::vector<model::ServiceDemand>&)> demands;
        std::function<void(const std::vector<model::ProcessUsage>&)> usage;
        std::function<void(const std::string& node, std::int64_t unix_ms)> time_of_day; // of a subscriber
        // Told to subscribers once they are up to date, and each second; none: it is not told.
        std::function<std::optional<clock::FleetTime>()> fleet_time;
    };
    Publisher(transport::Reactor& reactor, FeedLog& log, Options options, Callbacks callbacks);
    ~Publisher();

    // A connection whose first message was Subscribe is handed over with that message.
    void accept(const AcceptedLink& connection); // a fresh one, of a subscriber
    void publish();                              // after items were put
    void publish_time();                         // to all, at once
    void serve_deferred();                       // those that came before all was ready
    void close_all(const std::string& reason);
    std::vector<model::EdgeNode> sessions() const;

  private:
    struct Subscriber {
        std::optional<Subscribe> waits; // until all is ready
        std::unique_ptr<Link> link;
        model::EdgeNode node;
        bool subscribed = false, waits_for_records = false;
        std::uint64_t feed_id = 0, sequence = 0; // as it asked, then as it was sent
        std::int64_t configuration_version = 0;
        Tenths last_sent = 0, time_told = 0;
    };
    void received(std::uint64_t id, Message message);
    void subscribe(std::uint64_t id, Subscribe message);
    void bring_up_to_date(Subscriber& subscriber);
    void send_snapshot(Subscriber& subscriber);
    void send_batch(Subscriber& subscriber, BatchView batch);
    std::int64_t shorten_configuration(BatchView& batch, std::int64_t known_version) const;
    void flush();
    void beat();
    Heartbeat heartbeat() const;
    void tell_time_to(std::uint64_t id);
    void send_heartbeat(std::uint64_t id, const Heartbeat& heartbeat);
    void drop(std::uint64_t id, const std::string& reason);

    transport::Reactor& reactor_;
    FeedLog& log_;
    Options options_;
    Callbacks callbacks_;
    std::map<std::uint64_t, Subscriber> subscribers_;
    std::uint64_t count_ = 0;
    std::uint64_t flushed_ = 0; // place up to which `flush` has gone
    std::string
        snapshot_; // one frame for all who start within a moment; what came after it follows by itself
    std::uint64_t snapshot_sequence_ = 0;
    std::int64_t snapshot_version_ = 0; // of its configuration
    Tenths snapshot_at_ = 0;
    transport::Reactor::TimerId flush_timer_{}, beat_timer_{};
    FlushPlan plan_;
};

} // namespace ivyrill::feed
