#include "access/types.hpp"

#include <algorithm>

namespace ivyrill::access {

std::string_view name_of(Reason reason) {
    switch (reason) {
    case Reason::kAdmitted:
        return "admitted";
    case Reason::kNoCredential:
        return "no-credential";
    case Reason::kMalformed:
        return "malformed";
    case Reason::kUnknownKey:
        return "unknown-key";
    case Reason::kBadSignature:
        return "bad-signature";
    case Reason::kExpired:
        return "expired";
    case Reason::kNotYet:
        return "not-yet";
    case Reason::kWrongAudience:
        return "wrong-audience";
    case Reason::kRevoked:
        return "revoked";
    case Reason::kWrongClub:
        return "wrong-club";
    case Reason::kNoRight:
        return "no-right";
    case Reason::kNotOwner:
        return "not-owner";
    }
    return "unknown";
}

Refusal refusal_of(Reason reason) {
    if (reason == Reason::kNoCredential) return {401, "Bearer realm=\"ivyrill\"", "a credential is needed"};
    if (reason == Reason::kWrongClub || reason == Reason::kNoRight || reason == Reason::kNotOwner)
        return {403, "Bearer realm=\"ivyrill\", error=\"insufficient_scope\"", "not allowed"};
    return {401, "Bearer realm=\"ivyrill\", error=\"invalid_token\"", "the credential is not accepted"};
}

bool owns(const Caller& caller, std::string_view key) {
    if (key.empty()) return false; // a note without a key has no owner
    return std::ranges::any_of(caller.owned, [key](std::string_view pattern) {
        if (!pattern.ends_with('*')) return key == pattern;
        pattern.remove_suffix(1);
        return key.starts_with(pattern);
    });
}

} // namespace ivyrill::access
