// The subscribing side of a feed: keeps one link to one of several publishers, goes elsewhere when that one
// is silent or refuses, and keeps the tables. After a link has ended the tables stay as they were: old news
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
        Tenths heartbeat = 0;          // 0: none is sent
        Tenths silence = 0;            // 0: the link ends only when it is closed
        Tenths connect_timeout = 5000; // for a connection, and for the first batch after it
        Tenths initial_backoff = 500, max_backoff = 5000; // between rounds over all publishers
        bool offers_records = false;                      // of instances that the publisher lacks
    };
    struct Callbacks {
        std::function<std::vector<std::string>()> publishers; // addresses, in the order to try
        std::function<void(const Tables::Applied&)> applied;
        std::function<void()> ended; // of a link that had brought a batch
        std::function<void()> began; // a link has brought its first batch: what is lost with links goes again
        std::function<void(const clock::FleetTime&)> fleet_time; // as the publisher knows it
        std::function<std::int64_t()> time_of_day; // told with heartbeats; Unix ms; none: it is not told
    };
    Subscriber(transport::Reactor& reactor, LinkNetwork& network, Options options, Callbacks callbacks);
    ~Subscriber();

    void start();
    Tables& tables() { return tables_; }
    bool connected() const { return link_ != nullptr && in_step_; }
    const std::string& publisher() const { return address_; }
    bool send(const Message& message) { return connected() && link_->send(message); }
    void disconnect(const std::string& reason); // this publisher; the next in order is tried

  private:
    void try_next();
    void try_later();
    void received(Message message);
    void apply(const Batch& batch);
    void subscribe();
    void link_ended(const std::string& reason);
    void beat();

    transport::Reactor& reactor_;
    LinkNetwork& network_;
    Options options_;
    Callbacks callbacks_;
    Tables tables_;
    std::unique_ptr<Link> link_;
    std::string address_;
    std::vector<std::string> to_try_;
    bool in_step_ = false; // a batch has come over this link
    Tenths backoff_, last_sent_ = 0;
    transport::Reactor::TimerId timer_{}, beat_timer_{};
};

} // namespace ivyrill::feed
