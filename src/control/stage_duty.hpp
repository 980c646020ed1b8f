// The duty to assign stages to a service's servers (duties::DutyKind::kServerStages), one subject per
// service: evaluates reports and demand periodically, and sends orders if this node holds the duty.
#pragma once
#include "duties/demand_aggregator.hpp"
#include "duties/duty.hpp"
#include "duties/order_client.hpp"
#include "duties/report_freshness.hpp"
#include "duties/stage_controller.hpp"
#include "duties/stage_order_tracker.hpp"
#include "feed/instance_table.hpp"
#include "feed/messages.hpp"
#include "model/configuration.hpp"
#include "transport/reactor.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::control {

class StageDuty {
  public:
    struct Callbacks {
        // Fencing token under which this node may act for the duty now; none if it may not.
        std::function<std::optional<std::uint64_t>(const duties::Duty&)> fence;
        std::function<bool(const duties::Duty&, std::uint64_t fence)> may_act_under;
        std::function<const model::Configuration*()> configuration; // null if unknown
        std::function<const feed::InstanceTable&()> instances;
        std::function<const std::map<std::string, model::Load>&()> loads; // by instance id
        // Called for each accepted order, to notify all nodes.
        std::function<void(const feed::StageOrdered&)> ordered;
    };
    // `holder`: this node's name, sent with each order. `client` must outlive this object.
    StageDuty(transport::Reactor& reactor, duties::OrderClient& client, std::string holder,
              Callbacks callbacks);
    ~StageDuty();

    duties::DemandAggregator& demand() { return demand_; }
    void reported(const std::vector<model::Load>& loads); // new loads reported by servers
    std::vector<duties::StagedServer> servers_of(const std::string& service) const; // in state serving
    const duties::StageOrderTracker::Counts& counts() const { return orders_.counts(); }

  private:
    void run();
    void run_service(const model::Service& service);
    void order(const duties::Duty& duty, std::uint64_t fence, const duties::StageChange& change,
               const duties::StagedServer& server);
    void send(const duties::Duty& duty, const duties::StageOrder& order);
    void answered(const duties::Duty& duty, const duties::StageOrder& order, duties::OrderOutcome outcome);
    duties::StagedServer staged_server(const model::Instance& instance) const;

    transport::Reactor& reactor_;
    duties::OrderClient& client_;
    std::string holder_;
    Callbacks callbacks_;
    duties::DemandAggregator demand_;
    duties::StageOrderTracker orders_;
    std::map<std::string, duties::StageController> controllers_; // by service, while this node holds its duty
    duties::ReportFreshness report_freshness_;
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::control
