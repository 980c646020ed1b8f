// Three steps: the text is bounded and becomes a tree, the tree becomes the types of the model, and what
// holds across routes and services is checked. The tree knows text only, so `null` counts as missing and "5"
// as the number 5.
#include "configuration/parse.hpp"

#include <boost/property_tree/json_parser.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <set>
#include <sstream>
#include <unordered_map>
#include <unordered_set>

namespace ivyrill::configuration {

namespace {

using Tree = boost::property_tree::ptree;

constexpr std::size_t kLargestText = 8 * 1024 * 1024; // bytes
constexpr int kDeepestNesting = 32;                   // maps and lists within each other
constexpr double kLargestNumber = 1e15;               // every whole number up to it has a double of its own

Error invalid(std::string_view where, std::string_view what, std::string_view remedy) {
    return error(ErrorKind::kInvalidInput, fmt::format("configuration: {} {}; {}", where, what, remedy));
}

Error unreadable(std::string_view why) {
    return invalid("the text", fmt::format("is not JSON that can be read whole ({})", why), "send it whole");
}

// The parser calls itself for each level, so its depth is bounded before it begins.
bool too_deep(std::string_view json) {
    int depth = 0;
    bool in_text = false;
    for (std::size_t i = 0; i < json.size(); ++i) {
        const char c = json[i];
        if (in_text && c == '\\')
            ++i;
        else if (c == '"')
            in_text = !in_text;
        else if (!in_text && (c == '{' || c == '['))
            ++depth;
        else if (!in_text && (c == '}' || c == ']'))
            --depth;
        if (depth > kDeepestNesting) return true;
    }
    return false;
}

bool is_list(const Tree& tree) {
    return tree.data().empty() &&
           std::ranges::all_of(tree, [](const auto& child) { return child.first.empty(); });
}

bool is_map(const Tree& tree) {
    return tree.data().empty() &&
           std::ranges::none_of(tree, [](const auto& child) { return child.first.empty(); });
}

bool is_null(const Tree& tree) { return tree.empty() && tree.data() == "null"; }

std::optional<double> number_of(const std::string& text) {
    double value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, problem] = std::from_chars(text.data(), end, value);
    if (problem != std::errc{} || stop != end || !std::isfinite(value)) return std::nullopt;
    return value;
}

std::string lower_case(std::string text) {
    for (char& c : text)
        if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
    return text;
}

// One map of the text. The first problem met is kept in what all maps of the text share; a key in trouble
// leaves its value as it was.
class Section {
  public:
    Section(const Tree& tree, std::string path, std::optional<Error>& problem)
        : tree_(tree), path_(std::move(path)), problem_(problem) {
        if (!is_map(tree_)) report("", "is not a map", "send a map of its keys");
    }

    void report(const std::string& key, std::string_view what, std::string_view remedy) {
        if (problem_.has_value()) return;
        const std::string dot = path_.empty() || key.empty() ? "" : ".";
        const std::string where = path_ + dot + key;
        problem_ = invalid(where.empty() ? "the whole" : where, what, remedy);
    }

    void require(const std::string& key) {
        if (find(key) == nullptr) report(key, "is missing", "send it");
    }

    bool has(const std::string& key) const { return find(key) != nullptr; }
    bool states_null(const std::string& key) const { return tree_.count(key) > 0 && !has(key); }

    Section section(const std::string& key) {
        static const Tree kEmpty;
        const Tree* found = find(key);
        return {found == nullptr ? kEmpty : *found, path_.empty() ? key : path_ + "." + key, problem_};
    }

    // Calls `read` with a section for each item.
    template <class Read> void each(const std::string& key, Read read) {
        const Tree* found = find(key);
        if (found == nullptr) return;
        if (!is_list(*found)) return report(key, "is not a list", "send a list of maps");
        std::size_t index = 0;
        for (const auto& [name, item] : *found) {
            const std::string before = path_.empty() ? "" : path_ + ".";
            read(Section(item, fmt::format("{}{}[{}]", before, key, index++), problem_));
            if (problem_.has_value()) return;
        }
    }

    void text(const std::string& key, std::string& into) {
        const Tree* found = find(key);
        if (found == nullptr) return;
        if (!found->empty() || found->data().empty()) return report(key, "is not a text", "send one");
        into = found->data();
    }

    void texts(const std::string& key, std::vector<std::string>& into) {
        const Tree* found = find(key);
        if (found == nullptr) return;
        const auto is_text = [](const auto& item) {
            return item.first.empty() && item.second.empty() && !is_null(item.second);
        };
        if (!is_list(*found) || !std::ranges::all_of(*found, is_text))
            return report(key, "is not a list of texts", "send one");
        for (const auto& [name, item] : *found) into.push_back(item.data());
    }

    void flag(const std::string& key, bool& into) {
        const Tree* found = find(key);
        if (found == nullptr) return;
        if (!found->empty() || (found->data() != "true" && found->data() != "false"))
            return report(key, "is neither true nor false", "send one of the two");
        into = found->data() == "true";
    }

    void number(const std::string& key, double& into, double least = 0) {
        const Tree* found = find(key);
        if (found == nullptr) return;
        const auto value = found->empty() ? number_of(found->data()) : std::nullopt;
        if (!value.has_value()) return report(key, "is not a number", "send a number");
        if (*value < least || *value > kLargestNumber) {
            const std::string remedy =
                fmt::format("send a number from {:.0f} to {:.0f}", least, kLargestNumber);
            return report(key, "is out of range", remedy);
        }
        into = *value;
    }

    // A fraction is rounded up.
    void number(const std::string& key, std::int64_t& into, double least = 0) {
        double value = static_cast<double>(into);
        number(key, value, least);
        into = static_cast<std::int64_t>(std::ceil(value));
    }

    // As above, and refused at 0.
    void positive(const std::string& key, std::int64_t& into) {
        double value = static_cast<double>(into);
        number(key, value, -kLargestNumber);
        if (has(key) && value <= 0) report(key, "is 0 or less", "send a number above 0");
        into = static_cast<std::int64_t>(std::ceil(value));
    }

  private:
    const Tree* find(const std::string& key) const {
        const auto found = tree_.find(key);
        if (found == tree_.not_found()) return nullptr;
        return is_null(found->second) ? nullptr : &found->second;
    }

    const Tree& tree_;
    std::string path_;
    std::optional<Error>& problem_;
};

model::RouteKind
kind_of(const std::string& text) { // keyed ones and those of a later day may run once at most
    if (text == "safe") return model::RouteKind::kSafe;
    return text == "streaming" ? model::RouteKind::kStreaming : model::RouteKind::kUnsafe;
}

void read_split(Section& section, model::Route& route) {
    double sum = 0;
    section.each("trafficSplit", [&](Section item) {
        model::WeightedService& share = route.services.emplace_back();
        item.require("service");
        item.require("weight");
        item.text("service", share.service);
        item.number("weight", share.weight);
        sum += share.weight;
    });
    const bool idle = !route.services.empty() && sum <= 0;
    if (idle)
        section.report("trafficSplit", "has weights that add up to 0", "give a service a weight above 0");
}

void read_services_of(Section& section, model::Route& route) {
    read_split(section, route);
    if (!route.services.empty()) return;
    model::WeightedService only;
    section.text("service", only.service);
    if (only.service.empty())
        section.report("service", "is missing, and so is trafficSplit", "name the route's service");
    route.services.push_back(std::move(only));
}

void read_prefix(Section& section, std::string& into) {
    section.require("pathPrefix");
    section.text("pathPrefix", into);
    if (!into.empty() && (into.front() != '/' || into.back() != '/'))
        section.report("pathPrefix", "does not begin and end with a slash", "send one such as /path/");
}

model::Route read_route(Section section) {
    model::Route route;
    std::string kind;
    section.require("host");
    section.require("timeoutMs");
    section.text("name", route.name);
    section.text("host", route.host);
    route.host = lower_case(std::move(route.host));
    read_prefix(section, route.path_prefix);
    section.text("kind", kind);
    route.kind = kind_of(kind);
    section.positive("timeoutMs", route.timeout_ms);
    section.number("targetLatencyMs", route.latency_target_ms);
    section.number("priority", route.priority);
    section.number("maxAttempts", route.max_attempts, 1);
    section.flag("sticky", route.sticky);
    section.flag("resumable", route.resumable);
    section.number("gap_aim_ms", route.longest_gap_ms);
    section.flag("public", route.is_public);
    read_services_of(section, route);
    return route;
}

model::Engine read_engine(Section section) {
    model::Engine engine;
    section.number("slots", engine.slots, 1);
    section.number("kvTokenCount", engine.memory_tokens);
    section.number("tokenKvBytes", engine.token_bytes);
    section.number("linkMbps", engine.link_mbps);
    section.number("stride", engine.stride, 1);
    section.number("handleHoldS", engine.handle_hold_s);
    section.number("roleSwitchS", engine.role_switch_s);
    section.each("models", [&](Section item) {
        item.require("name");
        item.text("name", engine.models.emplace_back());
    });
    return engine;
}

model::Scaling read_scaling(Section section) {
    model::Scaling scaling;
    section.require("maxCount");
    section.number("minCount", scaling.min_count);
    section.number("maxCount", scaling.max_count);
    section.number("bootTimeS", scaling.boot_time_s);
    if (scaling.max_count < scaling.min_count)
        section.report("maxCount", "is below minCount", "send one that is not");
    return scaling;
}

model::Service read_service(Section section) {
    model::Service service;
    section.require("name");
    section.text("name", service.name);
    section.text("healthPath", service.health_path);
    section.number("connLimit", service.connection_limit);
    if (section.has("engine")) service.engine = read_engine(section.section("engine"));
    if (section.has("scaling")) service.scaling = read_scaling(section.section("scaling"));
    return service;
}

model::ClientLimits read_limits(Section section) {
    model::ClientLimits limits;
    section.positive("maxHeaderBytes", limits.max_header_bytes);
    section.positive("maxBodyBytes", limits.max_body_bytes);
    section.positive("headerTimeoutMs", limits.header_timeout_ms);
    section.positive("idleTimeoutMs", limits.idle_timeout_ms);
    return limits;
}

// What a header can carry as its value: visible ASCII, with spaces inside.
bool fits_header(std::string_view text) {
    const bool is_visible = std::ranges::all_of(text, [](char c) { return c >= ' ' && c <= '~'; });
    return is_visible && !text.empty() && text.front() != ' ' && text.back() != ' ';
}

model::Tenant read_tenant(Section section) {
    model::Tenant tenant;
    section.require("name");
    section.text("name", tenant.name);
    section.texts("apiKeys", tenant.api_keys);
    if (!fits_header(tenant.name))
        section.report("name", "can't stand in a header", "send visible characters of ASCII");
    if (!std::ranges::all_of(tenant.api_keys, fits_header))
        section.report("apiKeys", "holds what can't stand in a header", "send visible characters of ASCII");
    if (section.has("priority")) section.number("priority", tenant.priority.emplace());
    return tenant;
}

// Messages name no key: they go into logs and answers.
void check_tenants(Section& root, const std::vector<model::Tenant>& tenants) {
    std::unordered_set<std::string_view> names;
    std::unordered_map<std::string_view, const model::Tenant*> holders; // by key
    for (const model::Tenant& tenant : tenants) {
        if (!names.insert(tenant.name).second)
            root.report("tenants", "name one twice: " + tenant.name, "give each a name of its own");
        for (const std::string& key : tenant.api_keys) {
            const auto holder = holders.emplace(key, &tenant).first->second;
            if (holder != &tenant)
                root.report("tenants", fmt::format("share a key: {} and {}", holder->name, tenant.name),
                            "give each tenant keys of its own");
        }
    }
}

void read_tenants(Section& root, model::Configuration& configuration) {
    // Not as if it were missing: nobody would need a key.
    if (root.states_null("tenants")) root.report("tenants", "is not a list", "send a list of maps");
    if (!root.has("tenants")) return;
    std::vector<model::Tenant>& tenants = configuration.tenants.emplace();
    root.each("tenants", [&](Section item) { tenants.push_back(read_tenant(std::move(item))); });
    check_tenants(root, tenants);
}

void read_version(Section& root, std::int64_t& into) {
    double version = 0;
    root.require("version");
    root.number("version", version);
    if (version < 1 || version != std::floor(version))
        root.report("version", "is not a whole number above 0", "send one above the current version");
    into = static_cast<std::int64_t>(version);
}

model::Configuration read_root(Section root) {
    model::Configuration configuration;
    for (const char* key : {"routes", "services"}) root.require(key);
    read_version(root, configuration.version);
    root.each("routes", [&](Section item) { configuration.routes.push_back(read_route(std::move(item))); });
    root.each("services",
              [&](Section item) { configuration.services.push_back(read_service(std::move(item))); });
    if (root.has("limits")) configuration.limits = read_limits(root.section("limits"));
    read_tenants(root, configuration);
    return configuration;
}

std::optional<Error> check(const model::Configuration& configuration) {
    std::unordered_set<std::string_view> names;
    for (const model::Service& service : configuration.services)
        if (!names.insert(service.name).second)
            return invalid("services", "name one twice: " + service.name, "give each a name of its own");
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (const model::Route& route : configuration.routes) {
        if (!places.emplace(route.host, route.path_prefix).second)
            return invalid("routes", "share host and pathPrefix: " + route.name, "keep one of them");
        for (const model::WeightedService& share : route.services)
            if (!names.contains(share.service))
                return invalid("routes", "name an unknown service: " + share.service, "add it to services");
    }
    return std::nullopt;
}

Result<model::Configuration> read_tree(const Tree& tree) {
    std::optional<Error> problem;
    model::Configuration configuration = read_root(Section(tree, "", problem));
    if (!problem.has_value()) problem = check(configuration);
    if (problem.has_value()) return *problem;
    return configuration;
}

} // namespace

Result<model::Configuration> parse(std::string_view json) {
    if (json.size() > kLargestText) return unreadable("it is larger than 8 MB");
    if (too_deep(json)) return unreadable("it is nested more than 32 deep");
    try {
        Tree tree;
        std::istringstream stream{std::string(json)};
        boost::property_tree::read_json(stream, tree);
        return read_tree(tree);
    } catch (const boost::property_tree::json_parser_error& problem) {
        return unreadable(fmt::format("line {}: {}", problem.line(), problem.message()));
    }
}

} // namespace ivyrill::configuration
