// TLS 1.2 and 1.3 by OpenSSL over memory BIOs: bytes in, bytes out, no socket. A context is one certificate
// of ours with what is asked of clients; sessions keep theirs, so that a new certificate closes no
// connection. What a client's certificate is worth is not decided here: the handshake proves that the client
// holds its key, and the chain is handed on as it was shown.
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

class TlsError : public std::runtime_error { // a certificate or key that cannot be used
  public:
    using std::runtime_error::runtime_error;
};

enum class ClientCertificates { kNone, kOptional, kRequired };

struct TicketSecret {
    unsigned char name[16], cipher_key[32], mac_key[32];
};
class TicketStore { // the keys of session tickets; they change in service
  public:
    virtual ~TicketStore() = default;
    virtual const TicketSecret* encryption_key() = 0; // null: no ticket now
    virtual const TicketSecret* decryption_key(const unsigned char* name, bool& renew) = 0;
};

struct TlsOptions {
    std::string certificate, key; // PEM: our chain, the leaf first, and its private key
    ClientCertificates clients = ClientCertificates::kNone;
    std::vector<std::string> protocols = {"http/1.1"}; // of ALPN, the preferred one first
    TicketStore* tickets = nullptr;                    // must outlive the context
};

class TlsContext {
  public:
    explicit TlsContext(const TlsOptions& terms); // throws TlsError
    ~TlsContext();
    TlsContext(const TlsContext&) = delete;
    TlsContext& operator=(const TlsContext&) = delete;

  private:
    friend class TlsSession;
    ssl_ctx_st* context_;
    TlsOptions terms_;
    std::string alpn_;
};

class TlsSession { // of a server
  public:
    explicit TlsSession(std::shared_ptr<const TlsContext> context);
    ~TlsSession();
    TlsSession(const TlsSession&) = delete;
    TlsSession& operator=(const TlsSession&) = delete;

    std::size_t feed(std::string_view sealed); // takes what there is room for
    bool room() const;                         // for more
    void advance_handshake();                  // as far as what came allows
    bool handshake_done() const { return handshake_done_; }
    bool closed() const { return closed_; } // failed, or the peer has said its last word
    std::size_t read(char* into, std::size_t most);
    bool write(std::string_view plain);
    void finish();             // our last word
    std::string take_output(); // what must go to the peer

    std::vector<std::string> peer_chain() const; // DER, the leaf first
    std::string protocol() const;                // by ALPN; empty: none was asked for
    bool resumed() const;

  private:
    void fail();
    std::shared_ptr<const TlsContext> context_;
    ssl_st* session_;
    bio_st *in_, *out_; // belong to the session
    bool handshake_done_ = false, closed_ = false;
};

} // namespace ivyrill::transport
