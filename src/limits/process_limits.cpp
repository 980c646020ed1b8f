#include "limits/process_limits.hpp"

#include <algorithm>
#include <cstdint>

namespace ivyrill::limits {

namespace {

// Where the settings state no limit.
constexpr std::int64_t kUsualMemoryMb = 256, kUsualDescriptors = 4096;
// The rest of the memory is for tables, for what the allocator keeps and for unread bytes in the system.
constexpr double kBufferShare = 0.4;
constexpr std::int64_t kFileDescriptors = 200; // that the machine keeps for files (DEPLOY)
constexpr std::int64_t kPeerDescriptors = 700; // of a control node: peers and agents
constexpr std::int64_t kInnerDescriptors = 16; // of a proxy: feed, signals, listeners
constexpr std::int64_t kMaxReadyConnections = 64;

std::size_t buffer_bytes(const settings::MachineLimits& machine) {
    const std::int64_t memory_mb = machine.memory_mb > 0 ? machine.memory_mb : kUsualMemoryMb;
    return static_cast<std::size_t>(kBufferShare * static_cast<double>(memory_mb) * 1024 * 1024);
}

std::int64_t sockets(const settings::MachineLimits& machine) {
    const std::int64_t all = machine.file_descriptors > 0 ? machine.file_descriptors : kUsualDescriptors;
    return all - std::min(kFileDescriptors, all / 4);
}

std::size_t at_least_one(std::int64_t count) {
    return static_cast<std::size_t>(std::max<std::int64_t>(1, count));
}

} // namespace

ProxyLimits proxy_limits(const settings::MachineLimits& machine) {
    const std::int64_t available = sockets(machine) - kInnerDescriptors;
    const std::int64_t ready = std::min(kMaxReadyConnections, available / 8);
    return {buffer_bytes(machine), at_least_one((available - ready) / 2), at_least_one(ready)};
}

ControlLimits control_limits(const settings::MachineLimits& machine) {
    const std::int64_t available = sockets(machine);
    return {buffer_bytes(machine), at_least_one(std::max(available / 2, available - kPeerDescriptors))};
}

} // namespace ivyrill::limits
