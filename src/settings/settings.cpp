// Reads the settings file with yaml-cpp. Missing optional keys keep the defaults of the types; the first
// invalid key is reported as an error. Exceptions of yaml-cpp do not leave this file.
#include "settings/settings.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <optional>

namespace ivyrill::settings {

namespace {

constexpr std::size_t kMaxFileBytes = 1024 * 1024; // bytes
constexpr double kMaxNumber = 1e15;                // integers up to this are exact in a double
constexpr int kMinInnerPorts = 4; // that the processes of one machine need for peer connections
constexpr double kMaxPort = 65535;

bool is_ip(const std::string& text) {
    in_addr ignored{};
    return inet_pton(AF_INET, text.c_str(), &ignored) == 1;
}

bool is_address(const std::string& text) { // IP:PORT
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos || !is_ip(text.substr(0, colon))) return false;
    const char *begin = text.data() + colon + 1, *end = text.data() + text.size();
    std::uint16_t port = 0;
    const auto [stop, problem] = std::from_chars(begin, end, port);
    return problem == std::errc{} && stop == end && port > 0;
}

// One map of the file. All sections share `problem`, which keeps the first error; an invalid key leaves its
// value unchanged.
class Section {
  public:
    Section(YAML::Node map, std::string path, std::optional<Error>& problem)
        : map_(std::move(map)), path_(std::move(path)), problem_(problem) {}

    Section section(const std::string& key) {
        const YAML::Node found = find(key);
        if (found && !found.IsMap()) report(key, "is not a map", "nest its keys under it, or remove it");
        const bool usable = found && found.IsMap();
        return {usable ? found : YAML::Node(YAML::NodeType::Map), path_ + key + ".", problem_};
    }

    void report(const std::string& key, std::string_view what, std::string_view remedy) {
        if (problem_.has_value()) return;
        const std::string message = fmt::format("settings: {}{} {}; {}", path_, key, what, remedy);
        problem_ = error(ErrorKind::kInvalidInput, message);
    }

    void require(const std::string& key) {
        if (!find(key)) report(key, "is missing", "add it to the settings file");
    }

    void string(const std::string& key, std::string& into) {
        if (const YAML::Node found = find(key)) into = string_of(found, key).value_or(into);
    }

    void strings(const std::string& key, std::vector<std::string>& into) {
        const YAML::Node found = find(key);
        if (!found) return;
        if (!found.IsSequence()) return report(key, "is not a list", "set it to a list of strings");
        std::vector<std::string> read;
        for (const YAML::Node& item : found) read.push_back(string_of(item, key).value_or(""));
        into = std::move(read);
    }

    void string_map(const std::string& key, std::map<std::string, std::string>& into) {
        const YAML::Node found = find(key);
        if (!found) return;
        if (!found.IsMap()) return report(key, "is not a map", "set it to a map of strings");
        std::map<std::string, std::string> read;
        for (const auto& item : found)
            read[string_of(item.first, key).value_or("")] = string_of(item.second, key).value_or("");
        into = std::move(read);
    }

    void flag(const std::string& key, bool& into) {
        const YAML::Node found = find(key);
        if (found && !YAML::convert<bool>::decode(found, into))
            report(key, "is neither true nor false", "set it to true or false");
    }

    void number(const std::string& key, double& into) {
        if (const YAML::Node found = find(key)) into = number_of(found, key, 0, kMaxNumber).value_or(into);
    }

    // A fraction is rounded down.
    void number(const std::string& key, std::int64_t& into, std::int64_t min_value = 0) {
        const YAML::Node found = find(key);
        if (!found) return;
        const auto read = number_of(found, key, static_cast<double>(min_value), kMaxNumber);
        if (read.has_value()) into = static_cast<std::int64_t>(std::floor(*read));
    }

    void ports(const std::string& key, std::uint16_t& first, std::uint16_t& last) {
        const YAML::Node found = find(key);
        if (!found) return;
        if (!found.IsSequence() || found.size() != 2)
            return report(key, "is not a list of two ports", "set it to the first and the last port");
        const auto begin = number_of(found[0], key, 1, kMaxPort);
        const auto end = number_of(found[1], key, 1, kMaxPort);
        if (!begin.has_value() || !end.has_value()) return;
        if (*end - *begin + 1 < kMinInnerPorts)
            return report(key, fmt::format("has fewer than {} ports", kMinInnerPorts), "set a wider range");
        first = static_cast<std::uint16_t>(*begin);
        last = static_cast<std::uint16_t>(*end);
    }

  private:
    // Null and the empty string count as missing. Uses a const node, since a mutable one would insert the
    // key.
    YAML::Node find(const std::string& key) const {
        const YAML::Node found = static_cast<const YAML::Node&>(map_)[key];
        const bool present = found && !found.IsNull() && !(found.IsScalar() && found.Scalar().empty());
        return present ? found : YAML::Node(YAML::NodeType::Undefined);
    }

    std::optional<std::string> string_of(const YAML::Node& node, const std::string& key) {
        if (node.IsScalar() && !node.Scalar().empty()) return node.Scalar();
        report(key, "is not a string, or has an item that is not one", "set it to a string");
        return std::nullopt;
    }

    std::optional<double> number_of(const YAML::Node& node, const std::string& key, double min_value,
                                    double max_value) {
        double value = 0;
        if (!node.IsScalar() || !YAML::convert<double>::decode(node, value) || !std::isfinite(value)) {
            report(key, "is not a number", "set it to a number");
            return std::nullopt;
        }
        if (value >= min_value && value <= max_value) return value;
        report(key, "is out of range",
               fmt::format("set it to a number from {:.0f} to {:.0f}", min_value, max_value));
        return std::nullopt;
    }

    YAML::Node map_;
    std::string path_;
    std::optional<Error>& problem_;
};

void read_identity(Section& root, Settings& settings) {
    for (const char* key : {"nodeName", "ip", "serves", "innerPortRange", "seedNodes"}) root.require(key);
    root.string("nodeName", settings.node_name);
    root.string("role", settings.role);
    root.string("machineClass", settings.machine_class);
    root.strings("serves", settings.serves);
    root.string("ip", settings.ip);
    if (!settings.ip.empty() && !is_ip(settings.ip))
        root.report("ip", "is not an IPv4 address", "use an address such as 10.1.0.10");
    root.string("zone", settings.zone);
    root.string("region", settings.region);
    root.string_map("zones", settings.zones);
}

// Addresses that no served role needs are ignored.
void read_listen_addresses(Section& root, Settings& settings) {
    const auto serves = [&](std::string_view name) { return std::ranges::count(settings.serves, name) > 0; };
    std::vector<std::string> needed;
    if (serves("edge")) needed.insert(needed.end(), {"front", "readyAddr"});
    if (serves("control")) needed.push_back("controlAddr");
    if (needed.empty()) return;
    Section addresses = root.section("listenAddrs");
    for (const std::string& name : needed) {
        std::string address;
        addresses.require(name);
        addresses.string(name, address);
        if (!address.empty() && !is_address(address))
            addresses.report(name, "is not an IP:PORT address", "use an address such as 10.1.0.10:8262");
        settings.listen_addrs[name] = address;
    }
}

void read_peers(Section& root, Settings& settings) {
    root.ports("innerPortRange", settings.first_inner_port, settings.last_inner_port);
    root.strings("seedNodes", settings.seed_nodes);
    if (settings.seed_nodes.empty()) root.report("seedNodes", "is empty", "add at least one IP:PORT address");
    if (!std::ranges::all_of(settings.seed_nodes, is_address))
        root.report("seedNodes", "has an item that is not an IP:PORT address",
                    "use addresses such as 10.1.0.12:8262");
}

void read_limits(Section limits, MachineLimits& into) {
    limits.number("cpuShare", into.cpu_share);
    limits.number("cores", into.cores);
    limits.number("memoryMb", into.memory_mb);
    limits.number("fileDescriptors", into.file_descriptors);
    limits.number("linkMbps", into.link_mbps);
    limits.number("diskMb", into.disk_mb);
}

void read_tolerance(Section tolerance, Tolerance& into) {
    tolerance.number("machines", into.machines);
    tolerance.number("zones", into.zones);
    tolerance.number("regions", into.regions);
}

void read_bounds(Section bounds, Bounds& into) {
    bounds.number("seedLagS", into.seed_lag_s);
    bounds.number("addrReuseS", into.address_reuse_s);
    bounds.number("inTouchMs", into.in_touch_ms);
    bounds.number("ackMs", into.ack_ms);
    bounds.number("catchUpS", into.catch_up_s);
    bounds.number("drainMs", into.drain_ms);
    bounds.number("graceS", into.grace_s);
    bounds.number("lossSlackMs", into.loss_slack_ms);
    bounds.number("configApplyMs", into.config_apply_ms);
    bounds.number("rollbackSlackMs", into.rollback_slack_ms);
    bounds.number("coreStretchMs", into.core_stretch_ms);
    bounds.number("retryBudgetRatio", into.retry_budget_ratio);
    bounds.number("retryWindowS", into.retry_window_s);
    bounds.number("retrySlack", into.retry_slack);
    bounds.number("recoveryS", into.recovery_s);
    bounds.number("transitMs", into.transit_ms);
    bounds.flag("fencedApi", into.fenced_api);
    bounds.number("leaseMs", into.lease_ms);
    bounds.number("thawSlackMs", into.thaw_slack_ms);
    bounds.number("usageWindowS", into.usage_window_s);
    bounds.number("usageError", into.usage_error);
    bounds.number("usageLateS", into.usage_late_s);
}

void read_cloud_api(Section cloud_api, CloudApi& into) {
    cloud_api.string("address", into.address);
    if (!into.address.empty() && !is_address(into.address))
        cloud_api.report("address", "is not an IP:PORT address", "use an address such as 10.200.0.5:8168");
    cloud_api.strings("duties", into.duties);
    cloud_api.number("dutyPerS", into.duty_per_s);
}

void read_operation(Section& root, Settings& settings) {
    root.flag("firstStart", settings.first_start);
    root.flag("lossCounted", settings.loss_counted);
    root.string("dataDir", settings.data_dir);
    root.number("beatIntervalMs", settings.beat_interval_ms, 1);
    root.strings("activeContracts", settings.contracts);
    read_limits(root.section("limits"), settings.limits);
    read_tolerance(root.section("tolerance"), settings.tolerance);
    read_bounds(root.section("bounds"), settings.bounds);
    read_cloud_api(root.section("cloudApi"), settings.cloud_api);
}

Error invalid_file(std::string reason) { // messages of yaml-cpp may span lines
    std::ranges::replace_if(
        reason, [](unsigned char c) { return c < ' '; }, ' ');
    return error(ErrorKind::kInvalidInput,
                 "settings: the file is not YAML (" + reason + "); correct its syntax");
}

Result<Settings> read_root(const YAML::Node& node) {
    if (!node.IsMap()) return invalid_file("its root is not a map");
    std::optional<Error> problem;
    Section root(node, "", problem);
    Settings settings;
    read_identity(root, settings);
    read_listen_addresses(root, settings);
    read_peers(root, settings);
    read_operation(root, settings);
    if (problem.has_value()) return *problem;
    return settings;
}

} // namespace

Result<Settings> parse(std::string_view yaml) {
    if (yaml.size() > kMaxFileBytes) return invalid_file("it is larger than 1 MB");
    try {
        return read_root(YAML::Load(std::string(yaml)));
    } catch (const std::exception& problem) { return invalid_file(problem.what()); }
}

Result<Settings> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::string text(kMaxFileBytes + 1, '\0');
    if (file) file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file.is_open() || file.bad() || (file.fail() && !file.eof())) {
        constexpr const char* kMessage =
            "settings: {} can't be read; name a readable file in IVYRILL_SETTINGS";
        return error(ErrorKind::kInvalidInput, fmt::format(kMessage, path));
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return parse(text);
}

} // namespace ivyrill::settings
