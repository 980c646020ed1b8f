// The program `control`: runs a control node on sockets and files.
#pragma once
#include "control/control_node.hpp"
#include "control/http_order_client.hpp"
#include "control/http_platform_client.hpp"
#include "feed/socket_link.hpp"
#include "http/call_server.hpp"
#include "limits/process_limits.hpp"
#include "settings/settings.hpp"

#include <memory>

namespace ivyrill::control {

class ControlProgram {
  public:
    // Returns an error if the settings or the stored state can't be used; throws if it can't listen.
    static Result<std::unique_ptr<ControlProgram>> open(transport::Reactor& reactor,
                                                        const settings::Settings& settings);
    void begin_shutdown() { node_->begin_shutdown(); }

  private:
    ControlProgram(transport::Reactor& reactor, const settings::Settings& settings)
        : network_(reactor), orders_(reactor), platform_(reactor, settings.cloud_api.address),
          limits_(limits::control_limits(settings.limits)), buffers_(limits_.buffer_bytes) {}

    feed::SocketNetwork network_;
    HttpOrderClient orders_;
    HttpPlatformClient platform_;
    std::unique_ptr<ControlNode> node_;
    limits::ControlLimits limits_;
    limits::BufferBudget buffers_;
    std::unique_ptr<http::CallServer> calls_;
};

} // namespace ivyrill::control
