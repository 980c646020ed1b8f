// Partition of a service's decode servers: some are dedicated to long answers and to prompts that prefill
// servers have processed; the others are mixed: they prefill prompts themselves and own prompts. A prefill at
// a decode server delays the tokens of all requests running there, and KV data that it fetches evicts the
// prompts it owns.
#pragma once
#include "base/time.hpp"
#include "model/instance.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::replica_selection {

// At this utilization a transfer waits for three quarters of its own time (M/D/1).
inline constexpr double kMaxLinkUtilization = 0.6;

struct DecodeServerLoad {
    double slots = 1;
    std::optional<double> running; // for all callers; none before the first report
};

class DecodePartition {
  public:
    // `servers` in the order of `decode_server_order`; `busy_links`: links occupied by the transfers of all
    // nodes. Returns how many of the first servers are dedicated.
    std::size_t dedicated_count(const std::vector<DecodeServerLoad>& servers, double busy_links, Ticks now);

  private:
    std::size_t dedicated_ = 0;
    Ticks changed_at_ = 0; // time of the last change of dedicated_
};

// An order that every node computes independently: by hash, alternating between zones, so that the first few
// are near every prefill server. Indices into `instances`.
std::vector<std::size_t> decode_server_order(const std::vector<const model::Instance*>& instances,
                                             const std::string& service);

} // namespace ivyrill::replica_selection
