// The operator's calls to read and replace the configuration, which any node accepts: executed by the leader
// of the configuration group, here or at a peer. A call waits while there is no leader. If its leader is
// lost, it is sent to the next one, which recognizes a call that was accepted before.
#pragma once
#include "control/configuration_group.hpp"
#include "feed/messages.hpp"
#include "http/call_router.hpp"
#include "transport/pending.hpp"
#include "transport/reactor.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace ivyrill::control {

class OperatorCalls {
  public:
    struct Callbacks {
        // Returns false if the link to the member is down.
        std::function<bool(std::uint64_t member, const feed::Message&)> send_to_member;
        std::function<void(const std::string& peer, const feed::Message&)> send;
    };
    // `incarnation`: random id of this process.
    OperatorCalls(transport::Reactor& reactor, ConfigurationGroup& group, std::uint64_t incarnation,
                  Callbacks callbacks);

    transport::Async<Result<std::string>> read();
    transport::Async<Result<void>> replace(std::int64_t if_match, std::string body);

    void handle_forwarded_call(const model::ControlNode& peer, feed::ForwardedCall call);
    void handle_forwarded_answer(const model::ControlNode& peer, feed::ForwardedAnswer answer);
    // After a change of leader or the loss of a peer, the calls that wait for it are sent again.
    void leader_changed();
    void peer_lost(std::uint64_t member);

    struct DroppedReplies {              // by cause
        std::uint64_t other_process = 0; // to a call of an earlier process of this node
        std::uint64_t unsolicited = 0;   // no pending call matches: late, or a duplicate
        std::uint64_t other_peer = 0;    // from a peer that the call was not sent to
    };
    const DroppedReplies& dropped_replies() const { return dropped_replies_; }

  private:
    enum class Outcome : std::uint8_t { kAnswered, kResend, kTimedOut };
    struct PendingCall { // a forwarded call
        std::uint64_t member = 0;
        std::shared_ptr<transport::Pending<Outcome>> outcome;
        http::Response answer;
    };
    transport::Async<http::Response> call_leader(std::string method, std::string if_match, std::string body);
    transport::Async<http::Response> execute_locally(const std::string& method, const std::string& if_match,
                                                     std::string body);
    transport::Async<Outcome> forward(std::uint64_t member, feed::ForwardedCall call, Ticks deadline,
                                      http::Response& answer);
    transport::Async<transport::Done> wait_for_leader();
    transport::Task answer_forwarded(std::string peer, feed::ForwardedCall call);

    transport::Reactor& reactor_;
    ConfigurationGroup& group_;
    std::uint64_t incarnation_, last_number_ = 0;
    Callbacks callbacks_;
    std::map<std::uint64_t, PendingCall> pending_calls_; // by call number
    DroppedReplies dropped_replies_;
};

// Parses the version in an `If-Match` field.
Result<std::int64_t> read_if_match(std::string text);

} // namespace ivyrill::control
