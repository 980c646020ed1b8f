// Orders to servers over HTTP/1.1, each on a connection of its own that is reset at its end: what a cut holds
// up of it is then lost, and reaches nobody after the holder's lease.
#pragma once
#include "duties/order_client.hpp"
#include "transport/async.hpp"
#include "transport/reactor.hpp"
#include "transport/task.hpp"

#include <memory>
#include <string>

namespace ivyrill::control {

// The request as it goes out.
std::string order_request(const duties::StageOrder& order, const std::string& holder);

class HttpOrderClient : public duties::OrderClient {
  public:
    explicit HttpOrderClient(transport::Reactor& reactor) : reactor_(reactor) {}
    void send(const duties::StageOrder& order, const std::string& holder, std::function<bool()> may_send,
              std::function<void(duties::OrderOutcome)> done) override;

  private:
    transport::Task carry(duties::StageOrder order, std::string holder, std::function<bool()> may_send,
                          std::function<void(duties::OrderOutcome)> done);
    transport::Async<duties::OrderOutcome> call(const duties::StageOrder& order, const std::string& holder,
                                                const std::function<bool()>& may_send);

    transport::Reactor& reactor_;
};

} // namespace ivyrill::control
