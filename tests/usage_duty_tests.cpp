// The usage report duty, step by step, with a ledger, a clock and a platform controlled by the test.
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

constexpr Ticks kSecond = kTicksPerSecond, kStart = 1'000'000;
constexpr std::int64_t kWindowMs = 5'000, kFirst = 353'445'120;

struct Call {
    PlatformCall call;
    std::function<bool()> may_send;
    std::function<void(PlatformOutcome)> done;
};

class FakePlatform : public duties::PlatformClient {
  public:
    void send(const PlatformCall& call, const std::string& holder, std::function<bool()> may_send,
              std::function<void(PlatformOutcome)> done) override {
        BOOST_TEST(holder == "core-1");
        calls.push_back({call, std::move(may_send), std::move(done)});
    }
    std::deque<Call> calls; // not answered yet
};

// The consensus group commits when the test says so.
struct Fixture {
    transport::Reactor reactor{kStart};
    FakePlatform platform;
    Ticks now = kStart;
    std::optional<std::uint64_t> fence = 12;
    bool commits_immediately = true, has_tokens = true, knows_time = true;
    bool waits_for_lease = false, is_complete = true;
    UsageLedger ledger{kFirst, {}};
    std::deque<UsageDuty::ChangeLedger> proposals;
    std::int64_t time_ms = (kFirst + 1) * kWindowMs, count = 1;
    std::unique_ptr<UsageDuty> duty;

    Fixture() {
        set_log_silent(true);
        restart();
    }
    void restart() {
        duty.reset();
        UsageDuty::Callbacks callbacks;
        callbacks.fence = [this] { return fence; };
        callbacks.may_propose = [this] { return fence || waits_for_lease; };
        callbacks.may_act_under = [this](std::uint64_t used_fence) { return fence == used_fence; };
        callbacks.committed = [this] { return std::optional(ledger); };
        callbacks.propose = [this](UsageDuty::ChangeLedger change) {
            proposals.push_back(std::move(change));
            if (commits_immediately) commit();
        };
        callbacks.time = [this] {
            return knows_time ? std::optional(clock::FleetTime{time_ms, 0}) : std::nullopt;
        };
        callbacks.sources.is_complete = [this](std::int64_t, std::int64_t) { return is_complete; };
        callbacks.sources.counts = [this](std::int64_t) {
            return std::map<std::string, std::int64_t>{{"a", count}};
        };
        callbacks.acquire_call = [this] { return has_tokens; };
        duty = std::make_unique<UsageDuty>(reactor, platform, UsageDuty::Options{"core-1", kWindowMs},
                                           std::move(callbacks));
    }
    void commit() {
        for (; !proposals.empty(); proposals.pop_front())
            if (auto next = proposals.front()(ledger)) ledger = *next;
    }
    void run(Ticks span) {
        for (const Ticks end = now + span; now < end;) {
            now += 500, time_ms += 50;
            reactor.turn(now, 0);
        }
    }
    void answer(PlatformOutcome outcome) {
        BOOST_REQUIRE(!platform.calls.empty());
        const Call call = std::move(platform.calls.front());
        platform.calls.pop_front();
        call.done(outcome);
    }
    std::string body(std::int64_t window) const { return duties::usage_body(window, {{"a", count}}); }
};

} // namespace

BOOST_AUTO_TEST_CASE(window_is_sent_only_once_committed) {
    Fixture fixture;
    fixture.commits_immediately = false;
    fixture.run(2 * kSecond);
    BOOST_TEST(fixture.proposals.size() >= 1U);
    BOOST_TEST(fixture.platform.calls.empty());
    fixture.commit();
    fixture.run(kSecond / 2);
    BOOST_REQUIRE(fixture.platform.calls.size() == 1U);
    BOOST_TEST(fixture.platform.calls.front().call.path == "/usage");
    BOOST_TEST(fixture.platform.calls.front().call.body == fixture.body(kFirst));
    BOOST_TEST(fixture.platform.calls.front().call.fence == 12U);
}

BOOST_AUTO_TEST_CASE(nothing_is_proposed_or_sent_without_the_duty_or_the_time) {
    Fixture fixture;
    fixture.fence.reset();
    fixture.run(3 * kSecond);
    BOOST_TEST(fixture.platform.calls.empty());
    BOOST_TEST(fixture.ledger.committed.empty());
    fixture.fence = 12, fixture.knows_time = false;
    fixture.run(3 * kSecond);
    BOOST_TEST(fixture.ledger.committed.empty());
}

BOOST_AUTO_TEST_CASE(window_is_committed_during_the_former_lease_and_sent_after_it) {
    Fixture fixture;
    fixture.fence.reset(), fixture.waits_for_lease = true;
    fixture.run(3 * kSecond);
    BOOST_TEST(fixture.ledger.committed.size() == 1U);
    BOOST_TEST(fixture.platform.calls.empty());
    fixture.fence = 13;
    fixture.run(kSecond / 2);
    BOOST_REQUIRE(fixture.platform.calls.size() == 1U);
    BOOST_TEST(fixture.platform.calls.front().call.fence == 13U);
}

BOOST_AUTO_TEST_CASE(incomplete_counts_are_not_committed_before_the_node_may_act) {
    Fixture fixture;
    fixture.fence.reset(), fixture.waits_for_lease = true, fixture.is_complete = false;
    fixture.run(20 * kSecond);
    BOOST_TEST(fixture.ledger.committed.empty());
    fixture.fence = 13;
    fixture.run(kSecond / 2);
    BOOST_TEST(!fixture.ledger.committed.empty());
}

// `may_send` is evaluated just before a call is sent.
BOOST_AUTO_TEST_CASE(fence_is_checked_when_a_call_is_sent) {
    Fixture fixture;
    fixture.run(kSecond);
    BOOST_REQUIRE(fixture.platform.calls.size() == 1U);
    BOOST_TEST(fixture.platform.calls.front().may_send());
    fixture.fence.reset();
    BOOST_TEST(!fixture.platform.calls.front().may_send());
    fixture.fence = 14; // held again, after another holder
    BOOST_TEST(!fixture.platform.calls.front().may_send());
}

BOOST_AUTO_TEST_CASE(next_holder_sends_the_same_bytes_despite_other_counts) {
    Fixture fixture;
    fixture.run(kSecond);
    const std::string body = fixture.body(kFirst);
    fixture.answer(PlatformOutcome::kUnanswered);
    fixture.fence.reset();
    fixture.run(kSecond);
    fixture.count = 7, fixture.fence = 13;
    fixture.restart(); // another process with the same ledger
    fixture.run(kSecond);
    BOOST_REQUIRE(fixture.platform.calls.size() == 1U);
    BOOST_TEST(fixture.platform.calls.front().call.body == body);
    BOOST_TEST(fixture.platform.calls.front().call.fence == 13U);
}

BOOST_AUTO_TEST_CASE(report_is_retried_with_backoff_until_acknowledged) {
    for (const auto outcome : {PlatformOutcome::kBusy, PlatformOutcome::kFailed, PlatformOutcome::kNotSent,
                               PlatformOutcome::kUnanswered}) {
        Fixture fixture;
        fixture.ledger = {kFirst + 100, {{kFirst, fixture.body(kFirst)}}};
        int tries = 0;
        for (const Ticks end = fixture.now + 20 * kSecond; fixture.now < end; fixture.run(500)) {
            if (fixture.platform.calls.empty()) continue;
            BOOST_TEST(fixture.platform.calls.size() == 1U); // one at a time
            BOOST_TEST(fixture.platform.calls.front().call.body == fixture.body(kFirst));
            fixture.answer(outcome), ++tries;
        }
        BOOST_TEST(tries >= 15);
        BOOST_TEST(tries <= 25); // one per second, after the first ones
        fixture.run(2 * kSecond);
        fixture.answer(PlatformOutcome::kAccepted);
        fixture.run(5 * kSecond);
        BOOST_TEST(fixture.platform.calls.empty());
        BOOST_TEST(fixture.duty->status().acknowledged == 1U);
        BOOST_TEST(fixture.duty->status().due == 0U);
    }
}

BOOST_AUTO_TEST_CASE(acknowledged_window_is_removed_and_not_resent) {
    Fixture fixture;
    fixture.run(kSecond);
    fixture.answer(PlatformOutcome::kAccepted);
    fixture.run(5 * kSecond);
    BOOST_REQUIRE(fixture.ledger.committed.size() == 1U);
    BOOST_TEST(fixture.ledger.committed.front().number == kFirst + 1);
    BOOST_REQUIRE(fixture.platform.calls.size() == 1U);
    BOOST_TEST(fixture.platform.calls.front().call.body == fixture.body(kFirst + 1));
}

BOOST_AUTO_TEST_CASE(failed_call_is_not_retried_without_the_duty) {
    Fixture fixture;
    fixture.run(kSecond);
    fixture.fence.reset();
    fixture.answer(PlatformOutcome::kFailed);
    BOOST_TEST(fixture.platform.calls.empty());
    fixture.run(5 * kSecond);
    BOOST_TEST(fixture.platform.calls.empty());
}

BOOST_AUTO_TEST_CASE(fenced_off_holder_sends_nothing_under_that_fence) {
    Fixture fixture;
    fixture.run(kSecond);
    fixture.answer(PlatformOutcome::kFencedOff);
    fixture.run(10 * kSecond);
    BOOST_TEST(fixture.platform.calls.empty());
    fixture.fence = 13;
    fixture.run(kSecond);
    BOOST_REQUIRE(!fixture.platform.calls.empty());
    BOOST_TEST(fixture.platform.calls.front().call.body == fixture.body(kFirst));
    BOOST_TEST(fixture.platform.calls.front().call.fence == 13U);
}

// Found by the simulation: a call's connection was established after the platform had refused the fence.
BOOST_AUTO_TEST_CASE(call_started_before_the_refusal_of_its_fence_is_not_sent) {
    Fixture fixture;
    fixture.time_ms = (kFirst + 3) * kWindowMs;
    fixture.run(kSecond);
    BOOST_REQUIRE(fixture.platform.calls.size() >= 2U);
    fixture.answer(PlatformOutcome::kFencedOff);
    BOOST_TEST(!fixture.platform.calls.front().may_send());
}

BOOST_AUTO_TEST_CASE(report_that_is_always_refused_is_given_up) {
    Fixture fixture;
    fixture.ledger = {kFirst + 100, {{kFirst, fixture.body(kFirst)}}};
    int tries = 0;
    for (const Ticks end = fixture.now + 30 * kSecond; fixture.now < end; fixture.run(500))
        if (!fixture.platform.calls.empty()) fixture.answer(PlatformOutcome::kRefused), ++tries;
    BOOST_TEST(tries == UsageDuty::kMaxRefusals);
    BOOST_TEST(fixture.duty->status().given_up == 1U);
}

BOOST_AUTO_TEST_CASE(oldest_window_is_sent_first_and_few_calls_are_in_flight) {
    Fixture fixture;
    fixture.time_ms = (kFirst + 10) * kWindowMs;
    fixture.run(kSecond);
    BOOST_REQUIRE(fixture.platform.calls.size() == UsageDuty::kMaxInFlight);
    for (std::size_t i = 0; i < fixture.platform.calls.size(); ++i)
        BOOST_TEST(fixture.platform.calls[i].call.body ==
                   fixture.body(kFirst + static_cast<std::int64_t>(i)));
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_over_the_rate_limit) {
    Fixture fixture;
    fixture.has_tokens = false;
    fixture.run(2 * kSecond);
    BOOST_TEST(fixture.platform.calls.empty());
    fixture.has_tokens = true;
    fixture.run(kSecond / 2);
    BOOST_TEST(fixture.platform.calls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(outcomes_of_calls_are_counted) {
    Fixture fixture;
    fixture.ledger = {kFirst + 100, {{kFirst, fixture.body(kFirst)}}};
    for (const auto outcome :
         {PlatformOutcome::kBusy, PlatformOutcome::kFailed, PlatformOutcome::kRefused,
          PlatformOutcome::kNotSent, PlatformOutcome::kUnanswered, PlatformOutcome::kAccepted}) {
        fixture.run(2 * kSecond);
        fixture.answer(outcome);
    }
    const UsageDuty::Status status = fixture.duty->status();
    BOOST_TEST(status.calls.calls() == 6U);
    for (const PlatformOutcome outcome : duties::kPlatformOutcomes)
        BOOST_TEST(status.calls.count(outcome) == (outcome == PlatformOutcome::kFencedOff ? 0U : 1U),
                   duties::name_of(outcome));
    BOOST_TEST(status.next_window == kFirst + 100);
}
