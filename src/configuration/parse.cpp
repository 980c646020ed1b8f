// Three steps: the text is parsed into a tree within size limits, the tree is converted to the model types,
// and constraints across routes and services are checked. The tree stores text only, so `null` counts as
// missing and "5" as the number 5.
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

constexpr std::size_t kMaxTextBytes = 8 * 1024 * 1024; // bytes
constexpr int kMaxNesting = 32;                        // nesting depth of maps and lists
constexpr std::size_t kMaxValues = 300'000;            // about 20,000 routes; a tree takes 300 bytes for each
constexpr double kMaxNumber = 1e15;                    // integers up to it are exact in a double

Error invalid(std::string_view where, std::string_view what, std::string_view remedy) {
    return error(ErrorKind::kInvalidInput, fmt::format("configuration: {} {}; {}", where, what, remedy));
}

Error unreadable(std::string_view why) {
    return invalid("the text", fmt::format("is not valid JSON ({})", why), "send valid JSON");
}

// The parser is recursive and its tree many times as large as the text, so both are bounded before parsing.
struct Shape {
    int depth = 0;          // of the deepest value
    std::size_t values = 0; // maps, lists, and what stands between commas
};

Shape measure(std::string_view json) {
    Shape shape;
    int depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < json.size(); ++i) {
        const char c = json[i];
        if (in_string && c == '\\')
            ++i;
        else if (c == '"')
            in_string = !in_string;
        else if (!in_string && (c == '{' || c == '['))
            ++depth, ++shape.values;
        else if (!in_string && c == ',')
            ++shape.values;
        else if (!in_string && (c == '}' || c == ']'))
            --depth;
        shape.depth = std::max(shape.depth, depth);
    }
    return shape;
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
    const auto [parsed_end, problem] = std::from_chars(text.data(), end, value);
    if (problem != std::errc{} || parsed_end != end || !std::isfinite(value)) return std::nullopt;
    return value;
}

std::string lower_case(std::string text) {
    for (char& c : text)
        if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
    return text;
}

// One map of the text. Only the first problem is kept, shared by all maps; a key with a problem leaves its
// target unchanged.
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
        problem_ = invalid(where.empty() ? "the document" : where, what, remedy);
    }

    void require(const std::string& key) {
        if (find(key) == nullptr) report(key, "is missing", "add the key");
    }

    bool has(const std::string& key) const { return find(key) != nullptr; }
    bool is_explicit_null(const std::string& key) const { return tree_.count(key) > 0 && !has(key); }

    Section section(const std::string& key) {
        static const Tree kEmpty;
        const Tree* found = find(key);
        return {found == nullptr ? kEmpty : *found, path_.empty() ? key : path_ + "." + key, problem_};
    }

    // Calls `read` with a section for each list item.
    template <class Read> void for_each(const std::string& key, Read read) {
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

    void text(const std::string& key, std::string& out) {
        const Tree* found = find(key);
        if (found == nullptr) return;
        if (!found->empty() || found->data().empty()) return report(key, "is not a string", "send a string");
        out = found->data();
    }

    void texts(const std::string& key, std::vector<std::string>& out) {
        const Tree* found = find(key);
        if (found == nullptr) return;
        const auto is_text = [](const auto& item) {
            return item.first.empty() && item.second.empty() && !is_null(item.second);
        };
        if (!is_list(*found) || !std::ranges::all_of(*found, is_text))
            return report(key, "is not a list of strings", "send a list of strings");
        for (const auto& [name, item] : *found) out.push_back(item.data());
    }

    void flag(const std::string& key, bool& out) {
        const Tree* found = find(key);
        if (found == nullptr) return;
        if (!found->empty() || (found->data() != "true" && found->data() != "false"))
            return report(key, "is neither true nor false", "send true or false");
        out = found->data() == "true";
    }

    void number(const std::string& key, double& out, double min = 0) {
        const Tree* found = find(key);
        if (found == nullptr) return;
        const auto value = found->empty() ? number_of(found->data()) : std::nullopt;
        if (!value.has_value()) return report(key, "is not a number", "send a number");
        if (*value < min || *value > kMaxNumber) {
            const std::string remedy = fmt::format("send a number from {:.0f} to {:.0f}", min, kMaxNumber);
            return report(key, "is out of range", remedy);
        }
        out = *value;
    }

    // Fractions are rounded up.
    void number(const std::string& key, std::int64_t& out, double min = 0) {
        double value = static_cast<double>(out);
        number(key, value, min);
        out = static_cast<std::int64_t>(std::ceil(value));
    }

    // As above, but 0 is rejected.
    void positive(const std::string& key, std::int64_t& out) {
        double value = static_cast<double>(out);
        number(key, value, -kMaxNumber);
        if (has(key) && value <= 0) report(key, "is 0 or less", "send a number above 0");
        out = static_cast<std::int64_t>(std::ceil(value));
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

model::RouteKind kind_of(const std::string& text) { // `keyed` and unknown kinds must not be retried
    if (text == "safe") return model::RouteKind::kSafe;
    return text == "streaming" ? model::RouteKind::kStreaming : model::RouteKind::kUnsafe;
}

void read_split(Section& section, model::Route& route) {
    double sum = 0;
    section.for_each("trafficSplit", [&](Section item) {
        model::WeightedService& weighted = route.services.emplace_back();
        item.require("service");
        item.require("weight");
        item.text("service", weighted.service);
        item.number("weight", weighted.weight);
        sum += weighted.weight;
    });
    const bool has_no_weight = !route.services.empty() && sum <= 0;
    if (has_no_weight)
        section.report("trafficSplit", "has weights that add up to 0", "give a service a weight above 0");
}

void read_services_of(Section& section, model::Route& route) {
    read_split(section, route);
    if (!route.services.empty()) return;
    model::WeightedService single;
    section.text("service", single.service);
    if (single.service.empty())
        section.report("service", "is missing, and so is trafficSplit", "name the route's service");
    route.services.push_back(std::move(single));
}

void read_prefix(Section& section, std::string& out) {
    section.require("pathPrefix");
    section.text("pathPrefix", out);
    if (!out.empty() && (out.front() != '/' || out.back() != '/'))
        section.report("pathPrefix", "does not begin and end with a slash", "use a prefix such as /path/");
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
    section.number("gap_aim_ms", route.max_event_gap_ms);
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
    section.number("handleHoldS", engine.kv_handle_hold_s);
    section.number("roleSwitchS", engine.stage_switch_s);
    section.for_each("models", [&](Section item) {
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
        section.report("maxCount", "is below minCount", "use a maxCount of at least minCount");
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

// Valid as a header value: visible ASCII, with spaces only inside.
bool is_header_value(std::string_view text) {
    const bool is_visible = std::ranges::all_of(text, [](char c) { return c >= ' ' && c <= '~'; });
    return is_visible && !text.empty() && text.front() != ' ' && text.back() != ' ';
}

model::Tenant read_tenant(Section section) {
    model::Tenant tenant;
    section.require("name");
    section.text("name", tenant.name);
    section.texts("apiKeys", tenant.api_keys);
    if (!is_header_value(tenant.name))
        section.report("name", "is not a valid header value", "use visible ASCII characters");
    if (!std::ranges::all_of(tenant.api_keys, is_header_value))
        section.report("apiKeys", "contains a key that is not a valid header value",
                       "use visible ASCII characters");
    if (section.has("priority")) section.number("priority", tenant.priority.emplace());
    return tenant;
}

// Error messages don't contain keys, because they go into logs and responses.
void check_tenants(Section& root, const std::vector<model::Tenant>& tenants) {
    std::unordered_set<std::string_view> names;
    std::unordered_map<std::string_view, const model::Tenant*> owners; // by key
    for (const model::Tenant& tenant : tenants) {
        if (!names.insert(tenant.name).second)
            root.report("tenants", "have a duplicate name: " + tenant.name, "use unique names");
        for (const std::string& key : tenant.api_keys) {
            const auto owner = owners.emplace(key, &tenant).first->second;
            if (owner != &tenant)
                root.report("tenants", fmt::format("share a key: {} and {}", owner->name, tenant.name),
                            "use different keys for each tenant");
        }
    }
}

void read_tenants(Section& root, model::Configuration& configuration) {
    // null is not treated as missing: no request would need a key then.
    if (root.is_explicit_null("tenants")) root.report("tenants", "is not a list", "send a list of maps");
    if (!root.has("tenants")) return;
    std::vector<model::Tenant>& tenants = configuration.tenants.emplace();
    root.for_each("tenants", [&](Section item) { tenants.push_back(read_tenant(std::move(item))); });
    check_tenants(root, tenants);
}

void read_version(Section& root, std::int64_t& out) {
    double version = 0;
    root.require("version");
    root.number("version", version);
    if (version < 1 || version != std::floor(version))
        root.report("version", "is not a whole number above 0", "send a version above the current one");
    out = static_cast<std::int64_t>(version);
}

model::Configuration read_root(Section root) {
    model::Configuration configuration;
    for (const char* key : {"routes", "services"}) root.require(key);
    read_version(root, configuration.version);
    root.for_each("routes",
                  [&](Section item) { configuration.routes.push_back(read_route(std::move(item))); });
    root.for_each("services",
                  [&](Section item) { configuration.services.push_back(read_service(std::move(item))); });
    if (root.has("limits")) configuration.limits = read_limits(root.section("limits"));
    read_tenants(root, configuration);
    return configuration;
}

std::optional<Error> check(const model::Configuration& configuration) {
    std::unordered_set<std::string_view> names;
    for (const model::Service& service : configuration.services)
        if (!names.insert(service.name).second)
            return invalid("services", "have a duplicate name: " + service.name, "use unique names");
    std::set<std::pair<std::string_view, std::string_view>> route_keys;
    for (const model::Route& route : configuration.routes) {
        if (!route_keys.emplace(route.host, route.path_prefix).second)
            return invalid("routes", "share host and pathPrefix: " + route.name, "remove one of them");
        for (const model::WeightedService& weighted : route.services)
            if (!names.contains(weighted.service))
                return invalid("routes", "name an unknown service: " + weighted.service,
                               "add it to services");
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
    if (json.size() > kMaxTextBytes) return unreadable("it is larger than 8 MB");
    const Shape shape = measure(json);
    if (shape.depth > kMaxNesting) return unreadable("it is nested more than 32 deep");
    if (shape.values > kMaxValues)
        return invalid("the text", fmt::format("holds more than {} values", kMaxValues), "send fewer routes");
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
