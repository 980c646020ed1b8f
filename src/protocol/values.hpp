// Parses numbers, booleans and lists from text. Malformed input throws ProtocolError with a message that
// names the field.
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

std::string quoted(std::string_view text); // shortened, for error messages
std::vector<std::string_view> split(std::string_view text, char at);
// Calls `each` with the name and value of every comma-separated pair; skips items without the separator.
template <class Each> void for_each_pair(std::string_view text, char separator, Each each) {
    for (const std::string_view pair : split(text, ','))
        if (const std::size_t at = pair.find(separator); at != std::string_view::npos)
            each(pair.substr(0, at), pair.substr(at + 1));
}
std::int64_t to_integer(std::string_view text, std::string_view name);
double to_number(std::string_view text, std::string_view name);
bool to_bool(std::string_view text, std::string_view name);

} // namespace ivyrill::protocol
