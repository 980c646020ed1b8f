// The program `proxy`: accepts client requests on an edge machine, chooses servers by replica selection, and
// follows its agent's feed. Ready once it has a configuration and is not shutting down.
#pragma once
#include "feed/socket_link.hpp"
#include "feed/subscriber.hpp"
#include "http/call_server.hpp"
#include "limits/process_limits.hpp"
#include "proxy/client_session.hpp"
#include "proxy/context.hpp"
#include "settings/settings.hpp"
#include "transport/listener.hpp"

#include <list>
#include <memory>

namespace ivyrill::proxy {

struct ReadyCall {};
struct ReadyReply {};

class Proxy {
  public:
    Proxy(transport::Reactor& reactor, const settings::Settings& settings); // throws if it can't listen
    ~Proxy();
    void begin_shutdown(); // SIGTERM: no longer ready; answers the requests it has read, then stops

  private:
    void open_feed();
    void open_ready();
    void open_front();
    void accept_client(int descriptor);
    bool make_room_for_client();
    void applied(const feed::Tables::Applied& applied);
    bool ready() const { return context_.routes != nullptr && !context_.shutting_down; }
    void stop_when_idle();
    Ticks grace() const; // from SIGTERM to SIGKILL by the platform
    void log_counters();
    void send_demand(); // to the agent, which forwards it to all control nodes
    void send_usage();  // likewise
    void end();         // sends the last usage counts, then stops the reactor

    transport::Reactor& reactor_;
    settings::Settings settings_;
    limits::ProxyLimits limits_;
    Context context_;
    feed::SocketNetwork network_{reactor_};
    std::unique_ptr<feed::Subscriber> subscriber_;
    http::CallRouter router_;
    std::unique_ptr<http::CallServer> ready_server_;
    std::list<ClientSession> sessions_;
    std::unique_ptr<transport::Listener> front_;
    Ticks shutdown_since_ = 0;
    std::uint64_t logged_requests_ = 0;
    transport::Reactor::TimerId timer_{}, log_timer_{}, demand_timer_{}, usage_timer_{};
};

} // namespace ivyrill::proxy
