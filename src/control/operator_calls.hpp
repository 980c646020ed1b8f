// The operator's two calls, at whichever node they come in: carried out where the configuration's group is
// led, here or at the peer that leads it. A call that finds no leader waits for one; one whose leader is lost
// goes to the next, which knows it again where it was taken.
#pragma once
#include "control/configuration_group.hpp"
#include "feed/messages.hpp"
#include "http/calls.hpp"
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
        // False where no link to the member stands.
        std::function<bool(std::uint64_t member, const feed::Message&)> send_to_member;
        std::function<void(const std::string& peer, const feed::Message&)> send;
    };
    // `incarnation`: of this process, drawn when it starts.
    OperatorCalls(transport::Reactor& reactor, ConfigurationGroup& group, std::uint64_t incarnation,
                  Callbacks callbacks);

    transport::Async<Result<std::string>> read();
    transport::Async<Result<void>> replace(std::int64_t if_match, std::string body);

    void handle_forwarded_call(const model::ControlNode& peer, feed::ForwardedCall call);
    void handle_forwarded_answer(const model::ControlNode& peer, feed::ForwardedAnswer answer);
    // Another leader is known, or a peer is gone: what waits for it is sent anew.
    void leader_changed();
    void peer_lost(std::uint64_t member);

    struct DroppedReplies { // answers that were passed over, by cause; none is taken for an answer
        std::uint64_t other_process = 0; // to a question of a process that was here before
        std::uint64_t unasked = 0;       // to no question that waits: late, or a second one
        std::uint64_t other_peer = 0;    // from a peer that was not asked
    };
    const DroppedReplies& dropped_replies() const { return dropped_replies_; }

  private:
    enum class Outcome : std::uint8_t { kAnswered, kSendAnew, kTooLate };
    struct Waiting { // one call that was forwarded
        std::uint64_t member = 0;
        std::shared_ptr<transport::Pending<Outcome>> outcome;
        http::Answer answer;
    };
    transport::Async<http::Answer> at_owner(std::string method, std::string if_match, std::string body);
    transport::Async<http::Answer> decide_here(const std::string& method, const std::string& if_match,
                                               std::string body);
    transport::Async<Outcome> ask(std::uint64_t member, feed::ForwardedCall call, Tenths until,
                                  http::Answer& answer);
    transport::Async<transport::Done> pause();
    transport::Task answer_forwarded(std::string peer, feed::ForwardedCall call);

    transport::Reactor& reactor_;
    ConfigurationGroup& group_;
    std::uint64_t incarnation_, count_ = 0;
    Callbacks callbacks_;
    std::map<std::uint64_t, Waiting> waiting_; // by number
    DroppedReplies dropped_replies_;
};

// The version in an `If-Match` field.
Result<std::int64_t> read_if_match(std::string text);

} // namespace ivyrill::control
