#include "access/signature.hpp"

#include "access/encoding.hpp"
#include "access/openssl_deleter.hpp"
#include "access/types.hpp"

#include <openssl/bn.h>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/ec.h>
#include <openssl/ecdsa.h>
#include <openssl/evp.h>
#include <openssl/param_build.h>
#include <openssl/rand.h>

#include <array>

namespace ivyrill::access {

namespace {

constexpr std::size_t kEdBytes = 32, kFieldBytes = 32, kMinSecretBytes = 32; // kMinSecretBytes: RFC 7518, 3.2

using Context = std::unique_ptr<EVP_MD_CTX, OpenSslDeleter<EVP_MD_CTX_free>>;
using KeyContext = std::unique_ptr<EVP_PKEY_CTX, OpenSslDeleter<EVP_PKEY_CTX_free>>;
using Number = std::unique_ptr<BIGNUM, OpenSslDeleter<BN_free>>;
using Builder = std::unique_ptr<OSSL_PARAM_BLD, OpenSslDeleter<OSSL_PARAM_BLD_free>>;
using Params = std::unique_ptr<OSSL_PARAM, OpenSslDeleter<OSSL_PARAM_free>>;
using EcdsaSignature = std::unique_ptr<ECDSA_SIG, OpenSslDeleter<ECDSA_SIG_free>>;
using Mac = std::unique_ptr<EVP_MAC, OpenSslDeleter<EVP_MAC_free>>;
using MacContext = std::unique_ptr<EVP_MAC_CTX, OpenSslDeleter<EVP_MAC_CTX_free>>;

const unsigned char* bytes_of(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

[[noreturn]] void unusable(const char* reason) {
    throw AccessError(std::string("the key cannot be used: ") + reason);
}

std::string field(const nlohmann::json& jwk, const char* name, std::size_t bytes) {
    const auto found = jwk.find(name);
    if (found == jwk.end() || !found->is_string()) unusable(name);
    const auto raw = read_base64url(found->get_ref<const std::string&>());
    if (!raw || (bytes > 0 && raw->size() != bytes)) unusable(name);
    return *raw;
}

std::string fixed_size_bytes(const BIGNUM* number) {
    std::string out(kFieldBytes, '\0');
    if (BN_bn2binpad(number, reinterpret_cast<unsigned char*>(out.data()), kFieldBytes) < 0)
        unusable("a number has the wrong size");
    return out;
}

Number number_of(std::string_view raw) {
    return Number(BN_bin2bn(bytes_of(raw), static_cast<int>(raw.size()), nullptr));
}

} // namespace

std::string_view name_of(Algorithm algorithm) {
    return algorithm == Algorithm::kEdDsa ? "EdDSA" : algorithm == Algorithm::kEs256 ? "ES256" : "HS256";
}

std::optional<Algorithm> algorithm_named(std::string_view name) {
    for (const Algorithm algorithm : {Algorithm::kEdDsa, Algorithm::kEs256, Algorithm::kHs256})
        if (name == name_of(algorithm)) return algorithm;
    return {};
}

// The MAC context is initialized once and copied for each use: fetching the algorithm and setting the key
// costs more than the MAC of a datagram.
void SigningKey::make_mac() {
    char digest[] = "SHA256";
    const OSSL_PARAM params[] = {OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
                                 OSSL_PARAM_construct_end()};
    const Mac hmac(EVP_MAC_fetch(nullptr, "HMAC", nullptr));
    mac_ = {hmac ? EVP_MAC_CTX_new(hmac.get()) : nullptr, EVP_MAC_CTX_free};
    if (!mac_ || EVP_MAC_init(mac_.get(), bytes_of(secret_), secret_.size(), params) != 1)
        throw AccessError("HMAC failed");
}

std::string SigningKey::mac(std::string_view message) const {
    const MacContext context(EVP_MAC_CTX_dup(mac_.get()));
    std::string out(EVP_MAX_MD_SIZE, '\0');
    std::size_t size = 0;
    if (!context || EVP_MAC_update(context.get(), bytes_of(message), message.size()) != 1 ||
        EVP_MAC_final(context.get(), reinterpret_cast<unsigned char*>(out.data()), &size, out.size()) != 1)
        throw AccessError("HMAC failed");
    out.resize(size);
    return out;
}

void SigningKey::make_pkey() {
    EVP_PKEY* result = nullptr;
    if (algorithm_ == Algorithm::kEdDsa) {
        result = d_.empty()
                     ? EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytes_of(x_), x_.size())
                     : EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, bytes_of(d_), d_.size());
    } else {
        const std::string point = std::string("\4") + x_ + y_;
        const Number d = d_.empty() ? Number() : number_of(d_);
        const Builder build(OSSL_PARAM_BLD_new());
        OSSL_PARAM_BLD_push_utf8_string(build.get(), OSSL_PKEY_PARAM_GROUP_NAME, "prime256v1", 0);
        OSSL_PARAM_BLD_push_octet_string(build.get(), OSSL_PKEY_PARAM_PUB_KEY, point.data(), point.size());
        if (d) OSSL_PARAM_BLD_push_BN(build.get(), OSSL_PKEY_PARAM_PRIV_KEY, d.get());
        const Params params(OSSL_PARAM_BLD_to_param(build.get()));
        const KeyContext context(EVP_PKEY_CTX_new_from_name(nullptr, "EC", nullptr));
        if (!params || !context || EVP_PKEY_fromdata_init(context.get()) != 1 ||
            EVP_PKEY_fromdata(context.get(), &result, d ? EVP_PKEY_KEYPAIR : EVP_PKEY_PUBLIC_KEY,
                              params.get()) != 1)
            result = nullptr;
    }
    if (result == nullptr) unusable("OpenSSL rejects it");
    pkey_ = {result, EVP_PKEY_free};
    const KeyContext check(EVP_PKEY_CTX_new_from_pkey(nullptr, result, nullptr));
    if (algorithm_ == Algorithm::kEs256 && EVP_PKEY_public_check(check.get()) != 1)
        unusable("the point is not on its curve");
}

SigningKey SigningKey::from_jwk(const nlohmann::json& jwk) {
    const auto text = [&](const char* name) {
        const auto found = jwk.find(name);
        return found != jwk.end() && found->is_string() ? found->get<std::string>() : std::string();
    };
    const auto algorithm = algorithm_named(text("alg"));
    if (!algorithm) unusable("alg is not EdDSA, ES256 or HS256");
    SigningKey key;
    key.algorithm_ = *algorithm;
    const std::string type = text("kty"), curve = text("crv");
    if (*algorithm == Algorithm::kHs256) {
        if (type != "oct") unusable("kty and alg do not match");
        key.secret_ = field(jwk, "k", 0);
        if (key.secret_.size() < kMinSecretBytes) unusable("k is shorter than 32 bytes");
        key.can_sign_ = true;
        key.make_mac();
        key.make_fingerprint();
        return key;
    }
    const bool edwards = *algorithm == Algorithm::kEdDsa;
    if (type != (edwards ? "OKP" : "EC") || curve != (edwards ? "Ed25519" : "P-256"))
        unusable("kty, crv and alg do not match");
    key.x_ = field(jwk, "x", edwards ? kEdBytes : kFieldBytes);
    if (!edwards) key.y_ = field(jwk, "y", kFieldBytes);
    if (jwk.contains("d")) key.d_ = field(jwk, "d", edwards ? kEdBytes : kFieldBytes);
    key.can_sign_ = !key.d_.empty();
    key.make_pkey();
    if (edwards && key.can_sign_) {
        std::string derived(kEdBytes, '\0');
        std::size_t size = kEdBytes;
        EVP_PKEY_get_raw_public_key(key.pkey_.get(), reinterpret_cast<unsigned char*>(derived.data()), &size);
        if (derived != key.x_) unusable("x and d do not match");
    }
    key.make_fingerprint();
    return key;
}

SigningKey SigningKey::generate(Algorithm algorithm) {
    SigningKey key;
    key.algorithm_ = algorithm, key.can_sign_ = true;
    if (algorithm == Algorithm::kHs256) {
        key.secret_ = random_bytes(kMinSecretBytes);
        key.make_mac();
        key.make_fingerprint();
        return key;
    }
    EVP_PKEY* result = algorithm == Algorithm::kEdDsa
                           ? EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519")
                           : EVP_PKEY_Q_keygen(nullptr, nullptr, "EC", "prime256v1");
    if (result == nullptr) throw AccessError("key generation failed");
    key.pkey_ = {result, EVP_PKEY_free};
    if (algorithm == Algorithm::kEdDsa) {
        key.x_.resize(kEdBytes), key.d_.resize(kEdBytes);
        std::size_t size = kEdBytes;
        EVP_PKEY_get_raw_public_key(result, reinterpret_cast<unsigned char*>(key.x_.data()), &size);
        EVP_PKEY_get_raw_private_key(result, reinterpret_cast<unsigned char*>(key.d_.data()), &size);
        key.make_fingerprint();
        return key;
    }
    for (const auto& [name, into] :
         {std::pair{OSSL_PKEY_PARAM_EC_PUB_X, &key.x_}, std::pair{OSSL_PKEY_PARAM_EC_PUB_Y, &key.y_},
          std::pair{OSSL_PKEY_PARAM_PRIV_KEY, &key.d_}}) {
        BIGNUM* number = nullptr;
        if (EVP_PKEY_get_bn_param(result, name, &number) != 1) throw AccessError("key generation failed");
        *into = fixed_size_bytes(number);
        BN_clear_free(number);
    }
    key.make_fingerprint();
    return key;
}

bool SigningKey::verify(std::string_view message, std::string_view signature) const {
    if (algorithm_ == Algorithm::kHs256) return equal_secrets(mac(message), signature);
    const Context context(EVP_MD_CTX_new());
    if (algorithm_ == Algorithm::kEdDsa) {
        return EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, pkey_.get()) == 1 &&
               EVP_DigestVerify(context.get(), bytes_of(signature), signature.size(), bytes_of(message),
                                message.size()) == 1;
    }
    if (signature.size() != 2 * kFieldBytes) return false; // r and s, each of 32 bytes
    const EcdsaSignature pair(ECDSA_SIG_new());
    ECDSA_SIG_set0(pair.get(), number_of(signature.substr(0, kFieldBytes)).release(),
                   number_of(signature.substr(kFieldBytes)).release());
    unsigned char* der = nullptr;
    const int size = i2d_ECDSA_SIG(pair.get(), &der);
    if (size <= 0) return false;
    const bool valid =
        EVP_DigestVerifyInit(context.get(), nullptr, EVP_sha256(), nullptr, pkey_.get()) == 1 &&
        EVP_DigestVerify(context.get(), der, static_cast<std::size_t>(size), bytes_of(message),
                         message.size()) == 1;
    OPENSSL_free(der);
    return valid;
}

std::string SigningKey::sign(std::string_view message) const {
    if (!can_sign_) throw AccessError("this key has no private part and can only verify");
    if (algorithm_ == Algorithm::kHs256) return mac(message);
    const bool edwards = algorithm_ == Algorithm::kEdDsa;
    const Context context(EVP_MD_CTX_new());
    std::string result(256, '\0');
    std::size_t size = result.size();
    if (EVP_DigestSignInit(context.get(), nullptr, edwards ? nullptr : EVP_sha256(), nullptr, pkey_.get()) !=
            1 ||
        EVP_DigestSign(context.get(), reinterpret_cast<unsigned char*>(result.data()), &size,
                       bytes_of(message), message.size()) != 1)
        throw AccessError("signing failed");
    result.resize(size);
    if (edwards) return result;
    const unsigned char* der = bytes_of(result);
    const EcdsaSignature pair(d2i_ECDSA_SIG(nullptr, &der, static_cast<long>(size)));
    if (!pair) throw AccessError("signing failed");
    return fixed_size_bytes(ECDSA_SIG_get0_r(pair.get())) + fixed_size_bytes(ECDSA_SIG_get0_s(pair.get()));
}

nlohmann::json SigningKey::to_jwk(bool with_private) const {
    nlohmann::json jwk = {{"alg", name_of(algorithm_)}, {"use", "sig"}};
    if (algorithm_ == Algorithm::kHs256) {
        jwk["kty"] = "oct", jwk["k"] = base64url(secret_); // symmetric: the verification key also signs
        return jwk;
    }
    const bool edwards = algorithm_ == Algorithm::kEdDsa;
    jwk["kty"] = edwards ? "OKP" : "EC", jwk["crv"] = edwards ? "Ed25519" : "P-256";
    jwk["x"] = base64url(x_);
    if (!edwards) jwk["y"] = base64url(y_);
    if (with_private && can_sign_) jwk["d"] = base64url(d_);
    return jwk;
}

void SigningKey::make_fingerprint() {
    fingerprint_ = sha256(std::string(name_of(algorithm_)) + "\n" + secret_ + x_ + y_);
}

std::string sha256(std::string_view bytes) {
    std::string out(32, '\0');
    unsigned size = 0;
    EVP_Digest(bytes.data(), bytes.size(), reinterpret_cast<unsigned char*>(out.data()), &size, EVP_sha256(),
               nullptr);
    return out;
}

std::string random_bytes(std::size_t count) {
    std::string out(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(out.data()), static_cast<int>(count)) != 1)
        throw AccessError("the system's random generator failed");
    return out;
}

bool equal_secrets(std::string_view a, std::string_view b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace ivyrill::access
