#include "access/certificate.hpp"

#include "access/openssl_deleter.hpp"

#include <openssl/asn1.h>
#include <openssl/bio.h>
#include <openssl/bn.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509_vfy.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <ctime>
#include <map>
#include <optional>

namespace ivyrill::access {

namespace {

using Certificate = std::unique_ptr<X509, OpenSslDeleter<X509_free>>;
using Crl = std::unique_ptr<X509_CRL, OpenSslDeleter<X509_CRL_free>>;
using Store = std::unique_ptr<X509_STORE, OpenSslDeleter<X509_STORE_free>>;
using StoreContext = std::unique_ptr<X509_STORE_CTX, OpenSslDeleter<X509_STORE_CTX_free>>;
using Memory = std::unique_ptr<BIO, OpenSslDeleter<BIO_free_all>>;
using Serial = std::unique_ptr<BIGNUM, OpenSslDeleter<BN_free>>;
struct FreeNames {
    void operator()(GENERAL_NAMES* names) const { GENERAL_NAMES_free(names); }
};
struct FreeStack { // does not own the certificates
    void operator()(STACK_OF(X509) * stack) const { sk_X509_free(stack); }
};

Certificate from_der(const std::string& der) {
    if (der.empty() || der.size() > kMaxCertificateBytes) return {};
    const auto* at = reinterpret_cast<const unsigned char*>(der.data());
    Certificate result(d2i_X509(nullptr, &at, static_cast<long>(der.size())));
    const bool whole = at == reinterpret_cast<const unsigned char*>(der.data()) + der.size();
    ERR_clear_error();
    return whole ? std::move(result) : Certificate();
}

Ticks time_of(const ASN1_TIME* time) {
    std::tm parts{};
    if (time == nullptr || ASN1_TIME_to_tm(time, &parts) != 1) return 0;
    return static_cast<Ticks>(timegm(&parts)) * kTicksPerSecond;
}

// Empty if the text is too long or has characters that are not allowed in a name.
std::string printable_text(const ASN1_STRING* text) {
    const auto* data = reinterpret_cast<const char*>(ASN1_STRING_get0_data(text));
    std::string result(data, static_cast<std::size_t>(ASN1_STRING_length(text)));
    const bool printed = std::ranges::all_of(result, [](unsigned char c) { return c > 0x20 && c < 0x7F; });
    return printed && result.size() <= 255 ? result : std::string();
}

std::string issuer_of(const X509_NAME* name) {
    unsigned char* der = nullptr;
    const int size = i2d_X509_NAME(name, &der);
    std::string result(reinterpret_cast<char*>(der), static_cast<std::size_t>(std::max(size, 0)));
    OPENSSL_free(der);
    return result;
}

// The part of the name that the pattern's * matches; nullopt if the name does not match.
std::optional<std::string> rest_of(std::string_view name, std::string_view pattern) {
    if (pattern.empty()) return {};
    if (!pattern.ends_with('*')) return name == pattern ? std::optional<std::string>("") : std::nullopt;
    pattern.remove_suffix(1);
    if (!name.starts_with(pattern) || name.size() == pattern.size()) return {};
    return std::string(name.substr(pattern.size()));
}

std::string lower(std::string text) {
    std::ranges::transform(text, text.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return text;
}

Reason reason_of(int error) {
    switch (error) {
    case X509_V_OK:
        return Reason::kAdmitted;
    case X509_V_ERR_CERT_HAS_EXPIRED:
        return Reason::kExpired;
    case X509_V_ERR_CERT_NOT_YET_VALID:
        return Reason::kNotYet;
    case X509_V_ERR_CERT_SIGNATURE_FAILURE:
        return Reason::kBadSignature;
    case X509_V_ERR_CERT_REVOKED:
        return Reason::kRevoked;
    case X509_V_ERR_CRL_HAS_EXPIRED: // revoked certificates can no longer be determined
    case X509_V_ERR_CRL_NOT_YET_VALID:
        return Reason::kRevoked;
    case X509_V_ERR_DEPTH_ZERO_SELF_SIGNED_CERT:
    case X509_V_ERR_SELF_SIGNED_CERT_IN_CHAIN:
    case X509_V_ERR_UNABLE_TO_GET_ISSUER_CERT:
    case X509_V_ERR_UNABLE_TO_GET_ISSUER_CERT_LOCALLY:
    case X509_V_ERR_UNABLE_TO_VERIFY_LEAF_SIGNATURE:
        return Reason::kUnknownKey;
    default:
        return Reason::kMalformed;
    }
}

} // namespace

struct Authorities::State {
    struct CrlInfo {
        Ticks last_update = 0, next_update = 0;
        std::map<std::string, bool> serials; // of revoked certificates
    };
    std::vector<Certificate> certificates;
    std::vector<Crl> crls;
    std::map<std::string, CrlInfo> crl_info; // by issuer
    Store store;
    Ticks grace = 0;
};

std::shared_ptr<const Authorities> Authorities::read(const std::vector<NamedText>& certificates,
                                                     const std::vector<NamedText>& crls, Ticks now,
                                                     Ticks grace, const Authorities* previous) {
    auto state = std::make_shared<State>();
    state->store.reset(X509_STORE_new());
    state->grace = grace;
    for (const NamedText& file : certificates) {
        const Memory memory(BIO_new_mem_buf(file.text.data(), static_cast<int>(file.text.size())));
        std::size_t found = 0;
        while (X509* result = PEM_read_bio_X509(memory.get(), nullptr, nullptr, nullptr)) {
            state->certificates.emplace_back(result), ++found;
            if (X509_check_ca(result) == 0)
                throw AccessError(file.name + ": contains a certificate that is not a CA");
            X509_STORE_add_cert(state->store.get(), result);
        }
        const bool clean = ERR_GET_REASON(ERR_peek_last_error()) == PEM_R_NO_START_LINE;
        ERR_clear_error();
        if (found == 0 || !clean) throw AccessError(file.name + ": expected certificates in PEM");
    }
    if (state->certificates.empty()) throw AccessError("no certificate authority is configured");
    for (const NamedText& file : crls) {
        const Memory memory(BIO_new_mem_buf(file.text.data(), static_cast<int>(file.text.size())));
        Crl crl(PEM_read_bio_X509_CRL(memory.get(), nullptr, nullptr, nullptr));
        ERR_clear_error();
        if (!crl) throw AccessError(file.name + ": expected a CRL in PEM");
        const auto issuer = std::ranges::find_if(state->certificates, [&](auto& authority) {
            return X509_NAME_cmp(X509_get_subject_name(authority.get()), X509_CRL_get_issuer(crl.get())) ==
                       0 &&
                   X509_CRL_verify(crl.get(), X509_get0_pubkey(authority.get())) == 1;
        });
        ERR_clear_error();
        if (issuer == state->certificates.end())
            throw AccessError(file.name + ": not signed by a configured authority");
        State::CrlInfo info;
        info.last_update = time_of(X509_CRL_get0_lastUpdate(crl.get()));
        info.next_update = time_of(X509_CRL_get0_nextUpdate(crl.get()));
        if (info.next_update == 0) throw AccessError(file.name + ": the CRL has no nextUpdate time");
        if (now >= info.next_update + grace) throw AccessError(file.name + ": the CRL is out of date");
        const std::string name = issuer_of(X509_CRL_get_issuer(crl.get()));
        // An older CRL could omit a certificate that the current one revokes.
        if (previous != nullptr)
            if (const auto old = previous->state_->crl_info.find(name);
                old != previous->state_->crl_info.end() && info.last_update < old->second.last_update)
                throw AccessError(file.name + ": the CRL is older than the one in force");
        if (!state->crl_info.emplace(name, std::move(info)).second)
            throw AccessError(file.name + ": a second CRL of the same authority");
        X509_STORE_add_crl(state->store.get(), crl.get());
        state->crls.push_back(std::move(crl));
    }
    if (previous != nullptr)
        for (const auto& old : previous->state_->crl_info) {
            const bool needed = std::ranges::any_of(state->certificates, [&](auto& authority) {
                return issuer_of(X509_get_subject_name(authority.get())) == old.first;
            });
            if (needed && !state->crl_info.contains(old.first))
                throw AccessError("the CRL of an authority that had one is missing");
        }
    auto result = std::make_shared<Authorities>();
    result->state_ = std::move(state);
    return result;
}

Reason Authorities::verify(const Chain& chain, Ticks now) const {
    if (chain.certificates.empty()) return Reason::kNoCredential;
    if (chain.certificates.size() > kMaxChainCertificates) return Reason::kMalformed;
    std::vector<Certificate> received;
    const std::unique_ptr<STACK_OF(X509), FreeStack> intermediates(sk_X509_new_null());
    for (const std::string& der : chain.certificates) {
        received.push_back(from_der(der));
        if (!received.back()) return Reason::kMalformed;
        if (received.size() > 1) sk_X509_push(intermediates.get(), received.back().get());
    }
    const StoreContext context(X509_STORE_CTX_new());
    if (X509_STORE_CTX_init(context.get(), state_->store.get(), received.front().get(),
                            intermediates.get()) != 1)
        return Reason::kMalformed;
    X509_VERIFY_PARAM* rules = X509_STORE_CTX_get0_param(context.get());
    X509_VERIFY_PARAM_set_time(rules, static_cast<std::time_t>(now / kTicksPerSecond));
    X509_VERIFY_PARAM_set_purpose(rules, X509_PURPOSE_SSL_CLIENT);
    X509_VERIFY_PARAM_set_depth(rules, static_cast<int>(kMaxChainCertificates));
    X509_VERIFY_PARAM_set_flags(rules, X509_V_FLAG_X509_STRICT);
    const bool verified = X509_verify_cert(context.get()) == 1;
    const int error = X509_STORE_CTX_get_error(context.get());
    ERR_clear_error();
    if (!verified) return reason_of(error);
    // CRLs are checked here rather than by the OpenSSL store, which has no grace period: each certificate of
    // the verified chain below the root is looked up in its issuer's CRL.
    const STACK_OF(X509)* verified_chain = X509_STORE_CTX_get0_chain(context.get());
    for (int i = 0; i < sk_X509_num(verified_chain); ++i) {
        X509* certificate = sk_X509_value(verified_chain, i);
        const auto info = state_->crl_info.find(issuer_of(X509_get_issuer_name(certificate)));
        if (info == state_->crl_info.end()) continue; // no CRL for this authority
        if (now >= info->second.next_update + state_->grace) return Reason::kRevoked;
        for (const Crl& crl : state_->crls) {
            X509_REVOKED* entry = nullptr;
            if (X509_NAME_cmp(X509_CRL_get_issuer(crl.get()), X509_get_issuer_name(certificate)) == 0 &&
                X509_CRL_get0_by_cert(crl.get(), &entry, certificate) == 1)
                return Reason::kRevoked;
        }
    }
    return Reason::kAdmitted;
}

Ticks Authorities::next_change(Ticks after) const {
    Ticks next = kNever;
    for (const auto& [name, info] : state_->crl_info)
        if (info.next_update + state_->grace > after) next = std::min(next, info.next_update + state_->grace);
    return next;
}

std::size_t Authorities::certificates() const { return state_->certificates.size(); }
std::size_t Authorities::crls() const { return state_->crls.size(); }

LeafNames read_leaf(const Chain& chain) {
    if (chain.certificates.empty()) throw AccessError("no certificate");
    const Certificate leaf = from_der(chain.certificates.front());
    if (!leaf) throw AccessError("the certificate cannot be parsed");
    LeafNames result;
    result.not_after = time_of(X509_get0_notAfter(leaf.get()));
    const Serial number(ASN1_INTEGER_to_BN(X509_get0_serialNumber(leaf.get()), nullptr));
    if (number) {
        char* hex = BN_bn2hex(number.get());
        result.serial = lower(hex != nullptr ? hex : "");
        OPENSSL_free(hex);
        const std::size_t first = result.serial.find_first_not_of('0');
        result.serial = first == std::string::npos ? "0" : result.serial.substr(first);
    }
    int critical = 0;
    const std::unique_ptr<GENERAL_NAMES, FreeNames> names(
        static_cast<GENERAL_NAMES*>(X509_get_ext_d2i(leaf.get(), NID_subject_alt_name, &critical, nullptr)));
    ERR_clear_error();
    if (!names && critical != -1)
        throw AccessError("the subject alternative names cannot be parsed"); // -1: no extension
    for (int i = 0; names && i < sk_GENERAL_NAME_num(names.get()); ++i) {
        const GENERAL_NAME* name = sk_GENERAL_NAME_value(names.get(), i);
        if (name->type == GEN_URI)
            if (std::string text = printable_text(name->d.uniformResourceIdentifier); !text.empty())
                result.uris.push_back(std::move(text));
        if (name->type == GEN_DNS)
            if (std::string text = printable_text(name->d.dNSName); !text.empty())
                result.dns.push_back(lower(std::move(text)));
    }
    return result;
}

MappedCaller map_names(const LeafNames& names, const std::vector<NameRule>& rules) {
    MappedCaller result;
    if (names.uris.empty() && names.dns.empty()) return {Reason::kMalformed, {}};
    const auto apply_rules = [&](const std::string& name, std::string NameRule::*pattern) {
        for (const NameRule& rule : rules) { // the first match counts
            const auto rest = rest_of(name, rule.*pattern);
            if (!rest) continue;
            Caller caller{rule.club, rule.member, rule.rights, rule.owned};
            if (const std::size_t at = caller.member.find("{rest}"); at != std::string::npos)
                caller.member.replace(at, 6, *rest);
            const bool valid_member = std::ranges::all_of(caller.member, [](char c) { return c != '/'; });
            if (!valid_member || caller.member.empty() || caller.member.size() > 64)
                result.reason = Reason::kMalformed; // the name is empty, too long or ambiguous
            else if (result.reason == Reason::kNoRight)
                result = {Reason::kAdmitted, std::move(caller)};
            else if (result.reason == Reason::kAdmitted && result.caller != caller)
                result.reason = Reason::kMalformed; // the certificate maps to two callers
            return;
        }
    };
    for (const std::string& name : names.uris) apply_rules(name, &NameRule::uri);
    for (const std::string& name : names.dns) apply_rules(name, &NameRule::dns);
    if (result.reason != Reason::kAdmitted) result.caller = {};
    return result;
}

} // namespace ivyrill::access
