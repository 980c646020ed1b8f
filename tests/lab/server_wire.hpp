// The index servers' side of the frames (`protocol/frames.hpp`), for stand-ins of these servers.
#pragma once
#include "protocol/values.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::lab {

inline std::string frame(char letter, const std::string& rest) {
    const std::size_t size = rest.size() + 1;
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(size >> shift & 0xFFU);
    return out + letter + rest;
}

struct RequestedPart {
    std::string id, query;
};

// The parts of a call; throws the exceptions of protocol::to_integer if a part is malformed.
inline std::vector<RequestedPart> parts_of(std::string_view call) {
    std::vector<RequestedPart> made;
    while (!call.empty()) {
        const std::size_t end = call.find('\n');
        const auto words = protocol::split(call.substr(0, end), ' ');
        const auto length = static_cast<std::size_t>(protocol::to_integer(words.at(3), "length"));
        made.push_back({std::string(words.at(0)), std::string(call.substr(end + 1, length))});
        call.remove_prefix(end + 1 + length);
    }
    return made;
}

} // namespace ivyrill::lab
