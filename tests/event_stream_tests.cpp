// Tests of EventStreamSplitter with the input divided at every position.
#define BOOST_TEST_MODULE event_stream
#include "http/event_stream.hpp"

#include <boost/test/included/unit_test.hpp>

namespace {

using ivyrill::ErrorKind;
using ivyrill::http::EventStreamSplitter;
using namespace std::string_literals;

constexpr std::size_t kLargeLimit = 1024;

struct Outcome {
    std::string complete, last_id;
    std::uint64_t events = 0;
    bool partial = false, failed = false;
    friend bool operator==(const Outcome&, const Outcome&) = default;
};

Outcome split_in(std::initializer_list<std::string_view> pieces, std::size_t limit = kLargeLimit) {
    EventStreamSplitter splitter(limit);
    Outcome outcome;
    for (const std::string_view piece : pieces) {
        outcome.failed = !splitter.feed(piece).has_value();
        outcome.complete += splitter.take_complete();
    }
    outcome.last_id = splitter.last_id();
    outcome.events = splitter.events();
    outcome.partial = splitter.partial();
    return outcome;
}

// The result must not depend on where the bytes are divided, at one or two positions.
void check_every_split(std::string_view bytes, const Outcome& expected, std::size_t limit = kLargeLimit) {
    for (std::size_t one = 0; one <= bytes.size(); ++one)
        for (std::size_t two = one; two <= bytes.size(); ++two) {
            const Outcome outcome =
                split_in({bytes.substr(0, one), bytes.substr(one, two - one), bytes.substr(two)}, limit);
            BOOST_TEST_CONTEXT("split at " << one << " and " << two) {
                BOOST_TEST(outcome.complete == expected.complete);
                BOOST_TEST(outcome.last_id == expected.last_id);
                BOOST_TEST(outcome.events == expected.events);
                BOOST_TEST(outcome.partial == expected.partial);
                BOOST_TEST(outcome.failed == expected.failed);
            }
        }
}

} // namespace

BOOST_AUTO_TEST_CASE(complete_events_are_unmodified_at_every_split) {
    const std::string bytes = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n";
    check_every_split(bytes, {bytes, "2", 2, false, false});
}

BOOST_AUTO_TEST_CASE(crlf_line_endings_are_accepted_at_every_split) {
    const std::string bytes = "id: 1\r\ndata: a\r\n\r\nid:2\r\ndata: b\r\n\r\n";
    check_every_split(bytes, {bytes, "2", 2, false, false});
}

BOOST_AUTO_TEST_CASE(line_endings_may_be_mixed_within_an_event) {
    const std::string bytes = "id: 7\ndata: a\r\n\nid: 8\r\ndata: b\n\r\n";
    check_every_split(bytes, {bytes, "8", 2, false, false});
}

BOOST_AUTO_TEST_CASE(a_partial_event_is_held_back_with_its_id) {
    const std::string whole = "id: 1\ndata: a\n\n";
    for (const std::string_view rest : {"i", "id: 2", "id: 2\n", "id: 2\ndata: b\n", "id: 2\ndata: b\n\r"})
        check_every_split(whole + std::string(rest), {whole, "1", 1, true, false});
}

BOOST_AUTO_TEST_CASE(an_event_without_an_id_keeps_the_last_id) {
    const std::string bytes = "id: 4\ndata: a\n\nversions:2\ndata: b\n\n: comment\n\n";
    check_every_split(bytes, {bytes, "4", 3, false, false});
}

BOOST_AUTO_TEST_CASE(an_empty_id_clears_it_and_similar_field_names_do_not) {
    check_every_split("id: 4\n\nid\n\n", {"id: 4\n\nid\n\n", "", 2, false, false});
    check_every_split("id: 4\n\nidx: 5\n\n", {"id: 4\n\nidx: 5\n\n", "4", 2, false, false});
    check_every_split("id: 4\n\ndata: id: 5\n\n", {"id: 4\n\ndata: id: 5\n\n", "4", 2, false, false});
    check_every_split("id:  5\n\n",
                      {"id:  5\n\n", " 5", 1, false, false}); // only one space after the colon is removed
}

BOOST_AUTO_TEST_CASE(an_id_with_a_zero_byte_is_ignored) {
    const std::string bytes = "id: 4\n\nid: 5\0\n\n"s;
    check_every_split(bytes, {bytes, "4", 2, false, false});
}

BOOST_AUTO_TEST_CASE(a_byte_order_mark_before_the_first_line_is_ignored) {
    const std::string bytes = "\xEF\xBB\xBFid: 9\ndata: a\n\n";
    check_every_split(bytes, {bytes, "9", 1, false, false});
}

BOOST_AUTO_TEST_CASE(blank_lines_alone_are_forwarded_but_not_counted) {
    const std::string bytes = "\n\r\nid: 1\n\n\n";
    check_every_split(bytes, {bytes, "1", 1, false, false});
}

BOOST_AUTO_TEST_CASE(an_event_at_the_limit_passes_and_a_longer_one_fails) {
    const std::string first = "id: 1\n\n", at_bound = "data: 3456\n\n", beyond = "data: 34567\n\n";
    check_every_split(first + at_bound, {first + at_bound, "1", 2, false, false}, at_bound.size());
    for (const std::string& rest : {beyond, std::string(40, 'x')}) {
        EventStreamSplitter splitter(at_bound.size());
        for (const char c : first + rest)
            if (!splitter.feed({&c, 1})) break;
        BOOST_TEST(splitter.take_complete() == first);
        const auto after = splitter.feed("\n\nid: 2\n\n");
        BOOST_TEST(!after.has_value());
        BOOST_TEST((after.error().kind == ErrorKind::kProtocol));
        BOOST_TEST(splitter.take_complete().empty());
        BOOST_TEST(splitter.last_id() == "1");
    }
}

BOOST_AUTO_TEST_CASE(events_before_one_that_is_too_long_can_be_taken_at_every_split) {
    const std::string first = "id: 1\n\n", beyond = "data: 34567\n\n";
    for (std::size_t at = 0; at <= first.size() + beyond.size(); ++at) {
        const std::string bytes = first + beyond;
        const std::string_view view(bytes);
        const Outcome outcome = split_in({view.substr(0, at), view.substr(at)}, beyond.size() - 1);
        BOOST_TEST(outcome.complete == first);
        BOOST_TEST(outcome.last_id == "1");
        BOOST_TEST(outcome.failed);
    }
}
