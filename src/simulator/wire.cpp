#include "simulator/wire.hpp"

namespace ivyrill::simulator {

using protocol::quoted;
using protocol::split;
using protocol::to_bool;
using protocol::to_integer;
using protocol::to_number;

Message::Message(std::string_view text) {
    const auto pieces = split(text, ' ');
    if (pieces.empty()) throw WireError("empty line");
    name_ = pieces[0];
    for (std::size_t i = 1; i < pieces.size(); ++i) {
        const std::size_t at = pieces[i].find('=');
        if (at == std::string_view::npos) {
            if (!pieces[i].empty()) malformed_word_ = pieces[i];
            continue;
        }
        fields_[pieces[i].substr(0, at)] = pieces[i].substr(at + 1);
    }
}

bool Message::has(std::string_view field) const {
    if (!malformed_word_.empty())
        throw WireError(std::string(name_) + ": field without a value: " + quoted(malformed_word_));
    return fields_.contains(field);
}

std::string_view Message::text(std::string_view field) const {
    if (!has(field)) throw WireError(std::string(name_) + ": missing " + std::string(field));
    return fields_.find(field)->second;
}

std::int64_t Message::integer(std::string_view field, std::int64_t default_value) const {
    return has(field) ? integer(field) : default_value;
}

std::int64_t Message::integer_within(std::string_view field, std::int64_t min, std::int64_t max) const {
    const std::int64_t value = integer(field);
    if (value < min || value > max)
        throw WireError(std::string(name_) + " " + std::string(field) +
                        ": out of range: " + quoted(text(field)));
    return value;
}

double Message::number(std::string_view field, double default_value) const {
    return has(field) ? to_number(text(field), field) : default_value;
}

bool Message::flag(std::string_view field) const { return has(field) && to_bool(text(field), field); }

SchedulerConfig read_scheduler_config(const Message& opening) {
    return protocol::read_scheduler_config(opening.fields(),
                                           static_cast<std::uint64_t>(opening.integer("Nonce64", 0)));
}

LoadReport read_report(const Message& message) {
    LoadReport report;
    if (!message.has("Report")) return report;
    // `-` or nothing: no report
    protocol::for_each_pair(message.text("Report"), ':',
                            [&report](std::string_view name, std::string_view value) {
                                if (name == "busy_reqs") report.in_flight = to_number(value, name);
                                if (name == "pending") report.queued = to_number(value, name);
                            });
    return report;
}

Outcome read_outcome(std::string_view value) {
    if (value == "pass") return Outcome::kAnswered;
    if (value == "fault") return Outcome::kError;
    if (value == "no_room") return Outcome::kRejected;
    if (value == "too_slow") return Outcome::kTimedOut;
    if (value == "no_route") return Outcome::kConnectTimeout;
    if (value == "cut") return Outcome::kConnectionLost;
    if (value == "undone") return Outcome::kCancelled;
    if (value == "stale_send") return Outcome::kNotSent;
    throw WireError("How: unknown value: " + quoted(value));
}

ListedState read_listed(std::string_view value) {
    if (value == "live") return ListedState::kLive;
    if (value == "quiescing") return ListedState::kDraining;
    if (value == "dead") return ListedState::kGone;
    throw WireError("Availability: unknown value: " + quoted(value));
}

ServerListKind read_list_kind(std::string_view value) {
    if (value == "incr") return ServerListKind::kDelta;
    if (value == "total") return ServerListKind::kFull;
    if (value == "warm_copy") return ServerListKind::kPersisted;
    if (value == "lost") return ServerListKind::kQueryFailed;
    throw WireError("Scope: unknown value: " + quoted(value));
}

} // namespace ivyrill::simulator
