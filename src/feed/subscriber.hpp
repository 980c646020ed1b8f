// The subscribing side of a feed: keeps a link to one of several publishers, switches to another one if that
// is silent or refuses, and maintains the tables. They keep their contents after a link has ended: stale data
// is better than none.
#pragma once
#include "clock/fleet_clock.hpp"
#include "feed/link.hpp"
#include "feed/tables.hpp"
#include "transport/reactor.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ivyrill::feed {

class Subscriber {
  public:
    struct Options {
        model::EdgeNode node;
        Ticks heartbeat = 0;                             // 0: none are sent
        Ticks silence = 0;                               // 0: the link ends only when it is closed
        Ticks connect_timeout = 5000;                    // for the connection, and then for the first batch
        Ticks initial_backoff = 500, max_backoff = 5000; // between rounds over all publishers
        bool offers_records = false; // sends records of instances that the publisher lacks
    };
    struct Callbacks {
        std::function<std::vector<std::string>()> publishers; // addresses, in the order to try them
        std::function<void(const Tables::Applied&)> applied;
        std::function<void()> ended;        // only after a link that had delivered a batch
        std::function<void()> synchronized; // a link has delivered its first batch: messages lost with the
                                            // previous link can be resent
        std::function<void(const clock::FleetTime&)> fleet_time; // as the publisher knows it
        std::function<std::int64_t()> time_of_day; // Unix ms, sent with heartbeats; unset: not sent
    };
    Subscriber(transport::Reactor& reactor, LinkNetwork& network, Options options, Callbacks callbacks);
    ~Subscriber();

    void start();
    Tables& tables() { return tables_; }
    bool connected() const { return link_ != nullptr && synchronized_; }
    const std::string& publisher() const { return address_; }
    bool send(const Message& message) { return connected() && link_->send(message); }
    void disconnect(const std::string& reason); // leaves this publisher and tries the next one

  private:
    void try_next();
    void try_later();
    void received(Message message);
    void apply(const Batch& batch);
    void subscribe();
    void link_ended(const std::string& reason);
    void send_heartbeat();

    transport::Reactor& reactor_;
    LinkNetwork& network_;
    Options options_;
    Callbacks callbacks_;
    Tables tables_;
    std::unique_ptr<Link> link_;
    std::string address_;
    std::vector<std::string> candidates_;
    bool synchronized_ = false; // a batch has arrived over this link
    Ticks backoff_, last_sent_ = 0;
    transport::Reactor::TimerId timer_{}, heartbeat_timer_{};
};

} // namespace ivyrill::feed
