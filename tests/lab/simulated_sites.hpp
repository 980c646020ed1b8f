// Deterministic simulation of front nodes at several sites in virtual time. Each runs the real scheduler and
// failover controller. Index servers have queues, a capacity that rises after a start, and a limit at which a
// cold one fails from overload; server lists and membership changes arrive late and reports can be lost.
// Tests kill, isolate and restore sites. Delivered searches earn utility by request class, and the rules are
// checked during the run. A run is reproducible from its seed.
#pragma once
#include "recovery/failover_controller.hpp"
#include "recovery/traffic_counter.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace ivyrill::lab {

struct SiteRequestClass {
    std::string name;
    double rate = 1; // relative share of all searches
    int parts = 6;
    RequestClassConfig terms;
};

struct SimulatedSitesPlan {
    std::uint64_t seed = 1;
    int fronts = 6, servers = 12, sites = 3, shards = 8, replicas = 3;
    std::vector<SiteRequestClass> request_classes; // empty: three default classes
    // Name and share of the searches; empty: two defaults.
    std::vector<std::pair<std::string, double>> tenants;
    double load = 0.55; // fraction of the fleet's capacity
    int cores = 4;
    Ticks service = 80; // mean time of a part
    double cold_capacity_ratio = 0.3, overload_factor = 2;
    Ticks warm_up_time = 5 * kTicksPerSecond, overload_window = kTicksPerSecond;
    Ticks list_lag = kTicksPerSecond / 5, member_lag = kTicksPerSecond;
    Ticks min_delay = 5, max_delay = 20; // one-way delay of a datagram or frame
    double report_loss_ratio = 0;
    double retry_ratio = 0; // share of rejected searches retried after Retry-After
    bool with_failover = true, exchange_reports = true;
    bool may_probe = true;
    int configured_node_count = 0; // 0: the actual number
    double operator_capacity = 0;  // capacity that the operator configures
};

struct SiteTotals { // totals since the last take_totals()
    std::uint64_t asked = 0, delivered = 0, in_time = 0, rejected = 0, failed = 0, partial = 0, attempts = 0;
    double utility = 0, most_utility = 0;
    std::map<std::string, std::pair<double, double>> request_classes; // earned and requested utility
    std::map<std::string, std::pair<double, double>> tenants;
};

class SimulatedSites {
  public:
    explicit SimulatedSites(SimulatedSitesPlan plan);
    ~SimulatedSites();
    SimulatedSites(const SimulatedSites&) = delete;
    SimulatedSites& operator=(const SimulatedSites&) = delete;

    void advance(Ticks span);
    bool until(const std::function<bool()>& holds, Ticks bound);

    // Faults. A site comprises its index servers and its front nodes.
    void kill_site(int site, bool with_front_nodes = true);
    void return_site(int site);                     // all servers start cold at once
    void cut_site(int site, bool both_ways = true); // partitions it from all others; its processes stay alive
    void cut_between(int a, int b);
    void heal();
    void kill_server(int server);
    void start_server(int server);
    void stall_front(int front, Ticks span);
    void start_front(int front);                     // with the current server list
    void block_reports(const std::set<int>& fronts); // they receive no reports
    void set_list_lag(Ticks lag) { plan_.list_lag = lag; }
    void set_load_factor(double factor) { load_factor_ = factor; }
    void apply_override(int front, recovery::SiteOverride site_override);

    // State
    Ticks now() const { return now_; }
    const recovery::FailoverController* controller(int front) const;
    recovery::SiteState state(int front, int site) const;
    std::size_t count_front_nodes_seeing(int site, recovery::SiteState state) const;
    static std::string site_name(int site) { return std::string(1, static_cast<char>('a' + site)); }
    SiteTotals take_totals() { return std::exchange(totals_, {}); }
    const SiteTotals& totals() const { return totals_; }
    // Share of all utility that an optimal plan could earn from the present demand with the present servers.
    double best_share() const;
    std::uint64_t arrived() const { return arrived_; } // attempts that reached a server
    double cold_limit_used() const { return cold_limit_used_; }
    std::uint64_t overload_failures() const { return overload_failures_; }
    std::uint64_t lost() const { return lost_; }
    std::uint64_t duplicate_attempts() const { return duplicate_attempts_; } // of non-idempotent parts
    const std::vector<std::string>& violations() const { return violations_; }
    std::function<void(int, const recovery::SiteLogLine&)> on_line;
    std::size_t fronts() const { return static_cast<std::size_t>(plan_.fronts); }
    bool serves(int server) const;
    const SimulatedSitesPlan& plan() const { return plan_; }
    double server_capacity(int server) const; // current capacity in parts per second

  private:
    struct Front;
    struct Server;
    struct Event {
        Ticks at;
        std::uint64_t sequence;
        std::function<void()> what;
        bool operator>(const Event& o) const { return std::pair(at, sequence) > std::pair(o.at, o.sequence); }
    };
    void at(Ticks when, std::function<void()> what);
    Ticks delay();
    bool is_linked(int from_site, int to_site) const { return !cuts_.contains({from_site, to_site}); }
    void schedule_next_search(int front);
    void search(int front, std::size_t request_class, std::size_t tenant, bool is_retry);
    void run_scheduler(Front& front);
    void step_controller(Front& front);
    void attempt(Front& front, PartId part, ServerId server, Ticks time_out);
    void deliver_attempt(int server, int front, std::uint64_t incarnation, PartId part, AttemptNo number,
                         bool non_idempotent);
    void start_parts(int server);
    void complete_attempt(int front, std::uint64_t incarnation, PartId part, AttemptNo number,
                          Outcome outcome, bool from_server, LoadReport report);
    void fail_from_overload(int server);
    std::map<std::string, recovery::ListedServer> current_servers() const;
    void update_server_list(Front& front, const ServerListUpdate& update,
                            const std::map<std::string, recovery::ListedServer>& servers);
    void update_server_lists();
    void update_members();
    ServerListUpdate list_update(bool whole) const;
    int site_of(int server) const;
    int home_site_of(int front) const;
    void start_front_now(int front);

    SimulatedSitesPlan plan_;
    Pcg random_;
    Ticks now_ = 1000 * kTicksPerSecond;
    std::uint64_t next_sequence_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<std::unique_ptr<Front>> fronts_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::set<std::pair<int, int>> cuts_;
    std::set<int> reports_blocked_;
    SiteTotals totals_;
    Ticks lists_updated_at_ = 0;
    double load_factor_ = 1, rate_ = 0, cold_limit_used_ = 0;
    std::uint64_t overload_failures_ = 0, lost_ = 0, duplicate_attempts_ = 0, arrived_ = 0;
    std::set<std::tuple<int, std::uint64_t, PartId>> executed_parts_; // executed non-idempotent parts
    std::vector<std::string> violations_;
};

} // namespace ivyrill::lab
