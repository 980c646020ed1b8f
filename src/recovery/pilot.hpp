// A front node's side of the plan for lost sites, in one object, free of I/O: what it counted, the list, the
// others' words, operators' orders and the time go in; words for others, relief for the decision module and
// lines for the log come out. No search waits for it: it works beside them, by looks.
//
// Without anybody to talk to it goes by its own traffic and by the number of front nodes that it last knew.
// Nothing that it hears can add an attempt anywhere: relief only takes away (relief.hpp).
#pragma once
#include "base/pcg.hpp"
#include "recovery/capacity.hpp"
#include "recovery/chorus.hpp"
#include "recovery/plan.hpp"
#include "search_scheduler.hpp"

#include <nlohmann/json.hpp>

#include <variant>

namespace ivyrill::recovery {

struct PilotTerms {
    std::string name;
    SiteName home;
    std::uint64_t seed = 0;
    std::vector<std::string> request_classes, tenants, zones; // as the module numbers them
    std::map<std::string, RequestClassFacts> facts;
    std::map<std::string, double> quotas;
    Tenths due = 0;          // the shortest due span
    Tenths warm_up_time = 0; // of a server that started anew
    double cold_capacity_ratio = 1;
    Tenths max_retry_after = 0;
    int stated_nodes = 1;
    int shards = 1;
    Tenths gap = kTenthsPerSecond; // between two words
    int told = 3;                  // others that each word goes to
    double stated_capacity = 0;    // parts a second of a warm server of power 1; 0: as learnt
    double headroom = 0.9;
    std::map<std::pair<SiteName, SiteName>, double> costs, links;
};

struct WordOut {
    std::string to, bytes; // a member's name
};
struct SiteLine { // for the log
    bool loud = false;
    std::string what;
    std::vector<std::pair<std::string, std::string>> fields;
};
using PilotEffect = std::variant<WordOut, SiteRecoveryPlan, SiteLine>;

struct PilotCounts {
    std::uint64_t words_out = 0, words_in = 0, spoilt = 0, plans = 0, reliefs = 0, changes = 0;
};

class Pilot {
  public:
    Pilot(PilotTerms terms, Tenths now);

    void list(Tenths now, const std::map<std::string, ServerSeen>& servers);
    void counted(Tenths now, const Tally& tally);
    void hear(Tenths now, std::string_view bytes); // of one that is a member
    void present(Tenths now, const std::set<std::string>& others);
    void away_by_plan(const std::set<std::string>& servers);
    // An operator's word; empty: taken, else why not.
    std::string order(const OperatorOrder& order);
    void step(Tenths now, Tenths wall);
    Tenths next() const { return std::min(look_at_, word_at_); }
    std::vector<PilotEffect> take_effects() { return std::exchange(effects_, {}); }

    nlohmann::json answer(const nlohmann::json& ask); // an operator's question: show, plan, explain
    const Watch& watch() const { return watch_; }
    const Chorus& chorus() const { return chorus_; }
    const Capacity& capacity() const { return capacity_; }
    const PilotCounts& counts() const { return counts_; }
    const SiteRecoveryPlan& relief() const { return relief_; }
    SiteName lost_site() const; // one that is away, for whoever must not take machines out meanwhile
    PlanTerms plan_terms() const;

  private:
    void learn();
    void tell();
    void plan();
    SiteRecoveryPlan relief_of(const Plan& plan) const;
    double share_now(const SiteName& site) const;
    double presence(const std::string& name, const ServerSeen& server) const;
    std::set<SiteName> away() const;
    void say(std::string what, std::vector<std::pair<std::string, std::string>> fields, bool loud = false);

    static constexpr double kLookGap = 1.0 / 8; // of a due span
    static constexpr double kRateWeight = 0.2;  // of a look in the means of rates
    static constexpr double kCutFrom = 0.8;     // fullness from which further attempts become fewer
    static constexpr double kPlanGap = 2;       // due spans between two plans for the same sites
    static constexpr double kMutePower = 0.5, kShardWeight = 0.002; // the latter: of a look in shards' shares
    static constexpr double kShardSeconds = 10,
                            kShardPrior = 10; // of demand that tells of shards; parts for each
    static constexpr double kLoadLines = 2; // due spans between two lines of the load, while not all is sound
    static constexpr double kAdmitStep = 0.02; // what differs by less is not told anew

    PilotTerms terms_;
    Tenths now_, wall_ = 0;
    Pcg chance_;
    Watch watch_;
    Chorus chorus_;
    Capacity capacity_;
    std::map<std::string, ServerSeen> servers_;
    Tally since_look_;
    Demand own_;
    std::map<int, double> own_shards_;                        // parts a second
    double own_rate_ = 0;                                     // parts a second that were answered
    std::map<SiteName, std::pair<Tenths, Tenths>> site_news_; // last answered, last unheard
    std::set<std::string> others_;
    Tenths look_at_, word_at_, looked_at_, load_at_ = 0;
    std::uint64_t serial_ = 0;
    Plan plan_;
    std::map<SiteName, double> planned_for_; // shares then
    Tenths plan_at_ = 0;
    SiteRecoveryPlan relief_;
    bool relieved_ = false;
    Tally since_line_;
    std::vector<PilotEffect> effects_;
    PilotCounts counts_;
};

bool alike(const SiteRecoveryPlan& a, const SiteRecoveryPlan& b, double step);

} // namespace ivyrill::recovery
