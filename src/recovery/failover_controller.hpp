// Failover between sites, as run by one front node; free of I/O. Inputs: the front node's traffic counts, the
// server list, the reports of other front nodes, operators' overrides and the time. Outputs: reports to other
// front nodes, policies for the search scheduler and log lines. It runs periodically beside the searches,
// which never wait for it.
//
// Without peers it relies on its own traffic and on the last known number of front nodes. No input can add an
// attempt anywhere, because policies only restrict (failover_policy.hpp).
#pragma once
#include "base/pcg.hpp"
#include "recovery/capacity_estimator.hpp"
#include "recovery/peer_reports.hpp"
#include "recovery/plan.hpp"
#include "search_scheduler.hpp"

#include <nlohmann/json.hpp>

#include <variant>

namespace ivyrill::recovery {

struct FailoverOptions {
    std::string name;
    SiteName home_site;
    std::uint64_t seed = 0;
    std::vector<std::string> request_classes, tenants, zones; // in the search scheduler's order
    std::map<std::string, RequestClassInfo> request_class_info;
    std::map<std::string, double> quotas;
    Ticks latency_target = 0; // the shortest of all request classes
    Ticks warm_up_time = 0;   // after a server's start
    double cold_capacity_ratio = 1;
    Ticks max_retry_after = 0;
    int configured_nodes = 1;
    int shards = 1;
    Ticks report_interval = kTicksPerSecond; // between two reports
    int report_fanout = 3;                   // peers that each report is sent to
    double configured_capacity = 0;          // parts per second of a warm server of weight 1; 0: estimated
    double headroom = 0.9;
    std::map<std::pair<SiteName, SiteName>, double> costs, links;
};

struct OutgoingReport {
    std::string to, bytes; // `to`: a member's name
};
struct SiteLogLine {
    bool is_error = false;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};
using FailoverEffect = std::variant<OutgoingReport, FailoverPolicyUpdate, SiteLogLine>;

struct FailoverCounts {
    std::uint64_t reports_sent = 0, reports_received = 0, malformed = 0, plans = 0, policy_updates = 0,
                  transitions = 0;
};

class FailoverController {
  public:
    FailoverController(FailoverOptions options, Ticks now);

    void update_servers(Ticks now, const std::map<std::string, ListedServer>& servers);
    void add_counts(Ticks now, const TrafficCounts& counts);
    void receive_report(Ticks now, std::string_view bytes); // the sender must be a member
    void set_peers(Ticks now, const std::set<std::string>& peers);
    void set_planned_absences(const std::set<std::string>& servers);
    // Returns why the override was refused, or an empty text.
    std::string apply_override(const SiteOverride& site_override);
    void step(Ticks now, Ticks wall);
    Ticks next_step() const { return std::min(next_check_, next_report_); }
    std::vector<FailoverEffect> take_effects() { return std::exchange(effects_, {}); }

    // Answers an operator's query; `verb` is show, plan or explain.
    nlohmann::json answer_query(const nlohmann::json& query);
    const SiteMonitor& monitor() const { return monitor_; }
    const PeerReports& peer_reports() const { return peer_reports_; }
    const CapacityEstimator& capacity() const { return capacity_; }
    const FailoverCounts& counts() const { return counts_; }
    const FailoverPolicyUpdate& policy() const { return policy_; }
    // An unavailable site or an empty name; maintenance must not take machines out of service meanwhile.
    SiteName lost_site() const;
    PlanInput plan_input() const;

  private:
    void update_estimates();
    void send_reports();
    void refresh_plan();
    FailoverPolicyUpdate policy_for(const Plan& plan) const;
    double site_share(const SiteName& site) const;
    double available_share(const std::string& name, const ListedServer& server) const;
    std::set<SiteName> unavailable_sites() const;
    void log_line(std::string event, std::vector<std::pair<std::string, std::string>> fields,
                  bool is_error = false);

    // Intervals are in latency targets.
    static constexpr double kCheckInterval = 1.0 / 8;
    static constexpr double kReplanInterval = 2; // for an unchanged set of sites
    static constexpr double kLoadLineInterval = 2;
    static constexpr double kRateWeight = 0.2; // of one check in the moving averages of rates
    static constexpr double kShardRateWeight = 0.002;
    static constexpr double kBudgetCutUtilization =
        0.8; // from here on the budget of further attempts shrinks
    static constexpr double kSilentServerShare = 0.5;
    // The shard shares measured over kShardSampleSeconds of demand are blended with kShardPriorParts per
    // shard.
    static constexpr double kShardSampleSeconds = 10, kShardPriorParts = 10;
    static constexpr double kMinChange = 0.02; // smaller changes don't update the policy

    FailoverOptions options_;
    Ticks now_, wall_ = 0;
    Pcg rng_;
    SiteMonitor monitor_;
    PeerReports peer_reports_;
    CapacityEstimator capacity_;
    std::map<std::string, ListedServer> servers_;
    TrafficCounts since_check_;
    Demand own_demand_;
    std::map<int, double> own_shard_rates_;                     // parts per second
    double own_answer_rate_ = 0;                                // answered parts per second
    std::map<SiteName, std::pair<Ticks, Ticks>> site_activity_; // last answered, last unanswered
    std::set<std::string> peers_;
    Ticks next_check_, next_report_, last_check_, next_load_line_ = 0;
    std::uint64_t report_serial_ = 0;
    Plan plan_;
    std::map<SiteName, double> planned_shares_; // for which plan_ was made
    Ticks next_plan_ = 0;
    FailoverPolicyUpdate policy_;
    bool active_ = false;
    TrafficCounts since_line_;
    std::vector<FailoverEffect> effects_;
    FailoverCounts counts_;
};

// Whether all values of two policies differ by less than `step`.
bool nearly_equal(const FailoverPolicyUpdate& a, const FailoverPolicyUpdate& b, double step);

} // namespace ivyrill::recovery
