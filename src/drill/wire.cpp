#include "drill/wire.hpp"

#include <charconv>
#include <cmath>
#include <limits>
#include <vector>

namespace ivyrill::drill {

namespace {

constexpr std::int64_t kMostListed = 10'000; // items that one list in the settings may have

std::string quoted(std::string_view text) { return "'" + std::string(text.substr(0, 80)) + "'"; }

std::vector<std::string_view> split(std::string_view text, char at) {
    std::vector<std::string_view> pieces;
    if (text.empty()) return pieces;
    for (std::size_t begin = 0;;) {
        const std::size_t end = text.find(at, begin);
        pieces.push_back(text.substr(begin, end - begin));
        if (end == std::string_view::npos) return pieces;
        begin = end + 1;
    }
}

template <class Number> Number parse(std::string_view text, std::string_view name) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        throw WireError(std::string(name) + ": not a number: " + quoted(text));
    return value;
}

// The settings by their paths. Unknown ones are never asked for.
class Settled {
  public:
    explicit Settled(const Line& line) : line_(line) {}

    std::int64_t integer(const std::string& path, std::int64_t absent) const {
        if (!line_.has(path)) return absent;
        const std::int64_t value = line_.integer(path);
        if (value < 0) throw WireError(path + ": below zero: " + quoted(line_.text(path)));
        return value;
    }
    int whole(const std::string& path, int absent) const {
        const std::int64_t value = integer(path, absent);
        if (value > std::numeric_limits<int>::max()) throw WireError(path + ": too large");
        return static_cast<int>(value);
    }
    int at_least_one(const std::string& path, int absent) const {
        const int value = whole(path, absent);
        if (value < 1) throw WireError(path + ": must be 1 or more");
        return value;
    }
    double number(const std::string& path, double absent) const {
        const double value = line_.number(path, absent);
        if (value < 0) throw WireError(path + ": below zero: " + quoted(line_.text(path)));
        return value;
    }
    bool flag(const std::string& path) const { return line_.flag(path); }
    std::string_view word(const std::string& path, std::string_view absent) const {
        return line_.has(path) ? line_.text(path) : absent;
    }
    Tenths to_use(const std::string& path, std::int64_t absent = 0) const {
        return tenths_to_use(integer(path, absent));
    }
    Tenths to_wait(const std::string& path) const { return tenths_to_wait(integer(path, 0)); }
    std::size_t count(const std::string& path) const {
        const std::int64_t value = integer(path + ".count", 0);
        if (value > kMostListed) throw WireError(path + ".count: too large");
        return static_cast<std::size_t>(value);
    }
    double listed(const std::string& path, std::size_t place, double absent) const {
        const auto values = split(word(path, ""), ',');
        return place < values.size() ? to_number(values[place], path) : absent;
    }

  private:
    const Line& line_;
};

Effect read_effect(std::string_view word, const std::string& path) {
    if (word == "read_like") return Effect::kReissuable;
    if (word == "idempotency_key") return Effect::kNumbered;
    if (word == "non_idempotent") return Effect::kAtMostOnce;
    throw WireError(path + ": unknown: " + quoted(word));
}

} // namespace

std::int64_t to_integer(std::string_view text, std::string_view name) {
    return parse<std::int64_t>(text, name);
}

double to_number(std::string_view text, std::string_view name) {
    const auto value = parse<double>(text, name);
    if (!std::isfinite(value)) throw WireError(std::string(name) + ": not finite: " + quoted(text));
    return value;
}

bool to_bool(std::string_view text, std::string_view name) {
    if (text == "1" || text == "true") return true;
    if (text == "0" || text == "false") return false;
    throw WireError(std::string(name) + ": neither true nor false: " + quoted(text));
}

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

OpeningTerms read_terms(const Line& opening) {
    const Settled settled(opening);
    OpeningTerms terms;
    terms.seed = static_cast<std::uint64_t>(opening.integer("Nonce64", 0));
    for (std::size_t i = 0; i < settled.count("Grades"); ++i) {
        const std::string row = "Grades." + std::to_string(i) + ".";
        ProductTerms product;
        product.due_span = settled.to_use(row + "AimUs");
        product.expiry_span = settled.to_use(row + "DeadlineUs");
        product.repeat_window = settled.to_use(row + "WindowUs");
        product.effect = read_effect(settled.word(row + "Idempotency", "read_like"), row + "Idempotency");
        product.payoff = settled.number(row + "Worth", 1);
        product.late_share = settled.number(row + "LateShare", 0);
        product.floor = settled.listed("Specifics.ClassFloor", i, 1);
        product.need = settled.listed("Specifics.ClassNeed", i, 1);
        product.follow_up = static_cast<int>(settled.listed("Specifics.FollowUp", i, 0));
        terms.products.push_back(product);
    }
    for (std::size_t i = 0; i < settled.count("Tenants"); ++i)
        terms.tenants.push_back({settled.number("Tenants." + std::to_string(i) + ".QuotaPerS", 0)});
    terms.front_nodes = settled.at_least_one("PeersTotal", 1);
    terms.turn_gap = settled.to_wait("QuantumUs");
    terms.cold_span = settled.to_wait("Contract.ColdUs");
    terms.cold_share = settled.number("Contract.ColdShare", 1);
    terms.fall_span = settled.to_wait("Contract.FallUs");
    terms.fall_multiple = settled.number("Contract.OverloadFactor", 1);
    terms.launch_budget = opening.has("Contract.RatioSpanUs");
    terms.spare_launches = settled.number("Contract.SpareAttempts", 0);
    terms.further_ratio = settled.number("Contract.FurtherRatio", 0);
    terms.budget_span = settled.to_wait("Contract.RatioSpanUs");
    terms.longest_come_back = settled.to_use("Limits.MaxRetryAfterUs");
    terms.most_launches = settled.at_least_one("Limits.MostTries", 1);
    terms.repeats_marked = settled.flag("Clients.MarksRetry");
    terms.may_recall = settled.flag("Limits.MayCancel");
    terms.may_probe = settled.flag("Limits.Probes");
    terms.may_advise = settled.flag("Limits.RetryAfter");
    terms.second_copies = settled.flag("Limits.SecondCopies");
    terms.over_share_payoff = settled.number("OverShareWorth", 1);
    terms.list_mode = settled.word("MembershipMode", "push") == "ask" ? ListMode::kAsked : ListMode::kPushed;
    terms.cells = settled.at_least_one("Specifics.Places", 1);
    terms.span = settled.at_least_one("Specifics.Span", 1);
    terms.call_work = settled.to_use("Specifics.PerCallWorkUs");
    return terms;
}

LoadReport read_report(const Line& line) {
    LoadReport report;
    if (!line.has("Report")) return report;
    for (const std::string_view pair : split(line.text("Report"), ',')) {
        const std::size_t at = pair.find(':');
        if (at == std::string_view::npos) continue; // `-` or nothing: no report
        const std::string_view name = pair.substr(0, at);
        const std::string_view value = pair.substr(at + 1);
        if (name == "busy_reqs") report.in_flight = to_number(value, name);
        if (name == "pending") report.queued = to_number(value, name);
    }
    return report;
}

Outcome read_outcome(std::string_view word) {
    if (word == "pass") return Outcome::kAnswered;
    if (word == "fault") return Outcome::kError;
    if (word == "no_room") return Outcome::kTurnedAway;
    if (word == "too_slow") return Outcome::kTimedOut;
    if (word == "no_route") return Outcome::kNoConnection;
    if (word == "cut") return Outcome::kBroken;
    if (word == "undone") return Outcome::kRecalled;
    if (word == "stale_send") return Outcome::kNeverSent;
    throw WireError("How: unknown: " + quoted(word));
}

Listed read_listed(std::string_view word) {
    if (word == "live") return Listed::kLive;
    if (word == "quiescing") return Listed::kDraining;
    if (word == "dead") return Listed::kGone;
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
