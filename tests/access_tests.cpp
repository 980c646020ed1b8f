// Tests of the gate: credentials, keys and lists in, decisions out; no socket and no clock.
#include "access/authorizer.hpp"
#include "access/encoding.hpp"
#include "access/handshake_limiter.hpp"
#include "access/ticket_keys.hpp"
#include "access/trusted_clock.hpp"
#include "fake_host.hpp"
#include "lab/pki.hpp"

namespace ivyrill::access {

namespace {

using nlohmann::json;

constexpr Tenths s(std::int64_t count) { return count * kTenthsPerSecond; }
constexpr Tenths kNow = s(1'800'000'000);

AccessOptions plain_access() {
    AccessOptions terms;
    terms.issuer = "trinacria", terms.audience = "archive";
    terms.skew = s(5), terms.settle = s(10), terms.crl_grace = s(60);
    terms.max_token_bytes = 4096, terms.max_cached_tokens = 64;
    terms.clubs = {{"etna", "t-etna"}, {"conca", "t-conca"}};
    terms.request_classes = {{"find", Right::kRead}, {"annotate", Right::kWriteOwn}};
    terms.names = {{"spiffe://trinacria.example/etna/*", "", "etna", "{rest}", {true, true}, {"g7"}},
                   {"", "site.conca.example.org", "conca", "site", {true, false}, {}}};
    return terms;
}

Key make_key(const std::string& name, Algorithm algorithm = Algorithm::kEdDsa,
             KeyTimes times = {0, s(1), kNever, kNever}) {
    return {name, SigningKey::generate(algorithm), times};
}

NamedText file_of(const Key& key) { return {key.name + ".jwk", write_key(key, false)}; }

Claims claims_for(const std::string& member = "anna", Tenths now = kNow) {
    Claims claims;
    claims.issuer = "trinacria", claims.audience = {"archive"}, claims.id = "t1";
    claims.issued = now, claims.expires = now + s(600);
    claims.caller = {"etna", member, {true, true}, {"g1", "a*"}};
    return claims;
}

// A gate with one key of each algorithm.
struct Post {
    explicit Post(std::vector<Key> own = {make_key("ed"), make_key("ec", Algorithm::kEs256),
                                          make_key("hs", Algorithm::kHs256)})
        : keys(std::move(own)), gate(policy()) {}
    std::shared_ptr<const Policy> policy(const Policy* before = nullptr, Tenths now = kNow) const {
        AccessFiles files;
        for (const Key& key : keys) files.keys.push_back(file_of(key));
        if (!revoked.tokens.empty() || !revoked.members.empty() || !revoked.certificates.empty())
            files.revocations = NamedText{"revocations.json", revoked.write()};
        files.authorities = authorities, files.crls = crls;
        return read_policy(plain_access(), files, before, now);
    }
    std::string reload(Tenths now = kNow) { // empty: it was taken up
        try {
            gate.replace_policy(policy(&gate.policy(), now));
        } catch (const AccessError& error) { return error.what(); }
        return {};
    }
    Decision ask(const std::string& token, const AccessRequest& asked = {"find", "", ""}, Tenths now = kNow) {
        return gate.admit({token, false, nullptr}, asked, now);
    }
    Reason reason(const std::string& token, const AccessRequest& asked = {"find", "", ""},
                  Tenths now = kNow) {
        return ask(token, asked, now).reason;
    }
    Reason reason(const Claims& claims, const AccessRequest& asked = {"find", "", ""}, Tenths now = kNow) {
        return reason(sign_token(claims, keys[0]), asked, now);
    }
    Reason shown(const Chain& chain, const AccessRequest& asked = {"find", "", ""}, Tenths now = kNow) {
        return gate.admit({"", false, std::make_shared<const Chain>(chain)}, asked, now).reason;
    }
    std::vector<Key> keys;
    Revocations revoked;
    std::vector<NamedText> authorities, crls;
    Authorizer gate;
};

std::string forge(const json& header, const json& payload, const std::string& signature) {
    return base64url(header.dump()) + "." + base64url(payload.dump()) + "." + base64url(signature);
}

json payload_of(const std::string& token) {
    return json::parse(
        *read_base64url(token.substr(token.find('.') + 1, token.rfind('.') - token.find('.') - 1)));
}

void all_three_algorithms_prove_their_bearer() {
    Post post;
    for (const Key& key : post.keys) {
        const std::string token = sign_token(claims_for(), key);
        const Decision made = post.ask(token);
        assert(made.reason == Reason::kAdmitted && made.tenant == "t-etna" && made.caller.member == "anna");
        std::string spoilt = token;
        spoilt[token.rfind('.') + 3] = spoilt[token.rfind('.') + 3] == 'A' ? 'B' : 'A';
        assert(post.reason(spoilt) == Reason::kBadSignature);
        // Another's claims behind this signature.
        const std::string other = sign_token(claims_for("bruno"), key);
        assert(post.reason(other.substr(0, other.rfind('.')) + token.substr(token.rfind('.'))) ==
               Reason::kBadSignature);
    }
}

// RFC 8725: a public key taken for a shared secret, an algorithm of the token's choice, none at all.
void algorithm_is_the_keys_and_not_the_tokens() {
    Post post;
    const json claims = payload_of(sign_token(claims_for(), post.keys[0]));
    const std::string key_text = post.keys[0].signing.to_jwk(false)["x"];
    const auto as_secret = SigningKey::from_jwk({{"kty", "oct"}, {"alg", "HS256"}, {"k", key_text}});
    const json header = {{"alg", "HS256"}, {"kid", "ed"}, {"typ", kTokenType}};
    const std::string body = base64url(header.dump()) + "." + base64url(claims.dump());
    assert(post.reason(body + "." + base64url(as_secret.sign(body))) == Reason::kBadSignature);
    assert(post.reason(forge({{"alg", "none"}, {"kid", "ed"}, {"typ", kTokenType}}, claims, "x")) ==
           Reason::kMalformed);
    assert(post.reason(body + ".") == Reason::kMalformed);
    assert(post.reason(forge({{"alg", "ES256"}, {"kid", "ed"}, {"typ", kTokenType}}, claims,
                             std::string(64, 1))) == Reason::kBadSignature);
    // The key's own signature under another algorithm's name.
    const json renamed = {{"alg", "ES256"}, {"kid", "ed"}, {"typ", kTokenType}};
    const std::string text = base64url(renamed.dump()) + "." + base64url(claims.dump());
    assert(post.reason(text + "." + base64url(post.keys[0].signing.sign(text))) == Reason::kBadSignature);
    // The key is not taken from the token, whatever it offers.
    const json offered = {{"alg", "EdDSA"}, {"typ", kTokenType}, {"jwk", post.keys[0].signing.to_jwk(false)}};
    assert(post.reason(forge(offered, claims, std::string(64, 1))) == Reason::kMalformed);
}

void what_can_be_read_two_ways_is_malformed() {
    Post post;
    const std::string good = sign_token(claims_for(), post.keys[0]);
    const json claims = payload_of(good);
    const json header = {{"alg", "EdDSA"}, {"kid", "ed"}, {"typ", kTokenType}};
    const auto with = [&](const char* name, const json& value) {
        json changed = claims;
        changed[name] = value;
        return post.reason(forge(header, changed, std::string(64, 1)));
    };
    json critical = header;
    critical["crit"] = json::array({"exp"});
    assert(post.reason(forge(critical, claims, std::string(64, 1))) == Reason::kMalformed);
    json other_sort = header;
    other_sort["typ"] = "JWT";
    assert(post.reason(forge(other_sort, claims, std::string(64, 1))) == Reason::kMalformed);
    const std::string twice = R"({"sub":"anna","sub":"bruno","club":"etna","exp":1900000000})";
    assert(post.reason(base64url(header.dump()) + "." + base64url(twice) + "." + base64url("x")) ==
           Reason::kMalformed);
    for (const json& time : {json(-1), json(1e300), json(1e18), json(18446744073709551615ULL),
                             json("1800000600"), json(1800000600.5), json(nullptr)})
        assert(with("exp", time) == Reason::kMalformed && with("nbf", time) == Reason::kMalformed);
    assert(with("own", json::array({1})) == Reason::kMalformed && with("sub", "../x") == Reason::kMalformed);
    assert(post.reason(good + "=") == Reason::kMalformed && post.reason(good + ".x") == Reason::kMalformed);
    assert(post.reason(std::string(60'000, 'a')) == Reason::kMalformed &&
           post.reason("..") == Reason::kMalformed);
    assert(post.reason(good.substr(0, 40)) == Reason::kMalformed &&
           post.reason(" " + good) == Reason::kMalformed);
    // Stray bits: the last letter of a text says more than its bytes hold.
    assert(read_base64url("QQ") == "A" && !read_base64url("QR") && !read_base64url("Q") &&
           !read_base64url("QQ=="));
    assert(post.gate.admit({"", true, nullptr}, {"find", "", ""}, kNow).reason == Reason::kMalformed);
    assert(post.reason("") == Reason::kNoCredential);
    // None of it was worth a signature's work.
    assert(post.gate.counts().verified == 0);
}

void token_counts_in_its_time_and_for_its_audience() {
    Post post;
    Claims claims = claims_for();
    assert(post.reason(claims, {"find", "", ""}, claims.expires + s(5) - 1) == Reason::kAdmitted);
    assert(post.reason(claims, {"find", "", ""}, claims.expires + s(5)) == Reason::kExpired);
    claims.not_before = kNow + s(6);
    assert(post.reason(claims) == Reason::kNotYet &&
           post.reason(claims, {"find", "", ""}, kNow + s(1)) == Reason::kAdmitted);
    claims = claims_for(), claims.audience = {"other", "shop"};
    assert(post.reason(claims) == Reason::kWrongAudience);
    claims.audience = {"other", "archive"};
    assert(post.reason(claims) == Reason::kAdmitted);
    claims.issuer = "someone";
    assert(post.reason(claims) == Reason::kWrongAudience);
}

// Revocations of members are kept as long as a token can live, and no longer.
void token_lives_no_longer_than_revocations_are_kept() {
    AccessOptions terms = plain_access();
    terms.max_token_lifetime = s(3600);
    const Key key = make_key("k");
    AccessFiles files;
    files.keys = {file_of(key)};
    Revocations kept;
    kept.members = {{"etna/old", kNow - s(4000)}, {"etna/anna", kNow - s(3000)}};
    files.revocations = NamedText{"r", kept.write()};
    Authorizer gate(read_policy(terms, files, nullptr, kNow));
    assert(gate.policy().revoked.members.size() == 1);
    Claims claims = claims_for("bruno");
    const auto reason = [&] {
        return gate.admit({sign_token(claims, key), false, nullptr}, {"find", "", ""}, kNow).reason;
    };
    claims.expires = claims.issued + s(3600);
    assert(reason() == Reason::kAdmitted);
    claims.expires += s(1);
    assert(reason() == Reason::kMalformed);
    claims.issued = 0;
    assert(reason() == Reason::kMalformed);
}

void rights_clubs_and_owners() {
    Post post;
    const Claims anna = claims_for();
    assert(post.reason(anna, {"annotate", "", "g1"}) == Reason::kAdmitted);
    assert(post.reason(anna, {"annotate", "t-etna", "a77"}) == Reason::kAdmitted);
    assert(post.reason(anna, {"annotate", "", "g2"}) == Reason::kNotOwner);
    assert(post.reason(anna, {"annotate", "", "g11"}) == Reason::kNotOwner);
    assert(post.reason(anna, {"annotate", "", ""}) == Reason::kNotOwner);
    assert(post.reason(anna, {"find", "t-conca", ""}) == Reason::kWrongClub);
    assert(post.reason(anna, {"unlisted", "", ""}) == Reason::kNoRight);
    Claims reader = anna;
    reader.caller.rights = {true, false};
    assert(post.reason(reader, {"annotate", "", "g1"}) == Reason::kNoRight);
    reader.caller.club = "unknown";
    assert(post.reason(reader) == Reason::kWrongClub);
    // A stranger cannot tell one refusal from another.
    for (const Reason reason :
         {Reason::kUnknownKey, Reason::kBadSignature, Reason::kExpired, Reason::kRevoked})
        assert(refusal_of(reason).status == 401 &&
               refusal_of(reason).message == refusal_of(Reason::kMalformed).message &&
               refusal_of(reason).challenge == refusal_of(Reason::kMalformed).challenge);
    for (const Reason reason : {Reason::kWrongClub, Reason::kNotOwner})
        assert(refusal_of(reason).status == 403 &&
               refusal_of(reason).message == refusal_of(Reason::kNoRight).message);
}

// Announced, active, outgoing, gone, to the moment.
void key_verifies_from_active_until_gone() {
    Post post({make_key("old", Algorithm::kEdDsa, {0, s(1), kNow, kNow + s(60)}),
               make_key("new", Algorithm::kEdDsa, {kNow - s(100), kNow, kNever, kNever}),
               make_key("next", Algorithm::kEdDsa, {kNow - s(100), kNow + s(30), kNever, kNever})});
    const auto with = [&](std::size_t key, Tenths now) {
        return post.reason(sign_token(claims_for("anna", kNow), post.keys[key]), {"find", "", ""}, now);
    };
    assert(post.keys[0].times.at(kNow) == KeyState::kOutgoing &&
           post.gate.policy().ring.signer(kNow)->name == "new");
    assert(with(0, kNow + s(60) - 1) == Reason::kAdmitted && with(1, kNow) == Reason::kAdmitted);
    assert(with(0, kNow + s(60)) == Reason::kUnknownKey); // the proof is cached; the key is gone all the same
    assert(with(2, kNow) == Reason::kUnknownKey);
    assert(with(2, kNow + s(25)) == Reason::kAdmitted); // its signer's clock may be ahead by the skew
    assert(post.gate.next_change(kNow) == kNow + s(25) &&
           post.gate.next_change(kNow + s(30)) == kNow + s(60));
}

void rotation_leaves_no_moment_without_a_key() {
    const Key first = make_key("k1", Algorithm::kEs256);
    const KeyRing before = KeyRing::read({file_of(first)}, nullptr);
    const Rotation turn = rotate(before, "k2", {}, kNow + 1, s(30), s(60));
    assert(turn.new_key.signing.algorithm() == Algorithm::kEs256 && turn.changed_keys.size() == 1);
    Key read_back = read_key({"k2.jwk", write_key(turn.new_key, true)});
    assert(read_back.times == turn.new_key.times &&
           read_back.signing.fingerprint() == turn.new_key.signing.fingerprint());
    const KeyRing after = KeyRing::read({file_of(turn.new_key), file_of(turn.changed_keys[0])}, &before);
    for (Tenths now = kNow; now < kNow + s(200); now += s(1)) {
        const Key* signer = after.signer(now);
        assert(signer != nullptr && signer->verifies(now, 0));
        if (now < kNow + s(31)) assert(signer->name == "k1");
    }
    assert(after.find("k1")->times.at(kNow + s(91)) == KeyState::kGone);
}

// A reload that is not sound changes nothing and says why.
void broken_reload_keeps_what_was() {
    Post post;
    const auto good = post.keys;
    const auto refuses = [&](const std::string& words) {
        const std::uint64_t generation = post.gate.policy().generation;
        const std::string why = post.reload();
        const bool kept = post.gate.policy().generation == generation &&
                          post.reason(sign_token(claims_for(), good[0])) == Reason::kAdmitted;
        post.keys = good, post.authorities.clear(), post.crls.clear();
        if (why.find(words) == std::string::npos) std::cerr << "heard '" << why << "'\n";
        return kept && why.find(words) != std::string::npos;
    };
    post.keys[1].name = "ed";
    assert(refuses("the key 'ed' stands in"));
    post.keys[0] = make_key("ed", Algorithm::kEs256);
    assert(refuses("a new key needs a new name"));
    post.keys[0] = make_key("ed"); // the same algorithm, another key
    assert(refuses("a new key needs a new name"));
    post.keys.clear();
    assert(refuses("nobody could be let in"));
    post.keys[2].times = {s(5), s(4), kNever, kNever};
    assert(refuses("in this order"));
    post.authorities = {{"ca.pem", "no certificate"}};
    assert(refuses("ca.pem: expected certificates in PEM"));
    post.revoked.members["etna/bruno"] = kNow;
    assert(post.reload().empty());
    post.revoked = {};
    assert(refuses("the revocations that are in force are missing"));
    for (const char* text :
         {"", "{", "[]", R"({"kid":"x"})", R"({"kid":"x","kid":"y"})", R"({"kid":"../x","alg":"EdDSA"})",
          R"({"kid":"x","alg":"HS256","kty":"oct","k":"c2hvcnQ","active":1})",
          R"({"kid":"x","alg":"EdDSA","kty":"oct","k":"AAAA","active":1})"}) {
        bool refused = false;
        try {
            read_key({"x.jwk", text});
        } catch (const AccessError& error) { refused = std::string(error.what()).starts_with("x.jwk: "); }
        assert(refused);
    }
}

void revocation_outlives_the_cache() {
    Post post;
    const std::string anna = sign_token(claims_for(), post.keys[0]);
    Claims other = claims_for();
    other.id = "t2";
    const std::string second = sign_token(other, post.keys[0]);
    const Decision held = post.ask(anna);
    assert(post.reason(second) == Reason::kAdmitted && post.reason(anna) == Reason::kAdmitted);
    assert(post.gate.counts().from_cache == 1);
    post.revoked.tokens["t1"] = kNow + s(600);
    assert(post.reload().empty());
    assert(post.reason(anna) == Reason::kRevoked && post.gate.recheck(held.proof, kNow) == Reason::kRevoked);
    assert(post.reason(second) == Reason::kAdmitted);
    // She moves to another club: what was signed before counts no more, what is signed after does.
    post.revoked.members["etna/anna"] = kNow + s(10);
    assert(post.reload().empty() && post.reason(second) == Reason::kRevoked);
    Claims moved = claims_for("anna", kNow + s(10));
    moved.caller.club = "conca", moved.id = "t3";
    assert(post.ask(sign_token(moved, post.keys[0]), {"find", "", ""}, kNow + s(10)).tenant == "t-conca");
    // A key that is taken back ends what it signed, cached or not.
    post.keys[0].times.gone = kNow, post.keys[0].times.outgoing = kNow;
    assert(post.reload().empty() && post.reason(second) == Reason::kUnknownKey);
    assert(post.gate.recheck(held.proof, kNow) == Reason::kUnknownKey);
}

void proof_of_a_search_in_flight_outlives_its_tokens_time() {
    Post post;
    const Decision held = post.ask(sign_token(claims_for(), post.keys[0]));
    assert(post.gate.recheck(held.proof, kNow + s(100'000)) == Reason::kAdmitted); // taken in time
}

void cache_is_bounded_and_forgets_the_unused() {
    const TokenCache::VerifiedToken proof{std::make_shared<const Claims>(claims_for()), "key"};
    TokenCache cache(16);
    for (int i = 0; i < 1000; ++i) cache.put("token" + std::to_string(i), proof);
    assert(cache.size() <= cache.capacity() && cache.capacity() == 16);
    TokenCache one(8); // one set: who is used stays while others come and go
    one.put("kept", proof);
    for (int i = 0; i < 100; ++i) {
        assert(one.find("kept").key_fingerprint == "key" && !one.find("kept ").claims);
        one.put("token" + std::to_string(i), proof);
    }
    one.erase_if([](const Claims&) { return true; });
    assert(one.size() == 0 && !one.find("kept").claims);
    TokenCache none(0);
    none.put("kept", proof);
    assert(!none.find("kept").claims);
}

// ---- certificates

struct Office { // a root, and what it issues
    lab::CertificateAuthority root{"root", kNow - s(1000), kNow + s(100'000)};
    lab::IssuedCertificate anna = issue({"spiffe://trinacria.example/etna/anna"});
    lab::IssuedCertificate issue(std::vector<std::string> uris, std::vector<std::string> dns = {}) const {
        return root.issue({"x", std::move(uris), std::move(dns), kNow - s(10), kNow + s(1000), false});
    }
    NamedText file() const { return {"ca.pem", root.certificate()}; }
};

void certificate_proves_whom_its_names_are_mapped_to() {
    Office office;
    Post post;
    assert(post.shown({{office.anna.der}}) == Reason::kUnknownKey); // no authority yet
    post.authorities = {office.file()};
    assert(post.reload().empty());
    const Decision made = post.gate.admit(
        {"", false, std::make_shared<const Chain>(Chain{{office.anna.der}})}, {"annotate", "", "g7"}, kNow);
    assert(made.reason == Reason::kAdmitted && made.caller.member == "anna" && made.tenant == "t-etna");
    assert(post.shown({{office.anna.der}}, {"find", "t-conca", ""}) == Reason::kWrongClub);
    assert(post.shown({{office.issue({}, {"SITE.conca.example.org"}).der}}, {"annotate", "", "x"}) ==
           Reason::kNoRight);
    assert(post.shown({{office.issue({}).der}}) == Reason::kMalformed); // without names
    assert(post.shown({{office.issue({"spiffe://other.example/x"}).der}}) == Reason::kNoRight);
    assert(post.shown({{office.issue({"spiffe://trinacria.example/etna/a/b"}).der}}) == Reason::kMalformed);
    assert(
        post.shown({{office.issue({"spiffe://trinacria.example/etna/a", "spiffe://trinacria.example/etna/b"})
                         .der}}) == Reason::kMalformed); // two callers
    assert(post.shown({{office.anna.der}}, {"find", "", ""}, kNow + s(1001)) == Reason::kExpired);
    assert(post.shown({{office.anna.der}}, {"find", "", ""}, kNow - s(11)) == Reason::kNotYet);
    assert(post.shown({{"no certificate"}}) == Reason::kMalformed &&
           post.shown({{}}) == Reason::kNoCredential);
    const Office stranger;
    assert(post.shown({{stranger.anna.der}}) == Reason::kUnknownKey);
    // A token that is not good is not made good by the certificate beside it.
    assert(post.gate
               .admit({"x", false, std::make_shared<const Chain>(Chain{{office.anna.der}})}, {"find", "", ""},
                      kNow)
               .reason == Reason::kMalformed);
}

void chain_is_bounded_and_a_leaf_is_no_authority() {
    Office office;
    Post post;
    post.authorities = {office.file()};
    assert(post.reload().empty());
    const lab::CertificateAuthority intermediate =
        office.root.issue_intermediate("below", kNow - s(10), kNow + s(1000));
    const lab::CertificateRequest wish{
        "x", {"spiffe://trinacria.example/etna/anna"}, {}, kNow - s(10), kNow + s(1000), false};
    assert(post.shown({{intermediate.issue(wish).der, intermediate.der()}}) == Reason::kAdmitted);
    assert(post.shown({{intermediate.issue(wish).der}}) == Reason::kUnknownKey);
    lab::CertificateAuthority last = office.root;
    Chain ten;
    for (int i = 0; i < 9; ++i) {
        last = last.issue_intermediate("n" + std::to_string(i), kNow - s(10), kNow + s(1000));
        ten.certificates.insert(ten.certificates.begin(), last.der());
    }
    ten.certificates.insert(ten.certificates.begin(), last.issue(wish).der);
    assert(post.shown(ten) == Reason::kMalformed);
    const std::string leaf = office.anna.der; // good by itself, and too much beside it
    assert(post.shown({{leaf, leaf, leaf, leaf}}) == Reason::kAdmitted);
    assert(post.shown({{leaf, leaf, leaf, leaf, leaf}}) == Reason::kMalformed);
}

void revoked_certificate_is_known_by_list_or_serial() {
    Office office;
    Post post;
    post.authorities = {office.file()};
    post.crls = {{"ca.crl", office.root.crl({}, kNow - s(100), kNow + s(500))}};
    assert(post.reload().empty());
    const auto chain = std::make_shared<const Chain>(Chain{{office.anna.der}});
    const Decision held = post.gate.admit({"", false, chain}, {"find", "", ""}, kNow);
    assert(held.reason == Reason::kAdmitted && post.gate.recheck(*chain, kNow) == Reason::kAdmitted);
    post.crls = {{"ca.crl", office.root.crl({office.anna.serial}, kNow - s(50), kNow + s(500))}};
    assert(post.reload().empty());
    assert(post.gate.admit({"", false, chain}, {"find", "", ""}, kNow).reason == Reason::kRevoked);
    assert(post.gate.recheck(held.proof, kNow) == Reason::kRevoked &&
           post.gate.recheck(*chain, kNow) == Reason::kRevoked);
    // The list before it would let her in again.
    post.crls = {{"ca.crl", office.root.crl({}, kNow - s(100), kNow + s(500))}};
    assert(post.reload().find("older than the list in force") != std::string::npos);
    post.crls.clear();
    assert(post.reload().find("missing") != std::string::npos);
    post.crls = {{"ca.crl", office.root.crl({}, kNow - s(40), kNow + s(500))}};
    post.revoked.certificates[office.anna.serial] = kNow;
    assert(post.reload().empty() && post.gate.recheck(*chain, kNow) == Reason::kRevoked);
}

void list_out_of_date_lets_nobody_in_past_its_grace() {
    Office office;
    Post post;
    post.authorities = {office.file()};
    post.crls = {{"ca.crl", office.root.crl({}, kNow - s(100), kNow + s(100))}};
    assert(post.reload().empty());
    assert(post.shown({{office.anna.der}}, {"find", "", ""}, kNow + s(159)) == Reason::kAdmitted);
    assert(post.shown({{office.anna.der}}, {"find", "", ""}, kNow + s(160)) == Reason::kRevoked);
    assert(post.gate.next_change(kNow) == kNow + s(160)); // so that open connections hear of it
    assert(post.reload(kNow + s(160)).find("out of date") != std::string::npos);
    const Office other;
    post.crls = {{"ca.crl", other.root.crl({}, kNow, kNow + s(100))}};
    assert(post.reload().find("no authority here has signed it") != std::string::npos);
}

// ---- clock, handshakes, tickets

void clock_that_jumps_is_not_believed_at_once() {
    TrustedClock clock(s(5), s(10));
    Tenths steady = s(1000);
    assert(clock.observe(steady, kNow) == kNow);
    steady += s(1);
    assert(clock.observe(steady, kNow + s(1) + 300) == kNow + s(1) + 300); // set right by a little
    assert(clock.observe(steady, kNow + s(86'400)) == kNow + s(1) + 300);
    assert(clock.observe(steady + s(1), kNow + s(2)) == kNow + s(2)); // it was for a moment
    for (int i = 0; i < 10; ++i)
        assert(clock.observe(steady + s(2 + i), kNow + s(86'402 + i)) < kNow + s(100));
    assert(clock.observe(steady + s(12), kNow + s(86'412)) == kNow + s(86'412)); // it has stood
    // Back again: for the time that it must stand, nothing that has expired comes back.
    assert(clock.observe(steady + s(13), kNow + s(13)) == kNow + s(86'413) && clock.jumps() == 3);
}

void flood_of_handshakes_is_bounded_three_ways() {
    HandshakeLimiter<int> gate({4, 100, 2}, 0);
    for (int i = 0; i < 4; ++i) assert(!gate.begin(i)), gate.request_step(i);
    assert(gate.begin(4) == 0 && gate.open() == 4); // the oldest goes
    gate.request_step(4);
    assert(gate.grant(0) == (std::vector<int>{1, 2})); // no more in a turn
    assert(gate.grant(0).empty() && gate.next_step_time(0) == 101);
    assert(gate.grant(101) == (std::vector<int>{3})); // a hundred a second
    gate.end(4);
    assert(gate.grant(s(1)).empty() && !gate.next_step_time(s(1))); // who has gone gets none
}

void ticket_keys_change_and_old_ones_open_nothing() {
    TicketKeys keys(s(10));
    const auto key = [](unsigned char number) {
        TicketKeys::Key made;
        made.name.fill(number);
        return made;
    };
    assert(keys.wants_key(0) && keys.encryption_key() == nullptr);
    keys.add(key(1), 0);
    assert(!keys.wants_key(s(10) - 1) && keys.wants_key(s(10)));
    keys.add(key(2), s(10));
    assert(keys.decryption_key(key(1).name.data()).first == TicketKeys::Use::kDecryptAndRenew);
    assert(keys.decryption_key(key(2).name.data()).first == TicketKeys::Use::kDecrypt &&
           keys.encryption_key()->name == key(2).name);
    keys.add(key(3), s(20));
    assert(keys.decryption_key(key(1).name.data()).first == TicketKeys::Use::kNone);
}

const Test kTests[] = {
    TEST(all_three_algorithms_prove_their_bearer),
    TEST(algorithm_is_the_keys_and_not_the_tokens),
    TEST(what_can_be_read_two_ways_is_malformed),
    TEST(token_counts_in_its_time_and_for_its_audience),
    TEST(token_lives_no_longer_than_revocations_are_kept),
    TEST(rights_clubs_and_owners),
    TEST(key_verifies_from_active_until_gone),
    TEST(rotation_leaves_no_moment_without_a_key),
    TEST(broken_reload_keeps_what_was),
    TEST(revocation_outlives_the_cache),
    TEST(proof_of_a_search_in_flight_outlives_its_tokens_time),
    TEST(cache_is_bounded_and_forgets_the_unused),
    TEST(certificate_proves_whom_its_names_are_mapped_to),
    TEST(chain_is_bounded_and_a_leaf_is_no_authority),
    TEST(revoked_certificate_is_known_by_list_or_serial),
    TEST(list_out_of_date_lets_nobody_in_past_its_grace),
    TEST(clock_that_jumps_is_not_believed_at_once),
    TEST(flood_of_handshakes_is_bounded_three_ways),
    TEST(ticket_keys_change_and_old_ones_open_nothing),
};

} // namespace

} // namespace ivyrill::access

int main(int count, char** arguments) { return ivyrill::run_test(ivyrill::access::kTests, count, arguments); }
