#include "lab/client.hpp"

#include "transport/stream.hpp"

#include <openssl/bn.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>

#include <cerrno>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace ivyrill::lab {

Client::Client(const std::string& address, int timeout_ms)
    : descriptor_(transport::connect_to(address)), timeout_ms_(timeout_ms) {
    if (descriptor_ < 0 || !await(POLLOUT) || !transport::connected(descriptor_))
        throw std::runtime_error("no connection to " + address);
}

Client::Client(const std::string& address, const ClientTlsOptions& tls, int timeout_ms)
    : Client(address, timeout_ms) {
    context_ = SSL_CTX_new(TLS_client_method());
    if (tls.old_version) SSL_CTX_set_max_proto_version(context_, TLS1_2_VERSION);
    if (!tls.certificate.empty()) {
        BIO* memory = BIO_new_mem_buf(tls.certificate.data(), static_cast<int>(tls.certificate.size()));
        bool first = true;
        while (X509* one = PEM_read_bio_X509(memory, nullptr, nullptr, nullptr)) {
            if (std::exchange(first, false))
                SSL_CTX_use_certificate(context_, one), X509_free(one);
            else
                SSL_CTX_add0_chain_cert(context_, one);
        }
        BIO_free_all(memory);
        memory = BIO_new_mem_buf(tls.key.data(), static_cast<int>(tls.key.size()));
        EVP_PKEY* key = PEM_read_bio_PrivateKey(memory, nullptr, nullptr, nullptr);
        BIO_free_all(memory);
        SSL_CTX_use_PrivateKey(context_, key);
        EVP_PKEY_free(key);
        ERR_clear_error();
    }
    session_ = SSL_new(context_);
    if (!tls.protocols.empty())
        SSL_set_alpn_protos(session_, reinterpret_cast<const unsigned char*>(tls.protocols.data()),
                            static_cast<unsigned>(tls.protocols.size()));
    SSL_set_fd(session_, descriptor_);
    for (;;) {
        const int done = SSL_connect(session_);
        if (done == 1) return;
        const int error = SSL_get_error(session_, done);
        ERR_clear_error();
        const short events = error == SSL_ERROR_WANT_READ    ? POLLIN
                             : error == SSL_ERROR_WANT_WRITE ? POLLOUT
                                                             : 0;
        if (events != 0 && await(events)) continue;
        SSL_free(session_), SSL_CTX_free(context_), close(descriptor_);
        session_ = nullptr, context_ = nullptr, descriptor_ = -1;
        throw std::runtime_error("TLS handshake failed with " + address);
    }
}

Client::Client(Client&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)), timeout_ms_(other.timeout_ms_),
      context_(std::exchange(other.context_, nullptr)), session_(std::exchange(other.session_, nullptr)) {}

Client::~Client() {
    SSL_free(session_);
    SSL_CTX_free(context_);
    if (descriptor_ >= 0) close(descriptor_);
}

bool Client::await(short what) const {
    pollfd events{descriptor_, what, 0};
    return poll(&events, 1, timeout_ms_) == 1;
}

void Client::send_bytes(std::string_view bytes) {
    while (!bytes.empty()) {
        ssize_t count = 0;
        if (session_ != nullptr) {
            count = SSL_write(session_, bytes.data(), static_cast<int>(bytes.size()));
        } else {
            count = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        }
        if (count > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        const bool later = session_ != nullptr
                               ? SSL_get_error(session_, static_cast<int>(count)) == SSL_ERROR_WANT_WRITE
                               : errno == EAGAIN;
        ERR_clear_error();
        if (!later || !await(POLLOUT)) throw std::runtime_error("the connection accepts no more data");
    }
}

std::string Client::receive_bytes() {
    char bytes[16384];
    for (;;) {
        ssize_t count = 0;
        bool later = false;
        if (session_ != nullptr) {
            count = SSL_read(session_, bytes, sizeof bytes);
            later = count <= 0 && SSL_get_error(session_, static_cast<int>(count)) == SSL_ERROR_WANT_READ;
            ERR_clear_error();
        } else {
            count = recv(descriptor_, bytes, sizeof bytes, 0);
            later = count < 0 && (errno == EAGAIN || errno == EINTR);
        }
        if (count > 0) return {bytes, static_cast<std::size_t>(count)};
        if (!later) return {};
        if (!await(POLLIN)) throw std::runtime_error("timed out waiting for data");
    }
}

protocol::HttpMessage Client::answer() {
    protocol::HttpParser parser(protocol::HttpParser::Side::kResponses);
    while (!parser.complete()) {
        const std::string bytes = receive_bytes();
        if (bytes.empty()) throw std::runtime_error("the connection ended before the response");
        if (parser.feed(bytes) != bytes.size() || parser.broken() != 0)
            throw std::runtime_error("received something other than one response");
    }
    return parser.take();
}

bool Client::closed_by_peer() { return receive_bytes().empty(); }

std::string Client::peer_serial() const {
    X509* certificate = session_ != nullptr ? SSL_get0_peer_certificate(session_) : nullptr;
    if (certificate == nullptr) return {};
    BIGNUM* number = ASN1_INTEGER_to_BN(X509_get0_serialNumber(certificate), nullptr);
    char* hex = BN_bn2hex(number);
    std::string text;
    for (const char* at = hex; *at != '\0'; ++at)
        if (!text.empty() || *at != '0') text += *at >= 'A' ? static_cast<char>(*at - 'A' + 'a') : *at;
    OPENSSL_free(hex), BN_free(number);
    return text;
}

std::string Client::protocol() const {
    const unsigned char* name = nullptr;
    unsigned size = 0;
    SSL_get0_alpn_selected(session_, &name, &size);
    return size > 0 ? std::string(reinterpret_cast<const char*>(name), size) : std::string();
}

bool Client::renegotiate() {
    if (SSL_renegotiate(session_) != 1) return false;
    for (int tries = 0; tries < 50; ++tries) {
        const int done = SSL_do_handshake(session_);
        if (done == 1) return SSL_renegotiate_pending(session_) == 0 && tries > 0;
        const int error = SSL_get_error(session_, done);
        ERR_clear_error();
        if (error != SSL_ERROR_WANT_READ || !await(POLLIN)) return false;
    }
    return false;
}

} // namespace ivyrill::lab
