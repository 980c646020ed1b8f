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
struct HallMachine {
    enum class Is { kServing, kDraining, kDrained, kWorking, kWorked, kStarting, kBroken, kDead };
    maintenance::MachineFacts facts;
    Is is = Is::kServing;
    Tenths since = 0, warm_at = 0;
    maintenance::FencingToken highest; // that its keeper has heard
    bool never_drains = false, never_back = false, back_broken = false, checks_fence = true;
    Tenths drains_for = 0, works_for = 0, starts_for = 0, warms_for = 0;

    maintenance::MachineStatus act(Tenths now, maintenance::MachineAction what,
                                   maintenance::FencingToken fence); // what the keeper answers
    void pass(Tenths now);                                           // what comes by itself
    bool serves() const { return is == Is::kServing || is == Is::kDraining || is == Is::kDrained; }
    maintenance::MachineHealth health(Tenths now) const;
};

struct WorldPlan {
    std::uint64_t seed = 1;
    int fronts = 5, candidates = 5;
    std::size_t council = 3;
    int servers = 8, shards = 4, replicas = 3, zones = 2;
    maintenance::Limits limits{2, 0.5, 0.5, 0.34, 0.34, 0};
    maintenance::Timing spans{4 * kTenthsPerSecond,
                              20 * kTenthsPerSecond,
                              30 * kTenthsPerSecond,
                              20 * kTenthsPerSecond,
                              20 * kTenthsPerSecond,
                              kTenthsPerSecond,
                              kTenthsPerSecond,
                              0.02,
                              3,
                              0.05};
    maintenance::FailurePolicy answers;
    Tenths heartbeat = kTenthsPerSecond / 4;
    Tenths work = 4 * kTenthsPerSecond; // of each machine, mean
    double loss = 0, doubled = 0;
    Tenths least_delay = 5, most_delay = 30;
    double clock_error = 0; // of the clocks' rates, at most
    Tenths list_age = 0;    // the list is so old, at most
    bool shuffled_work = true;
};

struct WorldCounts {
    std::uint64_t datagrams = 0, bytes = 0, lost = 0, acts = 0, accepted = 0, refused_acts = 0, faults = 0,
                  turns_done = 0, crashes = 0;
};

// What a front node is given in place of what it should: faults that are planted.
struct Planted {
    std::function<void(int, maintenance::MaintenanceNodeSettings&)> terms;
    std::function<std::shared_ptr<maintenance::InMemoryRaftStore>()> ledger;
    bool careless_keepers = false; // older numbers are taken
};

class EveningWorld {
  public:
    struct Front {
        std::string name, address;
        std::unique_ptr<maintenance::MaintenanceNode> warden;
        std::shared_ptr<maintenance::InMemoryRaftStore> ledger;
        double rate = 1;
        Tenths offset = 0, stalled_until = 0, list_at = 0;
        std::uint64_t starts = 0;
        std::uint64_t incarnation = 0;
        bool failed = false; // it may be started again
    };
    explicit EveningWorld(const WorldPlan& plan, Planted planted = {});

    void pass(Tenths span);
    // Passes until that holds, at most so long; whether it came to hold.
    bool until(const std::function<bool()>& holds, Tenths bound);

    // Faults
    void kill(int front);
    enum class Disk { kKept, kRebooted, kLost, kOld }; // the second: all is there, and nothing vouches for it
    void start(int front, Disk disk = Disk::kKept);
    void keep_copy(int front); // of its disk, to be put back later
    void stall(int front, Tenths span);
    void cut(std::set<int> one_side, bool both_ways = true); // from all others
    void heal();
    void kill_machine(const std::string& name);
    void bring_back_fronts(); // by hand
    void revive_machine(const std::string& name);
    HallMachine& machine(const std::string& name) { return machines_.at(name); }
    std::function<bool(int, int)> drops; // a link at this moment, beside the cuts
    // Of one keeper's answer: how often it comes, and how late; empty: once, at once.
    std::function<std::vector<Tenths>(const std::string& machine)> answers_as;

    std::function<void(int, const maintenance::LogLine&)> on_line; // of a front node's log

    // Operators
    void order(int front, const std::vector<std::string>& machines, const std::string& request);
    nlohmann::json ask(int front, nlohmann::json what); // sends it; the answer comes into `answers`
    std::map<std::string, std::pair<bool, std::string>> answers;

    // What is
    int leader() const;                                      // -1: none that a majority follows
    const maintenance::MaintenanceSchedule& evening() const; // as the node knows it that has applied most
    bool all_over() const;                                   // every turn, and every machine serves again
    std::size_t count(maintenance::JobState state) const;
    std::set<std::string> machines_out() const;
    Front& front(int i) { return fronts_[i]; }
    std::size_t fronts() const { return fronts_.size(); }
    Tenths now() const { return now_; }
    const WorldCounts& counts() const { return counts_; }
    const std::vector<std::string>& broken() const { return broken_; } // promises
    const std::vector<std::string>& story() const { return story_; }   // what was done to it
    Tenths under_floor() const { return under_floor_; }
    std::vector<Tenths> failovers; // from a leader's end until another leads
    const std::map<std::string, HallMachine>& machines() const { return machines_; }
    Tenths began = 0, ended = 0; // of the evening: the first order, the last turn's end
    void tell(std::string what) { story_.push_back(std::to_string(now_ / 10) + "ms " + std::move(what)); }

  private:
    struct Flight {
        Tenths at;
        std::uint64_t order;
        int to, from;        // fronts; below zero: the operator
        std::string address; // of the sender
        std::string bytes;
        bool operator>(const Flight& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
    };
    struct Errand { // an act on its way to the keeper, or an answer on its way back
        Tenths at;
        std::uint64_t order;
        int front;
        std::uint64_t life;
        maintenance::MachineCommand act;
        bool answer = false;
        maintenance::MachineStatus kept = maintenance::MachineStatus::kUnknown;
        bool operator>(const Errand& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
    };
    Tenths clock_of(const Front& front) const {
        return front.offset + static_cast<Tenths>(static_cast<double>(now_) * front.rate);
    }
    Tenths world_time(const Front& front, Tenths own) const {
        return static_cast<Tenths>(static_cast<double>(own - front.offset) / front.rate) + 1;
    }
    int front_at(const std::string& address) const;
    void carry(int from);
    void tell_list(int front);
    void check();
    void fail(std::string what);
    void operator_hears(const std::string& bytes);

    WorldPlan plan_;
    Planted planted_;
    Pcg chance_;
    Tenths now_ = 1000 * kTenthsPerSecond;
    std::uint64_t order_ = 0;
    std::vector<Front> fronts_;
    std::vector<Tenths> dues_;
    std::map<std::string, HallMachine> machines_;
    std::set<std::pair<int, int>> cuts_;
    std::priority_queue<Flight, std::vector<Flight>, std::greater<>> flights_;
    std::priority_queue<Errand, std::vector<Errand>, std::greater<>> errands_;
    std::map<int, maintenance::InMemoryRaftStore> copies_;
    std::map<std::uint64_t, std::string> agreed_; // by position in the log
    std::map<std::string, Tenths> list_told_;
    std::map<std::string, std::deque<std::pair<Tenths, maintenance::MachineHealth>>> healths_;
    membership::DatagramCodec seal_;
    std::unique_ptr<maintenance::FragmentTransport> operator_;
    Tenths under_floor_ = 0, checked_at_ = 0, led_at_ = 0;
    bool leaderless_ = true;
    std::set<std::string> said_;
    std::vector<std::string> broken_, story_;
    WorldCounts counts_;
};

// One seeded schedule of faults over an evening, healed at its end; what it breaks is in `broken`.
struct Schedule {
    struct Fault {
        Tenths at = 0;
        int kind = 0, a = 0, b = 0;
        Tenths span = 0;
    };
    WorldPlan plan;
    std::vector<Fault> faults;
};
Schedule draw_schedule(std::uint64_t seed);
struct ScheduleResult {
    std::vector<std::string> broken, story;
    WorldCounts counts;
    Tenths length = 0, under_floor = 0;
    std::vector<Tenths> failovers;
};
ScheduleResult play(const Schedule& schedule, const Planted& planted = {});
// The fewest faults of it that still break something.
Schedule shrink(const Schedule& schedule);

} // namespace ivyrill::lab
