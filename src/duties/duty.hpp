// Duties: work that one node at a time does for the whole fleet. A duty is a kind and a subject; by their
// hash it falls to one of the parts, each of which has a small group of its own
// (src/control/duty_partitions.hpp) whose leader holds all duties of the part. The leader's term is the
// fence: terms are never used twice and never fall. Pure.
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
    kServerStages, // subject: a service; which of its servers read prompts and which run them
    kUsageReport,  // one subject, the empty one: each tenant's requests in each window (`POST /usage`)
    kServerCount   // subject: a service and a zone; how many of its servers run there (`POST /scale`)
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

// What a part's group agrees on beside its leader.
struct PartitionState {
    // A leader that ended by plan had stopped to act before it proposed this: whoever leads the next term
    // need not wait for its lease.
    std::uint64_t released_term = 0;
    UsageLedger usage = {}; // of the part that the usage report falls to
    template <class Self> static auto tie(Self& s) { return std::tie(s.released_term, s.usage); }
};

// As it lies on the disk or is agreed on; also in the form without a ledger, which former versions wrote:
// then nothing was ever reported, and the ledger has not begun. None where it has neither form.
std::optional<PartitionState> read_partition_state(std::string_view payload);

// Whether the leader of `term` follows one that said that it acts no more.
inline bool was_handed_over(const PartitionState& state, std::uint64_t term) {
    return state.released_term > 0 && state.released_term + 1 == term;
}

} // namespace ivyrill::duties
