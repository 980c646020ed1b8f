// The duty to order the number of servers of a service in a zone (duties::DutyKind::kServerCount), one
// subject per service and zone. Every node runs the autoscaler for all services with scaling limits, so that
// a new holder already knows the recent counts; only the holder sends calls to the platform.
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
        // Fencing token under which this node may act for the duty now; none if it may not.
        std::function<std::optional<std::uint64_t>(const duties::Duty&)> fence;
        std::function<bool(const duties::Duty&, std::uint64_t fence)> may_act_under;
        std::function<const model::Configuration*()> configuration; // null if unknown
        std::function<const feed::InstanceTable&()> instances;
        // In state serving.
        std::function<std::vector<duties::StagedServer>(const std::string& service)> servers;
        std::function<std::optional<model::ServiceDemand>(const std::string& service)> demand;
        // Consumes a token of the platform's rate limit; false if none is left.
        std::function<bool(const duties::Duty&)> acquire_call;
    };
    // State of one zone whose duty this node holds.
    struct ZoneStatus {
        std::string service, zone;
        std::uint64_t fence = 0;
        std::int64_t servers = 0;             // number of servers recently observed
        std::optional<std::int64_t> accepted; // last count ordered by this holder that the platform accepted
    };
    // `holder`: this node's name, sent with each call. `client` must outlive this object.
    AutoscaleDuty(transport::Reactor& reactor, duties::PlatformClient& client, std::string holder,
                  Callbacks callbacks);
    ~AutoscaleDuty();
    AutoscaleDuty(const AutoscaleDuty&) = delete;
    AutoscaleDuty& operator=(const AutoscaleDuty&) = delete;

    std::vector<ZoneStatus> zone_statuses() const;
    const duties::PlatformCallStats& calls() const { return calls_; } // of this process

    // A new holder observes the zone for this long before it orders anything.
    static constexpr Ticks kObservationTime = 3 * kTicksPerSecond;

  private:
    struct Zone {
        Ticks at = 0;             // when `servers` was last reached
        std::int64_t servers = 0; // highest recent number of servers
        bool holds = false;       // this node may act for the duty
        Ticks held_since = 0;
        std::optional<duties::ScaleOrder> order; // under the latest fencing token of this node
    };
    struct ServiceCounts {
        duties::Autoscaler controller;
        std::map<std::string, Zone> zones;
    };

    void run();
    void run_service(const model::Service& service);
    void count_servers(const std::string& service, ServiceCounts& counts) const;
    void update_held_zones(const std::string& service, ServiceCounts& counts) const;
    void clear_outdated_orders(ServiceCounts& counts, Ticks boot_time) const;
    duties::ScalingInput scaling_input(const std::string& service, const ServiceCounts& counts) const;
    void request_counts(const std::string& service, ServiceCounts& counts,
                        const std::vector<duties::ZoneServerCount>& wanted) const;
    void send_pending(const std::string& service, const std::string& zone, Zone& state);
    void answered(const std::string& service, const duties::ZoneServerCount& ordered, std::uint64_t fence,
                  duties::PlatformOutcome outcome);

    transport::Reactor& reactor_;
    duties::PlatformClient& client_;
    std::string holder_;
    Callbacks callbacks_;
    std::map<std::string, ServiceCounts> services_; // by service name
    duties::PlatformCallStats calls_;
    transport::Reactor::TimerId timer_{};
};

// The body of `POST /scale`.
std::string scale_body(const std::string& service, const duties::ZoneServerCount& ordered);

} // namespace ivyrill::control
