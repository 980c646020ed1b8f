// Simulates a whole control side in virtual time: control nodes running the program's code (consensus,
// operator's calls, server records, feed, files), agents that follow the feed, model servers that send
// heartbeats and leave, operators that change the configuration, and readers. Guarantees are checked during
// the run; a violation is recorded as text. A history is determined by its seed.
#pragma once
#include "agent/usage_relay.hpp"
#include "control/control_node.hpp"
#include "feed/publisher_list.hpp"
#include "feed/subscriber.hpp"
#include "lab/configuration_history.hpp"
#include "lab/simulated_network.hpp"
#include "proxy/usage_meter.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ivyrill::lab {

// The five failures that a history may provoke, and one plan that combines all.
enum class ControlPlanKind : std::uint8_t {
    kCutOff,      // a machine is isolated for long, and both sides are queried
    kRaces,       // operators compete under one number, answers are lost, orders are resent
    kSecondLoss,  // a loss right after a repair or a replacement, or during it
    kManyChanges, // hundreds of changes, with members restarted, wiped and frozen
    kLateAnswers, // answers that arrive after the caller's process restarted, or twice
    kMixed,
    kDuties // duty holders are repeatedly stopped, isolated or frozen
};
inline constexpr int kControlPlanKinds = 6; // of control_plan_of_seed; not duties
inline constexpr Ticks kFirstOrderWithin = 8 * kTicksPerSecond;
inline constexpr Ticks kRecoverWithin = 12 * kTicksPerSecond; // `recoveryS`
inline constexpr Ticks kDrainBound = 2 * kTicksPerSecond;     // `drainMs`: after an acknowledged leave

struct ControlPlan {
    std::uint64_t seed = 1;
    ControlPlanKind kind = ControlPlanKind::kMixed;
    int control_machines = 3, spares = 0, agents = 2, servers = 3, operators = 2;
    int tolerance = 1;          // disks that may be lost at once
    Ticks faults_for = 0;       // from the first configuration on
    bool records_trace = false; // records a trace of events
    double usage_window_s = 0;  // 0: usage is not counted
};

ControlPlan control_plan_of_seed(std::uint64_t seed);
ControlPlan control_plan_of(ControlPlanKind kind, std::uint64_t seed);
ControlPlan duty_plan_of_seed(std::uint64_t seed);

struct ControlCounts {
    std::uint64_t faults = 0, acknowledged = 0, refused = 0, sent_again = 0, reads = 0, leavings = 0,
                  disks_lost = 0, batches = 0, late_answers_passed_over = 0, orders_to_servers = 0,
                  orders_accepted = 0, platform_calls = 0, reports_accepted = 0, reports_acknowledged = 0,
                  count_calls = 0, counts_accepted = 0;
    std::array<bool, 5> provoked{}; // which of the five were provoked, in the order of ControlPlanKind
};

class ControlWorld {
  public:
    explicit ControlWorld(ControlPlan plan);
    ~ControlWorld();
    ControlWorld(const ControlWorld&) = delete;
    ControlWorld& operator=(const ControlWorld&) = delete;

    void play(); // the whole history of the plan: start, faults under load, fault-free period, final checks

    // For tests that provoke a single failure.
    SimulatedNetwork& network() { return network_; }
    bool run_until(const std::function<bool()>& holds, Ticks limit) {
        return network_.run_until(holds, limit);
    }
    void run_for(Ticks span) { network_.run_for(span); }
    void start_all();
    bool settle(Ticks limit); // until there is a leader, all running machines agree, and feeds are served
    std::optional<MachineNumber> leader() const;
    const control::ControlNode* node(MachineNumber machine) const;
    const std::vector<MachineNumber>& control_machines() const { return control_; }
    void restart(MachineNumber machine, Ticks down_for, bool loses_power);
    void wipe(MachineNumber machine, Ticks down_for);
    MachineNumber replace(MachineNumber machine, Ticks down_for);
    void corrupt_state(MachineNumber machine, Ticks down_for); // the newest state file becomes unreadable
    void isolate(MachineNumber machine, bool is_cut); // both directions, to all other control machines
    void set_first_start(bool first_start) { first_start_ = first_start; } // in settings of later starts
    // Usage (control_usage.cpp): one proxy beside each agent, which keeps running when the agent is killed.
    std::int64_t true_ms() const; // the true time, in ms since the start of 1970
    void step_clock(MachineNumber machine, std::int64_t ahead_ms) { clocks_ahead_[machine] = ahead_ms; }
    MachineNumber agent_machine(std::size_t agent) const { return agents_.at(agent).machine; }
    void begin_request(std::size_t agent, const std::string& tenant); // its first token is produced now
    void kill_agent(std::size_t agent, Ticks down_for);
    void kill_proxy(std::size_t agent); // it does not restart
    // Started requests that no proxy had reported to its agent when it was killed.
    const std::map<std::int64_t, std::map<std::string, std::int64_t>>& lost() const { return lost_; }
    void end_proxy(std::size_t agent); // as planned
    std::optional<clock::FleetTime> proxy_time(std::size_t agent) const;
    std::map<std::string, std::int64_t> begun(std::int64_t window) const; // the actual counts, by tenant
    std::int64_t window_ms() const { return static_cast<std::int64_t>(plan_.usage_window_s * 1000); }
    struct CallResult {
        int status = 0;
        std::string body;
    };
    void call(MachineNumber machine, protocol::HttpMessage message,
              std::function<void(const CallResult&)> done,
              std::function<void()> answering = {}); // called when the machine answers with 200
    OrderNumber new_order(std::int64_t base, std::int64_t version);
    // Sends one order to one machine and waits for its answer there; status 0: none within a second.
    void send_order(OrderNumber order, MachineNumber machine, std::function<void(int status)> done);
    const ConfigurationHistory& history() const { return history_; }
    const std::vector<std::string>& violations() const { return violations_; }
    const std::vector<std::string>& trace() const { return trace_; }
    const ControlCounts& counts() const { return counts_; }

  private:
    struct Node { // a control machine
        std::unique_ptr<control::ControlNode> process;
        bool is_gone = false; // permanently replaced
        bool disk_counts_as_lost = false;
        Ticks calm_for = 0; // since its disk was lost and it restarted
        std::optional<Ticks> cut_off_since;
        std::optional<Ticks> leaving_since; // told to stop, and not started since
        bool was_serving = false;           // its feed, at the last check
    };
    struct Agent {
        MachineNumber machine = 0;
        std::unique_ptr<feed::Subscriber> process;
        feed::PublisherList control_nodes{0};     // known to this process
        std::int64_t version = 0;                 // in this process
        std::string fed_by;                       // address of the control node
        std::set<std::string> known_leaving;      // in this process
        std::unique_ptr<agent::UsageRelay> usage; // of this process
        std::unique_ptr<proxy::UsageMeter> proxy;
        int proxy_linked_to = -1;    // the agent's process that the proxy reported to last
        Ticks proxy_reported_at = 0; // reported to the proxy
        // Since its last report.
        std::map<std::int64_t, std::map<std::string, std::int64_t>> unreported_usage;
        Ticks reported_at = 0;
    };
    struct Server {
        std::string id, address;
        std::uint64_t sequence = 0;
        bool drains = false, asked_to_leave = false, ended = false;
        std::string beat_address;
        std::optional<Ticks> leaving_acknowledged; // time of the acknowledgement
    };
    struct Act { // an order that arrived at a server
        MachineNumber sender = 0;
        std::uint64_t fence = 0;
        Ticks at = 0;
    };
    struct Engine { // a server that receives orders
        std::string id, address;
        model::Stage stage = model::Stage::kDecode;
        bool is_up = false;
        std::uint64_t sequence = 0;
        std::int64_t orders_accepted = 0;
        Ticks changing_until = 0;
        std::uint64_t operator_fence = 0; // lower ones are rejected: of an order given by an operator
        std::vector<Act> acts;
        std::optional<Ticks> ordered_at; // by a node's duty, and under which fence
        std::uint64_t ordered_under = 0;
        std::set<std::pair<std::uint64_t, std::int64_t>> taken; // fence, accepted orders
        std::map<MachineNumber, std::uint64_t> fenced_off;      // last rejected fence
    };
    enum class SimulatedPlatformMode : std::uint8_t {
        kQuick,
        kSlow,
        kSilent,
        kBusy,
        kResets,
        kFails,
        kFencesOff
    };
    struct PlatformRequest {
        duties::PlatformCall call;
        std::string holder;
    };
    struct CountSubject { // server counts of one zone
        std::vector<Act> acts;
        std::map<MachineNumber, std::uint64_t> fenced_off; // last rejected fence, as reported
        std::set<std::pair<MachineNumber, int>> under_way; // machine and incarnation of callers
    };
    struct Platform {
        SimulatedPlatformMode mode = SimulatedPlatformMode::kQuick;
        std::vector<Act> acts;
        std::map<std::int64_t, std::string> reports;       // by window: the first body received
        std::map<std::int64_t, std::int64_t> accepted;     // by window: time, in true ms
        std::map<MachineNumber, std::uint64_t> fenced_off; // last rejected fence, as reported
        std::map<std::string, CountSubject> count_subjects;
    };
    static constexpr std::int64_t kClockErrorMs = 100; // maximum error of the fleet's time
    class WorldOrderLink;
    class WorldPlatformLink;
    struct Operator {
        std::int64_t known = 0; // the newest version it knows
        std::optional<OrderNumber> order;
        Ticks pause = 0;
        int tries = 0;
    };

    // control_world.cpp: machines and their programs
    settings::Settings settings_of(MachineNumber machine) const;
    void start_control(MachineNumber machine);
    void start_agent(std::size_t agent);
    MachineNumber add_control_machine();
    static std::string peer_address(MachineNumber machine);
    static std::string feed_address(const std::string& host_and_port); // of a control node
    std::vector<std::string> feed_addresses(Agent& agent);
    void agent_applied(std::size_t agent, const feed::Tables::Applied& applied);
    bool is_live(MachineNumber machine) const;
    MachineNumber any_control();
    void lose_disk_of(MachineNumber machine); // its identity is never seen again
    void request_stop(MachineNumber machine);
    void report_violation(std::string what);
    void record_event(const std::string& what);
    void record_groups(); // the voters known to each machine

    // control_checks.cpp: checks of the guarantees
    void watch();
    bool reach_each_other(MachineNumber a, MachineNumber b) const;
    bool is_cut_off(MachineNumber machine) const;
    void watch_contact(MachineNumber machine);
    void watch_lost_disk(MachineNumber machine);
    void watch_opening(MachineNumber machine);
    void watch_identity(MachineNumber machine);
    void watch_voters();
    void check_joining(MachineNumber machine);
    void watch_replaced_disks(const std::vector<consensus::Member>& voters);
    MachineNumber machine_of(const consensus::Member& voter) const;
    std::int64_t version_on_disk(MachineNumber machine) const;
    bool lost_a_disk_lately() const;
    void check_order_lasts(OrderNumber order);
    bool is_calm();
    void watch_all_contact(); // after machines or links have changed
    void check_leaving_lasts(const std::string& server, MachineNumber answering);

    // control_clients.cpp: servers, operators, readers
    void start_clients();
    void beat(std::size_t server);
    void send_beat(std::size_t server, int tries_left);
    void leave(std::size_t server);
    void send_leave(std::size_t server);
    void server_answered(std::size_t server, const CallResult& result, bool was_leaving);
    void replace_server(std::size_t server);
    void operate(std::size_t number);
    void send_operator_order(std::size_t number);
    void operator_answered(std::size_t number, OrderNumber order, int status);
    void read();
    void order_answered(OrderNumber order, int status);
    void set_message_faults(const MessageFaults& faults);
    std::string body_of(OrderNumber order) const;
    std::optional<OrderNumber> order_in(const std::string& body) const;
    void note_call_of_cut_off(MachineNumber machine, Ticks asked_at, int status, const std::string& what);

    // control_duties.cpp: servers that receive orders, and duty holders
    duties::OrderClient& order_link(MachineNumber machine);
    void open_order_connection(MachineNumber machine, const duties::StageOrder& order,
                               const std::string& holder, std::function<bool()> may_send,
                               std::function<void(duties::OrderOutcome)> done);
    void order_leaves(MachineNumber machine, const duties::StageOrder& order, const std::string& holder,
                      const std::function<void(duties::OrderOutcome)>& done);
    int take_order(MachineNumber sender, const duties::StageOrder& order, const std::string& request);
    void judge_one(std::vector<Act>& acts, MachineNumber sender, std::uint64_t fence);
    void judge_holder(Engine& engine, MachineNumber sender, const std::string& holder, std::uint64_t fence);
    void note_fenced_off(MachineNumber sender, const duties::StageOrder& order);
    void start_engines();
    void replace_engine(std::size_t number);
    void beat_engine(std::size_t number);
    void report_engines();
    void act_for_duties();
    void act_once(MachineNumber machine);
    std::optional<MachineNumber> duty_holder() const;
    void duties_plan();
    void move_duties();
    void check_duties_calm();

    // control_platform.cpp: the platform that receives usage reports
    duties::PlatformClient& platform_link(MachineNumber machine);
    void open_platform_connection(MachineNumber machine, const PlatformRequest& request,
                                  std::function<bool()> may_send,
                                  std::function<void(duties::PlatformOutcome)> done);
    void platform_call_leaves(MachineNumber machine, const PlatformRequest& request,
                              const std::function<void(duties::PlatformOutcome)>& done);
    duties::PlatformOutcome take_platform_call(MachineNumber sender, const PlatformRequest& request);
    void check_is_agreed(MachineNumber machine, const duties::PlatformCall& call);
    void judge_report(const std::string& name, const std::string& body);
    void accept_report(const std::string& body);
    void report_leaves(MachineNumber machine, const PlatformRequest& request);
    void report_ends(MachineNumber machine, const PlatformRequest& request, duties::PlatformOutcome outcome);
    void start_usage();
    void begin_requests();
    void change_platform_mode();
    void step_a_clock();
    void calm_platform();
    bool all_reported(std::int64_t last) const;
    void check_usage_calm();
    // control_counts.cpp: the platform that receives server counts
    static bool is_of_count(const PlatformRequest& request) { return request.call.path == "/scale"; }
    CountSubject& count_subject(const PlatformRequest& request);
    void count_call_leaves(MachineNumber machine, const PlatformRequest& request);
    void count_call_ends(MachineNumber machine, const PlatformRequest& request,
                         duties::PlatformOutcome outcome);
    void judge_count(MachineNumber sender, std::uint64_t fence, const PlatformRequest& request);
    // control_usage.cpp: proxies that count, clocks that jump
    std::int64_t time_of_day(MachineNumber machine) const;
    void count_usage(std::size_t agent, feed::Subscriber::Callbacks& callbacks);
    void start_proxy(std::size_t agent);
    void report_usage(std::size_t agent);
    void report_to_agent(std::size_t agent, std::vector<model::ProcessUsage> counts);

    // control_faults.cpp: random faults; control_plans.cpp: planned failures
    void fault();
    void mixed_fault();
    void cut_off_plan();
    void short_cuts();
    void former_leader_is_heard();
    void leader_is_in_the_smaller_half();
    void races_plan();
    void second_loss_plan();
    void many_changes_plan();
    void late_answers_plan();
    void early_losses();
    void records_arrive_late();
    void members_rejoin_without_records();
    void leader_is_lost_while_entries_are_late();
    void hold_entries_from(MachineNumber machine); // for a limited time
    void hold_entries(MachineNumber machine);
    void hold_records_from(const std::set<MachineNumber>& machines);
    void release_records();
    void closing_fault();
    bool may_lose_disk() const;
    void lose_a_disk();
    void cut_until(Ticks over, const std::vector<std::pair<MachineNumber, MachineNumber>>& links);
    void partition_into_halves(Ticks over);
    void heal();
    void check_calm();

    ControlPlan plan_;
    SimulatedNetwork network_;
    std::vector<MachineNumber> control_; // including those that were replaced
    std::map<MachineNumber, Node> nodes_;
    std::vector<std::string> seeds_;
    bool first_start_ = true;
    std::vector<Agent> agents_;
    std::vector<Server> servers_;
    std::vector<Operator> operators_;
    std::vector<Engine> engines_;
    std::uint64_t engine_count_ = 0;
    std::map<MachineNumber, std::unique_ptr<duties::OrderClient>> order_links_;
    std::map<MachineNumber, std::unique_ptr<duties::PlatformClient>> platform_links_;
    Platform platform_;
    std::optional<MachineNumber> stepped_; // machines whose time of day has jumped
    ConfigurationHistory history_;
    std::map<std::int64_t, OrderNumber> orders_by_mark_;
    std::set<std::uint64_t> lost_identities_;
    std::set<std::uint64_t> voters_;        // of the leader, at the last check
    Ticks disk_replaced_for_ = 0;           // how long the group has tolerated fewer losses than it could
    std::set<OrderNumber> answered_orders_; // with 200, even if the answer was lost
    std::set<std::string> answered_leavings_;
    bool message_faults_ = false;
    Ticks last_disk_loss_ = 0;
    std::uint64_t server_count_ = 0;
    int active_cuts_ = 0;
    bool clients_act_ = false, quick_operators_ = false;
    Ticks faults_until_ = 0;
    double answer_lost_ = 0;
    std::vector<std::string> violations_, trace_;
    ControlCounts counts_;
    std::map<MachineNumber, std::int64_t> clocks_ahead_;                       // of true time, in ms
    std::map<std::int64_t, std::map<std::string, std::int64_t>> begun_, lost_; // by window and tenant
};

} // namespace ivyrill::lab
