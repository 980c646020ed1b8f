// The sizes of one step of the scale run, its addresses, and what of this machine it may take.
#pragma once
#include "base/result.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ivyrill::scale {

struct Sizes {
    std::size_t nodes = 0, servers = 0, controls = 0; // nodes: with the real ones
};

inline constexpr std::size_t kRealNodes = 2; // with an agent and a proxy process each
inline constexpr std::size_t kZones = 16;    // one process of hollow agents each
inline constexpr std::size_t kServices = 7;  // one a model
inline constexpr std::size_t kTenants = 490; // one route each
inline constexpr std::size_t kServerWorkers = 4;
inline constexpr std::int64_t kBeatIntervalMs = 1200;
inline constexpr std::size_t kMostMemoryMb = 12'000, kMostProcesses = 200;
inline constexpr std::uint16_t kControlPort = 8262, kFeedPort = 7301;
// Loads that are told a second, times the nodes that each is told to: what this machine decodes beside the
// rest.
inline constexpr double kMostDeliveries = 120'000;
inline constexpr double kReportsPerServer = 2; // a second, as agents read them

std::string control_host(std::size_t number);
std::string node_host(std::size_t number);
std::string server_address(std::size_t number);
std::string zone_name(std::size_t number);
std::string service_name(std::size_t server);
std::string node_name(std::size_t number);
std::string configuration_text(std::int64_t version);

std::vector<Sizes> standard_steps();
// Bytes that the run's processes need at this size, by what hollow agents and servers were measured to take.
double needed_mb(const Sizes& sizes);
// An error names what would fit.
Result<void> check_fit(const Sizes& sizes);

} // namespace ivyrill::scale
