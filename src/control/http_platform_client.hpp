// Sends calls of duties to the platform's API over HTTP/1.1, each on its own connection
// (one_shot_request.hpp).
#pragma once
#include "duties/platform_client.hpp"
#include "transport/reactor.hpp"
#include "transport/task.hpp"

#include <functional>
#include <string>

namespace ivyrill::control {

// The encoded request.
std::string platform_request(const duties::PlatformCall& call, const std::string& holder,
                             const std::string& address);
duties::PlatformOutcome platform_outcome_of_status(int status);

class HttpPlatformClient : public duties::PlatformClient {
  public:
    // `address`: IP:PORT; if empty, nothing is ever sent.
    HttpPlatformClient(transport::Reactor& reactor, std::string address)
        : reactor_(reactor), address_(std::move(address)) {}
    void send(const duties::PlatformCall& call, const std::string& holder, std::function<bool()> may_send,
              std::function<void(duties::PlatformOutcome)> done) override;

  private:
    transport::Task run(std::string request, std::function<bool()> may_send,
                        std::function<void(duties::PlatformOutcome)> done);

    transport::Reactor& reactor_;
    std::string address_;
};

} // namespace ivyrill::control
