// Keeps the latest reports of the other front nodes for a limited time and aggregates them: observations of
// each site and the demand of the whole fleet. Without any peer, a front node keeps the last known number of
// front nodes and scales its own demand by it. Free of I/O.
#pragma once
#include "recovery/site_monitor.hpp"
#include "recovery/site_report.hpp"

namespace ivyrill::recovery {

struct PeerReportsOptions {
    std::string name;
    SiteName home_site;
    Ticks report_interval = kTicksPerSecond; // between two reports of one front node
    int configured_nodes = 1;                // number of front nodes by the settings
};

class PeerReports {
  public:
    explicit PeerReports(PeerReportsOptions options) : options_(std::move(options)) {}

    void receive_report(Ticks now, SiteReport report);
    // The other members that are present; reports of all others are dropped.
    void set_peers(Ticks now, const std::set<std::string>& names);
    // False where the override has expired or is not newer than the one in force.
    bool apply_override(Ticks wall, const SiteOverride& site_override);

    std::map<SiteName, PeerObservations> observations(Ticks now) const;
    // Demand of the fleet: `own` plus the mean of the reported demands times the number of other front nodes.
    Demand demand(Ticks now, const Demand& own) const;
    double answer_rate(Ticks now, double own) const;
    std::map<SiteName, double> origins(Ticks now) const; // share of the front nodes at each site
    // Number of front nodes including this one: present now, or last known.
    int node_count() const { return node_count_; }
    bool alone() const { return peers_.empty(); }
    std::size_t fresh_reports(Ticks now) const; // number of recent reports
    const SiteOverride* override_for(const SiteName& site, Ticks wall) const;
    std::vector<SiteOverride> overrides(Ticks wall) const; // those to forward
    struct ReceivedReport {
        SiteReport report;
        Ticks received_at = 0;
    };
    const std::map<std::string, ReceivedReport>& latest() const { return reports_; }

  private:
    bool is_fresh(const ReceivedReport& received, Ticks now, int intervals) const {
        return now <= received.received_at + intervals * options_.report_interval;
    }

    static constexpr int kObservationLifetime = 2, kDemandLifetime = 20; // report intervals
    static constexpr std::size_t kMaxReports = 512, kMaxOverrides = 64;
    static constexpr Ticks kOverrideReleaseLifetime =
        3600 * kTicksPerSecond; // so that the release of an override reaches every front node

    PeerReportsOptions options_;
    std::map<std::string, ReceivedReport> reports_;
    std::set<std::string> peers_;
    std::map<SiteName, SiteOverride> overrides_;
    int node_count_ = 1;
    bool had_peers_ = false; // at any time
};

} // namespace ivyrill::recovery
