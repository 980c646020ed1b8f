// Interface for a duty's calls to the platform's API (`cloudApi`): HTTP in the program, a simulated network
// in tests.
#pragma once
#include "base/time.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace ivyrill::duties {

struct PlatformCall {
    std::string path; // `/usage` or `/scale`
    std::string body; // JSON
    std::uint64_t fence = 0;
};

enum class PlatformOutcome : std::uint8_t {
    kAccepted,  // 2xx
    kBusy,      // 429
    kFencedOff, // 412: the platform has seen a higher fencing token
    kRefused,   // any other 4xx: retrying the same call is useless
    kFailed,    // 3xx, 5xx, or not a valid HTTP response
    kNotSent,   // no byte was sent, or the lease had expired
    kUnanswered // the platform may have processed it
};

class PlatformClient {
  public:
    PlatformClient() = default;
    virtual ~PlatformClient() = default;
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    // Sends the call once on behalf of `holder`. `may_send` is called just before the request is written;
    // `done` is called once, from a later turn of the event loop and within kResponseTimeout.
    virtual void send(const PlatformCall& call, const std::string& holder, std::function<bool()> may_send,
                      std::function<void(PlatformOutcome)> done) = 0;

    // After kDeliveryTimeout nothing of a call is in flight to the platform; the response may still follow.
    static constexpr Ticks kDeliveryTimeout = 6'000;
    static constexpr Ticks kResponseTimeout = 30'000; // a slow platform takes seconds
};

} // namespace ivyrill::duties
