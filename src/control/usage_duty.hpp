// The duty to report each tenant's requests of each window to the platform (duties::DutyKind::kUsageReport).
// Where this node holds it: has the next windows agreed on, and sends what is agreed on, oldest first, until
// the platform acknowledges it.
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
        std::string holder;         // this node's name, told with each call
        std::int64_t window_ms = 0; // `usageWindowS`
    };
    using ChangeLedger = std::function<std::optional<duties::UsageLedger>(const duties::UsageLedger& newest)>;
    struct Callbacks {
        // Under which this node may act for the duty at this moment; none where it may not.
        std::function<std::optional<std::uint64_t>()> fence;
        // Whether windows may be agreed on, also before this node may act.
        std::function<bool()> may_propose;
        std::function<bool(std::uint64_t fence)> may_act_under;
        std::function<std::optional<duties::UsageLedger>()> committed; // none where it is not known
        std::function<void(ChangeLedger)> propose;                     // `change` is asked once, maybe later
        std::function<std::optional<clock::FleetTime>()> time;
        duties::UsageSources sources;
        std::function<bool()> acquire_call; // whether the platform has room for one now; it then counts
    };
    struct Status {
        std::optional<std::uint64_t> fence;           // under which this node reports
        std::int64_t next_window = 0;                 // to agree on; 0: not begun
        std::size_t due = 0;                          // windows agreed on, not known here to be acknowledged
        std::uint64_t acknowledged = 0, given_up = 0; // windows, by this process
        duties::PlatformCallStats calls;              // of this process
    };
    // `link` must outlive it.
    UsageDuty(transport::Reactor& reactor, duties::PlatformClient& link, Options options,
              Callbacks callbacks);
    ~UsageDuty();
    UsageDuty(const UsageDuty&) = delete;
    UsageDuty& operator=(const UsageDuty&) = delete;

    Status status() const;

    static constexpr Tenths kCheckInterval = 2'500;
    static constexpr Tenths kInitialBackoff = 2'000, kMaxBackoff = 10'000; // before a report is sent again
    static constexpr int kMaxRejections = 5; // of one window's report, then it is given up
    static constexpr std::size_t kMaxInFlight = 4;

  private:
    struct Sending { // of one window's report
        bool is_in_flight = false;
        Tenths not_before = 0, backoff = kInitialBackoff;
        int refusals = 0;
    };

    void look();
    void propose_next(const duties::UsageLedger& committed);
    std::optional<duties::UsageLedger> next(const duties::UsageLedger& newest) const;
    void forget_settled(const duties::UsageLedger& committed);
    void send_due(const duties::UsageLedger& committed, std::uint64_t fence);
    void send(const duties::CommittedWindow& window, std::uint64_t fence);
    void answered(const duties::CommittedWindow& window, std::uint64_t fence,
                  duties::PlatformOutcome outcome);
    void refused(std::int64_t window, Sending& sending);
    void send_later(Sending& sending) const;
    std::size_t in_flight() const;
    bool is_fenced_off(std::uint64_t fence) const;

    transport::Reactor& reactor_;
    duties::PlatformClient& link_;
    Options options_;
    Callbacks callbacks_;
    std::map<std::int64_t, Sending> sending_; // by window
    std::set<std::int64_t> settled_;          // windows: acknowledged, or given up, and still in the ledger
    std::optional<Tenths> proposed_at_;
    std::uint64_t fenced_off_ = 0; // the highest fence that the platform has refused
    std::uint64_t acknowledged_ = 0, given_up_ = 0;
    duties::PlatformCallStats calls_;
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::control
