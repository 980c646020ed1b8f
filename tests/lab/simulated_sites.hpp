// Front nodes of several sites in virtual time: each with the decision module itself and its side of the plan
// for lost sites; round them index servers with queues, power that rises after a start and a limit past which
// a cold one falls, discovery that tells late, members that are noticed late, words that get lost. Sites are
// killed, cut off and brought back as a script says. What clients get is paid as the request classes say; the
// rules are judged as it goes. From one seed all is the same each time.
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
    double rate = 1; // of all searches, weight
    int parts = 6;
    RequestClassConfig terms;
};

struct SimulatedSitesPlan {
    std::uint64_t seed = 1;
    int fronts = 6, servers = 12, sites = 3, shards = 8, replicas = 3;
    std::vector<SiteRequestClass> request_classes;       // empty: three of their kinds
    std::vector<std::pair<std::string, double>> tenants; // name, share of the searches; empty: two
    double load = 0.55;                                  // of the fleet's power
    int cores = 4;
    Ticks service = 80; // a part, mean
    double cold_capacity_ratio = 0.3, overload_factor = 2;
    Ticks warm_up_time = 5 * kTicksPerSecond, overload_window = kTicksPerSecond;
    Ticks list_lag = kTicksPerSecond / 5, member_lag = kTicksPerSecond;
    Ticks min_delay = 5, max_delay = 20; // of a datagram or a frame, one way
    double report_loss_ratio = 0;
    double retry_ratio = 0; // share of those rejected that come again when they were told to
    bool with_failover = true, exchange_reports = true;
    bool may_probe = true;
    int stated_nodes = 0;       // 0: as many as there are
    double stated_capacity = 0; // by the operator
};

struct SiteTotals { // over a span
    std::uint64_t asked = 0, delivered = 0, in_time = 0, rejected = 0, failed = 0, in_part = 0, attempts = 0;
    double utility = 0, most_utility = 0;
    std::map<std::string, std::pair<double, double>> request_classes; // utility in time, asked for
    std::map<std::string, std::pair<double, double>> tenants;
};

class SimulatedSites {
  public:
    explicit SimulatedSites(SimulatedSitesPlan plan);
    ~SimulatedSites();
    SimulatedSites(const SimulatedSites&) = delete;
    SimulatedSites& operator=(const SimulatedSites&) = delete;

    void pass(Ticks span);
    bool until(const std::function<bool()>& holds, Ticks bound);

    // Faults. A site is its index servers and its front nodes.
    void kill_site(int site, bool fronts_too = true);
    void return_site(int site);                     // cold, all in one instant
    void cut_site(int site, bool both_ways = true); // from all others; alive
    void cut_between(int a, int b);
    void heal();
    void kill_server(int server);
    void start_server(int server);
    void stall_front(int front, Ticks span);
    void start_front(int front);                     // with the list as it knows it
    void block_reports(const std::set<int>& fronts); // they hear no word of any other
    void lag_lists(Ticks lag) { plan_.list_lag = lag; }
    void set_load_factor(double factor) { load_factor_ = factor; }
    void apply_override(int front, recovery::SiteOverride site_override);

    // What is
    Ticks now() const { return now_; }
    const recovery::FailoverController* controller(int front) const;
    recovery::SiteState state(int front, int site) const;
    std::size_t count_front_nodes_seeing(int site,
                                         recovery::SiteState state) const; // front nodes that see it so
    static std::string site_name(int site) { return std::string(1, static_cast<char>('a' + site)); }
    SiteTotals take_totals() { return std::exchange(totals_, {}); }
    const SiteTotals& totals() const { return totals_; }
    // What perfect knowledge would earn of the present demand with what is there now: share of all utility.
    double best_share() const;
    std::uint64_t arrived() const { return arrived_; } // attempts at servers
    double cold_limit_used() const { return cold_limit_used_; }
    std::uint64_t overload_failures() const { return overload_failures_; }
    std::uint64_t lost() const { return lost_; }
    std::uint64_t duplicate_attempts() const { return duplicate_attempts_; } // of what may run once
    const std::vector<std::string>& violations() const { return violations_; }
    std::function<void(int, const recovery::SiteLogLine&)> on_line;
    std::size_t fronts() const { return static_cast<std::size_t>(plan_.fronts); }
    bool serves(int server) const;
    const SimulatedSitesPlan& plan() const { return plan_; }
    double power(int server) const; // now, parts a second

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
    bool linked(int from_site, int to_site) const { return !cuts_.contains({from_site, to_site}); }
    void arrive(int front);
    void search(int front, std::size_t request_class, std::size_t tenant, bool again);
    void run_scheduler(Front& front);
    void step_controller(Front& front);
    void attempt(Front& front, PartId part, ServerId server, Ticks time_out);
    void deliver_attempt(int server, int front, std::uint64_t incarnation, PartId part, AttemptNo number,
                         bool once);
    void start_parts(int server);
    void complete_attempt(int front, std::uint64_t incarnation, PartId part, AttemptNo number,
                          Outcome outcome, bool from_server, LoadReport report);
    void fail_from_overload(int server);
    std::map<std::string, recovery::ListedServer> list_now() const;
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
    std::set<std::tuple<int, std::uint64_t, PartId>> ran_; // parts that may run once
    std::vector<std::string> violations_;
};

} // namespace ivyrill::lab
