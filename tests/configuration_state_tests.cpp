// The decision on an operator's configuration: every verdict, and retries of the same call.
#define BOOST_TEST_MODULE configuration_state
#include "control/configuration_state.hpp"
#include "wire/cbor.hpp"

#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using namespace ivyrill::control;

ReplaceCall call(std::int64_t if_match, std::int64_t version, const std::string& text = "") {
    return {if_match, version, "{\"version\":" + std::to_string(version) + text + "}"};
}

ConfigurationState accept_call(const ConfigurationState& current, const ReplaceCall& change) {
    const Decision decision = decide(current, change);
    BOOST_REQUIRE((decision.verdict == Verdict::kAccept));
    BOOST_REQUIRE(decision.next.has_value());
    return *decision.next;
}

void check_not_accepted(const ConfigurationState& current, const ReplaceCall& change, Verdict verdict) {
    const Decision decision = decide(current, change);
    BOOST_TEST((decision.verdict == verdict),
               "If-Match " << change.if_match << ", version " << change.version);
    BOOST_TEST(!decision.next.has_value());
}

} // namespace

BOOST_AUTO_TEST_CASE(the_first_configuration_is_based_on_version_0) {
    const ConfigurationState empty;
    check_not_accepted(empty, call(1, 2), Verdict::kConflict);
    check_not_accepted(empty, call(0, 0), Verdict::kStaleVersion);
    check_not_accepted(empty, call(0, -3), Verdict::kStaleVersion);
    const ConfigurationState state = accept_call(empty, call(0, 4));
    BOOST_TEST(state.version == 4);
    BOOST_TEST(state.body == call(0, 4).body);
}

BOOST_AUTO_TEST_CASE(a_change_must_be_based_on_the_current_version) {
    const ConfigurationState state = accept_call({}, call(0, 4));
    for (const std::int64_t if_match : {-1, 0, 3, 5, 9})
        check_not_accepted(state, call(if_match, 9), Verdict::kConflict);
    BOOST_TEST(accept_call(state, call(4, 9)).version == 9);
}

BOOST_AUTO_TEST_CASE(a_change_must_have_a_higher_version) {
    const ConfigurationState state = accept_call({}, call(0, 4));
    for (const std::int64_t version : {-1, 0, 3})
        check_not_accepted(state, call(4, version), Verdict::kStaleVersion);
    check_not_accepted(state, call(4, 4, ",\"other\":1"), Verdict::kStaleVersion);
    BOOST_TEST(accept_call(state, call(4, 5)).version == 5);
}

BOOST_AUTO_TEST_CASE(a_retried_call_is_recognized) {
    const ConfigurationState state = accept_call({}, call(0, 4));
    check_not_accepted(state, call(0, 4), Verdict::kAlreadyAccepted);
    const ConfigurationState later = accept_call(state, call(4, 9));
    check_not_accepted(later, call(4, 9), Verdict::kAlreadyAccepted);
}

BOOST_AUTO_TEST_CASE(a_retried_call_is_recognized_after_hundreds_of_changes) {
    ConfigurationState state = accept_call({}, call(0, 1));
    constexpr std::int64_t kLater = 400;
    for (std::int64_t version = 2; version <= kLater; ++version) {
        state = accept_call(state, call(version - 1, version));
        check_not_accepted(state, call(0, 1), Verdict::kAlreadyAccepted);
    }
    for (std::int64_t version = 2; version <= kLater; ++version)
        check_not_accepted(state, call(version - 1, version), Verdict::kAlreadyAccepted);
    BOOST_TEST(state.version == kLater);
}

BOOST_AUTO_TEST_CASE(the_list_of_accepted_calls_is_bounded) {
    ConfigurationState state;
    for (std::int64_t version = 1; version <= 3000; ++version)
        state = accept_call(state, call(version - 1, version));
    BOOST_TEST(state.accepted_calls.size() <= 1000U);
    check_not_accepted(state, call(2999, 3000), Verdict::kAlreadyAccepted);
}

BOOST_AUTO_TEST_CASE(a_call_that_differs_in_any_byte_is_another_call) {
    const ReplaceCall first = call(0, 4);
    const ConfigurationState state = accept_call({}, first);
    for (std::size_t i = 0; i < first.body.size(); ++i) {
        ReplaceCall other = first;
        other.body[i] = static_cast<char>(other.body[i] ^ 1);
        check_not_accepted(state, other, Verdict::kConflict);
    }
    check_not_accepted(state, {0, 4, first.body + " "}, Verdict::kConflict);
    check_not_accepted(state, {0, 4, ""}, Verdict::kConflict);
    check_not_accepted(state, {0, 5, first.body}, Verdict::kConflict);
    check_not_accepted(state, {1, 4, first.body}, Verdict::kConflict);
    check_not_accepted(state, {4, 4, first.body}, Verdict::kStaleVersion);
}

BOOST_AUTO_TEST_CASE(of_two_changes_with_the_same_version_only_the_first_is_accepted) {
    const ConfigurationState base = accept_call({}, call(0, 4));
    const ReplaceCall one = call(4, 9, ",\"by\":1"), other = call(4, 9, ",\"by\":2");
    const ConfigurationState state = accept_call(base, one);
    check_not_accepted(state, other, Verdict::kConflict);
    check_not_accepted(state, one, Verdict::kAlreadyAccepted);
    const ConfigurationState later = accept_call(state, call(9, 12));
    check_not_accepted(later, one, Verdict::kAlreadyAccepted);
    check_not_accepted(later, other, Verdict::kConflict);
    BOOST_TEST(state.body == one.body);
}

BOOST_AUTO_TEST_CASE(a_stored_state_decides_the_same) {
    const ConfigurationState state = accept_call(accept_call({}, call(0, 4)), call(4, 9));
    const auto read = wire::from_bytes<ConfigurationState>(wire::to_bytes(state));
    BOOST_REQUIRE(read.has_value());
    check_not_accepted(read.value(), call(0, 4), Verdict::kAlreadyAccepted);
    check_not_accepted(read.value(), call(4, 9), Verdict::kAlreadyAccepted);
    check_not_accepted(read.value(), call(4, 10), Verdict::kConflict);
    BOOST_TEST(accept_call(read.value(), call(9, 10)).version == 10);
}

BOOST_AUTO_TEST_CASE(decide_does_not_change_its_input) {
    const ConfigurationState state = accept_call({}, call(0, 4));
    const std::string before = wire::to_bytes(state);
    decide(state, call(4, 9));
    decide(state, call(0, 4));
    BOOST_TEST(wire::to_bytes(state) == before);
}
