#include "program/audit.hpp"

#include "program/log.hpp"

#include <spdlog/sinks/basic_file_sink.h>

#include <utility>

namespace ivyrill::program {

using nlohmann::ordered_json;

AuditLog::AuditLog(const operators::AuditSettings& settings)
    : max_lines_per_second_(settings.max_lines_per_second) {
    if (settings.file.empty()) return;
    logger_ = std::make_shared<spdlog::logger>(
        "audit", std::make_shared<spdlog::sinks::basic_file_sink_st>(settings.file));
    logger_->set_pattern("%v");
    logger_->flush_on(spdlog::level::info);
}

bool AuditLog::within_budget(Budget& budget, Ticks now) {
    const Ticks second = now / kTicksPerSecond;
    if (second != second_) {
        second_ = second;
        for (Budget* each : {&refusals_, &changes_}) {
            each->lines = 0;
            if (each->suppressed > 0)
                write_line({{"what", each == &refusals_ ? "refusals-left-out" : "changes-left-out"},
                            {"lines", std::exchange(each->suppressed, 0)}},
                           now);
        }
    }
    if (budget.lines >= max_lines_per_second_) return ++budget.suppressed, false;
    return ++budget.lines, true;
}

void AuditLog::write(const routing::Audit& event, Ticks now) {
    ordered_json record = {{"what", event.what}};
    if (event.reason != access::Reason::kAdmitted) record["reason"] = access::name_of(event.reason);
    for (const auto& [name, text] :
         {std::pair{"club", &event.club}, std::pair{"member", &event.member}, std::pair{"key", &event.key},
          std::pair{"product", &event.request_class}, std::pair{"search", &event.search}})
        if (!text->empty()) record[name] = text->substr(0, 128);
    if (within_budget(event.what == "refused" ? refusals_ : changes_, now))
        write_line(std::move(record), now);
}

void AuditLog::write(ordered_json line, Ticks now) {
    if (within_budget(changes_, now)) write_line(std::move(line), now);
}

void AuditLog::write_line(ordered_json line, Ticks now) {
    line["at_ms"] = now / (kTicksPerSecond / 1000);
    const std::string text = line.dump(-1, ' ', true, ordered_json::error_handler_t::replace);
    if (logger_)
        logger_->info("{}", text);
    else
        log().info("audit {}", text);
}

} // namespace ivyrill::program
