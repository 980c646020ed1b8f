// What this node's requests ask of each service with engines, measured between two takes: how many come and
// are turned away, how many answers are being made, and what moving their prompts asks of the links between
// servers. Pure: the clock is handed in.
#pragma once
#include "base/time.hpp"
#include "model/instance.hpp"

#include <map>
#include <string>
#include <vector>

namespace ivyrill::proxy {

class DemandMeter {
  public:
    // A request has come; `move`: how long a link would be held by its prompt, 0 where it is not to be moved
    // (tenths of a millisecond).
    void requested(const std::string& service, double move) {
        Window& here = windows_[service];
        ++here.requests, here.asked += move;
    }
    void turned_away(const std::string& service) { ++windows_[service].turned_away; }
    void moved(const std::string& service, double move) { windows_[service].moved += move; }
    void answer_begins(const std::string& service, Tenths now) {
        Window& here = windows_[service];
        here.answers_until(now);
        ++here.answers;
    }
    void answer_ends(const std::string& service, Tenths now) {
        Window& here = windows_[service];
        here.answers_until(now);
        --here.answers;
    }
    // Of the time since the last take, or since the start; services of which nothing was seen are left out.
    std::vector<model::ServiceDemand> take(Tenths now) {
        const double span = static_cast<double>(now - taken_at_);
        std::vector<model::ServiceDemand> demands;
        if (span <= 0) return demands;
        for (auto next = windows_.begin(); next != windows_.end();) {
            Window& here = next->second;
            here.answers_until(now);
            demands.push_back(here.demand(next->first, span));
            const Window after{.answers = here.answers, .answers_since = now};
            next = here.answers > 0 ? (here = after, std::next(next)) : windows_.erase(next);
        }
        taken_at_ = now;
        return demands;
    }

  private:
    struct Window {
        double requests = 0, turned_away = 0;
        double asked = 0, moved = 0; // tenths of a millisecond of links' time
        double answers = 0;          // that are being made now
        double answer_time = 0;      // added up over them
        Tenths answers_since = 0;    // up to which it is added up
        void answers_until(Tenths now) {
            answer_time += answers * static_cast<double>(now - answers_since);
            answers_since = now;
        }
        model::ServiceDemand demand(const std::string& service, double span) const {
            const double second = static_cast<double>(kTenthsPerSecond);
            return {service,
                    requests / span * second,
                    turned_away / span * second,
                    answer_time / span,
                    moved / span,
                    asked / span};
        }
    };
    std::map<std::string, Window> windows_; // by service
    Tenths taken_at_ = 0;
};

} // namespace ivyrill::proxy
