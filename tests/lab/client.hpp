// A blocking client for tests and measurements: HTTP/1.1 over TCP or TLS, one request at a time. Every wait
// ends with what it waits for or throws.
#pragma once
#include "protocol/http.hpp"

#include <memory>
#include <string>
#include <string_view>

struct ssl_ctx_st;
struct ssl_st;

namespace ivyrill::lab {

struct TlsWish { // of a client; it takes any server certificate, as stand-ins' names mean nothing
    std::string certificate, key; // PEM, a chain with the leaf first; empty: none is shown
    bool old_version = false;     // TLS 1.2
    std::string protocols;        // of ALPN, in its wire form
};

class Client {
  public:
    Client(const std::string& address, int patience_ms = 20'000);
    Client(const std::string& address, const TlsWish& tls, int patience_ms = 20'000);
    ~Client();
    Client(Client&& other) noexcept;
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    void say(std::string_view bytes);
    std::string hear();              // what is there; empty at the end
    protocol::HttpMessage answer();  // throws where the connection ends first
    bool ends();                     // waits for the other side to close; false where something comes
    std::string peer_serial() const; // of the server's certificate, hexadecimal, lower case
    std::string protocol() const;    // that ALPN chose
    bool renegotiate();              // asks for it, with TLS 1.2; whether the server went along
    int descriptor() const { return descriptor_; }

  private:
    bool await(short what) const; // false where nothing came in time
    int descriptor_ = -1, patience_ms_;
    ssl_ctx_st* context_ = nullptr;
    ssl_st* session_ = nullptr;
};

} // namespace ivyrill::lab
