// How many of a service's runners are kept for long answers and for prompts that other servers have read; the
// rest read prompts themselves and are homes of prompts. A prompt that a runner reads holds up the tokens of
// all that run there, and what a runner fetches pushes the prompts that are at home there out of its memory.
#pragma once
#include "base/time.hpp"
#include "model/instance.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::replica_selection {

// Of the time of a link, on which moves queue: at this share a move waits for three quarters of its own time
// (M/D/1).
inline constexpr double kMaxLinkUtilization = 0.6;

struct DecodeServerLoad {
    double slots = 1;
    std::optional<double> running; // of all callers; none while it was not reported
};

class DecodePartition {
  public:
    // `runners` in the order of `decode_server_order`; `links_busy`: by moves of all nodes, as a number of
    // links. Returns how many of the first are kept apart.
    std::size_t dedicated_count(const std::vector<DecodeServerLoad>& runners, double links_busy, Tenths now);

  private:
    std::size_t kept_ = 0;
    Tenths changed_ = 0; // when it was last set
};

// An order that every node finds by itself: by hash, zones taking turns, so that the first few are near every
// reader. Indices into `instances`.
std::vector<std::size_t> decode_server_order(const std::vector<const model::Instance*>& instances,
                                             const std::string& service);

} // namespace ivyrill::replica_selection
