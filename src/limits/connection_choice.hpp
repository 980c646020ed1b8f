// Which connection gives way when no further one may be open. Pure.
#pragma once
#include "limits/buffer_budget.hpp"

#include <iterator>

namespace ivyrill::limits {

// Of connections with an `account()`: the one that has been idle longest, else one that has stalled for
// longest; the end of the range if all of them are in use.
template <class Connections> auto find_least_used(Connections& connections, Ticks now) {
    auto chosen = std::end(connections);
    const auto rank = [now](const BufferBudget::Account& account) {
        if (account.phase() == BufferPhase::kIdle) return 2;
        const bool waits_for_peer =
            account.phase() == BufferPhase::kReceiving || account.phase() == BufferPhase::kSending;
        return waits_for_peer && account.has_stalled(now) ? 1 : 0;
    };
    for (auto candidate = std::begin(connections); candidate != std::end(connections); ++candidate) {
        const int rank_of_candidate = rank(candidate->account());
        if (rank_of_candidate == 0) continue;
        const int rank_of_chosen = chosen == std::end(connections) ? 0 : rank(chosen->account());
        const bool is_better = rank_of_candidate > rank_of_chosen ||
                               (rank_of_candidate == rank_of_chosen &&
                                candidate->account().phase_since() < chosen->account().phase_since());
        if (is_better) chosen = candidate;
    }
    return chosen;
}

} // namespace ivyrill::limits
