#include "transport/tls.hpp"

#include <openssl/bio.h>
#include <openssl/core_names.h>
#include <openssl/err.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/ssl.h>

#include <algorithm>
#include <cstring>

namespace ivyrill::transport {

namespace {

constexpr int kMaxChainBytes = 32 * 1024;
constexpr std::size_t kMaxPendingInputBytes = 32 * 1024; // input that OpenSSL has not read yet

template <auto Free> struct OpenSslDeleter {
    template <class Object> void operator()(Object* object) const { Free(object); }
};
using Memory = std::unique_ptr<BIO, OpenSslDeleter<BIO_free_all>>;
using Certificate = std::unique_ptr<X509, OpenSslDeleter<X509_free>>;
using Secret = std::unique_ptr<EVP_PKEY, OpenSslDeleter<EVP_PKEY_free>>;

int accept_any_chain(X509_STORE_CTX*, void*) { return 1; } // the chain is verified in access/, repeatedly

// Used only without client certificates (see the constructor): a client certificate must be sent on each
// connection.
int handle_ticket(SSL* session, unsigned char* name, unsigned char* iv, EVP_CIPHER_CTX* cipher,
                  EVP_MAC_CTX* mac, int encrypting) {
    TicketStore* store = static_cast<TicketStore*>(SSL_CTX_get_app_data(SSL_get_SSL_CTX(session)));
    bool renew = false;
    const TicketSecret* secret =
        encrypting != 0 ? store->encryption_key() : store->decryption_key(name, renew);
    if (secret == nullptr) return 0;
    OSSL_PARAM params[] = {
        OSSL_PARAM_construct_octet_string(OSSL_MAC_PARAM_KEY, const_cast<unsigned char*>(secret->mac_key),
                                          sizeof secret->mac_key),
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, const_cast<char*>("SHA256"), 0),
        OSSL_PARAM_construct_end()};
    if (EVP_MAC_CTX_set_params(mac, params) != 1) return -1;
    if (encrypting != 0) {
        std::memcpy(name, secret->name, sizeof secret->name);
        if (RAND_bytes(iv, EVP_CIPHER_iv_length(EVP_aes_256_cbc())) != 1) return -1;
        return EVP_EncryptInit_ex(cipher, EVP_aes_256_cbc(), nullptr, secret->cipher_key, iv) == 1 ? 1 : -1;
    }
    if (EVP_DecryptInit_ex(cipher, EVP_aes_256_cbc(), nullptr, secret->cipher_key, iv) != 1) return -1;
    return renew ? 2 : 1;
}

int choose_protocol(SSL*, const unsigned char** out, unsigned char* size, const unsigned char* offered,
                    unsigned offered_size, void* ours) {
    const auto* list = static_cast<const std::string*>(ours);
    unsigned char* chosen = nullptr;
    if (SSL_select_next_proto(&chosen, size, reinterpret_cast<const unsigned char*>(list->data()),
                              static_cast<unsigned>(list->size()), offered,
                              offered_size) != OPENSSL_NPN_NEGOTIATED)
        return SSL_TLSEXT_ERR_ALERT_FATAL; // RFC 7301: no_application_protocol
    *out = chosen;
    return SSL_TLSEXT_ERR_OK;
}

} // namespace

TlsContext::TlsContext(const TlsOptions& options)
    : context_(SSL_CTX_new(TLS_server_method())), options_(options) {
    const auto fail = [this](const char* reason) {
        SSL_CTX_free(context_);
        ERR_clear_error();
        throw TlsError(reason);
    };
    if (context_ == nullptr) fail("SSL_CTX_new failed");
    SSL_CTX_set_min_proto_version(context_, TLS1_2_VERSION);
    SSL_CTX_set_options(context_,
                        SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION | SSL_OP_CIPHER_SERVER_PREFERENCE);
    SSL_CTX_set_mode(context_, SSL_MODE_RELEASE_BUFFERS);
    SSL_CTX_set_session_cache_mode(context_, SSL_SESS_CACHE_OFF);
    SSL_CTX_set_max_cert_list(context_, kMaxChainBytes);

    const Memory chain(
        BIO_new_mem_buf(options.certificate.data(), static_cast<int>(options.certificate.size())));
    const Certificate leaf(PEM_read_bio_X509(chain.get(), nullptr, nullptr, nullptr));
    if (!leaf || SSL_CTX_use_certificate(context_, leaf.get()) != 1) fail("the certificate cannot be parsed");
    while (X509* more = PEM_read_bio_X509(chain.get(), nullptr, nullptr, nullptr))
        if (SSL_CTX_add0_chain_cert(context_, more) != 1) X509_free(more);
    ERR_clear_error();
    const Memory text(BIO_new_mem_buf(options.key.data(), static_cast<int>(options.key.size())));
    const Secret key(PEM_read_bio_PrivateKey(text.get(), nullptr, nullptr, nullptr));
    if (!key || SSL_CTX_use_PrivateKey(context_, key.get()) != 1 || SSL_CTX_check_private_key(context_) != 1)
        fail("the private key cannot be parsed or does not match the certificate");

    if (options.clients != ClientCertificates::kNone) {
        const int require =
            options.clients == ClientCertificates::kRequired ? SSL_VERIFY_FAIL_IF_NO_PEER_CERT : 0;
        SSL_CTX_set_verify(context_, SSL_VERIFY_PEER | require, nullptr);
        SSL_CTX_set_cert_verify_callback(context_, accept_any_chain, nullptr);
    }
    // A resumed session does not send the chain again, which revocation checks need: no tickets with client
    // certificates.
    if (options.tickets != nullptr && options.clients == ClientCertificates::kNone) {
        SSL_CTX_set_app_data(context_, options_.tickets);
        SSL_CTX_set_tlsext_ticket_key_evp_cb(context_, handle_ticket);
        SSL_CTX_set_num_tickets(context_, 1);
    } else {
        SSL_CTX_set_options(context_, SSL_OP_NO_TICKET);
        SSL_CTX_set_num_tickets(context_, 0);
    }
    for (const std::string& protocol : options.protocols)
        alpn_ += static_cast<char>(protocol.size()), alpn_ += protocol;
    SSL_CTX_set_alpn_select_cb(context_, choose_protocol, &alpn_);
}

TlsContext::~TlsContext() { SSL_CTX_free(context_); }

TlsSession::TlsSession(std::shared_ptr<const TlsContext> context)
    : context_(std::move(context)), session_(SSL_new(context_->context_)), in_(BIO_new(BIO_s_mem())),
      out_(BIO_new(BIO_s_mem())) {
    if (session_ == nullptr || in_ == nullptr || out_ == nullptr) throw TlsError("SSL_new failed");
    BIO_set_mem_eof_return(in_, -1);
    BIO_set_mem_eof_return(out_, -1);
    SSL_set_bio(session_, in_, out_);
    SSL_set_accept_state(session_);
}

TlsSession::~TlsSession() { SSL_free(session_); }

bool TlsSession::room() const { return BIO_ctrl_pending(in_) < kMaxPendingInputBytes; }

std::size_t TlsSession::feed(std::string_view ciphertext) {
    if (closed_) return ciphertext.size(); // input after the end is ignored
    if (!room()) return 0;
    const int consumed = BIO_write(in_, ciphertext.data(),
                                   static_cast<int>(std::min(ciphertext.size(), kMaxPendingInputBytes)));
    return consumed > 0 ? static_cast<std::size_t>(consumed) : 0;
}

void TlsSession::fail() {
    closed_ = true;
    ERR_clear_error();
}

void TlsSession::advance_handshake() {
    if (handshake_done_ || closed_) return;
    ERR_clear_error();
    const int result = SSL_do_handshake(session_);
    if (result == 1) {
        handshake_done_ = true;
    } else if (const int error = SSL_get_error(session_, result); error != SSL_ERROR_WANT_READ) {
        fail();
    }
}

std::size_t TlsSession::read(char* into, std::size_t max_bytes) {
    if (!handshake_done_ || closed_) return 0;
    ERR_clear_error();
    const int count = SSL_read(session_, into, static_cast<int>(max_bytes));
    if (count > 0) return static_cast<std::size_t>(count);
    const int error = SSL_get_error(session_, count);
    if (error == SSL_ERROR_ZERO_RETURN)
        closed_ = true;
    else if (error != SSL_ERROR_WANT_READ)
        fail();
    return 0;
}

bool TlsSession::write(std::string_view plaintext) {
    if (!handshake_done_ || closed_) return false;
    ERR_clear_error();
    while (!plaintext.empty()) {
        const int count = SSL_write(session_, plaintext.data(), static_cast<int>(plaintext.size()));
        if (count <= 0) return fail(), false;
        plaintext.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

void TlsSession::finish() {
    if (!handshake_done_) return;
    ERR_clear_error();
    SSL_shutdown(session_);
    ERR_clear_error();
}

std::string TlsSession::take_output() {
    std::string output(BIO_ctrl_pending(out_), '\0');
    if (!output.empty()) BIO_read(out_, output.data(), static_cast<int>(output.size()));
    return output;
}

std::vector<std::string> TlsSession::peer_chain() const {
    std::vector<std::string> chain;
    const auto add = [&chain](X509* certificate) {
        unsigned char* der = nullptr;
        const int size = i2d_X509(certificate, &der);
        if (size > 0) chain.emplace_back(reinterpret_cast<char*>(der), static_cast<std::size_t>(size));
        OPENSSL_free(der);
    };
    if (X509* leaf = SSL_get0_peer_certificate(session_)) add(leaf);
    const STACK_OF(X509)* others = SSL_get_peer_cert_chain(session_); // on a server, excludes the leaf
    for (int i = 0; others != nullptr && i < sk_X509_num(others); ++i) add(sk_X509_value(others, i));
    return chain;
}

std::string TlsSession::protocol() const {
    const unsigned char* name = nullptr;
    unsigned size = 0;
    SSL_get0_alpn_selected(session_, &name, &size);
    return size > 0 ? std::string(reinterpret_cast<const char*>(name), size) : std::string();
}

bool TlsSession::resumed() const { return SSL_session_reused(session_) == 1; }

} // namespace ivyrill::transport
