// What the other front nodes say: kept for as long as it is worth something, summed up as hearsay of sites
// and as the demand of the whole fleet. A front node that hears nobody falls back to the number that it last
// knew: it takes itself for one of so many. Free of I/O.
#pragma once
#include "recovery/site_monitor.hpp"
#include "recovery/site_report.hpp"

namespace ivyrill::recovery {

struct PeerReportsOptions {
    std::string name;
    SiteName home_site;
    Tenths report_interval = kTenthsPerSecond; // between two words of one front node
    int configured_nodes = 1;                  // by the settings
};

class PeerReports {
  public:
    explicit PeerReports(PeerReportsOptions options) : options_(std::move(options)) {}

    void receive_report(Tenths now, SiteReport report);
    // Members that are there, ourselves left out; and those that are surely gone.
    void set_peers(Tenths now, const std::set<std::string>& names);
    // False where it says nothing new.
    bool apply_override(Tenths wall, const SiteOverride& site_override);

    std::map<SiteName, PeerObservations> observations(Tenths now) const;
    // Of all front nodes: ours, and for the others the mean of what is heard, times their number.
    Demand demand(Tenths now, const Demand& own) const;
    double answer_rate(Tenths now, double own) const;
    std::map<SiteName, double> origins(Tenths now) const; // share of the front nodes at each site
    // Front nodes that are there, ourselves among them: heard of now, or last known.
    int node_count() const { return node_count_; }
    bool alone() const { return peers_.empty(); }
    std::size_t fresh_reports(Tenths now) const;
    const SiteOverride* override_for(const SiteName& site, Tenths wall) const;
    std::vector<SiteOverride> overrides(Tenths wall) const; // that are still told
    struct ReceivedReport {
        SiteReport report;
        Tenths received_at = 0;
    };
    const std::map<std::string, ReceivedReport>& latest() const { return reports_; }

  private:
    bool fresh(const ReceivedReport& other, Tenths now, int gaps) const {
        return now <= other.received_at + gaps * options_.report_interval;
    }

    static constexpr int kObservationLifetime = 2, kDemandLifetime = 20; // gaps
    static constexpr std::size_t kMaxReports = 512, kMaxOverrides = 64;
    static constexpr Tenths kReleaseLifetime =
        3600 * kTenthsPerSecond; // of a release, so that all hear of it

    PeerReportsOptions options_;
    std::map<std::string, ReceivedReport> reports_;
    std::set<std::string> peers_;
    std::map<SiteName, SiteOverride> overrides_;
    int node_count_ = 1;
    bool had_peers_ = false; // somebody, once
};

} // namespace ivyrill::recovery
