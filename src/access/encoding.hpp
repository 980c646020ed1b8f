// The encodings that tokens and key files are written in, read strictly: base64url without padding (RFC 4648,
// RFC 7515) and JSON objects in which no name stands twice.
#pragma once
#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace ivyrill::access {

std::string base64url(std::string_view bytes);
// Nothing for padding, other letters, an impossible length, or bits that are not zero behind the last byte.
std::optional<std::string> read_base64url(std::string_view text);
// Nothing unless the text is one object, sound, at most 8 levels deep, in UTF-8, with no name twice in a
// level.
std::optional<nlohmann::json> read_object(std::string_view text);
// Whole seconds since 1970, up to the end of the year 9999, as tenths; nothing for anything else.
std::optional<std::int64_t> read_seconds(const nlohmann::json& value);

} // namespace ivyrill::access
