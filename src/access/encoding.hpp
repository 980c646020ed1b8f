// Strict readers for the encodings of tokens and key files: base64url without padding (RFC 4648, RFC 7515)
// and JSON objects without duplicate names.
#pragma once
#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace ivyrill::access {

std::string base64url(std::string_view bytes);
// nullopt for padding, invalid characters, an impossible length, or nonzero bits after the last byte.
std::optional<std::string> read_base64url(std::string_view text);
// nullopt unless the text is one valid UTF-8 JSON object with at most 8 levels of nesting and no duplicate
// names.
std::optional<nlohmann::json> read_object(std::string_view text);
// Converts whole seconds since 1970, up to the end of the year 9999, to tenths of a millisecond; nullopt for
// any other value.
std::optional<std::int64_t> read_seconds(const nlohmann::json& value);

} // namespace ivyrill::access
