// Test fixture: a front node process with an operator file, simulated index servers, a certificate authority
// and a key folder. Everything runs on loopback and in a temporary folder, which the destructor removes.
#pragma once
#include "access/authorizer.hpp"
#include "lab/client.hpp"
#include "lab/pki.hpp"
#include "lab/simulated_servers.hpp"
#include "protocol/messages.hpp"

#include <string>
#include <sys/types.h>
#include <vector>

namespace ivyrill::lab {

class FrontNodeFixture {
  public:
    struct Plan {
        int servers = 2;
        Idempotency idempotency = Idempotency::kIdempotent; // of `annotate`; `find` is idempotent
        bool access_controlled = true;                      // false: no operator file
        std::string more;                                   // lines appended to the operator file
        std::int64_t sockets = 512;
    };
    explicit FrontNodeFixture(const Plan& plan);
    ~FrontNodeFixture();
    FrontNodeFixture(const FrontNodeFixture&) = delete;
    FrontNodeFixture& operator=(const FrontNodeFixture&) = delete;

    // Addresses of the listeners: plain, TLS with tokens, TLS with optional client certificates.
    const std::string& plain_address() const { return addresses_.at(0); }
    const std::string& tls_address() const { return addresses_.at(1); }
    const std::string& client_certificate_address() const { return addresses_.at(2); }
    // Cleartext HTTP/2 with prior knowledge, without access control.
    const std::string& h2_address() const { return addresses_.at(3); }
    const std::string& access_controlled_h2_address() const { return addresses_.at(4); }

    std::string token(const std::string& member, const access::Key& key,
                      Ticks lifetime = 600 * kTicksPerSecond, std::vector<std::string> owned_keys = {"g1"},
                      bool write = true) const;
    const access::Key& key() const { return keys_.back(); } // the newest
    const std::vector<access::Key>& keys() const { return keys_; }
    // Creates a signing key that is active at once and retires the earlier ones; they expire after `overlap`.
    void rotate(const std::string& name, access::Algorithm algorithm, Ticks overlap);
    void write_key(const access::Key& key) const;
    IssuedCertificate issue(const std::string& member, Ticks lifetime = 3600 * kTicksPerSecond) const;
    void renew_server(); // replaces the server certificate and key
    std::string server_serial() const { return server_.serial; }
    void revoke_serials(std::vector<std::string> serials); // adds them to the CRL
    void revoke_member(const std::string& member, Ticks since);
    // Writes a file of the folder atomically.
    void write(const std::string& name, const std::string& text) const;
    std::string folder() const { return folder_; }

    void signal(int number) const;
    bool running() const;
    int exit_status(); // waits until the process ends
    // Waits until the audit log has this many lines that contain `text`; false after the timeout.
    bool await_audit(const std::string& text, std::size_t lines = 1, int timeout_ms = 20'000) const;
    std::size_t count_audit_lines(const std::string& text) const;
    std::uint64_t cpu_us() const;    // CPU time that the front node has used
    std::uint64_t memory_kb() const; // resident memory of the front node

    SimulatedServers fleet;
    CertificateAuthority root;

  private:
    std::string folder_;
    std::vector<std::string> addresses_;
    std::vector<access::Key> keys_;
    std::vector<std::string> revoked_;
    access::Revocations revocations_;
    IssuedCertificate server_;
    Ticks last_crl_at_;
    pid_t node_ = -1;
};

struct SearchRequest { // a search with one part
    std::string id, request_class = "find", key = {}, token = {}, tenant = {};
    int shard = 0;
    int left_ms = 2000;
    std::string query = "text";
};
std::string search_bytes(const SearchRequest& request);

} // namespace ivyrill::lab
