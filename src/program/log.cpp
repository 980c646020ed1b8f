#include "program/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

#include <chrono>

namespace ivyrill::program {

namespace {

constexpr int kMaxLinesPerSecond = 5;

} // namespace

void open_log(const std::string& name, const std::string& level) {
    auto logger = spdlog::stderr_logger_mt(name.empty() ? "ivyrill" : name);
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %n %l %v");
    logger->set_level(spdlog::level::from_str(level));
    spdlog::set_default_logger(std::move(logger));
}

spdlog::logger& log() { return *spdlog::default_logger_raw(); }

bool may_log_limited() {
    static std::int64_t second = 0;
    static int lines = 0, dropped = 0;
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const std::int64_t this_second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    if (this_second != second) {
        if (dropped > 0) log().warn("{} further lines were suppressed", dropped);
        second = this_second, lines = dropped = 0;
    }
    if (++lines <= kMaxLinesPerSecond) return true;
    ++dropped;
    return false;
}

} // namespace ivyrill::program
