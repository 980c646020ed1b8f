#include "protocol/front_node_config.hpp"

#include "protocol/values.hpp"

#include <limits>

namespace ivyrill::protocol {

namespace {

constexpr std::int64_t kMostListed = 10'000; // items that one list in the settings may have

// The settings by their paths. Unknown ones are never asked for.
class Settled {
  public:
    explicit Settled(const PathValues& values) : values_(values) {}

    bool has(const std::string& path) const { return values_.contains(path); }
    std::int64_t integer(const std::string& path, std::int64_t absent) const {
        if (!has(path)) return absent;
        const std::int64_t value = to_integer(word(path, ""), path);
        if (value < 0) throw ProtocolError(path + ": below zero: " + quoted(word(path, "")));
        return value;
    }
    int whole(const std::string& path, int absent) const {
        const std::int64_t value = integer(path, absent);
        if (value > std::numeric_limits<int>::max()) throw ProtocolError(path + ": too large");
        return static_cast<int>(value);
    }
    int at_least_one(const std::string& path, int absent) const {
        const int value = whole(path, absent);
        if (value < 1) throw ProtocolError(path + ": must be 1 or more");
        return value;
    }
    double number(const std::string& path, double absent) const {
        const double value = has(path) ? to_number(word(path, ""), path) : absent;
        if (value < 0) throw ProtocolError(path + ": below zero: " + quoted(word(path, "")));
        return value;
    }
    bool flag(const std::string& path) const { return has(path) && to_bool(word(path, ""), path); }
    std::string_view word(const std::string& path, std::string_view absent) const {
        const auto found = values_.find(path);
        return found == values_.end() ? absent : std::string_view(found->second);
    }
    Tenths to_use(const std::string& path, std::int64_t absent = 0) const {
        return tenths_rounded_down(integer(path, absent));
    }
    Tenths to_wait(const std::string& path) const { return tenths_rounded_up(integer(path, 0)); }
    std::size_t count(const std::string& path) const {
        const std::int64_t value = integer(path + ".count", 0);
        if (value > kMostListed) throw ProtocolError(path + ".count: too large");
        return static_cast<std::size_t>(value);
    }
    double listed(const std::string& path, std::size_t place, double absent) const {
        const auto values = split(word(path, ""), ',');
        return place < values.size() ? to_number(values[place], path) : absent;
    }
    std::vector<std::string> names(const std::string& path) const {
        std::vector<std::string> names;
        for (const std::string_view name : split(word(path, ""), ',')) names.emplace_back(name);
        return names;
    }
    std::vector<std::string> names_of(const std::string& path) const {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < count(path); ++i)
            names.emplace_back(word(path + "." + std::to_string(i) + ".Name", ""));
        return names;
    }

  private:
    const PathValues& values_;
};

Idempotency read_effect(std::string_view word, const std::string& path) {
    if (word == "read_like") return Idempotency::kIdempotent;
    if (word == "idempotency_key") return Idempotency::kIdempotencyKey;
    if (word == "non_idempotent") return Idempotency::kNonIdempotent;
    throw ProtocolError(path + ": unknown: " + quoted(word));
}

} // namespace

std::string sanitize_name(std::string_view name) {
    std::string plain(name);
    for (char& letter : plain)
        if (letter == ' ' || letter == ',') letter = '_';
    return plain;
}

SchedulerConfig read_scheduler_config(const PathValues& settings, std::uint64_t seed) {
    const Settled settled(settings);
    SchedulerConfig terms;
    terms.seed = seed;
    for (std::size_t i = 0; i < settled.count("Grades"); ++i) {
        const std::string row = "Grades." + std::to_string(i) + ".";
        RequestClassConfig request_class;
        request_class.latency_target = settled.to_use(row + "AimUs");
        request_class.deadline = settled.to_use(row + "DeadlineUs");
        request_class.dedup_window = settled.to_use(row + "WindowUs");
        request_class.idempotency =
            read_effect(settled.word(row + "Idempotency", "read_like"), row + "Idempotency");
        request_class.utility = settled.number(row + "Worth", 1);
        request_class.late_utility_ratio = settled.number(row + "LateShare", 0);
        request_class.floor = settled.listed("Specifics.ClassFloor", i, 1);
        request_class.need = settled.listed("Specifics.ClassNeed", i, 1);
        request_class.follow_up_parts = static_cast<int>(settled.listed("Specifics.FollowUp", i, 0));
        terms.request_classes.push_back(request_class);
    }
    for (std::size_t i = 0; i < settled.count("Tenants"); ++i)
        terms.tenants.push_back({settled.number("Tenants." + std::to_string(i) + ".QuotaPerS", 0)});
    terms.front_nodes = settled.at_least_one("PeersTotal", 1);
    terms.decision_interval = settled.to_wait("QuantumUs");
    terms.warm_up_time = settled.to_wait("Contract.ColdUs");
    terms.cold_capacity_ratio = settled.number("Contract.ColdShare", 1);
    terms.overload_window = settled.to_wait("Contract.FallUs");
    terms.overload_factor = settled.number("Contract.OverloadFactor", 1);
    terms.has_retry_budget = settled.has("Contract.RatioSpanUs");
    terms.retry_slack = settled.number("Contract.SpareAttempts", 0);
    terms.retry_ratio = settled.number("Contract.FurtherRatio", 0);
    terms.retry_window = settled.to_wait("Contract.RatioSpanUs");
    terms.max_retry_after = settled.to_use("Limits.MaxRetryAfterUs");
    terms.max_attempts = settled.at_least_one("Limits.MostTries", 1);
    terms.connect_timeout = settled.to_use("Limits.ConnectTimeoutUs");
    terms.retries_marked = settled.flag("Clients.MarksRetry");
    terms.may_cancel = settled.flag("Limits.MayCancel");
    terms.may_probe = settled.flag("Limits.Probes");
    terms.may_send_retry_after = settled.flag("Limits.RetryAfter");
    terms.hedging_enabled = settled.flag("Limits.SecondCopies");
    terms.over_quota_utility_ratio = settled.number("OverShareWorth", 1);
    terms.list_mode =
        settled.word("MembershipMode", "push") == "ask" ? ListMode::kQueried : ListMode::kPushed;
    terms.cells = settled.at_least_one("Specifics.Places", 1);
    terms.span = settled.at_least_one("Specifics.Span", 1);
    terms.call_work = settled.to_use("Specifics.PerCallWorkUs");
    return terms;
}

FrontNodeConfig read_front_node_config(const PathValues& settings, std::uint64_t seed) {
    const Settled settled(settings);
    FrontNodeConfig terms;
    terms.opening = read_scheduler_config(settings, seed);
    for (RequestClassConfig& request_class : terms.opening.request_classes)
        request_class.follow_up_parts = 0; // nor has a search a second step
    terms.max_open = settled.whole("Limits.MaxOpen", 0);
    terms.batch = settled.at_least_one("Specifics.Batch", 1);
    terms.max_calls_per_connection = settled.at_least_one("Limits.StreamsPerConn", 1);
    terms.shards = settled.at_least_one("Specifics.Slabs", 1);
    terms.idle_timeout = settled.to_use("Limits.ConnIdleUs");
    terms.watch_timeout = settled.to_use("Contract.AskWithinUs", 10 * kTenthsPerSecond * kMicrosPerTenth);
    terms.opening.list_mode = ListMode::kQueried; // on sockets the list comes to those who ask
    terms.request_classes = settled.names_of("Grades");
    terms.tenants = settled.names_of("Tenants");
    terms.zones = settled.names("Zones");
    terms.kinds = settled.names("Kinds");
    return terms;
}

} // namespace ivyrill::protocol
