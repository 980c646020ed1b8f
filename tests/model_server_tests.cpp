// The stand-in model server keeps the published protocol, in virtual time.
#define BOOST_TEST_MODULE model_server
#include "lab/model_server_world.hpp"
#include "protocol/json.hpp"

#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using namespace ivyrill::lab;
using protocol::read_json;

constexpr Ticks kSecond = kTicksPerSecond, kMs = kTicksPerSecond / 1000;
constexpr Ticks kStart = ServerWorld::kStart;

std::string order(const std::string& stage,
                  const std::string& more = R"(,"holder":"node-7","fenceToken":41)") {
    return R"({"op":"stage","stage":")" + stage + "\"" + more + "}";
}

} // namespace

BOOST_AUTO_TEST_CASE(a_stream_comes_whole_with_its_seal_and_attempt) {
    ServerWorld world;
    const ExchangeId id = world.send(generation("a1"));
    world.pass(kSecond);
    const Exchange& answer = world.at(id);
    BOOST_TEST(answer.status() == 200);
    BOOST_TEST(answer.complete());
    BOOST_TEST(answer.body() == expected_stream(generation("a1")));
    BOOST_TEST(answer.field("attempt-id") == "a1");
    BOOST_TEST(!answer.field("server-seal").empty());
    BOOST_TEST(answer.field("versions") == "1");
    BOOST_TEST(answer.field("content-type") == "text/event-stream");
    BOOST_TEST(!answer.close);
    BOOST_TEST(world.core.record("a1").runs == 1);
    BOOST_TEST(world.core.idle());
}

BOOST_AUTO_TEST_CASE(ids_rise_from_one_and_the_last_event_holds_the_rest) {
    const std::string stream = expected_stream(generation("a1")); // 10 tokens in events of 4
    BOOST_TEST(stream.starts_with("id: 1\ndata: "));
    BOOST_TEST(stream.find("\n\nid: 2\n") != std::string::npos);
    const std::size_t last = stream.find("\n\nid: 3\ndata: ");
    BOOST_TEST(last != std::string::npos);
    BOOST_TEST(std::count(stream.begin() + static_cast<std::ptrdiff_t>(last), stream.end(), ' ') == 1 + 2);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_goes_on_byte_by_byte_whoever_asks) {
    ServerWorld world, other;
    ClientRequest again = generation("a2"); // another attempt at another server
    again.last_event_id = 2;
    const ExchangeId first = world.send(generation("a1")), second = other.send(again);
    world.pass(kSecond), other.pass(kSecond);
    const std::string whole = world.at(first).body(), rest = other.at(second).body();
    BOOST_TEST(rest == expected_stream(generation("a1"), 2));
    BOOST_TEST(whole.ends_with(rest));
    BOOST_TEST(rest.starts_with("id: 3\n"));
    ClientRequest different = generation("a1");
    different.body = "some other body";
    BOOST_TEST(expected_stream(different) != whole);
}

BOOST_AUTO_TEST_CASE(the_first_event_follows_the_reading_and_the_others_their_steps) {
    ModelServerPlan plan;
    plan.read_tokens_per_s = 2920; // half of it on a decode server: 1460 tokens in one second
    ServerWorld world(plan);
    const ExchangeId id = world.send(generation("a1"));
    world.pass(kSecond - 1);
    BOOST_TEST(world.at(id).bytes.empty());
    world.pass(1);
    BOOST_TEST(world.at(id).body() ==
               expected_stream(generation("a1")).substr(0, world.at(id).body().size()));
    BOOST_TEST(!world.at(id).body().empty());
    world.pass(2 * 4 * plan.token_step - 1);
    BOOST_TEST(!world.at(id).over);
    world.pass(1);
    BOOST_TEST(world.at(id).over);
}

BOOST_AUTO_TEST_CASE(kept_parts_of_prompts_are_not_read_again_and_the_oldest_give_way) {
    ModelServerPlan plan;
    plan.memory_tokens = 2000;
    ServerWorld world(plan);
    const auto read_for = [&](const std::string& attempt, const std::string& prefix) {
        ClientRequest request = generation(attempt);
        request.prompt_prefix = prefix;
        const std::int64_t before = world.core.tokens_read();
        world.send(request);
        world.pass(kSecond);
        return world.core.tokens_read() - before;
    };
    BOOST_TEST(read_for("a1", "a:1000,b:460") == 1460);
    BOOST_TEST(read_for("a2", "a:1000,c:460") == 460);
    BOOST_TEST(read_for("a3", "a:1000,c:460") == 0);
    BOOST_TEST(read_for("a4", "d:1000,e:460") == 1460); // no room for these and those
    BOOST_TEST(read_for("a5", "f:1,d:1000") == 1460);   // a part counts only behind all before it
    BOOST_TEST(read_for("a6", "a:1000,c:460") == 1460);
}

BOOST_AUTO_TEST_CASE(a_prompt_is_read_and_its_handle_is_taken_once) {
    ServerWorld reader(prefill_plan()), decoder;
    decoder.other = &reader.core;
    const ExchangeId read = reader.send(prefill("a1"));
    reader.pass(kSecond);
    BOOST_TEST(reader.at(read).status() == 200);
    const auto json = read_json(reader.at(read).body());
    BOOST_TEST(json.at("tokens").as_integer("tokens") == 1460);
    BOOST_TEST(json.at("version").as_integer("version") == 1);
    BOOST_TEST(reader.core.record("a1").runs == 0);
    BOOST_TEST(reader.core.record("a1").prompts_read == 1);
    decoder.now = reader.now;
    ClientRequest request = generation("a1");
    request.more.push_back({"Kv-From", "10.1.64.9:8080/" + json.at("promptHandle").as_text("promptHandle")});
    const ExchangeId run = decoder.send(request);
    decoder.pass(kSecond);
    BOOST_TEST(decoder.at(run).body() == expected_stream(generation("a1")));
    BOOST_TEST(decoder.core.tokens_read() == 0);
    BOOST_TEST(decoder.core.foreign_handles() == 0);
    BOOST_TEST(reader.core.handles() == 0U);
    const ExchangeId again = decoder.send(request);
    BOOST_TEST(decoder.at(again).status() == 503);
    BOOST_TEST(decoder.at(again).not_run());
    BOOST_TEST(decoder.core.record("a1").runs == 1);
}

BOOST_AUTO_TEST_CASE(a_handle_of_another_request_is_noticed) {
    ServerWorld reader(prefill_plan()), decoder;
    decoder.other = &reader.core;
    const ExchangeId read = reader.send(prefill("a1"));
    reader.pass(kSecond);
    ClientRequest request = generation("a2");
    request.body = "another body";
    const auto json = read_json(reader.at(read).body());
    request.more.push_back({"Kv-From", "10.1.64.9:8080/" + json.at("promptHandle").as_text("promptHandle")});
    decoder.now = reader.now;
    decoder.send(request);
    BOOST_TEST(decoder.core.foreign_handles() == 1);
}

BOOST_AUTO_TEST_CASE(a_handle_lapses_after_its_time_and_can_be_freed) {
    ServerWorld world(prefill_plan());
    const auto handle_of = [&](ExchangeId id) {
        return read_json(world.at(id).body()).at("promptHandle").as_text("promptHandle");
    };
    const ExchangeId one = world.send(prefill("a1")), two = world.send(prefill("a2"));
    world.pass(kSecond);
    BOOST_TEST(world.core.handles() == 2U);
    BOOST_TEST(world.ask("DELETE /kv-handle/" + handle_of(one)).status() == 200);
    BOOST_TEST(world.ask("DELETE /kv-handle/" + handle_of(one)).status() == 404);
    BOOST_TEST(world.core.handles() == 1U);
    world.pass(world.core.plan().handle_hold);
    BOOST_TEST(world.core.handles() == 0U);
    BOOST_TEST(world.ask("DELETE /kv-handle/" + handle_of(two)).status() == 404);
}

BOOST_AUTO_TEST_CASE(a_move_takes_its_time_and_none_begins_behind_too_long_a_wait) {
    ServerWorld reader(prefill_plan());
    ModelServerPlan slow;
    slow.link_mbps = 1460.0 * 131'072 * 8 / 3e6; // one move lasts three seconds
    ServerWorld decoder(slow);
    decoder.other = &reader.core;
    std::vector<ClientRequest> requests;
    for (const char* attempt : {"a1", "a2"}) {
        const ExchangeId read = reader.send(prefill(attempt));
        reader.pass(kSecond / 2);
        const auto json = read_json(reader.at(read).body());
        requests.push_back(generation(attempt));
        requests.back().more.push_back(
            {"Kv-From", "10.1.64.9:8080/" + json.at("promptHandle").as_text("promptHandle")});
    }
    decoder.now = reader.now;
    const ExchangeId first = decoder.send(requests[0]), second = decoder.send(requests[1]);
    BOOST_TEST(decoder.at(second).status() == 503);
    BOOST_TEST(decoder.at(second).not_run());
    BOOST_TEST(reader.core.handles() == 1U); // nothing was taken
    decoder.pass(3 * kSecond - kMs);
    BOOST_TEST(decoder.at(first).bytes.empty());
    decoder.pass(2 * kMs);
    BOOST_TEST(decoder.at(first).status() == 200);
}

BOOST_AUTO_TEST_CASE(the_wrong_stage_instance_or_version_is_misdirected) {
    ServerWorld reader(prefill_plan()), decoder;
    const auto check = [](ServerWorld& world, const ClientRequest& request, int status) {
        const Exchange& answer = world.at(world.send(request));
        BOOST_TEST(answer.status() == status);
        BOOST_TEST(answer.not_run());
        BOOST_TEST(answer.field("attempt-id") == request.attempt);
        if (status == 421) BOOST_TEST(answer.field("instance-id") == world.core.plan().id);
    };
    check(reader, generation("a1"), 421);
    check(decoder, prefill("a1"), 421);
    ClientRequest request = generation("a1");
    request.more = {{"Target-Instance", "i-other"}};
    check(decoder, request, 421);
    request.more = {{"Expect-Version", "2"}};
    check(decoder, request, 421);
    check(decoder, generation(""), 400);
    request.more = {{"Target-Instance", decoder.core.plan().id}, {"Expect-Version", "1"}};
    const ExchangeId right = decoder.send(request);
    decoder.pass(kSecond);
    BOOST_TEST(decoder.at(right).status() == 200);
    BOOST_TEST(decoder.core.record("a1").runs == 1);
}

BOOST_AUTO_TEST_CASE(beyond_slots_and_queue_requests_are_turned_away) {
    ModelServerPlan plan;
    plan.slots = 1, plan.queue = 1;
    ServerWorld world(plan);
    const ExchangeId one = world.send(generation("a1")), two = world.send(generation("a2"));
    const ExchangeId three = world.send(generation("a3"));
    BOOST_TEST(world.at(three).status() == 503);
    BOOST_TEST(world.at(three).not_run());
    BOOST_TEST(world.at(three).field("attempt-id") == "a3");
    BOOST_TEST(world.ask("GET /health").status() == 503);
    world.pass(kSecond);
    BOOST_TEST(world.at(one).complete());
    BOOST_TEST(world.at(two).complete());
    BOOST_TEST(world.core.record("a3").runs == 0);
    BOOST_TEST(world.core.record("a3").refusals == 1);
}

BOOST_AUTO_TEST_CASE(the_more_urgent_are_let_in_first) {
    ModelServerPlan plan;
    plan.slots = 1;
    ServerWorld world(plan);
    world.send(generation("a1"));
    const ExchangeId usual = world.send(generation("a2"));
    ClientRequest urgent = generation("a3");
    urgent.more = {{"Priority", "0"}};
    const ExchangeId first = world.send(urgent);
    while (!world.at(first).over && world.now < kStart + kSecond) world.pass(kMs);
    BOOST_TEST(world.at(first).complete());
    BOOST_TEST(!world.at(usual).over);
}

BOOST_AUTO_TEST_CASE(a_request_larger_than_the_memory_is_turned_away_and_others_wait_for_it) {
    ModelServerPlan plan;
    plan.memory_tokens = 2000;
    ServerWorld world(plan);
    ClientRequest large = generation("a1");
    large.token_counts = "1991,10";
    BOOST_TEST(world.at(world.send(large)).status() == 503);
    const ExchangeId one = world.send(generation("a2")), two = world.send(generation("a3"));
    while (!world.at(one).over && world.now < kStart + kSecond) {
        BOOST_TEST(world.at(two).bytes.empty());
        world.pass(kMs);
    }
    BOOST_TEST(world.at(one).complete());
    world.pass(kSecond);
    BOOST_TEST(world.at(two).complete());
}

BOOST_AUTO_TEST_CASE(a_deadline_in_the_queue_is_a_promise_and_one_at_work_is_not) {
    ModelServerPlan plan;
    plan.slots = 1, plan.read_tokens_per_s = 100;
    ServerWorld world(plan);
    ClientRequest working = generation("a1"), waiting = generation("a2");
    working.deadline_ms = 500, waiting.deadline_ms = 400;
    const ExchangeId one = world.send(working), two = world.send(waiting);
    world.pass(400 * kMs);
    BOOST_TEST(world.at(two).status() == 503);
    BOOST_TEST(world.at(two).not_run());
    BOOST_TEST(world.core.record("a2").runs == 0);
    BOOST_TEST(!world.at(one).over);
    world.pass(100 * kMs);
    BOOST_TEST(world.at(one).status() == 504);
    BOOST_TEST(!world.at(one).not_run());
    BOOST_TEST(world.core.record("a1").runs == 1);
    BOOST_TEST(world.core.idle());
}

BOOST_AUTO_TEST_CASE(a_deadline_in_a_stream_breaks_it_off) {
    ServerWorld world;
    ClientRequest request = generation("a1");
    request.token_counts = "10,1000", request.deadline_ms = 500;
    const ExchangeId id = world.send(request);
    world.pass(kSecond);
    BOOST_TEST(world.at(id).reset);
    BOOST_TEST(!world.at(id).complete());
    BOOST_TEST(!world.at(id).body().empty());
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_frees_its_slot) {
    ModelServerPlan plan;
    plan.slots = 1;
    ServerWorld world(plan);
    const ExchangeId one = world.send(generation("a1")), two = world.send(generation("a2"));
    world.core.closed(one, world.now);
    world.pass(kSecond);
    BOOST_TEST(world.at(one).bytes.empty());
    BOOST_TEST(world.core.record("a1").runs == 0);
    BOOST_TEST(world.at(two).complete());
}

BOOST_AUTO_TEST_CASE(a_report_lags) {
    ServerWorld world;
    ClientRequest request = generation("a1");
    request.token_counts = "1460,10000";
    world.send(request);
    BOOST_TEST(read_json(world.ask("GET /report").body()).at("running").as_integer("running") == 0);
    world.pass(world.core.plan().report_lag);
    const auto report = read_json(world.ask("GET /report").body());
    BOOST_TEST(report.at("running").as_integer("running") == 1);
    BOOST_TEST(report.at("waiting").as_integer("waiting") == 0);
    BOOST_TEST(report.at("kvUsed").as_integer("kvUsed") == 11460);
    BOOST_TEST(report.at("kvTotal").as_integer("kvTotal") == 100'000);
    BOOST_TEST(report.at("stage").as_text("stage") == "decode");
    BOOST_TEST(report.at("promptHandles").as_integer("promptHandles") == 0);
    BOOST_TEST(report.at("callSeq").as_integer("callSeq") == 0);
    BOOST_TEST(!report.at("busy").as_bool("busy"));
    BOOST_TEST(report.at("models").items.at(0).at("name").as_text("name") == "m");
}

BOOST_AUTO_TEST_CASE(health_names_the_instance_and_fails_once_it_leaves) {
    ServerWorld world;
    BOOST_TEST(world.ask("GET /health").status() == 200);
    BOOST_TEST(world.ask("GET /health").field("instance-id") == world.core.plan().id);
    world.core.drain();
    BOOST_TEST(world.ask("GET /health").status() == 503);
    const ExchangeId id = world.send(generation("a1")); // it serves on
    world.pass(kSecond);
    BOOST_TEST(world.at(id).status() == 200);
    BOOST_TEST(world.at(id).field("connection") == "close");
    BOOST_TEST(world.at(id).close);
}

BOOST_AUTO_TEST_CASE(an_order_changes_the_stage_once_what_runs_has_ended) {
    ModelServerPlan plan;
    plan.slots = 1;
    ServerWorld world(plan);
    const ExchangeId runs = world.send(generation("a1")), waits = world.send(generation("a2"));
    BOOST_TEST(world.ask("POST /order", order("prefill")).status() == 202);
    BOOST_TEST(world.at(waits).status() == 503);
    BOOST_TEST(world.at(waits).not_run());
    BOOST_TEST(world.ask("POST /order", order("decode")).status() == 409);
    BOOST_TEST(world.at(world.send(generation("a3"))).status() == 503);
    while (!world.at(runs).over && world.now < kStart + kSecond) world.pass(1);
    BOOST_TEST(world.at(runs).complete());
    world.pass(plan.role_switch - 1);
    BOOST_TEST((world.core.stage() == ServerStage::kDecode));
    world.pass(1);
    BOOST_TEST((world.core.stage() == ServerStage::kPrefill));
    BOOST_TEST(world.ask("POST /order", order("prefill")).status() == 200);
    const ExchangeId read = world.send(prefill("a4"));
    world.pass(kSecond);
    BOOST_TEST(world.at(read).status() == 200);
    BOOST_TEST(read_json(world.ask("GET /report").body()).at("callSeq").as_integer("callSeq") == 1);
}

BOOST_AUTO_TEST_CASE(orders_that_are_wrong_or_late_are_refused) {
    ModelServerPlan plan;
    plan.fenced = true;
    ServerWorld world(plan);
    const auto status = [&](const std::string& body) { return world.ask("POST /order", body).status(); };
    BOOST_TEST(status("{") == 400);
    BOOST_TEST(status(R"({"op":"load","stage":"decode","holder":"n","fenceToken":1})") == 400);
    BOOST_TEST(status(order("decode", R"(,"fenceToken":41)")) == 400);
    BOOST_TEST(status(order("decode", R"(,"holder":"n")")) == 400);
    BOOST_TEST(status(order("neither")) == 400);
    BOOST_TEST(status(order("prefill", R"(,"holder":"n","fenceToken":41,"expectedCount":1)")) == 409);
    BOOST_TEST(status(order("decode")) == 200);
    BOOST_TEST(status(order("decode", R"(,"holder":"n","fenceToken":40)")) == 412);
    BOOST_TEST(status(order("prefill", R"(,"holder":"n","fenceToken":42,"expectedCount":0)")) == 202);
    const ExchangeId other =
        world.send(http_message("POST /order HTTP/1.1", {{"Target-Instance", "i-other"}}, order("prefill")));
    BOOST_TEST(world.at(other).status() == 421);
}

BOOST_AUTO_TEST_CASE(planted_faults_strike_as_told_and_the_run_is_counted) {
    const auto play = [](FaultKind kind, std::int64_t after_events) {
        ServerWorld world;
        world.core.plant({kind, "a1", false, after_events, 10});
        const ExchangeId id = world.send(generation("a1"));
        world.pass(5 * kSecond);
        BOOST_TEST(world.core.record("a1").runs == 1);
        const ExchangeId next = world.send(generation("a1")); // a fault strikes once
        world.pass(5 * kSecond);
        BOOST_TEST(world.at(next).complete());
        BOOST_TEST(world.core.most_runs() == 2);
        return world.at(id);
    };
    const std::string whole = expected_stream(generation("a1"));
    const Exchange cut = play(FaultKind::kCutInEvent, 1);
    BOOST_TEST(cut.reset);
    BOOST_TEST(whole.starts_with(cut.body()));
    BOOST_TEST(cut.body().size() > whole.find("id: 2"));
    BOOST_TEST(cut.body().size() < whole.find("id: 3") - 2);
    const Exchange stalled = play(FaultKind::kStall, 2);
    BOOST_TEST(!stalled.over);
    BOOST_TEST(stalled.body() == whole.substr(0, whole.find("id: 3")));
    const Exchange surplus = play(FaultKind::kSurplusAnswer, 0);
    BOOST_TEST(surplus.complete());
    BOOST_TEST(surplus.body() == whole);
    BOOST_TEST(surplus.bytes.ends_with("surplus"));
    const Exchange garbage = play(FaultKind::kGarbage, 0);
    BOOST_TEST(garbage.read().broken());
    BOOST_TEST(garbage.close);
    const Exchange lost = play(FaultKind::kAnswerLost, 0);
    BOOST_TEST(lost.reset);
    BOOST_TEST(lost.bytes.empty());
    const Exchange dark = play(FaultKind::kNoAnswer, 0);
    BOOST_TEST(!dark.over);
    BOOST_TEST(dark.bytes.empty());
    const Exchange slow = play(FaultKind::kSlow, 0);
    BOOST_TEST(slow.body() == whole);
}

BOOST_AUTO_TEST_CASE(a_slow_server_is_slow) {
    ServerWorld world;
    world.core.plant({FaultKind::kSlow, "", false, 0, 10});
    const ExchangeId slow = world.send(generation("a1"));
    world.pass(500 * kMs);
    BOOST_TEST(!world.at(slow).over);
}

BOOST_AUTO_TEST_CASE(a_planted_handle_lapses_at_once) {
    ServerWorld world(prefill_plan());
    world.core.plant({FaultKind::kHandleLapses, "", true, 0, 1});
    const ExchangeId id = world.send(prefill("a1"));
    world.pass(kSecond);
    BOOST_TEST(world.at(id).status() == 200);
    BOOST_TEST(world.core.handles() == 0U);
}
