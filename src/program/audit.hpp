// The audit log: one line with a JSON object for each refused request and each change of keys, to the
// operator's file or the log. Contains no secrets. The rate is limited; suppressed lines are counted and
// reported. Refusals, which unauthenticated clients can cause, have a limit of their own so that they don't
// suppress changes.
#pragma once
#include "operator/operator_settings.hpp"
#include "routing/events.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <memory>

namespace ivyrill::program {

class AuditLog {
  public:
    explicit AuditLog(const operators::AuditSettings& settings);
    void write(const routing::Audit& event, Ticks now);
    void write(nlohmann::ordered_json line, Ticks now); // with the key `what`

  private:
    struct Budget {
        int lines = 0;
        std::uint64_t suppressed = 0;
    };
    bool within_budget(Budget& budget, Ticks now);
    void write_line(nlohmann::ordered_json line, Ticks now);
    std::shared_ptr<spdlog::logger> logger_; // null: write to the log
    int max_lines_per_second_;
    Budget refusals_, changes_;
    Ticks second_ = 0;
};

} // namespace ivyrill::program
