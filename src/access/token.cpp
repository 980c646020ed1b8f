#include "access/token.hpp"

#include "access/encoding.hpp"

#include <algorithm>

namespace ivyrill::access {

namespace {

using nlohmann::json;

// Reads an optional text member; false if it is present but not a string.
bool read_text(const json& object, const char* name, std::string& into) {
    const auto found = object.find(name);
    if (found == object.end()) return true;
    if (!found->is_string()) return false;
    into = found->get<std::string>();
    return true;
}

bool read_time(const json& object, const char* name, Ticks& into) {
    const auto found = object.find(name);
    if (found == object.end()) return true;
    const auto read = read_seconds(*found);
    if (read) into = *read;
    return read.has_value();
}

bool read_text_list(const json& list, std::vector<std::string>& into, std::size_t max_entries) {
    if (!list.is_array() || list.size() > max_entries) return false;
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
        const std::string_view right = scope.substr(from, end - from);
        rights.read = rights.read || right == "read";
        rights.write_own = rights.write_own || right == "write";
        from = end + 1;
    }
    return rights;
}

bool read_header(const json& header, ParsedToken& token) {
    std::string algorithm, type;
    if (!read_text(header, "alg", algorithm) || !read_text(header, "typ", type) ||
        !read_text(header, "kid", token.claims.key) || header.contains("crit") || header.contains("b64"))
        return false; // `crit` requires extensions that are not supported
    const auto known = algorithm_named(algorithm);
    if (!known || !is_valid_name(token.claims.key)) return false;
    token.algorithm = *known;
    std::ranges::transform(type, type.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return type == kTokenType || type == "application/" + std::string(kTokenType);
}

bool read_claims(const json& payload, Claims& claims) {
    std::string scope;
    const bool texts = read_text(payload, "iss", claims.issuer) && read_text(payload, "jti", claims.id) &&
                       read_text(payload, "sub", claims.caller.member) &&
                       read_text(payload, "club", claims.caller.club) && read_text(payload, "scope", scope);
    const bool times = payload.contains("exp") && read_time(payload, "exp", claims.expires) &&
                       read_time(payload, "nbf", claims.not_before) &&
                       read_time(payload, "iat", claims.issued);
    if (!texts || !times || !is_valid_name(claims.caller.member) || !is_valid_name(claims.caller.club) ||
        claims.id.size() > 64)
        return false;
    if (const auto audience = payload.find("aud"); audience != payload.end()) {
        if (audience->is_string())
            claims.audience.push_back(audience->get<std::string>());
        else if (!read_text_list(*audience, claims.audience, 16))
            return false;
    }
    if (const auto own = payload.find("own"); own != payload.end())
        if (!read_text_list(*own, claims.caller.owned, kMaxOwnedPatterns)) return false;
    claims.caller.rights = rights_of(scope);
    return true;
}

} // namespace

TokenParseResult parse_token(std::string_view bytes, std::size_t max_bytes) {
    if (bytes.size() > max_bytes) return Reason::kMalformed;
    const std::size_t first_dot = bytes.find('.'), last_dot = bytes.rfind('.');
    if (first_dot == std::string_view::npos || first_dot == last_dot ||
        bytes.find('.', first_dot + 1) != last_dot)
        return Reason::kMalformed;
    const auto header_text = read_base64url(bytes.substr(0, first_dot));
    const auto payload_text = read_base64url(bytes.substr(first_dot + 1, last_dot - first_dot - 1));
    auto signature = read_base64url(bytes.substr(last_dot + 1));
    if (!header_text || !payload_text || !signature || signature->empty()) return Reason::kMalformed;
    const auto header = read_object(*header_text), payload = read_object(*payload_text);
    ParsedToken token;
    if (!header || !payload || !read_header(*header, token) || !read_claims(*payload, token.claims))
        return Reason::kMalformed;
    token.signed_part = bytes.substr(0, last_dot), token.signature = std::move(*signature);
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
                    {"exp", claims.expires / kTicksPerSecond},
                    {"iat", claims.issued / kTicksPerSecond}};
    payload["aud"] = claims.audience.size() == 1 ? json(claims.audience[0]) : json(claims.audience);
    if (claims.not_before > 0) payload["nbf"] = claims.not_before / kTicksPerSecond;
    if (!claims.id.empty()) payload["jti"] = claims.id;
    std::string scope = caller.rights.read ? "read" : "";
    if (caller.rights.write_own) scope += scope.empty() ? "write" : " write";
    payload["scope"] = scope;
    if (!caller.owned.empty()) payload["own"] = caller.owned;
    const std::string body = base64url(header.dump()) + "." + base64url(payload.dump());
    return body + "." + base64url(key.signing.sign(body));
}

} // namespace ivyrill::access
