// `make measure NAME=scale`: how the fleet's control grows with nodes and servers. A few real processes of
// control, agent and proxy and many hollow ones on loopback addresses; in each step a configuration change, a
// restart of all nodes at once, a release of servers, the loss of a control process and of a zone. The last
// line is one JSON object; the exit status is 1 where a rule broke.
#include "scale/fleet.hpp"
#include "scale/hollow_agents.hpp"
#include "scale/hollow_servers.hpp"
#include "scale/selection.hpp"
#include "scale/sizes.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <unistd.h>

namespace ivyrill::scale {

namespace {

constexpr double kReadyBoundS = 60, kChangeBoundS = 4, kReleaseBoundS = 30, kCalmS = 6, kSettleS = 3;
constexpr double kSnapshotBoundS = 60, kLostControlBoundS = 15, kZoneBoundS = 20;
constexpr useconds_t kPoll = 25'000;
constexpr int kBadInput = 2;

struct Calm { // shares of a core, KB a second a node, loads a second
    double agent_share = 0, proxy_share = 0, control_share = 0, kb_s = 0, loads_s = 0, batches_s = 0;
};
struct Outcome {
    Sizes sizes;
    double ready_s = 0, change_s = 0, change_after_loss_s = 0, snapshot_all_s = 0, release_s = 0,
           zone_seen_s = 0, zone_back_s = 0;
    Calm calm, told; // without loads told by hollow agents, and with them
    double snapshot_control_core_s = 0,
           node_storm_core_s = 0; // of the busiest control process; of one real node
    double agent_mb = 0, proxy_mb = 0, control_mb = 0, control_peak_mb = 0;
    double beats_s = 0, longest_beat_ms = 0, failed_beats = 0;
    SelectionCost selection;
    std::vector<std::string> broken;
    double full_loads_s() const { return static_cast<double>(sizes.servers) * kReportsPerServer; }
    // By the two rates of loads that were measured, at the rate at which every server is read.
    double at_full(double calm_value, double told_value) const {
        const double loads = told.loads_s - calm.loads_s;
        return loads <= 0 ? told_value
                          : calm_value + (told_value - calm_value) / loads * (full_loads_s() - calm.loads_s);
    }
    double node_share() const {
        return at_full(calm.agent_share + calm.proxy_share, told.agent_share + told.proxy_share);
    }
};

class Step {
  public:
    Step(const Sizes& sizes, Fleet& fleet) : fleet_(fleet) { outcome_.sizes = sizes; }

    Outcome run() {
        outcome_.selection = measure_selection(outcome_.sizes.servers, outcome_.sizes.nodes);
        start();
        measure_calm();
        outcome_.change_s = change(kChangeBoundS);
        restart_all();
        release();
        lose_control();
        lose_zone();
        outcome_.control_peak_mb = largest(fleet_.controls, &Process::peak_memory_mb);
        if (fleet_.agents().went_back > 0) broke("a node went back to an older configuration");
        return outcome_;
    }

  private:
    std::size_t hollow() const { return outcome_.sizes.nodes - kRealNodes; }
    void broke(const std::string& rule) {
        fmt::print("  broken: {}\n", rule);
        outcome_.broken.push_back(rule);
    }
    // Seconds until it holds; the bound where it doesn't, which breaks the rule.
    double until(const std::string& rule, double bound_s, const std::function<bool()>& holds) {
        const double began = steady_s();
        for (;;) {
            if (holds()) return steady_s() - began;
            if (steady_s() - began > bound_s) {
                broke(fmt::format("{}: not within {} s", rule, bound_s));
                return bound_s;
            }
            usleep(kPoll);
        }
    }
    static double largest(const std::vector<std::unique_ptr<Process>>& processes,
                          double (Process::*measure)() const) {
        double most = 0;
        for (const auto& process : processes) most = std::max(most, (process.get()->*measure)());
        return most;
    }
    static std::vector<double> cpu(const std::vector<std::unique_ptr<Process>>& processes) {
        std::vector<double> spent;
        for (const auto& process : processes) spent.push_back(process->cpu_s());
        return spent;
    }
    static double most_since(const std::vector<std::unique_ptr<Process>>& processes,
                             const std::vector<double>& before) {
        double most = 0;
        for (std::size_t i = 0; i < before.size(); ++i)
            most = std::max(most, processes[i]->cpu_s() - before[i]);
        return most;
    }

    bool all_in_step(std::size_t agents) {
        const AgentsState state = fleet_.agents();
        return state.agents == agents && state.connected == agents && state.least_version >= version_;
    }
    bool all_know_servers(std::size_t old) {
        const ServersSeen seen = fleet_.servers_seen();
        return seen.least == outcome_.sizes.servers && seen.most == outcome_.sizes.servers &&
               seen.most_old == old;
    }

    void start() {
        fleet_.start_controls();
        const double began = steady_s();
        if (fleet_.put_configuration(0, ++version_, kReadyBoundS) != 200)
            broke("the first configuration is not taken");
        fleet_.start_nodes();
        fleet_.start_servers();
        until("every node has the configuration and all servers", kReadyBoundS, [this] {
            return all_in_step(hollow()) && fleet_.agents().least_nodes == outcome_.sizes.nodes &&
                   all_know_servers(outcome_.sizes.servers);
        });
        outcome_.ready_s = steady_s() - began;
    }

    Calm calm() {
        usleep(static_cast<useconds_t>(kSettleS * 1e6));
        Calm found;
        const auto agents = cpu(fleet_.real_agents), proxies = cpu(fleet_.real_proxies),
                   controls = cpu(fleet_.controls);
        const AgentsState before = fleet_.agents();
        const double began = steady_s();
        usleep(static_cast<useconds_t>(kCalmS * 1e6));
        const AgentsState after = fleet_.agents();
        const double span = steady_s() - began;
        found.agent_share = most_since(fleet_.real_agents, agents) / span;
        found.proxy_share = most_since(fleet_.real_proxies, proxies) / span;
        found.control_share = most_since(fleet_.controls, controls) / span;
        const auto bytes = static_cast<double>(after.received + after.sent) -
                           static_cast<double>(before.received + before.sent);
        found.kb_s = bytes / 1000 / span / static_cast<double>(hollow());
        found.batches_s =
            static_cast<double>(after.batches - before.batches) / span / static_cast<double>(hollow());
        // The real nodes read their share in any case.
        const double real = outcome_.full_loads_s() * static_cast<double>(kRealNodes) /
                            static_cast<double>(outcome_.sizes.nodes);
        found.loads_s = static_cast<double>(after.loads_told - before.loads_told) / span + real;
        if (after.ended != before.ended) broke("sessions ended in calm");
        return found;
    }

    void measure_calm() {
        fleet_.beats();
        const BeatsState before = fleet_.beats();
        const double began = steady_s();
        outcome_.calm = calm();
        fleet_.tell_agents("reports on");
        outcome_.told = calm();
        fleet_.tell_agents("reports off");
        const BeatsState after = fleet_.beats();
        outcome_.beats_s =
            static_cast<double>(after.acknowledged - before.acknowledged) / (steady_s() - began);
        outcome_.failed_beats = static_cast<double>(after.failed - before.failed);
        outcome_.longest_beat_ms = after.longest_ms;
        if (after.failed > before.failed)
            broke(fmt::format("{} heartbeats of servers failed in calm", after.failed - before.failed));
        outcome_.agent_mb = largest(fleet_.real_agents, &Process::memory_mb);
        outcome_.proxy_mb = largest(fleet_.real_proxies, &Process::memory_mb);
        outcome_.control_mb = largest(fleet_.controls, &Process::memory_mb);
    }

    // From the first sending until every hollow agent has it.
    double change(double bound_s) {
        const double began = steady_s();
        const int status = fleet_.put_configuration(version_, version_ + 1, bound_s);
        if (status != 200) {
            broke(fmt::format("a change is not taken (status {})", status));
            return bound_s;
        }
        ++version_;
        until("a change is everywhere", bound_s, [this] { return all_in_step(hollow()); });
        return steady_s() - began;
    }

    void restart_all() {
        const auto controls = cpu(fleet_.controls), agents = cpu(fleet_.real_agents);
        fleet_.tell_agents("restart");
        outcome_.snapshot_all_s = until("all nodes have a snapshot after a restart", kSnapshotBoundS, [this] {
            return all_in_step(hollow()) && fleet_.servers_seen().least == outcome_.sizes.servers;
        });
        outcome_.snapshot_control_core_s = most_since(fleet_.controls, controls);
        outcome_.node_storm_core_s = most_since(fleet_.real_agents, agents);
    }

    void release() {
        const std::size_t count = std::max<std::size_t>(kServerWorkers, outcome_.sizes.servers / 20) /
                                  kServerWorkers * kServerWorkers;
        fleet_.release(count);
        outcome_.release_s = until("a release is known everywhere", kReleaseBoundS, [this, count] {
            return fleet_.beats().released == count && all_know_servers(outcome_.sizes.servers - count);
        });
    }

    void lose_control() {
        const std::size_t lost = fleet_.leader();
        fleet_.controls[lost]->kill_and_wait();
        outcome_.change_after_loss_s = change(kLostControlBoundS);
        const std::size_t other = (lost + 1) % outcome_.sizes.controls;
        std::int64_t read = 0;
        until("a configuration is read back", kLostControlBoundS,
              [&] { return (read = fleet_.read_version(other)) > 0; });
        if (read > 0 && read < version_) broke("an acknowledged configuration is lost");
        fleet_.start_control(lost);
        until("a control process is back", kLostControlBoundS,
              [this] { return fleet_.agents().least_controls == outcome_.sizes.controls; });
    }

    // Silent as by a loss of power: its processes are stopped, and go on later.
    void lose_zone() {
        const std::size_t zone = kZones - 1, gone = fleet_.agents_in(zone);
        if (gone == 0) return;
        std::unique_ptr<Process> process = std::move(fleet_.agent_zones[zone]);
        fleet_.agent_zones.pop_back();
        process->signal(SIGSTOP);
        outcome_.zone_seen_s = until("a lost zone is known everywhere", kZoneBoundS, [this, gone] {
            return fleet_.agents().most_nodes == outcome_.sizes.nodes - gone;
        });
        process->signal(SIGCONT);
        outcome_.zone_back_s = until("a zone is back everywhere", kZoneBoundS,
                                     [this] { return fleet_.agents().least_nodes == outcome_.sizes.nodes; });
        fleet_.agent_zones.push_back(std::move(process));
    }

    Fleet& fleet_;
    Outcome outcome_;
    std::int64_t version_ = 0;
};

// One row a step, for the plots.
void write_points(const std::string& path, const std::vector<Outcome>& outcomes) {
    std::ofstream file(path);
    file << "# nodes servers controls change_s change_after_loss_s snapshot_all_s release_s zone_seen_s "
            "node_share "
            "node_kb_s node_mb control_share control_mb snapshot_control_core_s beats_s choose_us calm_kb_s "
            "told_kb_s "
            "told_loads_s calm_control_share told_control_share\n";
    for (const Outcome& o : outcomes)
        file << fmt::format(
            "{} {} {} {:.3f} {:.3f} {:.3f} {:.3f} {:.3f} {:.5f} {:.2f} {:.1f} {:.4f} {:.1f} {:.3f} {:.0f} "
            "{:.1f} {:.3f} {:.3f} {:.1f} {:.4f} {:.4f}\n",
            o.sizes.nodes, o.sizes.servers, o.sizes.controls, o.change_s, o.change_after_loss_s,
            o.snapshot_all_s, o.release_s, o.zone_seen_s, o.node_share(), o.at_full(o.calm.kb_s, o.told.kb_s),
            o.agent_mb + o.proxy_mb, o.at_full(o.calm.control_share, o.told.control_share), o.control_peak_mb,
            o.snapshot_control_core_s, o.beats_s, o.selection.choose_us, o.calm.kb_s, o.told.kb_s,
            o.told.loads_s, o.calm.control_share, o.told.control_share);
}

std::string json(const Outcome& o) {
    return fmt::format(
        R"({{"nodes":{},"servers":{},"controls":{},"change_everywhere_s":{:.3f},"node_control_core_share":{:.4f},)"
        R"("node_control_kb_s":{:.2f},"node_memory_mb":{:.1f},"control_core_share":{:.3f},"control_memory_mb":{:.1f},)"
        R"("snapshot_all_s":{:.2f},"rules_broken":{},"ready_s":{:.2f},"change_after_loss_s":{:.3f},"release_s":{:.2f},)"
        R"("zone_seen_s":{:.2f},"zone_back_s":{:.2f},"snapshot_control_core_s":{:.2f},"node_storm_core_s":{:.2f},)"
        R"("loads_full_s":{:.0f},"calm":{},"told":{},"agent_mb":{:.1f},"proxy_mb":{:.1f},"beats_s":{:.0f},)"
        R"("longest_beat_ms":{:.0f},"failed_beats":{:.0f},"choose_us":{:.1f},"set_instances_ms":{:.2f},)"
        R"("assign_reports_ms":{:.2f},"selector_kb_per_server":{:.2f}}})",
        o.sizes.nodes, o.sizes.servers, o.sizes.controls, o.change_s, o.node_share(),
        o.at_full(o.calm.kb_s, o.told.kb_s), o.agent_mb + o.proxy_mb,
        o.at_full(o.calm.control_share, o.told.control_share), o.control_peak_mb, o.snapshot_all_s,
        o.broken.size(), o.ready_s, o.change_after_loss_s, o.release_s, o.zone_seen_s, o.zone_back_s,
        o.snapshot_control_core_s, o.node_storm_core_s, o.full_loads_s(),
        fmt::format(
            R"({{"loads_s":{:.1f},"kb_s":{:.3f},"agent":{:.5f},"proxy":{:.5f},"control":{:.4f},"batches_s":{:.1f}}})",
            o.calm.loads_s, o.calm.kb_s, o.calm.agent_share, o.calm.proxy_share, o.calm.control_share,
            o.calm.batches_s),
        fmt::format(
            R"({{"loads_s":{:.1f},"kb_s":{:.3f},"agent":{:.5f},"proxy":{:.5f},"control":{:.4f},"batches_s":{:.1f}}})",
            o.told.loads_s, o.told.kb_s, o.told.agent_share, o.told.proxy_share, o.told.control_share,
            o.told.batches_s),
        o.agent_mb, o.proxy_mb, o.beats_s, o.longest_beat_ms, o.failed_beats, o.selection.choose_us,
        o.selection.set_instances_ms, o.selection.assign_reports_ms, o.selection.kilobytes_per_server);
}

// The part without processes: no sockets, the same figures each time.
int run_pure(const std::vector<Sizes>& steps) {
    for (const Sizes& sizes : steps) {
        const SelectionCost cost = measure_selection(sizes.servers, sizes.nodes);
        fmt::print(
            R"({{"nodes":{},"servers":{},"choose_us":{:.1f},"set_instances_ms":{:.3f},"assign_reports_ms":{:.3f},)"
            R"("selector_kb_per_server":{:.2f},"digests_ms":{:.4f},"snapshot_ms":{:.2f},"snapshot_kb":{:.1f}}})"
            "\n",
            sizes.nodes, sizes.servers, cost.choose_us, cost.set_instances_ms, cost.assign_reports_ms,
            cost.kilobytes_per_server, cost.digests_ms, cost.snapshot_ms, cost.snapshot_kb);
    }
    return 0;
}

int run_steps(const std::vector<Sizes>& steps, const std::string& self, const std::string& points) {
    for (const Sizes& sizes : steps)
        if (const auto fit = check_fit(sizes); fit.has_error()) {
            fmt::print(stderr, "measure_scale: {}\n", fit.error().message);
            return kBadInput;
        }
    // Two runs at once would meet at the same addresses.
    if (call(control_host(0), kControlPort, "GET", "/inspect", "", "", 1).first != 0) {
        fmt::print(stderr, "measure_scale: {}:{} is in use: end the other run first\n", control_host(0),
                   kControlPort);
        return kBadInput;
    }
    std::vector<Outcome> outcomes;
    std::size_t broken = 0;
    for (const Sizes& sizes : steps) {
        fmt::print("step: {} nodes, {} servers, {} control processes\n", sizes.nodes, sizes.servers,
                   sizes.controls);
        std::fflush(stdout);
        const auto folder =
            std::filesystem::temp_directory_path() / fmt::format("ivyrill-scale-{}", getpid());
        Fleet fleet(sizes, IVYRILL_FLEET_PROGRAM, self, folder);
        outcomes.push_back(Step(sizes, fleet).run());
        broken += outcomes.back().broken.size();
        fmt::print("  {}\n", json(outcomes.back()));
        std::fflush(stdout);
    }
    if (!points.empty()) write_points(points, outcomes);
    std::string last = json(outcomes.back());
    const std::string own = fmt::format(R"("rules_broken":{})", outcomes.back().broken.size());
    last.replace(last.find(own), own.size(), fmt::format(R"("rules_broken":{})", broken));
    fmt::print("{}\n", last);
    return broken == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"measure_scale: how the fleet's control grows with nodes and servers"};
    bool quick = false, pure = false;
    Sizes sizes{0, 0, 3};
    std::string points;
    std::size_t hollow_agents = 0, hollow_servers = 0, readers = 0;
    app.add_flag("--quick", quick, "the first two steps only");
    app.add_flag("--pure", pure, "without processes: what tables and choices cost");
    std::size_t most = SIZE_MAX;
    app.add_option("--most", most, "the standard steps up to so many nodes");
    app.add_option("--nodes", sizes.nodes, "one step of this size, with --servers");
    app.add_option("--servers", sizes.servers, "one step of this size, with --nodes");
    app.add_option("--controls", sizes.controls, "control processes of that step");
    app.add_option("--points", points, "file that the rows of the plots are written to");
    const auto* agents_option = app.add_option("--hollow-agents", hollow_agents)->group("");
    const auto* servers_option = app.add_option("--hollow-servers", hollow_servers)->group("");
    app.add_option("--readers", readers)->group("");
    CLI11_PARSE(app, argc, argv);
    if (agents_option->count() > 0)
        return run_hollow_agents({hollow_agents, kZones, sizes.nodes, sizes.controls, readers});
    if (servers_option->count() > 0)
        return run_hollow_servers({hollow_servers, kServerWorkers, sizes.servers, sizes.controls});
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<Sizes> steps = standard_steps();
    if (quick) steps.resize(2);
    std::erase_if(steps, [most](const Sizes& step) { return step.nodes > most; });
    if (sizes.nodes > 0 || sizes.servers > 0) steps = {sizes};
    if (pure) return run_pure(steps);
    return run_steps(steps, std::filesystem::read_symlink("/proc/self/exe").string(), points);
}

} // namespace ivyrill::scale

int main(int argc, char** argv) { return ivyrill::scale::main(argc, argv); }
