// Deterministic simulation of maintenance nodes in virtual time: machines with their controllers, a network
// that loses, delays, duplicates and partitions, clocks that drift, stalls, and crashes with or without the
// disk. Invariants are checked at every step; each violation is kept as a text. A run is reproducible from
// its seed.
#pragma once
#include "maintenance/maintenance_node.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace ivyrill::lab {

// A machine and its controller: it drains, goes out, is worked on, returns cold and warms up, or fails as the
// test configures.
struct SimulatedMachine {
    enum class State { kServing, kDraining, kDrained, kWorking, kWorked, kStarting, kBroken, kDead };
    maintenance::MachineFacts facts;
    State state = State::kServing;
    Ticks since = 0, warm_at = 0;
    maintenance::FencingToken highest_fence; // highest token that the controller has seen
    bool never_drains = false, never_returns = false, returns_broken = false, checks_fence = true;
    Ticks drain_duration = 0, work_duration = 0, start_duration = 0, warm_up_duration = 0;

    maintenance::MachineStatus execute(Ticks now, maintenance::MachineAction what,
                                       maintenance::FencingToken fence); // the controller's reply
    void advance(Ticks now);                                             // time-driven transitions
    bool serves() const {
        return state == State::kServing || state == State::kDraining || state == State::kDrained;
    }
    maintenance::MachineHealth health(Ticks now) const;
};

struct SimulatedMaintenancePlan {
    std::uint64_t seed = 1;
    int fronts = 5, candidates = 5;
    std::size_t voter_count = 3;
    int servers = 8, shards = 4, replicas = 3, zones = 2;
    maintenance::Limits limits{2, 0.5, 0.5, 0.34, 0.34, 0};
    maintenance::Timing timing{4 * kTicksPerSecond,
                               20 * kTicksPerSecond,
                               30 * kTicksPerSecond,
                               20 * kTicksPerSecond,
                               20 * kTicksPerSecond,
                               kTicksPerSecond,
                               kTicksPerSecond,
                               0.02,
                               3,
                               0.05};
    maintenance::FailurePolicy failure_policy;
    Ticks heartbeat = kTicksPerSecond / 4;
    Ticks work = 4 * kTicksPerSecond; // mean duration per machine
    double loss_ratio = 0, duplicate_ratio = 0;
    Ticks min_delay = 5, max_delay = 30;
    double clock_error = 0; // maximum relative drift of a clock
    Ticks max_list_age = 0; // maximum age of the server list
    bool varied_work_duration = true;
};

struct SimulationCounts {
    std::uint64_t datagrams = 0, bytes = 0, lost = 0, commands = 0, accepted = 0, refused_commands = 0,
                  faults = 0, jobs_done = 0, crashes = 0;
};

// Faults planted in the configuration of the nodes; the checks must find them.
struct FaultInjection {
    std::function<void(int, maintenance::MaintenanceNodeSettings&)> settings;
    std::function<std::shared_ptr<maintenance::InMemoryRaftStore>()> store;
    bool machines_ignore_fencing = false; // old fencing tokens are accepted
};

class SimulatedMaintenance {
  public:
    struct Front {
        std::string name, address;
        std::unique_ptr<maintenance::MaintenanceNode> node;
        std::shared_ptr<maintenance::InMemoryRaftStore> store;
        double rate = 1;
        Ticks offset = 0, stalled_until = 0, next_list_update_at = 0;
        std::uint64_t starts = 0;
        std::uint64_t incarnation = 0;
        bool failed = false; // not restarted with its machine
    };
    explicit SimulatedMaintenance(const SimulatedMaintenancePlan& plan, FaultInjection fault_injection = {});

    void advance(Ticks span);
    // Advances time until the condition holds, for at most `bound`; returns whether it held.
    bool until(const std::function<bool()>& holds, Ticks bound);

    // Faults
    void kill(int front);
    enum class Disk { kKept, kRebooted, kLost, kOld }; // kRebooted: data intact, but the store is unverified
    void start(int front, Disk disk = Disk::kKept);
    void save_disk_copy(int front); // restored by start() with Disk::kOld
    void stall(int front, Ticks span);
    void cut(std::set<int> one_side, bool both_ways = true); // separates these nodes from all others
    void heal();
    void kill_machine(const std::string& name);
    void return_front_nodes(); // the operator's manual recovery
    void revive_machine(const std::string& name);
    SimulatedMachine& machine(const std::string& name) { return machines_.at(name); }
    std::function<bool(int, int)> drops; // drops a datagram in addition to the cuts
    // Delays of the copies of a controller's reply; if unset, one copy arrives after 1 ms.
    std::function<std::vector<Ticks>(const std::string& machine)> reply_delays;

    std::function<void(int, const maintenance::LogLine&)> on_line; // receives each log line of a front node

    // Operators
    void add_maintenance_jobs(int front, const std::vector<std::string>& machines,
                              const std::string& request);
    // Returns the request as sent; the reply arrives in `operator_replies`.
    nlohmann::json send_operator_request(int front, nlohmann::json what);
    std::map<std::string, std::pair<bool, std::string>> operator_replies;

    // State
    int leader() const; // -1: no leader
    // The schedule of the node that has applied the most commands.
    const maintenance::MaintenanceSchedule& schedule() const;
    bool all_jobs_finished() const; // no job is open
    std::size_t count(maintenance::JobState state) const;
    std::set<std::string> machines_out() const;
    Front& front(int i) { return fronts_[i]; }
    std::size_t fronts() const { return fronts_.size(); }
    Ticks now() const { return now_; }
    const SimulationCounts& counts() const { return counts_; }
    const std::vector<std::string>& violations() const { return violations_; }
    const std::vector<std::string>& event_log() const { return event_log_; } // faults and requests so far
    Ticks time_below_min_replicas() const { return time_below_min_replicas_; }
    std::vector<Ticks> failovers; // time without a leader, for each change
    const std::map<std::string, SimulatedMachine>& machines() const { return machines_; }
    Ticks began = 0, ended = 0; // first request and end of the last job
    void record_event(std::string what) {
        event_log_.push_back(std::to_string(now_ / 10) + "ms " + std::move(what));
    }

  private:
    struct DatagramInFlight {
        Ticks at;
        std::uint64_t sequence;
        int to, from;        // front node indexes; negative: the operator
        std::string address; // sender
        std::string bytes;
        bool operator>(const DatagramInFlight& o) const {
            return std::pair(at, sequence) > std::pair(o.at, o.sequence);
        }
    };
    struct MachineMessage { // a command to a machine controller, or its reply
        Ticks at;
        std::uint64_t sequence;
        int front;
        std::uint64_t node_starts;
        maintenance::MachineCommand command;
        bool answer = false;
        maintenance::MachineStatus status = maintenance::MachineStatus::kUnknown;
        bool operator>(const MachineMessage& o) const {
            return std::pair(at, sequence) > std::pair(o.at, o.sequence);
        }
    };
    Ticks local_time(const Front& front) const {
        return front.offset + static_cast<Ticks>(static_cast<double>(now_) * front.rate);
    }
    Ticks simulated_time(const Front& front, Ticks own) const {
        return static_cast<Ticks>(static_cast<double>(own - front.offset) / front.rate) + 1;
    }
    int front_node_at(const std::string& address) const;
    void process_effects(int from);
    void update_server_list(int front);
    void check();
    void fail(std::string what);
    void receive_operator_reply(const std::string& bytes);

    SimulatedMaintenancePlan plan_;
    FaultInjection fault_injection_;
    Pcg random_;
    Ticks now_ = 1000 * kTicksPerSecond;
    std::uint64_t next_sequence_ = 0;
    std::vector<Front> fronts_;
    std::vector<Ticks> next_steps_;
    std::map<std::string, SimulatedMachine> machines_;
    std::set<std::pair<int, int>> cuts_;
    std::priority_queue<DatagramInFlight, std::vector<DatagramInFlight>, std::greater<>> datagrams_in_flight_;
    std::priority_queue<MachineMessage, std::vector<MachineMessage>, std::greater<>> machine_messages_;
    std::map<int, maintenance::InMemoryRaftStore> disk_copies_;
    std::map<std::uint64_t, std::string> committed_commands_; // by log position
    std::map<std::string, Ticks> last_list_updates_;
    std::map<std::string, std::deque<std::pair<Ticks, maintenance::MachineHealth>>> health_history_;
    membership::DatagramCodec codec_;
    std::unique_ptr<maintenance::FragmentTransport> operator_transport_;
    Ticks time_below_min_replicas_ = 0, checked_at_ = 0, last_leader_at_ = 0;
    bool without_leader_ = true;
    std::set<std::string> reported_;
    std::vector<std::string> violations_, event_log_;
    SimulationCounts counts_;
};

// A seeded schedule of faults during maintenance; all faults end before the last check. The result lists the
// violations.
struct FaultSchedule {
    struct Fault {
        Ticks at = 0;
        int kind = 0, a = 0, b = 0;
        Ticks span = 0;
    };
    SimulatedMaintenancePlan plan;
    std::vector<Fault> faults;
};
FaultSchedule generate_fault_schedule(std::uint64_t seed);
struct FaultScheduleResult {
    std::vector<std::string> violations, event_log;
    SimulationCounts counts;
    Ticks length = 0, time_below_min_replicas = 0;
    std::vector<Ticks> failovers;
};
FaultScheduleResult run_fault_schedule(const FaultSchedule& schedule,
                                       const FaultInjection& fault_injection = {});
// Removes faults one by one as long as a violation remains.
FaultSchedule minimize_fault_schedule(const FaultSchedule& schedule);

} // namespace ivyrill::lab
