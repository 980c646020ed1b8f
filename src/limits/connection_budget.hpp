// What one client connection may cost: searches open at once, memory, and how often it may do what is cheap
// for the client and dear for us. Decides only; free of I/O. A budget is a token bucket in units of deeds: a
// burst, and so many a second after it. All are ratios to the streams that a connection may have open, which
// the operator sets.
#pragma once
#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ivyrill::limits {

enum class ClientAction {
    kReset, // a stream taken back before its answer
    kPing,
    kSettings,
    kEmpty,    // a frame that carries nothing: DATA without a byte that does not end, PRIORITY
    kWindow,   // a window opened
    kAfterEnd, // frames on streams that have ended
    kBad,      // a request that is not understood, or fields past their bound
};
inline constexpr std::size_t kClientActionCount = 7;
std::string_view name_of(ClientAction deed);

struct ConnectionLimits {
    std::size_t max_streams = 100;                 // open at once
    std::size_t max_body_bytes = 64 * 1024;        // bytes of one request
    std::size_t max_header_list_bytes = 16 * 1024; // bytes of one request's fields, decoded (RFC 9113, 6.5.2)
    std::size_t max_buffered_bytes = 1024 * 1024;  // bytes of requests and answers held for one connection
    std::size_t read_quantum_bytes = 16 * 1024;    // read of one connection before others have their turn
};

class ConnectionBudget {
  public:
    ConnectionBudget(const ConnectionLimits& terms, Tenths now);
    // False: it is spent, and the connection ends with ENHANCE_YOUR_CALM.
    bool spend(ClientAction deed, Tenths now);
    // Whether a further stream is taken on, with so much held already; else it is refused unprocessed, and
    // its client may ask again elsewhere.
    bool allows_stream(std::size_t open, std::size_t held) const;
    bool allows_body(std::size_t of_stream, std::size_t held) const;
    const ConnectionLimits& terms() const { return terms_; }
    std::uint64_t count(ClientAction deed) const { return counts_[static_cast<std::size_t>(deed)]; }

  private:
    struct Bucket {
        double room = 0;
        Tenths filled = 0;
    };
    ConnectionLimits terms_;
    std::array<Bucket, kClientActionCount> buckets_;
    std::array<std::uint64_t, kClientActionCount> counts_{};
};

// How many searches one connection may have open of all that the front node may hold: everything while it is
// alone, an even share beside others that search, one always.
std::size_t fair_share_of_searches(std::size_t most_open, std::size_t others_that_search);

} // namespace ivyrill::limits
