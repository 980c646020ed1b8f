// The state machine of each site, as this front node sees it: from its own traffic (attempts and probes that
// are answered or not), from discovery (servers gone that nobody sent out), and from what front nodes of
// other sites say. Free of I/O and of chance; the same news give the same states. Each change carries its
// evidence in words.
//
// A bad rack is no lost site: nearly all servers have to be silent, and none answer. A site that others still
// reach is severed, not lost. Nothing is lost by one moment's silence, and what came back and was lost again
// is waited for twice as long.
#pragma once
#include "recovery/types.hpp"

#include <functional>

namespace ivyrill::recovery {

struct SiteMonitorOptions {
    SiteName home_site;
    Tenths latency_target = 0; // the shortest due span
    Tenths cold_span = 0;      // of a server that started anew
};

// What front nodes of other sites said of one site of late.
struct PeerObservations {
    int reached = 0, unreached = 0; // they have answers from it; they have none and tried
    bool ramping_up = false;        // one of them gives it load again
};

struct SiteTransition {
    SiteName site;
    SiteState from = SiteState::kHealthy, to = SiteState::kHealthy;
    std::string evidence;
};

struct SiteStatus {
    SiteState state = SiteState::kHealthy;
    Tenths state_since = 0;
    int servers = 0, answering = 0, silent = 0, missing = 0; // as last looked at
    int relapses = 0;
    Tenths ramp_allowed_at = 0; // when steps may begin
    int ramp_step = 0;          // of the return, from 0
    Tenths ramp_step_since = 0;
    std::string evidence;
};

class SiteMonitor {
  public:
    explicit SiteMonitor(SiteMonitorOptions options) : options_(std::move(options)) {}

    void update_servers(Tenths now, const std::map<std::string, ListedServer>& servers);
    void add_counts(Tenths now, const TrafficCounts& tally);
    // Servers that are sent out for work on purpose count neither way.
    void set_planned_absences(std::set<std::string> names) { planned_absences_ = std::move(names); }
    std::vector<SiteTransition> evaluate(Tenths now, const std::map<SiteName, PeerObservations>& others);

    const std::map<SiteName, SiteStatus>& sites() const { return sites_; }
    SiteState state(const SiteName& site) const;
    // Share of the choices that a site's servers take part in: 1 as ever.
    double traffic_share(const SiteName& site, Tenths now) const;
    bool is_silent(const std::string& server, Tenths now) const;
    Tenths next_check(Tenths now) const { return now + options_.latency_target / 8; }
    const SiteMonitorOptions& options() const { return options_; }

    static constexpr int kReturnSteps = 4; // 1/8, 1/4, 1/2, all

  private:
    struct Server {
        ListedServer seen;
        bool missing = false; // it left the list without having been seen to drain
        Tenths missing_since = 0, listed_since = 0, answered_at = 0, last_counted_launch = 0;
        std::uint32_t unanswered = 0; // attempts without a word since its last
    };
    struct SiteActivity { // what came from it, beside its view
        Tenths answered_at = 0, run_began_at = 0;
        std::uint32_t consecutive_unanswered = 0; // unheard since anything of it last answered
        std::set<std::string> run_servers;        // of so many servers
        std::uint32_t good = 0, bad = 0;          // since its step began
        Tenths sound_since = 0;
    };
    Tenths silence_threshold() const { return fraction_of_target(kSilence); }
    Tenths fraction_of_target(double share) const {
        return static_cast<Tenths>(static_cast<double>(options_.latency_target) * share);
    }
    Tenths min_step_duration() const;
    Tenths return_delay(int relapses) const;
    bool shows_activity(const SiteName& name, const SiteStatus& view, const PeerObservations& others) const;
    void count_servers(Tenths now);
    void update_state(Tenths now, const SiteName& name, SiteStatus& view, const PeerObservations& others,
                      std::vector<SiteTransition>& changes);
    void change_state(Tenths now, const SiteName& name, SiteStatus& view, SiteState to, std::string why,
                      std::vector<SiteTransition>& changes);

    // Shares of a due span, unless said otherwise.
    static constexpr double kSilence = 0.35; // of silence until a server counts as mute
    static constexpr double kSettle = 4;     // of soundness until a doubt is over
    static constexpr double kKnock = 4;      // between two trials of a site that is lost
    static constexpr double kWait = 0.5;     // until the first step of a return; doubled for each relapse
    static constexpr double kForgive = 60;   // of soundness that makes relapses forgotten
    static constexpr double kGoneMemory = 120;
    static constexpr int kMostRelapses = 5;
    static constexpr double kDoubtShare = 0.5, kLostShare = 0.8; // of a site's servers
    static constexpr std::uint32_t kDoubtRun = 4,
                                   kLostRun = 8; // attempts unheard in a row, of all its servers
    static constexpr std::size_t kRunOver = 4;   // ... of so many servers, if it has them
    static constexpr double kTrial = 1.0 / 16;   // share of the choices
    static constexpr double kBadStep = 0.1,
                            kWorseStep = 0.3; // share unheard that holds a step; that takes one back
    static constexpr std::uint32_t kStepNews = 8;
    static constexpr double kStepOfCold = 1.0 / 12; // of the cold span, a step at the least

    SiteMonitorOptions options_;
    std::map<std::string, Server> servers_;
    std::map<SiteName, SiteStatus> sites_;
    std::map<SiteName, SiteActivity> activity_;
    std::set<std::string> planned_absences_;
};

} // namespace ivyrill::recovery
