// Limits on one client connection: open searches, memory, and the rate of actions that are cheap for the
// client and expensive for the server. Pure. Each action has a token bucket, whose burst and rate are ratios
// to the streams that a connection may have open, an operator setting.
#pragma once
#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ivyrill::limits {

enum class ClientAction {
    kReset, // a stream cancelled before its answer
    kPing,
    kSettings,
    kEmpty,    // a frame without content: empty DATA that does not end the stream, PRIORITY
    kWindow,   // WINDOW_UPDATE
    kAfterEnd, // frames on streams that have ended
    kBad,      // a malformed request, or header fields over their limit
};
inline constexpr std::size_t kClientActionCount = 7;
std::string_view name_of(ClientAction action);

struct ConnectionLimits {
    std::size_t max_streams = 100;          // open at once
    std::size_t max_body_bytes = 64 * 1024; // bytes of one request
    std::size_t max_header_list_bytes =
        16 * 1024; // bytes of one request's header fields, decoded (RFC 9113, 6.5.2)
    std::size_t max_buffered_bytes = 1024 * 1024; // bytes of requests and answers buffered for one connection
    std::size_t read_quantum_bytes =
        16 * 1024; // bytes read of one connection before the others get their turn
};

class ConnectionBudget {
  public:
    ConnectionBudget(const ConnectionLimits& limits, Ticks now);
    // False: the budget is exhausted, and the connection ends with ENHANCE_YOUR_CALM.
    bool spend(ClientAction action, Ticks now);
    // Whether a further stream is accepted with `buffered` bytes buffered already; else it is refused
    // unprocessed, and its client may retry elsewhere.
    bool allows_stream(std::size_t open, std::size_t buffered) const;
    bool allows_body(std::size_t body, std::size_t buffered) const;
    const ConnectionLimits& limits() const { return limits_; }
    std::uint64_t count(ClientAction action) const { return counts_[static_cast<std::size_t>(action)]; }

  private:
    struct Bucket {
        double tokens = 0;
        Ticks filled_at = 0;
    };
    ConnectionLimits limits_;
    std::array<Bucket, kClientActionCount> buckets_;
    std::array<std::uint64_t, kClientActionCount> counts_{};
};

// Searches that one connection may have open out of the front node's total: all while no other connection has
// any, else an equal share; at least one.
std::size_t fair_share_of_searches(std::size_t max_open, std::size_t other_connections);

} // namespace ivyrill::limits
