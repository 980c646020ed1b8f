#include "protocol/front_node_config.hpp"

#include "protocol/values.hpp"

#include <limits>

namespace ivyrill::protocol {

namespace {

constexpr std::int64_t kMaxListItems = 10'000; // items in one list of the settings

// Typed access to the settings by their paths. Unknown settings are ignored.
class SettingsReader {
  public:
    explicit SettingsReader(const PathValues& values) : values_(values) {}

    bool has(const std::string& path) const { return values_.contains(path); }
    std::int64_t integer(const std::string& path, std::int64_t default_value) const {
        if (!has(path)) return default_value;
        const std::int64_t value = to_integer(word(path, ""), path);
        if (value < 0) throw ProtocolError(path + ": is negative: " + quoted(word(path, "")));
        return value;
    }
    int whole(const std::string& path, int default_value) const {
        const std::int64_t value = integer(path, default_value);
        if (value > std::numeric_limits<int>::max()) throw ProtocolError(path + ": too large");
        return static_cast<int>(value);
    }
    int at_least_one(const std::string& path, int default_value) const {
        const int value = whole(path, default_value);
        if (value < 1) throw ProtocolError(path + ": must be 1 or more");
        return value;
    }
    double number(const std::string& path, double default_value) const {
        const double value = has(path) ? to_number(word(path, ""), path) : default_value;
        if (value < 0) throw ProtocolError(path + ": is negative: " + quoted(word(path, "")));
        return value;
    }
    bool flag(const std::string& path) const { return has(path) && to_bool(word(path, ""), path); }
    std::string_view word(const std::string& path, std::string_view default_value) const {
        const auto found = values_.find(path);
        return found == values_.end() ? default_value : std::string_view(found->second);
    }
    Ticks duration_rounded_down(const std::string& path, std::int64_t default_value = 0) const {
        return ticks_rounded_down(integer(path, default_value));
    }
    Ticks duration_rounded_up(const std::string& path) const { return ticks_rounded_up(integer(path, 0)); }
    std::size_t count(const std::string& path) const {
        const std::int64_t value = integer(path + ".count", 0);
        if (value > kMaxListItems) throw ProtocolError(path + ".count: too large");
        return static_cast<std::size_t>(value);
    }
    double listed(const std::string& path, std::size_t index, double default_value) const {
        const auto values = split(word(path, ""), ',');
        return index < values.size() ? to_number(values[index], path) : default_value;
    }
    std::vector<std::string> names(const std::string& path) const {
        std::vector<std::string> names;
        for (const std::string_view name : split(word(path, ""), ',')) names.emplace_back(name);
        return names;
    }
    std::vector<std::string> names_of_rows(const std::string& path) const {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < count(path); ++i)
            names.emplace_back(word(path + "." + std::to_string(i) + ".Name", ""));
        return names;
    }

  private:
    const PathValues& values_;
};

Idempotency read_idempotency(std::string_view word, const std::string& path) {
    if (word == "read_like") return Idempotency::kIdempotent;
    if (word == "idempotency_key") return Idempotency::kIdempotencyKey;
    if (word == "non_idempotent") return Idempotency::kNonIdempotent;
    throw ProtocolError(path + ": unknown: " + quoted(word));
}

} // namespace

std::string sanitize_name(std::string_view name) {
    std::string plain(name);
    for (char& character : plain)
        if (character == ' ' || character == ',') character = '_';
    return plain;
}

SchedulerConfig read_scheduler_config(const PathValues& settings, std::uint64_t seed) {
    const SettingsReader reader(settings);
    SchedulerConfig config;
    config.seed = seed;
    for (std::size_t i = 0; i < reader.count("Grades"); ++i) {
        const std::string row = "Grades." + std::to_string(i) + ".";
        RequestClassConfig request_class;
        request_class.latency_target = reader.duration_rounded_down(row + "AimUs");
        request_class.deadline = reader.duration_rounded_down(row + "DeadlineUs");
        request_class.dedup_window = reader.duration_rounded_down(row + "WindowUs");
        request_class.idempotency =
            read_idempotency(reader.word(row + "Idempotency", "read_like"), row + "Idempotency");
        request_class.utility = reader.number(row + "Worth", 1);
        request_class.late_utility_ratio = reader.number(row + "LateShare", 0);
        request_class.min_answer_weight = reader.listed("Specifics.ClassFloor", i, 1);
        request_class.full_answer_weight = reader.listed("Specifics.ClassNeed", i, 1);
        request_class.follow_up_parts = static_cast<int>(reader.listed("Specifics.FollowUp", i, 0));
        config.request_classes.push_back(request_class);
    }
    for (std::size_t i = 0; i < reader.count("Tenants"); ++i)
        config.tenants.push_back({reader.number("Tenants." + std::to_string(i) + ".QuotaPerS", 0)});
    config.front_nodes = reader.at_least_one("PeersTotal", 1);
    config.decision_interval = reader.duration_rounded_up("QuantumUs");
    config.warm_up_time = reader.duration_rounded_up("Contract.ColdUs");
    config.cold_capacity_ratio = reader.number("Contract.ColdShare", 1);
    config.overload_window = reader.duration_rounded_up("Contract.FallUs");
    config.overload_factor = reader.number("Contract.OverloadFactor", 1);
    config.has_retry_budget = reader.has("Contract.RatioSpanUs");
    config.retry_slack = reader.number("Contract.SpareAttempts", 0);
    config.retry_ratio = reader.number("Contract.FurtherRatio", 0);
    config.retry_window = reader.duration_rounded_up("Contract.RatioSpanUs");
    config.max_retry_after = reader.duration_rounded_down("Limits.MaxRetryAfterUs");
    config.max_attempts = reader.at_least_one("Limits.MostTries", 1);
    config.connect_timeout = reader.duration_rounded_down("Limits.ConnectTimeoutUs");
    config.clients_mark_retries = reader.flag("Clients.MarksRetry");
    config.may_cancel = reader.flag("Limits.MayCancel");
    config.may_probe = reader.flag("Limits.Probes");
    config.may_send_retry_after = reader.flag("Limits.RetryAfter");
    config.hedging_enabled = reader.flag("Limits.SecondCopies");
    config.over_quota_utility_ratio = reader.number("OverShareWorth", 1);
    config.list_mode =
        reader.word("MembershipMode", "push") == "ask" ? ListMode::kQueried : ListMode::kPushed;
    config.cell_count = reader.at_least_one("Specifics.Places", 1);
    config.replicas_per_shard = reader.at_least_one("Specifics.Span", 1);
    config.call_overhead = reader.duration_rounded_down("Specifics.PerCallWorkUs");
    return config;
}

FrontNodeConfig read_front_node_config(const PathValues& settings, std::uint64_t seed) {
    const SettingsReader reader(settings);
    FrontNodeConfig config;
    config.scheduler = read_scheduler_config(settings, seed);
    for (RequestClassConfig& request_class : config.scheduler.request_classes)
        request_class.follow_up_parts = 0; // follow-up parts exist in the simulator only
    config.max_concurrent_searches_and_parts = reader.whole("Limits.MaxOpen", 0);
    config.max_parts_per_call = reader.at_least_one("Specifics.Batch", 1);
    config.max_calls_per_connection = reader.at_least_one("Limits.StreamsPerConn", 1);
    config.shards = reader.at_least_one("Specifics.Slabs", 1);
    config.idle_timeout = reader.duration_rounded_down("Limits.ConnIdleUs");
    config.watch_timeout =
        reader.duration_rounded_down("Contract.AskWithinUs", 10 * kTicksPerSecond * kMicrosPerTick);
    config.scheduler.list_mode = ListMode::kQueried; // over the network the server list is polled
    config.request_classes = reader.names_of_rows("Grades");
    config.tenants = reader.names_of_rows("Tenants");
    config.zones = reader.names("Zones");
    config.server_kinds = reader.names("Kinds");
    return config;
}

} // namespace ivyrill::protocol
