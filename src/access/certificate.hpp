// Client certificates: the chain that a peer showed, judged against the operator's authorities, CRLs (RFC
// 5280) and rules that map names to callers. The TLS layer has proven that the peer holds the leaf's key and
// no more; all else is decided here, at the time handed in, as often as asked.
#pragma once
#include "access/types.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::access {

struct Chain { // DER, the leaf first, as it was shown
    std::vector<std::string> certificates;
    friend bool operator==(const Chain&, const Chain&) = default;
};

// A subject alternative name and who bears it: a URI (`spiffe://` among them) or a DNS name. A pattern that
// ends in * stands for all that begin so; `{rest}` in the member's name is what the * stood for.
struct NameRule {
    std::string uri, dns; // one of the two
    std::string club, member;
    Rights rights;
    std::vector<std::string> owned;
};

struct LeafNames {
    std::vector<std::string> uris, dns;
    std::string serial; // hexadecimal, lower case, no leading zeros
    Tenths not_after = 0;
};
LeafNames read_leaf(const Chain& chain); // throws AccessError

// Who the names stand for; kNoRight where no rule knows them, kMalformed where there are none or two callers.
struct MappedCaller {
    Reason reason = Reason::kNoRight;
    Caller caller;
};
MappedCaller map_names(const LeafNames& names, const std::vector<NameRule>& rules);

class Authorities {
  public:
    // PEM files. Throws AccessError: nothing in it, a CRL of no authority here, one that is out of date by
    // more than `grace` already, or one older than that which it would replace.
    static std::shared_ptr<const Authorities> read(const std::vector<NamedText>& certificates,
                                                   const std::vector<NamedText>& crls, Tenths now,
                                                   Tenths grace, const Authorities* before);
    // kAdmitted where the chain leads to an authority and nothing in it is revoked.
    Reason verify(const Chain& chain, Tenths now) const;
    // When a CRL runs out, with its grace: after it, nobody whom its authority signed is let in.
    Tenths next_change(Tenths after) const;
    std::size_t certificates() const;
    std::size_t crls() const;

  private:
    struct Held;
    std::shared_ptr<const Held> held_;
};

inline constexpr std::size_t kMaxChainCertificates = 4;    // certificates that a peer may show
inline constexpr std::size_t kMaxCertificateBytes = 16384; // bytes of one

} // namespace ivyrill::access
