#include "lab/pki.hpp"

#include <openssl/bio.h>
#include <openssl/bn.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <stdexcept>

namespace ivyrill::lab {

namespace {

void require_success(bool done) {
    if (!done) throw std::runtime_error("OpenSSL could not create the certificate");
}

std::shared_ptr<EVP_PKEY> generate_key() {
    EVP_PKEY* made = EVP_PKEY_Q_keygen(nullptr, nullptr, "EC", "prime256v1");
    require_success(made != nullptr);
    return {made, EVP_PKEY_free};
}

template <class Write> std::string pem(Write write) {
    const std::unique_ptr<BIO, decltype(&BIO_free_all)> memory(BIO_new(BIO_s_mem()), BIO_free_all);
    require_success(write(memory.get()) == 1);
    std::string text(BIO_ctrl_pending(memory.get()), '\0');
    BIO_read(memory.get(), text.data(), static_cast<int>(text.size()));
    return text;
}

void set_time(ASN1_TIME* time, Ticks at) {
    require_success(ASN1_TIME_set(time, at / kTicksPerSecond) != nullptr);
}

void add(X509* certificate, X509* issuer, int what, const std::string& value) {
    X509V3_CTX context;
    X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
    X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, what, value.c_str());
    require_success(extension != nullptr);
    require_success(X509_add_ext(certificate, extension, -1) == 1);
    X509_EXTENSION_free(extension);
}

std::shared_ptr<X509> make(const CertificateRequest& wish, EVP_PKEY* key, X509* issuer,
                           EVP_PKEY* issuer_key) {
    const std::shared_ptr<X509> made(X509_new(), X509_free);
    X509_set_version(made.get(), 2);
    unsigned char random[9] = {1};
    require_success(RAND_bytes(random + 1, 8) == 1);
    BIGNUM* serial = BN_bin2bn(random, sizeof random, nullptr);
    BN_to_ASN1_INTEGER(serial, X509_get_serialNumber(made.get()));
    BN_free(serial);
    set_time(X509_getm_notBefore(made.get()), wish.from),
        set_time(X509_getm_notAfter(made.get()), wish.until);
    X509_NAME* name = X509_get_subject_name(made.get());
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>(wish.name.c_str()), -1, -1, 0);
    X509* const by = issuer != nullptr ? issuer : made.get();
    X509_set_issuer_name(made.get(), X509_get_subject_name(by));
    require_success(X509_set_pubkey(made.get(), key) == 1);
    add(made.get(), by, NID_basic_constraints, wish.authority ? "critical,CA:TRUE" : "critical,CA:FALSE");
    add(made.get(), by, NID_key_usage,
        wish.authority ? "critical,keyCertSign,cRLSign" : "critical,digitalSignature");
    add(made.get(), by, NID_subject_key_identifier, "hash");
    if (issuer != nullptr) add(made.get(), by, NID_authority_key_identifier, "keyid:always");
    if (!wish.authority) add(made.get(), by, NID_ext_key_usage, "clientAuth,serverAuth");
    std::string names;
    for (const std::string& uri : wish.uris) names += (names.empty() ? "URI:" : ",URI:") + uri;
    for (const std::string& dns : wish.dns) names += (names.empty() ? "DNS:" : ",DNS:") + dns;
    if (!names.empty()) add(made.get(), by, NID_subject_alt_name, names);
    require_success(X509_sign(made.get(), issuer_key != nullptr ? issuer_key : key, EVP_sha256()) > 0);
    return made;
}

std::string to_pem(X509* certificate) {
    return pem([&](BIO* memory) { return PEM_write_bio_X509(memory, certificate); });
}

std::string to_der(X509* certificate) {
    unsigned char* bytes = nullptr;
    const int size = i2d_X509(certificate, &bytes);
    require_success(size > 0);
    const std::string der(reinterpret_cast<char*>(bytes), static_cast<std::size_t>(size));
    OPENSSL_free(bytes);
    return der;
}

} // namespace

CertificateAuthority::CertificateAuthority(const std::string& name, Ticks from, Ticks until)
    : key_(generate_key()) {
    certificate_ = make({name, {}, {}, from, until, true}, key_.get(), nullptr, nullptr);
}

CertificateAuthority CertificateAuthority::issue_intermediate(const std::string& name, Ticks from,
                                                              Ticks until) const {
    CertificateAuthority made;
    made.key_ = generate_key();
    made.certificate_ =
        make({name, {}, {}, from, until, true}, made.key_.get(), certificate_.get(), key_.get());
    return made;
}

IssuedCertificate CertificateAuthority::issue(const CertificateRequest& wish) const {
    const auto key = generate_key();
    const auto made = make(wish, key.get(), certificate_.get(), key_.get());
    IssuedCertificate issued;
    issued.certificate = to_pem(made.get()), issued.der = to_der(made.get());
    issued.key = pem([&](BIO* memory) {
        return PEM_write_bio_PrivateKey(memory, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    });
    BIGNUM* serial = ASN1_INTEGER_to_BN(X509_get0_serialNumber(made.get()), nullptr);
    char* hex = BN_bn2hex(serial);
    for (const char* at = hex; *at != '\0'; ++at)
        if (!issued.serial.empty() || *at != '0')
            issued.serial += *at >= 'A' ? static_cast<char>(*at - 'A' + 'a') : *at;
    OPENSSL_free(hex);
    BN_free(serial);
    return issued;
}

std::string CertificateAuthority::certificate() const { return to_pem(certificate_.get()); }
std::string CertificateAuthority::der() const { return to_der(certificate_.get()); }

std::string CertificateAuthority::crl(const std::vector<std::string>& serials, Ticks from,
                                      Ticks until) const {
    const std::unique_ptr<X509_CRL, decltype(&X509_CRL_free)> list(X509_CRL_new(), X509_CRL_free);
    X509_CRL_set_version(list.get(), 1);
    X509_CRL_set_issuer_name(list.get(), X509_get_subject_name(certificate_.get()));
    const std::unique_ptr<ASN1_TIME, decltype(&ASN1_TIME_free)> time(ASN1_TIME_new(), ASN1_TIME_free);
    set_time(time.get(), from), X509_CRL_set1_lastUpdate(list.get(), time.get());
    for (const std::string& serial : serials) {
        X509_REVOKED* entry = X509_REVOKED_new();
        BIGNUM* number = nullptr;
        require_success(BN_hex2bn(&number, serial.c_str()) > 0);
        ASN1_INTEGER* integer = BN_to_ASN1_INTEGER(number, nullptr);
        X509_REVOKED_set_serialNumber(entry, integer);
        X509_REVOKED_set_revocationDate(entry, time.get());
        ASN1_INTEGER_free(integer), BN_free(number);
        require_success(X509_CRL_add0_revoked(list.get(), entry) == 1);
    }
    set_time(time.get(), until), X509_CRL_set1_nextUpdate(list.get(), time.get());
    X509_CRL_sort(list.get());
    require_success(X509_CRL_sign(list.get(), key_.get(), EVP_sha256()) > 0);
    return pem([&](BIO* memory) { return PEM_write_bio_X509_CRL(memory, list.get()); });
}

} // namespace ivyrill::lab
