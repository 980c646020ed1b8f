// Tests over loopback of who is calling: a front node with an operator's file in a process of its own,
// tokens and certificates that change while it serves. Every wait ends with what it waits for or fails.
#include "fake_host.hpp"
#include "lab/front_node_fixture.hpp"

#include <csignal>

namespace ivyrill::lab {

namespace {

using access::Algorithm;

int status(Client& client, const SearchRequest& request) {
    client.send_bytes(search_bytes(request));
    return client.answer().status;
}

int once(const std::string& address, const SearchRequest& request) {
    Client client(address);
    return status(client, request);
}

constexpr Ticks kHour = 3600 * kTicksPerSecond;

void token_opens_the_plain_port_and_the_sealed_one() {
    FrontNodeFixture fixture({});
    const std::string token = fixture.token("anna", fixture.key());
    Client plain(fixture.plain_address()), tls_client(fixture.tls_address(), ClientTlsOptions{}),
        old(fixture.tls_address(), ClientTlsOptions{{}, {}, true, {}});
    for (Client* client : {&plain, &tls_client, &old}) {
        static int number = 0;
        const std::string id = "q" + std::to_string(++number);
        client->send_bytes(search_bytes({id}));
        const auto refused = client->answer();
        assert(refused.status == 401 && refused.header("www-authenticate") == "Bearer realm=\"ivyrill\"");
        assert(status(*client, {id + "b", "find", "", token}) == 200); // the connection goes on
        assert(status(*client, {id + "c", "annotate", "g1", token}) == 200);
        assert(status(*client, {id + "d", "annotate", "g2", token}) == 403);
        assert(status(*client, {id + "e", "find", "", token, "conca"}) == 403);
        assert(status(*client, {id + "f", "find", "", token + "x"}) == 401);
    }
    assert(fixture.fleet.attempts() == 6 && fixture.fleet.attempts("q1.0") == 0 &&
           fixture.fleet.attempts("q1d.0") == 0);
    assert(fixture.await_audit("\"reason\":\"not-owner\"", 3) &&
           fixture.await_audit("\"reason\":\"wrong-club\"", 3));
    assert(fixture.count_audit_lines(token.substr(0, 30)) == 0); // nothing secret
}

void certificate_names_its_bearer() {
    FrontNodeFixture fixture({});
    const IssuedCertificate anna = fixture.issue("anna");
    Client client(fixture.client_certificate_address(),
                  ClientTlsOptions{anna.certificate, anna.key, false, {}});
    assert(status(client, {"a1"}) == 200 && status(client, {"a2", "annotate", "g7"}) == 200);
    assert(status(client, {"a3", "annotate", "g1"}) == 403);
    Client none(fixture.client_certificate_address(), ClientTlsOptions{}); // optional there: a token does
    assert(status(none, {"b1"}) == 401 &&
           status(none, {"b2", "find", "", fixture.token("anna", fixture.key())}) == 200);
    const CertificateAuthority strange("root", 0, 4'000'000'000 * kTicksPerSecond);
    const IssuedCertificate stranger = strange.issue(
        {"x", {"spiffe://trinacria.example/etna/anna"}, {}, 0, 4'000'000'000 * kTicksPerSecond, false});
    Client other(fixture.client_certificate_address(),
                 ClientTlsOptions{stranger.certificate, stranger.key, false, {}});
    assert(status(other, {"c1"}) == 401 && fixture.fleet.attempts("c1.0") == 0);
}

void keys_change_and_tokens_of_both_count() {
    FrontNodeFixture fixture({});
    Client client(fixture.plain_address());
    const access::Key first = fixture.key();
    const std::string old = fixture.token("anna", first);
    assert(status(client, {"a1", "find", "", old}) == 200);
    fixture.rotate("k1", Algorithm::kEs256, kHour);
    assert(fixture.await_audit("swapped", 2)); // the fresh key, then the times of the first
    assert(status(client, {"a2", "find", "", old}) == 200);
    assert(status(client, {"a3", "find", "", fixture.token("anna", fixture.key())}) == 200);
    access::Key gone = first;
    gone.times.outgoing = gone.times.gone = transport::Loop::wall() / kTicksPerSecond * kTicksPerSecond;
    const std::size_t swaps = fixture.count_audit_lines("swapped");
    fixture.write_key(gone);
    assert(fixture.await_audit("swapped", swaps + 1));
    assert(status(client, {"a4", "find", "", old}) == 401);
    assert(status(client, {"a5", "find", "", fixture.token("anna", fixture.key())}) == 200);
}

void reload_that_is_not_sound_keeps_everything() {
    FrontNodeFixture fixture({});
    Client client(fixture.plain_address());
    const std::string token = fixture.token("anna", fixture.key());
    fixture.write("keys/k9.jwk", "{\"kid\": \"k9\"");
    assert(fixture.await_audit("\"what\":\"kept\""));
    assert(status(client, {"a1", "find", "", token}) == 200);
    std::size_t kept = fixture.count_audit_lines("kept");
    fixture.signal(SIGHUP), fixture.signal(SIGHUP); // two at once
    assert(fixture.await_audit("kept", ++kept) && status(client, {"a2", "find", "", token}) == 200);
    kept = fixture.count_audit_lines("kept");
    fixture.write("server.key", fixture.issue("x").key); // it does not fit the certificate
    assert(fixture.await_audit("kept", kept + 1));
    Client tls_client(fixture.tls_address(), ClientTlsOptions{});
    assert(tls_client.peer_serial() == fixture.server_serial() && fixture.running());
    assert(status(tls_client, {"a3", "find", "", token}) == 200);
}

void own_certificate_changes_and_closes_nothing() {
    FrontNodeFixture fixture({});
    Client before(fixture.tls_address(), ClientTlsOptions{});
    const std::string first = fixture.server_serial(), token = fixture.token("anna", fixture.key());
    fixture.renew_server();
    assert(fixture.server_serial() != first && fixture.await_audit("swapped"));
    std::string serial = first;
    while (serial == first)
        serial = Client(fixture.tls_address(), ClientTlsOptions{}).peer_serial(); // until both files are in
    assert(serial == fixture.server_serial() && before.peer_serial() == first);
    assert(status(before, {"a1", "find", "", token}) == 200);
}

void revoked_certificate_ends_its_idle_connection() {
    FrontNodeFixture fixture({});
    const IssuedCertificate anna = fixture.issue("anna"), bruno = fixture.issue("bruno");
    Client first(fixture.client_certificate_address(),
                 ClientTlsOptions{anna.certificate, anna.key, false, {}});
    Client second(fixture.client_certificate_address(),
                  ClientTlsOptions{bruno.certificate, bruno.key, false, {}});
    assert(status(first, {"a1"}) == 200 && status(second, {"b1"}) == 200);
    fixture.revoke_serials({anna.serial});
    assert(first.closed_by_peer()); // idle and open: it need not ask anything
    assert(status(second, {"b2"}) == 200);
    Client again(fixture.client_certificate_address(),
                 ClientTlsOptions{anna.certificate, anna.key, false, {}});
    assert(status(again, {"a2"}) == 401 && fixture.await_audit("distrusted"));
}

// With a search out, during a drain: its one answer comes, then the connection ends.
void revoked_with_a_search_out_gets_its_answer_and_the_end() {
    FrontNodeFixture fixture({});
    const IssuedCertificate anna = fixture.issue("anna");
    Client client(fixture.client_certificate_address(),
                  ClientTlsOptions{anna.certificate, anna.key, false, {}});
    fixture.fleet.hold(true);
    client.send_bytes(search_bytes({"a1"}));
    assert(fixture.fleet.await_attempt("a1.0"));
    fixture.signal(SIGTERM);
    fixture.revoke_serials({anna.serial});
    assert(fixture.await_audit("\"what\":\"barred\""));
    fixture.fleet.hold(false);
    assert(client.answer().status == 200 && client.closed_by_peer());
    assert(fixture.fleet.attempts("a1.0") == 1 && fixture.exit_status() == 0);
}

void order_to_stop_behind_a_reload_is_kept() {
    FrontNodeFixture fixture({2, Idempotency::kNonIdempotent, true, {}, 512});
    Client client(fixture.plain_address());
    fixture.fleet.hold(true);
    client.send_bytes(search_bytes({"a1", "annotate", "g1", fixture.token("anna", fixture.key())}));
    assert(fixture.fleet.await_attempt("a1.0"));
    fixture.write("keys/k9.jwk", "{");
    fixture.signal(SIGHUP), fixture.signal(SIGTERM);
    fixture.fleet.hold(false);
    const auto answer = client.answer();
    assert(answer.status == 200 && fixture.exit_status() == 0);
}

// Half handshakes, and clients that read nothing during theirs, hold up nobody on the plain port.
void half_handshakes_delay_nobody() {
    FrontNodeFixture fixture({2, Idempotency::kIdempotent, true, "tls = {\"open_handshakes\": 16}\n", 512});
    std::vector<Client> half;
    const std::string hello("\x16\x03\x01\x02\x00\x01", 6); // of a ClientHello that never ends
    for (int i = 0; i < 100; ++i) {
        half.emplace_back(fixture.tls_address());
        half.back().send_bytes(hello);
    }
    const std::string token = fixture.token("anna", fixture.key());
    Client plain(fixture.plain_address());
    assert(status(plain, {"a1", "find", "", token}) == 200);
    Client tls_client(fixture.tls_address(), ClientTlsOptions{});
    assert(status(tls_client, {"a2", "find", "", token}) == 200);
    for (Client& client : half) assert(client.closed_by_peer()); // crowded out, or at the end of their time
    Client noise(fixture.tls_address());
    noise.send_bytes("GET /-/ready HTTP/1.1\r\n\r\n"); // no TLS at all: an alert, then the end
    while (!noise.receive_bytes().empty()) {}
    assert(status(plain, {"a3", "find", "", token}) == 200);
}

void nobody_renegotiates_and_protocols_are_agreed() {
    FrontNodeFixture fixture({});
    Client old(fixture.tls_address(), ClientTlsOptions{{}, {}, true, std::string("\x02h2\x08http/1.1")});
    assert(old.protocol() == "http/1.1" && !old.renegotiate());
    bool refused = false;
    try {
        Client other(fixture.tls_address(), ClientTlsOptions{{}, {}, false, std::string("\x02h2")});
    } catch (const std::runtime_error&) { refused = true; }
    assert(refused);
    Client client(fixture.tls_address(), ClientTlsOptions{});
    assert(status(client, {"a1", "find", "", fixture.token("anna", fixture.key())}) == 200);
}

// Refusals, which any stranger can cause by the thousand, crowd no change out of the audit log.
void flood_of_refusals_hides_no_change() {
    FrontNodeFixture fixture({});
    Client client(fixture.plain_address());
    for (int i = 0; i < 1000; ++i)
        client.send_bytes(search_bytes({"a" + std::to_string(i)})), client.answer();
    fixture.rotate("k1", Algorithm::kEdDsa, kHour);
    for (int i = 0; i < 1000; ++i)
        client.send_bytes(search_bytes({"b" + std::to_string(i)})), client.answer();
    assert(fixture.await_audit("swapped", 2));
    fixture.write("keys/k9.jwk", "{");
    assert(fixture.await_audit("kept"));
}

void without_an_operators_file_nobody_is_asked() {
    FrontNodeFixture fixture({2, Idempotency::kIdempotent, false, {}, 512});
    assert(once(fixture.plain_address(), {"a1"}) == 200 &&
           once(fixture.plain_address(), {"a2", "find", "", "nonsense"}) == 200);
}

const Test kTests[] = {
    TEST(token_opens_the_plain_port_and_the_sealed_one),
    TEST(certificate_names_its_bearer),
    TEST(keys_change_and_tokens_of_both_count),
    TEST(reload_that_is_not_sound_keeps_everything),
    TEST(own_certificate_changes_and_closes_nothing),
    TEST(revoked_certificate_ends_its_idle_connection),
    TEST(revoked_with_a_search_out_gets_its_answer_and_the_end),
    TEST(order_to_stop_behind_a_reload_is_kept),
    TEST(half_handshakes_delay_nobody),
    TEST(nobody_renegotiates_and_protocols_are_agreed),
    TEST(flood_of_refusals_hides_no_change),
    TEST(without_an_operators_file_nobody_is_asked),
};

} // namespace

} // namespace ivyrill::lab

int main(int count, char** arguments) { return ivyrill::run_test(ivyrill::lab::kTests, count, arguments); }
