// The log of the fleet's programs: one line of key=value pairs for each event, on standard error, by fmt.
// What could come with every request is counted and told every so often by its caller, not logged line by
// line.
#pragma once
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace ivyrill {

struct LogField {
    std::string_view key;
    std::string value; // quoted where it holds blanks, quotes or line ends
};

void set_log_identity(const std::string& node, const std::string& role); // written into every line
void set_log_silent(bool silent); // for simulations, whose many processes would all write
void log_line(std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace ivyrill
