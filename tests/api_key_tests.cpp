// API keys: lookup in one configuration, admission of requests, and what is forwarded to a server.
#define BOOST_TEST_MODULE api_key
#include "proxy/caller.hpp"
#include "proxy/client_request.hpp"

#include <boost/test/included/unit_test.hpp>

#include <optional>

namespace {

using namespace ivyrill;
using namespace ivyrill::proxy;
using protocol::HttpMessage;
using protocol::HttpParser;

using Headers = std::vector<std::pair<std::string, std::string>>;

model::Configuration with_tenants() {
    model::Configuration configuration;
    configuration.tenants = {{"etna", {"key-1", "key-2"}, 3}, {"conca", {"key-3"}, std::nullopt}};
    return configuration;
}

model::Route route(bool is_public) {
    model::Route made;
    made.is_public = is_public;
    return made;
}

HttpMessage message(const Headers& headers) {
    HttpMessage made;
    made.method = "POST", made.target = "/lohu930/2f";
    made.headers = headers;
    return made;
}

Caller identify(const Headers& headers, const model::Configuration& configuration, bool is_public = false) {
    static model::Configuration configuration_copy; // the returned Caller points into it
    configuration_copy = configuration;
    return caller_of(message(headers), route(is_public), model::TenantTable(configuration_copy));
}

bool refused(const Headers& headers, Admission why) {
    const Caller caller = identify(headers, with_tenants());
    return caller.admission == why && caller.tenant == nullptr;
}

// The request as parsed by a server.
HttpMessage sent(const Headers& headers, const std::string& tenant) {
    Forwarding forwarding;
    forwarding.target_instance = "i-7f3a91c2", forwarding.tenant = tenant;
    HttpParser parser(HttpParser::Side::kRequests);
    parser.feed(server_request(read_client_request(message(headers), 0), forwarding));
    BOOST_REQUIRE(parser.complete());
    return parser.take();
}

// The request as parsed from a client; none if it is malformed.
std::optional<HttpMessage> received(const std::string& headers, const std::string& rest = "") {
    HttpParser parser(HttpParser::Side::kRequests);
    parser.feed("POST /lohu930/2f HTTP/1.1\r\nHost: nony24.example\r\n" + headers + "\r\n" + rest);
    if (!parser.complete()) return std::nullopt;
    return parser.take();
}

Admission admission_of(const HttpMessage& request) {
    static const model::Configuration configuration_copy = with_tenants();
    return caller_of(request, route(false), model::TenantTable(configuration_copy)).admission;
}

} // namespace

BOOST_AUTO_TEST_CASE(only_the_keys_of_a_tenant_are_known) {
    for (const char* key : {"key-1", "key-2"})
        BOOST_TEST(identify({{"api-key", key}}, with_tenants()).tenant->name == "etna");
    BOOST_TEST(identify({{"api-key", "key-3"}}, with_tenants()).tenant->name == "conca");
    for (const std::string& key : {std::string("key-4"), std::string("KEY-1"), std::string("key-1,key-2"),
                                   std::string("key-"), std::string(4096, 'k')})
        BOOST_TEST(refused({{"api-key", key}}, Admission::kKeyUnknown), key);
}

BOOST_AUTO_TEST_CASE(a_request_without_exactly_one_key_is_refused) {
    BOOST_TEST(refused({}, Admission::kKeyMissing));
    BOOST_TEST(refused({{"api-key", ""}}, Admission::kKeyMissing));
    BOOST_TEST(refused({{"api-key", "key-1"}, {"api-key", "key-1"}}, Admission::kKeyMissing));
    BOOST_TEST(refused({{"api-key", "key-1"}, {"api-key", "key-3"}}, Admission::kKeyMissing));
}

BOOST_AUTO_TEST_CASE(public_route_needs_no_key_and_uses_the_tenant_of_a_known_one) {
    for (const Headers& headers : {Headers{}, Headers{{"api-key", "key-4"}}}) {
        const Caller caller = identify(headers, with_tenants(), true);
        BOOST_TEST((caller.admission == Admission::kAdmitted && caller.tenant == nullptr));
    }
    BOOST_TEST(identify({{"api-key", "key-3"}}, with_tenants(), true).tenant->name == "conca");
}

BOOST_AUTO_TEST_CASE(no_tenants_need_no_key_and_an_empty_list_knows_none) {
    BOOST_TEST((identify({}, {}).admission == Admission::kAdmitted));
    BOOST_TEST((identify({{"api-key", "key-1"}}, {}).admission == Admission::kAdmitted));
    model::Configuration none_left;
    none_left.tenants.emplace();
    BOOST_TEST((identify({{"api-key", "key-1"}}, none_left).admission == Admission::kKeyUnknown));
}

BOOST_AUTO_TEST_CASE(ten_thousand_tenants_are_distinguished) {
    model::Configuration configuration;
    std::vector<model::Tenant>& tenants = configuration.tenants.emplace();
    for (int i = 0; i < 10'000; ++i)
        tenants.push_back({"t" + std::to_string(i), {"k" + std::to_string(i)}, std::nullopt});
    const model::TenantTable table(configuration);
    for (const int i : {0, 1, 4711, 9999})
        BOOST_TEST(table.find("k" + std::to_string(i))->name == "t" + std::to_string(i));
    BOOST_TEST((table.find("k10000") == nullptr));
}

BOOST_AUTO_TEST_CASE(server_gets_the_tenant_and_never_the_key) {
    const Headers headers{{"api-key", "key-1"},
                          {"tenant", "conca"},
                          {"connection", "tenant, api-key, x-a"},
                          {"x-a", "1"},
                          {"x-b", "2"}};
    const HttpMessage seen = sent(headers, "etna");
    BOOST_TEST(seen.header("tenant") == "etna");
    BOOST_TEST(seen.header_count("tenant") == 1U);
    BOOST_TEST(seen.header_count("api-key") == 0U);
    BOOST_TEST(seen.header_count("x-a") == 0U);
    BOOST_TEST(seen.header("x-b") == "2");
    const HttpMessage anonymous = sent(headers, "");
    BOOST_TEST(anonymous.header_count("tenant") + anonymous.header_count("api-key") == 0U);
}

BOOST_AUTO_TEST_CASE(key_header_ignores_case_and_surrounding_white_space) {
    for (const char* headers : {"Api-Key: key-1\r\n", "API-KEY:key-1\r\n", "api-key: \t key-1 \t\r\n",
                                "Api-Key: key-1\r\nConnection: api-key\r\n"}) {
        const auto request = received(headers);
        BOOST_REQUIRE(request.has_value());
        BOOST_TEST((admission_of(*request) == Admission::kAdmitted), headers);
    }
}

BOOST_AUTO_TEST_CASE(ambiguous_key_headers_admit_nobody) {
    for (const char* headers : {"Api-Key : key-1\r\n", " Api-Key: key-1\r\n", "X-A: 1\r\n Api-Key: key-1\r\n",
                                "Api-Key:\r\n key-1\r\n", "Api-Key: key-\x01\r\n",
                                "X-A: 1\nApi-Key: key-1\r\n", "X-A: 1\rApi-Key: key-1\r\n"})
        BOOST_TEST(!received(headers).has_value(), headers);
    const auto trailing =
        received("Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\nApi-Key: key-1\r\nTenant: etna\r\n\r\n");
    BOOST_REQUIRE(trailing.has_value());
    BOOST_TEST((admission_of(*trailing) == Admission::kKeyMissing));
    for (const char* headers : {"Api_Key: key-1\r\n", "Api-Key: \"key-1\"\r\n", "Api-Key: key-1;\r\n"}) {
        const auto request = received(headers);
        BOOST_REQUIRE(request.has_value());
        BOOST_TEST((admission_of(*request) != Admission::kAdmitted), headers);
    }
}

BOOST_AUTO_TEST_CASE(tenant_headers_and_trailers_of_clients_are_dropped) {
    const auto request = received("TENANT: conca\r\ntEnAnT: etna\r\nAPI-key: key-1\r\n"
                                  "Transfer-Encoding: chunked\r\n",
                                  "1\r\na\r\n0\r\nTenant: conca\r\n\r\n");
    BOOST_REQUIRE(request.has_value());
    const HttpMessage seen = sent(request->headers, "etna");
    BOOST_TEST(seen.header("tenant") == "etna");
    BOOST_TEST(seen.header_count("tenant") == 1U);
    BOOST_TEST(seen.header_count("api-key") == 0U);
}

BOOST_AUTO_TEST_CASE(tenant_priority_overrides_route_priority) {
    model::Route requested = route(false);
    requested.priority = 4;
    const model::Tenant ranked{"etna", {}, 0}, unranked{"conca", {}, std::nullopt}, low{"alia", {}, 77};
    BOOST_TEST(priority_of(requested, &ranked) == 0);
    BOOST_TEST(priority_of(requested, &unranked) == 4);
    BOOST_TEST(priority_of(requested, nullptr) == 4);
    BOOST_TEST(priority_of(requested, &low) == 9);
}
