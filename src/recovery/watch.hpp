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

struct WatchTerms {
    SiteName own;
    Tenths due = 0;          // the shortest due span
    Tenths warm_up_time = 0; // of a server that started anew
};

// What front nodes of other sites said of one site of late.
struct Hearsay {
    int reach = 0, miss = 0; // they have answers from it; they have none and tried
    bool returning = false;  // one of them gives it load again
};

struct SiteChange {
    SiteName site;
    SiteState from = SiteState::kSound, to = SiteState::kSound;
    std::string evidence;
};

struct SiteView {
    SiteState state = SiteState::kSound;
    Tenths since = 0;
    int servers = 0, well = 0, mute = 0, gone = 0; // as last looked at
    int relapses = 0;
    Tenths may_return = 0; // when steps may begin
    int step = 0;          // of the return, from 0
    Tenths step_since = 0;
    std::string evidence;
};

class Watch {
  public:
    explicit Watch(WatchTerms terms) : terms_(std::move(terms)) {}

    void list(Tenths now, const std::map<std::string, ServerSeen>& servers);
    void heard(Tenths now, const Tally& tally);
    // Servers that are sent out for work on purpose count neither way.
    void away_by_plan(std::set<std::string> names) { planned_ = std::move(names); }
    std::vector<SiteChange> look(Tenths now, const std::map<SiteName, Hearsay>& others);

    const std::map<SiteName, SiteView>& sites() const { return sites_; }
    SiteState state(const SiteName& site) const;
    // Share of the choices that a site's servers take part in: 1 as ever.
    double share(const SiteName& site, Tenths now) const;
    bool mute(const std::string& server, Tenths now) const;
    Tenths next(Tenths now) const { return now + terms_.due / 8; }
    const WatchTerms& terms() const { return terms_; }

    static constexpr int kSteps = 4; // 1/8, 1/4, 1/2, all

  private:
    struct Server {
        ServerSeen seen;
        bool known_gone = false; // it left the list without having been seen to drain
        Tenths gone_at = 0, listed_at = 0, answered_at = 0, silent_since = 0;
        std::uint32_t unheard = 0; // attempts without a word since its last
    };
    struct Site { // what came from it, beside its view
        Tenths answered_at = 0, run_since = 0;
        std::uint32_t run = 0;           // unheard since anything of it last answered
        std::set<std::string> run_over;  // of so many servers
        std::uint32_t good = 0, bad = 0; // since its step began
        Tenths sound_since = 0;
    };
    Tenths silence() const { return share_of_due(kSilence); }
    Tenths share_of_due(double share) const {
        return static_cast<Tenths>(static_cast<double>(terms_.due) * share);
    }
    Tenths step_span() const;
    Tenths wait_after(int relapses) const;
    bool shows_life(const SiteName& name, const SiteView& view, const Hearsay& others) const;
    void count(Tenths now);
    void judge(Tenths now, const SiteName& name, SiteView& view, const Hearsay& others,
               std::vector<SiteChange>& changes);
    void enter(Tenths now, const SiteName& name, SiteView& view, SiteState to, std::string why,
               std::vector<SiteChange>& changes);

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

    WatchTerms terms_;
    std::map<std::string, Server> servers_;
    std::map<SiteName, SiteView> sites_;
    std::map<SiteName, Site> kept_;
    std::set<std::string> planned_;
};

} // namespace ivyrill::recovery
