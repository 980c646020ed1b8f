#include "program/audit.hpp"

#include "program/log.hpp"

#include <spdlog/sinks/basic_file_sink.h>

#include <utility>

namespace ivyrill::program {

using nlohmann::ordered_json;

AuditLog::AuditLog(const operators::AuditSettings& orders) : most_(orders.max_lines_per_second) {
    if (orders.file.empty()) return;
    logger_ = std::make_shared<spdlog::logger>(
        "audit", std::make_shared<spdlog::sinks::basic_file_sink_st>(orders.file));
    logger_->set_pattern("%v");
    logger_->flush_on(spdlog::level::info);
}

bool AuditLog::may_write(Budget& budget, Tenths now) {
    const Tenths second = now / kTenthsPerSecond;
    if (second != second_) {
        second_ = second;
        for (Budget* each : {&refusals_, &changes_}) {
            each->lines = 0;
            if (each->left_out > 0)
                put({{"what", each == &refusals_ ? "refusals-left-out" : "changes-left-out"},
                     {"lines", std::exchange(each->left_out, 0)}},
                    now);
        }
    }
    if (budget.lines >= most_) return ++budget.left_out, false;
    return ++budget.lines, true;
}

void AuditLog::write(const routing::Audit& line, Tenths now) {
    ordered_json made = {{"what", line.what}};
    if (line.reason != access::Reason::kAdmitted) made["reason"] = access::name_of(line.reason);
    for (const auto& [name, text] :
         {std::pair{"club", &line.club}, std::pair{"member", &line.member}, std::pair{"key", &line.key},
          std::pair{"product", &line.request_class}, std::pair{"search", &line.search}})
        if (!text->empty()) made[name] = text->substr(0, 128);
    if (may_write(line.what == "refused" ? refusals_ : changes_, now)) put(std::move(made), now);
}

void AuditLog::write(ordered_json line, Tenths now) {
    if (may_write(changes_, now)) put(std::move(line), now);
}

void AuditLog::put(ordered_json line, Tenths now) {
    line["at_ms"] = now / (kTenthsPerSecond / 1000);
    const std::string text = line.dump(-1, ' ', true, ordered_json::error_handler_t::replace);
    if (logger_)
        logger_->info("{}", text);
    else
        log().info("audit {}", text);
}

} // namespace ivyrill::program
