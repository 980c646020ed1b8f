// From which members this process has merged all that they know of the servers: a process that starts, or
// that was cut off, asks each peer once, as digests don't tell of what is gone. Pure.
#pragma once
#include "base/planted_fault.hpp"
#include "base/time.hpp"
#include "feed/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace ivyrill::control {

// Answers that were passed over, by cause; they change nothing.
struct DroppedSyncReplies {
    std::uint64_t other_process = 0; // to a question of a process that was here before
    std::uint64_t unasked = 0;       // no question waits for it: it came late, or twice
};

class SyncTracker {
  public:
    explicit SyncTracker(std::uint64_t incarnation) : incarnation_(incarnation) {} // of this process

    feed::CallId next_id() { return {incarnation_, ++count_}; } // for any question of this process
    bool is_own_request(const feed::CallId& id);
    void count_unsolicited() { ++dropped_replies_.unasked; }

    // The question for the member, where one is due; then whether it went out.
    std::optional<feed::WantRanges> request(std::uint64_t member, Tenths now);
    void request_failed(std::uint64_t member) { questions_.erase(member); }
    void reply_received(std::uint64_t member, const feed::CallId& answers);
    void reset(); // this node was cut off: others may have acknowledged what it does not know
    const std::set<std::uint64_t>& synced_members() const { return synced_members_; }
    const DroppedSyncReplies& dropped_replies() const { return dropped_replies_; }

  private:
    struct Question {
        std::uint64_t number = 0;
        Tenths asked_at = 0;
    };
    static constexpr Tenths kPatience = 5000; // for an answer, before the peer is asked again

    std::uint64_t incarnation_, count_ = 0;
    std::map<std::uint64_t, Question> questions_; // by member
    std::set<std::uint64_t> synced_members_;
    DroppedSyncReplies dropped_replies_;
};

} // namespace ivyrill::control
