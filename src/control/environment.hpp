// The dependencies of a control node: event loop, links, disk, randomness and clock. The program supplies
// sockets and files, tests a simulation.
#pragma once
#include "control/state_file.hpp"
#include "duties/order_client.hpp"
#include "duties/platform_client.hpp"
#include "feed/link.hpp"
#include "transport/reactor.hpp"

#include <cstdint>
#include <functional>

namespace ivyrill::control {

struct Environment {
    transport::Reactor& reactor;
    feed::LinkNetwork& network;
    duties::OrderClient& orders;
    duties::PlatformClient& platform;
    OpenStateFile open_file;
    std::function<std::uint64_t()> draw;       // returns random numbers, never 0
    std::function<std::int64_t()> time_of_day; // this machine's wall clock, which may jump; Unix ms
};

} // namespace ivyrill::control
