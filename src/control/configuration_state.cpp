#include "control/configuration_state.hpp"

#include "base/hash.hpp"
#include "base/planted_fault.hpp"

#include <algorithm>

namespace ivyrill::control {

namespace {

constexpr std::size_t kMaxAcceptedCalls = 512; // callers retry for seconds, not across hundreds of changes
constexpr std::uint64_t kSecondSeed = 0x9e3779b97f4a7c15ULL;

AcceptedCall fingerprint(const ReplaceCall& call) {
    const std::string salt = std::to_string(call.if_match) + "\n";
    const std::uint64_t first = hash_text(salt), second = hash_text(salt, kSecondSeed);
    return {call.version, hash_text(call.body, first), hash_text(call.body, second)};
}

} // namespace

Decision decide(const ConfigurationState& current, const ReplaceCall& call) {
    const AcceptedCall accepted_call = fingerprint(call);
    const bool was_accepted =
        std::ranges::find(current.accepted_calls, accepted_call) != current.accepted_calls.end();
    if (was_accepted && !planted(PlantedFault::kResentOrderUnknown)) return {Verdict::kAlreadyAccepted, {}};
    if (call.if_match != current.version && !planted(PlantedFault::kAnyBaseAccepted))
        return {Verdict::kConflict, {}};
    if (call.version <= current.version) return {Verdict::kStaleVersion, {}};
    ConfigurationState next = current;
    next.version = call.version, next.body = call.body;
    next.accepted_calls.push_back(accepted_call);
    if (next.accepted_calls.size() > kMaxAcceptedCalls)
        next.accepted_calls.erase(next.accepted_calls.begin());
    return {Verdict::kAccept, std::move(next)};
}

} // namespace ivyrill::control
