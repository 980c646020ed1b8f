// A front node on its sockets: coroutines turn bytes into events, the reducer turns events into effects, and
// these are carried out here. Connections are owned by the tables below and freed only between turns.
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

// Keys of session tickets, drawn by the system; when they change stands in access/ticket_keys.hpp.
class Tickets : public transport::TicketStore {
  public:
    Tickets(const transport::Loop& loop, Tenths span) : loop_(loop), keys_(span) {}
    const transport::TicketSecret* sealing() override;
    const transport::TicketSecret* opening(const unsigned char* name, bool& renew) override;

  private:
    const transport::TicketSecret* told(const access::TicketKeys::Key* key);
    const transport::Loop& loop_;
    access::TicketKeys keys_;
    transport::TicketSecret told_{};
};

// From here on these wait to be read: one that comes during the start ends nothing.
const sigset_t& block_signals();

class Node {
  public:
    using ReloadConfiguration =
        std::function<protocol::StartOrders()>; // throws where nothing can be made of it
    // `operator_file` may be empty: then there is no access, no further listener and no audit log.
    explicit Node(protocol::StartOrders orders, ReloadConfiguration read_again = {},
                  const std::string& operator_file = {}); // throws what cannot be kept
    // Of the platform's listener, or of a further one, counted from 1 as the operator's file lists them.
    int port(std::size_t listener = 0) const {
        return transport::port_of(listeners_.at(listener)->socket.descriptor());
    }
    int members_port() const { return rota_ ? rota_->port() : 0; }
    int run(); // until it is told to stop; the exit status

  private:
    struct Client {
        Client(routing::ClientId id, transport::Loop& loop, int descriptor,
               std::unique_ptr<transport::TlsSession> tls, std::unique_ptr<sessions::Session> session);
        routing::ClientId id;
        transport::Channel stream;
        std::uint64_t moved = 0;                    // bytes both ways, when last looked at
        std::unique_ptr<sessions::Session> session; // null until a handshake has agreed on one
        bool shut = false;                          // nothing more is heard or said
        transport::Task task;
    };
    struct Connection {
        Connection(routing::ConnectionId id, transport::Loop& loop, int descriptor, std::size_t most_out);
        routing::ConnectionId id;
        protocol::FrameParser parser;
        transport::Stream stream;
        bool told_up = false, over = false; // over: nothing is read any more
        std::uint64_t told = 0;             // bytes written, as the reducer knows
        transport::Task task;
    };
    struct Listener {
        Listener(transport::Loop& loop, const std::string& address)
            : socket(loop, transport::listen_at(address)), on(loop) {}
        transport::Source socket;
        transport::Slot on;                               // clients are let in again
        std::shared_ptr<const transport::TlsContext> tls; // null: plain
        bool guarded = true;
        std::string protocol = "http/1.1"; // of a plain one
        transport::Task task;
    };
    struct Discovery {
        explicit Discovery(transport::Loop& loop) : asked(loop) {}
        std::optional<routing::QueryDiscovery> ask; // the call that is out
        transport::Slot asked;
        std::unique_ptr<transport::Stream> stream;
    };

    transport::Task accept_clients(Listener& listener);
    transport::Task await_changes();
    transport::Task await_members();
    void tell_strain();
    void read_operator_file();
    transport::Task await_signals();
    transport::Task serve_client(Client& client);
    transport::Task serve_connection(Connection& connection);
    transport::Task serve_discovery();
    std::unique_ptr<sessions::Session> make_session(const std::string& protocol) const;
    void tell_news(Client& client);
    void write_out(Client& client);
    void write_all_out();
    Client* find_client(routing::ClientId id);
    void handle_frame(Connection& connection, const protocol::Frame& frame);
    void tell_connection(Connection& connection);
    void end_connection(Connection& connection);
    void accept_all(Listener& listener);
    void accept_all();

    void turn();
    void carry_out(const routing::OpenConnection& effect);
    void carry_out(const routing::WriteConnection& effect);
    void carry_out(const routing::CloseConnection& effect);
    void carry_out(const routing::AnswerClient& effect);
    void carry_out(const routing::RejectClient& effect);
    void carry_out(const routing::ContinueHandshake& effect);
    void carry_out(const routing::Audit& effect);
    void carry_out(const routing::DrainClient& effect);
    void carry_out(const routing::CloseClient& effect);
    void carry_out(const routing::HalfCloseClient& effect);
    void carry_out(const routing::AcceptClients& effect);
    void carry_out(const routing::QueryDiscovery& effect);
    void carry_out(const routing::CancelDiscoveryCall& effect);
    void carry_out(const routing::ArmTimer& effect);
    void read_orders_again();
    void keep_phase();
    void enter(Phase phase);
    void tell_counts();
    void drop_stuck();
    void post(routing::Event event) { inbox_.push_back(std::move(event)); }

    protocol::StartOrders orders_;
    ReloadConfiguration read_again_;
    transport::Loop loop_;
    Lifecycle lifecycle_;
    sessions::Around around_;
    limits::ConnectionLimits connection_terms_;
    std::deque<routing::Event> inbox_;
    std::unique_ptr<routing::Router> router_;
    std::optional<transport::Source> signals_, changes_; // the latter: of the operator's files
    std::string operator_file_;
    std::optional<Tickets> tickets_;
    std::optional<LoadedSettings> operator_settings_;
    std::optional<AuditLog> audit_;
    std::unique_ptr<CoordinationThread> rota_; // where front nodes may talk to each other
    std::optional<transport::Source> members_;
    std::uint64_t strain_searches_ = 0, strain_pushed_ = 0;
    Tenths strain_at_ = 0;
    std::vector<std::unique_ptr<Listener>> listeners_; // the platform's first
    bool accepting_ = true, accept_short_ = false;     // the latter: there was no descriptor for a client
    bool accept_more_ = false;                         // some wait, and there may be room for them at once
    std::uint64_t next_client_ = 1;
    Tenths timer_ = 0, counts_at_ = 0, stuck_at_ = 0;
    Tenths stuck_after_ = kTenthsPerSecond; // the longest that any client waits
    std::map<routing::ClientId, std::unique_ptr<Client>> clients_;
    std::set<routing::ClientId> spoken_; // whose session has something to say since the round began
    std::map<routing::ConnectionId, std::unique_ptr<Connection>> connections_;
    std::set<routing::ConnectionId> writing_; // whose bytes the system has not all taken
    std::optional<Discovery> discovery_;
    transport::Task signal_task_, change_task_, member_task_, discovery_task_;
};

} // namespace ivyrill::program
