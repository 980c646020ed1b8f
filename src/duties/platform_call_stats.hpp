// Counts the outcomes of a duty's calls to the platform, and names them for the log. Pure.
#pragma once
#include "duties/platform_client.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace ivyrill::duties {

inline constexpr std::array kPlatformOutcomes{PlatformOutcome::kAccepted,  PlatformOutcome::kBusy,
                                              PlatformOutcome::kFencedOff, PlatformOutcome::kRefused,
                                              PlatformOutcome::kFailed,    PlatformOutcome::kNotSent,
                                              PlatformOutcome::kUnanswered};

constexpr std::string_view name_of(PlatformOutcome outcome) {
    constexpr std::array<std::string_view, kPlatformOutcomes.size()> kNames{
        "accepted", "busy", "fencedOff", "refused", "failed", "notSent", "unanswered"};
    return kNames[static_cast<std::size_t>(outcome)];
}

class PlatformCallStats {
  public:
    void record_sent() { ++sent_; }
    void record_outcome(PlatformOutcome outcome) { ++outcomes_[static_cast<std::size_t>(outcome)]; }
    std::uint64_t calls() const { return sent_; } // started, whatever the outcome
    std::uint64_t count(PlatformOutcome outcome) const {
        return outcomes_[static_cast<std::size_t>(outcome)];
    }

  private:
    std::uint64_t sent_ = 0;
    std::array<std::uint64_t, kPlatformOutcomes.size()> outcomes_{};
};

} // namespace ivyrill::duties
