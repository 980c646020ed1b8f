#include "protocol/values.hpp"

#include <charconv>
#include <cmath>

namespace ivyrill::protocol {

namespace {

template <class Number> Number parse(std::string_view text, std::string_view name) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        throw ProtocolError(std::string(name) + ": not a number: " + quoted(text));
    return value;
}

} // namespace

std::string quoted(std::string_view text) { return "'" + std::string(text.substr(0, 80)) + "'"; }

std::vector<std::string_view> split(std::string_view text, char at) {
    std::vector<std::string_view> pieces;
    if (text.empty()) return pieces;
    for (std::size_t begin = 0;;) {
        const std::size_t end = text.find(at, begin);
        pieces.push_back(text.substr(begin, end - begin));
        if (end == std::string_view::npos) return pieces;
        begin = end + 1;
    }
}

std::int64_t to_integer(std::string_view text, std::string_view name) {
    return parse<std::int64_t>(text, name);
}

double to_number(std::string_view text, std::string_view name) {
    const auto value = parse<double>(text, name);
    if (!std::isfinite(value)) throw ProtocolError(std::string(name) + ": not finite: " + quoted(text));
    return value;
}

bool to_bool(std::string_view text, std::string_view name) {
    if (text == "1" || text == "true") return true;
    if (text == "0" || text == "false") return false;
    throw ProtocolError(std::string(name) + ": neither true nor false: " + quoted(text));
}

} // namespace ivyrill::protocol
