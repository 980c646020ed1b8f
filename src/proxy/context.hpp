// State that all requests of one proxy share.
#pragma once
#include "base/log_limiter.hpp"
#include "feed/tables.hpp"
#include "limits/buffer_budget.hpp"
#include "model/routing_table.hpp"
#include "proxy/connect_timeout.hpp"
#include "proxy/demand_meter.hpp"
#include "proxy/server_connections.hpp"
#include "proxy/usage_meter.hpp"
#include "replica_selection/pair_selector.hpp"
#include "replica_selection/retry_budget.hpp"
#include "transport/reactor.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace ivyrill::proxy {

// Since the start; logged periodically if they have changed.
struct Counters {
    std::uint64_t requests = 0, served = 0, failed = 0, rejected = 0, client_gone = 0;
    std::uint64_t hand_overs = 0, further_sends = 0, lost_handles = 0, resumed = 0, connections = 0;
    std::uint64_t bad_requests = 0, no_route = 0, stray_answers = 0;
    std::uint64_t key_missing = 0, key_unknown = 0; // requests refused with 401
    std::uint64_t too_long_to_end = 0;              // streams rejected during shutdown
    std::uint64_t not_run = 0, misdirected = 0;     // answers of servers that have not run the request
    std::uint64_t refused_after_send = 0;           // of the rejected ones: sent to a server before
    std::uint64_t no_room = 0;                      // refused or cut off for lack of memory
};

inline constexpr std::size_t kUsualBufferBytes = 100 * 1024 * 1024;

struct Context {
    transport::Reactor& reactor;
    std::shared_ptr<const model::RoutingTable>
        routes; // replaced as a whole; null until the first configuration
    replica_selection::PairSelector selector;
    replica_selection::RetryBudgets budgets;
    ServerConnections connections;
    ConnectTimeout connect_timeout;
    Pcg random;
    Counters counters;
    DemandMeter demand;
    UsageMeter usage;
    LogLimiter refusal_log{};
    bool shutting_down = false;                      // SIGTERM was received
    Ticks shutdown_deadline = 0;                     // end of this process, once it is shutting down
    limits::BufferBudget buffers{kUsualBufferBytes}; // of all client connections and calls
};

} // namespace ivyrill::proxy
