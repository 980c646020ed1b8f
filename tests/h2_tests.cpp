// Tests of HTTP/2 over loopback: a front node process with well-behaved and misbehaving clients. Waits fail
// after a timeout.
#include "fake_host.hpp"
#include "lab/front_node_fixture.hpp"
#include "lab/h2_client.hpp"
#include "limits/connection_budget.hpp"

#include <csignal>
#include <functional>
#include <nghttp2/nghttp2.h>

namespace ivyrill::lab {

namespace {

SearchRequest ask_for(const std::string& id, std::size_t answer_size = 4) {
    SearchRequest request{id};
    request.query = std::string(answer_size, 'x');
    return request;
}

std::int32_t send(H2Client& client, const SearchRequest& request) {
    return client.request(search_fields(request), search_body(request));
}

int status(H2Client& client, const SearchRequest& request) {
    return client.await(send(client, request)).status;
}

void step_or_fail(H2Client& client) { // processes the next bytes; the connection must not end
    const bool open = client.step();
    if (!open) std::cerr << "connection ended, GOAWAY code " << client.goaway_code << "\n";
    assert(open);
}

bool served(const FrontNodeFixture& fixture,
            const std::string& id) { // checks that another connection is served
    H2Client other(fixture.h2_address());
    const H2Answer& answer = other.await(send(other, ask_for(id)));
    return answer.status == 200 && answer.ended && fixture.fleet.attempts(id + ".0") == 1;
}

void many_searches_on_one_connection() {
    FrontNodeFixture fixture({});
    H2Client client(fixture.h2_address());
    for (int round = 0; round < 6;
         ++round) { // ten at once: the scheduler admits no more before it has latency estimates
        std::vector<std::int32_t> streams;
        for (int i = 0; i < 10; ++i) {
            SearchRequest request = ask_for("q" + std::to_string(round) + "-" + std::to_string(i));
            request.shard = i % 2;
            streams.push_back(send(client, request));
        }
        for (const std::int32_t stream : streams) {
            const H2Answer& answer = client.await(stream);
            assert(answer.status == 200 && answer.answers == 1 && answer.ended);
            assert(answer.fields.at("content-length") == std::to_string(answer.body.size()));
        }
    }
    assert(fixture.fleet.max_attempts() == 1 && fixture.fleet.attempts() == 60);
}

void access_applies_to_each_stream() {
    FrontNodeFixture fixture({});
    H2Client client(fixture.access_controlled_h2_address());
    SearchRequest good = ask_for("a"), none = ask_for("b"), bad = ask_for("c");
    good.token = fixture.token("anna", fixture.key()), bad.token = "x.y.z";
    const auto one = send(client, good), two = send(client, none), three = send(client, bad);
    assert(client.await(one).status == 200 && client.await(two).status == 401 &&
           client.await(three).status == 401);
    assert(client.answer(two).fields.at("www-authenticate") == "Bearer realm=\"ivyrill\"");
    const IssuedCertificate issued = fixture.issue("anna");
    ClientTlsOptions wish{issued.certificate, issued.key, false, std::string("\x02h2")};
    Client tls_client(fixture.client_certificate_address(), wish);
    assert(tls_client.protocol() == "h2");
    H2Client certified(std::move(tls_client), H2Client::Plan{});
    assert(status(certified, ask_for("d")) == 200 && status(certified, ask_for("e")) == 200);
}

// A stream is reset before its attempt, between attempt and answer, and twice: at most one attempt, no
// answer, and the other streams continue. Non-idempotent searches are not sent again either.
void stream_that_is_reset_is_attempted_once_and_not_answered() {
    for (const Idempotency idempotency : {Idempotency::kIdempotent, Idempotency::kNonIdempotent}) {
        FrontNodeFixture fixture({2, idempotency, true, {}, 512});
        H2Client client(fixture.h2_address());
        const auto write = [&](const std::string& id) {
            SearchRequest request = ask_for(id);
            request.request_class = "annotate";
            return send(client, request);
        };
        fixture.fleet.hold(true);
        const auto early = write("early");
        client.reset(early); // right after the request
        const auto out = write("out"), kept = write("kept");
        assert(fixture.fleet.await_attempt("out.0") && fixture.fleet.await_attempt("kept.0"));
        client.reset(out);
        client.raw(
            raw_frame(NGHTTP2_RST_STREAM, 0, static_cast<std::uint32_t>(out), std::string("\0\0\0\x08", 4)));
        client.round_trip();
        fixture.fleet.hold(false);
        assert(client.await(kept).status == 200);
        client.round_trip();
        assert(client.answer(out).answers == 0 && client.answer(early).answers == 0);
        assert(fixture.fleet.attempts("out.0") == 1 && fixture.fleet.attempts("early.0") <= 1 &&
               !client.ended);
        assert(served(fixture, "after"));
    }
}

void stream_reset_with_its_answer_partly_written() {
    FrontNodeFixture fixture({});
    H2Client client(fixture.h2_address(), {false, 100});
    const auto half = send(client, ask_for("half", 20'000));
    while (client.answer(half).body.size() < 100) step_or_fail(client);
    client.reset(half);
    assert(client.await(send(client, ask_for("small", 2))).ended);
    assert(client.answer(half).body.size() == 100 && fixture.fleet.attempts("half.0") == 1);
}

void drain_answers_open_streams_and_late_requests() {
    FrontNodeFixture fixture({});
    H2Client client(fixture.h2_address());
    fixture.fleet.hold(true);
    client.hold_ping_replies = true; // delays the final GOAWAY until all answers have arrived
    std::vector<std::int32_t> streams;
    for (int i = 0; i < 98; ++i) streams.push_back(send(client, ask_for("q" + std::to_string(i))));
    assert(fixture.fleet.await_attempt("q0.0")); // the first search must be in flight
    Client plain(fixture.plain_address());
    fixture.signal(SIGTERM);
    for (int code = 200; code == 200;) { // until the server node received the signal
        plain.send_bytes("GET /-/ready HTTP/1.1\r\n\r\n");
        code = plain.answer().status;
    }
    for (int i = 98; i < 100; ++i)
        streams.push_back(
            send(client, ask_for("q" + std::to_string(i)))); // sent before the client has read the GOAWAY
    fixture.fleet.hold(false);
    int delivered = 0;
    for (const std::int32_t stream : streams) {
        const H2Answer& answer = client.await(stream);
        assert(answer.answers == 1 && answer.ended && (answer.status == 200 || answer.status == 503));
        delivered += answer.status == 200 ? 1 : 0;
    }
    assert(delivered > 0);
    while (client.shutdown_frames.size() < 2) step_or_fail(client);
    client.send_held_ping_reply();
    client.await_end();
    assert(client.goaways == 2 && client.goaway_code == NGHTTP2_NO_ERROR &&
           client.goaway_last == streams.back());
    assert(client.shutdown_frames == "GPG"); // otherwise the PING reply would not confirm the GOAWAY
    assert(fixture.exit_status() == 0 && fixture.fleet.max_attempts() == 1);
}

// A client that sends requests after both GOAWAY frames is ignored and must not delay the stop.
void client_that_ignores_goaway_does_not_delay_the_stop() {
    FrontNodeFixture fixture({});
    H2Client client(fixture.h2_address());
    assert(status(client, ask_for("a")) == 200);
    fixture.signal(SIGTERM);
    while (client.goaways < 2 && client.step()) {}
    // Fields by static table index, enough for a request; the request need not be valid.
    client.raw(raw_frame(NGHTTP2_HEADERS, 5, 101, "\x83\x86\x84"));
    client.await_end();
    assert(fixture.exit_status() == 0 && fixture.fleet.attempts() == 1);
}

// Answers behind a window that never opens wait within a bound and do not delay other connections.
void closed_window_is_bounded_and_delays_no_other_connection() {
    FrontNodeFixture fixture({2, Idempotency::kIdempotent, true, "http2 = {\"held_bytes\": 300000}\n", 512});
    H2Client blocked(fixture.h2_address(), {false, 0});
    std::vector<std::int32_t> streams;
    for (int i = 0; i < 40; ++i) {
        streams.push_back(send(blocked, ask_for("b" + std::to_string(i), 50'000)));
        while (blocked.answer(streams.back()).status == 0 && !blocked.answer(streams.back()).closed)
            blocked.step();
    }
    int refused = 0, waiting = 0;
    for (const std::int32_t stream : streams) {
        refused += blocked.answer(stream).error == NGHTTP2_REFUSED_STREAM ? 1 : 0;
        waiting += blocked.answer(stream).status == 200 ? 1 : 0;
        assert(blocked.answer(stream).body.empty());
    }
    assert(waiting == 5 && refused == 35); // limit of 300,000 bytes; a request may need 65,536
    assert(served(fixture, "other"));
    blocked.open_window(streams[0], 1); // opens the window by one byte
    while (blocked.answer(streams[0]).body.empty()) step_or_fail(blocked);
    assert(blocked.answer(streams[0]).body.size() == 1);
    blocked.set_window(65'535); // while answers are partly sent
    const auto all = [&] {      // counts received bytes; the connection window keeps its initial size
        std::size_t sum = 0;
        for (const std::int32_t stream : streams) sum += blocked.answer(stream).body.size();
        return sum;
    };
    while (all() < 65'535) step_or_fail(blocked);
    blocked.open_window(streams[1], 0x7FFFFFFF); // exceeds the maximum window (RFC 9113, 6.9.1)
    assert(blocked.await(streams[1]).error == NGHTTP2_FLOW_CONTROL_ERROR);
    assert(served(fixture, "another"));
}

// A search that expires behind a closed window: the client receives as much of the answer as the window
// allows.
void expiry_behind_a_closed_window_sends_what_the_window_allows() {
    FrontNodeFixture fixture({});
    H2Client client(fixture.h2_address(), {false, 0});
    fixture.fleet.hold(true);
    SearchRequest request = ask_for("late");
    request.left_ms = 300;
    const auto stream = send(client, request);
    while (client.answer(stream).status == 0) step_or_fail(client);
    assert(client.answer(stream).status >= 500 && client.answer(stream).body.empty() &&
           !client.answer(stream).ended);
    client.set_window(1000);
    assert(client.await(stream).ended);
}

void broken_connection_cancels_its_streams() {
    FrontNodeFixture fixture({});
    fixture.fleet.hold(true);
    {
        H2Client client(fixture.h2_address(), {false, 10});
        send(client, ask_for("out"));
        client.request(search_fields(ask_for("half")), {}, false); // the body is never sent
        assert(fixture.fleet.await_attempt("out.0"));
        fixture.fleet.hold(false);
        const auto answered = send(client, ask_for("answered", 5000));
        while (client.answer(answered).body.size() < 10) step_or_fail(client);
        fixture.fleet.hold(true);
        send(client, ask_for("again"));
        assert(fixture.fleet.await_attempt("again.0"));
    }
    fixture.fleet.hold(false);
    assert(served(fixture, "other") && fixture.fleet.max_attempts() == 1 &&
           fixture.fleet.attempts("half.0") == 0);
}

void caller_revoked_with_ten_streams_open() {
    FrontNodeFixture fixture({});
    H2Client client(fixture.access_controlled_h2_address());
    fixture.fleet.hold(true);
    std::vector<std::int32_t> streams;
    for (int i = 0; i < 10; ++i) {
        SearchRequest request = ask_for("q" + std::to_string(i));
        request.token = fixture.token("anna", fixture.key()), request.shard = i % 2;
        streams.push_back(send(client, request));
    }
    // All are in flight: a later one would be refused, not ended by the revocation.
    for (int i = 0; i < 10; ++i)
        assert(fixture.fleet.await_attempt("q" + std::to_string(i) + "." + std::to_string(i % 2)));
    fixture.revoke_member("anna", transport::Loop::wall() + 10 * kTicksPerSecond);
    assert(fixture.await_audit("\"what\":\"barred\"", 10));
    fixture.fleet.hold(false);
    for (const std::int32_t stream : streams) {
        const H2Answer& answer = client.await(stream);
        assert(answer.answers == 1 && (answer.status == 200 || answer.status == 401));
    }
    assert(client.answer(streams[0]).status == 200 && fixture.fleet.max_attempts() == 1);
}

void upgrade_request_on_the_plain_port_stays_http_1() {
    FrontNodeFixture fixture({2, Idempotency::kIdempotent, false, {}, 512});
    Client client(fixture.plain_address());
    std::string bytes = search_bytes({"a1"});
    bytes.insert(
        bytes.find("\r\n") + 2,
        "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n");
    client.send_bytes(bytes);
    const auto answer = client.answer();
    assert(answer.status == 200 && answer.header_count("upgrade") == 0);
    Client preface(fixture.plain_address());
    preface.send_bytes("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    assert(preface.answer().status == 400);
}

// Requests are validated as strictly as on HTTP/1.1, by the same rules where HTTP/2 leaves a choice.
void requests_are_read_strictly() {
    FrontNodeFixture fixture({});
    H2Client client(fixture.h2_address());
    const SearchRequest good = ask_for("x");
    const auto with = [&](const std::string& name, const std::string& value) {
        H2Client::Fields fields = search_fields(good);
        fields.emplace_back(name, value);
        const H2Answer& answer = client.await(client.request(fields, search_body(good)));
        return std::pair{answer.status, answer.error};
    };
    assert(with("host", "other").first == 400 && with("x-request-id", "y").first == 400);
    assert(with("connection", "close").second == NGHTTP2_PROTOCOL_ERROR);
    assert(with("transfer-encoding", "chunked").second == NGHTTP2_PROTOCOL_ERROR);
    assert(with("content-length", "3").second == NGHTTP2_PROTOCOL_ERROR);
    assert(with(":late", "x").second == NGHTTP2_PROTOCOL_ERROR);
    assert(with("x-many", std::string(20'000, 'a')).first == 431);
    SearchRequest unknown = good;
    unknown.request_class = "nothing";
    assert(status(client, unknown) == 404);
    H2Client::Fields get = {
        {":method", "GET"}, {":scheme", "http"}, {":path", "/-/ready"}, {":authority", "a"}};
    assert(client.await(client.request(get, {})).status == 200);
    get[2].second = "/find";
    assert(client.await(client.request(get, {})).status == 405);
    assert(client.await(client.request(search_fields(good), std::string(70'000, 'x'))).status == 413);
    assert(fixture.fleet.attempts() == 0 && status(client, good) == 200 && !client.ended);
}

// Each flood closes its own connection with a stated reason, and no other connection.
void floods_close_only_their_own_connection() {
    FrontNodeFixture fixture({});
    const std::string eight(8, 'p'), settings, priority("\0\0\0\0\0", 5);
    const auto flood = [&](const char* name, const std::function<void(H2Client&, int)>& act) {
        H2Client client(Client(fixture.h2_address(), 2000), H2Client::Plan{});
        int sent = 0;
        try {
            for (; sent < 20'000; ++sent) act(client, sent);
        } catch (const std::runtime_error&) {} // the server accepts no more bytes
        client.await_end();
        const bool ended = client.ended && (client.goaways == 0 || client.goaway_code != NGHTTP2_NO_ERROR);
        if (!ended) std::cerr << name << ": the flood did not end the connection\n";
        return ended && served(fixture, std::string("after-") + name);
    };
    assert(flood("ping", [&](H2Client& c, int) { c.raw(raw_frame(NGHTTP2_PING, 0, 0, eight)); }));
    assert(flood("settings", [&](H2Client& c, int) { c.raw(raw_frame(NGHTTP2_SETTINGS, 0, 0, settings)); }));
    assert(flood("priority", [&](H2Client& c, int) { c.raw(raw_frame(NGHTTP2_PRIORITY, 0, 1, priority)); }));
    assert(flood("reset", [&](H2Client& c, int i) { c.reset(send(c, ask_for("r" + std::to_string(i)))); }));
    assert(flood("continuation", [&](H2Client& c, int i) {
        if (i == 0) c.raw(raw_frame(NGHTTP2_HEADERS, 0, 1, "\x83"));
        c.raw(raw_frame(NGHTTP2_CONTINUATION, 0, 1, std::string(1000, '\x84')));
    }));
    assert(flood("empty", [&](H2Client& c, int i) {
        static std::int32_t stream = 0;
        if (i == 0) stream = c.request(search_fields(ask_for("e")), {}, false);
        c.raw(raw_frame(NGHTTP2_DATA, 0, static_cast<std::uint32_t>(stream), {}));
    }));
    assert(flood("after-end", [&](H2Client& c, int i) {
        static std::int32_t stream = 0;
        if (i == 0) c.await(stream = send(c, ask_for("done")));
        c.raw(raw_frame(NGHTTP2_DATA, 0, static_cast<std::uint32_t>(stream), "late"));
    }));
    assert(flood("bad", [&](H2Client& c, int) {
        c.await(c.request({{":method", "GET"}, {":scheme", "http"}, {":path", "/x"}}, {}));
    }));
    assert(fixture.fleet.max_attempts() == 1 && fixture.running());
}

void share_of_a_connection_shrinks_beside_others() {
    using namespace limits;
    assert(fair_share_of_searches(200, 0) == 200 && fair_share_of_searches(200, 3) == 50 &&
           fair_share_of_searches(2, 9) == 1);
    ConnectionLimits connection_limits;
    connection_limits.max_streams = 10, connection_limits.max_buffered_bytes = 1000,
    connection_limits.max_body_bytes = 100;
    ConnectionBudget budget(connection_limits, 0);
    int resets = 0;
    while (budget.spend(ClientAction::kReset, 0)) ++resets;
    assert(resets == 20 && !budget.spend(ClientAction::kReset, 999) &&
           budget.spend(ClientAction::kReset, kTicksPerSecond));
    assert(budget.spend(ClientAction::kPing, 0) &&
           budget.count(ClientAction::kReset) == 23); // each connection has its own budget
    assert(budget.allows_stream(9, 900) && !budget.allows_stream(10, 0) && !budget.allows_stream(0, 901));
}

const Test kTests[] = {
    TEST(many_searches_on_one_connection),
    TEST(access_applies_to_each_stream),
    TEST(stream_that_is_reset_is_attempted_once_and_not_answered),
    TEST(stream_reset_with_its_answer_partly_written),
    TEST(drain_answers_open_streams_and_late_requests),
    TEST(client_that_ignores_goaway_does_not_delay_the_stop),
    TEST(closed_window_is_bounded_and_delays_no_other_connection),
    TEST(expiry_behind_a_closed_window_sends_what_the_window_allows),
    TEST(broken_connection_cancels_its_streams),
    TEST(caller_revoked_with_ten_streams_open),
    TEST(upgrade_request_on_the_plain_port_stays_http_1),
    TEST(requests_are_read_strictly),
    TEST(floods_close_only_their_own_connection),
    TEST(share_of_a_connection_shrinks_beside_others),
};

} // namespace

} // namespace ivyrill::lab

int main(int count, char** arguments) { return ivyrill::run_test(ivyrill::lab::kTests, count, arguments); }
