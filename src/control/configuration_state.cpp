#include "control/configuration_state.hpp"

#include "base/hash.hpp"
#include "base/planted_fault.hpp"

#include <algorithm>

namespace ivyrill::control {

namespace {

constexpr std::size_t kMostTaken =
    512; // a caller sends a call again for seconds, not for hundreds of changes
constexpr std::uint64_t kSecondSeed = 0x9e3779b97f4a7c15ULL;

AcceptedCall identity(const ReplaceCall& call) {
    const std::string bound = std::to_string(call.if_match) + "\n";
    const std::uint64_t first = hash_text(bound), second = hash_text(bound, kSecondSeed);
    return {call.version, hash_text(call.body, first), hash_text(call.body, second)};
}

} // namespace

Decision decide(const ConfigurationState& current, const ReplaceCall& call) {
    const AcceptedCall known = identity(call);
    const bool was_taken = std::ranges::find(current.taken, known) != current.taken.end();
    if (was_taken && !planted(PlantedFault::kResentOrderUnknown)) return {Verdict::kAlreadyAccepted, {}};
    if (call.if_match != current.version && !planted(PlantedFault::kAnyBaseAccepted))
        return {Verdict::kConflict, {}};
    if (call.version <= current.version) return {Verdict::kStaleVersion, {}};
    ConfigurationState next = current;
    next.version = call.version, next.body = call.body;
    next.taken.push_back(known);
    if (next.taken.size() > kMostTaken) next.taken.erase(next.taken.begin());
    return {Verdict::kAccept, std::move(next)};
}

} // namespace ivyrill::control
