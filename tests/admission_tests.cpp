// Tests of access control in the router: admission, and revocation for open searches and connections. Events
// in, effects out.
#include "desk.hpp"
#include "lab/pki.hpp"

namespace ivyrill::routing {

namespace {

using namespace access;

constexpr Tenths s(std::int64_t count) { return count * kTenthsPerSecond; }
constexpr Tenths kWall = s(1'800'000'000);

AccessOptions terms_of_access() {
    AccessOptions terms;
    terms.issuer = "trinacria", terms.audience = "archive";
    terms.skew = s(5), terms.settle = s(10), terms.max_token_bytes = 4096, terms.max_cached_tokens = 8;
    terms.clubs = {{"etna", "acme"}};
    terms.request_classes = {{"find", Right::kRead}};
    terms.names = {{"spiffe://t/*", "", "etna", "{rest}", {true, false}, {}}};
    return terms;
}

// A router with access control and one signing key, for the members anna and bruno.
struct Guarded : Desk {
    explicit Guarded(ivyrill::Idempotency idempotency = ivyrill::Idempotency::kIdempotent, int servers = 2)
        : Desk(node_terms(idempotency), servers) {
        router.limit_handshakes({8, 1000, 4}, now);
        router.enable_access_control(policy(), false, now, kWall);
    }
    std::shared_ptr<const Policy> policy() {
        AccessFiles files;
        files.keys = {{"k.jwk", write_key(key, false)}};
        files.authorities = {{"ca.pem", root.certificate()}};
        files.revocations = NamedText{"revocations.json", revoked.write()};
        return current = read_policy(terms_of_access(), files, current.get(), kWall);
    }
    void reload() { tell(PolicyLoaded{policy()}); }
    std::string token(const std::string& member) {
        Claims claims;
        claims.issuer = "trinacria", claims.audience = {"archive"}, claims.id = member + "-token";
        claims.issued = kWall, claims.expires = kWall + s(600);
        claims.caller = {"etna", member, {true, true}, {}};
        return sign_token(claims, key);
    }
    ClientId asks(const std::string& token, const std::string& id = {}, bool guarded = true) {
        const ClientId client{++clients};
        tell(ClientOpened{client, guarded, false});
        return again(client, token, id);
    }
    ClientId again(ClientId client, const std::string& token, const std::string& id = {}) {
        protocol::SearchRequest request{id.empty() ? "q" + std::to_string(++asked) : id,
                                        "find",
                                        "",
                                        "text",
                                        2'000'000,
                                        false,
                                        {{0, 1.0}}};
        request.token = token;
        tell(SearchReceived{client, request, 0});
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
    lab::Authority root{"root", kWall - s(100), kWall + s(10'000)};
    Revocations revoked;
    std::shared_ptr<const Policy> current;
    int asked = 0;
};

void unauthenticated_search_is_refused_before_any_attempt() {
    Guarded desk;
    const ClientId none = desk.asks(""), bad = desk.asks("a.b.c");
    assert(desk.status(none) == 401 && desk.status(bad) == 401 && desk.all<OpenConnection>().empty());
    assert(desk.router.open_searches() == 0 && desk.router.counts().searches == 0);
    const auto lines = desk.all<Audit>();
    assert(lines.size() == 2 && lines[0].reason == Reason::kNoCredential &&
           lines[1].reason == Reason::kMalformed);
    assert(desk.all<RejectClient>()[0].challenge == "Bearer realm=\"ivyrill\"");
    desk.asks(desk.token("anna"));
    assert(desk.router.open_searches() == 1 && desk.all<OpenConnection>().size() == 1);
    desk.asks("", {}, false); // a listener without access control
    assert(desk.router.open_searches() == 2);
}

// An unauthenticated client learns nothing about request classes, partitions or ids.
void unauthenticated_client_learns_nothing() {
    Guarded desk;
    desk.asks(desk.token("anna"), "same");
    assert(desk.status(desk.asks("", "same")) == 401);
    const ClientId bruno = desk.asks(desk.token("bruno"), "same");
    assert(desk.status(bruno) == 409); // nothing of anna's answer
    const ConnectionId connection = desk.all<OpenConnection>()[0].connection;
    desk.up(connection), desk.wrote_all(connection);
    desk.Desk::answers(connection, "same.0");
    assert(desk.all<AnswerClient>().size() == 1 && desk.all<AnswerClient>()[0].client == ClientId{1});
}

// Revoked before anything was sent: refused with 401, and nothing is sent.
void revoked_search_without_sent_attempt_is_refused() {
    for (const auto idempotency : {ivyrill::Idempotency::kIdempotent, ivyrill::Idempotency::kNonIdempotent}) {
        Guarded desk(idempotency);
        const ClientId anna = desk.asks(desk.token("anna")), bruno = desk.asks(desk.token("bruno"));
        desk.revoke("anna"); // no connection is established yet
        desk.pass(ms(10));
        assert(desk.status(anna) == 401 && desk.answers(anna) == 1 && desk.answers(bruno) == 0);
        for (const OpenConnection& open : desk.all<OpenConnection>())
            desk.up(open.connection), desk.wrote_all(open.connection);
        assert(desk.sent('S') == 1); // bruno's
        desk.pass(ms(2100));
        assert(desk.answers(anna) == 1 && desk.router.open_searches() == 0);
    }
}

// Without a server there is no attempt: only the scheduler has the search.
void revoked_search_without_a_server_is_refused() {
    Guarded desk(ivyrill::Idempotency::kIdempotent, 0);
    const ClientId anna = desk.asks(desk.token("anna"));
    const bool open = desk.router.open_searches() == 1;
    desk.revoke("anna");
    assert(!open || (desk.status(anna) == 401 && desk.answers(anna) == 1));
    assert(desk.router.open_searches() == 0);
}

// Revoked while its attempt is in flight: it may answer, and no second attempt follows in any case.
void revoked_search_in_flight_ends_by_the_rules() {
    for (const Outcome outcome : {Outcome::kAnswered, Outcome::kError, Outcome::kRejected}) {
        Guarded desk;
        const ClientId anna = desk.asks(desk.token("anna"));
        const ConnectionId connection = desk.all<OpenConnection>()[0].connection;
        desk.up(connection), desk.wrote_all(connection);
        assert(desk.sent('S') == 1);
        desk.revoke("anna");
        assert(desk.answers(anna) == 0 && desk.router.counts().revoked == 1);
        desk.Desk::answers(connection, "q1.0", outcome);
        desk.pass(ms(2100));
        assert(desk.sent('S') == 1 && desk.answers(anna) == 1 && desk.router.counts().attempts == 1);
        if (outcome == Outcome::kAnswered)
            assert(desk.verdict(anna) == Verdict::kDelivered);
        else
            assert(desk.status(anna) == 401); // idempotent: whether it ran does not matter
    }
}

void write_that_may_have_run_is_never_refused() {
    Guarded desk(ivyrill::Idempotency::kNonIdempotent);
    const ClientId anna = desk.asks(desk.token("anna"));
    const ConnectionId connection = desk.all<OpenConnection>()[0].connection;
    desk.up(connection), desk.wrote_all(connection);
    desk.revoke("anna");
    desk.tell(ConnectionClosed{connection});
    desk.pass(ms(2100));
    assert(desk.verdict(anna) == Verdict::kFailed && desk.answers(anna) == 1 && desk.sent('S') == 1);
}

// An overdue attempt of a revoked search is neither hedged nor moved.
void overdue_attempt_of_a_revoked_search_is_not_hedged() {
    Guarded desk;
    const ClientId anna = desk.asks(desk.token("anna"));
    const ConnectionId connection = desk.all<OpenConnection>()[0].connection;
    desk.up(connection), desk.wrote_all(connection);
    desk.revoke("anna");
    desk.pass(ms(900));
    assert(desk.sent('S') == 1 && desk.sent('C') == 0 && desk.answers(anna) == 0);
    desk.Desk::answers(connection, "q1.0");
    assert(desk.verdict(anna) == Verdict::kDelivered);
}

void expired_key_revokes_its_searches() {
    Guarded desk;
    desk.key.times.outgoing = kWall, desk.key.times.gone = kWall + s(1);
    desk.reload();
    const ClientId first = desk.asks(desk.token("anna"));
    const ConnectionId connection = desk.all<OpenConnection>()[0].connection;
    desk.up(connection), desk.wrote_all(connection);
    const ClientId second = desk.asks(desk.token("bruno"));
    assert(desk.status(second) == 0 && desk.router.open_searches() == 2);
    desk.pass(s(1) - 1);
    assert(desk.router.counts().revoked == 0);
    desk.pass(2); // by the timer, without a request
    assert(desk.router.counts().revoked ==
           desk.router.open_searches() + (desk.answers(first) + desk.answers(second)));
    assert(desk.status(desk.asks(desk.token("anna"))) == 401);
}

// ---- connections that showed a certificate

ClientId secured(Guarded& desk, const lab::Issued& issued) {
    const ClientId client{++desk.clients};
    desk.tell(ClientOpened{client, true, true});
    desk.tell(HandshakeReady{client});
    assert(desk.all<ContinueHandshake>().back().client == client);
    desk.tell(HandshakeCompleted{client, std::make_shared<const Chain>(Chain{{issued.der}})});
    return client;
}

bool closed(const Guarded& desk, ClientId client) {
    const auto closes = desk.all<CloseClient>();
    return std::ranges::count(closes, client, &CloseClient::client) > 0;
}

void revoked_certificate_closes_its_idle_connection() {
    Guarded desk;
    const lab::Issued anna =
        desk.root.issue({"a", {"spiffe://t/anna"}, {}, kWall - s(1), kWall + s(1000), false});
    const lab::Issued bruno =
        desk.root.issue({"b", {"spiffe://t/bruno"}, {}, kWall - s(1), kWall + s(1000), false});
    const ClientId idle = secured(desk, anna), other = secured(desk, bruno);
    desk.again(idle, ""), desk.again(other, "");
    for (const OpenConnection& open : desk.all<OpenConnection>())
        desk.up(open.connection), desk.wrote_all(open.connection);
    for (const OpenConnection& open : desk.all<OpenConnection>())
        for (const std::string& frame : desk.frames(open.connection, 'S'))
            desk.Desk::answers(open.connection, frame.substr(0, frame.find(' ')));
    assert(desk.answers(idle) == 1 && desk.answers(other) == 1);
    desk.revoked.certificates[anna.serial] = kWall;
    desk.reload(); // in the same turn
    assert(closed(desk, idle) && !closed(desk, other));
}

void revoked_certificate_with_an_open_search_closes_after_its_answer() {
    for (const bool draining : {false, true}) {
        Guarded desk;
        const lab::Issued anna =
            desk.root.issue({"a", {"spiffe://t/anna"}, {}, kWall - s(1), kWall + s(1000), false});
        const ClientId client = secured(desk, anna);
        desk.again(client, "");
        const ConnectionId connection = desk.all<OpenConnection>()[0].connection;
        desk.up(connection), desk.wrote_all(connection);
        if (draining) desk.tell(DrainStarted{});
        desk.revoked.certificates[anna.serial] = kWall;
        desk.reload();
        assert(!closed(desk, client) && desk.answers(client) == 0);
        desk.Desk::answers(connection, "q1.0");
        const auto answers = desk.all<AnswerClient>();
        assert(answers.size() == 1 && answers[0].answer.verdict == Verdict::kDelivered && answers[0].close);
    }
}

void reload_without_changes_affects_nobody() {
    Guarded desk;
    const lab::Issued anna =
        desk.root.issue({"a", {"spiffe://t/anna"}, {}, kWall - s(1), kWall + s(1000), false});
    const ClientId client = secured(desk, anna), by_token = desk.asks(desk.token("bruno"));
    for (int i = 0; i < 5; ++i) desk.reload();
    assert(!closed(desk, client) && desk.answers(by_token) == 0 && desk.router.counts().revoked == 0);
    assert(desk.router.open_searches() == 1 && desk.router.authorizer()->policy().generation == 6);
}

// ---- handshakes

void incomplete_handshakes_are_evicted_and_time_out() {
    Guarded desk;
    for (int i = 0; i < 9; ++i) desk.tell(ClientOpened{ClientId{++desk.clients}, true, true});
    assert(desk.router.open_handshakes() == 8 && closed(desk, ClientId{1}) && !closed(desk, ClientId{2}));
    desk.pass(s(2) + 1); // handshakes without any bytes
    assert(desk.router.open_handshakes() == 0 && closed(desk, ClientId{9}));
}

void handshakes_are_queued_and_searches_are_not() {
    Guarded desk;
    std::vector<ClientId> many;
    for (int i = 0; i < 8; ++i) {
        many.push_back(ClientId{++desk.clients});
        desk.router.handle(desk.now, ClientOpened{many.back(), true, true});
    }
    for (const ClientId client : many) desk.router.handle(desk.now, HandshakeReady{client});
    const ClientId plain = desk.asks(desk.token("anna")); // in the same turn
    assert(desk.all<ContinueHandshake>().size() <= 8 && desk.all<OpenConnection>().size() == 1 &&
           desk.status(plain) == 0);
    desk.pass(ms(10));
    assert(desk.all<ContinueHandshake>().size() == 8);
}

void clock_correction_by_a_day_expires_keys_after_settling() {
    Guarded desk;
    desk.key.times.outgoing = kWall, desk.key.times.gone = kWall + s(3600);
    desk.reload();
    desk.asks(desk.token("anna"));
    const Tenths start = desk.now;
    const auto tell_wall = [&](Tenths ahead) {
        desk.tell(WallClockRead{kWall + (desk.now - start) + ahead});
    };
    tell_wall(s(86'400));
    assert(desk.router.counts().revoked == 0);
    desk.now += ms(100);
    tell_wall(0); // a transient jump
    assert(desk.router.counts().revoked == 0);
    tell_wall(s(86'400));
    desk.now += s(1);
    tell_wall(s(86'400));
    assert(desk.router.counts().revoked == 0);
    const ClientId late = desk.asks(desk.token("bruno"));
    assert(desk.status(late) == 0);
    desk.now += s(10);
    tell_wall(s(86'400));
    assert(desk.status(desk.asks(desk.token("bruno"))) == 401);
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
