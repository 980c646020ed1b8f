// State machine of each site as seen by this front node. Inputs: its own traffic (answered and unanswered
// attempts and probes), discovery (servers that disappear without a planned absence) and the reports of front
// nodes of other sites. Free of I/O and randomness: equal inputs give equal states. Each transition carries a
// text with its evidence.
//
// A failed rack is not a lost site: nearly all servers must be silent and none may answer. A site that other
// front nodes still reach is partitioned, not lost. A short silence is not enough for a transition. The
// return delay doubles each time a site fails again while its traffic is raised.
#pragma once
#include "recovery/types.hpp"

#include <functional>

namespace ivyrill::recovery {

struct SiteMonitorOptions {
    SiteName home_site;
    Ticks latency_target = 0; // the shortest of all request classes
    Ticks warm_up_time = 0;   // after a server's start
};

// What front nodes of other sites recently reported about one site.
struct PeerObservations {
    int reached = 0, unreached = 0; // front nodes with answers from it; with attempts but no answers
    bool ramping_up = false;        // one of them is raising its share of the traffic
};

struct SiteTransition {
    SiteName site;
    SiteState from = SiteState::kHealthy, to = SiteState::kHealthy;
    std::string evidence;
};

struct SiteStatus {
    SiteState state = SiteState::kHealthy;
    Ticks state_since = 0;
    int servers = 0, answering = 0, silent = 0, missing = 0; // at the last check
    int relapses = 0;
    Ticks ramp_allowed_at = 0; // end of the return delay
    int ramp_step = 0;         // from 0 to kReturnSteps - 1
    Ticks ramp_step_since = 0;
    std::string evidence;
};

class SiteMonitor {
  public:
    explicit SiteMonitor(SiteMonitorOptions options) : options_(std::move(options)) {}

    void update_servers(Ticks now, const std::map<std::string, ListedServer>& servers);
    void add_counts(Ticks now, const TrafficCounts& traffic);
    // Servers under maintenance are ignored.
    void set_planned_absences(std::set<std::string> names) { planned_absences_ = std::move(names); }
    std::vector<SiteTransition> evaluate(Ticks now, const std::map<SiteName, PeerObservations>& peers);

    const std::map<SiteName, SiteStatus>& sites() const { return sites_; }
    SiteState state(const SiteName& site) const;
    // Share of the replica selections in which the site's servers take part.
    double traffic_share(const SiteName& site, Ticks now) const;
    bool is_silent(const std::string& server, Ticks now) const;
    Ticks next_check(Ticks now) const { return now + options_.latency_target / 8; }
    const SiteMonitorOptions& options() const { return options_; }

    static constexpr int kReturnSteps = 4; // shares 1/8, 1/4, 1/2, 1

  private:
    struct Server {
        ListedServer listed;
        bool missing = false; // left the list without having drained
        Ticks missing_since = 0, listed_since = 0, answered_at = 0, last_counted_launch = 0;
        std::uint32_t unanswered = 0; // attempts since its last answer
    };
    struct SiteActivity {
        Ticks answered_at = 0, run_began_at = 0;
        std::uint32_t consecutive_unanswered = 0; // since the last answer of any of its servers
        std::set<std::string> run_servers;        // servers of these attempts
        std::uint32_t good = 0, bad = 0;          // since the last state or step change
        Ticks healthy_since = 0;
    };
    Ticks silence_threshold() const { return fraction_of_target(kSilenceThreshold); }
    Ticks fraction_of_target(double share) const {
        return static_cast<Ticks>(static_cast<double>(options_.latency_target) * share);
    }
    Ticks min_step_duration() const;
    Ticks return_delay(int relapses) const;
    bool shows_activity(const SiteName& name, const SiteStatus& status, const PeerObservations& peers) const;
    void count_servers(Ticks now);
    void update_state(Ticks now, const SiteName& name, SiteStatus& status, const PeerObservations& peers,
                      std::vector<SiteTransition>& transitions);
    void change_state(Ticks now, const SiteName& name, SiteStatus& status, SiteState to, std::string evidence,
                      std::vector<SiteTransition>& transitions);

    // Times are in latency targets unless stated otherwise.
    static constexpr double kSilenceThreshold = 0.35; // without an answer until a server counts as silent
    static constexpr double kDegradedSettleTime = 4;  // without failures until a degraded site is healthy
    static constexpr double kTrialInterval = 4;       // between trial attempts at a lost site
    static constexpr double kReturnDelay = 0.5;       // before the first step; doubled for each relapse
    static constexpr double kRelapseMemory = 60;      // healthy for so long, relapses are reset
    static constexpr double kMissingServerMemory = 120;
    static constexpr int kMaxRelapses = 5;
    static constexpr double kDegradedShare = 0.5, kLostShare = 0.8; // of a site's servers
    static constexpr std::uint32_t kDegradedRun = 4,
                                   kLostRun = 8;    // consecutive unanswered attempts at the site
    static constexpr std::size_t kRunServers = 4;   // the least number of servers in such a run
    static constexpr double kTrialShare = 1.0 / 16; // of replica selections
    static constexpr double kHoldStepShare = 0.1,
                            kStepBackShare = 0.3; // of unanswered attempts
    static constexpr std::uint32_t kStepSamples = 8;
    static constexpr double kStepShareOfColdSpan = 1.0 / 12; // least length of a step

    SiteMonitorOptions options_;
    std::map<std::string, Server> servers_;
    std::map<SiteName, SiteStatus> sites_;
    std::map<SiteName, SiteActivity> activity_;
    std::set<std::string> planned_absences_;
};

} // namespace ivyrill::recovery
