// Duties: tasks that one node at a time performs for the whole fleet. A duty is a kind and a subject. A hash
// of both maps it to one of the partitions; each partition has a small consensus group of its own
// (src/control/duty_partitions.hpp) whose leader holds all duties of the partition. The leader's term is the
// fencing token: terms are never reused and only increase. Pure.
#pragma once
#include "base/hash.hpp"
#include "duties/usage_ledger.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace ivyrill::duties {

inline constexpr std::size_t kDutyPartitions = 4;

enum class DutyKind : std::uint8_t {
    kServerStages, // subject: a service; which of its servers do prefill and which do decode
    kUsageReport,  // single, empty subject: requests of each tenant in each window (`POST /usage`)
    kServerCount   // subject: a service and a zone; number of its servers there (`POST /scale`)
};

struct Duty {
    DutyKind kind = DutyKind::kServerStages;
    std::string subject;
    friend auto operator<=>(const Duty&, const Duty&) = default;
};

inline Duty usage_report_duty() { return {DutyKind::kUsageReport, ""}; }
inline Duty server_count_duty(const std::string& service, const std::string& zone) {
    return {DutyKind::kServerCount, service + "/" + zone};
}

inline std::size_t partition_of(const Duty& duty) {
    return hash_text(duty.subject, static_cast<std::uint64_t>(duty.kind) + 1) % kDutyPartitions;
}

// Replicated state of a partition's group.
struct PartitionState {
    // Term of the last leader that shut down gracefully: it had stopped acting before it proposed this, so
    // the leader of the next term need not wait for its lease to expire.
    std::uint64_t released_term = 0;
    UsageLedger usage = {}; // used only in the partition of the usage report
    template <class Self> static auto tie(Self& s) { return std::tie(s.released_term, s.usage); }
};

// Decodes the stored or replicated state. Also accepts the format of earlier versions, without a ledger; the
// ledger then starts empty. None if the payload has neither format.
std::optional<PartitionState> read_partition_state(std::string_view payload);

// Whether the leader of `term` follows a leader that released its lease.
inline bool was_handed_over(const PartitionState& state, std::uint64_t term) {
    return state.released_term > 0 && state.released_term + 1 == term;
}

} // namespace ivyrill::duties
