// A front node with an operator's file, round it a fleet of stand-ins, an authority and a key folder: what
// tests and the measurement of access play in. Everything is on loopback and in a folder of its own, which
// goes with it.
#pragma once
#include "access/authorizer.hpp"
#include "lab/client.hpp"
#include "lab/fleet.hpp"
#include "lab/pki.hpp"
#include "protocol/messages.hpp"

#include <string>
#include <sys/types.h>
#include <vector>

namespace ivyrill::lab {

class FrontNodeFixture {
  public:
    struct Plan {
        int servers = 2;
        Idempotency idempotency = Idempotency::kIdempotent; // of `annotate`; `find` may run again
        bool access_controlled = true;                      // false: no operator's file
        std::string more;                                   // lines put behind the operator's file
        std::int64_t sockets = 512;
    };
    explicit FrontNodeFixture(const Plan& plan);
    ~FrontNodeFixture();
    FrontNodeFixture(const FrontNodeFixture&) = delete;
    FrontNodeFixture& operator=(const FrontNodeFixture&) = delete;

    // The listeners: the platform's plain one, TLS for tokens, TLS where a certificate may be shown.
    const std::string& plain_address() const { return addresses_.at(0); }
    const std::string& tls_address() const { return addresses_.at(1); }
    const std::string& client_certificate_address() const { return addresses_.at(2); }
    const std::string& h2_address() const {
        return addresses_.at(3);
    } // cleartext, prior knowledge, nobody is asked
    const std::string& access_controlled_h2_address() const { return addresses_.at(4); }

    std::string token(const std::string& member, const access::Key& key,
                      Ticks lifetime = 600 * kTicksPerSecond, std::vector<std::string> node = {"g1"},
                      bool write = true) const;
    const access::Key& key() const { return keys_.back(); } // the newest
    const std::vector<access::Key>& keys() const { return keys_; }
    // Makes a key, active at once, and lets those before it go out, gone after `overlap`.
    void rotate(const std::string& name, access::Algorithm algorithm, Ticks overlap);
    void write_key(const access::Key& key) const;
    Issued issue(const std::string& member, Ticks lifetime = 3600 * kTicksPerSecond) const;
    void renew_server(); // a fresh certificate of ours
    std::string server_serial() const { return server_.serial; }
    void revoke_serials(std::vector<std::string> serials); // by CRL
    void revoke_member(const std::string& member, Ticks since);
    void write(const std::string& name, const std::string& text) const; // a file of the folder, by renaming
    std::string folder() const { return folder_; }

    void signal(int number) const;
    bool running() const;
    int exit_status(); // waits for the end
    // Waits until the audit log holds so many lines with these words; false where it does not come to that.
    bool await_audit(const std::string& text, std::size_t lines = 1, int timeout_ms = 20'000) const;
    std::size_t count_audit_lines(const std::string& text) const;
    std::uint64_t cpu_us() const;    // that the front node has used
    std::uint64_t memory_kb() const; // that it holds

    Fleet fleet;
    Authority root;

  private:
    std::string folder_;
    std::vector<std::string> addresses_;
    std::vector<access::Key> keys_;
    std::vector<std::string> revoked_;
    access::Revocations revocations_;
    Issued server_;
    Ticks crl_made_;
    pid_t node_ = -1;
};

struct SearchRequest { // of one search, of one part
    std::string id, request_class = "find", key = {}, token = {}, tenant = {};
    int shard = 0;
    int left_ms = 2000;
    std::string query = "text";
};
std::string search_bytes(const SearchRequest& request);

} // namespace ivyrill::lab
