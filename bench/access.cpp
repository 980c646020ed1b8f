// `make measure NAME=access`: rotates keys, server certificates and revocation lists while clients search
// with valid and invalid credentials over plain and TLS listeners, and compares each outcome with the
// expected one. The last line is one JSON object; the exit status is 1 if a guarantee is violated.
#include "access/authorizer.hpp"
#include "access/encoding.hpp"
#include "lab/front_node_fixture.hpp"
#include "script/script.hpp"
#include "transport/loop.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace ivyrill::lab {

namespace {

using access::Algorithm;
using Clock = std::chrono::steady_clock;

constexpr int kSearchers = 6, kRotations = 24;
constexpr std::uint64_t kMinSearches = 24'000;
constexpr double kMaxRevocationMs = 1000; // the documented bound
constexpr std::int64_t kOverlapS = 2;

double micros(Clock::duration span) { return std::chrono::duration<double, std::micro>(span).count(); }

double quantile(std::vector<double> values, double at) {
    if (values.empty()) return 0;
    const auto position = static_cast<std::ptrdiff_t>(at * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

// The keys that clients sign with. A signer uses a new key once every verifier has it: here, once the front
// node has logged the swap.
struct Signers {
    std::mutex mutex;
    access::Key current, before;
    bool has_before = false;
};

struct Counts {
    std::atomic<std::uint64_t> searches = 0, wrongful_refusals = 0, wrongful_admissions = 0,
                               bad_kinds[16] = {};
    std::atomic<std::uint64_t> errors = 0;
};

std::string with_invalid_signature(std::string token) {
    char& character = token[token.rfind('.') + 5];
    character = character == 'A' ? 'B' : 'A';
    return token;
}

std::string token_with_header(const nlohmann::json& header, const std::string& like,
                              const std::string& signature) {
    return access::base64url(header.dump()) + like.substr(like.find('.'), like.rfind('.') - like.find('.')) +
           "." + access::base64url(signature);
}

// Sends searches one after another on one connection, half of them with invalid credentials.
void search_on(const FrontNodeFixture& fixture, Signers& signers, Counts& counts,
               const access::Key& unknown_key, const access::Key& gone, int number,
               const std::atomic<bool>& stop) {
    std::mt19937_64 random(static_cast<std::uint64_t>(number) + 1);
    std::optional<Client> client;
    std::uint64_t made = 0;
    const std::string member = "m" + std::to_string(number);
    while (!stop) {
        access::Key key = unknown_key;
        bool old_key = false;
        {
            const std::lock_guard lock(signers.mutex);
            old_key = signers.has_before && random() % 3 == 0;
            key = old_key ? signers.before : signers.current;
        }
        const std::string good = fixture.token(member, key);
        for (int i = 0; i < 40 && !stop; ++i) {
            SearchRequest request;
            request.id = member + "-" + std::to_string(made++), request.token = good;
            request.shard = static_cast<int>(random() % 2);
            bool should_admit = true;
            int kind = 0;
            if (random() % 2 == 0) {
                should_admit = false, kind = 1 + static_cast<int>(random() % 12);
                const Ticks s = kTicksPerSecond;
                if (kind == 1) request.token.clear();
                if (kind == 2) request.token = with_invalid_signature(good);
                if (kind == 3) request.token = fixture.token(member, unknown_key);
                if (kind == 4) request.token = fixture.token(member, key, -60 * s);
                if (kind == 5) request.token = good.substr(0, good.size() / 2);
                if (kind == 6) request.tenant = "conca";
                if (kind == 7) request.request_class = "annotate", request.key = "g2";
                if (kind == 8)
                    request.request_class = "annotate", request.key = "g1",
                    request.token = fixture.token(member, key, 60 * s, {"g1"}, false);
                if (kind == 9) request.token = fixture.token("taken-back", key);
                if (kind == 10) request.token = fixture.token(member, gone);
                if (kind == 11)
                    request.token = token_with_header(
                        {{"alg", "none"}, {"kid", key.name}, {"typ", "ivyrill+jwt"}}, good, "x");
                if (kind == 12)
                    request.token =
                        token_with_header({{"alg", "HS256"}, {"kid", key.name}, {"typ", "ivyrill+jwt"}}, good,
                                          std::string(32, 'x'));
            } else if (random() % 4 == 0) {
                request.request_class = "annotate", request.key = "g1";
            }
            int status = 0;
            try {
                if (!client) {
                    if (number % 2 == 0)
                        client.emplace(fixture.plain_address());
                    else
                        client.emplace(fixture.tls_address(), ClientTlsOptions{});
                }
                client->send_bytes(search_bytes(request));
                status = client->answer().status;
            } catch (const std::exception&) {
                ++counts.errors;
                client.reset();
                continue;
            }
            ++counts.searches, ++counts.bad_kinds[kind];
            const bool admitted = status == 200;
            if (should_admit && !admitted) ++counts.wrongful_refusals;
            if (!should_admit &&
                (admitted || fixture.fleet.attempts(request.id + "." + std::to_string(request.shard)) > 0))
                ++counts.wrongful_admissions;
        }
        if (random() % 4 == 0) client.reset(); // also exercises new connections and handshakes
    }
}

struct Revocations {
    std::uint64_t open_connections = 0;
    double longest_ms = 0;
};

// Revokes the certificate of an open connection and measures the time until the connection is closed.
void revoke_one(FrontNodeFixture& fixture, int number, Revocations& counted) {
    const IssuedCertificate issued = fixture.issue("c" + std::to_string(number));
    Client client(fixture.client_certificate_address(),
                  ClientTlsOptions{issued.certificate, issued.key, false, {}});
    client.send_bytes(search_bytes({"cert-" + std::to_string(number)}));
    if (client.answer().status != 200) throw std::runtime_error("a valid certificate was rejected");
    const auto started = Clock::now();
    fixture.revoke_serials({issued.serial});
    if (!client.closed_by_peer()) throw std::runtime_error("a revoked connection sent data");
    ++counted.open_connections;
    counted.longest_ms = std::max(counted.longest_ms, micros(Clock::now() - started) / 1000);
}

// Times of one decision, uncached and cached.
std::pair<std::vector<double>, std::vector<double>> time_verification() {
    const Ticks now = transport::Loop::wall();
    access::AccessOptions terms;
    terms.issuer = "trinacria", terms.audience = "archive", terms.max_token_bytes = 4096,
    terms.max_cached_tokens = 8192;
    terms.skew = kTicksPerSecond, terms.clubs = {{"circolo-etna", "etna"}},
    terms.request_classes = {{"find", access::Right::kRead}};
    access::AccessFiles files;
    std::vector<access::Key> keys;
    for (const auto& [name, algorithm] :
         {std::pair{"a", Algorithm::kEdDsa}, std::pair{"b", Algorithm::kEs256},
          std::pair{"c", Algorithm::kHs256}}) {
        keys.push_back(
            {name, access::SigningKey::generate(algorithm), {0, 10'000, access::kNever, access::kNever}});
        files.keys.push_back({name, access::write_key(keys.back(), false)});
    }
    access::Authorizer authorizer(access::read_policy(terms, files, nullptr, now));
    std::vector<std::string> tokens;
    for (int i = 0; i < 3000; ++i) {
        access::Claims claims;
        claims.issuer = "trinacria", claims.audience = {"archive"}, claims.issued = now;
        claims.expires = now + 600 * kTicksPerSecond;
        claims.caller = {"circolo-etna", "m" + std::to_string(i), {true, true}, {"g1"}};
        tokens.push_back(access::sign_token(claims, keys[static_cast<std::size_t>(i) % keys.size()]));
    }
    std::pair<std::vector<double>, std::vector<double>> times;
    for (auto* into : {&times.first, &times.second})
        for (const std::string& token : tokens) {
            const auto started = Clock::now();
            const auto decision = authorizer.admit({token, false, nullptr}, {"find", "", ""}, now);
            into->push_back(micros(Clock::now() - started));
            if (decision.reason != access::Reason::kAdmitted)
                throw std::runtime_error("a valid token was rejected");
        }
    // A set-associative cache evicts some entries before it is full.
    if (authorizer.counts().from_cache * 100 < tokens.size() * 95)
        throw std::runtime_error("too few tokens were admitted from the cache");
    return times;
}

double time_script() {
    const std::string text = R"(
def club(name, share):
    return {"name": name, "share": share, "keys": ["%s-%d" % (name, i) for i in range(20)]}
clubs = [club("club%d" % i, i * 2) for i in range(50)]
by_name = {c["name"]: c for c in clubs if c["share"] > 10}
)";
    std::vector<double> times;
    for (int i = 0; i < 50; ++i) {
        const auto started = Clock::now();
        script::run_script("a.star", [&](const std::string&) { return text; });
        times.push_back(micros(Clock::now() - started));
    }
    return quantile(times, 0.5);
}

double time_handshakes(const FrontNodeFixture& fixture, double seconds) {
    std::atomic<std::uint64_t> made = 0;
    const auto end = Clock::now() + std::chrono::duration<double>(seconds);
    std::vector<std::thread> threads;
    for (int i = 0; i < 3; ++i)
        threads.emplace_back([&] {
            while (Clock::now() < end) {
                Client client(fixture.tls_address(), ClientTlsOptions{});
                client.send_bytes("GET /-/ready HTTP/1.1\r\n\r\n");
                made += client.answer().status == 200 ? 1 : 0;
            }
        });
    for (std::thread& thread : threads) thread.join();
    return static_cast<double>(made) / seconds;
}

// CPU time of the front node per search on its plain port with four clients. They share one token, as real
// clients reuse theirs.
double cpu_of_searches(const FrontNodeFixture& fixture, bool with_token, const std::string& name,
                       int searches) {
    const std::string token = with_token ? fixture.token("anna", fixture.key()) : std::string();
    const std::uint64_t before = fixture.cpu_us();
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i)
        threads.emplace_back([&, i] {
            Client client(fixture.plain_address());
            for (int n = 0; n < searches / 4; ++n) {
                client.send_bytes(search_bytes(
                    {name + std::to_string(i) + "-" + std::to_string(n), "find", "", token, "", n % 2}));
                if (client.answer().status != 200) std::abort();
            }
        });
    for (std::thread& thread : threads) thread.join();
    return static_cast<double>(fixture.cpu_us() - before) / searches;
}

int measure() {
    const auto [fresh, cached] = time_verification();
    const double script_us = time_script();
    double plain_us = 0, access_controlled_us = 0;
    {
        FrontNodeFixture open({2, Idempotency::kIdempotent, false, {}, 512}),
            access_controlled({2, Idempotency::kIdempotent, true, {}, 512});
        for (int round = 0; round < 4; ++round) { // alternates, so that varying machine load affects both
            plain_us += cpu_of_searches(open, false, "p" + std::to_string(round), 3000) / 4;
            access_controlled_us +=
                cpu_of_searches(access_controlled, true, "g" + std::to_string(round), 3000) / 4;
        }
    }
    // The handshake limit is raised so that it does not bound the measured rate.
    FrontNodeFixture fixture(
        {2, Idempotency::kNonIdempotent, true,
         "tls = {\"handshake_steps_a_second\": 100000, \"handshake_steps_a_turn\": 16}\n", 512});
    const double handshakes = time_handshakes(fixture, 2);
    fixture.revoke_member("taken-back", transport::Loop::wall() + 3600 * kTicksPerSecond);
    const Ticks now = transport::Loop::wall() / kTicksPerSecond * kTicksPerSecond;
    access::Key gone{"long-gone",
                     access::SigningKey::generate(Algorithm::kEdDsa),
                     {0, 10'000, now - 10'000, now - 10'000}};
    access::Key unknown_key{"stranger",
                            access::SigningKey::generate(Algorithm::kEdDsa),
                            {0, 10'000, access::kNever, access::kNever}};
    fixture.write_key(gone);
    if (!fixture.await_audit("swapped", 2)) throw std::runtime_error("the revocation was not loaded");

    Signers signers{{}, fixture.key(), fixture.key(), false};
    Counts counts;
    Revocations revocations;
    std::atomic<bool> stop = false;
    std::vector<std::jthread> searchers;
    struct Stopped { // also on an exception, before the threads are joined
        std::atomic<bool>& stop;
        ~Stopped() { stop = true; }
    } const stopped{stop};
    for (int i = 0; i < kSearchers; ++i)
        searchers.emplace_back([&, i] { search_on(fixture, signers, counts, unknown_key, gone, i, stop); });
    int rotations = 0, refused_reloads = 0;
    const auto started = Clock::now();
    std::uint64_t gone_asked = 0;
    const auto late = [&] { return Clock::now() > started + std::chrono::seconds(30); };
    while ((rotations < kRotations || counts.searches < kMinSearches) && !late()) {
        constexpr Algorithm kInTurn[] = {Algorithm::kEdDsa, Algorithm::kEs256, Algorithm::kHs256};
        const access::Key before = fixture.key();
        const std::size_t swaps = fixture.count_audit_lines("swapped");
        ++rotations;
        fixture.rotate("r" + std::to_string(rotations), kInTurn[rotations % 3], kOverlapS * kTicksPerSecond);
        if (!fixture.await_audit("swapped", swaps + 1))
            throw std::runtime_error("a key rotation was not loaded");
        {
            const std::lock_guard lock(signers.mutex);
            signers.before = before, signers.current = fixture.key(), signers.has_before = true;
        }
        revoke_one(fixture, rotations, revocations);
        fixture.renew_server();
        if (rotations % 5 == 0) { // also a reload that must be rejected
            const std::size_t kept = fixture.count_audit_lines("kept");
            fixture.write("keys/broken.jwk", "{");
            if (!fixture.await_audit("kept", kept + 1))
                throw std::runtime_error("a broken key was not rejected");
            std::remove((fixture.folder() + "/keys/broken.jwk").c_str());
            ++refused_reloads;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(300)); // load between changes
        {
            const std::lock_guard lock(signers.mutex); // clients switch to the new key within the overlap
            signers.has_before = false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        // Tokens signed with an expired key must be rejected.
        for (const access::Key& key : fixture.keys()) {
            if (key.times.gone == access::kNever || transport::Loop::wall() < key.times.gone + 10) continue;
            ++gone_asked;
            Client client(fixture.plain_address());
            client.send_bytes(search_bytes(
                {"gone-" + key.name + std::to_string(rotations), "find", "", fixture.token("anna", key)}));
            if (client.answer().status != 401) ++counts.wrongful_admissions;
        }
    }
    stop = true;
    for (std::jthread& thread : searchers) thread.join();
    const double seconds = micros(Clock::now() - started) / 1e6;
    nlohmann::ordered_json kinds;
    for (int i = 0; i < 13; ++i) kinds.push_back(counts.bad_kinds[i].load());
    const std::size_t max_attempts = fixture.fleet.max_attempts();
    nlohmann::ordered_json line = {
        {"searches", counts.searches.load()},
        {"rotations", rotations},
        {"wrongful_refusals", counts.wrongful_refusals.load()},
        {"wrongful_admissions", counts.wrongful_admissions.load()},
        {"revoked_open_connections", revocations.open_connections},
        {"longest_revocation_ms", revocations.longest_ms},
        {"verify_us_p50", quantile(fresh, 0.5)},
        {"verify_us_p99", quantile(fresh, 0.99)},
        {"cached_verify_us_p50", quantile(cached, 0.5)},
        {"script_eval_us", script_us},
        {"handshakes_per_s", handshakes},
        {"plain_search_cpu_us", plain_us},
        {"guarded_search_cpu_us", access_controlled_us},
        {"access_cpu_share",
         access_controlled_us > 0 ? (access_controlled_us - plain_us) / access_controlled_us : 0},
        {"by_kind", kinds},
        {"asked_with_gone_keys", gone_asked},
        {"refused_reloads", refused_reloads},
        {"broken_connections", counts.errors.load()},
        {"most_launches_a_part", max_attempts},
        {"seconds", seconds},
    };
    std::cout << line.dump() << std::endl;
    const bool passed = counts.searches >= 20'000 && rotations >= 20 && counts.wrongful_refusals == 0 &&
                        counts.wrongful_admissions == 0 && counts.errors == 0 &&
                        revocations.open_connections >= 20 && revocations.longest_ms <= kMaxRevocationMs &&
                        gone_asked > 0 && fixture.running() && max_attempts == 1;
    return passed ? 0 : 1;
}

} // namespace

} // namespace ivyrill::lab

int main() {
    try {
        return ivyrill::lab::measure();
    } catch (const std::exception& error) {
        std::cerr << "measure: " << error.what() << "\n";
        return 1;
    }
}
