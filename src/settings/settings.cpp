// Reads the settings file with yaml-cpp. Missing optional keys keep the defaults of the types; the first key
// that can't be served with ends in an error. Everything yaml-cpp throws stays in here.
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

constexpr std::size_t kLargestFile = 1024 * 1024; // bytes
constexpr double kLargestNumber = 1e15;           // every whole number up to it has a double of its own
constexpr int kFewestInnerPorts = 4;              // what the processes of one machine need to talk to others
constexpr double kLargestPort = 65535;

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

// One map of the file. The first problem met is kept in what all maps of the file share; a key in trouble
// leaves its value as it was.
class Section {
  public:
    Section(YAML::Node map, std::string path, std::optional<Error>& problem)
        : map_(std::move(map)), path_(std::move(path)), problem_(problem) {}

    Section section(const std::string& key) {
        const YAML::Node found = find(key);
        if (found && !found.IsMap()) report(key, "is not a map", "state its keys under it, or leave it out");
        const bool usable = found && found.IsMap();
        return {usable ? found : YAML::Node(YAML::NodeType::Map), path_ + key + ".", problem_};
    }

    void report(const std::string& key, std::string_view what, std::string_view remedy) {
        if (problem_.has_value()) return;
        const std::string message = fmt::format("settings: {}{} {}; {}", path_, key, what, remedy);
        problem_ = error(ErrorKind::kInvalidInput, message);
    }

    void require(const std::string& key) {
        if (!find(key)) report(key, "is missing", "state it in the settings file");
    }

    void text(const std::string& key, std::string& into) {
        if (const YAML::Node found = find(key)) into = text_of(found, key).value_or(into);
    }

    void texts(const std::string& key, std::vector<std::string>& into) {
        const YAML::Node found = find(key);
        if (!found) return;
        if (!found.IsSequence()) return report(key, "is not a list", "state a list of texts");
        std::vector<std::string> read;
        for (const YAML::Node& item : found) read.push_back(text_of(item, key).value_or(""));
        into = std::move(read);
    }

    void texts_by_name(const std::string& key, std::map<std::string, std::string>& into) {
        const YAML::Node found = find(key);
        if (!found) return;
        if (!found.IsMap()) return report(key, "is not a map", "state a map of texts");
        std::map<std::string, std::string> read;
        for (const auto& item : found)
            read[text_of(item.first, key).value_or("")] = text_of(item.second, key).value_or("");
        into = std::move(read);
    }

    void flag(const std::string& key, bool& into) {
        const YAML::Node found = find(key);
        if (found && !YAML::convert<bool>::decode(found, into))
            report(key, "is neither true nor false", "state one of the two");
    }

    void number(const std::string& key, double& into) {
        if (const YAML::Node found = find(key))
            into = number_of(found, key, 0, kLargestNumber).value_or(into);
    }

    // A fraction is rounded down.
    void number(const std::string& key, std::int64_t& into, std::int64_t least = 0) {
        const YAML::Node found = find(key);
        if (!found) return;
        const auto read = number_of(found, key, static_cast<double>(least), kLargestNumber);
        if (read.has_value()) into = static_cast<std::int64_t>(std::floor(*read));
    }

    void ports(const std::string& key, std::uint16_t& first, std::uint16_t& last) {
        const YAML::Node found = find(key);
        if (!found) return;
        if (!found.IsSequence() || found.size() != 2)
            return report(key, "is not a list of two ports", "state the first and the last port");
        const auto begin = number_of(found[0], key, 1, kLargestPort);
        const auto end = number_of(found[1], key, 1, kLargestPort);
        if (!begin.has_value() || !end.has_value()) return;
        if (*end - *begin + 1 < kFewestInnerPorts)
            return report(key, fmt::format("has fewer than {} ports", kFewestInnerPorts),
                          "state a wider range");
        first = static_cast<std::uint16_t>(*begin);
        last = static_cast<std::uint16_t>(*end);
    }

  private:
    // Null and the empty text count as missing. Asked through a const node: the other kind would add the key.
    YAML::Node find(const std::string& key) const {
        const YAML::Node found = static_cast<const YAML::Node&>(map_)[key];
        const bool stated = found && !found.IsNull() && !(found.IsScalar() && found.Scalar().empty());
        return stated ? found : YAML::Node(YAML::NodeType::Undefined);
    }

    std::optional<std::string> text_of(const YAML::Node& node, const std::string& key) {
        if (node.IsScalar() && !node.Scalar().empty()) return node.Scalar();
        report(key, "is no text, or holds what is none", "state a text");
        return std::nullopt;
    }

    std::optional<double> number_of(const YAML::Node& node, const std::string& key, double least,
                                    double most) {
        double value = 0;
        if (!node.IsScalar() || !YAML::convert<double>::decode(node, value) || !std::isfinite(value)) {
            report(key, "is not a number", "state a number");
            return std::nullopt;
        }
        if (value >= least && value <= most) return value;
        report(key, "is out of range", fmt::format("state a number from {:.0f} to {:.0f}", least, most));
        return std::nullopt;
    }

    YAML::Node map_;
    std::string path_;
    std::optional<Error>& problem_;
};

void read_place(Section& root, Settings& settings) {
    for (const char* key : {"nodeName", "ip", "serves", "innerPortRange", "seedNodes"}) root.require(key);
    root.text("nodeName", settings.node_name);
    root.text("role", settings.role);
    root.text("machineClass", settings.machine_class);
    root.texts("serves", settings.serves);
    root.text("ip", settings.ip);
    if (!settings.ip.empty() && !is_ip(settings.ip))
        root.report("ip", "is not an IPv4 address", "state one such as 10.1.0.10");
    root.text("zone", settings.zone);
    root.text("region", settings.region);
    root.texts_by_name("zones", settings.zones);
}

// An address that nothing served here needs is left aside.
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
        addresses.text(name, address);
        if (!address.empty() && !is_address(address))
            addresses.report(name, "is not an IP:PORT address", "state one such as 10.1.0.10:8262");
        settings.listen_addrs[name] = address;
    }
}

void read_peers(Section& root, Settings& settings) {
    root.ports("innerPortRange", settings.first_inner_port, settings.last_inner_port);
    root.texts("seedNodes", settings.seed_nodes);
    if (settings.seed_nodes.empty())
        root.report("seedNodes", "is empty", "state at least one IP:PORT address");
    if (!std::ranges::all_of(settings.seed_nodes, is_address))
        root.report("seedNodes", "holds what is not an IP:PORT address",
                    "state addresses such as 10.1.0.12:8262");
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
    cloud_api.text("address", into.address);
    if (!into.address.empty() && !is_address(into.address))
        cloud_api.report("address", "is not an IP:PORT address", "state one such as 10.200.0.5:8168");
    cloud_api.texts("duties", into.duties);
    cloud_api.number("dutyPerS", into.duty_per_s);
}

void read_behaviour(Section& root, Settings& settings) {
    root.flag("firstStart", settings.first_start);
    root.flag("lossCounted", settings.loss_counted);
    root.text("dataDir", settings.data_dir);
    root.number("beatIntervalMs", settings.beat_interval_ms, 1);
    root.texts("activeContracts", settings.contracts);
    read_limits(root.section("limits"), settings.limits);
    read_tolerance(root.section("tolerance"), settings.tolerance);
    read_bounds(root.section("bounds"), settings.bounds);
    read_cloud_api(root.section("cloudApi"), settings.cloud_api);
}

Error unreadable(std::string why) { // yaml-cpp's words may span lines
    std::ranges::replace_if(
        why, [](unsigned char c) { return c < ' '; }, ' ');
    return error(ErrorKind::kInvalidInput, "settings: the file is not YAML (" + why + "); write it anew");
}

Result<Settings> read_root(const YAML::Node& node) {
    if (!node.IsMap()) return unreadable("its root is not a map");
    std::optional<Error> problem;
    Section root(node, "", problem);
    Settings settings;
    read_place(root, settings);
    read_listen_addresses(root, settings);
    read_peers(root, settings);
    read_behaviour(root, settings);
    if (problem.has_value()) return *problem;
    return settings;
}

} // namespace

Result<Settings> parse(std::string_view yaml) {
    if (yaml.size() > kLargestFile) return unreadable("it is larger than 1 MB");
    try {
        return read_root(YAML::Load(std::string(yaml)));
    } catch (const std::exception& problem) { return unreadable(problem.what()); }
}

Result<Settings> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::string text(kLargestFile + 1, '\0');
    if (file) file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file.is_open() || file.bad() || (file.fail() && !file.eof())) {
        constexpr const char* kWords = "settings: {} can't be read; name a readable file in IVYRILL_SETTINGS";
        return error(ErrorKind::kInvalidInput, fmt::format(kWords, path));
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return parse(text);
}

} // namespace ivyrill::settings
