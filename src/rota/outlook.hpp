// What one front node knows of the fleet, as the rota's deciding parts are given it. It may be old or wrong:
// what follows from it is only what this node proposes, and the evening refuses what may not be.
#pragma once
#include "rota/types.hpp"

namespace ivyrill::rota {

enum class Health { kWarm, kCold, kDrains, kGone }; // of a machine; of a front node: kWarm or kGone

struct MachineSeen {
    Facts facts;
    Health health = Health::kWarm;
};

struct Outlook {
    std::string self;
    Tenths wall = 0; // Unix time
    std::map<std::string, MachineSeen> machines;
    std::set<std::string> voters;   // of the council
    std::set<std::string> absent;   // front nodes that do not answer, the doubted ones among them
    bool council_settled = true;    // it has all its voters, and the evening knows them
    std::set<std::string> disowned; // voters that have lost their ledger
    double strain = 0;              // share of the searches that this node rejects of late
    std::string lost_site;          // a zone most of which is gone and was not sent out; empty: none
};

// What to do when something goes wrong, in the operator's words.
enum class Answer { kWait, kSkip, kPutBack, kStop, kCall };

struct Answers {
    Answer drain_late = Answer::kPutBack;     // it does not drain
    Answer work_late = Answer::kCall;         // its work does not end
    Answer back_late = Answer::kStop;         // it does not come back
    Answer broken = Answer::kStop;            // it came back and does not serve
    Answer cold_late = Answer::kWait;         // it came back and stays cold
    Answer neighbour_down = Answer::kPutBack; // another one that holds what it holds has failed meanwhile
};

struct Spans {                            // of a turn, each from the state before
    Tenths grant = 10 * kTenthsPerSecond; // lasts so long by its holder's clock, from when it asked
    Tenths drain = 60 * kTenthsPerSecond, work = 1800 * kTenthsPerSecond, back = 120 * kTenthsPerSecond,
           warm = 120 * kTenthsPerSecond;
    Tenths act = 10 * kTenthsPerSecond;   // one act of the keeper
    Tenths settle = 3 * kTenthsPerSecond; // until a change of the fleet is taken for one
    double clock_error = 0.01;            // by which two clocks' rates may differ
    int most_setbacks = 3;                // put back more often, it is given up
    double most_strain = 0.05;
};

} // namespace ivyrill::rota
