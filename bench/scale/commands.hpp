// What the processes of hollow agents and servers share: lines on standard input, each answered by one on
// standard output, and what their sockets have carried.
#pragma once
#include "transport/reactor.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace ivyrill::scale {

class Commands {
  public:
    // `end`, and the end of standard input, stop the reactor.
    Commands(transport::Reactor& reactor, std::function<std::string(const std::string&)> handle);

  private:
    transport::Task read_all();
    bool take(const std::string& line);

    transport::Reactor& reactor_;
    std::function<std::string(const std::string&)> handle_;
    std::string read_;
    std::unique_ptr<transport::Source> input_;
    transport::Task task_;
};

// Bytes of payload, received and sent, of this process's open connections to peers at that port.
std::pair<std::uint64_t, std::uint64_t> bytes_by_port(std::uint16_t port);

} // namespace ivyrill::scale
