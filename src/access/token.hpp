// Signed tokens: JWS in its compact form (RFC 7515) with JWT claims (RFC 7519), read by the advice of RFC
// 8725: no `none`, the algorithm is the key's, keys are looked up by `kid` and never fetched, the sort is
// named. Claims: iss, aud, sub (the member), club, exp; optional nbf, iat, jti, scope (`read`, `write`, by
// RFC 8693 in one text set apart by blanks), own (a list of keys of notes; one that ends in * stands for all
// that begin so).
#pragma once
#include "access/keys.hpp"
#include "access/types.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ivyrill::access {

inline constexpr std::string_view kTokenType = "ivyrill+jwt"; // of `typ`
inline constexpr std::size_t kMaxOwnedPatterns = 64;          // entries of `own`

struct Claims {
    std::string key; // the `kid` that signed it
    std::string issuer, id;
    std::vector<std::string> audience;
    Tenths expires = 0, not_before = 0, issued = 0;
    Caller caller;
};

struct ParsedToken { // its form is sound; nothing is proven yet
    Claims claims;
    Algorithm algorithm = Algorithm::kEdDsa;
    std::string_view signed_part; // of the bytes that were handed in
    std::string signature;
};
using TokenParseResult = std::variant<ParsedToken, Reason>;
TokenParseResult parse_token(std::string_view bytes, std::size_t most);

// Whether this key made that signature with the key's own algorithm.
bool has_valid_signature(const ParsedToken& token, const Key& key);

std::string sign_token(const Claims& claims, const Key& key); // throws AccessError

} // namespace ivyrill::access
