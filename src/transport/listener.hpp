// Accepts connections at one address and hands each descriptor on. While the system is out of descriptors or
// memory, connections wait in its queue, and accepting is tried again after a while.
#pragma once
#include "transport/reactor.hpp"
#include "transport/stream.hpp"

#include <cerrno>
#include <functional>
#include <string>
#include <system_error>
#include <utility>

namespace ivyrill::transport {

class Listener {
  public:
    // Throws AddressError or std::system_error.
    Listener(Reactor& reactor, const std::string& address, std::function<void(int)> accepted)
        : reactor_(reactor), source_(reactor.loop(), listen_at(address)), accepted_(std::move(accepted)),
          task_(accept_all()) {
        task_.start();
    }
    int port() const { return port_of(source_.descriptor()); }

  private:
    static constexpr Ticks kRetryInterval = kTicksPerSecond / 10;

    Task accept_all() {
        for (;;) {
            const int descriptor = accept_from(source_.descriptor());
            if (descriptor >= 0) {
                hand_on(descriptor);
                continue;
            }
            if (errno == EINTR || errno == ECONNABORTED) continue;
            // No edge announces that descriptors are free again.
            const bool must_retry = errno != EAGAIN && errno != EWOULDBLOCK;
            const WakeAt timer(reactor_, must_retry ? reactor_.now() + kRetryInterval : Reactor::kNever,
                               source_.readable);
            co_await source_.readable;
        }
    }

    // A connection that can't be watched is closed by its Source.
    void hand_on(int descriptor) {
        try {
            accepted_(descriptor);
        } catch (const std::system_error&) { return; }
    }

    Reactor& reactor_;
    Source source_;
    std::function<void(int)> accepted_;
    Task task_;
};

} // namespace ivyrill::transport
