// One client connection: serves its requests one after another, with limits on their size and time.
#pragma once
#include "proxy/context.hpp"
#include "transport/async.hpp"
#include "transport/stream.hpp"

#include <functional>

namespace ivyrill::proxy {

class ClientSession {
  public:
    ClientSession(Context& context, int descriptor, std::function<void(ClientSession&)> on_end);
    void start();
    bool busy() const { return busy_; } // a request is being read or served
    void close_if_idle();               // after the drain: no further request is awaited

  private:
    transport::Task serve();
    transport::Async<bool> read_request(); // false: the connection is to be closed
    transport::Async<bool> serve_request();
    transport::Async<transport::Done> close_gracefully();
    void send_error(int status);

    Context& context_;
    std::function<void(ClientSession&)> on_end_;
    transport::Slot wake_;
    transport::Stream stream_;
    protocol::HttpParser parser_;
    bool busy_ = false, closing_ = false;
    transport::Task task_;
};

} // namespace ivyrill::proxy
