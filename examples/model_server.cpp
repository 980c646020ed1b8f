// A stand-in for a model server, to try the fleet on one machine: it speaks the published protocol, takes
// as long as the settings below specify, and generates hexadecimal words. SIGTERM makes it drain and leave; a
// second one ends it.
#include "lab/model_server.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <random>
#include <sys/signalfd.h>
#include <unistd.h>

namespace {

using namespace ivyrill;

constexpr std::int64_t kTicksPerMs = kTicksPerSecond / 1000;

struct Arguments {
    lab::ModelServerPlan plan;
    lab::HeartbeatPlan heartbeats;
    std::string stage = "decode";
    std::int64_t beat_ms = 1200, drain_ms = 2000, token_ms = 10;
};

std::string fresh_id() {
    std::random_device device;
    return "i-" + lab::hexadecimal(device(), 8);
}

int open_signals() {
    sigset_t held;
    sigemptyset(&held);
    sigaddset(&held, SIGTERM);
    sigaddset(&held, SIGINT);
    sigprocmask(SIG_BLOCK, &held, nullptr);
    return signalfd(-1, &held, SFD_NONBLOCK | SFD_CLOEXEC);
}

bool signalled(int descriptor) {
    signalfd_siginfo signal{};
    return read(descriptor, &signal, sizeof signal) == sizeof signal;
}

void declare(CLI::App& app, Arguments& arguments) {
    lab::ModelServerPlan& plan = arguments.plan;
    app.add_option("--listen", plan.address, "address to serve at, IP:PORT")->required();
    app.add_option("--id", plan.id, "id of this incarnation; drawn where it isn't given");
    app.add_option("--service", plan.service, "name of its service")->required();
    app.add_option("--zone", plan.zone, "zone of its machine")->required();
    app.add_option("--stage", arguments.stage, "its part at the start")
        ->check(CLI::IsMember({"prefill", "decode"}));
    app.add_option("--control", arguments.heartbeats.control, "addresses that take heartbeats, with commas")
        ->delimiter(',')
        ->required();
    app.add_option("--model", plan.model, "name of its model")->capture_default_str();
    app.add_option("--health-path", plan.health_path)->capture_default_str();
    app.add_option("--slots", plan.slots, "requests at once")->capture_default_str();
    app.add_option("--queue", plan.queue, "requests that wait")->capture_default_str();
    app.add_option("--conn-limit", plan.connection_limit, "connections at once")->capture_default_str();
    app.add_option("--memory-tokens", plan.memory_tokens)->capture_default_str();
    app.add_option("--stride", plan.stride, "tokens in an event")->capture_default_str();
    app.add_option("--read-rate", plan.read_tokens_per_s, "tokens of a prompt read in a second")
        ->capture_default_str();
    app.add_option("--token-ms", arguments.token_ms, "from one token to the next")->capture_default_str();
    app.add_option("--late-copies", plan.late_copies,
                   "share of refusals and prefill results of which a second copy arrives late")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--short-handles", plan.short_handles, "share of handles that lapse at once")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--beat-ms", arguments.beat_ms, "between two heartbeats")->capture_default_str();
    app.add_option("--drain-ms", arguments.drain_ms, "served on after `draining` is acknowledged")
        ->capture_default_str();
}

std::string values_of(const lab::HttpHead& head, std::string_view name) {
    std::string values;
    for (const lab::HttpField& field : head.fields)
        if (field.name == name) values += (values.empty() ? "" : ",") + field.value;
    return values;
}

// A line for each generation and prefill call: its intended server, and whether it carries a client's key.
void log_calls(const std::vector<lab::HttpHead>& heads, std::size_t& logged) {
    for (; logged < heads.size(); ++logged) {
        const lab::HttpHead& head = heads[logged];
        std::cout << "call attempt=" << head.field("attempt-id")
                  << " stage=" << (head.has("serving-stage") ? head.field("serving-stage") : "run")
                  << " priority=" << values_of(head, "priority") << " tenant=" << values_of(head, "tenant")
                  << " api_key=" << (head.has("api-key") ? "shown" : "none") << std::endl;
    }
}

// A line for each run that began: only these count as run; calls may be rejected.
void log_runs(const std::vector<std::string>& begun, std::size_t& logged) {
    for (; logged < begun.size(); ++logged) std::cout << "run attempt=" << begun[logged] << std::endl;
}

void serve(const Arguments& arguments) {
    transport::Loop loop;
    transport::Source signals(loop, open_signals());
    lab::ModelServer server(loop, arguments.plan, arguments.heartbeats);
    std::cout << server.core().plan().id << " serves " << arguments.plan.service << " at " << server.address()
              << std::endl;
    std::size_t logged = 0, logged_runs = 0;
    while (!server.ended()) {
        loop.wait(server.due());
        if (signalled(signals.descriptor())) {
            if (server.core().draining()) return;
            server.leave();
        }
        server.pass();
        log_calls(server.core().heads(), logged);
        log_runs(server.core().begun(), logged_runs);
    }
}

} // namespace

int main(int count, char** words) {
    Arguments arguments;
    arguments.plan.id = fresh_id();
    CLI::App app("a stand-in model server of the published protocol");
    declare(app, arguments);
    CLI11_PARSE(app, count, words);
    arguments.plan.stage = *lab::stage_from_name(arguments.stage);
    arguments.plan.token_step = arguments.token_ms * kTicksPerMs;
    arguments.heartbeats.interval = arguments.beat_ms * kTicksPerMs;
    arguments.heartbeats.drain = arguments.drain_ms * kTicksPerMs;
    try {
        serve(arguments);
        return 0;
    } catch (const std::exception& failure) {
        std::cerr << arguments.plan.address << ": " << failure.what() << "\n";
        return 1;
    }
}
