// One client request, from the choice of servers to the end of its answer. It gets exactly one final answer:
// a request that may have run is sent again only if its route allows that, and a stream is resumed at another
// server only after its last complete event.
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

enum class ExchangeResult : std::uint8_t {
    kAnswered, // the connection can serve the next request
    kAbort     // the connection must be aborted: the answer is incomplete, or the client has gone
};

class Exchange {
  public:
    // `client`, `wake` (woken by the client's stream) and `account`, to which all that is buffered for the
    // request is charged, must outlive it. `close`: the answer announces that the connection closes.
    Exchange(Context& context, transport::Stream& client, transport::Slot& wake,
             limits::BufferBudget::Account& account, ClientRequest request, bool close);
    ~Exchange();
    transport::Async<ExchangeResult> run();

  private:
    enum class CallResult : std::uint8_t {
        kAnswer,      // `answer_` has its head, `connection_` the rest
        kNotRun,      // the server states that it has not run
        kMisdirected, // another server has the address now
        kNotSent,     // nothing was sent
        kLost,        // it may have run
        kSilent,      // no answer within the silence limit; it may have run
        kDeadlineExceeded,
        kClientGone,
        kKeyRevoked // nothing was sent: the current configuration no longer has the client's key
    };
    enum class PrefillResult : std::uint8_t {
        kDone,    // `handle_` names the prompt's KV data
        kNotSent, // it reached no prefill server: another one may be tried
        kFailed,  // a second prefill would count as a further send; one at the decode server does not
        kRan      // the server has run the request instead
    };
    enum class RelayResult : std::uint8_t { kComplete, kIncomplete, kDeadlineExceeded, kClientGone };

    transport::Async<ExchangeResult> serve();
    // `pair` must outlive the call. (GCC 12 destroys a braced temporary in a co_await expression twice.)
    transport::Async<ExchangeResult> serve_with(const replica_selection::Pair& pair, bool& again);
    transport::Async<PrefillResult> prefill(const replica_selection::Pair& pair);
    bool ran_instead_of_prefill() const;
    // `may_abandon`: the call may be abandoned for another server once this one is silent for too long.
    transport::Async<CallResult> call(const std::string& instance, replica_selection::Work work,
                                      Forwarding forwarding, std::optional<double> tokens_to_prefill,
                                      bool may_abandon);
    transport::Async<bool> connect(const std::string& instance, const model::Instance& record);
    transport::Async<CallResult> await_head(bool may_abandon);
    void record_statement(CallResult end); // for counters and log
    Ticks silence_deadline() const;        // when the current attempt counts as silent
    CallResult classify_head();
    transport::Async<bool> await_whole_answer(Ticks until);
    transport::Async<RelayResult> relay();
    transport::Async<RelayResult> relay_events();
    transport::Async<RelayResult> relay_body();
    // Waits until the client has read enough for more to be read from the server; false if it has gone or the
    // deadline has passed.
    transport::Async<bool> await_client();
    RelayResult client_gone_or_late() const;
    std::size_t max_unwritten() const; // bytes that wait for the client while more is read from the server
    bool send_head(std::optional<std::size_t> length); // once; later calls do nothing
    bool pass_on_held(bool is_last);
    void update_account();
    transport::Async<transport::Done> wait(Ticks until);

    bool may_outlast_shutdown() const;
    // Looks up the client's key in the current configuration, unless already done for that configuration.
    void identify_caller();
    ExchangeResult refuse_caller();
    void count_started(); // called at its first token, or at the head of an answer that is not streamed
    void set_answering(bool answering); // for this node's load reports
    replica_selection::RetryBudget& budget() { return context_.budgets.of(profile_.service); }
    bool try_further_send();
    bool may_abandon_attempt();
    void finish_call(bool reusable);
    void release_handle();
    ExchangeResult reject(Ticks retry_after, std::string_view reason);
    void log_refusal_after_send(std::string_view reason);
    ExchangeResult fail(int status, std::string_view reason);
    ExchangeResult give_up();
    ExchangeResult send_own_answer(int status, std::string fields, std::string_view reason);
    bool client_gone() const { return client_.hung_up() || account_.is_shed(); }
    Ticks now() const { return context_.reactor.now(); }

    Context& context_;
    transport::Stream& client_;
    transport::Slot& wake_;
    limits::BufferBudget::Account& account_;
    ClientRequest request_;
    bool close_;

    std::shared_ptr<const model::RoutingTable> routes_; // as at the start of the request
    const model::Route* route_ = nullptr;
    const model::Service* service_ = nullptr;
    std::shared_ptr<const model::RoutingTable> identified_by_; // by which `caller_` was looked up
    Caller caller_;
    std::string sent_tenant_; // to the server of the last call; empty: none
    replica_selection::Request profile_;
    Ticks deadline_ = 0;

    std::set<std::string> tried_, sent_to_; // instances
    int sends_ = 0, unreachable_count_ = 0;
    bool further_send_counted_ = false; // the next send was counted when the last attempt was abandoned
    bool may_split_ = true, may_have_run_ = false, head_sent_ = false, answering_ = false;
    bool counted_ = false;                // in the usage, once for all sends
    std::string prefill_server_, handle_; // which holds KV data for this request
    std::string last_event_id_;
    // For the log: the last statement of a server that the request has not run.
    struct NotRunStatement {
        std::string instance;
        int status = 0;
        std::uint64_t connection_uses = 0; // requests on its connection before this one
    };
    std::optional<NotRunStatement> not_run_statement_;

    std::unique_ptr<http::ClientConnection> connection_;
    std::set<std::uint64_t> used_connections_; // numbers of those that have carried this request
    std::string instance_;
    replica_selection::AttemptNo attempt_{};
    bool attempt_open_ = false, attempt_decodes_ = false;
    protocol::HttpMessage answer_;
    http::EventStreamSplitter events_;
    std::string held_; // the part of an answer that is not streamed and was not passed on
};

} // namespace ivyrill::proxy
