// Tests of authentication over loopback: a front node process with an operator file; tokens and certificates
// change while it serves. Waits fail after a timeout.
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

void token_is_accepted_on_plain_and_tls_listeners() {
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
        assert(status(*client, {id + "b", "find", "", token}) == 200); // the connection stays usable
        assert(status(*client, {id + "c", "annotate", "g1", token}) == 200);
        assert(status(*client, {id + "d", "annotate", "g2", token}) == 403);
        assert(status(*client, {id + "e", "find", "", token, "conca"}) == 403);
        assert(status(*client, {id + "f", "find", "", token + "x"}) == 401);
    }
    assert(fixture.fleet.attempts() == 6 && fixture.fleet.attempts("q1.0") == 0 &&
           fixture.fleet.attempts("q1d.0") == 0);
    assert(fixture.await_audit("\"reason\":\"not-owner\"", 3) &&
           fixture.await_audit("\"reason\":\"wrong-club\"", 3));
    assert(fixture.count_audit_lines(token.substr(0, 30)) == 0); // the audit log contains no token
}

void certificate_identifies_the_client() {
    FrontNodeFixture fixture({});
    const IssuedCertificate anna = fixture.issue("anna");
    Client client(fixture.client_certificate_address(),
                  ClientTlsOptions{anna.certificate, anna.key, false, {}});
    assert(status(client, {"a1"}) == 200 && status(client, {"a2", "annotate", "g7"}) == 200);
    assert(status(client, {"a3", "annotate", "g1"}) == 403);
    Client none(fixture.client_certificate_address(),
                ClientTlsOptions{}); // client certificates are optional here; a token is enough
    assert(status(none, {"b1"}) == 401 &&
           status(none, {"b2", "find", "", fixture.token("anna", fixture.key())}) == 200);
    const CertificateAuthority unknown_authority("root", 0, 4'000'000'000 * kTicksPerSecond);
    const IssuedCertificate stranger = unknown_authority.issue(
        {"x", {"spiffe://trinacria.example/etna/anna"}, {}, 0, 4'000'000'000 * kTicksPerSecond, false});
    Client other(fixture.client_certificate_address(),
                 ClientTlsOptions{stranger.certificate, stranger.key, false, {}});
    assert(status(other, {"c1"}) == 401 && fixture.fleet.attempts("c1.0") == 0);
}

void tokens_of_old_and_new_keys_are_accepted_during_rotation() {
    FrontNodeFixture fixture({});
    Client client(fixture.plain_address());
    const access::Key first = fixture.key();
    const std::string old = fixture.token("anna", first);
    assert(status(client, {"a1", "find", "", old}) == 200);
    fixture.rotate("k1", Algorithm::kEs256, kHour);
    assert(fixture.await_audit("swapped", 2)); // the new key, then the changed times of the first
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

void invalid_reload_keeps_the_old_files() {
    FrontNodeFixture fixture({});
    Client client(fixture.plain_address());
    const std::string token = fixture.token("anna", fixture.key());
    fixture.write("keys/k9.jwk", "{\"kid\": \"k9\"");
    assert(fixture.await_audit("\"what\":\"kept\""));
    assert(status(client, {"a1", "find", "", token}) == 200);
    std::size_t kept = fixture.count_audit_lines("kept");
    fixture.signal(SIGHUP), fixture.signal(SIGHUP); // two reloads at once
    assert(fixture.await_audit("kept", ++kept) && status(client, {"a2", "find", "", token}) == 200);
    kept = fixture.count_audit_lines("kept");
    fixture.write("server.key", fixture.issue("x").key); // does not match the certificate
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
        serial =
            Client(fixture.tls_address(), ClientTlsOptions{}).peer_serial(); // until both files are loaded
    assert(serial == fixture.server_serial() && before.peer_serial() == first);
    assert(status(before, {"a1", "find", "", token}) == 200);
}

void revoked_certificate_closes_its_idle_tls_connection() {
    FrontNodeFixture fixture({});
    const IssuedCertificate anna = fixture.issue("anna"), bruno = fixture.issue("bruno");
    Client first(fixture.client_certificate_address(),
                 ClientTlsOptions{anna.certificate, anna.key, false, {}});
    Client second(fixture.client_certificate_address(),
                  ClientTlsOptions{bruno.certificate, bruno.key, false, {}});
    assert(status(first, {"a1"}) == 200 && status(second, {"b1"}) == 200);
    fixture.revoke_serials({anna.serial});
    assert(first.closed_by_peer()); // closed while idle, without a further request
    assert(status(second, {"b2"}) == 200);
    Client again(fixture.client_certificate_address(),
                 ClientTlsOptions{anna.certificate, anna.key, false, {}});
    assert(status(again, {"a2"}) == 401 && fixture.await_audit("distrusted"));
}

// A revoked connection with a search in flight during a drain gets its one answer and is then closed.
void revoked_client_with_a_search_in_flight_gets_its_answer() {
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

void stop_signal_during_a_reload_is_handled() {
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

// Incomplete handshakes, and clients that do not read during theirs, must not delay the plain port.
void incomplete_handshakes_delay_no_other_client() {
    FrontNodeFixture fixture({2, Idempotency::kIdempotent, true, "tls = {\"open_handshakes\": 16}\n", 512});
    std::vector<Client> incomplete_handshakes;
    const std::string hello("\x16\x03\x01\x02\x00\x01", 6); // start of a ClientHello that is never completed
    for (int i = 0; i < 100; ++i) {
        incomplete_handshakes.emplace_back(fixture.tls_address());
        incomplete_handshakes.back().send_bytes(hello);
    }
    const std::string token = fixture.token("anna", fixture.key());
    Client plain(fixture.plain_address());
    assert(status(plain, {"a1", "find", "", token}) == 200);
    Client tls_client(fixture.tls_address(), ClientTlsOptions{});
    assert(status(tls_client, {"a2", "find", "", token}) == 200);
    for (Client& client : incomplete_handshakes) assert(client.closed_by_peer()); // evicted or timed out
    Client plaintext_client(fixture.tls_address());
    plaintext_client.send_bytes(
        "GET /-/ready HTTP/1.1\r\n\r\n"); // not TLS: the server sends an alert and closes
    while (!plaintext_client.receive_bytes().empty()) {}
    assert(status(plain, {"a3", "find", "", token}) == 200);
}

void renegotiation_is_rejected_and_alpn_is_negotiated() {
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

// Refusals, which any client can cause in large numbers, must not displace changes in the audit log.
void refusals_do_not_displace_changes_in_the_audit_log() {
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

void without_an_operator_file_access_is_open() {
    FrontNodeFixture fixture({2, Idempotency::kIdempotent, false, {}, 512});
    assert(once(fixture.plain_address(), {"a1"}) == 200 &&
           once(fixture.plain_address(), {"a2", "find", "", "nonsense"}) == 200);
}

const Test kTests[] = {
    TEST(token_is_accepted_on_plain_and_tls_listeners),
    TEST(certificate_identifies_the_client),
    TEST(tokens_of_old_and_new_keys_are_accepted_during_rotation),
    TEST(invalid_reload_keeps_the_old_files),
    TEST(own_certificate_changes_and_closes_nothing),
    TEST(revoked_certificate_closes_its_idle_tls_connection),
    TEST(revoked_client_with_a_search_in_flight_gets_its_answer),
    TEST(stop_signal_during_a_reload_is_handled),
    TEST(incomplete_handshakes_delay_no_other_client),
    TEST(renegotiation_is_rejected_and_alpn_is_negotiated),
    TEST(refusals_do_not_displace_changes_in_the_audit_log),
    TEST(without_an_operator_file_access_is_open),
};

} // namespace

} // namespace ivyrill::lab

int main(int count, char** arguments) { return ivyrill::run_test(ivyrill::lab::kTests, count, arguments); }
