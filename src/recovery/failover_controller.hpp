// A front node's side of the plan for lost sites, in one object, free of I/O: what it counted, the list, the
// others' words, operators' orders and the time go in; words for others, relief for the decision module and
// lines for the log come out. No search waits for it: it works beside them, by looks.
//
// Without anybody to talk to it goes by its own traffic and by the number of front nodes that it last knew.
// Nothing that it hears can add an attempt anywhere: relief only takes away (relief.hpp).
#pragma once
#include "base/pcg.hpp"
#include "brain.hpp"
#include "recovery/capacity_estimator.hpp"
#include "recovery/peer_reports.hpp"
#include "recovery/plan.hpp"

#include <nlohmann/json.hpp>

#include <variant>

namespace ivyrill::recovery {

struct FailoverOptions {
    std::string name;
    SiteName home_site;
    std::uint64_t seed = 0;
    std::vector<std::string> request_classes, tenants, zones; // as the module numbers them
    std::map<std::string, RequestClassInfo> request_class_info;
    std::map<std::string, double> quotas;
    Tenths latency_target = 0; // the shortest due span
    Tenths cold_span = 0;      // of a server that started anew
    double cold_share = 1;
    Tenths longest_retry_after = 0;
    int configured_nodes = 1;
    int shards = 1;
    Tenths report_interval = kTenthsPerSecond; // between two words
    int report_fanout = 3;                     // others that each word goes to
    double configured_capacity = 0;            // parts a second of a warm server of power 1; 0: as learnt
    double headroom = 0.9;
    std::map<std::pair<SiteName, SiteName>, double> costs, links;
};

struct OutgoingReport {
    std::string to, bytes; // a member's name
};
struct SiteLogLine { // for the log
    bool loud = false;
    std::string what;
    std::vector<std::pair<std::string, std::string>> fields;
};
using FailoverEffect = std::variant<OutgoingReport, ReliefTold, SiteLogLine>;

struct FailoverCounts {
    std::uint64_t reports_sent = 0, reports_received = 0, malformed = 0, plans = 0, policy_updates = 0,
                  transitions = 0;
};

class FailoverController {
  public:
    FailoverController(FailoverOptions options, Tenths now);

    void update_servers(Tenths now, const std::map<std::string, ListedServer>& servers);
    void add_counts(Tenths now, const TrafficCounts& tally);
    void receive_report(Tenths now, std::string_view bytes); // of one that is a member
    void set_peers(Tenths now, const std::set<std::string>& others);
    void set_planned_absences(const std::set<std::string>& servers);
    // An operator's word; empty: taken, else why not.
    std::string apply_override(const SiteOverride& site_override);
    void step(Tenths now, Tenths wall);
    Tenths next_step() const { return std::min(next_check_, next_report_); }
    std::vector<FailoverEffect> take_effects() { return std::exchange(effects_, {}); }

    nlohmann::json answer_query(const nlohmann::json& query); // an operator's question: show, plan, explain
    const SiteMonitor& monitor() const { return monitor_; }
    const PeerReports& peer_reports() const { return peer_reports_; }
    const CapacityEstimator& capacity() const { return capacity_; }
    const FailoverCounts& counts() const { return counts_; }
    const ReliefTold& policy() const { return policy_; }
    SiteName lost_site() const; // one that is away, for whoever must not take machines out meanwhile
    PlanInput plan_input() const;

  private:
    void update_estimates();
    void send_reports();
    void refresh_plan();
    ReliefTold policy_for(const Plan& plan) const;
    double site_share(const SiteName& site) const;
    double available_share(const std::string& name, const ListedServer& server) const;
    std::set<SiteName> unavailable_sites() const;
    void log_line(std::string what, std::vector<std::pair<std::string, std::string>> fields,
                  bool loud = false);

    static constexpr double kCheckInterval = 1.0 / 8;    // of a due span
    static constexpr double kRateWeight = 0.2;           // of a look in the means of rates
    static constexpr double kBudgetCutUtilization = 0.8; // fullness from which further attempts become fewer
    static constexpr double kReplanInterval = 2;         // due spans between two plans for the same sites
    static constexpr double kSilentServerShare = 0.5,
                            kShardRateWeight = 0.002; // the latter: of a look in shards' shares
    static constexpr double kShardSampleSeconds = 10,
                            kShardPriorParts = 10; // of demand that tells of shards; parts for each
    static constexpr double kLoadLineInterval =
        2; // due spans between two lines of the load, while not all is sound
    static constexpr double kMinChange = 0.02; // what differs by less is not told anew

    FailoverOptions options_;
    Tenths now_, wall_ = 0;
    Pcg chance_;
    SiteMonitor monitor_;
    PeerReports peer_reports_;
    CapacityEstimator capacity_;
    std::map<std::string, ListedServer> servers_;
    TrafficCounts since_check_;
    Demand own_demand_;
    std::map<int, double> own_shard_rates_;                       // parts a second
    double own_answer_rate_ = 0;                                  // parts a second that were answered
    std::map<SiteName, std::pair<Tenths, Tenths>> site_activity_; // last answered, last unheard
    std::set<std::string> peers_;
    Tenths next_check_, next_report_, last_check_, next_load_line_ = 0;
    std::uint64_t report_serial_ = 0;
    Plan plan_;
    std::map<SiteName, double> planned_shares_; // shares then
    Tenths next_plan_ = 0;
    ReliefTold policy_;
    bool active_ = false;
    TrafficCounts since_line_;
    std::vector<FailoverEffect> effects_;
    FailoverCounts counts_;
};

bool nearly_equal(const ReliefTold& a, const ReliefTold& b, double step);

} // namespace ivyrill::recovery
