// The duty to give a service's servers their parts (duties::DutyKind::kServerStages), one subject a service:
// looks at reports and demand every so often, and where this node holds the duty has orders sent.
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
        // Under which this node may act for the duty at this moment; none where it may not.
        std::function<std::optional<std::uint64_t>(const duties::Duty&)> fence;
        std::function<bool(const duties::Duty&, std::uint64_t fence)> may_act_under;
        std::function<const model::Configuration*()> configuration; // null where none is known
        std::function<const feed::InstanceTable&()> instances;
        std::function<const std::map<std::string, model::Load>&()> loads; // by instance
        std::function<void(const feed::StageOrdered&)> ordered;           // all nodes are to know
    };
    // `holder`: this node's name, told with each order. `link` must outlive it.
    StageDuty(transport::Reactor& reactor, duties::OrderClient& link, std::string holder,
              Callbacks callbacks);
    ~StageDuty();

    duties::DemandAggregator& demand() { return demand_; }
    void reported(const std::vector<model::Load>& loads); // by servers, as they come
    std::vector<duties::StagedServer> servers_of(const std::string& service) const; // that serve
    const duties::StageOrderTracker::Counts& counts() const { return orders_.counts(); }

  private:
    void look();
    void look_at(const model::Service& service);
    void order(const duties::Duty& duty, std::uint64_t fence, const duties::StageChange& change,
               const duties::StagedServer& server);
    void send(const duties::Duty& duty, const duties::StageOrder& order);
    void answered(const duties::Duty& duty, const duties::StageOrder& order, duties::OrderOutcome outcome);
    duties::StagedServer staged(const model::Instance& instance) const;

    transport::Reactor& reactor_;
    duties::OrderClient& link_;
    std::string holder_;
    Callbacks callbacks_;
    duties::DemandAggregator demand_;
    duties::StageOrderTracker orders_;
    std::map<std::string, duties::StageController> controllers_; // by service, while this node holds its duty
    duties::ReportFreshness report_freshness_;
    transport::Reactor::TimerId timer_{};
};

} // namespace ivyrill::control
