// Server side of TLS 1.2 and 1.3, using OpenSSL over memory BIOs: bytes in, bytes out, no socket. A context
// holds one server certificate and the client certificate policy; sessions keep their context alive, so that
// replacing the certificate closes no connection. Client certificates are not verified here: the handshake
// proves that the client holds the private key, and the chain is passed on as received.
#pragma once
#include <cstddef>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

struct ssl_ctx_st;
struct ssl_st;
struct bio_st;

namespace ivyrill::transport {

class TlsError : public std::runtime_error { // an unusable certificate or key
  public:
    using std::runtime_error::runtime_error;
};

enum class ClientCertificates { kNone, kOptional, kRequired };

struct TicketSecret {
    unsigned char name[16], cipher_key[32], mac_key[32];
};
class TicketStore { // provides the session ticket keys, which rotate while running
  public:
    virtual ~TicketStore() = default;
    virtual const TicketSecret* encryption_key() = 0; // null: issue no ticket now
    virtual const TicketSecret* decryption_key(const unsigned char* name, bool& renew) = 0;
};

struct TlsOptions {
    std::string certificate, key; // PEM: the server's chain, leaf first, and its private key
    ClientCertificates clients = ClientCertificates::kNone;
    std::vector<std::string> protocols = {"http/1.1"}; // ALPN, in order of preference
    TicketStore* tickets = nullptr;                    // must outlive the context
};

class TlsContext {
  public:
    explicit TlsContext(const TlsOptions& options); // throws TlsError
    ~TlsContext();
    TlsContext(const TlsContext&) = delete;
    TlsContext& operator=(const TlsContext&) = delete;

  private:
    friend class TlsSession;
    ssl_ctx_st* context_;
    TlsOptions options_;
    std::string alpn_;
};

class TlsSession {
  public:
    explicit TlsSession(std::shared_ptr<const TlsContext> context);
    ~TlsSession();
    TlsSession(const TlsSession&) = delete;
    TlsSession& operator=(const TlsSession&) = delete;

    std::size_t feed(std::string_view ciphertext); // consumes as much as there is room for
    bool room() const;                             // for more input
    void advance_handshake();                      // as far as the received input allows
    bool handshake_done() const { return handshake_done_; }
    bool closed() const { return closed_; } // failed, or the peer sent close_notify
    std::size_t read(char* into, std::size_t max_bytes);
    bool write(std::string_view plaintext);
    void finish();             // sends close_notify
    std::string take_output(); // bytes to be sent to the peer

    std::vector<std::string> peer_chain() const; // DER, leaf first
    std::string protocol() const;                // by ALPN; empty if the client offered none
    bool resumed() const;

  private:
    void fail();
    std::shared_ptr<const TlsContext> context_;
    ssl_st* session_;
    bio_st *in_, *out_; // owned by session_
    bool handshake_done_ = false, closed_ = false;
};

} // namespace ivyrill::transport
