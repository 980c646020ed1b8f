// Feeds arbitrary bytes to the token parser and the authorizer: no crash, and no admission without a valid
// signature.
#include "access/authorizer.hpp"
#include "access/encoding.hpp"

#include <cstdint>
#include <cstdlib>

namespace {

using namespace ivyrill;
using namespace ivyrill::access;

constexpr Ticks kNow = 1'800'000'000 * kTicksPerSecond;

struct Fixture {
    Key key{"k", SigningKey::generate(Algorithm::kHs256), {0, kTicksPerSecond, kNever, kNever}};
    Authorizer authorizer{policy()};
    std::shared_ptr<const Policy> policy() const {
        AccessOptions options;
        options.issuer = "i", options.audience = "a", options.max_token_bytes = 4096,
        options.max_cached_tokens = 8;
        options.clubs = {{"c", "t"}}, options.request_classes = {{"find", Right::kRead}};
        AccessFiles files;
        files.keys = {{"k.jwk", write_key(key, false)}};
        return read_policy(options, files, nullptr, kNow);
    }
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static Fixture test;
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    if (test.authorizer.admit({bytes, false, nullptr}, {"find", "", ""}, kNow).reason == Reason::kAdmitted)
        std::abort();
    // The same bytes as header and payload with a valid signature: the parsed values must be valid.
    const std::size_t half = size / 2;
    const std::string body = base64url(bytes.substr(0, half)) + "." + base64url(bytes.substr(half));
    const TokenParseResult parsed = parse_token(body + "." + base64url(test.key.signing.sign(body)), 8192);
    if (const auto* token = std::get_if<ParsedToken>(&parsed)) {
        if (token->claims.expires < 0 || !is_valid_name(token->claims.caller.club)) std::abort();
        if (token->algorithm == Algorithm::kHs256 && !has_valid_signature(*token, test.key)) std::abort();
    }
    // Accepted base64url text must survive decoding and encoding unchanged.
    if (const auto raw = read_base64url(bytes); raw && base64url(*raw) != bytes) std::abort();
    try {
        read_key({"f", bytes});
    } catch (const AccessError&) {}
    try {
        Revocations::read({"f", bytes});
    } catch (const AccessError&) {}
    return 0;
}
