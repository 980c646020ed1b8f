// Limits TLS handshakes, each of which costs more than many searches and can be requested by anyone. Three
// limits apply: the number of handshakes in progress (a new one evicts the oldest), the steps per second (a
// token bucket) and the steps per event loop turn, which bounds the delay of searches on the plain port.
// Times are those of the reducer. No I/O.
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace ivyrill::access {

struct HandshakeLimits {
    std::size_t max_open = 0;    // handshakes in progress
    double steps_per_second = 0; // a full handshake takes two steps, or three with TLS 1.2
    std::size_t steps_per_turn = 0;
};

// Names are serial numbers; the lowest is the oldest.
template <class Name> class HandshakeLimiter {
  public:
    HandshakeLimiter(HandshakeLimits limits, Ticks now)
        : limits_(limits), tokens_(burst()), refilled_at_(now) {}

    // Adds a connection that starts a handshake; returns the connection evicted for it, if any.
    std::optional<Name> begin(Name name) {
        std::optional<Name> evicted;
        if (open_.size() >= limits_.max_open && !open_.empty())
            evicted = *open_.begin(), end(*evicted), ++evicted_;
        open_.insert(name);
        return evicted;
    }
    void request_step(Name name) { // call when input has arrived and the connection needs a step
        if (open_.contains(name) && !waiting_names_.contains(name))
            waiting_names_.insert(name), queue_.push_back(name);
    }
    void end(Name name) { // the handshake is complete, or the connection is closed
        open_.erase(name), waiting_names_.erase(name);
        if (waiting_names_.empty()) queue_.clear();
    }
    // The connections that may take a step in this turn, longest-waiting first.
    std::vector<Name> grant(Ticks now) {
        tokens_ = std::min(burst(), tokens_ + limits_.steps_per_second *
                                                  static_cast<double>(now - refilled_at_) / kTicksPerSecond);
        refilled_at_ = now;
        std::vector<Name> granted;
        while (!queue_.empty() && granted.size() < limits_.steps_per_turn && tokens_ >= 1) {
            const Name next = queue_.front();
            queue_.pop_front();
            if (waiting_names_.erase(next) == 0) continue;
            granted.push_back(next), tokens_ -= 1;
        }
        while (!queue_.empty() && !waiting_names_.contains(queue_.front())) queue_.pop_front();
        return granted;
    }
    // When the next waiting connection may take a step; nullopt if none waits.
    std::optional<Ticks> next_step_time(Ticks now) const {
        if (waiting_names_.empty()) return {};
        if (tokens_ >= 1) return now + 1;
        const double span = (1 - tokens_) * kTicksPerSecond / limits_.steps_per_second;
        return now + std::max<Ticks>(1, static_cast<Ticks>(span) + 1);
    }
    std::size_t open() const { return open_.size(); }
    bool open(Name name) const { return open_.contains(name); }
    std::uint64_t evicted() const { return evicted_; }

  private:
    double burst() const { return std::max(1.0, static_cast<double>(limits_.steps_per_turn)); }

    HandshakeLimits limits_;
    double tokens_;
    Ticks refilled_at_;
    std::set<Name> open_, waiting_names_;
    std::deque<Name> queue_;
    std::uint64_t evicted_ = 0;
};

} // namespace ivyrill::access
