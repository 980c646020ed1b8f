#include "drill/wire.hpp"

namespace ivyrill::drill {

using protocol::quoted;
using protocol::split;
using protocol::to_bool;
using protocol::to_integer;
using protocol::to_number;

Line::Line(std::string_view text) {
    const auto pieces = split(text, ' ');
    if (pieces.empty()) throw WireError("empty line");
    name_ = pieces[0];
    for (std::size_t i = 1; i < pieces.size(); ++i) {
        const std::size_t at = pieces[i].find('=');
        if (at == std::string_view::npos) {
            if (!pieces[i].empty()) stray_ = pieces[i];
            continue;
        }
        fields_[pieces[i].substr(0, at)] = pieces[i].substr(at + 1);
    }
}

bool Line::has(std::string_view field) const {
    if (!stray_.empty()) throw WireError(std::string(name_) + ": no value: " + quoted(stray_));
    return fields_.contains(field);
}

std::string_view Line::text(std::string_view field) const {
    if (!has(field)) throw WireError(std::string(name_) + ": missing " + std::string(field));
    return fields_.find(field)->second;
}

std::int64_t Line::integer(std::string_view field, std::int64_t absent) const {
    return has(field) ? integer(field) : absent;
}

std::int64_t Line::integer_within(std::string_view field, std::int64_t least, std::int64_t most) const {
    const std::int64_t value = integer(field);
    if (value < least || value > most)
        throw WireError(std::string(name_) + " " + std::string(field) +
                        ": out of range: " + quoted(text(field)));
    return value;
}

double Line::number(std::string_view field, double absent) const {
    return has(field) ? to_number(text(field), field) : absent;
}

bool Line::flag(std::string_view field) const { return has(field) && to_bool(text(field), field); }

SchedulerConfig read_terms(const Line& opening) {
    return protocol::read_terms(opening.fields(), static_cast<std::uint64_t>(opening.integer("Nonce64", 0)));
}

LoadReport read_report(const Line& line) {
    LoadReport report;
    if (!line.has("Report")) return report;
    // `-` or nothing: no report
    protocol::for_each_pair(line.text("Report"), ':',
                            [&report](std::string_view name, std::string_view value) {
                                if (name == "busy_reqs") report.in_flight = to_number(value, name);
                                if (name == "pending") report.queued = to_number(value, name);
                            });
    return report;
}

Outcome read_outcome(std::string_view word) {
    if (word == "pass") return Outcome::kAnswered;
    if (word == "fault") return Outcome::kError;
    if (word == "no_room") return Outcome::kRejected;
    if (word == "too_slow") return Outcome::kTimedOut;
    if (word == "no_route") return Outcome::kConnectTimeout;
    if (word == "cut") return Outcome::kConnectionLost;
    if (word == "undone") return Outcome::kCancelled;
    if (word == "stale_send") return Outcome::kNotSent;
    throw WireError("How: unknown: " + quoted(word));
}

ListedState read_listed(std::string_view word) {
    if (word == "live") return ListedState::kLive;
    if (word == "quiescing") return ListedState::kDraining;
    if (word == "dead") return ListedState::kGone;
    throw WireError("Availability: unknown: " + quoted(word));
}

ListKind read_list_kind(std::string_view word) {
    if (word == "incr") return ListKind::kChanges;
    if (word == "total") return ListKind::kWhole;
    if (word == "warm_copy") return ListKind::kSaved;
    if (word == "lost") return ListKind::kLost;
    throw WireError("Scope: unknown: " + quoted(word));
}

} // namespace ivyrill::drill
