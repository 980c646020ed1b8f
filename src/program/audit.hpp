// The audit log: one JSON object a line for each refusal and each change of keys, by spdlog, to a file of the
// operator's or among the log. No secret is in it. Bounded in rate: what is left out is counted and told.
// Refusals, which any stranger can cause, have a bound of their own, so that they crowd out no change.
#pragma once
#include "operator/operator_settings.hpp"
#include "routing/events.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <memory>

namespace ivyrill::program {

class AuditLog {
  public:
    explicit AuditLog(const operators::AuditSettings& orders);
    void write(const routing::Audit& line, Tenths now);
    void write(nlohmann::ordered_json line, Tenths now); // `what` and the rest

  private:
    struct Budget {
        int lines = 0;
        std::uint64_t left_out = 0;
    };
    bool may_write(Budget& budget, Tenths now);
    void put(nlohmann::ordered_json line, Tenths now);
    std::shared_ptr<spdlog::logger> logger_; // null: among the log
    int most_;
    Budget refusals_, changes_;
    Tenths second_ = 0;
};

} // namespace ivyrill::program
