// Who calls, by the API key: the table of one configuration, the verdict on a request, and what of it goes to
// a server.
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

Caller verdict(const Headers& headers, const model::Configuration& configuration, bool is_public = false) {
    static model::Configuration held; // what a verdict points into
    held = configuration;
    return caller_of(message(headers), route(is_public), model::TenantTable(held));
}

bool refused(const Headers& headers, Admission why) {
    const Caller caller = verdict(headers, with_tenants());
    return caller.admission == why && caller.tenant == nullptr;
}

// As a server reads it.
HttpMessage sent(const Headers& headers, const std::string& tenant) {
    Forwarding forwarding;
    forwarding.target_instance = "i-7f3a91c2", forwarding.tenant = tenant;
    HttpParser parser(HttpParser::Side::kRequests);
    parser.feed(server_request(read_client_request(message(headers), 0), forwarding));
    BOOST_REQUIRE(parser.complete());
    return parser.take();
}

// As a client writes it; none where it is no request.
std::optional<HttpMessage> received(const std::string& headers, const std::string& rest = "") {
    HttpParser parser(HttpParser::Side::kRequests);
    parser.feed("POST /lohu930/2f HTTP/1.1\r\nHost: nony24.example\r\n" + headers + "\r\n" + rest);
    if (!parser.complete()) return std::nullopt;
    return parser.take();
}

Admission admission_of(const HttpMessage& request) {
    static const model::Configuration held = with_tenants();
    return caller_of(request, route(false), model::TenantTable(held)).admission;
}

} // namespace

BOOST_AUTO_TEST_CASE(each_key_of_a_tenant_is_known_and_no_other) {
    for (const char* key : {"key-1", "key-2"})
        BOOST_TEST(verdict({{"api-key", key}}, with_tenants()).tenant->name == "etna");
    BOOST_TEST(verdict({{"api-key", "key-3"}}, with_tenants()).tenant->name == "conca");
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

BOOST_AUTO_TEST_CASE(a_public_route_needs_no_key_and_takes_a_tenant_only_from_a_known_one) {
    for (const Headers& headers : {Headers{}, Headers{{"api-key", "key-4"}}}) {
        const Caller caller = verdict(headers, with_tenants(), true);
        BOOST_TEST((caller.admission == Admission::kAdmitted && caller.tenant == nullptr));
    }
    BOOST_TEST(verdict({{"api-key", "key-3"}}, with_tenants(), true).tenant->name == "conca");
}

BOOST_AUTO_TEST_CASE(without_tenants_no_key_is_needed_and_with_an_empty_list_none_is_known) {
    BOOST_TEST((verdict({}, {}).admission == Admission::kAdmitted));
    BOOST_TEST((verdict({{"api-key", "key-1"}}, {}).admission == Admission::kAdmitted));
    model::Configuration none_left;
    none_left.tenants.emplace();
    BOOST_TEST((verdict({{"api-key", "key-1"}}, none_left).admission == Admission::kKeyUnknown));
}

BOOST_AUTO_TEST_CASE(ten_thousand_tenants_are_told_apart) {
    model::Configuration configuration;
    std::vector<model::Tenant>& tenants = configuration.tenants.emplace();
    for (int i = 0; i < 10'000; ++i)
        tenants.push_back({"t" + std::to_string(i), {"k" + std::to_string(i)}, std::nullopt});
    const model::TenantTable table(configuration);
    for (const int i : {0, 1, 4711, 9999})
        BOOST_TEST(table.find("k" + std::to_string(i))->name == "t" + std::to_string(i));
    BOOST_TEST((table.find("k10000") == nullptr));
}

BOOST_AUTO_TEST_CASE(a_server_is_told_the_tenant_and_never_the_key_whatever_the_client_sent) {
    const Headers headers{{"api-key", "key-1"},
                          {"tenant", "conca"},
                          {"connection", "tenant, api-key, x-a"},
                          {"x-a", "1"},
                          {"x-b", "2"}};
    const HttpMessage seen = sent(headers, "etna");
    BOOST_TEST(seen.header("tenant") == "etna");
    BOOST_TEST(seen.times("tenant") == 1U);
    BOOST_TEST(seen.times("api-key") == 0U);
    BOOST_TEST(seen.times("x-a") == 0U);
    BOOST_TEST(seen.header("x-b") == "2");
    const HttpMessage nameless = sent(headers, "");
    BOOST_TEST(nameless.times("tenant") + nameless.times("api-key") == 0U);
}

BOOST_AUTO_TEST_CASE(a_key_is_known_in_any_letter_case_of_its_header_and_with_white_space_around_it) {
    for (const char* headers : {"Api-Key: key-1\r\n", "API-KEY:key-1\r\n", "api-key: \t key-1 \t\r\n",
                                "Api-Key: key-1\r\nConnection: api-key\r\n"}) {
        const auto request = received(headers);
        BOOST_REQUIRE(request.has_value());
        BOOST_TEST((admission_of(*request) == Admission::kAdmitted), headers);
    }
}

BOOST_AUTO_TEST_CASE(a_key_that_another_reader_might_not_see_admits_nobody) {
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

BOOST_AUTO_TEST_CASE(no_letter_case_of_the_tenants_header_and_no_trailer_reaches_a_server) {
    const auto request = received("TENANT: conca\r\ntEnAnT: etna\r\nAPI-key: key-1\r\n"
                                  "Transfer-Encoding: chunked\r\n",
                                  "1\r\na\r\n0\r\nTenant: conca\r\n\r\n");
    BOOST_REQUIRE(request.has_value());
    const HttpMessage seen = sent(request->headers, "etna");
    BOOST_TEST(seen.header("tenant") == "etna");
    BOOST_TEST(seen.times("tenant") == 1U);
    BOOST_TEST(seen.times("api-key") == 0U);
}

BOOST_AUTO_TEST_CASE(a_tenants_priority_precedes_its_routes) {
    model::Route asked = route(false);
    asked.priority = 4;
    const model::Tenant ranked{"etna", {}, 0}, unranked{"conca", {}, std::nullopt}, low{"alia", {}, 77};
    BOOST_TEST(priority_of(asked, &ranked) == 0);
    BOOST_TEST(priority_of(asked, &unranked) == 4);
    BOOST_TEST(priority_of(asked, nullptr) == 4);
    BOOST_TEST(priority_of(asked, &low) == 9);
}
