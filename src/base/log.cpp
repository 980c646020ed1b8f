#include "base/log.hpp"

#include <atomic>
#include <cstdio>
#include <ctime>
#include <date/date.h>
#include <fmt/core.h>
#include <fmt/format.h>

namespace ivyrill {

namespace {

std::string identity_fields; // the node and role fields of every line
std::atomic<bool> is_silent = false;

void append_value(std::string& line, std::string_view value) {
    if (!value.empty() && value.find_first_of(" \"\n\r\t=") == std::string_view::npos) {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (const char character : value) {
        if (character == '"' || character == '\\') line.push_back('\\');
        line.push_back(character == '\n' || character == '\r' ? ' ' : character);
    }
    line.push_back('"');
}

} // namespace

void set_log_identity(const std::string& node, const std::string& role) {
    identity_fields = fmt::format(" node={} role={}", node, role);
}

void set_log_silent(bool silent) { is_silent = silent; }

void log_line(std::string_view event, std::initializer_list<LogField> fields) {
    if (is_silent) return;
    const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    std::string line = "time=" + date::format("%FT%TZ", now) + identity_fields;
    line.append(" event=").append(event);
    for (const LogField& field : fields) {
        line.append(" ").append(field.key).append("=");
        append_value(line, field.value);
    }
    line.push_back('\n');
    fmt::print(stderr, "{}", line);
}

} // namespace ivyrill
