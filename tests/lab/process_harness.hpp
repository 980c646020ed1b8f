// Several processes of the program with faults between them: front nodes as they are served (`ivyrill
// serve`), round them index servers, discovery, keepers and the links between any two, played in one thread
// on loopback. Every link can be cut, one way or both, lose, double and delay; processes can be stalled,
// killed and started with their disk or without. What servers, keepers and clients saw goes into one history,
// by one clock, and is judged afterwards.
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
    std::string program; // the path of `ivyrill`
    int fronts = 5, candidates = 5, servers = 12, shards = 6, zones = 3, replicas = 3;
    std::size_t voter_count = 3;
    Ticks work = kTicksPerSecond / 2;
    std::string more;                                     // lines behind the operator's file
    bool with_maintenance = true, with_membership = true; // the latter: they are members
    int stated_nodes = 0; // what the settings say of the front nodes' number; 0: as many as there are
    // What a part takes at a server, however many are there, and what the settings say of a cold one.
    Ticks service = 0, warm_up_time = 3 * kTicksPerSecond / 10;
    double cold_capacity_ratio = 0.3, overload_factor = 4;
};

// What was seen; `at` by the rig's own clock.
struct ProcessHarnessEvent {
    enum class What { kAttempt, kCommand, kRefusedCommand, kListSent, kMachineDown, kMachineUp, kFault } what;
    Ticks at = 0;
    int front = -1;
    std::string name, detail; // a part's id or a machine; a request class, an act or a state
    std::uint64_t fence = 0;
};

struct SearchCounts {
    std::uint64_t asked = 0, delivered = 0, rejected = 0, failed = 0,
                  incomplete = 0; // the last: no whole answer
    std::uint64_t lost = 0;       // not answered in time by one that was there all along
    double utility = 0, most_utility = 0;
};

class ProcessHarness {
  public:
    explicit ProcessHarness(const ProcessHarnessPlan& plan);
    ~ProcessHarness();
    ProcessHarness(const ProcessHarness&) = delete;
    ProcessHarness& operator=(const ProcessHarness&) = delete;

    // Processes. Each waits until it has come to that, with a bound.
    void start(int front);
    bool ready(int front, int timeout_ms = 10'000) const; // it serves
    void kill(int front);                                 // SIGKILL
    void stall(int front, bool on);                       // SIGSTOP, SIGCONT
    void lose_disk(int front);
    void save_disk_copy(int front);
    void restore_disk_copy(int front);
    bool running(int front) const;

    // Links, by front node; -1 stands for all index servers, discovery and keepers.
    void cut(const std::set<int>& one_side, bool both_ways = true);
    void cut_services(int front, bool on); // its index servers, discovery and keeper fall silent
    void set_packet_faults(double share, double duplicate_ratio, Ticks max_delay);
    void heal();

    void with_machine(const std::string& name, const std::function<void(SimulatedMachine&)>& change);
    bool await(const std::function<bool()>& holds, int timeout_ms = 20'000) const;

    // Operators: the program's own command line against a running front node.
    std::pair<int, std::string> run_work_command(int front, const std::vector<std::string>& words,
                                                 const std::string& request = {}) const;
    nlohmann::json show(int front) const; // null where it does not answer
    bool maintenance_finished(int front) const;

    // Clients, until `stop_clients`.
    void start_clients(int threads, int per_second);
    SearchCounts stop_clients();
    SearchCounts counts() const;

    std::vector<ProcessHarnessEvent> history() const;
    std::vector<std::string> check_history() const; // broken promises, in words
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
        int front, target; // server's number; -1 discovery, -2 keeper
        transport::Stream stream;
        protocol::FrameParser frames;
        protocol::HttpParser requests{protocol::HttpParser::Side::kRequests};
        std::string line;
        std::int64_t watch_after = -1;
        Ticks watch_until = 0;
        std::deque<std::pair<Ticks, std::string>> delayed_answers; // answers, when they are due
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
        std::string listen, advertised, bound; // the members' address as others know it, and as it is
        std::unique_ptr<transport::Source> relay;
        transport::Task relaying;
        pid_t process = -1;
        bool stalled = false, wanted = true, ending = false; // the last: told to, by its keeper
        std::uint64_t epoch = 0;                             // raised whenever something befalls it
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
    mutable std::mutex mutex_; // for all that follows but the loop's own
    transport::Loop loop_;
    std::list<Listener> listeners_;
    std::vector<std::unique_ptr<Peer>> peers_;
    std::vector<Front> fronts_;
    std::map<std::string, SimulatedMachine> machines_;
    std::map<std::string, SimulatedMachine::State> last_states_;
    std::map<std::string, std::int64_t>
        changed_versions_; // the version in which a server's entry changed last
    std::map<std::string, Ticks> started_at_;
    std::int64_t version_ = 1;
    std::set<std::pair<int, int>> cuts_;
    std::set<int> services_cut_;
    bool links_restored_ = false; // links are whole again
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
    int run_ = 0; // of the clients
};

} // namespace ivyrill::lab
