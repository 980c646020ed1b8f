// Test harness for several processes of the program with fault injection. Front nodes run as `ivyrill serve`;
// one thread simulates the index servers, discovery, machine controllers and all links on loopback. Links can
// be cut one way or both, and lose, duplicate and delay datagrams; processes can be stalled, killed and
// restarted with or without their disk. Events are recorded in one history with one clock and checked
// afterwards.
#pragma once
#include "lab/simulated_maintenance.hpp"
#include "protocol/frames.hpp"
#include "protocol/http.hpp"
#include "transport/stream.hpp"

#include <atomic>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <sys/types.h>
#include <thread>

namespace ivyrill::lab {

struct ProcessHarnessPlan {
    std::string program; // path of the `ivyrill` executable
    int fronts = 5, candidates = 5, servers = 12, shards = 6, zones = 3, replicas = 3;
    std::size_t voter_count = 3;
    Ticks work = kTicksPerSecond / 2;
    std::string more;                                     // lines appended to the operator file
    bool with_maintenance = true, with_membership = true; // with_membership: nodes exchange membership
    int configured_node_count = 0; // configured number of front nodes; 0: the actual number
    // Service time of a part, independent of load, and the configured limits of a cold server.
    Ticks service = 0, warm_up_time = 3 * kTicksPerSecond / 10;
    double cold_capacity_ratio = 0.3, overload_factor = 4;
};

// An observed event; `at` is the harness's clock.
struct ProcessHarnessEvent {
    enum class What { kAttempt, kCommand, kRefusedCommand, kListSent, kMachineDown, kMachineUp, kFault } what;
    Ticks at = 0;
    int front = -1;
    std::string name, detail; // part id or machine; server, action or state
    std::uint64_t fence = 0;
};

struct SearchCounts {
    std::uint64_t asked = 0, delivered = 0, rejected = 0, failed = 0,
                  incomplete = 0; // incomplete: no complete response
    std::uint64_t lost = 0;       // not answered in time although the front node ran throughout
    double utility = 0, most_utility = 0;
};

class ProcessHarness {
  public:
    explicit ProcessHarness(const ProcessHarnessPlan& plan);
    ~ProcessHarness();
    ProcessHarness(const ProcessHarness&) = delete;
    ProcessHarness& operator=(const ProcessHarness&) = delete;

    // Processes.
    void start(int front);
    bool ready(int front, int timeout_ms = 10'000) const; // waits until it serves; false after the timeout
    void kill(int front);                                 // SIGKILL
    void stall(int front, bool on);                       // SIGSTOP, SIGCONT
    void lose_disk(int front);
    void save_disk_copy(int front);
    void restore_disk_copy(int front);
    bool running(int front) const;

    // Links between front nodes, and from one to its services.
    void cut(const std::set<int>& one_side, bool both_ways = true);
    void cut_services(int front, bool on); // its servers, discovery and controller stop responding
    void set_packet_faults(double loss_ratio, double duplicate_ratio, Ticks max_delay);
    void heal();

    void with_machine(const std::string& name, const std::function<void(SimulatedMachine&)>& change);
    bool await(const std::function<bool()>& holds, int timeout_ms = 20'000) const;

    // Operators: runs the program's command line against a running front node.
    std::pair<int, std::string> run_work_command(int front, const std::vector<std::string>& arguments,
                                                 const std::string& request = {}) const;
    nlohmann::json show(int front) const; // null if it does not answer
    bool maintenance_finished(int front) const;

    // Clients; they run until stop_clients().
    void start_clients(int threads, int per_second);
    SearchCounts stop_clients();
    SearchCounts counts() const;

    std::vector<ProcessHarnessEvent> history() const;
    std::vector<std::string> check_history() const; // the violations found
    std::size_t jobs_done() const;
    std::uint64_t duplicate_attempts() const;
    std::string log_of(int front) const;
    std::string folder() const { return folder_; }
    Ticks now() const { return loop_.now(); }
    int faults() const { return faults_; }
    Ticks time_below_min_replicas() const { return time_below_min_replicas_; }

  private:
    struct Peer {
        Peer(transport::Loop& loop, int descriptor, int front, int target);
        int front, target; // target: server index; -1 discovery, -2 machine controller
        transport::Stream stream;
        protocol::FrameParser frames;
        protocol::HttpParser requests{protocol::HttpParser::Side::kRequests};
        std::string line;
        std::int64_t watch_after = -1;
        Ticks watch_until = 0;
        std::deque<std::pair<Ticks, std::string>> delayed_answers; // due time and answer
        bool closed = false;
        transport::Task task;
    };
    struct Listener {
        int front, target;
        std::string address;
        std::unique_ptr<transport::Source> source;
        transport::Task task;
    };
    struct Front {
        std::string listen, advertised, bound; // membership address as advertised and as bound
        std::unique_ptr<transport::Source> relay;
        transport::Task relay_task;
        pid_t process = -1;
        bool stalled = false, wanted = true, ending = false; // ending: stopped by its controller
        std::uint64_t epoch = 0;                             // incremented at each start, stall and kill
    };
    struct DelayedDatagram {
        Ticks at;
        std::uint64_t sequence;
        int to;
        std::string bytes;
        bool operator>(const DelayedDatagram& o) const {
            return std::pair(at, sequence) > std::pair(o.at, o.sequence);
        }
    };
    void run();
    transport::Task accept(Listener& listener);
    transport::Task serve(Peer& peer);
    transport::Task relay(int front);
    void answer_frame(Peer& peer, const protocol::Frame& frame);
    void answer_machine_command(Peer& peer);
    void answer_watches();
    std::string list_for(int front, std::int64_t after) const;
    void open_listeners(int target, bool on);
    void update_machines();
    void client(int number, int per_second);
    void write_files(int front) const;
    void spawn(int front, bool rebooted);
    bool is_cut(int from, int to) const;
    void record(ProcessHarnessEvent event);
    std::string file(const std::string& name) const { return folder_ + "/" + name; }

    ProcessHarnessPlan plan_;
    std::string folder_, host_;
    mutable std::mutex mutex_; // guards the members below, except those only the loop uses
    transport::Loop loop_;
    std::list<Listener> listeners_;
    std::vector<std::unique_ptr<Peer>> peers_;
    std::vector<Front> fronts_;
    std::map<std::string, SimulatedMachine> machines_;
    std::map<std::string, SimulatedMachine::State> last_states_;
    std::map<std::string, std::int64_t> changed_versions_; // list version of each server's last change
    std::map<std::string, Ticks> started_at_;
    std::int64_t version_ = 1;
    std::set<std::pair<int, int>> cuts_;
    std::set<int> services_cut_;
    bool links_restored_ = false; // wakes streams that waited for a cut link
    double loss_ratio_ = 0, duplicate_ratio_ = 0;
    Ticks max_delay_ = 0;
    std::priority_queue<DelayedDatagram, std::vector<DelayedDatagram>, std::greater<>> delayed_datagrams_;
    std::uint64_t next_sequence_ = 0;
    Pcg random_{11};
    std::vector<ProcessHarnessEvent> history_;
    std::vector<std::string> violations_;
    SearchCounts counts_;
    Ticks time_below_min_replicas_ = 0, machines_updated_at_ = 0;
    std::atomic<int> faults_ = 0;
    std::atomic<bool> stop_ = false, clients_stopped_ = false;
    std::thread thread_;
    std::vector<std::thread> clients_;
    Ticks began_ = 0;
    int run_ = 0; // number of the client run
};

} // namespace ivyrill::lab
