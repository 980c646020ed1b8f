// The duty to report usage, one message after another: a ledger, a clock and a platform that do as a test
// says.
#define BOOST_TEST_MODULE usage_duty
#include "base/log.hpp"
#include "control/usage_duty.hpp"

#include <boost/test/included/unit_test.hpp>
#include <deque>

namespace {

using namespace ivyrill;
using control::UsageDuty;
using duties::PlatformCall;
using duties::PlatformOutcome;
using duties::UsageLedger;

constexpr Tenths kSecond = kTenthsPerSecond, kStart = 1'000'000;
constexpr std::int64_t kWindowMs = 5'000, kFirst = 353'445'120;

struct Call {
    PlatformCall call;
    std::function<bool()> may_send;
    std::function<void(PlatformOutcome)> done;
};

class FakeLink : public duties::PlatformClient {
  public:
    void send(const PlatformCall& call, const std::string& holder, std::function<bool()> may_send,
              std::function<void(PlatformOutcome)> done) override {
        BOOST_TEST(holder == "core-1");
        calls.push_back({call, std::move(may_send), std::move(done)});
    }
    std::deque<Call> calls; // not answered yet
};

// A group that agrees when the test says so.
struct Setting {
    transport::Reactor reactor{kStart};
    FakeLink link;
    Tenths now = kStart;
    std::optional<std::uint64_t> fence = 12;
    bool agrees_at_once = true, has_room = true, knows_time = true;
    bool waits_for_lease = false, is_complete = true;
    UsageLedger ledger{kFirst, {}};
    std::deque<UsageDuty::ChangeLedger> proposals;
    std::int64_t time_ms = (kFirst + 1) * kWindowMs, count = 1;
    std::unique_ptr<UsageDuty> duty;

    Setting() {
        silence_log_lines(true);
        restart();
    }
    void restart() {
        duty.reset();
        UsageDuty::Callbacks callbacks;
        callbacks.fence = [this] { return fence; };
        callbacks.may_propose = [this] { return fence || waits_for_lease; };
        callbacks.may_act_under = [this](std::uint64_t asked) { return fence == asked; };
        callbacks.committed = [this] { return std::optional(ledger); };
        callbacks.propose = [this](UsageDuty::ChangeLedger change) {
            proposals.push_back(std::move(change));
            if (agrees_at_once) agree();
        };
        callbacks.time = [this] {
            return knows_time ? std::optional(clock::FleetTime{time_ms, 0}) : std::nullopt;
        };
        callbacks.sources.is_complete = [this](std::int64_t, std::int64_t) { return is_complete; };
        callbacks.sources.counts = [this](std::int64_t) {
            return std::map<std::string, std::int64_t>{{"a", count}};
        };
        callbacks.acquire_call = [this] { return has_room; };
        duty = std::make_unique<UsageDuty>(reactor, link, UsageDuty::Options{"core-1", kWindowMs},
                                           std::move(callbacks));
    }
    void agree() {
        for (; !proposals.empty(); proposals.pop_front())
            if (auto next = proposals.front()(ledger)) ledger = *next;
    }
    void run(Tenths span) {
        for (const Tenths end = now + span; now < end;) {
            now += 500, time_ms += 50;
            reactor.turn(now, 0);
        }
    }
    void answer(PlatformOutcome outcome) {
        BOOST_REQUIRE(!link.calls.empty());
        const Call call = std::move(link.calls.front());
        link.calls.pop_front();
        call.done(outcome);
    }
    std::string body(std::int64_t window) const { return duties::usage_body(window, {{"a", count}}); }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_window_is_sent_once_it_is_agreed_on_and_not_before) {
    Setting here;
    here.agrees_at_once = false;
    here.run(2 * kSecond);
    BOOST_TEST(here.proposals.size() >= 1U);
    BOOST_TEST(here.link.calls.empty());
    here.agree();
    here.run(kSecond / 2);
    BOOST_REQUIRE(here.link.calls.size() == 1U);
    BOOST_TEST(here.link.calls.front().call.path == "/usage");
    BOOST_TEST(here.link.calls.front().call.body == here.body(kFirst));
    BOOST_TEST(here.link.calls.front().call.fence == 12U);
}

BOOST_AUTO_TEST_CASE(nothing_is_proposed_or_sent_without_the_duty_or_without_the_time) {
    Setting here;
    here.fence.reset();
    here.run(3 * kSecond);
    BOOST_TEST(here.link.calls.empty());
    BOOST_TEST(here.ledger.committed.empty());
    here.fence = 12, here.knows_time = false;
    here.run(3 * kSecond);
    BOOST_TEST(here.ledger.committed.empty());
}

BOOST_AUTO_TEST_CASE(a_window_is_agreed_on_while_a_former_holder_is_waited_for_and_sent_only_after) {
    Setting here;
    here.fence.reset(), here.waits_for_lease = true;
    here.run(3 * kSecond);
    BOOST_TEST(here.ledger.committed.size() == 1U);
    BOOST_TEST(here.link.calls.empty());
    here.fence = 13;
    here.run(kSecond / 2);
    BOOST_REQUIRE(here.link.calls.size() == 1U);
    BOOST_TEST(here.link.calls.front().call.fence == 13U);
}

BOOST_AUTO_TEST_CASE(counts_that_are_not_complete_are_not_agreed_on_before_the_node_may_act) {
    Setting here;
    here.fence.reset(), here.waits_for_lease = true, here.is_complete = false;
    here.run(20 * kSecond);
    BOOST_TEST(here.ledger.committed.empty());
    here.fence = 13;
    here.run(kSecond / 2);
    BOOST_TEST(!here.ledger.committed.empty());
}

// Asked by the link in the moment in which the call leaves.
BOOST_AUTO_TEST_CASE(the_fence_is_looked_at_when_a_call_leaves) {
    Setting here;
    here.run(kSecond);
    BOOST_REQUIRE(here.link.calls.size() == 1U);
    BOOST_TEST(here.link.calls.front().may_send());
    here.fence.reset();
    BOOST_TEST(!here.link.calls.front().may_send());
    here.fence = 14; // held again, with another holder between
    BOOST_TEST(!here.link.calls.front().may_send());
}

BOOST_AUTO_TEST_CASE(whoever_follows_sends_the_same_bytes_though_it_counts_otherwise) {
    Setting here;
    here.run(kSecond);
    const std::string body = here.body(kFirst);
    here.answer(PlatformOutcome::kUnanswered);
    here.fence.reset();
    here.run(kSecond);
    here.count = 7, here.fence = 13;
    here.restart(); // another process, the same ledger
    here.run(kSecond);
    BOOST_REQUIRE(here.link.calls.size() == 1U);
    BOOST_TEST(here.link.calls.front().call.body == body);
    BOOST_TEST(here.link.calls.front().call.fence == 13U);
}

BOOST_AUTO_TEST_CASE(a_report_is_sent_again_with_pauses_until_it_is_acknowledged) {
    for (const auto outcome : {PlatformOutcome::kBusy, PlatformOutcome::kFailed, PlatformOutcome::kNotSent,
                               PlatformOutcome::kUnanswered}) {
        Setting here;
        here.ledger = {kFirst + 100, {{kFirst, here.body(kFirst)}}};
        int tries = 0;
        for (const Tenths end = here.now + 20 * kSecond; here.now < end; here.run(500)) {
            if (here.link.calls.empty()) continue;
            BOOST_TEST(here.link.calls.size() == 1U); // one at a time
            BOOST_TEST(here.link.calls.front().call.body == here.body(kFirst));
            here.answer(outcome), ++tries;
        }
        BOOST_TEST(tries >= 15);
        BOOST_TEST(tries <= 25); // one a second, after the first ones
        here.run(2 * kSecond);
        here.answer(PlatformOutcome::kAccepted);
        here.run(5 * kSecond);
        BOOST_TEST(here.link.calls.empty());
        BOOST_TEST(here.duty->status().acknowledged == 1U);
        BOOST_TEST(here.duty->status().due == 0U);
    }
}

BOOST_AUTO_TEST_CASE(what_is_acknowledged_leaves_the_ledger_and_is_not_sent_again) {
    Setting here;
    here.run(kSecond);
    here.answer(PlatformOutcome::kAccepted);
    here.run(5 * kSecond);
    BOOST_REQUIRE(here.ledger.committed.size() == 1U);
    BOOST_TEST(here.ledger.committed.front().number == kFirst + 1);
    BOOST_REQUIRE(here.link.calls.size() == 1U);
    BOOST_TEST(here.link.calls.front().call.body == here.body(kFirst + 1));
}

BOOST_AUTO_TEST_CASE(a_call_that_failed_is_not_sent_again_without_the_duty) {
    Setting here;
    here.run(kSecond);
    here.fence.reset();
    here.answer(PlatformOutcome::kFailed);
    BOOST_TEST(here.link.calls.empty());
    here.run(5 * kSecond);
    BOOST_TEST(here.link.calls.empty());
}

BOOST_AUTO_TEST_CASE(whoever_is_fenced_off_sends_nothing_more_under_that_fence) {
    Setting here;
    here.run(kSecond);
    here.answer(PlatformOutcome::kFencedOff);
    here.run(10 * kSecond);
    BOOST_TEST(here.link.calls.empty());
    here.fence = 13;
    here.run(kSecond);
    BOOST_REQUIRE(!here.link.calls.empty());
    BOOST_TEST(here.link.calls.front().call.body == here.body(kFirst));
    BOOST_TEST(here.link.calls.front().call.fence == 13U);
}

// The model found one whose connection came up after the platform had refused the fence.
BOOST_AUTO_TEST_CASE(a_call_that_was_begun_before_the_fence_was_refused_does_not_leave) {
    Setting here;
    here.time_ms = (kFirst + 3) * kWindowMs;
    here.run(kSecond);
    BOOST_REQUIRE(here.link.calls.size() >= 2U);
    here.answer(PlatformOutcome::kFencedOff);
    BOOST_TEST(!here.link.calls.front().may_send());
}

BOOST_AUTO_TEST_CASE(a_report_that_the_platform_will_not_have_does_not_stay_for_ever) {
    Setting here;
    here.ledger = {kFirst + 100, {{kFirst, here.body(kFirst)}}};
    int tries = 0;
    for (const Tenths end = here.now + 30 * kSecond; here.now < end; here.run(500))
        if (!here.link.calls.empty()) here.answer(PlatformOutcome::kRefused), ++tries;
    BOOST_TEST(tries == UsageDuty::kMaxRejections);
    BOOST_TEST(here.duty->status().given_up == 1U);
}

BOOST_AUTO_TEST_CASE(the_oldest_goes_first_and_few_are_under_way_at_once) {
    Setting here;
    here.time_ms = (kFirst + 10) * kWindowMs;
    here.run(kSecond);
    BOOST_REQUIRE(here.link.calls.size() == UsageDuty::kMaxInFlight);
    for (std::size_t i = 0; i < here.link.calls.size(); ++i)
        BOOST_TEST(here.link.calls[i].call.body == here.body(kFirst + static_cast<std::int64_t>(i)));
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_while_the_platform_has_no_room_for_calls) {
    Setting here;
    here.has_room = false;
    here.run(2 * kSecond);
    BOOST_TEST(here.link.calls.empty());
    here.has_room = true;
    here.run(kSecond / 2);
    BOOST_TEST(here.link.calls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(what_became_of_the_calls_is_counted_by_cause) {
    Setting here;
    here.ledger = {kFirst + 100, {{kFirst, here.body(kFirst)}}};
    for (const auto outcome :
         {PlatformOutcome::kBusy, PlatformOutcome::kFailed, PlatformOutcome::kRefused,
          PlatformOutcome::kNotSent, PlatformOutcome::kUnanswered, PlatformOutcome::kAccepted}) {
        here.run(2 * kSecond);
        here.answer(outcome);
    }
    const UsageDuty::Status seen = here.duty->status();
    BOOST_TEST(seen.calls.calls() == 6U);
    for (const PlatformOutcome outcome : duties::kPlatformOutcomes)
        BOOST_TEST(seen.calls.count(outcome) == (outcome == PlatformOutcome::kFencedOff ? 0U : 1U),
                   duties::name_of(outcome));
    BOOST_TEST(seen.next_window == kFirst + 100);
}
