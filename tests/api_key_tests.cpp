// Who calls, by the API key: the table of one configuration, the verdict on a request, and what of it goes to
// a server.
#define BOOST_TEST_MODULE api_key
#include "proxy/caller.hpp"
#include "proxy/client_request.hpp"

#include <boost/test/included/unit_test.hpp>

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
        BOOST_TEST(table.holder("k" + std::to_string(i))->name == "t" + std::to_string(i));
    BOOST_TEST((table.holder("k10000") == nullptr));
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
