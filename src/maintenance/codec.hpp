// CBOR (RFC 8949) encoding of the maintenance commands and of the schedule's state, by nlohmann/json.
// Malformed input is rejected as a whole.
#pragma once
#include "maintenance/types.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace ivyrill::maintenance {

std::string encode(const Command& command);
std::optional<Command> decode(std::string_view bytes);
std::string describe(const Command& command); // one line of text for logs and tests

namespace codec {

using Json = nlohmann::json;
inline constexpr std::size_t kMaxTextBytes = 256, kMaxRows = 20'000;

Json encode_row(const MachineFacts& facts);
Json encode_row(const Limits& limits);
Json encode_row(const MaintenanceJob& job);
MachineFacts decode_machine(const Json& row); // the decode functions throw std::exception on malformed input
Limits decode_limits(const Json& row);
MaintenanceJob decode_job(const Json& row);
std::string decode_text(const Json& value);
std::uint64_t decode_count(const Json& value);
template <class Texts> Texts decode_texts(const Json& row) {
    Texts texts;
    if (!row.is_array() || row.size() > kMaxRows) throw std::out_of_range("the list of texts is malformed");
    for (const auto& value : row) texts.insert(texts.end(), decode_text(value));
    return texts;
}

std::string pack_cbor(const Json& row);
template <class Value>
std::optional<Value> unpack_cbor(std::string_view bytes, const std::function<Value(const Json&)>& read) {
    try {
        const Json row = Json::from_cbor(bytes.begin(), bytes.end());
        if (!row.is_array() || row.empty()) return {};
        return read(row);
    } catch (const std::exception&) { return {}; }
}
template <class Value, class Read> std::optional<Value> unpack_cbor(std::string_view bytes, Read read) {
    return unpack_cbor<Value>(bytes, std::function<Value(const Json&)>(read));
}

} // namespace codec

} // namespace ivyrill::maintenance
