// The duty to report the requests of each tenant and window to the platform (duties::DutyKind::kUsageReport).
// The holder has the next windows committed, then sends committed windows, oldest first, until the platform
// acknowledges them.
#pragma once
#include "clock/fleet_clock.hpp"
#include "duties/platform_call_stats.hpp"
#include "duties/platform_client.hpp"
#include "duties/usage_ledger.hpp"
#include "transport/reactor.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace ivyrill::control {

class UsageDuty {
  public:
    struct Options {
        std::string holder;         // this node's name, sent with each call
        std::int64_t window_ms = 0; // `usageWindowS`
    };
    using ChangeLedger = std::function<std::optional<duties::UsageLedger>(const duties::UsageLedger& newest)>;
    struct Callbacks {
        // Fencing token under which this node may act for the duty now; none if it may not.
        std::function<std::optional<std::uint64_t>()> fence;
        // Whether windows may be proposed; may be true before this node may act.
        std::function<bool()> may_propose;
        std::function<bool(std::uint64_t fence)> may_act_under;
        std::function<std::optional<duties::UsageLedger>()> committed; // none if unknown
        std::function<void(ChangeLedger)> propose; // the change is evaluated once, possibly later
        std::function<std::optional<clock::FleetTime>()> time;
        duties::UsageSources sources;
        // Consumes a token of the platform's rate limit; false if none is left.
        std::function<bool()> acquire_call;
    };
    struct Status {
        std::optional<std::uint64_t> fence; // fencing token under which this node reports
        std::int64_t next_window = 0;       // next window to commit; 0: not started
        std::size_t due = 0;                // committed windows that are not known here to be acknowledged
        std::uint64_t acknowledged = 0, given_up = 0; // numbers of windows, by this process
        duties::PlatformCallStats calls;              // of this process
    };
    // `client` must outlive this object.
    UsageDuty(transport::Reactor& reactor, duties::PlatformClient& client, Options options,
              Callbacks callbacks);
    ~UsageDuty();
    UsageDuty(const UsageDuty&) = delete;
    UsageDuty& operator=(const UsageDuty&) = delete;

    Status status() const;

    static constexpr Ticks kCheckInterval = 2'500;
    static constexpr Ticks kInitialBackoff = 2'000, kMaxBackoff = 10'000; // before a report is retried
    static constexpr int kMaxRefusals = 5; // refusals of a window's report, after which it is given up
    static constexpr std::size_t kMaxInFlight = 4;

  private:
    struct Sending { // state of one window's report
        bool is_in_flight = false;
        Ticks not_before = 0, backoff = kInitialBackoff;
        int refusals = 0;
    };

    void run();
    void propose_next(const duties::UsageLedger& committed);
    std::optional<duties::UsageLedger> next(const duties::UsageLedger& newest) const;
    void forget_settled(const duties::UsageLedger& committed);
    void send_pending(const duties::UsageLedger& committed, std::uint64_t fence);
    void send(const duties::CommittedWindow& window, std::uint64_t fence);
    void answered(const duties::CommittedWindow& window, std::uint64_t fence,
                  duties::PlatformOutcome outcome);
    void refused(std::int64_t window, Sending& sending);
    void schedule_retry(Sending& sending) const;
    std::size_t in_flight() const;
    bool is_fenced_off(std::uint64_t fence) const;

    transport::Reactor& reactor_;
    duties::PlatformClient& client_;
    Options options_;
    Callbacks callbacks_;
    std::map<std::int64_t, Sending> sending_; // by window
    std::set<std::int64_t> settled_;          // windows acknowledged or given up, and still in the ledger
    std::optional<Ticks> proposed_at_;
    std::uint64_t fenced_off_ = 0; // highest fencing token that the platform has refused
    std::uint64_t acknowledged_ = 0, given_up_ = 0;
    duties::PlatformCallStats calls_;
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::control
