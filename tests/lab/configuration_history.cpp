#include "lab/configuration_history.hpp"

#include <algorithm>
#include <iterator>

namespace ivyrill::lab {

namespace {

std::string words(const Order& order) {
    return std::to_string(order.version) + " on " + std::to_string(order.base);
}

} // namespace

OrderNumber ConfigurationHistory::begin(std::int64_t base, std::int64_t version, Ticks now) {
    Order& order = orders_.emplace_back();
    order.base = base, order.version = version, order.first_sent = now;
    return orders_.size() - 1;
}

// At most one order is in force per base version, and one per number; no rejected order is in force.
void ConfigurationHistory::put_in_force(OrderNumber number, const std::string& where) {
    Order& order = orders_[number];
    if (order.state == OrderState::kRefused)
        break_promise("refused and in force: " + words(order) + ", " + where);
    order.in_force = true;
    const auto [on_base, fresh_base] = by_base_.try_emplace(order.base, number);
    if (on_base->second != number)
        break_promise("two in force on one version: " + words(order) + ", " + where);
    const auto [under_number, fresh_version] = by_version_.try_emplace(order.version, number);
    if (under_number->second != number)
        break_promise("two in force under one number: " + words(order) + ", " + where);
}

std::int64_t ConfigurationHistory::known_before(Ticks at) const {
    const auto after = known_at_.lower_bound(at);
    return after == known_at_.begin() ? 0 : std::prev(after)->second;
}

void ConfigurationHistory::acknowledged(OrderNumber number, Ticks now) {
    Order& order = orders_[number];
    if (order.state == OrderState::kRefused) break_promise("refused, then acknowledged: " + words(order));
    order.state = OrderState::kAcknowledged, order.answered_at = now;
    put_in_force(number, "acknowledged");
    newest_acknowledged_ = std::max(newest_acknowledged_, order.version);
    const std::int64_t known = std::max(order.version, known_at_.empty() ? 0 : known_at_.rbegin()->second);
    known_at_[now] = known;
}

void ConfigurationHistory::refused(OrderNumber number, Ticks now) {
    Order& order = orders_[number];
    if (order.state == OrderState::kAcknowledged || order.in_force)
        break_promise("taken, then refused: " + words(order));
    order.state = OrderState::kRefused, order.answered_at = now;
}

void ConfigurationHistory::seen(OrderNumber number, const std::string& where) {
    if (!orders_[number].in_force || orders_[number].state == OrderState::kRefused)
        put_in_force(number, where);
}

// Older than the version acknowledged, or read, before the request was sent: no linearization explains it.
void ConfigurationHistory::read(std::optional<OrderNumber> number, Ticks asked_at, Ticks now,
                                const std::string& where) {
    if (number) seen(*number, where);
    const std::int64_t version = number ? orders_[*number].version : 0;
    const std::int64_t known = known_before(asked_at);
    if (version < known)
        break_promise("read " + std::to_string(version) + " after " + std::to_string(known) + ", " + where);
    const std::int64_t newest = known_at_.empty() ? 0 : known_at_.rbegin()->second;
    known_at_[now] = std::max(version, newest);
}

} // namespace ivyrill::lab
