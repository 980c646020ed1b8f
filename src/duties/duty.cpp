#include "duties/duty.hpp"

#include "wire/cbor.hpp"

namespace ivyrill::duties {

namespace {

struct PartStateWithoutLedger {
    std::uint64_t released_term = 0;
    template <class Self> static auto tie(Self& s) { return std::tie(s.released_term); }
};

} // namespace

std::optional<PartitionState> read_partition_state(std::string_view payload) {
    if (auto read = wire::from_bytes<PartitionState>(payload); read.has_value())
        return std::move(read.value());
    const auto legacy = wire::from_bytes<PartStateWithoutLedger>(payload);
    if (legacy.has_error()) return std::nullopt;
    return PartitionState{legacy.value().released_term, {}};
}

} // namespace ivyrill::duties
