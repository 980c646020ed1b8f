// Sends orders to servers over HTTP/1.1, each on its own connection that is reset afterwards: data held up by
// a network partition is then lost instead of arriving after the lease of the duty's holder has expired.
#pragma once
#include "duties/order_client.hpp"
#include "transport/async.hpp"
#include "transport/reactor.hpp"
#include "transport/task.hpp"

#include <memory>
#include <string>

namespace ivyrill::control {

// The encoded request.
std::string order_request(const duties::StageOrder& order, const std::string& holder);

class HttpOrderClient : public duties::OrderClient {
  public:
    explicit HttpOrderClient(transport::Reactor& reactor) : reactor_(reactor) {}
    void send(const duties::StageOrder& order, const std::string& holder, std::function<bool()> may_send,
              std::function<void(duties::OrderOutcome)> done) override;

  private:
    transport::Task run(duties::StageOrder order, std::string holder, std::function<bool()> may_send,
                        std::function<void(duties::OrderOutcome)> done);
    transport::Async<duties::OrderOutcome> execute(const duties::StageOrder& order, const std::string& holder,
                                                   const std::function<bool()>& may_send);

    transport::Reactor& reactor_;
};

} // namespace ivyrill::control
