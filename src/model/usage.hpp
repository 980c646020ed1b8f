// How many requests began to run, by tenant, as one proxy process counts them.
#pragma once
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace ivyrill::model {

struct TenantCount {
    std::string tenant;
    std::int64_t count = 0; // since the window's start
    template <class Self> static auto tie(Self& s) { return std::tie(s.tenant, s.count); }
    friend bool operator==(const TenantCount&, const TenantCount&) = default;
};

// Of one process and window, whole counts: what comes twice counts once, and of two counts of a tenant the
// higher one is newer. Tenants whose count stayed as it was told before may be left out.
struct ProcessUsage {
    std::uint64_t process = 0; // drawn when the process starts
    std::int64_t window = 0;   // number k starts k windows after the start of 1970
    std::vector<TenantCount> counts;
    std::int64_t total = 0;            // of all tenants, also of those left out
    std::int64_t counted_until_ms = 0; // the fleet's time up to which this process has counted
    bool ended = false;                // it counts no more
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.process, s.window, s.counts, s.total, s.counted_until_ms, s.ended);
    }
    friend bool operator==(const ProcessUsage&, const ProcessUsage&) = default;
};

} // namespace ivyrill::model
