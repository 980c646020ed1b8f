// State machine of a front node: all its state changes here, by events, and its I/O is returned as effects.
// It owns the search scheduler and gives it these guarantees: exactly one end per attempt, outcomes by how
// much was written, server lists in order. It makes no choice among servers, searches or times itself; its
// limits come from the settings.
#pragma once
#include "access/authorizer.hpp"
#include "access/handshake_limiter.hpp"
#include "access/trusted_clock.hpp"
#include "routing/events.hpp"
#include "search_scheduler.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ivyrill::routing {

struct Counts { // since the start
    std::uint64_t not_admitted = 0, revoked = 0, certificates_revoked = 0;
    std::uint64_t searches = 0, delivered = 0, rejected = 0, failed = 0, abandoned = 0, over_limit = 0,
                  attempts = 0, cancellations = 0, late_answers = 0, connections_opened = 0,
                  connections_suspected = 0, connections_renewed = 0, malformed = 0, probes = 0, lists = 0,
                  lists_lost = 0;
};

class Router : private SchedulerHost {
  public:
    // `descriptors`: limit on connections to clients and index servers together.
    Router(protocol::FrontNodeConfig config, const protocol::ServerList& known, std::string discovery,
           std::size_t descriptors, Ticks now);

    // From here on searches need a credential, on the listeners that require one.
    void enable_access_control(std::shared_ptr<const access::Policy> policy, bool key_is_query, Ticks now,
                               Ticks wall);
    void limit_handshakes(access::HandshakeLimits limits, Ticks now);

    void handle(Ticks now, Event event); // one event
    std::vector<Effect> turn(Ticks now); // expired timers, one decision, and all resulting effects

    std::size_t open_searches() const { return searches_.size(); }
    std::size_t open_clients() const { return clients_.size(); }
    // Further clients are accepted only after a turn has evicted others.
    std::size_t room_for_clients() const { return max_clients() + max_half_closed() + 1; }
    std::size_t open_connections() const { return connections_.size(); }
    std::size_t open_attempts() const { return attempts_.size(); }
    std::size_t timers() const { return timers_.size(); }
    const Counts& counts() const { return counts_; }
    const access::Authorizer* authorizer() const { return authorizer_ ? &*authorizer_ : nullptr; }
    std::size_t open_handshakes() const { return handshakes_ ? handshakes_->open() : 0; }

  private:
    using AttemptKey = std::pair<PartId, AttemptNo>;

    struct Client {
        std::map<StreamId, SearchId> searches; // open ones
        Ticks idle_since = 0;
        Ticks deadline = 0;           // for its complete request, or for its close
        bool has_searched = false;    // at least once
        bool request_started = false; // and not complete
        bool closing = false;         // its last answer has been given
        bool requires_credential = true;
        bool certificate_revoked = false; // closed after its answer
        bool close_after_answer = false;  // its request crossed the half-close
        std::shared_ptr<const access::Chain> chain;
    };
    struct Part {
        SearchId search;
        ShardNo shard;
        std::string wire_id;
        std::uint32_t attempts = 0;
        std::optional<std::string> value; // once it is answered
    };
    struct Search {
        ClientId client;
        StreamId stream = 0;
        std::string wire_id;
        std::string query;
        std::vector<PartId> parts;
        std::optional<access::Proof> proof;                 // by which it was admitted
        access::Reason revoked = access::Reason::kAdmitted; // why no further attempt is made
    };
    enum class SendState { kWaiting, kWriting, kSent }; // not yet, partly and completely with the system
    struct Attempt {
        ServerId server;
        ConnectionId connection;
        std::string wire_id, query;
        int shard = 0;
        Ticks created_at = 0, expires_at = 0, send_by = 0; // if not sent by then, it is never sent
        SendState send_state = SendState::kWaiting;
        bool withdrawn = false; // cancelled: its end will be reported
    };
    using Call = std::vector<AttemptKey>; // the attempts of one frame; empty: a probe
    struct PendingProbe {
        std::uint64_t serial = 0;
        Ticks created_at = 0;
        bool timed_out = false; // its answer may still come
    };
    struct QueuedFrame { // in the write queue, not yet with the system
        std::uint64_t end = 0;
        Call call;
    };
    struct Connection {
        ServerId server;
        bool up = false, retired = false; // retired: no new calls
        std::uint64_t bytes_queued = 0;   // in total
        std::deque<Call> waiting;
        std::deque<QueuedFrame> write_queue;
        std::map<std::string, AttemptKey> in_flight; // by wire id
        std::map<std::string, Ticks> withdrawn;      // an answer may still come until then
        std::deque<PendingProbe> probes;             // in the order of their answers
        int parts = 0;                               // waiting, queued or in flight, without withdrawn ones
        std::string last_answered;                   // part
        Ticks frame_started_at = 0;                  // of an incomplete frame
        Ticks last_used = 0, last_received = 0;
        bool unanswered = false; // an attempt was withdrawn without anything received since it was created
        bool suspect = false;    // ... and another one: other connections are preferred
        bool idle_armed = false;
    };
    struct Server {
        std::string address;
        ListedState listed = ListedState::kLive;
        CellNo cell;
        std::set<ConnectionId> connections;
    };

    // Timers are never cancelled: each checks whether it still applies.
    struct AttemptTimeout {
        AttemptKey attempt;
    };
    struct DeferredAttemptEnd {
        AttemptKey attempt;
        Outcome outcome;
    };
    struct ClientTimeout { // for a complete request, or for the client's close
        ClientId client;
    };
    struct SearchTimeout {
        SearchId search;
    };
    struct ConnectTimeout {
        ConnectionId connection;
    };
    struct FrameTimeout {
        ConnectionId connection;
    };
    struct SendTimeout { // a frame is still in the write queue
        ConnectionId connection;
    };
    struct IdleTimeout {
        ConnectionId connection;
    };
    struct ProbeTimeout {
        ConnectionId connection;
        std::uint64_t serial;
    };
    struct DeferredProbeEnd {
        ServerId server;
    };
    struct DiscoveryTimeout {
        DiscoveryCallId call;
        bool sent = true; // false: applies only while its connection is not established
    };
    struct HandshakeTimer {};
    struct AccessTimer {}; // a key or a revocation list expires
    struct Wakeup {};
    using Timer = std::variant<HandshakeTimer, AccessTimer, AttemptTimeout, DeferredAttemptEnd, ClientTimeout,
                               SearchTimeout, ConnectTimeout, FrameTimeout, SendTimeout, IdleTimeout,
                               ProbeTimeout, DeferredProbeEnd, DiscoveryTimeout, Wakeup>;

    // SchedulerHost
    void attempt(PartId part, ServerId server, Ticks time_out, Ticks send_within) override;
    void cancel_attempt(PartId part, AttemptNo attempt) override;
    void answer(SearchId search, bool whole) override;
    void reject(SearchId search, Ticks retry_after) override;
    void fail(SearchId search) override;
    void probe(ServerId server) override;
    void close_idle_connections(ServerId server) override;
    void schedule_wakeup(Ticks in) override;
    void subscribe() override;

    void apply(const ClientOpened& event);
    void apply(const HandshakeReady& event);
    void apply(const HandshakeCompleted& event);
    void apply(const PolicyLoaded& event);
    void apply(const WallClockRead& event);
    void apply(const SearchReceived& event);
    void apply(const SearchCancelled& event);
    void apply(const RequestStarted& event);
    void apply(const OtherRequestAnswered& event);
    void apply(const ClientFinalAnswerSent& event);
    void apply(const ClientDisconnected& event);
    void apply(const ConnectionEstablished& event);
    void apply(const ConnectionBytesWritten& event);
    void apply(const ConnectionClosed& event);
    void apply(const FrameStarted& event);
    void apply(const MalformedDataReceived& event);
    void apply(const PartAnswered& event);
    void apply(const LoadReceived& event);
    void apply(const ServerListReceived& event);
    void apply(const ServerListFailed& event);
    void apply(const DiscoveryConnected& event);
    void apply(const DiscoveryAddressChanged& event);
    void apply(const FrontNodesCounted& event);
    void apply(const DrainStarted& event);
    void apply(const TrafficStopped& event);

    void on_timer(const HandshakeTimer& what);
    void on_timer(const AccessTimer& what);
    void on_timer(const AttemptTimeout& what);
    void on_timer(const DeferredAttemptEnd& what);
    void on_timer(const ClientTimeout& what);
    void on_timer(const SearchTimeout& what);
    void on_timer(const ConnectTimeout& what);
    void on_timer(const FrameTimeout& what);
    void on_timer(const SendTimeout& what);
    void on_timer(const IdleTimeout& what);
    void on_timer(const ProbeTimeout& what);
    void on_timer(const DeferredProbeEnd& what);
    void on_timer(const DiscoveryTimeout& what);
    void on_timer(const Wakeup& what);

    void notify(const ivyrill::Event& event) { scheduler_->handle(now_, event), decision_due_ = true; }
    void schedule(Ticks when, Timer timer) { timers_.emplace(when, std::move(timer)); }
    bool finish(SearchId id, protocol::FinalAnswer answer); // false: it has already ended
    void abandon(SearchId id);
    std::optional<access::Decision> admit(const Client& client, const SearchReceived& event);
    void recheck_access();
    void revoke(SearchId id, access::Reason reason);
    void refuse(ClientId client, StreamId stream, access::Reason reason);
    bool over_fair_share(ClientId id, const Client& client) const;
    void run_handshakes();
    void schedule_access_change();
    Ticks access_now() const { return clock_.at(now_); }
    void resume_accepting();
    void end_attempt(const AttemptKey& key, Outcome outcome, const LoadReport& report = {}, Ticks age = 0);
    void end_attempt_later(const AttemptKey& key, Outcome outcome);
    void send_calls();
    void enqueue_call(ServerId server, Call call);
    std::optional<ConnectionId> connection_for(ServerId server, const Call& call);
    std::optional<ConnectionId> open_connection(ServerId server);
    void write_calls(ConnectionId id);
    void arm_send_timeout(ConnectionId id, const Connection& connection);
    static bool idle(const Connection& connection);
    bool has_healthy_connection(const Server& server, bool up) const; // `up`: an established one
    void suspect_connection(ConnectionId id, const Attempt& attempt);
    void record_activity(Connection& connection);
    int occupied_slots(const Connection& connection) const;
    int max_occupied_slots() const { return std::max(1, config_.max_calls_per_connection - 1); }
    Ticks idle_limit() const;
    void close_connection(ConnectionId id, bool malformed = false);
    void check_idle(ConnectionId id);
    void retire_connections(Server& server);
    void withdraw_waiting(Server& server);
    void apply_list(const protocol::ServerList& list, ServerListKind kind);
    ServerId server_id(const std::string& name);
    void query_discovery();
    void start_client_timeout(ClientId id, Client& client);
    void evict_clients(std::optional<ClientId> newest);
    void close_client(ClientId id);
    void half_close_client(ClientId id);
    bool closes(const Client& client) const {
        return draining_ || client.certificate_revoked || client.close_after_answer;
    }
    void withdraw_unsent(PartId part);
    void withdraw(const AttemptKey& key, Attempt& attempt);
    void end_cancelled_attempt(const AttemptKey& key);
    void remove_waiting(Connection& connection, const AttemptKey& key);
    std::size_t max_connections() const { return descriptors_ / 2; }
    // Half-closed clients may hold a few more descriptors until they close.
    std::size_t max_half_closed() const { return descriptors_ / 16; }
    std::size_t max_clients() const { return descriptors_ - max_connections() - max_half_closed(); }
    std::int32_t index_of(std::vector<std::string>& names, const std::string& name);

    protocol::FrontNodeConfig config_;
    std::unique_ptr<SearchScheduler> scheduler_;
    std::size_t descriptors_;
    Ticks now_ = 0, armed_ = 0;
    std::uint32_t next_id_ = 1; // of searches and parts
    std::uint64_t next_connection_ = 1, next_call_ = 1, next_probe_ = 1;
    std::map<ClientId, Client> clients_;
    std::map<SearchId, Search> searches_;
    std::map<PartId, Part> parts_;
    std::map<AttemptKey, Attempt> attempts_;
    std::set<std::string> open_ids_; // of searches, as given by clients
    std::map<ConnectionId, Connection> connections_;
    std::map<ServerId, Server> servers_;
    std::map<std::string, ServerId> server_ids_;
    std::map<ServerId, std::vector<AttemptKey>> new_attempts_; // attempts of this turn
    std::multimap<Ticks, Timer> timers_;
    std::string discovery_; // address
    std::optional<DiscoveryCallId> discovery_call_;
    bool discovery_connected_ = false;
    std::int64_t version_ = 0;
    bool full_list_wanted_ = false, draining_ = false, stopped_ = false, accepting_ = true;
    bool decision_due_ = true;
    std::optional<access::Authorizer> authorizer_;
    access::TrustedClock clock_{0, 0};
    bool key_is_query_ = false;
    std::optional<access::HandshakeLimiter<ClientId>> handshakes_;
    Ticks handshake_timer_ = 0, access_timer_ = 0; // armed for; 0: not armed
    Counts counts_;
    std::vector<Effect> effects_;
};

} // namespace ivyrill::routing
