// Structured logging: one line of key=value pairs per event, on standard error. Callers aggregate events that
// can occur with every request and log their counts periodically.
#pragma once
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace ivyrill {

struct LogField {
    std::string_view key;
    std::string value; // quoted if it contains blanks, quotes or newlines
};

void set_log_identity(const std::string& node, const std::string& role); // included in every line
void set_log_silent(bool silent);                                        // for simulations of many processes
void log_line(std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace ivyrill
