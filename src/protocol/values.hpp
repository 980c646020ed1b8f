// Numbers and words out of text. Whatever is malformed is thrown as ProtocolError, with a message that names
// the place.
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::protocol {

class ProtocolError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

std::string quoted(std::string_view text); // shortened, for messages
std::vector<std::string_view> split(std::string_view text, char at);
std::int64_t to_integer(std::string_view text, std::string_view name);
double to_number(std::string_view text, std::string_view name);
bool to_bool(std::string_view text, std::string_view name);

} // namespace ivyrill::protocol
