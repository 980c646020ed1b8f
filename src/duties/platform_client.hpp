// How a call of a duty travels to the platform's API (`cloudApi`), behind an interface: HTTP in the program,
// a simulated network in tests.
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
    kFencedOff, // 412: the platform has seen a higher fence
    kRefused,   // any other 4xx: the same call will not do
    kFailed,    // 3xx, 5xx, or what is no answer
    kNotSent,   // no byte of it left, or the holder could no longer act
    kUnanswered // it may have been taken
};

class PlatformClient {
  public:
    PlatformClient() = default;
    virtual ~PlatformClient() = default;
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    // Sends it once, in the name of `holder`. `may_send` is asked in the moment in which it leaves; `done` is
    // told once, in a later turn and within kResponseTimeout.
    virtual void send(const PlatformCall& call, const std::string& holder, std::function<bool()> may_send,
                      std::function<void(PlatformOutcome)> done) = 0;

    // After it nothing of a call is on its way to the platform any more; its answer may still come.
    static constexpr Tenths kDeliveryTimeout = 6'000;
    static constexpr Tenths kResponseTimeout = 30'000; // a slow platform takes seconds
};

} // namespace ivyrill::duties
