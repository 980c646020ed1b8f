// Exchange of the fleet's time and of the proxies' counts between control nodes: data from a node's own
// sessions is forwarded to its peers, data from peers is only merged. Performs no I/O.
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
    UsageExchange(std::string self, clock::FleetClock& clock, duties::UsageAggregator& aggregator,
                  std::function<std::int64_t()> time_of_day)
        : self_(std::move(self)), clock_(clock), aggregator_(aggregator),
          time_of_day_(std::move(time_of_day)) {}

    // To be called periodically: samples this node's own clock and advances the aggregator.
    void tick(Ticks now);
    void add_time_of_day(const std::string& node, std::int64_t unix_ms, Ticks now) {
        clock_.add_sample(node, unix_ms, now);
    }
    // `status.sessions` must be filled already.
    void fill_status(feed::PeerStatus& status, Ticks now) const;
    void on_peer_status(const std::string& peer, const feed::PeerStatus& status, Ticks now);

    void add_local_counts(const std::vector<model::ProcessUsage>& counts,
                          Ticks now); // reported by this node's sessions
    std::vector<feed::UsageCounts> drain_for_peers() {
        return split_into_messages(std::exchange(for_peers_, {}));
    }
    // Recent counts for a newly connected peer; only the newest windows if the total is too large.
    std::vector<feed::UsageCounts> recent() const {
        return newest_within_limit(aggregator_.recent(kRecentMs));
    }
    // Merges counts forwarded by a peer; returns the request for missing counts to send to it, if any.
    feed::UsageRequest merge(const feed::UsageCounts& forwarded, Ticks now);
    std::vector<feed::UsageCounts> answer(const feed::UsageRequest& missing) const {
        return newest_within_limit(aggregator_.recent_from(missing.processes, kRecentMs));
    }

  private:
    static constexpr std::int64_t kRecentMs = 20'000;
    static constexpr std::size_t kMaxMessageBytes = 1024 * 1024;     // of a message with several counts
    static constexpr std::size_t kMaxRecentBytes = 16 * 1024 * 1024; // approximate limit on one link at once

    static std::vector<feed::UsageCounts> split_into_messages(std::vector<model::ProcessUsage> counts);
    static std::vector<feed::UsageCounts> newest_within_limit(std::vector<model::ProcessUsage> counts);

    std::string self_;
    clock::FleetClock& clock_;
    duties::UsageAggregator& aggregator_;
    std::function<std::int64_t()> time_of_day_;
    std::vector<model::ProcessUsage> for_peers_; // since the last drain
};

} // namespace ivyrill::control
