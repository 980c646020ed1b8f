// How the memory and the descriptors of a machine are divided among what one process does. Pure.
#pragma once
#include "settings/settings.hpp"

#include <cstddef>

namespace ivyrill::limits {

struct ProxyLimits {
    std::size_t buffer_bytes = 0;       // for clients and callers, and what is sent for them
    std::size_t client_connections = 0; // each of which may need one to a server as well
    std::size_t ready_connections = 0;
};
ProxyLimits proxy_limits(const settings::MachineLimits& machine);

struct ControlLimits {
    std::size_t buffer_bytes = 0;
    std::size_t call_connections = 0; // each server keeps one to the owner of its service
};
ControlLimits control_limits(const settings::MachineLimits& machine);

} // namespace ivyrill::limits
