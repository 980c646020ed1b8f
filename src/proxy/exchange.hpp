// One client's request from its choice of servers to the end of its answer. It is given one final answer:
// nothing that may have run is sent again unless its route allows it, and a stream goes on at another server
// only after its last whole event.
#pragma once
#include "http/event_stream.hpp"
#include "proxy/caller.hpp"
#include "proxy/client_request.hpp"
#include "proxy/context.hpp"
#include "transport/async.hpp"
#include "transport/stream.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace ivyrill::proxy {

enum class ExchangeEnd : std::uint8_t {
    kAnswered, // the connection may carry the next request
    kBreakOff  // it must end as it is: the answer is not complete, or the client has gone
};

class Exchange {
  public:
    // `client` and `wake` (which the client's stream wakes) must outlive it. `close`: the answer says that
    // the connection ends after it.
    Exchange(Context& context, transport::Stream& client, transport::Slot& wake, ClientRequest request,
             bool close);
    ~Exchange();
    transport::Async<ExchangeEnd> run();

  private:
    enum class CallEnd : std::uint8_t {
        kAnswer,      // `answer_` holds its head, `connection_` the rest
        kNotRun,      // the server says that it has not run it
        kMisdirected, // another server has the address: the one that was meant is gone
        kNotSent,     // no byte of it left
        kBroken,      // it may have run
        kSilent,      // no word for as long as this call may wait; it may have run
        kOutOfTime,
        kClientGone,
        kKeyWithdrawn // nothing was sent: the newest configuration no longer has the client's key
    };
    enum class ReadEnd : std::uint8_t {
        kRead,    // `handle_` names the prompt's memory
        kNotSent, // no reader has taken it up: another may be asked
        kFailed   // a second reading would count as a further send; the runner's own does not
    };
    enum class RelayEnd : std::uint8_t { kComplete, kCutOff, kOutOfTime, kClientGone };

    transport::Async<ExchangeEnd> serve();
    // `pair` must outlive the call. (GCC 12 destroys a braced temporary in a co_await expression twice.)
    transport::Async<ExchangeEnd> serve_with(const replica_selection::Pair& pair, bool& again);
    transport::Async<ReadEnd> read_prompt(const replica_selection::Pair& pair);
    // `may_leave`: it may be given up for another server once this one has been silent for longer than it
    // should be.
    transport::Async<CallEnd> call(const std::string& instance, replica_selection::Work work,
                                   Forwarding forwarding, std::optional<double> tokens_to_prefill,
                                   bool may_leave);
    transport::Async<bool> connect(const std::string& instance, const model::Instance& record);
    transport::Async<CallEnd> await_head(bool may_leave);
    Tenths silent_at() const; // when the present attempt counts as silent
    CallEnd judge_head();
    transport::Async<bool> await_whole_answer(Tenths until);
    transport::Async<RelayEnd> relay();
    transport::Async<RelayEnd> relay_events();
    transport::Async<RelayEnd> relay_body();
    transport::Async<bool> await_client_room(std::size_t bytes);
    transport::Async<transport::Done> wait(Tenths until);

    bool may_outlast_this_process() const;
    // Looks the client's key up in the newest configuration, unless that was done for it already.
    void identify_caller();
    ExchangeEnd refuse_caller();
    void count_begun(); // its first token has come, or the head of an answer without a stream
    void note_answering(bool answering); // for what this node tells of its load
    replica_selection::RetryBudget& budget() { return context_.budgets.of(profile_.service); }
    bool spend_further_send();
    bool leave_is_allowed();
    void end_call(bool reusable);
    void release_handle();
    ExchangeEnd reject(Tenths retry_after, std::string_view why);
    ExchangeEnd fail(int status, std::string_view why);
    ExchangeEnd give_up();
    ExchangeEnd answer_own(int status, std::string fields, std::string_view why);
    bool client_gone() const { return client_.hung_up(); }
    Tenths now() const { return context_.reactor.now(); }

    Context& context_;
    transport::Stream& client_;
    transport::Slot& wake_;
    ClientRequest request_;
    bool close_;

    std::shared_ptr<const model::RoutingTable> routes_; // as at its beginning
    const model::Route* route_ = nullptr;
    const model::Service* service_ = nullptr;
    std::shared_ptr<const model::RoutingTable> identified_by_; // where `caller_` was looked up
    Caller caller_;
    std::string told_tenant_; // to the server of the last call; empty: none
    replica_selection::Request profile_;
    Tenths deadline_ = 0;

    std::set<std::string> tried_, sent_to_; // instances
    int sends_ = 0, unreachable_ = 0;
    bool further_paid_ = false; // the next send was paid for when the last one was left
    bool may_hand_over_ = true, may_have_run_ = false, head_sent_ = false, answering_ = false;
    bool counted_ = false;                // as one that began to run, however often it is sent or resumed
    std::string prefill_server_, handle_; // whose memory is held for this request
    std::string last_event_id_;

    std::unique_ptr<http::ClientConnection> connection_;
    std::string instance_;
    replica_selection::AttemptNo attempt_{};
    bool attempt_out_ = false, attempt_runs_ = false;
    protocol::HttpMessage answer_;
    http::EventStreamSplitter events_;
};

} // namespace ivyrill::proxy
