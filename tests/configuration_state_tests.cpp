// Whether an operator's configuration is taken: every verdict, and the same call sent again.
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

ConfigurationState taken(const ConfigurationState& current, const ReplaceCall& change) {
    const Decision decision = decide(current, change);
    BOOST_REQUIRE((decision.verdict == Verdict::kAccept));
    BOOST_REQUIRE(decision.next.has_value());
    return *decision.next;
}

void check_refused(const ConfigurationState& current, const ReplaceCall& change, Verdict verdict) {
    const Decision decision = decide(current, change);
    BOOST_TEST((decision.verdict == verdict),
               "If-Match " << change.if_match << ", version " << change.version);
    BOOST_TEST(!decision.next.has_value());
}

} // namespace

BOOST_AUTO_TEST_CASE(the_first_configuration_builds_on_version_0) {
    const ConfigurationState empty;
    check_refused(empty, call(1, 2), Verdict::kConflict);
    check_refused(empty, call(0, 0), Verdict::kStaleVersion);
    check_refused(empty, call(0, -3), Verdict::kStaleVersion);
    const ConfigurationState state = taken(empty, call(0, 4));
    BOOST_TEST(state.version == 4);
    BOOST_TEST(state.body == call(0, 4).body);
}

BOOST_AUTO_TEST_CASE(a_change_must_build_on_the_current_version) {
    const ConfigurationState state = taken({}, call(0, 4));
    for (const std::int64_t if_match : {-1, 0, 3, 5, 9})
        check_refused(state, call(if_match, 9), Verdict::kConflict);
    BOOST_TEST(taken(state, call(4, 9)).version == 9);
}

BOOST_AUTO_TEST_CASE(a_change_must_bring_a_higher_version) {
    const ConfigurationState state = taken({}, call(0, 4));
    for (const std::int64_t version : {-1, 0, 3})
        check_refused(state, call(4, version), Verdict::kStaleVersion);
    check_refused(state, call(4, 4, ",\"other\":1"), Verdict::kStaleVersion);
    BOOST_TEST(taken(state, call(4, 5)).version == 5);
}

BOOST_AUTO_TEST_CASE(the_same_call_sent_again_was_taken) {
    const ConfigurationState state = taken({}, call(0, 4));
    check_refused(state, call(0, 4), Verdict::kAlreadyAccepted);
    const ConfigurationState later = taken(state, call(4, 9));
    check_refused(later, call(4, 9), Verdict::kAlreadyAccepted);
}

BOOST_AUTO_TEST_CASE(the_same_call_is_known_after_hundreds_of_later_changes) {
    ConfigurationState state = taken({}, call(0, 1));
    constexpr std::int64_t kLater = 400;
    for (std::int64_t version = 2; version <= kLater; ++version) {
        state = taken(state, call(version - 1, version));
        check_refused(state, call(0, 1), Verdict::kAlreadyAccepted);
    }
    for (std::int64_t version = 2; version <= kLater; ++version)
        check_refused(state, call(version - 1, version), Verdict::kAlreadyAccepted);
    BOOST_TEST(state.version == kLater);
}

BOOST_AUTO_TEST_CASE(what_is_remembered_of_calls_is_bounded) {
    ConfigurationState state;
    for (std::int64_t version = 1; version <= 3000; ++version)
        state = taken(state, call(version - 1, version));
    BOOST_TEST(state.taken.size() <= 1000U);
    check_refused(state, call(2999, 3000), Verdict::kAlreadyAccepted);
}

BOOST_AUTO_TEST_CASE(a_call_that_differs_in_anything_is_another_call) {
    const ReplaceCall first = call(0, 4);
    const ConfigurationState state = taken({}, first);
    for (std::size_t i = 0; i < first.body.size(); ++i) {
        ReplaceCall other = first;
        other.body[i] = static_cast<char>(other.body[i] ^ 1);
        check_refused(state, other, Verdict::kConflict);
    }
    check_refused(state, {0, 4, first.body + " "}, Verdict::kConflict);
    check_refused(state, {0, 4, ""}, Verdict::kConflict);
    check_refused(state, {0, 5, first.body}, Verdict::kConflict);
    check_refused(state, {1, 4, first.body}, Verdict::kConflict);
    check_refused(state, {4, 4, first.body}, Verdict::kStaleVersion);
}

BOOST_AUTO_TEST_CASE(of_two_operators_with_one_number_one_wins_and_stays_the_winner) {
    const ConfigurationState base = taken({}, call(0, 4));
    const ReplaceCall one = call(4, 9, ",\"by\":1"), other = call(4, 9, ",\"by\":2");
    const ConfigurationState state = taken(base, one);
    check_refused(state, other, Verdict::kConflict);
    check_refused(state, one, Verdict::kAlreadyAccepted);
    const ConfigurationState later = taken(state, call(9, 12));
    check_refused(later, one, Verdict::kAlreadyAccepted);
    check_refused(later, other, Verdict::kConflict);
    BOOST_TEST(state.body == one.body);
}

BOOST_AUTO_TEST_CASE(the_state_survives_the_way_to_disk_and_decides_the_same) {
    const ConfigurationState state = taken(taken({}, call(0, 4)), call(4, 9));
    const auto read = wire::from_bytes<ConfigurationState>(wire::to_bytes(state));
    BOOST_REQUIRE(read.has_value());
    check_refused(read.value(), call(0, 4), Verdict::kAlreadyAccepted);
    check_refused(read.value(), call(4, 9), Verdict::kAlreadyAccepted);
    check_refused(read.value(), call(4, 10), Verdict::kConflict);
    BOOST_TEST(taken(read.value(), call(9, 10)).version == 10);
}

BOOST_AUTO_TEST_CASE(deciding_changes_nothing_of_what_it_was_handed) {
    const ConfigurationState state = taken({}, call(0, 4));
    const std::string before = wire::to_bytes(state);
    decide(state, call(4, 9));
    decide(state, call(0, 4));
    BOOST_TEST(wire::to_bytes(state) == before);
}
