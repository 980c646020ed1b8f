// One client's connection: its requests, one after the other, and what bounds them in size and time.
#pragma once
#include "proxy/context.hpp"
#include "transport/async.hpp"
#include "transport/stream.hpp"

#include <functional>

namespace ivyrill::proxy {

class ClientSession {
  public:
    ClientSession(Context& context, int descriptor, std::function<void(ClientSession&)> over);
    void start();
    bool busy() const { return busy_; } // a request is being read or served
    void end_if_idle();                 // the drain is over: nothing more is awaited on this connection

  private:
    transport::Task serve();
    transport::Async<bool> read_request(); // false where the connection is to end
    transport::Async<bool> serve_request();
    transport::Async<transport::Done> close_slowly();
    void refuse(int status);

    Context& context_;
    std::function<void(ClientSession&)> over_;
    transport::Slot wake_;
    transport::Stream stream_;
    protocol::HttpParser parser_;
    bool busy_ = false, end_ = false;
    transport::Task task_;
};

} // namespace ivyrill::proxy
