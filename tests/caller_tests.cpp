// Tests over loopback of who is calling: a front node with an operator's file in a process of its own,
// tokens and certificates that change while it serves. Every wait ends with what it waits for or fails.
#include "fake_host.hpp"
#include "lab/hall.hpp"

#include <csignal>

namespace ivyrill::lab {

namespace {

using access::Algorithm;

int status(Client& client, const Ask& ask) {
    client.say(search_bytes(ask));
    return client.answer().status;
}

int once(const std::string& address, const Ask& ask) {
    Client client(address);
    return status(client, ask);
}

constexpr Tenths kHour = 3600 * kTenthsPerSecond;

void token_opens_the_plain_port_and_the_sealed_one() {
    Hall hall({});
    const std::string token = hall.token("anna", hall.key());
    Client plain(hall.plain()), sealed(hall.sealed(), TlsWish{}),
        old(hall.sealed(), TlsWish{{}, {}, true, {}});
    for (Client* client : {&plain, &sealed, &old}) {
        static int number = 0;
        const std::string id = "q" + std::to_string(++number);
        client->say(search_bytes({id}));
        const auto refused = client->answer();
        assert(refused.status == 401 && refused.header("www-authenticate") == "Bearer realm=\"ivyrill\"");
        assert(status(*client, {id + "b", "find", "", token}) == 200); // the connection goes on
        assert(status(*client, {id + "c", "annotate", "g1", token}) == 200);
        assert(status(*client, {id + "d", "annotate", "g2", token}) == 403);
        assert(status(*client, {id + "e", "find", "", token, "conca"}) == 403);
        assert(status(*client, {id + "f", "find", "", token + "x"}) == 401);
    }
    assert(hall.fleet.attempts() == 6 && hall.fleet.attempts("q1.0") == 0 &&
           hall.fleet.attempts("q1d.0") == 0);
    assert(hall.await_audit("\"reason\":\"not-owner\"", 3) &&
           hall.await_audit("\"reason\":\"wrong-club\"", 3));
    assert(hall.audited(token.substr(0, 30)) == 0); // nothing secret
}

void certificate_names_its_bearer() {
    Hall hall({});
    const Issued anna = hall.issue("anna");
    Client client(hall.certified(), TlsWish{anna.certificate, anna.key, false, {}});
    assert(status(client, {"a1"}) == 200 && status(client, {"a2", "annotate", "g7"}) == 200);
    assert(status(client, {"a3", "annotate", "g1"}) == 403);
    Client none(hall.certified(), TlsWish{}); // optional there: a token does
    assert(status(none, {"b1"}) == 401 &&
           status(none, {"b2", "find", "", hall.token("anna", hall.key())}) == 200);
    const Authority strange("root", 0, 4'000'000'000 * kTenthsPerSecond);
    const Issued stranger = strange.issue(
        {"x", {"spiffe://trinacria.example/etna/anna"}, {}, 0, 4'000'000'000 * kTenthsPerSecond, false});
    Client other(hall.certified(), TlsWish{stranger.certificate, stranger.key, false, {}});
    assert(status(other, {"c1"}) == 401 && hall.fleet.attempts("c1.0") == 0);
}

void keys_change_and_tokens_of_both_count() {
    Hall hall({});
    Client client(hall.plain());
    const access::Key first = hall.key();
    const std::string old = hall.token("anna", first);
    assert(status(client, {"a1", "find", "", old}) == 200);
    hall.rotate("k1", Algorithm::kEs256, kHour);
    assert(hall.await_audit("swapped", 2)); // the fresh key, then the times of the first
    assert(status(client, {"a2", "find", "", old}) == 200);
    assert(status(client, {"a3", "find", "", hall.token("anna", hall.key())}) == 200);
    access::Key gone = first;
    gone.times.outgoing = gone.times.gone = transport::Loop::wall() / kTenthsPerSecond * kTenthsPerSecond;
    const std::size_t swaps = hall.audited("swapped");
    hall.write_key(gone);
    assert(hall.await_audit("swapped", swaps + 1));
    assert(status(client, {"a4", "find", "", old}) == 401);
    assert(status(client, {"a5", "find", "", hall.token("anna", hall.key())}) == 200);
}

void reload_that_is_not_sound_keeps_everything() {
    Hall hall({});
    Client client(hall.plain());
    const std::string token = hall.token("anna", hall.key());
    hall.write("keys/k9.jwk", "{\"kid\": \"k9\"");
    assert(hall.await_audit("\"what\":\"kept\""));
    assert(status(client, {"a1", "find", "", token}) == 200);
    std::size_t kept = hall.audited("kept");
    hall.signal(SIGHUP), hall.signal(SIGHUP); // two at once
    assert(hall.await_audit("kept", ++kept) && status(client, {"a2", "find", "", token}) == 200);
    kept = hall.audited("kept");
    hall.write("server.key", hall.issue("x").key); // it does not fit the certificate
    assert(hall.await_audit("kept", kept + 1));
    Client sealed(hall.sealed(), TlsWish{});
    assert(sealed.peer_serial() == hall.server_serial() && hall.running());
    assert(status(sealed, {"a3", "find", "", token}) == 200);
}

void own_certificate_changes_and_closes_nothing() {
    Hall hall({});
    Client before(hall.sealed(), TlsWish{});
    const std::string first = hall.server_serial(), token = hall.token("anna", hall.key());
    hall.renew_server();
    assert(hall.server_serial() != first && hall.await_audit("swapped"));
    std::string serial = first;
    while (serial == first)
        serial = Client(hall.sealed(), TlsWish{}).peer_serial(); // until both files are in
    assert(serial == hall.server_serial() && before.peer_serial() == first);
    assert(status(before, {"a1", "find", "", token}) == 200);
}

void revoked_certificate_ends_its_idle_connection() {
    Hall hall({});
    const Issued anna = hall.issue("anna"), bruno = hall.issue("bruno");
    Client first(hall.certified(), TlsWish{anna.certificate, anna.key, false, {}});
    Client second(hall.certified(), TlsWish{bruno.certificate, bruno.key, false, {}});
    assert(status(first, {"a1"}) == 200 && status(second, {"b1"}) == 200);
    hall.revoke_serials({anna.serial});
    assert(first.ends()); // idle and open: it need not ask anything
    assert(status(second, {"b2"}) == 200);
    Client again(hall.certified(), TlsWish{anna.certificate, anna.key, false, {}});
    assert(status(again, {"a2"}) == 401 && hall.await_audit("distrusted"));
}

// With a search out, during a drain: its one answer comes, then the connection ends.
void revoked_with_a_search_out_gets_its_answer_and_the_end() {
    Hall hall({});
    const Issued anna = hall.issue("anna");
    Client client(hall.certified(), TlsWish{anna.certificate, anna.key, false, {}});
    hall.fleet.hold(true);
    client.say(search_bytes({"a1"}));
    assert(hall.fleet.await_attempt("a1.0"));
    hall.signal(SIGTERM);
    hall.revoke_serials({anna.serial});
    assert(hall.await_audit("\"what\":\"barred\""));
    hall.fleet.hold(false);
    assert(client.answer().status == 200 && client.ends());
    assert(hall.fleet.attempts("a1.0") == 1 && hall.exit_status() == 0);
}

void order_to_stop_behind_a_reload_is_kept() {
    Hall hall({2, Idempotency::kNonIdempotent, true, {}, 512});
    Client client(hall.plain());
    hall.fleet.hold(true);
    client.say(search_bytes({"a1", "annotate", "g1", hall.token("anna", hall.key())}));
    assert(hall.fleet.await_attempt("a1.0"));
    hall.write("keys/k9.jwk", "{");
    hall.signal(SIGHUP), hall.signal(SIGTERM);
    hall.fleet.hold(false);
    const auto answer = client.answer();
    assert(answer.status == 200 && hall.exit_status() == 0);
}

// Half handshakes, and clients that read nothing during theirs, hold up nobody on the plain port.
void half_handshakes_delay_nobody() {
    Hall hall({2, Idempotency::kIdempotent, true, "tls = {\"open_handshakes\": 16}\n", 512});
    std::vector<Client> half;
    const std::string hello("\x16\x03\x01\x02\x00\x01", 6); // of a ClientHello that never ends
    for (int i = 0; i < 100; ++i) {
        half.emplace_back(hall.sealed());
        half.back().say(hello);
    }
    const std::string token = hall.token("anna", hall.key());
    Client plain(hall.plain());
    assert(status(plain, {"a1", "find", "", token}) == 200);
    Client sealed(hall.sealed(), TlsWish{});
    assert(status(sealed, {"a2", "find", "", token}) == 200);
    for (Client& client : half) assert(client.ends()); // crowded out, or at the end of their time
    Client noise(hall.sealed());
    noise.say("GET /-/ready HTTP/1.1\r\n\r\n"); // no TLS at all: an alert, then the end
    while (!noise.hear().empty()) {}
    assert(status(plain, {"a3", "find", "", token}) == 200);
}

void nobody_renegotiates_and_protocols_are_agreed() {
    Hall hall({});
    Client old(hall.sealed(), TlsWish{{}, {}, true, std::string("\x02h2\x08http/1.1")});
    assert(old.protocol() == "http/1.1" && !old.renegotiate());
    bool refused = false;
    try {
        Client other(hall.sealed(), TlsWish{{}, {}, false, std::string("\x02h2")});
    } catch (const std::runtime_error&) { refused = true; }
    assert(refused);
    Client client(hall.sealed(), TlsWish{});
    assert(status(client, {"a1", "find", "", hall.token("anna", hall.key())}) == 200);
}

// Refusals, which any stranger can cause by the thousand, crowd no change out of the audit log.
void flood_of_refusals_hides_no_change() {
    Hall hall({});
    Client client(hall.plain());
    for (int i = 0; i < 1000; ++i) client.say(search_bytes({"a" + std::to_string(i)})), client.answer();
    hall.rotate("k1", Algorithm::kEdDsa, kHour);
    for (int i = 0; i < 1000; ++i) client.say(search_bytes({"b" + std::to_string(i)})), client.answer();
    assert(hall.await_audit("swapped", 2));
    hall.write("keys/k9.jwk", "{");
    assert(hall.await_audit("kept"));
}

void without_an_operators_file_nobody_is_asked() {
    Hall hall({2, Idempotency::kIdempotent, false, {}, 512});
    assert(once(hall.plain(), {"a1"}) == 200 && once(hall.plain(), {"a2", "find", "", "nonsense"}) == 200);
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
