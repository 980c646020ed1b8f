// Tracks from which members this process has merged all server records. A process that starts, or that was
// partitioned, requests them from each peer once, since digests don't cover servers that are gone. No I/O.
#pragma once
#include "base/planted_fault.hpp"
#include "base/time.hpp"
#include "feed/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace ivyrill::control {

// Replies that were dropped without any effect, by cause.
struct DroppedSyncReplies {
    std::uint64_t other_process = 0; // to a request of an earlier process of this node
    std::uint64_t unsolicited = 0;   // no pending request matches: late, or a duplicate
};

class SyncTracker {
  public:
    explicit SyncTracker(std::uint64_t incarnation) : incarnation_(incarnation) {}

    feed::RequestId next_id() { return {incarnation_, ++count_}; } // for any request of this process
    bool is_own_request(const feed::RequestId& id);
    void count_unsolicited() { ++dropped_replies_.unsolicited; }

    // Returns the request to send to the member, if one is due. Call `request_failed` if it could not be
    // sent.
    std::optional<feed::RangeRequest> request(std::uint64_t member, Ticks now);
    void request_failed(std::uint64_t member) { requests_.erase(member); }
    void reply_received(std::uint64_t member, const feed::RequestId& answers);
    void reset(); // after a partition, in which others may have acknowledged further records
    const std::set<std::uint64_t>& synced_members() const { return synced_members_; }
    const DroppedSyncReplies& dropped_replies() const { return dropped_replies_; }

  private:
    struct Request {
        std::uint64_t number = 0;
        Ticks sent_at = 0;
    };
    static constexpr Ticks kRequestTimeout = 5000; // then the request is sent again

    std::uint64_t incarnation_, count_ = 0;
    std::map<std::uint64_t, Request> requests_; // by member
    std::set<std::uint64_t> synced_members_;
    DroppedSyncReplies dropped_replies_;
};

} // namespace ivyrill::control
