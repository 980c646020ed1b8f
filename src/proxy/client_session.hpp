// One client connection: serves its requests one after another, with limits on their size and time. What it
// buffers is charged to the process's budget.
#pragma once
#include "http/request_reader.hpp"
#include "limits/buffer_budget.hpp"
#include "proxy/context.hpp"
#include "transport/async.hpp"
#include "transport/stream.hpp"

#include <functional>

namespace ivyrill::proxy {

class ClientSession {
  public:
    ClientSession(Context& context, int descriptor, std::function<void(ClientSession&)> on_end);
    void start();
    // A request is being read or served, or its answer is not all written yet.
    bool busy() const { return busy_ || (stream_.unwritten() > 0 && !stream_.ended()); }
    void close_if_idle(); // after the drain: no further request is awaited
    limits::BufferBudget::Account& account() { return account_; }

  private:
    transport::Task serve();
    transport::Async<bool> read_request(); // false: the connection is to be closed
    Ticks read_deadline(http::RequestReader::Step step, Ticks idle_since) const;
    transport::Async<bool> serve_request();
    transport::Async<transport::Done> refuse_for_room();
    transport::Async<transport::Done> close_gracefully();
    void send_error(int status);
    void follow_limits(); // of the newest configuration, where no request has begun
    Ticks now() const { return context_.reactor.now(); }

    Context& context_;
    std::function<void(ClientSession&)> on_end_;
    transport::Slot wake_;
    transport::Stream stream_;
    model::ClientLimits limits_; // of the parser
    protocol::HttpParser parser_;
    limits::BufferBudget::Account account_;
    http::RequestReader reader_;
    Ticks head_since_ = 0; // arrival of the current request's first bytes; 0: none yet
    bool busy_ = false, closing_ = false;
    transport::Task task_;
};

} // namespace ivyrill::proxy
