// The operator's configuration: a complete example is parsed, single fields are changed, and the text is
// truncated, malformed and oversized. Then the routing table built from it.
#define BOOST_TEST_MODULE configuration
#include <boost/test/included/unit_test.hpp>

#include "configuration/parse.hpp"
#include "model/routing_table.hpp"

#include <memory>

using ivyrill::ErrorKind;
using ivyrill::Result;
using ivyrill::configuration::parse;
using ivyrill::model::Configuration;
using ivyrill::model::Engine;
using ivyrill::model::Route;
using ivyrill::model::RouteKind;
using ivyrill::model::RoutingTable;
using ivyrill::model::Service;

namespace {

const std::string kExample =
    R"({"version":7,"routes":[{"name":"r-rr6x73d","host":"ficu95.example","pathPrefix":"/pufi791/",)"
    R"("kind":"streaming","timeoutMs":20000,"targetLatencyMs":120,"priority":0,"service":"huvo11a",)"
    R"("maxAttempts":2,"sticky":true,"resumable":true,"gap_aim_ms":150},{"name":"r-yd4a3hw",)"
    R"("host":"nony24.example","pathPrefix":"/lohu930/","kind":"unsafe","timeoutMs":2000,)"
    R"("targetLatencyMs":151,"priority":1,"trafficSplit":[{"service":"huvo11a","weight":90},)"
    R"({"service":"second","weight":10}],"maxAttempts":1,"sticky":false,"resumable":false,)"
    R"("gap_aim_ms":152}],"services":[{"name":"huvo11a","healthPath":"/health","connLimit":230,)"
    R"("protocol":"h1","tls":false,"engine":{"slots":32,"kvTokenCount":872000,"tokenKvBytes":131072,)"
    R"("linkMbps":3400000.0,"stride":63,"handleHoldS":5.0,"roleSwitchS":0.5,"models":[{"name":"m"}]}},)"
    R"({"name":"second","healthPath":"/alive","connLimit":7}],"limits":{"maxHeaderBytes":16385,)"
    R"("maxBodyBytes":4194305,"headerTimeoutMs":3001,"idleTimeoutMs":15001}})";

// The example with the single occurrence of `from` replaced.
std::string with_change(const std::string& from, const std::string& to, std::string text = kExample) {
    const std::size_t at = text.find(from);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, "not in the example: " << from);
    BOOST_REQUIRE_EQUAL(text.find(from, at + 1), std::string::npos);
    return text.replace(at, from.size(), to);
}

Configuration parse_accepted(const std::string& text) {
    const Result<Configuration> read = parse(text);
    BOOST_REQUIRE_MESSAGE(read.has_value(), (read.has_error() ? read.error().message : ""));
    return read.value();
}

void check_rejected(const std::string& text, const std::string& part) {
    const Result<Configuration> read = parse(text);
    BOOST_REQUIRE_MESSAGE(read.has_error(), "accepted, expected: " << part);
    BOOST_TEST((read.error().kind == ErrorKind::kInvalidInput));
    const std::string& message = read.error().message;
    BOOST_TEST(message.find(part) != std::string::npos, message << " lacks: " << part);
    BOOST_TEST(message.find(';') != std::string::npos, "no remedy in: " << message);
    BOOST_TEST(message.find('\n') == std::string::npos);
}

Route route_for(const std::string& host, const std::string& prefix) {
    Route route;
    route.name = host + prefix;
    route.host = host;
    route.path_prefix = prefix;
    return route;
}

RoutingTable table_of(std::vector<Route> routes) {
    Configuration configuration;
    configuration.routes = std::move(routes);
    return RoutingTable(std::make_shared<const Configuration>(std::move(configuration)));
}

std::string find_route(const RoutingTable& table, std::string_view host, std::string_view path) {
    const Route* route = table.find(host, path);
    return route == nullptr ? "none" : route->name;
}

} // namespace

BOOST_AUTO_TEST_CASE(routes_of_the_example_are_read) {
    const Configuration read = parse_accepted(kExample);
    BOOST_TEST(read.version == 7);
    BOOST_REQUIRE(read.routes.size() == 2);
    const Route& stream = read.routes[0];
    BOOST_TEST(stream.name == "r-rr6x73d");
    BOOST_TEST(stream.host == "ficu95.example");
    BOOST_TEST(stream.path_prefix == "/pufi791/");
    BOOST_TEST((stream.kind == RouteKind::kStreaming));
    BOOST_TEST(stream.timeout_ms == 20000);
    BOOST_TEST(stream.latency_target_ms == 120);
    BOOST_TEST(stream.priority == 0);
    BOOST_REQUIRE(stream.services.size() == 1);
    BOOST_TEST(stream.services[0].service == "huvo11a");
    BOOST_TEST(stream.services[0].weight == 1);
    BOOST_TEST(stream.max_attempts == 2);
    BOOST_TEST(stream.sticky);
    BOOST_TEST(stream.resumable);
    BOOST_TEST(stream.max_event_gap_ms == 150);
    const Route& split = read.routes[1];
    BOOST_TEST((split.kind == RouteKind::kUnsafe));
    BOOST_TEST(split.timeout_ms == 2000);
    BOOST_TEST(split.latency_target_ms == 151);
    BOOST_TEST(split.priority == 1);
    BOOST_REQUIRE(split.services.size() == 2);
    BOOST_TEST(split.services[0].weight == 90);
    BOOST_TEST(split.services[1].service == "second");
    BOOST_TEST(split.services[1].weight == 10);
    BOOST_TEST(split.max_attempts == 1);
    BOOST_TEST(!split.sticky);
    BOOST_TEST(!split.resumable);
    BOOST_TEST(split.max_event_gap_ms == 152);
}

BOOST_AUTO_TEST_CASE(services_and_limits_of_the_example_are_read) {
    const Configuration read = parse_accepted(kExample);
    BOOST_REQUIRE(read.services.size() == 2);
    const Service& service = read.services[0];
    BOOST_TEST(service.name == "huvo11a");
    BOOST_TEST(service.health_path == "/health");
    BOOST_TEST(service.connection_limit == 230);
    BOOST_REQUIRE(service.engine.has_value());
    const Engine& engine = *service.engine;
    BOOST_TEST(engine.slots == 32);
    BOOST_TEST(engine.memory_tokens == 872000);
    BOOST_TEST(engine.token_bytes == 131072);
    BOOST_TEST(engine.link_mbps == 3400000);
    BOOST_TEST(engine.stride == 63);
    BOOST_TEST(engine.kv_handle_hold_s == 5);
    BOOST_TEST(engine.stage_switch_s == 0.5);
    BOOST_TEST(engine.models == std::vector<std::string>{"m"});
    BOOST_TEST(!read.services[1].engine.has_value());
    BOOST_TEST(read.services[1].health_path == "/alive");
    BOOST_TEST(read.limits.max_header_bytes == 16385);
    BOOST_TEST(read.limits.max_body_bytes == 4194305);
    BOOST_TEST(read.limits.header_timeout_ms == 3001);
    BOOST_TEST(read.limits.idle_timeout_ms == 15001);
}

BOOST_AUTO_TEST_CASE(missing_optional_fields_take_the_defaults) {
    const Configuration read = parse_accepted(R"({"version":1,"routes":[{"host":"h","pathPrefix":"/",
        "timeoutMs":5,"service":"s"}],"services":[{"name":"s","engine":{}}]})");
    const Route& route = read.routes[0];
    BOOST_TEST((route.kind == RouteKind::kUnsafe));
    BOOST_TEST(route.max_attempts == 1);
    BOOST_TEST(!route.sticky);
    BOOST_TEST(route.latency_target_ms == 0);
    BOOST_TEST((read.limits == ivyrill::model::ClientLimits{}));
    BOOST_TEST((read.services[0].engine == Engine{}));
    BOOST_TEST(parse_accepted(R"({"version":1,"routes":[],"services":[]})").routes.empty());
}

BOOST_AUTO_TEST_CASE(unknown_fields_are_ignored) {
    std::string text = with_change("{\"version\":7", "{\"future\":[{\"a\":[1,null]}],\"version\":7");
    text = with_change("\"priority\":1", "\"priority\":1,\"colour\":{\"r\":1}", text);
    BOOST_TEST((parse_accepted(text) == parse_accepted(kExample)));
}

BOOST_AUTO_TEST_CASE(unknown_kinds_are_unsafe) {
    BOOST_TEST((parse_accepted(with_change("\"streaming\"", "\"safe\"")).routes[0].kind == RouteKind::kSafe));
    BOOST_TEST(
        (parse_accepted(with_change("\"streaming\"", "\"keyed\"")).routes[0].kind == RouteKind::kUnsafe));
    BOOST_TEST(
        (parse_accepted(with_change("\"streaming\"", "\"novel\"")).routes[0].kind == RouteKind::kUnsafe));
    BOOST_TEST((parse_accepted(with_change("\"streaming\"", "null")).routes[0].kind == RouteKind::kUnsafe));
}

BOOST_AUTO_TEST_CASE(numbers_may_be_decimals) {
    BOOST_TEST(parse_accepted(with_change("\"version\":7", "\"version\":7.0")).version == 7);
    BOOST_TEST(parse_accepted(with_change("\"timeoutMs\":20000", "\"timeoutMs\":2e4")).routes[0].timeout_ms ==
               20000);
    BOOST_TEST(parse_accepted(with_change("\"timeoutMs\":20000", "\"timeoutMs\":0.4")).routes[0].timeout_ms ==
               1);
    BOOST_TEST(parse_accepted(with_change("\"priority\":1", "\"priority\":1.2")).routes[1].priority == 2);
    BOOST_TEST(parse_accepted(with_change("\"weight\":90", "\"weight\":0.25")).routes[1].services[0].weight ==
               0.25);
}

BOOST_AUTO_TEST_CASE(version_is_checked) {
    check_rejected(with_change("\"version\":7,", ""), "version is missing");
    for (const char* wrong : {"0", "-1", "7.5"})
        check_rejected(with_change("\"version\":7", std::string("\"version\":") + wrong), "version is");
    for (const char* wrong : {"\"new\"", "[7]", "{}", "true", "1e999"})
        check_rejected(with_change("\"version\":7", std::string("\"version\":") + wrong),
                       "version is not a number");
    check_rejected(with_change("\"version\":7", "\"version\":null"), "version is missing");
}

BOOST_AUTO_TEST_CASE(timeouts_are_checked) {
    check_rejected(with_change("\"timeoutMs\":2000,", ""), "routes[1].timeoutMs is missing");
    check_rejected(with_change("\"timeoutMs\":2000,", "\"timeoutMs\":0,"),
                   "routes[1].timeoutMs is 0 or less");
    check_rejected(with_change("\"timeoutMs\":2000,", "\"timeoutMs\":-3,"),
                   "routes[1].timeoutMs is 0 or less");
    check_rejected(with_change("\"timeoutMs\":2000,", "\"timeoutMs\":\"x\","),
                   "routes[1].timeoutMs is not a number");
    check_rejected(with_change("\"timeoutMs\":2000,", "\"timeoutMs\":[1],"),
                   "routes[1].timeoutMs is not a number");
}

BOOST_AUTO_TEST_CASE(services_of_routes_are_checked) {
    check_rejected(
        with_change("\"service\":\"huvo11a\",\"maxAttempts\"", "\"service\":\"gone\",\"maxAttempts\""),
        "gone");
    check_rejected(with_change("\"service\":\"huvo11a\",\"maxAttempts\"", "\"maxAttempts\""),
                   "routes[0].service is missing");
    check_rejected(with_change("\"service\":\"huvo11a\",\"maxAttempts\"", "\"service\":null,\"maxAttempts\""),
                   "is missing");
    check_rejected(with_change("\"service\":\"huvo11a\",\"maxAttempts\"", "\"service\":[],\"maxAttempts\""),
                   "service");
    check_rejected(with_change("\"service\":\"second\",\"weight\"", "\"service\":\"gone\",\"weight\""),
                   "unknown service: gone");
    check_rejected(with_change("\"service\":\"second\",\"weight\":10", "\"service\":\"gone\",\"weight\":0"),
                   "gone");
    check_rejected(with_change("{\"name\":\"second\",", "{\"name\":\"third\","), "unknown service: second");
}

BOOST_AUTO_TEST_CASE(weights_are_checked) {
    const std::string split =
        R"("trafficSplit":[{"service":"huvo11a","weight":90},{"service":"second","weight":10}])";
    const std::string part = "routes[1].trafficSplit";
    check_rejected(with_change("\"weight\":90", "\"weight\":-90"), part + "[0].weight is out of range");
    check_rejected(with_change("\"weight\":10", "\"weight\":-1"), part + "[1].weight is out of range");
    check_rejected(with_change("\"weight\":10", "\"weight\":\"much\""), part + "[1].weight is not a number");
    check_rejected(with_change(",\"weight\":10", ""), part + "[1].weight is missing");
    check_rejected(with_change("\"service\":\"second\",\"weight\"", "\"weight\""),
                   part + "[1].service is missing");
    check_rejected(with_change("\"weight\":10", "\"weight\":0", with_change("\"weight\":90", "\"weight\":0")),
                   "add up to 0");
    check_rejected(with_change(split, "\"trafficSplit\":\"huvo11a\""), part + " is not a list");
    check_rejected(with_change(split, "\"trafficSplit\":[]"), "routes[1].service is missing");
    check_rejected(with_change(split, "\"trafficSplit\":[\"huvo11a\"]"), part + "[0] is not a map");
    BOOST_TEST(parse_accepted(with_change("\"weight\":10", "\"weight\":0")).routes[1].services.size() == 2);
    const std::string both = "\"service\":null," + split;
    BOOST_TEST(parse_accepted(with_change(split, both)).routes[1].services.size() == 2);
    BOOST_TEST(parse_accepted(with_change(split, "\"service\":\"second\",\"trafficSplit\":[]"))
                   .routes[1]
                   .services.size() == 1);
}

BOOST_AUTO_TEST_CASE(hosts_and_prefixes_are_checked) {
    check_rejected(with_change("\"host\":\"nony24.example\",", ""), "routes[1].host is missing");
    check_rejected(with_change("\"nony24.example\"", "\"\""), "routes[1].host is not a string");
    check_rejected(with_change("\"nony24.example\"", "{\"a\":1}"), "routes[1].host is not a string");
    check_rejected(with_change("\"pathPrefix\":\"/lohu930/\",", ""), "routes[1].pathPrefix is missing");
    for (const char* wrong : {"lohu/", "/lohu", "lohu"})
        check_rejected(with_change("/lohu930/", wrong),
                       "routes[1].pathPrefix does not begin and end with a slash");
    const std::string same_host = with_change("nony24.example", "FICU95.Example");
    BOOST_TEST(parse_accepted(same_host).routes[1].host == "ficu95.example");
    check_rejected(with_change("/lohu930/", "/pufi791/", same_host), "share host and pathPrefix");
    parse_accepted(with_change("/lohu930/", "/pufi791/"));
}

BOOST_AUTO_TEST_CASE(names_are_checked) {
    check_rejected(with_change("{\"name\":\"second\",", "{"), "services[1].name is missing");
    check_rejected(with_change("{\"name\":\"second\",", "{\"name\":\"huvo11a\","),
                   "have a duplicate name: huvo11a");
    BOOST_TEST(parse_accepted(with_change("r-yd4a3hw", "r-rr6x73d")).routes[1].name == "r-rr6x73d");
    BOOST_TEST(parse_accepted(with_change("\"name\":\"r-yd4a3hw\",", "")).routes[1].name == "");
}

// The example with these tenants.
std::string with_tenants(const std::string& tenants) {
    return with_change("{\"version\":7", "{\"tenants\":" + tenants + ",\"version\":7");
}

BOOST_AUTO_TEST_CASE(key_shared_by_two_tenants_is_rejected) {
    const std::string two = R"([{"name":"a","apiKeys":["k","l"]},{"name":"b","apiKeys":["K","n"]}])";
    const Configuration read = parse_accepted(with_tenants(two));
    BOOST_REQUIRE(read.tenants.has_value());
    BOOST_TEST(read.tenants->at(0).api_keys == (std::vector<std::string>{"k", "l"}));
    check_rejected(with_change("\"K\"", "\"l\"", with_tenants(two)), "tenants share a key: a and b");
    check_rejected(with_change("\"n\"", "\"k\"", with_tenants(two)), "tenants share a key: a and b");
    parse_accepted(
        with_change("\"l\"", "\"k\"", with_tenants(two))); // a duplicate within one tenant is no conflict
}

BOOST_AUTO_TEST_CASE(error_messages_contain_no_api_key) {
    const auto read =
        parse(with_tenants(R"([{"name":"a","apiKeys":["s3cret"]},{"name":"b","apiKeys":["s3cret"]}])"));
    BOOST_REQUIRE(read.has_error());
    BOOST_TEST(read.error().message.find("s3cret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(tenants_with_invalid_names_or_keys_are_rejected) {
    check_rejected(with_tenants(R"([{"apiKeys":["k"]}])"), "tenants[0].name is missing");
    check_rejected(with_tenants(R"([{"name":"a","apiKeys":["k"]},{"name":"a"}])"),
                   "tenants have a duplicate name: a");
    for (const char* name : {"", " a", "a ", "a\\r\\nTenant: b", "\\u00e4"}) {
        check_rejected(with_tenants(std::string(R"([{"name":"a","apiKeys":[")") + name + R"("]}])"),
                       "tenants[0].apiKeys contains");
        check_rejected(with_tenants(std::string(R"([{"name":")") + name + R"("}])"), "tenants[0].name ");
    }
    for (const char* keys : {"\"k\"", "{\"k\":1}", "[[\"k\"]]"})
        check_rejected(with_tenants(std::string(R"([{"name":"a","apiKeys":)") + keys + "}]"),
                       "tenants[0].apiKeys is not a list of strings");
    check_rejected(with_tenants(R"([{"name":"a","priority":-1}])"), "tenants[0].priority is out of range");
    BOOST_TEST(parse_accepted(kExample).tenants.has_value() == false);
    BOOST_TEST(parse_accepted(with_tenants("[]")).tenants.has_value());
}

BOOST_AUTO_TEST_CASE(null_keys_or_tenants_are_rejected) {
    check_rejected(with_tenants(R"([{"name":"a","apiKeys":[null]}])"),
                   "tenants[0].apiKeys is not a list of strings");
    for (const char* tenants : {"null", "\"null\"", "\"a\"", "5", "{\"a\":1}"})
        check_rejected(with_tenants(tenants), "tenants is not a list");
    for (const char* none : {"[]", "{}", "\"\""}) // the property tree does not distinguish these
        BOOST_TEST(parse_accepted(with_tenants(none)).tenants->empty());
}

BOOST_AUTO_TEST_CASE(scaling_is_checked) {
    const auto scaled = [](const std::string& scaling) {
        return with_change("\"connLimit\":7", "\"connLimit\":7,\"scaling\":" + scaling);
    };
    const Configuration read = parse_accepted(scaled(R"({"minCount":9,"maxCount":24,"bootTimeS":4.5})"));
    BOOST_TEST(read.services[1].scaling->max_count == 24);
    BOOST_TEST(read.services[1].scaling->boot_time_s == 4.5);
    check_rejected(scaled(R"({"minCount":9})"), "scaling.maxCount is missing");
    check_rejected(scaled(R"({"minCount":9,"maxCount":8})"), "scaling.maxCount is below minCount");
}

BOOST_AUTO_TEST_CASE(other_numbers_are_checked) {
    for (const char* figure :
         {"\"targetLatencyMs\":151", "\"priority\":1", "\"maxAttempts\":1", "\"gap_aim_ms\":152",
          "\"connLimit\":230", "\"slots\":32", "\"kvTokenCount\":872000", "\"tokenKvBytes\":131072",
          "\"linkMbps\":3400000.0", "\"stride\":63", "\"handleHoldS\":5.0", "\"roleSwitchS\":0.5",
          "\"maxHeaderBytes\":16385", "\"maxBodyBytes\":4194305", "\"headerTimeoutMs\":3001",
          "\"idleTimeoutMs\":15001"}) {
        const std::string whole = figure, key = whole.substr(0, whole.find(':') + 1);
        const std::string name = key.substr(1, key.size() - 3);
        check_rejected(with_change(whole, key + "-1"), "." + name + " is ");
        check_rejected(with_change(whole, key + "\"many\""), "." + name + " is not a number");
        check_rejected(with_change(whole, key + "[1]"), "." + name + " is not a number");
        check_rejected(with_change(whole, key + "1e300"), "." + name + " is out of range");
        parse_accepted(with_change(whole, key + "null"));
    }
    check_rejected(with_change("\"maxAttempts\":1,", "\"maxAttempts\":0,"),
                   "routes[1].maxAttempts is out of range");
    check_rejected(with_change("\"sticky\":true", "\"sticky\":1"),
                   "routes[0].sticky is neither true nor false");
    check_rejected(with_change("\"resumable\":true", "\"resumable\":[]"),
                   "routes[0].resumable is neither true nor false");
    check_rejected(with_change("\"slots\":32", "\"slots\":0"), "services[0].engine.slots is out of range");
    check_rejected(with_change("\"maxBodyBytes\":4194305", "\"maxBodyBytes\":0"),
                   "limits.maxBodyBytes is 0 or less");
}

BOOST_AUTO_TEST_CASE(types_are_checked) {
    check_rejected(with_change("[{\"name\":\"m\"}]", "\"m\""), "services[0].engine.models is not a list");
    check_rejected(with_change("[{\"name\":\"m\"}]", "[{}]"), "services[0].engine.models[0].name is missing");
    check_rejected(R"({"version":1,"services":[]})", "routes is missing");
    check_rejected(R"({"version":1,"routes":[]})", "services is missing");
    check_rejected(R"({"version":1,"routes":"all","services":[]})", "routes is not a list");
    check_rejected(R"({"version":1,"routes":[],"services":{"a":{}}})", "services is not a list");
    check_rejected(R"({"version":1,"routes":[],"services":[],"limits":[1]})", "limits is not a map");
    for (const char* other : {"[]", "[1]", "7", "\"text\"", "null", "true", "{}"})
        check_rejected(other, "configuration: ");
}

BOOST_AUTO_TEST_CASE(truncated_text_is_rejected) {
    parse_accepted(kExample);
    for (std::size_t length = 0; length < kExample.size(); ++length)
        check_rejected(kExample.substr(0, length), "is not valid JSON");
}

BOOST_AUTO_TEST_CASE(garbage_after_the_end_is_rejected) {
    parse_accepted(kExample + " \r\n\t");
    for (const char* rest : {"}", "x", "{}", ",", "\"", "null"})
        check_rejected(kExample + rest, "is not valid JSON");
    check_rejected(kExample + kExample, "is not valid JSON");
    check_rejected(kExample + std::string(1, '\0'), "is not valid JSON");
}

BOOST_AUTO_TEST_CASE(invalid_syntax_is_rejected) {
    check_rejected(with_change("\"version\":7", "version:7"), "is not valid JSON");
    check_rejected(with_change("\"version\":7", "\"version\":07"), "is not valid JSON");
    check_rejected(with_change("\"version\":7", "\"version\":"), "is not valid JSON");
    check_rejected(with_change("\"version\":7,", "\"version\":7,,"), "is not valid JSON");
    check_rejected(with_change("r-yd4a3hw", "\xff\xfe"), "is not valid JSON");
    check_rejected(with_change("r-yd4a3hw", "\\x"), "is not valid JSON");
}

BOOST_AUTO_TEST_CASE(nesting_is_limited) {
    const auto nested = [](int depth) { // total depth including the outermost map
        const std::string open(static_cast<std::size_t>(depth - 1), '['), close(open.size(), ']');
        return with_change("{\"version\":7", "{\"deep\":" + open + close + ",\"version\":7");
    };
    parse_accepted(nested(32));
    check_rejected(nested(33), "nested more than 32 deep");
    check_rejected(std::string(8'000'000, '['), "nested more than 32 deep");
    check_rejected(std::string(1'000'000, '{'), "nested more than 32 deep");
    const std::string quoted = "\"" + std::string(100, '[') + "\\\"" + std::string(100, '{') + "\"";
    parse_accepted(with_change("\"r-yd4a3hw\"", quoted));
}

BOOST_AUTO_TEST_CASE(size_is_limited) {
    const std::size_t most = 8 * 1024 * 1024;
    parse_accepted(kExample + std::string(most - kExample.size(), ' '));
    check_rejected(kExample + std::string(most - kExample.size() + 1, ' '), "larger than 8 MB");
}

BOOST_AUTO_TEST_CASE(number_of_values_is_limited) {
    const auto with_values = [](std::size_t count) {
        std::string list;
        for (std::size_t i = 0; i < count; ++i) list += "1,";
        return with_change("{\"version\":7", "{\"more\":[" + list + "1],\"version\":7");
    };
    parse_accepted(with_values(290'000));
    check_rejected(with_values(300'000), "more than 300000 values");
    check_rejected("{\"version\":7,\"routes\":[" + std::string(7'000'000, ','), "more than 300000 values");
}

BOOST_AUTO_TEST_CASE(longest_prefix_wins) {
    const RoutingTable table = table_of(
        {route_for("a", "/"), route_for("a", "/x/"), route_for("a", "/x/y/z/"), route_for("b", "/x/")});
    BOOST_TEST(find_route(table, "a", "/") == "a/");
    BOOST_TEST(find_route(table, "a", "/other") == "a/");
    BOOST_TEST(find_route(table, "a", "/x/") == "a/x/");
    BOOST_TEST(find_route(table, "a", "/x/y") == "a/x/");
    BOOST_TEST(find_route(table, "a", "/x/y/z") == "a/x/");
    BOOST_TEST(find_route(table, "a", "/x/y/z/") == "a/x/y/z/");
    BOOST_TEST(find_route(table, "a", "/x/y/z/w/v/u") == "a/x/y/z/");
    BOOST_TEST(find_route(table, "a", "/x") == "a/");
    BOOST_TEST(find_route(table, "b", "/x/1") == "b/x/");
    BOOST_TEST(find_route(table, "b", "/x") == "none");
    BOOST_TEST(find_route(table, "b", "/xx/") == "none");
    BOOST_TEST(find_route(table, "c", "/x/") == "none");
    BOOST_TEST(find_route(table, "b", "") == "none");
    BOOST_TEST(find_route(table, "b", "*") == "none");
}

BOOST_AUTO_TEST_CASE(query_is_not_part_of_the_path) {
    const RoutingTable table = table_of({route_for("a", "/x/"), route_for("a", "/x/y?z/")});
    BOOST_TEST(find_route(table, "a", "/x/?q=/1/2") == "a/x/");
    BOOST_TEST(find_route(table, "a", "/x/y?z/1") == "a/x/"); // a query does not affect the route
    BOOST_TEST(find_route(table, "a", "/x?/") == "none");
    BOOST_TEST(find_route(table, "a", "?/x/") == "none");
}

BOOST_AUTO_TEST_CASE(case_and_port_of_a_host_are_ignored) {
    const RoutingTable table = table_of({route_for("ficu95.example", "/x/"), route_for("[::1]", "/x/")});
    for (const char* host : {"ficu95.example", "FICU95.Example", "ficu95.example:80", "Ficu95.EXAMPLE:"})
        BOOST_TEST(find_route(table, host, "/x/") == "ficu95.example/x/");
    BOOST_TEST(find_route(table, "[::1]", "/x/") == "[::1]/x/");
    BOOST_TEST(find_route(table, "[::1]:8080", "/x/") == "[::1]/x/");
    for (const char* host : {"", ":80", "ficu95.exampl", "ficu95.examplee", "x.ficu95.example"})
        BOOST_TEST(find_route(table, host, "/x/") == "none");
    BOOST_TEST(find_route(table, "ficu95.example", "/X/") == "none");
}

BOOST_AUTO_TEST_CASE(services_are_found_by_name) {
    const RoutingTable table(std::make_shared<const Configuration>(parse_accepted(kExample)));
    BOOST_REQUIRE(table.service("second") != nullptr);
    BOOST_TEST(table.service("second")->connection_limit == 7);
    BOOST_TEST(table.service("third") == nullptr);
    BOOST_TEST(table.configuration().version == 7);
    BOOST_TEST(table.find("nony24.example", "/lohu930/2f") == &table.configuration().routes[1]);
}

BOOST_AUTO_TEST_CASE(routing_table_owns_its_configuration) {
    auto configuration = std::make_shared<const Configuration>(parse_accepted(kExample));
    const std::weak_ptr<const Configuration> watched = configuration;
    {
        const RoutingTable table(std::move(configuration));
        const RoutingTable copy = table;
        BOOST_TEST(!watched.expired());
        BOOST_TEST(copy.find("ficu95.example", "/pufi791/")->name == "r-rr6x73d");
    }
    BOOST_TEST(watched.expired());
}

BOOST_AUTO_TEST_CASE(services_are_chosen_by_weight) {
    const RoutingTable table = table_of({});
    Route route;
    BOOST_TEST((table.choose_service(route, 0.5) == std::nullopt));
    route.services = {{"none", 0}, {"a", 1}, {"idle", 0}, {"b", 3}, {"last", 0}};
    BOOST_TEST(table.choose_service(route, 0).value() == "a");
    BOOST_TEST(table.choose_service(route, 0.2499).value() == "a");
    BOOST_TEST(table.choose_service(route, 0.25).value() == "b");
    BOOST_TEST(table.choose_service(route, 0.999999).value() == "b");
    BOOST_TEST(table.choose_service(route, 1).value() == "b"); // the largest draw after rounding
    int drawn = 0;
    for (int i = 0; i < 1000; ++i) drawn += table.choose_service(route, i / 1000.0).value() == "a" ? 1 : 0;
    BOOST_TEST(drawn == 250);
    route.services = {{"none", 0}};
    BOOST_TEST((table.choose_service(route, 0) == std::nullopt));
}
