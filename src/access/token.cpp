#include "access/token.hpp"

#include "access/encoding.hpp"

#include <algorithm>

namespace ivyrill::access {

namespace {

using nlohmann::json;

// A text member: absent is empty; false where it is there and no text.
bool take_text(const json& object, const char* name, std::string& into) {
    const auto found = object.find(name);
    if (found == object.end()) return true;
    if (!found->is_string()) return false;
    into = found->get<std::string>();
    return true;
}

bool take_time(const json& object, const char* name, Tenths& into) {
    const auto found = object.find(name);
    if (found == object.end()) return true;
    const auto read = read_seconds(*found);
    if (read) into = *read;
    return read.has_value();
}

bool take_texts(const json& list, std::vector<std::string>& into, std::size_t most) {
    if (!list.is_array() || list.size() > most) return false;
    for (const json& item : list) {
        if (!item.is_string()) return false;
        into.push_back(item.get<std::string>());
    }
    return true;
}

Rights rights_of(std::string_view scope) {
    Rights rights;
    for (std::size_t from = 0; from <= scope.size();) {
        const std::size_t end = std::min(scope.find(' ', from), scope.size());
        const std::string_view word = scope.substr(from, end - from);
        rights.read = rights.read || word == "read";
        rights.write_own = rights.write_own || word == "write";
        from = end + 1;
    }
    return rights;
}

bool read_header(const json& header, ParsedToken& token) {
    std::string algorithm, sort;
    if (!take_text(header, "alg", algorithm) || !take_text(header, "typ", sort) ||
        !take_text(header, "kid", token.claims.key) || header.contains("crit") || header.contains("b64"))
        return false; // `crit` asks for what we do not know
    const auto known = algorithm_named(algorithm);
    if (!known || !is_valid_name(token.claims.key)) return false;
    token.algorithm = *known;
    std::ranges::transform(sort, sort.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return sort == kTokenType || sort == "application/" + std::string(kTokenType);
}

bool read_claims(const json& payload, Claims& claims) {
    std::string scope;
    const bool texts = take_text(payload, "iss", claims.issuer) && take_text(payload, "jti", claims.id) &&
                       take_text(payload, "sub", claims.caller.member) &&
                       take_text(payload, "club", claims.caller.club) && take_text(payload, "scope", scope);
    const bool times = payload.contains("exp") && take_time(payload, "exp", claims.expires) &&
                       take_time(payload, "nbf", claims.not_before) &&
                       take_time(payload, "iat", claims.issued);
    if (!texts || !times || !is_valid_name(claims.caller.member) || !is_valid_name(claims.caller.club) ||
        claims.id.size() > 64)
        return false;
    if (const auto audience = payload.find("aud"); audience != payload.end()) {
        if (audience->is_string())
            claims.audience.push_back(audience->get<std::string>());
        else if (!take_texts(*audience, claims.audience, 16))
            return false;
    }
    if (const auto own = payload.find("own"); own != payload.end())
        if (!take_texts(*own, claims.caller.owned, kMaxOwnedPatterns)) return false;
    claims.caller.rights = rights_of(scope);
    return true;
}

} // namespace

TokenParseResult parse_token(std::string_view bytes, std::size_t most) {
    if (bytes.size() > most) return Reason::kMalformed;
    const std::size_t one = bytes.find('.'), two = bytes.rfind('.');
    if (one == std::string_view::npos || one == two || bytes.find('.', one + 1) != two)
        return Reason::kMalformed;
    const auto header_text = read_base64url(bytes.substr(0, one));
    const auto payload_text = read_base64url(bytes.substr(one + 1, two - one - 1));
    auto signature = read_base64url(bytes.substr(two + 1));
    if (!header_text || !payload_text || !signature || signature->empty()) return Reason::kMalformed;
    const auto header = read_object(*header_text), payload = read_object(*payload_text);
    ParsedToken token;
    if (!header || !payload || !read_header(*header, token) || !read_claims(*payload, token.claims))
        return Reason::kMalformed;
    token.signed_part = bytes.substr(0, two), token.signature = std::move(*signature);
    return token;
}

bool has_valid_signature(const ParsedToken& token, const Key& key) {
    return token.algorithm == key.signing.algorithm() &&
           key.signing.verify(token.signed_part, token.signature);
}

std::string sign_token(const Claims& claims, const Key& key) {
    const Caller& caller = claims.caller;
    if (!is_valid_name(caller.member) || !is_valid_name(caller.club))
        throw AccessError("a club's or member's name has 1 to 64 letters, digits, '-', '_' or '.'");
    const json header = {{"alg", name_of(key.signing.algorithm())}, {"kid", key.name}, {"typ", kTokenType}};
    json payload = {{"iss", claims.issuer},
                    {"sub", caller.member},
                    {"club", caller.club},
                    {"exp", claims.expires / kTenthsPerSecond},
                    {"iat", claims.issued / kTenthsPerSecond}};
    payload["aud"] = claims.audience.size() == 1 ? json(claims.audience[0]) : json(claims.audience);
    if (claims.not_before > 0) payload["nbf"] = claims.not_before / kTenthsPerSecond;
    if (!claims.id.empty()) payload["jti"] = claims.id;
    std::string scope = caller.rights.read ? "read" : "";
    if (caller.rights.write_own) scope += scope.empty() ? "write" : " write";
    payload["scope"] = scope;
    if (!caller.owned.empty()) payload["own"] = caller.owned;
    const std::string body = base64url(header.dump()) + "." + base64url(payload.dump());
    return body + "." + base64url(key.signing.sign(body));
}

} // namespace ivyrill::access
