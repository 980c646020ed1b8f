// Parsing of a model server's heartbeat, also with each field invalid in turn.
#define BOOST_TEST_MODULE register_call
#include "control/instance_registry.hpp"

#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using namespace ivyrill::control;
using model::Instance;
using model::InstanceState;

const std::string kValid =
    R"({"service":"huvo","address":"10.128.0.9:8080","zone":"wien","version":"v1","slots":48,"state":"serving",)"
    R"("coldLeftMs":0,"stage":"decode","models":[{"name":"m","version":1,"adapters":[]}],"callSeq":4})";

std::string with(const std::string& field, const std::string& replacement) {
    std::string text = kValid;
    const std::size_t at = text.find(field);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, field.size(), replacement);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_heartbeat_is_parsed_as_documented) {
    const auto call = read_register_call("i-7f3a91c2", kValid);
    BOOST_REQUIRE(call.has_value());
    const Instance& read = call.value().instance;
    BOOST_TEST((read.id == "i-7f3a91c2" && read.service == "huvo" && read.address == "10.128.0.9:8080"));
    BOOST_TEST((read.zone == "wien" && read.software_version == "v1" && read.slots == 48));
    BOOST_TEST((read.state == InstanceState::kServing && read.stage == model::Stage::kDecode));
    BOOST_TEST((read.models == std::vector<model::ServedModel>{{"m", 1}}));
    BOOST_TEST(read.revision == 4U);
    const auto draining = read_register_call("i", with("serving", "draining"));
    BOOST_REQUIRE(draining.has_value());
    BOOST_TEST((draining.value().instance.state == InstanceState::kDraining));
}

BOOST_AUTO_TEST_CASE(a_heartbeat_without_optional_fields_is_accepted) {
    for (const char* field :
         {R"("zone":"wien",)", R"("version":"v1",)", R"("slots":48,)", R"("coldLeftMs":0,)",
          R"("stage":"decode",)", R"("models":[{"name":"m","version":1,"adapters":[]}],)"})
        BOOST_TEST(read_register_call("i-1", with(field, "")).has_value(), "without " << field);
}

BOOST_AUTO_TEST_CASE(a_heartbeat_with_an_invalid_field_is_rejected_as_invalid_input) {
    const std::pair<const char*, const char*> invalid_fields[] = {
        {R"("service":"huvo",)", ""},
        {R"("address":"10.128.0.9:8080",)", ""},
        {R"(,"callSeq":4)", ""},
        {R"("huvo")", "5"},
        {R"("huvo")", "null"},
        {R"("huvo")", R"("")"},
        {R"("10.128.0.9:8080")", R"("")"},
        {R"("10.128.0.9:8080")", R"("10.128.0.9")"},
        {R"("10.128.0.9:8080")", R"("host:80")"},
        {R"("10.128.0.9:8080")", R"("10.128.0.9:80800")"},
        {R"("10.128.0.9:8080")", R"("10.128.0.9:-1")"},
        {R"("10.128.0.9:8080")", R"("10.128.0.9:80\r\nx: y")"},
        {R"("10.128.0.9:8080")", "[]"},
        {R"("wien")", "7"},
        {R"("v1")", "{}"},
        {R"(48)", R"("48")"},
        {R"(48)", "4.5"},
        {R"(48)", "0"},
        {R"(48)", "-1"},
        {R"("serving")", "true"},
        {R"("serving")", R"("resting")"},
        {R"("decode")", "1"},
        {R"([{"name":"m","version":1,"adapters":[]}])", R"("m")"},
        {R"({"name":"m",)", R"({)"},
        {R"({"name":"m",)", R"({"name":1,)"},
        {R"("version":1,)", R"("version":"1",)"},
        {R"("callSeq":4)", R"("callSeq":-1)"},
        {R"("callSeq":4)", R"("callSeq":"4")"},
        {R"("callSeq":4)", R"("callSeq":null)"},
        {R"("callSeq":4)", R"("callSeq":9223372036854775807)"},
        {R"("callSeq":4)", R"("callSeq":99999999999999999999)"},
    };
    for (const auto& [field, replacement] : invalid_fields) {
        const auto call = read_register_call("i-1", with(field, replacement));
        BOOST_TEST((call.has_error() && call.error().kind == ErrorKind::kInvalidInput),
                   field << " as " << replacement);
    }
    BOOST_TEST(read_register_call("", kValid).has_error());
}

BOOST_AUTO_TEST_CASE(a_truncated_heartbeat_or_one_with_trailing_data_is_rejected) {
    for (std::size_t size = 0; size < kValid.size(); ++size)
        BOOST_TEST(read_register_call("i-1", kValid.substr(0, size)).has_error());
    BOOST_TEST(read_register_call("i-1", kValid + "}").has_error());
    BOOST_TEST(read_register_call("i-1", "[" + kValid + "]").has_error());
}
