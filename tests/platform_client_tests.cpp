// Platform client over loopback sockets: requests, and the outcome of each kind of response.
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
constexpr std::size_t kMaxBufferBytes = 1 << 16;

// Accepts connections, records the request of each, and sends the same response to every complete request.
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
        const auto stream = std::make_unique<transport::Stream>(reactor_.loop(), descriptor,
                                                                transport::Stream::Start::kConnected,
                                                                kMaxBufferBytes, kMaxBufferBytes);
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

struct CallResult {
    std::optional<PlatformOutcome> outcome;
    int connections = 0;
    std::vector<protocol::HttpMessage> requests;
    Ticks duration = 0;
};

struct Scenario {
    std::string answer;
    bool closes = false; // after its response
    bool reads = true;
    bool may_send = true;
    PlatformCall call = kCall;
};

CallResult call(const Scenario& scenario) {
    ReactorScript script;
    Platform platform(script.reactor, scenario.answer, scenario.closes, scenario.reads);
    control::HttpPlatformClient client(script.reactor, platform.address());
    CallResult result;
    script.run([&]() -> ReactorScript::Step {
        const Ticks started_at = script.reactor.now();
        client.send(
            scenario.call, "core-1", [&] { return scenario.may_send; },
            [&](PlatformOutcome outcome) { result.outcome = outcome; });
        co_await script.until([&] { return result.outcome.has_value(); });
        result.duration = script.reactor.now() - started_at;
        co_return Done{};
    });
    result.connections = platform.connections, result.requests = platform.requests;
    return result;
}

std::string response_with(int status) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\ncontent-length: 0\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_CASE(request_contains_holder_fence_and_exact_body) {
    const CallResult result = call({response_with(200)});
    BOOST_TEST((result.outcome == PlatformOutcome::kAccepted));
    BOOST_REQUIRE(result.requests.size() == 1U);
    const protocol::HttpMessage& request = result.requests.front();
    BOOST_TEST(request.method == "POST");
    BOOST_TEST(request.target == "/usage");
    BOOST_TEST(request.header("duty-holder") == "core-1");
    BOOST_TEST(request.header("fence-token") == "12");
    BOOST_TEST(request.header("content-type") == "application/json");
    BOOST_TEST(request.body == kCall.body);
}

BOOST_AUTO_TEST_CASE(each_status_maps_to_an_outcome) {
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

BOOST_AUTO_TEST_CASE(accepted_status_counts_whatever_follows) {
    for (const char* rest : {"content-length: 9\r\n\r\n<garbage>", "content-length: 9\r\n\r\n<g",
                             "transfer-encoding: chunked\r\n\r\nzz\r\n", "\r\nto the end"})
        BOOST_TEST(
            (call({std::string("HTTP/1.1 200 OK\r\n") + rest, true}).outcome == PlatformOutcome::kAccepted),
            rest);
}

BOOST_AUTO_TEST_CASE(partial_or_missing_response_is_unanswered) {
    for (const char* partial : {"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\ncontent-le"})
        BOOST_TEST((call({partial, true}).outcome == PlatformOutcome::kUnanswered), partial);
}

BOOST_AUTO_TEST_CASE(invalid_response_is_a_failure) {
    BOOST_TEST((call({"220 mail.example ESMTP\r\n\r\n", true}).outcome == PlatformOutcome::kFailed));
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_once_the_holder_may_not_act) {
    const CallResult result = call({response_with(200), false, true, false});
    BOOST_TEST((result.outcome == PlatformOutcome::kNotSent));
    BOOST_TEST(result.requests.empty());
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_without_a_listener_or_an_address) {
    for (const char* address : {"127.0.0.1:1", ""}) {
        ReactorScript script;
        control::HttpPlatformClient client(script.reactor, address);
        std::optional<PlatformOutcome> outcome;
        script.run([&]() -> ReactorScript::Step {
            client.send(
                kCall, "core-1", [] { return true; }, [&](PlatformOutcome value) { outcome = value; });
            BOOST_TEST(!outcome.has_value()); // called in a later turn only
            co_await script.until([&] { return outcome.has_value(); });
            co_return Done{};
        });
        BOOST_TEST((outcome == PlatformOutcome::kNotSent), address);
    }
}

// The platform reads nothing: the kernel ends the connection long before the response timeout.
BOOST_AUTO_TEST_CASE(unreceived_data_is_dropped_by_the_kernel) {
    Scenario scenario{response_with(200), false, false};
    scenario.call.body.assign(16 << 20, ' ');
    const CallResult result = call(scenario);
    BOOST_TEST(result.connections == 1);
    BOOST_TEST((result.outcome == PlatformOutcome::kUnanswered));
    BOOST_TEST(result.duration < PlatformClient::kResponseTimeout);
}
