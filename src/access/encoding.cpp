#include "access/encoding.hpp"

#include "base/time.hpp"

#include <array>
#include <cstdint>
#include <set>
#include <vector>

namespace ivyrill::access {

namespace {

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr int kMaxDepth = 8;
constexpr std::int64_t kMaxSeconds = 253'402'300'799;

constexpr std::array<std::int8_t, 256> make_digit_values() {
    std::array<std::int8_t, 256> values{};
    for (auto& value : values) value = -1;
    for (std::size_t i = 0; i < kAlphabet.size(); ++i)
        values[static_cast<unsigned char>(kAlphabet[i])] = static_cast<std::int8_t>(i);
    return values;
}
constexpr auto kDigitValues = make_digit_values();

} // namespace

std::string base64url(std::string_view bytes) {
    std::string out;
    out.reserve(bytes.size() * 4 / 3 + 3);
    std::uint32_t buffer = 0;
    int bits = 0;
    for (const unsigned char byte : bytes) {
        buffer = (buffer << 8U | byte) & 0xFFFFFU, bits += 8;
        for (; bits >= 6; bits -= 6) out += kAlphabet[buffer >> (bits - 6) & 63U];
    }
    if (bits > 0) out += kAlphabet[buffer << (6 - bits) & 63U];
    return out;
}

std::optional<std::string> read_base64url(std::string_view text) {
    if (text.size() % 4 == 1) return {};
    std::string out;
    out.reserve(text.size() * 3 / 4);
    std::uint32_t buffer = 0;
    int bits = 0;
    for (const unsigned char c : text) {
        const int value = kDigitValues[c];
        if (value < 0) return {};
        buffer = (buffer << 6U | static_cast<std::uint32_t>(value)) & 0xFFFU, bits += 6;
        if (bits >= 8) bits -= 8, out += static_cast<char>(buffer >> bits & 0xFFU);
    }
    if ((buffer & ((1U << bits) - 1U)) != 0) return {}; // each byte sequence has exactly one encoding
    return out;
}

std::optional<nlohmann::json> read_object(std::string_view text) {
    using nlohmann::json;
    std::vector<std::set<std::string>> names;
    bool valid = true;
    const auto check_event = [&](int depth, json::parse_event_t event, json& value) {
        if (depth > kMaxDepth) valid = false;
        if (event == json::parse_event_t::object_start) names.emplace_back();
        if (event == json::parse_event_t::object_end && !names.empty()) names.pop_back();
        if (event == json::parse_event_t::key && !names.empty())
            valid = names.back().insert(value.get<std::string>()).second && valid;
        return valid; // false: the parser discards the value
    };
    json result = json::parse(text.begin(), text.end(), check_event, false);
    if (!valid || !result.is_object()) return {};
    return result;
}

std::optional<std::int64_t> read_seconds(const nlohmann::json& value) {
    if (!value.is_number_integer()) return {};
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(kMaxSeconds))
        return {};
    const auto seconds = value.get<std::int64_t>();
    if (seconds < 0 || seconds > kMaxSeconds) return {};
    return seconds * kTicksPerSecond;
}

} // namespace ivyrill::access
