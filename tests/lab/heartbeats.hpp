// When and where a stand-in model server sends its heartbeats: one call at a time, no I/O; the caller passes
// the time.
#pragma once
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ivyrill::lab {

struct HeartbeatPlan {
    std::vector<std::string> control; // addresses of nodes that accept heartbeats
    Ticks interval = kTicksPerSecond * 12 / 10;
    Ticks drain = 2 * kTicksPerSecond;      // keeps serving this long after `draining` was acknowledged
    Ticks drain_more = kTicksPerSecond / 2; // plus this margin
    Ticks drain_unacknowledged = 5 * kTicksPerSecond; // without an acknowledgement it ends after this period
};

enum class HeartbeatKind : std::uint8_t { kServing, kDraining, kLeave };

struct HeartbeatCall { // PUT /instances/ID, or DELETE for kLeave
    HeartbeatKind kind = HeartbeatKind::kServing;
    std::string address;
    std::uint64_t sequence = 0;
};

struct HeartbeatAnswer {
    int status = 0;
    std::string location, body;
};

class Heartbeats {
  public:
    Heartbeats(HeartbeatPlan plan, Ticks now) : plan_(std::move(plan)), next_(now) {}

    // The call to make now, if one is due and none is in flight. Its result must be passed within kTimeout.
    std::optional<HeartbeatCall> begin(Ticks now);
    void answered(const HeartbeatAnswer& answer, Ticks now);
    void failed(Ticks now); // no answer, or none in time
    void leave(Ticks now);  // reports `draining` at once; later calls change nothing
    bool ended() const { return ended_; }
    std::optional<Ticks> due() const; // when begin() returns a call, or the server ends
    std::uint64_t acknowledged() const { return acknowledged_; }

    static constexpr Ticks kTimeout = kTicksPerSecond;
    static constexpr std::size_t kMostAnswer = 4096; // bytes; a longer answer acknowledges nothing

  private:
    void acknowledge(const std::string& body, Ticks now);
    HeartbeatKind kind_at(Ticks now) const;

    HeartbeatPlan plan_;
    Ticks next_;
    std::size_t node_ = 0;
    std::string named_;      // by the last answer's beatAddr, until a heartbeat to it fails
    std::string redirected_; // by 307, for the next call only
    int redirects_ = 0;
    std::int64_t failures_ = 0; // in a row
    std::uint64_t sequence_ = 0, acknowledged_ = 0;
    std::optional<HeartbeatKind> under_way_;
    std::optional<Ticks> left_at_, leave_by_;
    bool drain_acknowledged_ = false, ended_ = false;
};

} // namespace ivyrill::lab
