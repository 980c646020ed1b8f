// What front nodes tell each other of sites, as CBOR (RFC 8949) by nlohmann's library, and back: what each
// sees, what it takes of a site that comes back, what it is asked for, and operators' orders, which are
// passed on. Whatever cannot be read is nothing. Each tells of itself alone, a few others a gap, so traffic
// does not grow with the fleet.
#pragma once
#include "recovery/types.hpp"

#include <string_view>

namespace ivyrill::recovery {

struct SiteOverride { // the latest by its stamp holds, for a site
    enum class Kind { kNone, kLost, kKeptOut };
    SiteName site;
    Kind kind = Kind::kNone; // kNone: released
    std::uint64_t stamp = 0; // wall time at which it was given, and its giver's chance behind it
    Tenths until = 0;        // wall time
    std::string by, why;
    bool operator==(const SiteOverride&) const = default;
};
const char* name_of(SiteOverride::Kind kind);

struct SiteReport {
    struct Row {
        SiteName site;
        SiteState state = SiteState::kHealthy;
        bool answers = false, silent = false; // it answered us of late; it did not, and we tried
        double share = 1;                     // that we take of it
    };
    std::string from;
    SiteName home_site;
    std::uint64_t serial = 0;
    std::vector<Row> rows;
    Demand demand;          // of this front node alone
    double answer_rate = 0; // parts a second that it had answered
    std::vector<SiteOverride> overrides;
};

std::string encode_site_report(const SiteReport& report);
std::optional<SiteReport> decode_site_report(std::string_view bytes);

} // namespace ivyrill::recovery
