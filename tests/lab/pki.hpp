// A certificate authority for tests and measurements; it issues valid and invalid certificates. Not for
// production: its keys exist only in memory. Times are in units of 0.1 ms since 1970.
#pragma once
#include "base/time.hpp"

#include <memory>
#include <string>
#include <vector>

struct evp_pkey_st;
struct x509_st;

namespace ivyrill::lab {

struct CertificateRequest { // a certificate request
    std::string name = "someone";
    std::vector<std::string> uris, dns;
    Ticks from = 0, until = 0;
    bool authority = false;
};
struct IssuedCertificate {                // PEM, leaf first
    std::string certificate, key, serial; // serial: lower-case hex
    std::string der;
};

class CertificateAuthority {
  public:
    CertificateAuthority(const std::string& name, Ticks from, Ticks until); // a root
    IssuedCertificate issue(const CertificateRequest& wish) const;
    CertificateAuthority issue_intermediate(const std::string& name, Ticks from,
                                            Ticks until) const; // an intermediate
    std::string certificate() const;                            // PEM
    std::string der() const;
    std::string crl(const std::vector<std::string>& serials, Ticks from, Ticks until) const; // PEM

  private:
    CertificateAuthority() = default;
    std::shared_ptr<evp_pkey_st> key_;
    std::shared_ptr<x509_st> certificate_;
};

} // namespace ivyrill::lab
