// What a client gets for the answers of its servers: a proxy's client session between a client and scripted
// servers on loopback.
#define BOOST_TEST_MODULE exchange
#include "lab/http_reader.hpp"
#include "lab/reactor_script.hpp"
#include "lab/scripted_server.hpp"
#include "lab/stream_client.hpp"
#include "proxy/client_session.hpp"

#include <boost/test/included/unit_test.hpp>
#include <list>
#include <optional>
#include <string>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace {

using namespace ivyrill;
using namespace ivyrill::lab;
using model::Stage;
using transport::Done;
using Call = ScriptedServer::Call;

constexpr std::size_t kMaxUnsent = 1 << 20;
constexpr std::int64_t kLongPrompt = 100'000; // tokens: worth a prefill server of its own
const std::string kAttempt = "9c41d07be2a35f68", kEvent = "id: 1\ndata: a\n\n", kHandle = "3fa09c41b7d5";

std::string answer(int status, const std::vector<HttpField>& fields, const std::string& body = "") {
    return http_message(status_line(status), fields, body);
}
std::string served() {
    return answer(200,
                  {{"Attempt-Id", kAttempt}, {"Server-Seal", "5ea1"}, {"Content-Type", "text/event-stream"}},
                  kEvent);
}
std::string not_run(int status) { return answer(status, {{"Attempt-Id", kAttempt}, {"Not-Run", "1"}}); }
std::string prefilled() {
    return answer(200, {{"Attempt-Id", kAttempt}},
                  R"({"promptHandle":")" + kHandle + R"(","tokens":1,"version":1})");
}

model::Instance instance(const std::string& id, const std::string& address, Stage stage) {
    model::Instance made;
    made.id = id, made.service = "model", made.address = address, made.zone = "a", made.slots = 8;
    made.stage = stage, made.models = {{"m", 1}};
    return made;
}

// One route whose streams run at most once and at one server.
std::shared_ptr<const model::RoutingTable> routes(const std::string& prefix = "/",
                                                  std::optional<std::vector<model::Tenant>> tenants = {},
                                                  model::RouteKind kind = model::RouteKind::kStreaming) {
    auto made = std::make_shared<model::Configuration>();
    made->version = 1, made->tenants = std::move(tenants);
    model::Route route;
    route.name = "chat", route.host = "model.example", route.path_prefix = prefix;
    route.kind = kind, route.timeout_ms = 10'000, route.latency_target_ms = 100;
    route.services = {{"model", 1}}, route.max_attempts = 1;
    made->routes = {route};
    model::Service service;
    service.name = "model", service.connection_limit = 64;
    model::Engine engine;
    engine.slots = 8, engine.memory_tokens = 10 * kLongPrompt, engine.token_bytes = 1, engine.link_mbps = 1e6;
    engine.kv_handle_hold_s = 5;
    service.engine = engine;
    made->services = {service};
    return std::make_shared<model::RoutingTable>(made);
}

ClientRequest request() {
    ClientRequest made;
    made.attempt = kAttempt, made.token_counts = std::to_string(kLongPrompt) + ",2";
    made.prompt_prefix = "c0ffee:" + std::to_string(kLongPrompt), made.deadline_ms = 9000,
    made.body = "a prompt";
    return made;
}

constexpr replica_selection::RetryBudget::Limits kAmpleBudget{0.2, 100, 10 * kTicksPerSecond};
// Of a single node: one retry.
constexpr replica_selection::RetryBudget::Limits kBudgetOfOne{0, 2.5, 10 * kTicksPerSecond};

// A proxy with one prefill and one decode server.
struct Proxy {
    Proxy(ScriptedServer::Script prefill_script, ScriptedServer::Script decode_script,
          replica_selection::RetryBudget::Limits budget = kAmpleBudget)
        : prefill(script.reactor, std::move(prefill_script)),
          decode(script.reactor, std::move(decode_script)) {
        context.budgets = replica_selection::RetryBudgets(budget);
        context.routes = routes();
        context.selector.set_services(context.routes->configuration().services);
        context.selector.set_instances({{"i-p", instance("i-p", prefill.address(), Stage::kPrefill)},
                                        {"i-d", instance("i-d", decode.address(), Stage::kDecode)}},
                                       script.reactor.now());
    }
    ClientAnswer ask() { return ask(request()); }
    ClientAnswer ask(const ClientRequest& request, ClientBehaviour behaviour = {}) {
        ClientAnswer got;
        script.run([&]() -> ReactorScript::Step {
            StreamClient client(script.reactor.loop(), "127.0.0.1:" + std::to_string(front.port()),
                                behaviour);
            client.send(request);
            const bool over = co_await script.until([&] { return client.pass(), client.over(); });
            BOOST_TEST(over);
            got = client.answer();
            co_return Done{};
        });
        return got;
    }

    ReactorScript script;
    ScriptedServer prefill, decode;
    proxy::Context context{script.reactor,
                           nullptr,
                           replica_selection::PairSelector(1),
                           replica_selection::RetryBudgets(kAmpleBudget),
                           proxy::ServerConnections(script.reactor, kMaxUnsent),
                           proxy::ConnectTimeout{},
                           Pcg(1),
                           {},
                           {},
                           proxy::UsageMeter(1, 0),
                           {},
                           false,
                           0};
    std::list<proxy::ClientSession> sessions;
    transport::Listener front{
        script.reactor, "127.0.0.1:0", [this](int descriptor) {
            const auto ended = [this](proxy::ClientSession& session) {
                script.reactor.free_later([this, &session] {
                    sessions.remove_if([&](const proxy::ClientSession& other) { return &other == &session; });
                });
            };
            sessions.emplace_back(context, descriptor, ended).start();
        }};
};

std::string prefills(const Call& call) {
    return call.request.method == "DELETE" ? answer(200, {}) : prefilled();
}

} // namespace

BOOST_AUTO_TEST_CASE(request_that_no_server_ran_is_refused_with_a_promise) {
    Proxy proxy(prefills, [](const Call&) { return not_run(503); });
    const ClientAnswer got = proxy.ask();
    BOOST_TEST(got.head.status == 503);
    BOOST_TEST(got.head.has("retry-after"));
    BOOST_REQUIRE(proxy.decode.calls().size() == 2U);
    BOOST_TEST(proxy.decode.calls()[0].request.header_count("kv-from") == 1U);
    BOOST_TEST(proxy.decode.calls()[1].request.header_count("kv-from") == 0U);
    BOOST_TEST(proxy.context.counters.not_run == 2U);
    BOOST_TEST(proxy.context.counters.refused_after_send == 1U);
}

BOOST_AUTO_TEST_CASE(one_line_a_second_is_logged_and_the_others_are_counted) {
    LogLimiter limiter;
    constexpr Ticks kStart = 70;
    BOOST_TEST(limiter.admit(kStart).value() == 0U);
    BOOST_TEST(!limiter.admit(kStart).has_value());
    BOOST_TEST(!limiter.admit(kStart + kTicksPerSecond - 1).has_value());
    BOOST_TEST(limiter.admit(kStart + kTicksPerSecond).value() == 2U);
    BOOST_TEST(limiter.admit(kStart + 2 * kTicksPerSecond).value() == 0U);
}

BOOST_AUTO_TEST_CASE(late_copy_of_a_refusal_is_not_taken_for_the_answer_to_the_next_send) {
    Proxy proxy(prefills, [](const Call& call) {
        if (call.request.header_count("kv-from") > 0) return not_run(503);
        return call.number > 0 ? not_run(503) + served() : served();
    });
    const ClientAnswer got = proxy.ask();
    BOOST_TEST(proxy.decode.calls().size() == 2U);
    BOOST_TEST(got.head.status == 200);
    BOOST_TEST(got.body == kEvent);
}

BOOST_AUTO_TEST_CASE(refusal_without_the_attempts_id_is_no_promise) {
    for (const int status : {503, 429, 421}) {
        Proxy proxy([](const Call&) { return not_run(421); },
                    [status](const Call&) {
                        return answer(status, {{"Not-Run", "1"}});
                    });
        const ClientAnswer got = proxy.ask();
        BOOST_TEST(got.head.status == 502, "status " << got.head.status << " for " << status);
        BOOST_TEST(proxy.decode.calls().size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(request_that_ran_in_place_of_its_prefill_is_neither_refused_nor_sent_again) {
    Proxy proxy([](const Call&) { return served(); }, [](const Call&) { return not_run(503); });
    const ClientAnswer got = proxy.ask();
    BOOST_TEST(proxy.prefill.calls().size() == 1U);
    BOOST_TEST(got.head.status == 502);
    BOOST_TEST(proxy.decode.calls().empty());
}

BOOST_AUTO_TEST_CASE(prefill_that_leads_to_another_send_draws_on_the_retry_budget) {
    const std::vector<ScriptedServer::Script> scripts{
        [](const Call&) { return std::string(); }, // silent: abandoned
        [](const Call&) { return not_run(503); },
        [](const Call&) { return not_run(421); },
        [](const Call&) { return std::string("no answer\r\n"); },
    };
    for (const ScriptedServer::Script& script : scripts) {
        Proxy proxy(
            script, [](const Call&) { return served(); }, kBudgetOfOne);
        BOOST_TEST(proxy.ask().head.status == 200);
        BOOST_TEST(proxy.prefill.calls().size() == 1U);
        BOOST_TEST(!proxy.context.budgets.of("model").has_room(proxy.script.reactor.now()));
    }
    Proxy proxy(
        prefills, [](const Call&) { return served(); }, kBudgetOfOne);
    BOOST_TEST(proxy.ask().head.status == 200);
    BOOST_TEST(proxy.context.budgets.of("model").has_room(proxy.script.reactor.now()));
}

BOOST_AUTO_TEST_CASE(request_whose_route_is_removed_keeps_the_tenant_of_the_version_that_had_it) {
    const model::Tenant alpha{"alpha", {"key-1"}, {}}, beta{"beta", {"key-1"}, {}};
    for (const std::vector<model::Tenant>& next : {std::vector{beta}, std::vector<model::Tenant>{}}) {
        proxy::Context* context = nullptr;
        Proxy proxy(
            [&](const Call& call) {
                context->routes = routes("/other/", next);
                return prefills(call);
            },
            [](const Call&) { return served(); });
        context = &proxy.context;
        context->routes = routes("/", std::vector{alpha});
        ClientRequest sent = request();
        sent.more.push_back({"Api-Key", "key-1"});
        BOOST_TEST(proxy.ask(sent).head.status == 200);
        BOOST_REQUIRE(proxy.decode.calls().size() == 1U);
        BOOST_TEST(proxy.decode.calls()[0].request.header("tenant") == "alpha");
    }
}

BOOST_AUTO_TEST_CASE(answers_larger_than_all_buffers_arrive_whole_at_a_slow_reader) {
    constexpr std::size_t kAnswerBytes = 6 << 20;
    ClientBehaviour slow_reader;
    slow_reader.read_bytes = 32 * 1024, slow_reader.read_pause = kTicksPerSecond / 200;
    for (const auto kind : {model::RouteKind::kStreaming, model::RouteKind::kUnsafe}) {
        // Events of 4 KB, and some that alone fill most of a buffer.
        for (const std::size_t event_bytes : {4096, 900'000}) {
            std::string body;
            while (body.size() < kAnswerBytes)
                body += "id: " + std::to_string(body.size()) + "\ndata: " + std::string(event_bytes, 'a') +
                        "\n\n";
            Proxy proxy(prefills, [&](const Call&) {
                return answer(200, {{"Attempt-Id", kAttempt}, {"Server-Seal", "5ea1"}}, body);
            });
            proxy.context.routes = routes("/", {}, kind);
            const ClientAnswer got = proxy.ask(request(), slow_reader);
            BOOST_TEST(got.head.status == 200);
            BOOST_TEST((got.end == AnswerEnd::kComplete));
            BOOST_TEST((got.body == body), got.body.size() << " bytes of " << body.size());
        }
    }
}

BOOST_AUTO_TEST_CASE(request_for_which_there_is_no_room_is_refused_with_a_promise) {
    constexpr std::size_t kTooLittle = 16 * 1024, kEnough = 256 * 1024;
    for (const std::size_t room : {kTooLittle, kEnough}) {
        Proxy proxy(prefills, [](const Call&) { return served(); });
        limits::BufferBudget& budget = proxy.context.buffers;
        limits::BufferBudget::Account others(budget, 0, [] {});
        others.enter(limits::BufferPhase::kServing, 0);
        others.set_held(budget.capacity() - room);
        const ClientAnswer got = proxy.ask();
        const bool is_refused = room == kTooLittle;
        BOOST_TEST(got.head.status == (is_refused ? 503 : 200));
        BOOST_TEST(got.head.has("retry-after") == is_refused);
        BOOST_TEST(got.head.field("attempt-id") == kAttempt);
        BOOST_TEST(proxy.decode.calls().empty() == is_refused);
        BOOST_TEST(proxy.prefill.calls().empty() == is_refused);
        BOOST_TEST(proxy.context.counters.no_room == (is_refused ? 1U : 0U));
        BOOST_TEST(!budget.shed_count());
    }
}

BOOST_AUTO_TEST_CASE(idle_connections_to_servers_give_way_where_no_descriptor_is_left) {
    ReactorScript script;
    ScriptedServer server(script.reactor, [](const Call&) { return std::string(); });
    proxy::ServerConnections connections(script.reactor, kMaxUnsent);
    script.run([&]() -> ReactorScript::Step {
        auto idle = connections.open(server.address());
        const bool established = co_await script.until([&] { return idle->stream().established(); });
        BOOST_TEST(established);
        connections.release("i-d", std::move(idle));
        const int next_descriptor = dup(STDERR_FILENO);
        close(next_descriptor);
        rlimit usual{};
        getrlimit(RLIMIT_NOFILE, &usual);
        const rlimit none_left{static_cast<rlim_t>(next_descriptor), usual.rlim_max};
        setrlimit(RLIMIT_NOFILE, &none_left);
        const auto opened = connections.open(server.address());
        setrlimit(RLIMIT_NOFILE, &usual);
        BOOST_TEST((opened != nullptr));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(part_of_a_body_is_never_followed_by_another_servers_body) {
    const std::string head = status_line(200) + "\r\nAttempt-Id: " + kAttempt +
                             "\r\nServer-Seal: 5ea1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string part(600'000, 'a'), whole(900'000, 'b');
    std::size_t calls = 0;
    const auto breaks_off_first = [&](const Call&) {
        return ++calls == 1 ? head + chunk(part) + "no chunk\r\n" : head + chunk(whole) + chunk("");
    };
    Proxy proxy(breaks_off_first, breaks_off_first);
    auto safe =
        std::make_shared<model::Configuration>(routes("/", {}, model::RouteKind::kSafe)->configuration());
    safe->routes[0].max_attempts = 2, safe->services[0].engine.reset();
    proxy.context.routes = std::make_shared<model::RoutingTable>(safe);
    proxy.context.selector.set_services(safe->services);
    proxy.context.selector.set_instances({{"i-p", instance("i-p", proxy.prefill.address(), Stage::kNone)},
                                          {"i-d", instance("i-d", proxy.decode.address(), Stage::kNone)}},
                                         proxy.script.reactor.now());
    const ClientAnswer got = proxy.ask();
    BOOST_TEST(got.head.status == 200);
    BOOST_TEST((got.end == AnswerEnd::kCut));
    BOOST_TEST(got.body.find('b') == std::string::npos);
}

BOOST_AUTO_TEST_CASE(session_is_busy_until_its_answer_is_written) {
    const std::string body(450'000, 'a');
    Proxy proxy(prefills, [&](const Call&) {
        return answer(200, {{"Attempt-Id", kAttempt}, {"Server-Seal", "5ea1"}}, body);
    });
    proxy.context.routes = routes("/", {}, model::RouteKind::kUnsafe);
    ClientBehaviour waits;
    waits.read_bytes = 4096, waits.read_pause = 100 * kTicksPerSecond;
    proxy.script.run([&]() -> ReactorScript::Step {
        StreamClient client(proxy.script.reactor.loop(), "127.0.0.1:" + std::to_string(proxy.front.port()),
                            waits);
        client.send(request());
        const bool relayed =
            co_await proxy.script.until([&] { return client.pass(), proxy.context.counters.served > 0; });
        BOOST_TEST(relayed);
        BOOST_TEST(proxy.sessions.front().busy());
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(kept_connection_follows_the_limits_of_the_newest_configuration) {
    constexpr std::int64_t kLow = 10, kHigh = 1000;
    for (const bool rises : {true, false}) {
        proxy::Context* context = nullptr;
        const auto limited = [](std::int64_t most) {
            auto changed = std::make_shared<model::Configuration>(routes()->configuration());
            changed->limits.max_body_bytes = most;
            return std::make_shared<const model::RoutingTable>(changed);
        };
        Proxy proxy(prefills, [](const Call&) { return served(); });
        context = &proxy.context;
        context->routes = limited(rises ? kLow : kHigh);
        proxy.script.run([&]() -> ReactorScript::Step {
            StreamClient client(proxy.script.reactor.loop(),
                                "127.0.0.1:" + std::to_string(proxy.front.port()));
            client.send(request());
            co_await proxy.script.until([&] { return client.pass(), client.over(); });
            context->routes = limited(rises ? kHigh : kLow);
            ClientRequest larger = request();
            larger.body = "a prompt of more than ten bytes";
            client.send(larger);
            co_await proxy.script.until([&] { return client.pass(), client.over(); });
            BOOST_REQUIRE(client.answers().size() == 2U);
            BOOST_TEST(client.answers()[0].head.status == 200);
            BOOST_TEST(client.answers()[1].head.status == (rises ? 200 : 413));
            co_return Done{};
        });
    }
}
