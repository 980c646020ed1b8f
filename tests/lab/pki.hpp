// A certificate authority for stand-ins, tests and measurements: it issues what they need, good and bad.
// Not for service: its keys live as long as the object. Times are tenths since 1970.
#pragma once
#include "base/time.hpp"

#include <memory>
#include <string>
#include <vector>

struct evp_pkey_st;
struct x509_st;

namespace ivyrill::lab {

struct Wish { // of a certificate
    std::string name = "someone";
    std::vector<std::string> uris, dns;
    Ticks from = 0, until = 0;
    bool authority = false;
};
struct Issued {                           // PEM; the chain has the leaf first
    std::string certificate, key, serial; // the latter hexadecimal, lower case
    std::string der;
};

class Authority {
  public:
    Authority(const std::string& name, Ticks from, Ticks until); // a root
    Issued issue(const Wish& wish) const;
    Authority below(const std::string& name, Ticks from, Ticks until) const; // an intermediate
    std::string certificate() const;                                         // PEM
    std::string der() const;
    std::string crl(const std::vector<std::string>& serials, Ticks from, Ticks until) const; // PEM

  private:
    Authority() = default;
    std::shared_ptr<evp_pkey_st> key_;
    std::shared_ptr<x509_st> certificate_;
};

} // namespace ivyrill::lab
