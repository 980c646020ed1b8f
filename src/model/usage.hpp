// Number of requests that began to run, by tenant, as counted by one proxy process.
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

// Cumulative counts of one process and window: duplicates count once, and of two counts of a tenant the
// higher one is newer. Tenants whose count has not changed since the last message may be left out.
struct ProcessUsage {
    std::uint64_t process = 0; // random, drawn when the process starts
    std::int64_t window = 0;   // window k starts k window lengths after the Unix epoch
    std::vector<TenantCount> counts;
    std::int64_t total = 0;            // of all tenants, including those left out
    std::int64_t counted_until_ms = 0; // fleet time up to which this process has counted
    bool ended = false;                // the process has stopped counting
    template <class Self> static auto tie(Self& s) {
        return std::tie(s.process, s.window, s.counts, s.total, s.counted_until_ms, s.ended);
    }
    friend bool operator==(const ProcessUsage&, const ProcessUsage&) = default;
};

} // namespace ivyrill::model
