// Reports on sites that front nodes exchange, encoded as CBOR (RFC 8949): the state of each site, the share
// of traffic sent to a site that ramps up, the front node's own demand, and the operators' overrides, which
// are forwarded. A report that cannot be decoded is dropped. Each front node sends only its own observations,
// to a few peers per interval, so the traffic per node does not grow with the fleet.
#pragma once
#include "recovery/types.hpp"

#include <string_view>

namespace ivyrill::recovery {

// An operator's override of a site's state. Of several for one site the one with the largest stamp is in
// force.
struct SiteOverride {
    enum class Kind { kNone, kLost, kKeptOut };
    SiteName site;
    Kind kind = Kind::kNone; // kNone: released
    std::uint64_t stamp = 0; // wall time at which it was issued, with random low digits
    Ticks until = 0;         // wall time of expiry
    std::string by, why;
    bool operator==(const SiteOverride&) const = default;
};
const char* name_of(SiteOverride::Kind kind);

struct SiteReport {
    struct Row {
        SiteName site;
        SiteState state = SiteState::kHealthy;
        bool answers = false, silent = false; // recent answers; recent attempts without an answer
        double share = 1;                     // of replica selections that include the site
    };
    std::string from;
    SiteName home_site;
    std::uint64_t serial = 0;
    std::vector<Row> rows;
    Demand demand;          // of the sender alone
    double answer_rate = 0; // parts per second answered to the sender
    std::vector<SiteOverride> overrides;
};

std::string encode_site_report(const SiteReport& report);
// Nothing where the bytes are malformed or exceed the bounds.
std::optional<SiteReport> decode_site_report(std::string_view bytes);

} // namespace ivyrill::recovery
