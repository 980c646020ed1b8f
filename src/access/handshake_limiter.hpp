// Which TLS handshakes may go on. One costs more than many searches, and anybody can ask for one, so they are
// bounded three ways: so many begun and not done at once (the oldest goes when a newer one comes), so many
// steps a second (a token bucket), and so many in one turn, so that searches on the plain port wait for no
// more than that. Times are the reducer's. Free of I/O.
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
    std::size_t max_open = 0;    // begun and not done
    double steps_per_second = 0; // a whole handshake takes two, or three with TLS 1.2
    std::size_t steps_per_turn = 0;
};

// Names are serial numbers: the least is the oldest.
template <class Name> class HandshakeLimiter {
  public:
    HandshakeLimiter(HandshakeLimits terms, Tenths now) : terms_(terms), room_(burst()), filled_(now) {}

    // A connection that will advance_handshake hands; the one that must go for it, if any.
    std::optional<Name> begin(Name name) {
        std::optional<Name> gone;
        if (open_.size() >= terms_.max_open && !open_.empty())
            gone = *open_.begin(), end(*gone), ++crowded_out_;
        open_.insert(name);
        return gone;
    }
    void request_step(Name name) { // its bytes have come: it wants a step
        if (open_.contains(name) && !waits_.contains(name)) waits_.insert(name), waiting_.push_back(name);
    }
    void end(Name name) { // done, or gone
        open_.erase(name), waits_.erase(name);
        if (waits_.empty()) waiting_.clear();
    }
    // Those that may take their step in this turn, the longest waiting first.
    std::vector<Name> grant(Tenths now) {
        room_ = std::min(burst(), room_ + terms_.steps_per_second * static_cast<double>(now - filled_) /
                                              kTenthsPerSecond);
        filled_ = now;
        std::vector<Name> granted;
        while (!waiting_.empty() && granted.size() < terms_.steps_per_turn && room_ >= 1) {
            const Name next = waiting_.front();
            waiting_.pop_front();
            if (waits_.erase(next) == 0) continue;
            granted.push_back(next), room_ -= 1;
        }
        while (!waiting_.empty() && !waits_.contains(waiting_.front())) waiting_.pop_front();
        return granted;
    }
    // When the next one may go on; nothing where none waits.
    std::optional<Tenths> next_step_time(Tenths now) const {
        if (waits_.empty()) return {};
        if (room_ >= 1) return now + 1;
        const double span = (1 - room_) * kTenthsPerSecond / terms_.steps_per_second;
        return now + std::max<Tenths>(1, static_cast<Tenths>(span) + 1);
    }
    std::size_t open() const { return open_.size(); }
    bool open(Name name) const { return open_.contains(name); }
    std::uint64_t crowded_out() const { return crowded_out_; }

  private:
    double burst() const { return std::max(1.0, static_cast<double>(terms_.steps_per_turn)); }

    HandshakeLimits terms_;
    double room_;
    Tenths filled_;
    std::set<Name> open_, waits_;
    std::deque<Name> waiting_;
    std::uint64_t crowded_out_ = 0;
};

} // namespace ivyrill::access
