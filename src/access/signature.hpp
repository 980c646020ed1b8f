// Keys and signatures of tokens, by OpenSSL (EVP). The algorithm belongs to the key: a signature is never
// checked by the algorithm that its token names. Source: RFC 7518 (HS256, ES256), RFC 8037 (EdDSA, Ed25519).
#pragma once
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct evp_pkey_st;
struct evp_mac_ctx_st;

namespace ivyrill::access {

enum class Algorithm { kEdDsa, kEs256, kHs256 };
std::string_view name_of(Algorithm algorithm); // as JWS writes it
std::optional<Algorithm> algorithm_named(std::string_view name);

class SigningKey {
  public:
    // A JSON Web Key (RFC 7517) with `alg`; throws AccessError. With its private part where `d` or `k`
    // stands.
    static SigningKey from_jwk(const nlohmann::json& jwk);
    static SigningKey generate(Algorithm algorithm);

    Algorithm algorithm() const { return algorithm_; }
    bool can_sign() const { return can_sign_; }
    bool verify(std::string_view message, std::string_view signature) const;
    std::string sign(std::string_view message) const; // throws AccessError without a private part
    nlohmann::json to_jwk(bool with_private) const;
    const std::string& fingerprint() const {
        return fingerprint_;
    } // what tells this key from others: SHA-256 of what verifies

  private:
    SigningKey() = default;
    Algorithm algorithm_ = Algorithm::kEdDsa;
    bool can_sign_ = false;
    std::string secret_;                  // of HS256
    std::string x_, y_, d_;               // raw, as in the JWK
    std::shared_ptr<evp_mac_ctx_st> mac_; // of HS256, never used up
    std::shared_ptr<evp_pkey_st> pkey_;   // else
    std::string fingerprint_;
    void make_mac();
    std::string mac(std::string_view message) const;
    void make_pkey();
    void make_fingerprint();
};

std::string sha256(std::string_view bytes);
std::string random_bytes(std::size_t count);                // throws AccessError where the system has none
bool equal_secrets(std::string_view a, std::string_view b); // in constant time for one length

} // namespace ivyrill::access
