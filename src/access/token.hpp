// Signed tokens: JWS in compact form (RFC 7515) with JWT claims (RFC 7519), following RFC 8725: `none` is
// rejected, the algorithm is that of the key, keys are looked up by `kid` and never fetched, and the token
// type is checked. Claims: iss, aud, sub (the member), club, exp; optional nbf, iat, jti, scope (`read` and
// `write`, separated by spaces as in RFC 8693) and own (a list of keys of notes; a trailing * matches every
// key with that prefix).
#pragma once
#include "access/keys.hpp"
#include "access/types.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ivyrill::access {

inline constexpr std::string_view kTokenType = "ivyrill+jwt"; // value of `typ`
inline constexpr std::size_t kMaxOwnedPatterns = 64;          // in `own`

struct Claims {
    std::string key; // the `kid` that signed it
    std::string issuer, id;
    std::vector<std::string> audience;
    Ticks expires = 0, not_before = 0, issued = 0;
    Caller caller;
};

struct ParsedToken { // syntactically valid; the signature is not yet verified
    Claims claims;
    Algorithm algorithm = Algorithm::kEdDsa;
    std::string_view signed_part; // refers to the input
    std::string signature;
};
using TokenParseResult = std::variant<ParsedToken, Reason>;
TokenParseResult parse_token(std::string_view bytes, std::size_t max_bytes);

// Whether the token has a valid signature by this key, with the key's own algorithm.
bool has_valid_signature(const ParsedToken& token, const Key& key);

std::string sign_token(const Claims& claims, const Key& key); // throws AccessError

} // namespace ivyrill::access
