// The value that the configuration group replicates, and the decision whether to accept an operator's
// configuration. No I/O.
#pragma once
#include "base/result.hpp"
#include "consensus/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace ivyrill::control {

// Identifies an accepted call of an operator, so that a retry of the same call is recognized.
struct AcceptedCall {
    std::int64_t version = 0;
    std::uint64_t digest = 0, second_digest = 0; // of the If-Match version and the body
    template <class Self> static auto tie(Self& s) { return std::tie(s.version, s.digest, s.second_digest); }
    friend bool operator==(const AcceptedCall&, const AcceptedCall&) = default;
};

struct ConfigurationState {
    std::int64_t version = 0;                 // 0: no configuration was accepted yet
    std::string body;                         // as the operator sent it
    std::vector<AcceptedCall> accepted_calls; // the newest last
    // The initial voters of the groups of the duty partitions. Replicated once, so that a node that returns
    // with an empty disk can't bootstrap such a group again. Empty until then, and in deployments without
    // duties.
    std::vector<consensus::Member> initial_duty_voters;
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.version, s.body, s.accepted_calls, s.initial_duty_voters);
    }
};

struct ReplaceCall {
    std::int64_t if_match = 0; // the version that the caller has based the change on
    std::int64_t version = 0;  // as read from the body
    std::string body;
};

enum class Verdict : std::uint8_t {
    kAccept,          // `next` is to be replicated
    kAlreadyAccepted, // the same call was accepted before
    kConflict,        // If-Match does not name the current version
    kStaleVersion     // the new version is not above the current one
};

struct Decision {
    Verdict verdict = Verdict::kConflict;
    std::optional<ConfigurationState> next;
};

Decision decide(const ConfigurationState& current, const ReplaceCall& call);

} // namespace ivyrill::control
