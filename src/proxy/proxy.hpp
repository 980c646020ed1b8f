// The program `proxy`: takes clients' requests on an edge machine, decides by the replica selection where
// each goes, and follows its agent's feed. It says that it is ready once it knows a configuration and is not
// told to end.
#pragma once
#include "feed/socket_link.hpp"
#include "feed/subscriber.hpp"
#include "http/call_server.hpp"
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
    Proxy(transport::Reactor& reactor, const settings::Settings& settings); // throws where it can't listen
    ~Proxy();
    void begin_end(); // SIGTERM: no longer ready, what was read is answered, then it ends

  private:
    void open_feed();
    void open_ready();
    void open_front();
    void applied(const feed::Tables::Applied& applied);
    bool ready() const { return context_.routes != nullptr && !context_.ending; }
    void end_when_done();
    Tenths grace() const; // from SIGTERM until the platform kills
    void log_counters();
    void tell_demand(); // to the agent, for all control nodes
    void tell_usage();  // likewise
    void end();         // with a last word of what was counted

    transport::Reactor& reactor_;
    settings::Settings settings_;
    Context context_;
    feed::SocketNetwork network_{reactor_};
    std::unique_ptr<feed::Subscriber> subscriber_;
    http::CallRouter router_;
    std::unique_ptr<http::CallServer> ready_server_;
    std::list<ClientSession> sessions_;
    std::unique_ptr<transport::Listener> front_;
    Tenths ending_since_ = 0;
    std::uint64_t logged_requests_ = 0;
    transport::Reactor::TimerId timer_{}, log_timer_{}, demand_timer_{}, usage_timer_{};
};

} // namespace ivyrill::proxy
