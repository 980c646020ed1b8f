// A front node on its sockets: coroutines turn received bytes into events, the router turns events into
// effects, and the effects are executed here. Connections are owned by the tables below and destroyed only
// between turns.
#pragma once
#include "access/ticket_keys.hpp"
#include "limits/connection_budget.hpp"
#include "program/audit.hpp"
#include "program/coordination_thread.hpp"
#include "program/lifecycle.hpp"
#include "program/operator_files.hpp"
#include "protocol/frames.hpp"
#include "protocol/http.hpp"
#include "protocol/messages.hpp"
#include "protocol/values.hpp"
#include "routing/router.hpp"
#include "sessions/session.hpp"
#include "transport/channel.hpp"
#include "transport/stream.hpp"

#include <csignal>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ivyrill::program {

// Random keys for TLS session tickets; access/ticket_keys.hpp describes their rotation.
class TicketKeyStore : public transport::TicketStore {
  public:
    TicketKeyStore(const transport::Loop& loop, Ticks lifetime) : loop_(loop), keys_(lifetime) {}
    const transport::TicketSecret* encryption_key() override;
    const transport::TicketSecret* decryption_key(const unsigned char* name, bool& renew) override;

  private:
    const transport::TicketSecret* secret_of(const access::TicketKeys::Key* key);
    const transport::Loop& loop_;
    access::TicketKeys keys_;
    transport::TicketSecret secret_{};
};

// Blocks SIGTERM, SIGINT and SIGHUP, which are read from a signalfd, so that one during the start does not
// end the process.
const sigset_t& block_signals();

class Node {
  public:
    using ReloadConfiguration =
        std::function<protocol::StartConfig()>; // throws where the configuration is not valid
    // Without an `operator_file` there is no access control, no further listener and no audit log. Throws
    // where a socket or file cannot be opened or the settings are not valid.
    explicit Node(protocol::StartConfig configuration, ReloadConfiguration reload = {},
                  const std::string& operator_file = {});
    // Port of the platform's listener (0) or of the operator's file's n-th listener (from 1).
    int port(std::size_t listener = 0) const {
        return transport::port_of(listeners_.at(listener)->socket.descriptor());
    }
    int members_port() const { return coordination_ ? coordination_->port() : 0; }
    int run(); // until a signal stops it; returns the exit status

  private:
    struct Client {
        Client(routing::ClientId id, transport::Loop& loop, int descriptor,
               std::unique_ptr<transport::TlsSession> tls, std::unique_ptr<sessions::Session> session);
        routing::ClientId id;
        transport::Channel stream;
        std::uint64_t bytes_transferred = 0;        // in both directions, at the last stall check
        std::unique_ptr<sessions::Session> session; // null until the handshake has selected one
        bool closing = false;                       // nothing more is read or written
        transport::Task task;
    };
    struct Connection {
        Connection(routing::ConnectionId id, transport::Loop& loop, int descriptor,
                   std::size_t output_buffer);
        routing::ConnectionId id;
        protocol::FrameParser parser;
        transport::Stream stream;
        bool established_reported = false, closing = false; // closing: nothing more is read
        std::uint64_t reported_bytes = 0;                   // written bytes reported to the router
        transport::Task task;
    };
    struct Listener {
        Listener(transport::Loop& loop, const std::string& address)
            : socket(loop, transport::listen_at(address)), accepting(loop) {}
        transport::Source socket;
        transport::Slot accepting;                        // clients are accepted again
        std::shared_ptr<const transport::TlsContext> tls; // null: plain
        bool guarded = true;
        std::string protocol = "http/1.1"; // of a plain listener
        transport::Task task;
    };
    struct Discovery {
        explicit Discovery(transport::Loop& loop) : query_set(loop) {}
        std::optional<routing::QueryDiscovery> query; // the call in progress
        transport::Slot query_set;
        std::unique_ptr<transport::Stream> stream;
    };

    transport::Task accept_clients(Listener& listener);
    transport::Task watch_operator_files();
    transport::Task watch_members();
    void report_rejected_share();
    void reload_operator_file();
    transport::Task handle_signals();
    transport::Task serve_client(Client& client);
    transport::Task serve_connection(Connection& connection);
    transport::Task serve_discovery();
    std::unique_ptr<sessions::Session> make_session(const std::string& protocol) const;
    void post_session_events(Client& client);
    void flush(Client& client);
    void flush_all();
    Client* find_client(routing::ClientId id);
    void handle_frame(Connection& connection, const protocol::Frame& frame);
    void report_connection(Connection& connection);
    void abandon_connection(Connection& connection);
    void accept_all(Listener& listener);
    void accept_all();

    void turn();
    void execute(const routing::OpenConnection& effect);
    void execute(const routing::WriteConnection& effect);
    void execute(const routing::CloseConnection& effect);
    void execute(const routing::AnswerClient& effect);
    void execute(const routing::RejectClient& effect);
    void execute(const routing::ContinueHandshake& effect);
    void execute(const routing::Audit& effect);
    void execute(const routing::DrainClient& effect);
    void execute(const routing::CloseClient& effect);
    void execute(const routing::HalfCloseClient& effect);
    void execute(const routing::AcceptClients& effect);
    void execute(const routing::QueryDiscovery& effect);
    void execute(const routing::CancelDiscoveryCall& effect);
    void execute(const routing::ArmTimer& effect);
    void reload_configuration();
    void advance_phase();
    void enter(Phase phase);
    void log_counts();
    void drop_stalled_clients();
    void post(routing::Event event) { inbox_.push_back(std::move(event)); }

    protocol::StartConfig configuration_;
    ReloadConfiguration reload_;
    transport::Loop loop_;
    Lifecycle lifecycle_;
    sessions::NodeStatus session_context_;
    limits::ConnectionLimits connection_limits_;
    std::deque<routing::Event> inbox_;
    std::unique_ptr<routing::Router> router_;
    std::optional<transport::Source> signals_, file_watch_; // signalfd; inotify of the operator's files
    std::string operator_file_;
    std::optional<TicketKeyStore> tickets_;
    std::optional<LoadedSettings> operator_settings_;
    std::optional<AuditLog> audit_;
    std::unique_ptr<CoordinationThread> coordination_; // null without membership
    std::optional<transport::Source> member_count_source_;
    std::uint64_t reported_searches_ = 0, reported_rejections_ = 0;
    Ticks next_share_report_at_ = 0;
    std::vector<std::unique_ptr<Listener>> listeners_; // the platform's listener first
    bool accepting_ = true, accept_failed_ = false;    // the latter: no descriptor was left for a client
    bool accept_pending_ = false;                      // clients are waiting for the router to make room
    std::uint64_t next_client_ = 1;
    Ticks timer_at_ = 0, next_counts_at_ = 0, next_stall_check_at_ = 0;
    Ticks stall_timeout_ = kTicksPerSecond; // the longest deadline of any request class
    std::map<routing::ClientId, std::unique_ptr<Client>> clients_;
    std::set<routing::ClientId> clients_with_output_; // in this turn
    std::map<routing::ConnectionId, std::unique_ptr<Connection>> connections_;
    std::set<routing::ConnectionId> connections_with_output_; // with bytes that are not written yet
    std::optional<Discovery> discovery_;
    transport::Task signal_task_, file_watch_task_, member_task_, discovery_task_;
};

} // namespace ivyrill::program
