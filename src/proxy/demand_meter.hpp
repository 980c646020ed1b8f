// Demand of this node's requests on each service with engines, between two calls of `take`: rates of requests
// and rejections, answers being generated, and the link load of KV transfers. Pure: the caller supplies the
// clock.
#pragma once
#include "base/time.hpp"
#include "model/instance.hpp"

#include <map>
#include <string>
#include <vector>

namespace ivyrill::proxy {

class DemandMeter {
  public:
    // `transfer_time`: time for which the transfer of its prompt would occupy a link, 0 without a transfer
    // (tenths of a millisecond).
    void count_request(const std::string& service, double transfer_time) {
        Window& window = windows_[service];
        ++window.requests, window.requested_transfer += transfer_time;
    }
    void count_rejection(const std::string& service) { ++windows_[service].rejections; }
    void count_transfer(const std::string& service, double transfer_time) {
        windows_[service].transferred += transfer_time;
    }
    void answer_started(const std::string& service, Ticks now) {
        Window& window = windows_[service];
        window.add_answer_time(now);
        ++window.answers;
    }
    void answer_ended(const std::string& service, Ticks now) {
        Window& window = windows_[service];
        window.add_answer_time(now);
        --window.answers;
    }
    // Demand since the last take, or since the start, without services that had none.
    std::vector<model::ServiceDemand> take(Ticks now) {
        const double elapsed = static_cast<double>(now - taken_at_);
        std::vector<model::ServiceDemand> demands;
        if (elapsed <= 0) return demands;
        for (auto next = windows_.begin(); next != windows_.end();) {
            Window& window = next->second;
            window.add_answer_time(now);
            demands.push_back(window.demand(next->first, elapsed));
            const Window next_window{.answers = window.answers, .answers_since = now};
            next = window.answers > 0 ? (window = next_window, std::next(next)) : windows_.erase(next);
        }
        taken_at_ = now;
        return demands;
    }

  private:
    struct Window {
        double requests = 0, rejections = 0;
        double requested_transfer = 0, transferred = 0; // link time in tenths of a millisecond
        double answers = 0;                             // being generated now
        double answer_time = 0;                         // sum over all answers, up to answers_since
        Ticks answers_since = 0;
        void add_answer_time(Ticks now) {
            answer_time += answers * static_cast<double>(now - answers_since);
            answers_since = now;
        }
        model::ServiceDemand demand(const std::string& service, double elapsed) const {
            const double second = static_cast<double>(kTicksPerSecond);
            return {service,
                    requests / elapsed * second,
                    rejections / elapsed * second,
                    answer_time / elapsed,
                    transferred / elapsed,
                    requested_transfer / elapsed};
        }
    };
    std::map<std::string, Window> windows_; // by service
    Ticks taken_at_ = 0;
};

} // namespace ivyrill::proxy
