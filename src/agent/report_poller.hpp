// Reads `GET /report` of the servers that fall to this node, for all nodes: a server's reader is the live
// edge node with the highest rendezvous hash of its id, so that a change of nodes moves few of them.
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

// Nothing where it can't be read or says what can't be: negative or huge numbers, more running than slots.
std::optional<model::Load> read_report(const std::string& instance, std::int64_t slots,
                                       const std::string& json);

class ReportPoller {
  public:
    struct Options {
        std::string self;          // node name
        Tenths interval = 0;       // between two reports of one server, in a fleet of up to `servers`
        std::size_t servers = 150; // in a larger one it grows in proportion, as all are told to all nodes
    };
    ReportPoller(transport::Reactor& reactor, Options options, std::function<void(model::Load)> read);
    // The servers and nodes as they are now.
    void assign(const std::map<std::string, model::Instance>& instances,
                const std::vector<model::EdgeNode>& nodes);
    Tenths interval() const; // in the fleet as it is now
    std::size_t readings() const { return duties_.size(); }
    std::uint64_t invalid_reports() const { return invalid_reports_; } // reports that were dropped

  private:
    struct Duty {
        Duty(transport::Reactor& reactor, std::string instance, std::string address, std::int64_t slots)
            : instance(std::move(instance)), address(std::move(address)), slots(slots), wake(reactor.loop()) {
        }
        std::string instance, address;
        std::int64_t slots;
        transport::Slot wake;
        std::unique_ptr<http::ClientConnection> connection;
        transport::Task task;
    };
    transport::Task keep_reading(Duty& duty);
    transport::Async<bool> read_once(Duty& duty);
    transport::Async<transport::Done> sleep(Duty& duty, Tenths until);

    transport::Reactor& reactor_;
    Options options_;
    std::function<void(model::Load)> read_;
    ReportAssignment readers_;
    std::size_t servers_ = 0; // of the whole fleet
    std::uint64_t invalid_reports_ = 0;
    std::map<std::string, std::unique_ptr<Duty>> duties_;
};

} // namespace ivyrill::agent
