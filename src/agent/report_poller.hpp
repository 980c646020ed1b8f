// Polls `GET /report` of the servers assigned to this node, on behalf of all nodes (see ReportAssignment).
#pragma once
#include "agent/report_assignment.hpp"
#include "http/client_connection.hpp"
#include "model/instance.hpp"
#include "transport/async.hpp"
#include "transport/reactor.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::agent {

// None if the report is malformed or implausible: negative or huge numbers, or more running requests than
// slots.
std::optional<model::Load> read_report(const std::string& instance, std::int64_t slots,
                                       const std::string& json);

class ReportPoller {
  public:
    struct Options {
        std::string self;   // name of this node
        Ticks interval = 0; // between two reports of one server, in a fleet of up to `servers`
        // In a larger fleet the interval grows in proportion, because every load goes to all nodes.
        std::size_t servers = 150;
    };
    ReportPoller(transport::Reactor& reactor, Options options, std::function<void(model::Load)> on_load);
    // Sets the current servers and nodes.
    void assign(const std::map<std::string, model::Instance>& instances,
                const std::vector<model::EdgeNode>& nodes);
    Ticks interval() const; // for the current fleet size
    std::size_t polled_servers() const { return polled_.size(); }
    std::uint64_t invalid_reports() const { return invalid_reports_; } // reports that were dropped

  private:
    struct PolledServer {
        PolledServer(transport::Reactor& reactor, std::string instance, std::string address,
                     std::int64_t slots)
            : instance(std::move(instance)), address(std::move(address)), slots(slots), wake(reactor.loop()) {
        }
        std::string instance, address;
        std::int64_t slots;
        transport::Slot wake;
        std::unique_ptr<http::ClientConnection> connection;
        transport::Task task;
    };
    transport::Task poll_repeatedly(PolledServer& server);
    transport::Async<bool> poll_once(PolledServer& server);
    transport::Async<transport::Done> sleep(PolledServer& server, Ticks deadline);

    transport::Reactor& reactor_;
    Options options_;
    std::function<void(model::Load)> on_load_;
    ReportAssignment assignment_;
    std::size_t servers_ = 0; // in the whole fleet
    std::uint64_t invalid_reports_ = 0;
    std::map<std::string, std::unique_ptr<PolledServer>> polled_;
};

} // namespace ivyrill::agent
