// A blocking client for tests and measurements: HTTP/1.1 over TCP or TLS, one request at a time. Waits throw
// after the timeout.
#pragma once
#include "protocol/http.hpp"

#include <memory>
#include <string>
#include <string_view>

struct ssl_ctx_st;
struct ssl_st;

namespace ivyrill::lab {

struct ClientTlsOptions {         // accepts any server certificate
    std::string certificate, key; // PEM, leaf first; empty: no client certificate
    bool old_version = false;     // TLS 1.2
    std::string protocols;        // ALPN list in wire format
};

class Client {
  public:
    Client(const std::string& address, int timeout_ms = 20'000);
    Client(const std::string& address, const ClientTlsOptions& tls, int timeout_ms = 20'000);
    ~Client();
    Client(Client&& other) noexcept;
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    void send_bytes(std::string_view bytes);
    std::string receive_bytes();     // reads available bytes; empty at the end of the stream
    protocol::HttpMessage answer();  // throws if the connection ends first
    bool closed_by_peer();           // waits for the peer to close; false if it sends data
    std::string peer_serial() const; // serial of the server certificate, lower-case hex
    std::string protocol() const;    // protocol negotiated by ALPN
    bool renegotiate();              // requests TLS 1.2 renegotiation; whether it succeeded
    int descriptor() const { return descriptor_; }

  private:
    bool await(short what) const; // false after the timeout
    int descriptor_ = -1, timeout_ms_;
    ssl_ctx_st* context_ = nullptr;
    ssl_st* session_ = nullptr;
};

} // namespace ivyrill::lab
