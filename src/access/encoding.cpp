#include "access/encoding.hpp"

#include "base/time.hpp"

#include <array>
#include <cstdint>
#include <set>
#include <vector>

namespace ivyrill::access {

namespace {

constexpr std::string_view kLetters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr int kMostLevels = 8;
constexpr std::int64_t kLastSecond = 253'402'300'799;

constexpr std::array<std::int8_t, 256> make_worths() {
    std::array<std::int8_t, 256> worths{};
    for (auto& worth : worths) worth = -1;
    for (std::size_t i = 0; i < kLetters.size(); ++i)
        worths[static_cast<unsigned char>(kLetters[i])] = static_cast<std::int8_t>(i);
    return worths;
}
constexpr auto kWorths = make_worths();

} // namespace

std::string base64url(std::string_view bytes) {
    std::string out;
    out.reserve(bytes.size() * 4 / 3 + 3);
    std::uint32_t held = 0;
    int bits = 0;
    for (const unsigned char byte : bytes) {
        held = (held << 8U | byte) & 0xFFFFFU, bits += 8;
        for (; bits >= 6; bits -= 6) out += kLetters[held >> (bits - 6) & 63U];
    }
    if (bits > 0) out += kLetters[held << (6 - bits) & 63U];
    return out;
}

std::optional<std::string> read_base64url(std::string_view text) {
    if (text.size() % 4 == 1) return {};
    std::string out;
    out.reserve(text.size() * 3 / 4);
    std::uint32_t held = 0;
    int bits = 0;
    for (const unsigned char letter : text) {
        const int worth = kWorths[letter];
        if (worth < 0) return {};
        held = (held << 6U | static_cast<std::uint32_t>(worth)) & 0xFFFU, bits += 6;
        if (bits >= 8) bits -= 8, out += static_cast<char>(held >> bits & 0xFFU);
    }
    if ((held & ((1U << bits) - 1U)) != 0) return {}; // two texts must not mean the same bytes
    return out;
}

std::optional<nlohmann::json> read_object(std::string_view text) {
    using nlohmann::json;
    std::vector<std::set<std::string>> names;
    bool sound = true;
    const auto look = [&](int depth, json::parse_event_t event, json& value) {
        if (depth > kMostLevels) sound = false;
        if (event == json::parse_event_t::object_start) names.emplace_back();
        if (event == json::parse_event_t::object_end && !names.empty()) names.pop_back();
        if (event == json::parse_event_t::key && !names.empty())
            sound = names.back().insert(value.get<std::string>()).second && sound;
        return sound; // the rest is thrown away at once
    };
    json made = json::parse(text.begin(), text.end(), look, false);
    if (!sound || !made.is_object()) return {};
    return made;
}

std::optional<std::int64_t> read_seconds(const nlohmann::json& value) {
    if (!value.is_number_integer()) return {};
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(kLastSecond))
        return {};
    const auto seconds = value.get<std::int64_t>();
    if (seconds < 0 || seconds > kLastSecond) return {};
    return seconds * kTenthsPerSecond;
}

} // namespace ivyrill::access
