// Signing keys and token signatures, using OpenSSL's EVP interface. The algorithm is a property of the key:
// the algorithm named in a token is never used to verify it. Sources: RFC 7518 (HS256, ES256), RFC 8037
// (EdDSA, Ed25519).
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
std::string_view name_of(Algorithm algorithm); // the JWS `alg` value
std::optional<Algorithm> algorithm_named(std::string_view name);

class SigningKey {
  public:
    // Reads a JSON Web Key (RFC 7517) with `alg`, including its private part if `d` or `k` is present. Throws
    // AccessError.
    static SigningKey from_jwk(const nlohmann::json& jwk);
    static SigningKey generate(Algorithm algorithm);

    Algorithm algorithm() const { return algorithm_; }
    bool can_sign() const { return can_sign_; }
    bool verify(std::string_view message, std::string_view signature) const;
    std::string sign(std::string_view message) const; // throws AccessError if the key has no private part
    nlohmann::json to_jwk(bool with_private) const;
    // SHA-256 of the algorithm and the verification key.
    const std::string& fingerprint() const { return fingerprint_; }

  private:
    SigningKey() = default;
    Algorithm algorithm_ = Algorithm::kEdDsa;
    bool can_sign_ = false;
    std::string secret_;                  // of HS256
    std::string x_, y_, d_;               // raw bytes, as in the JWK
    std::shared_ptr<evp_mac_ctx_st> mac_; // of HS256; copied for each use
    std::shared_ptr<evp_pkey_st> pkey_;   // of the other algorithms
    std::string fingerprint_;
    void make_mac();
    std::string mac(std::string_view message) const;
    void make_pkey();
    void make_fingerprint();
};

std::string sha256(std::string_view bytes);
std::string random_bytes(std::size_t count); // throws AccessError if the system generator fails
bool equal_secrets(std::string_view a, std::string_view b); // constant time for strings of equal length

} // namespace ivyrill::access
