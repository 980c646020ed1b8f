// Front nodes' wardens in virtual time, round them machines with their keepers, a network that loses, delays,
// doubles and cuts as it is told, clocks that differ, stalls, crashes with and without their disks. Whatever
// happens is checked as it happens; a broken promise is kept in words. From one seed all is the same each
// time.
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

// A machine and its keeper: drains, goes out, works, comes back cold and warms up, or misbehaves as told.
struct SimulatedMachine {
    enum class State { kServing, kDraining, kDrained, kWorking, kWorked, kStarting, kBroken, kDead };
    maintenance::MachineFacts facts;
    State state = State::kServing;
    Ticks since = 0, warm_at = 0;
    maintenance::FencingToken highest_fence; // that its keeper has heard
    bool never_drains = false, never_returns = false, returns_broken = false, checks_fence = true;
    Ticks drain_duration = 0, work_duration = 0, start_duration = 0, warm_up_duration = 0;

    maintenance::MachineStatus execute(Ticks now, maintenance::MachineAction what,
                                       maintenance::FencingToken fence); // what the keeper answers
    void pass(Ticks now);                                                // what comes by itself
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
    Ticks work = 4 * kTicksPerSecond; // of each machine, mean
    double loss_ratio = 0, duplicate_ratio = 0;
    Ticks min_delay = 5, max_delay = 30;
    double clock_error = 0; // of the clocks' rates, at most
    Ticks max_list_age = 0; // the list is so old, at most
    bool varied_work_duration = true;
};

struct SimulationCounts {
    std::uint64_t datagrams = 0, bytes = 0, lost = 0, commands = 0, accepted = 0, refused_commands = 0,
                  faults = 0, jobs_done = 0, crashes = 0;
};

// What a front node is given in place of what it should: faults that are planted.
struct FaultInjection {
    std::function<void(int, maintenance::MaintenanceNodeSettings&)> terms;
    std::function<std::shared_ptr<maintenance::InMemoryRaftStore>()> store;
    bool machines_ignore_fencing = false; // older numbers are taken
};

class SimulatedMaintenance {
  public:
    struct Front {
        std::string name, address;
        std::unique_ptr<maintenance::MaintenanceNode> node;
        std::shared_ptr<maintenance::InMemoryRaftStore> store;
        double rate = 1;
        Ticks offset = 0, stalled_until = 0, list_at = 0;
        std::uint64_t starts = 0;
        std::uint64_t incarnation = 0;
        bool failed = false; // it may be started again
    };
    explicit SimulatedMaintenance(const SimulatedMaintenancePlan& plan, FaultInjection fault_injection = {});

    void pass(Ticks span);
    // Passes until that holds, at most so long; whether it came to hold.
    bool until(const std::function<bool()>& holds, Ticks bound);

    // Faults
    void kill(int front);
    enum class Disk { kKept, kRebooted, kLost, kOld }; // the second: all is there, and nothing vouches for it
    void start(int front, Disk disk = Disk::kKept);
    void save_disk_copy(int front); // of its disk, to be put back later
    void stall(int front, Ticks span);
    void cut(std::set<int> one_side, bool both_ways = true); // from all others
    void heal();
    void kill_machine(const std::string& name);
    void return_front_nodes(); // by hand
    void revive_machine(const std::string& name);
    SimulatedMachine& machine(const std::string& name) { return machines_.at(name); }
    std::function<bool(int, int)> drops; // a link at this moment, beside the cuts
    // Of one keeper's answer: how often it comes, and how late; empty: once, at once.
    std::function<std::vector<Ticks>(const std::string& machine)> reply_delays;

    std::function<void(int, const maintenance::LogLine&)> on_line; // of a front node's log

    // Operators
    void add_maintenance_jobs(int front, const std::vector<std::string>& machines,
                              const std::string& request);
    nlohmann::json send_operator_request(int front,
                                         nlohmann::json what); // sends it; the answer comes into `answers`
    std::map<std::string, std::pair<bool, std::string>> operator_replies;

    // What is
    int leader() const;                                       // -1: none that a majority follows
    const maintenance::MaintenanceSchedule& schedule() const; // as the node knows it that has applied most
    bool all_jobs_finished() const;                           // every turn, and every machine serves again
    std::size_t count(maintenance::JobState state) const;
    std::set<std::string> machines_out() const;
    Front& front(int i) { return fronts_[i]; }
    std::size_t fronts() const { return fronts_.size(); }
    Ticks now() const { return now_; }
    const SimulationCounts& counts() const { return counts_; }
    const std::vector<std::string>& violations() const { return violations_; } // promises
    const std::vector<std::string>& event_log() const { return event_log_; }   // what was done to it
    Ticks time_below_min_replicas() const { return time_below_min_replicas_; }
    std::vector<Ticks> failovers; // from a leader's end until another leads
    const std::map<std::string, SimulatedMachine>& machines() const { return machines_; }
    Ticks began = 0, ended = 0; // of the evening: the first order, the last turn's end
    void record_event(std::string what) {
        event_log_.push_back(std::to_string(now_ / 10) + "ms " + std::move(what));
    }

  private:
    struct DatagramInFlight {
        Ticks at;
        std::uint64_t sequence;
        int to, from;        // fronts; below zero: the operator
        std::string address; // of the sender
        std::string bytes;
        bool operator>(const DatagramInFlight& o) const {
            return std::pair(at, sequence) > std::pair(o.at, o.sequence);
        }
    };
    struct MachineMessage { // an act on its way to the keeper, or an answer on its way back
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
    std::map<std::uint64_t, std::string> committed_commands_; // by position in the log
    std::map<std::string, Ticks> list_told_;
    std::map<std::string, std::deque<std::pair<Ticks, maintenance::MachineHealth>>> health_history_;
    membership::DatagramCodec codec_;
    std::unique_ptr<maintenance::FragmentTransport> operator_transport_;
    Ticks time_below_min_replicas_ = 0, checked_at_ = 0, last_leader_at_ = 0;
    bool without_leader_ = true;
    std::set<std::string> reported_;
    std::vector<std::string> violations_, event_log_;
    SimulationCounts counts_;
};

// One seeded schedule of faults over an evening, healed at its end; what it breaks is in `broken`.
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
// The fewest faults of it that still break something.
FaultSchedule minimize_fault_schedule(const FaultSchedule& schedule);

} // namespace ivyrill::lab
