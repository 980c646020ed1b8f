// The reducer: all state of a front node changes here, by events, and what is to be read or written comes out
// as effects. It holds the decision module and keeps the promises that the module is given: exactly one
// return an attempt, outcomes by how far the bytes went, lists in order. It makes no choice of its own among
// servers, searches or times; where it must bound something, the bound is one of the settings.
#pragma once
#include "access/clock.hpp"
#include "access/gate.hpp"
#include "access/handshakes.hpp"
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
    // `descriptors`: so many connections may be held, clients and index servers together.
    Router(protocol::NodeTerms terms, const protocol::ServerList& known, std::string discovery,
           std::size_t descriptors, Tenths now);

    // Searches ask for a credential from here on, on the listeners that say so. Without it nobody is asked.
    void enable_access_control(std::shared_ptr<const access::Policy> policy, bool key_is_query, Tenths now,
                               Tenths wall);
    void limit_handshakes(access::HandshakeTerms terms, Tenths now);

    void handle(Tenths now, Event event); // one thing that happened
    std::vector<Effect> turn(Tenths now); // what is due by now, one decision, and the effects of it all

    std::size_t open_searches() const { return searches_.size(); }
    std::size_t open_clients() const { return clients_.size(); }
    // More are not taken on before a turn has made room for them.
    std::size_t room_for_clients() const { return most_clients() + most_shut() + 1; }
    std::size_t open_connections() const { return connections_.size(); }
    std::size_t open_attempts() const { return attempts_.size(); }
    std::size_t alarms() const { return alarms_.size(); }
    const Counts& counts() const { return counts_; }
    const access::Gate* gate() const { return gate_ ? &*gate_ : nullptr; }
    std::size_t open_handshakes() const { return handshakes_ ? handshakes_->open() : 0; }

  private:
    using AttemptKey = std::pair<PartId, AttemptNo>;

    struct Client {
        std::map<StreamNo, SearchId> searches; // that are open
        Tenths idle_since = 0;
        Tenths word_by = 0;      // until when its request is waited for, or its leaving
        bool asked = false;      // for a search, once at least
        bool midway = false;     // a request has begun and is not whole
        bool leaving = false;    // its last answer is out
        bool guarded = true;     // asks for a credential
        bool distrusted = false; // its certificate counts no more: closed after its answer
        bool last = false;       // it asked just as it was to be shut: closed after its answer
        std::shared_ptr<const access::Chain> chain;
    };
    struct Part {
        SearchId search;
        ShardNo shard;
        std::string wire_id;
        std::uint32_t attempts = 0;
        std::optional<std::string> value; // once it is in
    };
    struct Search {
        ClientId client;
        StreamNo stream = 0;
        std::string wire_id;
        std::string query;
        std::vector<PartId> parts;
        std::optional<access::Proof> proof;                // what let it in
        access::Reason barred = access::Reason::kAdmitted; // why nothing more is attempted for it
    };
    enum class Way { kWaiting, kHanded, kSent }; // not yet, partly and wholly with the system
    struct Attempt {
        ServerId server;
        ConnectionId connection;
        std::string wire_id, query;
        int shard = 0;
        Tenths made_at = 0, until = 0, send_by = 0; // not sent by then, it is not sent at all
        Way way = Way::kWaiting;
        bool given_up = false; // recalled: its return is on the way
    };
    using Call = std::vector<AttemptKey>; // what travels in one frame; empty: a probe
    struct ProbeOut {
        std::uint64_t serial = 0;
        Tenths made_at = 0;
        bool over = false; // timed out; its answer may still come
    };
    struct Handed { // a frame in the ring, not yet with the system
        std::uint64_t end = 0;
        Call call;
    };
    struct Connection {
        ServerId server;
        bool up = false, retired = false; // retired: nothing new goes there
        std::uint64_t handed = 0;         // bytes, so far
        std::deque<Call> waiting;
        std::deque<Handed> in_ring;
        std::map<std::string, AttemptKey> out;  // sent, by wire id
        std::map<std::string, Tenths> given_up; // an answer may still come until then
        std::deque<ProbeOut> probes;            // in the order in which they are answered
        int parts = 0;                          // waiting, in the ring or out, given up ones apart
        std::string last;                       // the part answered last
        Tenths midway = 0;                      // since when a frame has begun and is not whole
        Tenths used = 0, heard = 0;             // the latter: something came
        bool unanswered = false;                // an attempt was given up on it without a word from it
        bool doubted = false;                   // ... and another: other connections go first
        bool idle_armed = false;
    };
    struct Server {
        std::string address;
        ListedState listed = ListedState::kLive;
        CellNo cell;
        std::set<ConnectionId> connections;
    };

    // What falls due; each looks whether it still applies.
    struct AttemptDue {
        AttemptKey attempt;
    };
    struct AttemptReturn {
        AttemptKey attempt;
        Outcome outcome;
    };
    struct WordDue { // a client's request, whole
        ClientId client;
    };
    struct SearchDue {
        SearchId search;
    };
    struct ConnectDue {
        ConnectionId connection;
    };
    struct MidwayDue {
        ConnectionId connection;
    };
    struct RingDue { // a frame in the ring has not gone
        ConnectionId connection;
    };
    struct IdleDue {
        ConnectionId connection;
    };
    struct ProbeDue {
        ConnectionId connection;
        std::uint64_t serial;
    };
    struct ProbeReturn {
        ServerId server;
    };
    struct AskDue {
        DiscoveryCallId ask;
        bool sent = true; // false: due unless its connection is up by now
    };
    struct ShakeDue {};
    struct AccessDue {}; // a key is gone, a list has run out
    struct Wake {};
    using Alarm = std::variant<ShakeDue, AccessDue, AttemptDue, AttemptReturn, WordDue, SearchDue, ConnectDue,
                               MidwayDue, RingDue, IdleDue, ProbeDue, ProbeReturn, AskDue, Wake>;

    // SchedulerHost: the module's actions
    void attempt(PartId part, ServerId server, Tenths time_out, Tenths send_within) override;
    void cancel_attempt(PartId part, AttemptNo attempt) override;
    void answer(SearchId search, bool whole) override;
    void reject(SearchId search, Tenths retry_after) override;
    void fail(SearchId search) override;
    void probe(ServerId server) override;
    void close_idle_connections(ServerId server) override;
    void schedule_wakeup(Tenths in) override;
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

    void due(const ShakeDue& what);
    void due(const AccessDue& what);
    void due(const AttemptDue& what);
    void due(const AttemptReturn& what);
    void due(const WordDue& what);
    void due(const SearchDue& what);
    void due(const ConnectDue& what);
    void due(const MidwayDue& what);
    void due(const RingDue& what);
    void due(const IdleDue& what);
    void due(const ProbeDue& what);
    void due(const ProbeReturn& what);
    void due(const AskDue& what);
    void due(const Wake& what);

    void tell(const ivyrill::Event& news) { scheduler_->handle(now_, news), decision_due_ = true; }
    void at(Tenths when, Alarm alarm) { alarms_.emplace(when, std::move(alarm)); }
    bool finish(SearchId id, protocol::FinalAnswer answer); // false where it has ended already
    void lapse(SearchId id);
    std::optional<access::Decision> admit(const Client& client, const SearchReceived& event);
    void judge_all_again();
    void bar(SearchId id, access::Reason why);
    void refuse(ClientId client, StreamNo stream, access::Reason why);
    bool over_share(ClientId id, const Client& client) const;
    void let_shake();
    void await_access_change();
    Tenths access_now() const { return clock_.at(now_); }
    void let_in();
    void return_attempt(const AttemptKey& key, Outcome outcome, const LoadReport& report = {},
                        Tenths age = 0);
    void return_later(const AttemptKey& key, Outcome outcome);
    void send_calls();
    void put_on_connection(ServerId server, Call call);
    std::optional<ConnectionId> connection_for(ServerId server, const Call& call);
    std::optional<ConnectionId> open_connection(ServerId server);
    void hand_over(ConnectionId id);
    void await_ring(ConnectionId id, const Connection& connection);
    static bool idle(const Connection& connection);
    bool sound_connection(const Server& server, bool up) const; // has it one, perhaps not up yet
    void doubt(ConnectionId id, const Attempt& attempt);
    void hear_from(Connection& connection);
    int carried(const Connection& connection) const;
    int most_carried() const { return std::max(1, terms_.calls_a_connection - 1); }
    Tenths idle_limit() const;
    void close_connection(ConnectionId id, bool spoilt = false);
    void rest(ConnectionId id);
    void retire_connections(Server& server);
    void pull_waiting(Server& server);
    void take_list(const protocol::ServerList& list, ListKind kind);
    ServerId server_of(const std::string& name);
    void watch_on();
    void await_word(ClientId id, Client& client);
    void make_room(std::optional<ClientId> newest);
    void close_client(ClientId id);
    void shut_client(ClientId id);
    bool closes(const Client& client) const { return draining_ || client.distrusted || client.last; }
    void take_back(PartId part);
    void give_up(const AttemptKey& key, Attempt& attempt);
    void return_recalled(const AttemptKey& key);
    void forget_waiting(Connection& connection, const AttemptKey& key);
    std::size_t most_connections() const { return descriptors_ / 2; }
    // Clients that have been shut may hold a few descriptors beside the others until they close.
    std::size_t most_shut() const { return descriptors_ / 16; }
    std::size_t most_clients() const { return descriptors_ - most_connections() - most_shut(); }
    std::int32_t number_of(std::vector<std::string>& names, const std::string& name);

    protocol::NodeTerms terms_;
    std::unique_ptr<SearchScheduler> scheduler_;
    std::size_t descriptors_;
    Tenths now_ = 0, armed_ = 0;
    std::uint32_t next_id_ = 1; // of searches and parts
    std::uint64_t next_connection_ = 1, next_ask_ = 1, next_probe_ = 1;
    std::map<ClientId, Client> clients_;
    std::map<SearchId, Search> searches_;
    std::map<PartId, Part> parts_;
    std::map<AttemptKey, Attempt> attempts_;
    std::set<std::string> open_ids_; // of searches, as clients gave them
    std::map<ConnectionId, Connection> connections_;
    std::map<ServerId, Server> servers_;
    std::map<std::string, ServerId> server_ids_;
    std::map<ServerId, std::vector<AttemptKey>> fresh_; // attempts of this turn
    std::multimap<Tenths, Alarm> alarms_;
    std::string discovery_; // its address
    std::optional<DiscoveryCallId> ask_;
    bool ask_sent_ = false;
    std::int64_t version_ = 0;
    bool whole_wanted_ = false, draining_ = false, quiet_ = false, accepting_ = true;
    bool decision_due_ = true;
    std::optional<access::Gate> gate_;
    access::TrustedClock clock_{0, 0};
    bool key_is_query_ = false;
    std::optional<access::Handshakes<ClientId>> handshakes_;
    Tenths shake_at_ = 0, access_at_ = 0; // what is armed, 0: nothing
    Counts counts_;
    std::vector<Effect> effects_;
};

} // namespace ivyrill::routing
