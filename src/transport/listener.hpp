// Accepts connections at one address and hands each descriptor on.
#pragma once
#include "transport/reactor.hpp"
#include "transport/stream.hpp"

#include <functional>
#include <string>
#include <utility>

namespace ivyrill::transport {

class Listener {
  public:
    // Throws AddressError or std::system_error.
    Listener(Reactor& reactor, const std::string& address, std::function<void(int)> accepted)
        : source_(reactor.loop(), listen_at(address)), accepted_(std::move(accepted)), task_(accept_all()) {
        task_.start();
    }
    int port() const { return port_of(source_.descriptor()); }

  private:
    Task accept_all() {
        for (;;) {
            const int descriptor = accept_from(source_.descriptor());
            if (descriptor >= 0)
                accepted_(descriptor);
            else
                co_await source_.readable;
        }
    }
    Source source_;
    std::function<void(int)> accepted_;
    Task task_;
};

} // namespace ivyrill::transport
