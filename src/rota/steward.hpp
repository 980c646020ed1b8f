// The leader's part: looks at the evening as agreed and at the fleet as it sees it, and says what should be
// agreed on next. It holds nothing that has to outlive it but what it has heard of grants, by its own clock;
// a new leader hears everything anew from the moment that it leads.
#pragma once
#include "rota/outlook.hpp"
#include "rota/plan.hpp"

#include <functional>
#include <vector>

namespace ivyrill::rota {

struct StewardTerms {
    Limits limits;
    Spans spans;
    Answers answers;
    std::uint64_t seed = 0;
};

struct Wanted {
    std::vector<Command> commands;
    bool hand_over = false; // the next machine is the leader itself
    std::string why;        // why nothing more goes out at present, for those who ask
};

class Steward {
  public:
    explicit Steward(StewardTerms terms) : terms_(std::move(terms)) {}
    Wanted want(Tenths now, Tenths leads_since, const Evening& evening, const Outlook& outlook);
    void forget() {
        heard_.clear(), settling_ = strained_since_ = 0, put_back_.clear(), clocks_.clear(), failed_.clear();
    }

    // Machines that do not serve and were not sent out.
    static std::set<std::string> down(const Evening& evening, const Outlook& outlook);
    // What our count allows a grant to last, from when we heard of it.
    Tenths patience() const;
    std::uint64_t wrong_clocks() const { return wrong_clocks_; }

  private:
    struct Heard {
        std::string holder;
        Fence fence;
        std::uint64_t stamp = 0;
        Tenths at = 0;
    };
    struct Clock { // of a holder: one word of it, against which later ones are measured
        std::uint64_t stamp = 0;
        Tenths at = 0;
    };
    Survey survey(Tenths now, const Evening& evening, const Outlook& outlook);
    void watch_grants(Tenths now, Tenths leads_since, const Evening& evening, const Outlook& outlook,
                      Wanted& wanted);
    void measure_clock(Tenths now, const Turn& turn);
    void let_go(Tenths now, const Evening& evening, const Outlook& outlook, const std::set<std::string>& down,
                Wanted& wanted);
    std::string holder_for(const Turn& turn, const Evening& evening, const Outlook& outlook) const;

    StewardTerms terms_;
    std::map<std::string, Heard> heard_;     // of each grant, by machine
    std::map<std::string, Tenths> put_back_; // since when a machine waits that was put back
    std::map<std::string, Tenths> missing_;  // front nodes of the fleet that we do not see, since when
    std::map<std::string, Clock> clocks_;
    std::set<std::string> distrusted_; // holders whose clock goes otherwise than is assumed
    std::set<std::string> failed_;     // holders that let a grant lapse, until they keep one
    Tenths settling_ = 0, strained_since_ = 0;
    std::vector<std::string> order_; // of the plan, and for what it was made
    std::string planned_for_;
    std::uint64_t wrong_clocks_ = 0;
};

} // namespace ivyrill::rota
