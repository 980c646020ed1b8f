// The log: spdlog to standard error. Lines that every search could cause go through `log_limited`, which
// writes a few per second and counts the rest.
#pragma once
#include <spdlog/spdlog.h>

#include <string>

namespace ivyrill::program {

void open_log(const std::string& name, const std::string& level);
spdlog::logger& log();
bool may_log_limited(); // counts the line in either case

template <class Value> void log_limited(const char* format, const Value& value) {
    if (may_log_limited()) log().warn(fmt::runtime(format), value);
}

} // namespace ivyrill::program
