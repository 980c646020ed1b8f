// Retry budget: how many sends beyond the first of each request this node may make. The limit is for all
// nodes together: each node uses the ratio for its own requests, and an equal part
// of the slack: the slack divided by the largest number of nodes that may be using it, so that the limit
// holds during a partition too.
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
    struct Limits {
        double ratio = 0; // of requests
        double slack = 0; // retries beyond the ratio, over all nodes
        Ticks window = 0; // in which both are counted
    };
    explicit RetryBudget(Limits limits) : limits_(limits) {}

    void set_edge_nodes(std::size_t count, Ticks now) {
        if (count >= nodes_ || now - nodes_at_ > 3 * limits_.window)
            nodes_ = std::max<std::size_t>(count, 1), nodes_at_ = now;
    }
    void count_request(Ticks now) { add(requests_, now); }
    // Whether one more retry is allowed.
    bool has_room(Ticks now) {
        expire(requests_, now), expire(retries_, now);
        // Nodes lose their count when they restart: leaves room for some of them.
        const double share = limits_.slack / static_cast<double>(nodes_ + 1 + nodes_ / 4);
        const double allowed =
            kSafety * limits_.ratio * static_cast<double>(requests_.size()) + kSafety * share;
        return static_cast<double>(retries_.size() + 1) <= allowed;
    }
    // Counts a retry that could not be checked beforehand, such as a rejected prefill.
    void count_retry(Ticks now) { add(retries_, now); }
    // Counts one more retry if it is allowed.
    bool try_retry(Ticks now) {
        if (!has_room(now)) return false;
        count_retry(now);
        return true;
    }

  private:
    static constexpr double kSafety = 0.8; // keeps the rate below the limit in windows of any alignment
    void add(std::deque<Ticks>& times, Ticks now) { expire(times, now), times.push_back(now); }
    void expire(std::deque<Ticks>& times, Ticks now) const {
        while (!times.empty() && times.front() <= now - limits_.window) times.pop_front();
    }
    Limits limits_;
    std::size_t nodes_ = 1;
    Ticks nodes_at_ = 0;
    std::deque<Ticks> requests_, retries_;
};

// One budget per service: requests of one service do not allow retries at another.
class RetryBudgets {
  public:
    explicit RetryBudgets(RetryBudget::Limits limits) : limits_(limits) {}

    RetryBudget& of(const std::string& service) {
        const auto [entry, is_new] = budgets_.try_emplace(service, limits_);
        if (is_new) entry->second.set_edge_nodes(nodes_, nodes_at_);
        return entry->second;
    }
    void set_edge_nodes(std::size_t count, Ticks now) {
        nodes_ = count, nodes_at_ = now;
        for (auto& [service, budget] : budgets_) budget.set_edge_nodes(count, now);
    }
    // Drops the budgets of services that the configuration no longer has.
    template <class Known> void keep_only(Known known) {
        std::erase_if(budgets_, [&](const auto& entry) { return !known(entry.first); });
    }

  private:
    RetryBudget::Limits limits_;
    std::size_t nodes_ = 1;
    Ticks nodes_at_ = 0;
    std::map<std::string, RetryBudget> budgets_;
};

} // namespace ivyrill::replica_selection
