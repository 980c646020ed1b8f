// Tests of access control in the router: admission, and revocation for open searches and connections. Events
// in, effects out.
#include "lab/pki.hpp"
#include "router_fixture.hpp"

namespace ivyrill::routing {

namespace {

using namespace access;

constexpr Ticks s(std::int64_t count) { return count * kTicksPerSecond; }
constexpr Ticks kWall = s(1'800'000'000);

AccessOptions make_access_options() {
    AccessOptions access_options;
    access_options.issuer = "trinacria", access_options.audience = "archive";
    access_options.skew = s(5), access_options.settle = s(10), access_options.max_token_bytes = 4096,
    access_options.max_cached_tokens = 8;
    access_options.clubs = {{"etna", "acme"}};
    access_options.request_classes = {{"find", Right::kRead}};
    access_options.names = {{"spiffe://t/*", "", "etna", "{rest}", {true, false}, {}}};
    return access_options;
}

// A router with access control and one signing key, for the members anna and bruno.
struct AccessFixture : RouterFixture {
    explicit AccessFixture(ivyrill::Idempotency idempotency = ivyrill::Idempotency::kIdempotent,
                           int servers = 2)
        : RouterFixture(front_node_config(idempotency), servers) {
        router.limit_handshakes({8, 1000, 4}, now);
        router.enable_access_control(policy(), false, now, kWall);
    }
    std::shared_ptr<const Policy> policy() {
        AccessFiles files;
        files.keys = {{"k.jwk", write_key(key, false)}};
        files.authorities = {{"ca.pem", root.certificate()}};
        files.revocations = NamedText{"revocations.json", revoked.write()};
        return current = read_policy(make_access_options(), files, current.get(), kWall);
    }
    void reload() { handle(PolicyLoaded{policy()}); }
    std::string token(const std::string& member) {
        Claims claims;
        claims.issuer = "trinacria", claims.audience = {"archive"}, claims.id = member + "-token";
        claims.issued = kWall, claims.expires = kWall + s(600);
        claims.caller = {"etna", member, {true, true}, {}};
        return sign_token(claims, key);
    }
    ClientId send_search(const std::string& token, const std::string& id = {}, bool guarded = true) {
        const ClientId client{++clients};
        handle(ClientOpened{client, guarded, false});
        return send_search_on(client, token, id);
    }
    ClientId send_search_on(ClientId client, const std::string& token, const std::string& id = {}) {
        protocol::SearchRequest request{id.empty() ? "q" + std::to_string(++searches) : id,
                                        "find",
                                        "",
                                        "text",
                                        2'000'000,
                                        false,
                                        {{0, 1.0}}};
        request.token = token;
        handle(SearchReceived{client, request, 0});
        return client;
    }
    int status(ClientId client) const { // of the last rejection, or 0
        int found = 0;
        for (const RejectClient& reject : all<RejectClient>())
            if (reject.client == client) found = reject.status;
        return found;
    }
    std::size_t answers(ClientId client) const {
        const auto given = all<AnswerClient>();
        const auto refused = all<RejectClient>();
        return static_cast<std::size_t>(std::ranges::count(given, client, &AnswerClient::client) +
                                        std::ranges::count(refused, client, &RejectClient::client));
    }
    void revoke(const std::string& member) {
        revoked.members["etna/" + member] = kWall + s(1);
        reload();
    }
    Key key{"k", SigningKey::generate(Algorithm::kEdDsa), {0, s(1), kNever, kNever}};
    lab::CertificateAuthority root{"root", kWall - s(100), kWall + s(10'000)};
    Revocations revoked;
    std::shared_ptr<const Policy> current;
    int searches = 0;
};

void unauthenticated_search_is_refused_before_any_attempt() {
    AccessFixture fixture;
    const ClientId none = fixture.send_search(""), bad = fixture.send_search("a.b.c");
    assert(fixture.status(none) == 401 && fixture.status(bad) == 401 &&
           fixture.all<OpenConnection>().empty());
    assert(fixture.router.open_searches() == 0 && fixture.router.counts().searches == 0);
    const auto lines = fixture.all<Audit>();
    assert(lines.size() == 2 && lines[0].reason == Reason::kNoCredential &&
           lines[1].reason == Reason::kMalformed);
    assert(fixture.all<RejectClient>()[0].challenge == "Bearer realm=\"ivyrill\"");
    fixture.send_search(fixture.token("anna"));
    assert(fixture.router.open_searches() == 1 && fixture.all<OpenConnection>().size() == 1);
    fixture.send_search("", {}, false); // a listener without access control
    assert(fixture.router.open_searches() == 2);
}

// An unauthenticated client learns nothing about request classes, partitions or ids.
void unauthenticated_client_learns_nothing() {
    AccessFixture fixture;
    fixture.send_search(fixture.token("anna"), "same");
    assert(fixture.status(fixture.send_search("", "same")) == 401);
    const ClientId bruno = fixture.send_search(fixture.token("bruno"), "same");
    assert(fixture.status(bruno) == 409); // nothing of anna's answer
    const ConnectionId connection = fixture.all<OpenConnection>()[0].connection;
    fixture.up(connection), fixture.wrote_all(connection);
    fixture.RouterFixture::answers(connection, "same.0");
    assert(fixture.all<AnswerClient>().size() == 1 && fixture.all<AnswerClient>()[0].client == ClientId{1});
}

// Revoked before anything was sent: refused with 401, and nothing is sent.
void revoked_search_without_sent_attempt_is_refused() {
    for (const auto idempotency : {ivyrill::Idempotency::kIdempotent, ivyrill::Idempotency::kNonIdempotent}) {
        AccessFixture fixture(idempotency);
        const ClientId anna = fixture.send_search(fixture.token("anna")),
                       bruno = fixture.send_search(fixture.token("bruno"));
        fixture.revoke("anna"); // no connection is established yet
        fixture.pass(ms(10));
        assert(fixture.status(anna) == 401 && fixture.answers(anna) == 1 && fixture.answers(bruno) == 0);
        for (const OpenConnection& open : fixture.all<OpenConnection>())
            fixture.up(open.connection), fixture.wrote_all(open.connection);
        assert(fixture.sent('S') == 1); // bruno's
        fixture.pass(ms(2100));
        assert(fixture.answers(anna) == 1 && fixture.router.open_searches() == 0);
    }
}

// Without a server there is no attempt: only the scheduler has the search.
void revoked_search_without_a_server_is_refused() {
    AccessFixture fixture(ivyrill::Idempotency::kIdempotent, 0);
    const ClientId anna = fixture.send_search(fixture.token("anna"));
    const bool open = fixture.router.open_searches() == 1;
    fixture.revoke("anna");
    assert(!open || (fixture.status(anna) == 401 && fixture.answers(anna) == 1));
    assert(fixture.router.open_searches() == 0);
}

// Revoked while its attempt is in flight: it may answer, and no second attempt follows in any case.
void revoked_search_in_flight_ends_by_the_rules() {
    for (const Outcome outcome : {Outcome::kAnswered, Outcome::kError, Outcome::kRejected}) {
        AccessFixture fixture;
        const ClientId anna = fixture.send_search(fixture.token("anna"));
        const ConnectionId connection = fixture.all<OpenConnection>()[0].connection;
        fixture.up(connection), fixture.wrote_all(connection);
        assert(fixture.sent('S') == 1);
        fixture.revoke("anna");
        assert(fixture.answers(anna) == 0 && fixture.router.counts().revoked == 1);
        fixture.RouterFixture::answers(connection, "q1.0", outcome);
        fixture.pass(ms(2100));
        assert(fixture.sent('S') == 1 && fixture.answers(anna) == 1 && fixture.router.counts().attempts == 1);
        if (outcome == Outcome::kAnswered)
            assert(fixture.verdict(anna) == Verdict::kDelivered);
        else
            assert(fixture.status(anna) == 401); // idempotent: whether it ran does not matter
    }
}

void write_that_may_have_run_is_never_refused() {
    AccessFixture fixture(ivyrill::Idempotency::kNonIdempotent);
    const ClientId anna = fixture.send_search(fixture.token("anna"));
    const ConnectionId connection = fixture.all<OpenConnection>()[0].connection;
    fixture.up(connection), fixture.wrote_all(connection);
    fixture.revoke("anna");
    fixture.handle(ConnectionClosed{connection});
    fixture.pass(ms(2100));
    assert(fixture.verdict(anna) == Verdict::kFailed && fixture.answers(anna) == 1 && fixture.sent('S') == 1);
}

// An overdue attempt of a revoked search is neither hedged nor moved.
void overdue_attempt_of_a_revoked_search_is_not_hedged() {
    AccessFixture fixture;
    const ClientId anna = fixture.send_search(fixture.token("anna"));
    const ConnectionId connection = fixture.all<OpenConnection>()[0].connection;
    fixture.up(connection), fixture.wrote_all(connection);
    fixture.revoke("anna");
    fixture.pass(ms(900));
    assert(fixture.sent('S') == 1 && fixture.sent('C') == 0 && fixture.answers(anna) == 0);
    fixture.RouterFixture::answers(connection, "q1.0");
    assert(fixture.verdict(anna) == Verdict::kDelivered);
}

void expired_key_revokes_its_searches() {
    AccessFixture fixture;
    fixture.key.times.outgoing = kWall, fixture.key.times.gone = kWall + s(1);
    fixture.reload();
    const ClientId first = fixture.send_search(fixture.token("anna"));
    const ConnectionId connection = fixture.all<OpenConnection>()[0].connection;
    fixture.up(connection), fixture.wrote_all(connection);
    const ClientId second = fixture.send_search(fixture.token("bruno"));
    assert(fixture.status(second) == 0 && fixture.router.open_searches() == 2);
    fixture.pass(s(1) - 1);
    assert(fixture.router.counts().revoked == 0);
    fixture.pass(2); // by the timer, without a request
    assert(fixture.router.counts().revoked ==
           fixture.router.open_searches() + (fixture.answers(first) + fixture.answers(second)));
    assert(fixture.status(fixture.send_search(fixture.token("anna"))) == 401);
}

// ---- connections that showed a certificate

ClientId secured(AccessFixture& fixture, const lab::IssuedCertificate& issued) {
    const ClientId client{++fixture.clients};
    fixture.handle(ClientOpened{client, true, true});
    fixture.handle(HandshakeReady{client});
    assert(fixture.all<ContinueHandshake>().back().client == client);
    fixture.handle(HandshakeCompleted{client, std::make_shared<const Chain>(Chain{{issued.der}})});
    return client;
}

bool closed(const AccessFixture& fixture, ClientId client) {
    const auto closes = fixture.all<CloseClient>();
    return std::ranges::count(closes, client, &CloseClient::client) > 0;
}

void revoked_certificate_closes_its_idle_connection() {
    AccessFixture fixture;
    const lab::IssuedCertificate anna =
        fixture.root.issue({"a", {"spiffe://t/anna"}, {}, kWall - s(1), kWall + s(1000), false});
    const lab::IssuedCertificate bruno =
        fixture.root.issue({"b", {"spiffe://t/bruno"}, {}, kWall - s(1), kWall + s(1000), false});
    const ClientId idle = secured(fixture, anna), other = secured(fixture, bruno);
    fixture.send_search_on(idle, ""), fixture.send_search_on(other, "");
    for (const OpenConnection& open : fixture.all<OpenConnection>())
        fixture.up(open.connection), fixture.wrote_all(open.connection);
    for (const OpenConnection& open : fixture.all<OpenConnection>())
        for (const std::string& frame : fixture.frames(open.connection, 'S'))
            fixture.RouterFixture::answers(open.connection, frame.substr(0, frame.find(' ')));
    assert(fixture.answers(idle) == 1 && fixture.answers(other) == 1);
    fixture.revoked.certificates[anna.serial] = kWall;
    fixture.reload(); // in the same turn
    assert(closed(fixture, idle) && !closed(fixture, other));
}

void revoked_certificate_with_an_open_search_closes_after_its_answer() {
    for (const bool draining : {false, true}) {
        AccessFixture fixture;
        const lab::IssuedCertificate anna =
            fixture.root.issue({"a", {"spiffe://t/anna"}, {}, kWall - s(1), kWall + s(1000), false});
        const ClientId client = secured(fixture, anna);
        fixture.send_search_on(client, "");
        const ConnectionId connection = fixture.all<OpenConnection>()[0].connection;
        fixture.up(connection), fixture.wrote_all(connection);
        if (draining) fixture.handle(DrainStarted{});
        fixture.revoked.certificates[anna.serial] = kWall;
        fixture.reload();
        assert(!closed(fixture, client) && fixture.answers(client) == 0);
        fixture.RouterFixture::answers(connection, "q1.0");
        const auto answers = fixture.all<AnswerClient>();
        assert(answers.size() == 1 && answers[0].answer.verdict == Verdict::kDelivered && answers[0].close);
    }
}

void reload_without_changes_affects_nobody() {
    AccessFixture fixture;
    const lab::IssuedCertificate anna =
        fixture.root.issue({"a", {"spiffe://t/anna"}, {}, kWall - s(1), kWall + s(1000), false});
    const ClientId client = secured(fixture, anna), by_token = fixture.send_search(fixture.token("bruno"));
    for (int i = 0; i < 5; ++i) fixture.reload();
    assert(!closed(fixture, client) && fixture.answers(by_token) == 0 &&
           fixture.router.counts().revoked == 0);
    assert(fixture.router.open_searches() == 1 && fixture.router.authorizer()->policy().generation == 6);
}

// ---- handshakes

void incomplete_handshakes_are_evicted_and_time_out() {
    AccessFixture fixture;
    for (int i = 0; i < 9; ++i) fixture.handle(ClientOpened{ClientId{++fixture.clients}, true, true});
    assert(fixture.router.open_handshakes() == 8 && closed(fixture, ClientId{1}) &&
           !closed(fixture, ClientId{2}));
    fixture.pass(s(2) + 1); // handshakes without any bytes
    assert(fixture.router.open_handshakes() == 0 && closed(fixture, ClientId{9}));
}

void handshakes_are_queued_and_searches_are_not() {
    AccessFixture fixture;
    std::vector<ClientId> many;
    for (int i = 0; i < 8; ++i) {
        many.push_back(ClientId{++fixture.clients});
        fixture.router.handle(fixture.now, ClientOpened{many.back(), true, true});
    }
    for (const ClientId client : many) fixture.router.handle(fixture.now, HandshakeReady{client});
    const ClientId plain = fixture.send_search(fixture.token("anna")); // in the same turn
    assert(fixture.all<ContinueHandshake>().size() <= 8 && fixture.all<OpenConnection>().size() == 1 &&
           fixture.status(plain) == 0);
    fixture.pass(ms(10));
    assert(fixture.all<ContinueHandshake>().size() == 8);
}

void clock_correction_by_a_day_expires_keys_after_settling() {
    AccessFixture fixture;
    fixture.key.times.outgoing = kWall, fixture.key.times.gone = kWall + s(3600);
    fixture.reload();
    fixture.send_search(fixture.token("anna"));
    const Ticks start = fixture.now;
    const auto set_wall_clock = [&](Ticks ahead) {
        fixture.handle(WallClockRead{kWall + (fixture.now - start) + ahead});
    };
    set_wall_clock(s(86'400));
    assert(fixture.router.counts().revoked == 0);
    fixture.now += ms(100);
    set_wall_clock(0); // a transient jump
    assert(fixture.router.counts().revoked == 0);
    set_wall_clock(s(86'400));
    fixture.now += s(1);
    set_wall_clock(s(86'400));
    assert(fixture.router.counts().revoked == 0);
    const ClientId late = fixture.send_search(fixture.token("bruno"));
    assert(fixture.status(late) == 0);
    fixture.now += s(10);
    set_wall_clock(s(86'400));
    assert(fixture.status(fixture.send_search(fixture.token("bruno"))) == 401);
}

const Test kTests[] = {
    TEST(unauthenticated_search_is_refused_before_any_attempt),
    TEST(unauthenticated_client_learns_nothing),
    TEST(revoked_search_without_sent_attempt_is_refused),
    TEST(revoked_search_without_a_server_is_refused),
    TEST(revoked_search_in_flight_ends_by_the_rules),
    TEST(write_that_may_have_run_is_never_refused),
    TEST(overdue_attempt_of_a_revoked_search_is_not_hedged),
    TEST(expired_key_revokes_its_searches),
    TEST(revoked_certificate_closes_its_idle_connection),
    TEST(revoked_certificate_with_an_open_search_closes_after_its_answer),
    TEST(reload_without_changes_affects_nobody),
    TEST(incomplete_handshakes_are_evicted_and_time_out),
    TEST(handshakes_are_queued_and_searches_are_not),
    TEST(clock_correction_by_a_day_expires_keys_after_settling),
};

} // namespace

} // namespace ivyrill::routing

int main(int count, char** arguments) {
    return ivyrill::run_test(ivyrill::routing::kTests, count, arguments);
}
