// Tests of access control: credentials, keys and revocation lists in, decisions out; no sockets and no real
// clock.
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

constexpr Ticks s(std::int64_t count) { return count * kTicksPerSecond; }
constexpr Ticks kNow = s(1'800'000'000);

AccessOptions default_access() {
    AccessOptions options;
    options.issuer = "trinacria", options.audience = "archive";
    options.skew = s(5), options.settle = s(10), options.crl_grace = s(60);
    options.max_token_bytes = 4096, options.max_cached_tokens = 64;
    options.clubs = {{"etna", "t-etna"}, {"conca", "t-conca"}};
    options.request_classes = {{"find", Right::kRead}, {"annotate", Right::kWriteOwn}};
    options.names = {{"spiffe://trinacria.example/etna/*", "", "etna", "{rest}", {true, true}, {"g7"}},
                     {"", "site.conca.example.org", "conca", "site", {true, false}, {}}};
    return options;
}

Key make_key(const std::string& name, Algorithm algorithm = Algorithm::kEdDsa,
             KeyTimes times = {0, s(1), kNever, kNever}) {
    return {name, SigningKey::generate(algorithm), times};
}

NamedText file_of(const Key& key) { return {key.name + ".jwk", write_key(key, false)}; }

Claims claims_for(const std::string& member = "anna", Ticks now = kNow) {
    Claims claims;
    claims.issuer = "trinacria", claims.audience = {"archive"}, claims.id = "t1";
    claims.issued = now, claims.expires = now + s(600);
    claims.caller = {"etna", member, {true, true}, {"g1", "a*"}};
    return claims;
}

// An Authorizer with one key of each algorithm.
struct Fixture {
    explicit Fixture(std::vector<Key> ring_keys = {make_key("ed"), make_key("ec", Algorithm::kEs256),
                                                   make_key("hs", Algorithm::kHs256)})
        : keys(std::move(ring_keys)), authorizer(policy()) {}
    std::shared_ptr<const Policy> policy(const Policy* before = nullptr, Ticks now = kNow) const {
        AccessFiles files;
        for (const Key& key : keys) files.keys.push_back(file_of(key));
        if (!revoked.tokens.empty() || !revoked.members.empty() || !revoked.certificates.empty())
            files.revocations = NamedText{"revocations.json", revoked.write()};
        files.authorities = authorities, files.crls = crls;
        return read_policy(default_access(), files, before, now);
    }
    std::string reload(Ticks now = kNow) { // returns the error; empty on success
        try {
            authorizer.replace_policy(policy(&authorizer.policy(), now));
        } catch (const AccessError& error) { return error.what(); }
        return {};
    }
    Decision admit(const std::string& token, const AccessRequest& request = {"find", "", ""},
                   Ticks now = kNow) {
        return authorizer.admit({token, false, nullptr}, request, now);
    }
    Reason reason(const std::string& token, const AccessRequest& request = {"find", "", ""},
                  Ticks now = kNow) {
        return admit(token, request, now).reason;
    }
    Reason reason(const Claims& claims, const AccessRequest& request = {"find", "", ""}, Ticks now = kNow) {
        return reason(sign_token(claims, keys[0]), request, now);
    }
    Reason certificate_reason(const Chain& chain, const AccessRequest& request = {"find", "", ""},
                              Ticks now = kNow) {
        return authorizer.admit({"", false, std::make_shared<const Chain>(chain)}, request, now).reason;
    }
    std::vector<Key> keys;
    Revocations revoked;
    std::vector<NamedText> authorities, crls;
    Authorizer authorizer;
};

std::string forge(const json& header, const json& payload, const std::string& signature) {
    return base64url(header.dump()) + "." + base64url(payload.dump()) + "." + base64url(signature);
}

json payload_of(const std::string& token) {
    return json::parse(
        *read_base64url(token.substr(token.find('.') + 1, token.rfind('.') - token.find('.') - 1)));
}

void all_three_algorithms_authenticate_the_caller() {
    Fixture fixture;
    for (const Key& key : fixture.keys) {
        const std::string token = sign_token(claims_for(), key);
        const Decision decision = fixture.admit(token);
        assert(decision.reason == Reason::kAdmitted && decision.tenant == "t-etna" &&
               decision.caller.member == "anna");
        std::string tampered = token;
        tampered[token.rfind('.') + 3] = tampered[token.rfind('.') + 3] == 'A' ? 'B' : 'A';
        assert(fixture.reason(tampered) == Reason::kBadSignature);
        // Claims of another member with this signature.
        const std::string other = sign_token(claims_for("bruno"), key);
        assert(fixture.reason(other.substr(0, other.rfind('.')) + token.substr(token.rfind('.'))) ==
               Reason::kBadSignature);
    }
}

// RFC 8725: a public key used as a shared secret, an algorithm chosen by the token, and no algorithm at all.
void algorithm_comes_from_the_key_and_not_the_token() {
    Fixture fixture;
    const json claims = payload_of(sign_token(claims_for(), fixture.keys[0]));
    const std::string key_text = fixture.keys[0].signing.to_jwk(false)["x"];
    const auto as_secret = SigningKey::from_jwk({{"kty", "oct"}, {"alg", "HS256"}, {"k", key_text}});
    const json header = {{"alg", "HS256"}, {"kid", "ed"}, {"typ", kTokenType}};
    const std::string body = base64url(header.dump()) + "." + base64url(claims.dump());
    assert(fixture.reason(body + "." + base64url(as_secret.sign(body))) == Reason::kBadSignature);
    assert(fixture.reason(forge({{"alg", "none"}, {"kid", "ed"}, {"typ", kTokenType}}, claims, "x")) ==
           Reason::kMalformed);
    assert(fixture.reason(body + ".") == Reason::kMalformed);
    assert(fixture.reason(forge({{"alg", "ES256"}, {"kid", "ed"}, {"typ", kTokenType}}, claims,
                                std::string(64, 1))) == Reason::kBadSignature);
    // A valid signature labelled with another algorithm.
    const json renamed = {{"alg", "ES256"}, {"kid", "ed"}, {"typ", kTokenType}};
    const std::string text = base64url(renamed.dump()) + "." + base64url(claims.dump());
    assert(fixture.reason(text + "." + base64url(fixture.keys[0].signing.sign(text))) ==
           Reason::kBadSignature);
    // A key embedded in the token is ignored.
    const json offered = {
        {"alg", "EdDSA"}, {"typ", kTokenType}, {"jwk", fixture.keys[0].signing.to_jwk(false)}};
    assert(fixture.reason(forge(offered, claims, std::string(64, 1))) == Reason::kMalformed);
}

void ambiguous_tokens_are_malformed() {
    Fixture fixture;
    const std::string good = sign_token(claims_for(), fixture.keys[0]);
    const json claims = payload_of(good);
    const json header = {{"alg", "EdDSA"}, {"kid", "ed"}, {"typ", kTokenType}};
    const auto with = [&](const char* name, const json& value) {
        json changed = claims;
        changed[name] = value;
        return fixture.reason(forge(header, changed, std::string(64, 1)));
    };
    json critical = header;
    critical["crit"] = json::array({"exp"});
    assert(fixture.reason(forge(critical, claims, std::string(64, 1))) == Reason::kMalformed);
    json other_type = header;
    other_type["typ"] = "JWT";
    assert(fixture.reason(forge(other_type, claims, std::string(64, 1))) == Reason::kMalformed);
    const std::string twice = R"({"sub":"anna","sub":"bruno","club":"etna","exp":1900000000})";
    assert(fixture.reason(base64url(header.dump()) + "." + base64url(twice) + "." + base64url("x")) ==
           Reason::kMalformed);
    for (const json& time : {json(-1), json(1e300), json(1e18), json(18446744073709551615ULL),
                             json("1800000600"), json(1800000600.5), json(nullptr)})
        assert(with("exp", time) == Reason::kMalformed && with("nbf", time) == Reason::kMalformed);
    assert(with("own", json::array({1})) == Reason::kMalformed && with("sub", "../x") == Reason::kMalformed);
    assert(fixture.reason(good + "=") == Reason::kMalformed &&
           fixture.reason(good + ".x") == Reason::kMalformed);
    assert(fixture.reason(std::string(60'000, 'a')) == Reason::kMalformed &&
           fixture.reason("..") == Reason::kMalformed);
    assert(fixture.reason(good.substr(0, 40)) == Reason::kMalformed &&
           fixture.reason(" " + good) == Reason::kMalformed);
    // The last character must not encode bits beyond the last byte.
    assert(read_base64url("QQ") == "A" && !read_base64url("QR") && !read_base64url("Q") &&
           !read_base64url("QQ=="));
    assert(fixture.authorizer.admit({"", true, nullptr}, {"find", "", ""}, kNow).reason ==
           Reason::kMalformed);
    assert(fixture.reason("") == Reason::kNoCredential);
    // Malformed tokens are rejected before any signature is verified.
    assert(fixture.authorizer.counts().verified == 0);
}

void token_is_valid_in_its_time_and_for_its_audience() {
    Fixture fixture;
    Claims claims = claims_for();
    assert(fixture.reason(claims, {"find", "", ""}, claims.expires + s(5) - 1) == Reason::kAdmitted);
    assert(fixture.reason(claims, {"find", "", ""}, claims.expires + s(5)) == Reason::kExpired);
    claims.not_before = kNow + s(6);
    assert(fixture.reason(claims) == Reason::kNotYet &&
           fixture.reason(claims, {"find", "", ""}, kNow + s(1)) == Reason::kAdmitted);
    claims = claims_for(), claims.audience = {"other", "shop"};
    assert(fixture.reason(claims) == Reason::kWrongAudience);
    claims.audience = {"other", "archive"};
    assert(fixture.reason(claims) == Reason::kAdmitted);
    claims.issuer = "someone";
    assert(fixture.reason(claims) == Reason::kWrongAudience);
}

// Member revocations are kept for the maximum lifetime of a token, so longer-lived tokens are rejected.
void token_lifetime_is_bounded_by_revocation_retention() {
    AccessOptions options = default_access();
    options.max_token_lifetime = s(3600);
    const Key key = make_key("k");
    AccessFiles files;
    files.keys = {file_of(key)};
    Revocations kept;
    kept.members = {{"etna/old", kNow - s(4000)}, {"etna/anna", kNow - s(3000)}};
    files.revocations = NamedText{"r", kept.write()};
    Authorizer authorizer(read_policy(options, files, nullptr, kNow));
    assert(authorizer.policy().revoked.members.size() == 1);
    Claims claims = claims_for("bruno");
    const auto reason = [&] {
        return authorizer.admit({sign_token(claims, key), false, nullptr}, {"find", "", ""}, kNow).reason;
    };
    claims.expires = claims.issued + s(3600);
    assert(reason() == Reason::kAdmitted);
    claims.expires += s(1);
    assert(reason() == Reason::kMalformed);
    claims.issued = 0;
    assert(reason() == Reason::kMalformed);
}

void rights_clubs_and_owners() {
    Fixture fixture;
    const Claims anna = claims_for();
    assert(fixture.reason(anna, {"annotate", "", "g1"}) == Reason::kAdmitted);
    assert(fixture.reason(anna, {"annotate", "t-etna", "a77"}) == Reason::kAdmitted);
    assert(fixture.reason(anna, {"annotate", "", "g2"}) == Reason::kNotOwner);
    assert(fixture.reason(anna, {"annotate", "", "g11"}) == Reason::kNotOwner);
    assert(fixture.reason(anna, {"annotate", "", ""}) == Reason::kNotOwner);
    assert(fixture.reason(anna, {"find", "t-conca", ""}) == Reason::kWrongClub);
    assert(fixture.reason(anna, {"unlisted", "", ""}) == Reason::kNoRight);
    Claims reader = anna;
    reader.caller.rights = {true, false};
    assert(fixture.reason(reader, {"annotate", "", "g1"}) == Reason::kNoRight);
    reader.caller.club = "unknown";
    assert(fixture.reason(reader) == Reason::kWrongClub);
    // A client cannot distinguish the reasons behind a status.
    for (const Reason reason :
         {Reason::kUnknownKey, Reason::kBadSignature, Reason::kExpired, Reason::kRevoked})
        assert(refusal_of(reason).status == 401 &&
               refusal_of(reason).message == refusal_of(Reason::kMalformed).message &&
               refusal_of(reason).challenge == refusal_of(Reason::kMalformed).challenge);
    for (const Reason reason : {Reason::kWrongClub, Reason::kNotOwner})
        assert(refusal_of(reason).status == 403 &&
               refusal_of(reason).message == refusal_of(Reason::kNoRight).message);
}

// The lifecycle states announced, active, outgoing and gone begin exactly at their times.
void key_verifies_from_active_until_gone() {
    Fixture fixture({make_key("old", Algorithm::kEdDsa, {0, s(1), kNow, kNow + s(60)}),
                     make_key("new", Algorithm::kEdDsa, {kNow - s(100), kNow, kNever, kNever}),
                     make_key("next", Algorithm::kEdDsa, {kNow - s(100), kNow + s(30), kNever, kNever})});
    const auto with = [&](std::size_t key, Ticks now) {
        return fixture.reason(sign_token(claims_for("anna", kNow), fixture.keys[key]), {"find", "", ""}, now);
    };
    assert(fixture.keys[0].times.at(kNow) == KeyState::kOutgoing &&
           fixture.authorizer.policy().ring.signer(kNow)->name == "new");
    assert(with(0, kNow + s(60) - 1) == Reason::kAdmitted && with(1, kNow) == Reason::kAdmitted);
    assert(with(0, kNow + s(60)) == Reason::kUnknownKey); // the verification is cached, but the key is gone
    assert(with(2, kNow) == Reason::kUnknownKey);
    assert(with(2, kNow + s(25)) == Reason::kAdmitted); // the signer's clock may be ahead by the skew
    assert(fixture.authorizer.next_change(kNow) == kNow + s(25) &&
           fixture.authorizer.next_change(kNow + s(30)) == kNow + s(60));
}

void rotation_always_leaves_an_active_key() {
    const Key first = make_key("k1", Algorithm::kEs256);
    const KeyRing before = KeyRing::read({file_of(first)}, nullptr);
    const Rotation rotation = rotate(before, "k2", {}, kNow + 1, s(30), s(60));
    assert(rotation.new_key.signing.algorithm() == Algorithm::kEs256 && rotation.changed_keys.size() == 1);
    Key read_back = read_key({"k2.jwk", write_key(rotation.new_key, true)});
    assert(read_back.times == rotation.new_key.times &&
           read_back.signing.fingerprint() == rotation.new_key.signing.fingerprint());
    const KeyRing after =
        KeyRing::read({file_of(rotation.new_key), file_of(rotation.changed_keys[0])}, &before);
    for (Ticks now = kNow; now < kNow + s(200); now += s(1)) {
        const Key* signer = after.signer(now);
        assert(signer != nullptr && signer->verifies(now, 0));
        if (now < kNow + s(31)) assert(signer->name == "k1");
    }
    assert(after.find("k1")->times.at(kNow + s(91)) == KeyState::kGone);
}

// A reload that fails leaves the policy in force and reports the reason.
void failed_reload_keeps_the_policy() {
    Fixture fixture;
    const auto good = fixture.keys;
    const auto refuses = [&](const std::string& expected) {
        const std::uint64_t generation = fixture.authorizer.policy().generation;
        const std::string error = fixture.reload();
        const bool kept = fixture.authorizer.policy().generation == generation &&
                          fixture.reason(sign_token(claims_for(), good[0])) == Reason::kAdmitted;
        fixture.keys = good, fixture.authorities.clear(), fixture.crls.clear();
        if (error.find(expected) == std::string::npos) std::cerr << "unexpected error '" << error << "'\n";
        return kept && error.find(expected) != std::string::npos;
    };
    fixture.keys[1].name = "ed";
    assert(refuses("the key 'ed' is defined in"));
    fixture.keys[0] = make_key("ed", Algorithm::kEs256);
    assert(refuses("a new key needs a new name"));
    fixture.keys[0] = make_key("ed"); // the same algorithm, but another key
    assert(refuses("a new key needs a new name"));
    fixture.keys.clear();
    assert(refuses("no caller could be authenticated"));
    fixture.keys[2].times = {s(5), s(4), kNever, kNever};
    assert(refuses("in this order"));
    fixture.authorities = {{"ca.pem", "no certificate"}};
    assert(refuses("ca.pem: expected certificates in PEM"));
    fixture.revoked.members["etna/bruno"] = kNow;
    assert(fixture.reload().empty());
    fixture.revoked = {};
    assert(refuses("the revocation file is missing, but revocations are in force"));
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

void revocation_applies_to_cached_tokens() {
    Fixture fixture;
    const std::string anna = sign_token(claims_for(), fixture.keys[0]);
    Claims other = claims_for();
    other.id = "t2";
    const std::string second = sign_token(other, fixture.keys[0]);
    const Decision decision = fixture.admit(anna);
    assert(fixture.reason(second) == Reason::kAdmitted && fixture.reason(anna) == Reason::kAdmitted);
    assert(fixture.authorizer.counts().from_cache == 1);
    fixture.revoked.tokens["t1"] = kNow + s(600);
    assert(fixture.reload().empty());
    assert(fixture.reason(anna) == Reason::kRevoked &&
           fixture.authorizer.recheck(decision.proof, kNow) == Reason::kRevoked);
    assert(fixture.reason(second) == Reason::kAdmitted);
    // The member moves to another club: tokens issued before are rejected, tokens issued afterwards are
    // accepted.
    fixture.revoked.members["etna/anna"] = kNow + s(10);
    assert(fixture.reload().empty() && fixture.reason(second) == Reason::kRevoked);
    Claims moved = claims_for("anna", kNow + s(10));
    moved.caller.club = "conca", moved.id = "t3";
    assert(fixture.admit(sign_token(moved, fixture.keys[0]), {"find", "", ""}, kNow + s(10)).tenant ==
           "t-conca");
    // Revoking a key invalidates the tokens that it signed, cached or not.
    fixture.keys[0].times.gone = kNow, fixture.keys[0].times.outgoing = kNow;
    assert(fixture.reload().empty() && fixture.reason(second) == Reason::kUnknownKey);
    assert(fixture.authorizer.recheck(decision.proof, kNow) == Reason::kUnknownKey);
}

void token_expiry_does_not_end_a_search_in_flight() {
    Fixture fixture;
    const Decision decision = fixture.admit(sign_token(claims_for(), fixture.keys[0]));
    assert(fixture.authorizer.recheck(decision.proof, kNow + s(100'000)) ==
           Reason::kAdmitted); // admitted in time
}

void cache_is_bounded_and_evicts_unused_entries() {
    const TokenCache::VerifiedToken proof{std::make_shared<const Claims>(claims_for()), "key"};
    TokenCache cache(16);
    for (int i = 0; i < 1000; ++i) cache.put("token" + std::to_string(i), proof);
    assert(cache.size() <= cache.capacity() && cache.capacity() == 16);
    TokenCache one(8); // a single set: a used entry stays while others are replaced
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

struct CertificateAuthority { // a root CA and certificates that it issues
    lab::CertificateAuthority root{"root", kNow - s(1000), kNow + s(100'000)};
    lab::IssuedCertificate anna = issue({"spiffe://trinacria.example/etna/anna"});
    lab::IssuedCertificate issue(std::vector<std::string> uris, std::vector<std::string> dns = {}) const {
        return root.issue({"x", std::move(uris), std::move(dns), kNow - s(10), kNow + s(1000), false});
    }
    NamedText file() const { return {"ca.pem", root.certificate()}; }
};

void certificate_authenticates_the_mapped_caller() {
    CertificateAuthority ca;
    Fixture fixture;
    assert(fixture.certificate_reason({{ca.anna.der}}) == Reason::kUnknownKey); // no authority configured yet
    fixture.authorities = {ca.file()};
    assert(fixture.reload().empty());
    const Decision decision = fixture.authorizer.admit(
        {"", false, std::make_shared<const Chain>(Chain{{ca.anna.der}})}, {"annotate", "", "g7"}, kNow);
    assert(decision.reason == Reason::kAdmitted && decision.caller.member == "anna" &&
           decision.tenant == "t-etna");
    assert(fixture.certificate_reason({{ca.anna.der}}, {"find", "t-conca", ""}) == Reason::kWrongClub);
    assert(fixture.certificate_reason({{ca.issue({}, {"SITE.conca.example.org"}).der}},
                                      {"annotate", "", "x"}) == Reason::kNoRight);
    assert(fixture.certificate_reason({{ca.issue({}).der}}) == Reason::kMalformed); // no names
    assert(fixture.certificate_reason({{ca.issue({"spiffe://other.example/x"}).der}}) == Reason::kNoRight);
    assert(fixture.certificate_reason({{ca.issue({"spiffe://trinacria.example/etna/a/b"}).der}}) ==
           Reason::kMalformed);
    assert(
        fixture.certificate_reason(
            {{ca.issue({"spiffe://trinacria.example/etna/a", "spiffe://trinacria.example/etna/b"}).der}}) ==
        Reason::kMalformed); // two callers
    assert(fixture.certificate_reason({{ca.anna.der}}, {"find", "", ""}, kNow + s(1001)) == Reason::kExpired);
    assert(fixture.certificate_reason({{ca.anna.der}}, {"find", "", ""}, kNow - s(11)) == Reason::kNotYet);
    assert(fixture.certificate_reason({{"no certificate"}}) == Reason::kMalformed &&
           fixture.certificate_reason({{}}) == Reason::kNoCredential);
    const CertificateAuthority unknown_ca;
    assert(fixture.certificate_reason({{unknown_ca.anna.der}}) == Reason::kUnknownKey);
    // A valid client certificate does not make an invalid token acceptable.
    assert(
        fixture.authorizer
            .admit({"x", false, std::make_shared<const Chain>(Chain{{ca.anna.der}})}, {"find", "", ""}, kNow)
            .reason == Reason::kMalformed);
}

void chain_length_is_bounded_and_a_leaf_is_not_an_authority() {
    CertificateAuthority ca;
    Fixture fixture;
    fixture.authorities = {ca.file()};
    assert(fixture.reload().empty());
    const lab::CertificateAuthority intermediate =
        ca.root.issue_intermediate("below", kNow - s(10), kNow + s(1000));
    const lab::CertificateRequest wish{
        "x", {"spiffe://trinacria.example/etna/anna"}, {}, kNow - s(10), kNow + s(1000), false};
    assert(fixture.certificate_reason({{intermediate.issue(wish).der, intermediate.der()}}) ==
           Reason::kAdmitted);
    assert(fixture.certificate_reason({{intermediate.issue(wish).der}}) == Reason::kUnknownKey);
    lab::CertificateAuthority last = ca.root;
    Chain ten;
    for (int i = 0; i < 9; ++i) {
        last = last.issue_intermediate("n" + std::to_string(i), kNow - s(10), kNow + s(1000));
        ten.certificates.insert(ten.certificates.begin(), last.der());
    }
    ten.certificates.insert(ten.certificates.begin(), last.issue(wish).der);
    assert(fixture.certificate_reason(ten) == Reason::kMalformed);
    const std::string leaf = ca.anna.der; // valid, with superfluous certificates after it
    assert(fixture.certificate_reason({{leaf, leaf, leaf, leaf}}) == Reason::kAdmitted);
    assert(fixture.certificate_reason({{leaf, leaf, leaf, leaf, leaf}}) == Reason::kMalformed);
}

void certificate_is_revoked_by_crl_or_serial() {
    CertificateAuthority ca;
    Fixture fixture;
    fixture.authorities = {ca.file()};
    fixture.crls = {{"ca.crl", ca.root.crl({}, kNow - s(100), kNow + s(500))}};
    assert(fixture.reload().empty());
    const auto chain = std::make_shared<const Chain>(Chain{{ca.anna.der}});
    const Decision decision = fixture.authorizer.admit({"", false, chain}, {"find", "", ""}, kNow);
    assert(decision.reason == Reason::kAdmitted &&
           fixture.authorizer.recheck(*chain, kNow) == Reason::kAdmitted);
    fixture.crls = {{"ca.crl", ca.root.crl({ca.anna.serial}, kNow - s(50), kNow + s(500))}};
    assert(fixture.reload().empty());
    assert(fixture.authorizer.admit({"", false, chain}, {"find", "", ""}, kNow).reason == Reason::kRevoked);
    assert(fixture.authorizer.recheck(decision.proof, kNow) == Reason::kRevoked &&
           fixture.authorizer.recheck(*chain, kNow) == Reason::kRevoked);
    // An older CRL would accept the certificate again.
    fixture.crls = {{"ca.crl", ca.root.crl({}, kNow - s(100), kNow + s(500))}};
    assert(fixture.reload().find("older than the one in force") != std::string::npos);
    fixture.crls.clear();
    assert(fixture.reload().find("missing") != std::string::npos);
    fixture.crls = {{"ca.crl", ca.root.crl({}, kNow - s(40), kNow + s(500))}};
    fixture.revoked.certificates[ca.anna.serial] = kNow;
    assert(fixture.reload().empty() && fixture.authorizer.recheck(*chain, kNow) == Reason::kRevoked);
}

void expired_crl_rejects_all_after_its_grace_period() {
    CertificateAuthority ca;
    Fixture fixture;
    fixture.authorities = {ca.file()};
    fixture.crls = {{"ca.crl", ca.root.crl({}, kNow - s(100), kNow + s(100))}};
    assert(fixture.reload().empty());
    assert(fixture.certificate_reason({{ca.anna.der}}, {"find", "", ""}, kNow + s(159)) == Reason::kAdmitted);
    assert(fixture.certificate_reason({{ca.anna.der}}, {"find", "", ""}, kNow + s(160)) == Reason::kRevoked);
    assert(fixture.authorizer.next_change(kNow) == kNow + s(160)); // so that open connections are rechecked
    assert(fixture.reload(kNow + s(160)).find("out of date") != std::string::npos);
    const CertificateAuthority other;
    fixture.crls = {{"ca.crl", other.root.crl({}, kNow, kNow + s(100))}};
    assert(fixture.reload().find("not signed by a configured authority") != std::string::npos);
}

// ---- clock, handshakes, session tickets

void clock_jump_is_accepted_only_after_settling() {
    TrustedClock clock(s(5), s(10));
    Ticks steady = s(1000);
    assert(clock.observe(steady, kNow) == kNow);
    steady += s(1);
    assert(clock.observe(steady, kNow + s(1) + 300) ==
           kNow + s(1) + 300); // small adjustments are followed at once
    assert(clock.observe(steady, kNow + s(86'400)) == kNow + s(1) + 300);
    assert(clock.observe(steady + s(1), kNow + s(2)) == kNow + s(2)); // the jump did not persist
    for (int i = 0; i < 10; ++i)
        assert(clock.observe(steady + s(2 + i), kNow + s(86'402 + i)) < kNow + s(100));
    assert(clock.observe(steady + s(12), kNow + s(86'412)) == kNow + s(86'412)); // the jump has persisted
    // Jumping back: expired credentials must not become valid during the settling time.
    assert(clock.observe(steady + s(13), kNow + s(13)) == kNow + s(86'413) && clock.jumps() == 3);
}

void handshakes_are_limited_in_three_ways() {
    HandshakeLimiter<int> limiter({4, 100, 2}, 0);
    for (int i = 0; i < 4; ++i) assert(!limiter.begin(i)), limiter.request_step(i);
    assert(limiter.begin(4) == 0 && limiter.open() == 4); // the oldest is evicted
    limiter.request_step(4);
    assert(limiter.grant(0) == (std::vector<int>{1, 2})); // limit per turn
    assert(limiter.grant(0).empty() && limiter.next_step_time(0) == 101);
    assert(limiter.grant(101) == (std::vector<int>{3})); // limit per second
    limiter.end(4);
    assert(limiter.grant(s(1)).empty() && !limiter.next_step_time(s(1))); // closed connections get no step
}

void ticket_keys_rotate_and_old_ones_expire() {
    TicketKeys keys(s(10));
    const auto key = [](unsigned char number) {
        TicketKeys::Key key;
        key.name.fill(number);
        return key;
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
    TEST(all_three_algorithms_authenticate_the_caller),
    TEST(algorithm_comes_from_the_key_and_not_the_token),
    TEST(ambiguous_tokens_are_malformed),
    TEST(token_is_valid_in_its_time_and_for_its_audience),
    TEST(token_lifetime_is_bounded_by_revocation_retention),
    TEST(rights_clubs_and_owners),
    TEST(key_verifies_from_active_until_gone),
    TEST(rotation_always_leaves_an_active_key),
    TEST(failed_reload_keeps_the_policy),
    TEST(revocation_applies_to_cached_tokens),
    TEST(token_expiry_does_not_end_a_search_in_flight),
    TEST(cache_is_bounded_and_evicts_unused_entries),
    TEST(certificate_authenticates_the_mapped_caller),
    TEST(chain_length_is_bounded_and_a_leaf_is_not_an_authority),
    TEST(certificate_is_revoked_by_crl_or_serial),
    TEST(expired_crl_rejects_all_after_its_grace_period),
    TEST(clock_jump_is_accepted_only_after_settling),
    TEST(handshakes_are_limited_in_three_ways),
    TEST(ticket_keys_rotate_and_old_ones_expire),
};

} // namespace

} // namespace ivyrill::access

int main(int count, char** arguments) { return ivyrill::run_test(ivyrill::access::kTests, count, arguments); }
