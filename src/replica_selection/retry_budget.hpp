// How many arrivals beyond the first of each request this node may cause. The bound is on all nodes together:
// each spends the ratio on its own requests, and its part of the slack by the largest number of nodes that
// may share it, so that it holds also while they can't hear each other.
#pragma once
#include "base/time.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace ivyrill::replica_selection {

class RetryBudget {
  public:
    struct Terms {
        double ratio = 0;  // of requests
        double slack = 0;  // further arrivals, over all nodes
        Tenths window = 0; // in which both are counted
    };
    explicit RetryBudget(Terms terms) : terms_(terms) {}

    void set_edge_nodes(std::size_t count, Tenths now) {
        if (count >= nodes_ || now - nodes_at_ > 3 * terms_.window)
            nodes_ = std::max<std::size_t>(count, 1), nodes_at_ = now;
    }
    void request(Tenths now) { note(requests_, now); }
    // Whether one more may go.
    bool has_room(Tenths now) {
        forget(requests_, now), forget(further_, now);
        // Nodes that start anew have forgotten what they spent: room for some of them is left.
        const double share = terms_.slack / static_cast<double>(nodes_ + 1 + nodes_ / 4);
        const double allowed =
            kSafety * terms_.ratio * static_cast<double>(requests_.size()) + kSafety * share;
        return static_cast<double>(further_.size() + 1) <= allowed;
    }
    // One that nobody could ask about before, such as a reading that was turned away.
    void charge(Tenths now) { note(further_, now); }
    // Whether one more may go, which is then counted.
    bool spend(Tenths now) {
        if (!has_room(now)) return false;
        charge(now);
        return true;
    }

  private:
    static constexpr double kSafety = 0.8; // the bench's windows slide otherwise than ours
    void note(std::deque<Tenths>& times, Tenths now) { forget(times, now), times.push_back(now); }
    void forget(std::deque<Tenths>& times, Tenths now) const {
        while (!times.empty() && times.front() <= now - terms_.window) times.pop_front();
    }
    Terms terms_;
    std::size_t nodes_ = 1;
    Tenths nodes_at_ = 0;
    std::deque<Tenths> requests_, further_;
};

// One budget for each service: requests of one pay for no further arrivals at another.
class RetryBudgets {
  public:
    explicit RetryBudgets(RetryBudget::Terms terms) : terms_(terms) {}

    RetryBudget& of(const std::string& service) {
        const auto [place, fresh] = budgets_.try_emplace(service, terms_);
        if (fresh) place->second.set_edge_nodes(nodes_, nodes_at_);
        return place->second;
    }
    void set_edge_nodes(std::size_t count, Tenths now) {
        nodes_ = count, nodes_at_ = now;
        for (auto& [service, budget] : budgets_) budget.set_edge_nodes(count, now);
    }
    // Services that the configuration no longer has are forgotten with what they spent.
    template <class Known> void keep_only(Known known) {
        std::erase_if(budgets_, [&](const auto& entry) { return !known(entry.first); });
    }

  private:
    RetryBudget::Terms terms_;
    std::size_t nodes_ = 1;
    Tenths nodes_at_ = 0;
    std::map<std::string, RetryBudget> budgets_;
};

} // namespace ivyrill::replica_selection
