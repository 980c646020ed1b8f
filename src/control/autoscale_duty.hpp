// The duty to order how many servers of a service run in a zone (duties::DutyKind::kServerCount), one subject
// for each service and zone. Every node looks at all services with numbers to order, so that whoever becomes
// the holder knows what was there; where this node holds the duty, calls go to the platform.
#pragma once
#include "duties/autoscaler.hpp"
#include "duties/duty.hpp"
#include "duties/platform_call_stats.hpp"
#include "duties/platform_client.hpp"
#include "duties/scale_order.hpp"
#include "feed/instance_table.hpp"
#include "model/configuration.hpp"
#include "transport/reactor.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::control {

class AutoscaleDuty {
  public:
    struct Callbacks {
        // Under which this node may act for the duty at this moment; none where it may not.
        std::function<std::optional<std::uint64_t>(const duties::Duty&)> fence;
        std::function<bool(const duties::Duty&, std::uint64_t fence)> may_act_under;
        std::function<const model::Configuration*()> configuration; // null where none is known
        std::function<const feed::InstanceTable&()> instances;
        std::function<std::vector<duties::StagedServer>(const std::string& service)> servers; // that serve
        std::function<std::optional<model::ServiceDemand>(const std::string& service)> demand;
        // Whether the platform has room for a call now; it then counts.
        std::function<bool(const duties::Duty&)> acquire_call;
    };
    // Of one zone, where this node holds its duty.
    struct ZoneStatus {
        std::string service, zone;
        std::uint64_t fence = 0;
        std::int64_t there = 0;               // servers, of late
        std::optional<std::int64_t> accepted; // the last order of this holder that the platform took
    };
    // `holder`: this node's name, told with each call. `link` must outlive it.
    AutoscaleDuty(transport::Reactor& reactor, duties::PlatformClient& link, std::string holder,
                  Callbacks callbacks);
    ~AutoscaleDuty();
    AutoscaleDuty(const AutoscaleDuty&) = delete;
    AutoscaleDuty& operator=(const AutoscaleDuty&) = delete;

    std::vector<ZoneStatus> zone_statuses() const;
    const duties::PlatformCallStats& calls() const { return calls_; } // of this process

    // A holder looks at what is there for so long before it orders anything.
    static constexpr Tenths kObservationTime = 3 * kTenthsPerSecond;

  private:
    struct Zone {
        Tenths at = 0;         // when `most` was last there
        std::int64_t most = 0; // servers there of late
        bool holds = false;    // this node may act for the duty
        Tenths held_since = 0;
        std::optional<duties::ScaleOrder> order; // under the last fence that this node held
    };
    struct ServiceCounts {
        duties::Autoscaler controller;
        std::map<std::string, Zone> zones;
    };

    void look();
    void look_at(const model::Service& service);
    void count_servers(const std::string& service, ServiceCounts& counts) const;
    void update_holding(const std::string& service, ServiceCounts& counts) const;
    void forget_taken_away(ServiceCounts& counts, Tenths boot_time) const;
    duties::ScalingInput picture(const std::string& service, const ServiceCounts& counts) const;
    void want(const std::string& service, ServiceCounts& counts,
              const std::vector<duties::ZoneServerCount>& wanted) const;
    void send_due(const std::string& service, const std::string& zone, Zone& state);
    void answered(const std::string& service, const duties::ZoneServerCount& ordered, std::uint64_t fence,
                  duties::PlatformOutcome outcome);

    transport::Reactor& reactor_;
    duties::PlatformClient& link_;
    std::string holder_;
    Callbacks callbacks_;
    std::map<std::string, ServiceCounts> services_; // by name
    duties::PlatformCallStats calls_;
    transport::Reactor::TimerId timer_{};
};

// The body of `POST /scale`.
std::string scale_body(const std::string& service, const duties::ZoneServerCount& ordered);

} // namespace ivyrill::control
