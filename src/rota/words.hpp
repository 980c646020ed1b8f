// Commands and state of the order of work as CBOR (RFC 8949) by nlohmann's library, and back. Whatever cannot
// be read is nothing; nothing is read in part.
#pragma once
#include "rota/types.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace ivyrill::rota {

std::string encode(const Command& command);
std::optional<Command> decode(std::string_view bytes);
std::string as_words(const Command& command); // for the log and for tests

namespace words {

using Json = nlohmann::json;
inline constexpr std::size_t kMostText = 256, kMostRows = 20'000;

Json row_of(const Facts& facts);
Json row_of(const Limits& limits);
Json row_of(const Turn& turn);
Facts facts_in(const Json& row); // these throw where it is none
Limits limits_in(const Json& row);
Turn turn_in(const Json& row);
std::string text_in(const Json& value);
std::uint64_t count_in(const Json& value);
template <class Texts> Texts texts_in(const Json& row) {
    Texts made;
    if (!row.is_array() || row.size() > kMostRows) throw std::out_of_range("no texts");
    for (const auto& value : row) made.insert(made.end(), text_in(value));
    return made;
}

std::string pack(const Json& row);
template <class What>
std::optional<What> unpacked(std::string_view bytes, const std::function<What(const Json&)>& read) {
    try {
        const Json row = Json::from_cbor(bytes.begin(), bytes.end());
        if (!row.is_array() || row.empty()) return {};
        return read(row);
    } catch (const std::exception&) { return {}; }
}
template <class What, class Read> std::optional<What> unpacked(std::string_view bytes, Read read) {
    return unpacked<What>(bytes, std::function<What(const Json&)>(read));
}

} // namespace words

} // namespace ivyrill::rota
