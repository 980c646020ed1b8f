// A control node's share of what all control nodes know of the fleet's time and of the proxies' counts: what
// comes from its own sessions is passed on to its peers, what comes from peers is only merged. Free of I/O.
#pragma once
#include "clock/fleet_clock.hpp"
#include "duties/usage_aggregator.hpp"
#include "feed/messages.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace ivyrill::control {

class UsageExchange {
  public:
    UsageExchange(std::string self, clock::FleetClock& clock, duties::UsageAggregator& tally,
                  std::function<std::int64_t()> time_of_day)
        : self_(std::move(self)), clock_(clock), tally_(tally), time_of_day_(std::move(time_of_day)) {}

    // Every so often: this node's own clock, and what has come by it.
    void tick(Tenths now);
    void add_time_of_day(const std::string& node, std::int64_t unix_ms, Tenths now) {
        clock_.add_sample(node, unix_ms, now);
    }
    // `status.sessions` is there already.
    void fill_status(feed::PeerStatus& status, Tenths now) const;
    void on_peer_status(const std::string& peer, const feed::PeerStatus& status, Tenths now);

    void add_local_counts(const std::vector<model::ProcessUsage>& counts,
                          Tenths now); // by this node's sessions
    std::vector<feed::UsageCounts> drain_for_peers() { return messages_of(std::exchange(for_peers_, {})); }
    // For a peer that is met anew; the newest windows where it would be too much.
    std::vector<feed::UsageCounts> recent() const { return newest_of(tally_.recent(kRecentMs)); }
    // Merges what a peer passed on; returns what to ask it for, if anything.
    feed::UsageRequest merge(const feed::UsageCounts& passed_on, Tenths now);
    std::vector<feed::UsageCounts> answer(const feed::UsageRequest& wanted) const {
        return newest_of(tally_.recent_from(wanted.processes, kRecentMs));
    }

  private:
    static constexpr std::int64_t kRecentMs = 20'000;
    static constexpr std::size_t kMostBytes = 1024 * 1024; // of a message that holds several counts
    static constexpr std::size_t kMostRecentBytes = 16 * 1024 * 1024; // on one link at once, about

    static std::vector<feed::UsageCounts> messages_of(std::vector<model::ProcessUsage> counts);
    static std::vector<feed::UsageCounts> newest_of(std::vector<model::ProcessUsage> counts);

    std::string self_;
    clock::FleetClock& clock_;
    duties::UsageAggregator& tally_;
    std::function<std::int64_t()> time_of_day_;
    std::vector<model::ProcessUsage> for_peers_; // since the last take
};

} // namespace ivyrill::control
