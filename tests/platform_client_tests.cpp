// Calls to the platform over loopback sockets: what leaves, and what each kind of answer means.
#define BOOST_TEST_MODULE platform_client
#include "control/http_platform_client.hpp"
#include "lab/reactor_script.hpp"
#include "protocol/http.hpp"
#include "transport/listener.hpp"
#include "transport/stream.hpp"

#include <boost/test/included/unit_test.hpp>
#include <memory>
#include <optional>
#include <unistd.h>
#include <vector>

namespace {

using namespace ivyrill;
using duties::PlatformCall;
using duties::PlatformClient;
using duties::PlatformOutcome;
using lab::ReactorScript;
using transport::Done;

const PlatformCall kCall{"/usage", R"({"windowId":7,"counts":{"a":1}})", 12};
constexpr std::size_t kMostIn = 1 << 16;

// Takes connections, keeps what comes over each, and says the same to all that have sent a whole request.
class Platform {
  public:
    Platform(transport::Reactor& reactor, std::string answer, bool closes, bool reads)
        : answer_(std::move(answer)), closes_(closes), reactor_(reactor),
          listener_(reactor, "127.0.0.1:0", [this, reads](int descriptor) {
              ++connections;
              if (!reads) return unread_.push_back(descriptor);
              reactor_.spawn(serve(descriptor));
          }) {}
    ~Platform() {
        for (const int descriptor : unread_) close(descriptor);
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
    int connections = 0;
    std::vector<protocol::HttpMessage> requests;

  private:
    transport::Task serve(int descriptor) {
        const auto stream = std::make_unique<transport::Stream>(
            reactor_.loop(), descriptor, transport::Stream::Start::kConnected, kMostIn, kMostIn);
        protocol::HttpParser parser(protocol::HttpParser::Side::kRequests);
        while (!stream->ended() && !parser.complete()) {
            if (stream->unread())
                stream->feed(parser);
            else
                co_await stream->changed;
        }
        if (!parser.complete()) co_return;
        requests.push_back(parser.take());
        stream->send(answer_);
        while (!closes_ && !stream->ended()) co_await stream->changed;
    }
    std::string answer_;
    bool closes_;
    transport::Reactor& reactor_;
    std::vector<int> unread_;
    transport::Listener listener_;
};

struct Called {
    std::optional<PlatformOutcome> outcome;
    int connections = 0;
    std::vector<protocol::HttpMessage> requests;
    Tenths took = 0;
};

struct Setting {
    std::string answer;
    bool closes = false; // after its answer
    bool reads = true;
    bool may_send = true;
    PlatformCall call = kCall;
};

Called call(const Setting& setting) {
    ReactorScript script;
    Platform platform(script.reactor, setting.answer, setting.closes, setting.reads);
    control::HttpPlatformClient link(script.reactor, platform.address());
    Called called;
    script.run([&]() -> ReactorScript::Step {
        const Tenths begun = script.reactor.now();
        link.send(
            setting.call, "core-1", [&] { return setting.may_send; },
            [&](PlatformOutcome outcome) { called.outcome = outcome; });
        co_await script.until([&] { return called.outcome.has_value(); });
        called.took = script.reactor.now() - begun;
        co_return Done{};
    });
    called.connections = platform.connections, called.requests = platform.requests;
    return called;
}

std::string answer_of(int status) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\ncontent-length: 0\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_CASE(a_call_tells_its_holder_its_fence_and_its_exact_body) {
    const Called called = call({answer_of(200)});
    BOOST_TEST((called.outcome == PlatformOutcome::kAccepted));
    BOOST_REQUIRE(called.requests.size() == 1U);
    const protocol::HttpMessage& request = called.requests.front();
    BOOST_TEST(request.method == "POST");
    BOOST_TEST(request.target == "/usage");
    BOOST_TEST(request.header("duty-holder") == "core-1");
    BOOST_TEST(request.header("fence-token") == "12");
    BOOST_TEST(request.header("content-type") == "application/json");
    BOOST_TEST(request.body == kCall.body);
}

BOOST_AUTO_TEST_CASE(each_status_means_what_a_holder_has_to_do) {
    using control::platform_outcome_of_status;
    for (const int status : {200, 201, 204, 299})
        BOOST_TEST((platform_outcome_of_status(status) == PlatformOutcome::kAccepted), status);
    for (const int status : {400, 401, 404, 409, 422})
        BOOST_TEST((platform_outcome_of_status(status) == PlatformOutcome::kRefused), status);
    for (const int status : {100, 199, 301, 302, 304, 408, 500, 502, 503, 999})
        BOOST_TEST((platform_outcome_of_status(status) == PlatformOutcome::kFailed), status);
    BOOST_TEST((platform_outcome_of_status(429) == PlatformOutcome::kBusy));
    BOOST_TEST((platform_outcome_of_status(412) == PlatformOutcome::kFencedOff));
}

BOOST_AUTO_TEST_CASE(an_acceptance_counts_whatever_follows_it) {
    for (const char* rest : {"content-length: 9\r\n\r\n<garbage>", "content-length: 9\r\n\r\n<g",
                             "transfer-encoding: chunked\r\n\r\nzz\r\n", "\r\nto the end"})
        BOOST_TEST(
            (call({std::string("HTTP/1.1 200 OK\r\n") + rest, true}).outcome == PlatformOutcome::kAccepted),
            rest);
}

BOOST_AUTO_TEST_CASE(half_an_answer_or_none_may_have_been_taken) {
    for (const char* half : {"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\ncontent-le"})
        BOOST_TEST((call({half, true}).outcome == PlatformOutcome::kUnanswered), half);
}

BOOST_AUTO_TEST_CASE(what_is_no_answer_fails) {
    BOOST_TEST((call({"220 mail.example ESMTP\r\n\r\n", true}).outcome == PlatformOutcome::kFailed));
}

BOOST_AUTO_TEST_CASE(nothing_leaves_once_the_holder_may_not_act) {
    const Called called = call({answer_of(200), false, true, false});
    BOOST_TEST((called.outcome == PlatformOutcome::kNotSent));
    BOOST_TEST(called.requests.empty());
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_where_nobody_listens_or_no_address_is_known) {
    for (const char* address : {"127.0.0.1:1", ""}) {
        ReactorScript script;
        control::HttpPlatformClient link(script.reactor, address);
        std::optional<PlatformOutcome> outcome;
        script.run([&]() -> ReactorScript::Step {
            link.send(
                kCall, "core-1", [] { return true; }, [&](PlatformOutcome told) { outcome = told; });
            BOOST_TEST(!outcome.has_value()); // in a later turn
            co_await script.until([&] { return outcome.has_value(); });
            co_return Done{};
        });
        BOOST_TEST((outcome == PlatformOutcome::kNotSent), address);
    }
}

// The other end takes nothing: the system ends the connection long before the answer's patience is over.
BOOST_AUTO_TEST_CASE(what_the_platform_does_not_receive_is_dropped_by_the_system) {
    Setting setting{answer_of(200), false, false};
    setting.call.body.assign(16 << 20, ' ');
    const Called called = call(setting);
    BOOST_TEST(called.connections == 1);
    BOOST_TEST((called.outcome == PlatformOutcome::kUnanswered));
    BOOST_TEST(called.took < PlatformClient::kResponseTimeout);
}
