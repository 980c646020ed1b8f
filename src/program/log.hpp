// The log: spdlog to standard error. What could come with every search goes through `log_some`, which lets a
// few lines a second pass and counts the rest.
#pragma once
#include <spdlog/spdlog.h>

#include <string>

namespace ivyrill::program {

void open_log(const std::string& name, const std::string& level);
spdlog::logger& log();
bool may_log_some(); // counts, too

template <class What> void log_some(const char* form, const What& what) {
    if (may_log_some()) log().warn(fmt::runtime(form), what);
}

} // namespace ivyrill::program
