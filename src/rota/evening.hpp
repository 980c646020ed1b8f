// The order of work as all agree on it: a state machine that the council's log drives. Every node that
// applies the same commands in the same order holds the same state; it asks neither clock nor chance nor
// network. What it refuses, it refuses everywhere: a grant that would leave a shard under its floor is void
// whoever gave it, and whatever that node believed.
#pragma once
#include "rota/types.hpp"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace ivyrill::rota {

std::string request_of(const Command& command); // empty where it bears none

class Evening {
  public:
    Verdict apply(const Command& command);

    const std::map<std::string, Turn>& turns() const { return turns_; }
    const Turn* turn(const std::string& machine) const;
    const std::map<std::string, Facts>& fleet() const { return fleet_; }
    const std::set<std::string>& voters() const { return voters_; }
    const Limits& limits() const { return limits_; }
    bool held() const { return held_; }
    const std::string& held_why() const { return held_why_; }
    Fence last_fence() const { return fence_; }
    std::uint64_t applied() const { return applied_; } // commands, the refused ones among them
    std::set<std::string> out() const;
    std::size_t open() const; // turns that are not over

    // Why that machine may not go, with those `down` as well; empty: it may.
    std::string objection(const std::string& machine, const std::set<std::string>& down) const;

    std::string encode() const; // CBOR
    static std::optional<Evening> decode(std::string_view bytes);

  private:
    Verdict take(const Survey& command);
    Verdict take(const Add& command);
    Verdict take(const Withdraw& command);
    Verdict take(const Hold& command);
    Verdict take(const Resume& command);
    Verdict take(const Hurry& command);
    Verdict take(const Grant& command);
    Verdict take(const Take& command);
    Verdict take(const Move& command);
    Verdict take(const Lapse& command);
    Verdict take(const Recall& command);
    Turn* fenced(const std::string& machine, Fence fence);

    Limits limits_;
    std::map<std::string, Facts> fleet_;
    std::set<std::string> voters_;
    std::map<std::string, Turn> turns_; // by machine: the latest
    std::deque<std::string> requests_;  // the latest, so that one heard twice is done once
    bool held_ = false;
    std::string held_why_;
    Fence fence_;
    OrderNo last_order_;
    std::uint64_t applied_ = 0;
};

// What may go with what, and how much of it at once. Shared by the state machine, the plan and its baselines.
class Room {
  public:
    Room(const Limits& limits, const std::map<std::string, Facts>& fleet,
         const std::set<std::string>& voters);
    // Why `machine` may not be down beside `down`; empty: it may.
    std::string objection(const std::string& machine, const std::set<std::string>& down) const;

  private:
    static std::size_t most_of(double share, std::size_t count);
    const Limits& limits_;
    const std::map<std::string, Facts>& fleet_;
    const std::set<std::string>& voters_;
    std::map<std::string, std::size_t> zones_;
    std::map<int, std::vector<const Facts*>> holders_;
    std::size_t servers_ = 0, fronts_ = 0;
};

} // namespace ivyrill::rota
