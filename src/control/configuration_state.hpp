// The value that the configuration's group replicates, and the one decision on it: whether an operator's
// configuration is taken. Pure.
#pragma once
#include "base/result.hpp"
#include "consensus/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace ivyrill::control {

// An operator's call that was taken, so that the same call sent again is known.
struct AcceptedCall {
    std::int64_t version = 0;
    std::uint64_t digest = 0, second_digest = 0; // of If-Match and body
    template <class Self> static auto tie(Self& s) { return std::tie(s.version, s.digest, s.second_digest); }
    friend bool operator==(const AcceptedCall&, const AcceptedCall&) = default;
};

struct ConfigurationState {
    std::int64_t version = 0;        // 0: none was ever taken
    std::string body;                // as the operator sent it
    std::vector<AcceptedCall> taken; // the newest last
    // Who founds the groups of the duties' parts: agreed on once, so that no disk that comes back empty
    // founds one again. Empty until then, and where the deployment has no duties.
    std::vector<consensus::Member> initial_duty_voters;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.version, s.body, s.taken, s.initial_duty_voters);
    }
};

struct ReplaceCall {
    std::int64_t if_match = 0; // the version that it builds on
    std::int64_t version = 0;  // as read from the body
    std::string body;
};

enum class Verdict : std::uint8_t {
    kAccept,          // `next` is to be replicated
    kAlreadyAccepted, // this very call was taken before
    kConflict,        // another version is current
    kStaleVersion     // its own version isn't above the current one
};

struct Decision {
    Verdict verdict = Verdict::kConflict;
    std::optional<ConfigurationState> next;
};

Decision decide(const ConfigurationState& current, const ReplaceCall& call);

} // namespace ivyrill::control
