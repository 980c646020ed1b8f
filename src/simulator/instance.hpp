// One simulated front node: encodes the search scheduler's actions as wire messages and maps server names to
// ids.
#pragma once
#include "search_scheduler.hpp"
#include "simulator/wire.hpp"

#include <map>
#include <string>
#include <vector>

namespace ivyrill::simulator {

struct ListedEndpoint {
    std::string server;
    ListEntry entry; // its server id is assigned by each instance
};
using EndpointList = std::vector<ListedEndpoint>;

class SimulatedFrontNode : public SchedulerHost {
  public:
    explicit SimulatedFrontNode(SchedulerConfig config)
        : connect_timeout_(config.connect_timeout), scheduler_(make_search_scheduler(std::move(config))) {}

    void apply(Ticks now, const Message& message); // any event except OPEN_INSTANCE, KILLED and ENDPOINTS
    void apply_list(Ticks now, ServerListKind kind, const EndpointList& endpoints);
    std::string decide(Ticks now); // the actions, one line each

    void attempt(PartId part, ServerId server, Ticks time_out, Ticks send_within) override;
    void cancel_attempt(PartId part, AttemptNo attempt) override;
    void answer(SearchId search, bool whole) override;
    void reject(SearchId search, Ticks retry_after) override;
    void fail(SearchId search) override;
    void probe(ServerId server) override;
    void close_idle_connections(ServerId server) override;
    void schedule_wakeup(Ticks in) override;
    void subscribe() override;

  private:
    ServerId server_of(std::string_view name);

    Ticks connect_timeout_;
    std::unique_ptr<SearchScheduler> scheduler_;
    std::map<std::string, ServerId, std::less<>> ids_;
    std::vector<std::string> names_;
    std::string actions_;
};

} // namespace ivyrill::simulator
