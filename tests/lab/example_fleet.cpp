#include "lab/example_fleet.hpp"

#include "lab/read_file.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace ivyrill::lab {

namespace {

constexpr int kStartTimeoutMs = 40'000; // the script's own timeout is shorter
constexpr Ticks kConditionTimeout = 30 * kTicksPerSecond;
constexpr Ticks kPollInterval = kTicksPerSecond / 50; // logs and processes signal no descriptor
constexpr std::string_view kReady = "The fleet is ready; its logs are in ", kLogs = "/logs";

// A different number for each process of a test that runs concurrently.
std::string own_network() {
    const int own = getpid();
    return "127." + std::to_string(100 + own / 250 % 100) + "." + std::to_string(1 + own % 250);
}

std::string number_or_empty(std::int64_t number) { return number > 0 ? std::to_string(number) : ""; }

std::array<int, 2> open_pipe() {
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0) throw std::system_error(errno, std::generic_category(), "pipe2");
    return ends;
}

} // namespace

ExampleFleet::ExampleFleet(const std::string& run, const std::string& build, const PlatformSettings& platform,
                           const FleetLimits& limits)
    : network_(own_network()), program_(build + "/ivyrill-fleet") {
    start(run, build, platform, limits);
    try {
        await_ready();
    } catch (...) {
        stop();
        throw;
    }
}

ExampleFleet::~ExampleFleet() { stop(); }

// The script's command is a `cat`, which runs until its input is closed, also when this process is killed.
void ExampleFleet::start(const std::string& run, const std::string& build, const PlatformSettings& platform,
                         const FleetLimits& limits) {
    const auto input = open_pipe(), output = open_pipe();
    input_ = input[1], output_ = output[0];
    setenv("FLEET_NETWORK", network_.c_str(), 1);
    const bool has_platform = platform.window_s > 0;
    setenv("FLEET_PLATFORM", has_platform ? this->platform().c_str() : "", 1);
    setenv("FLEET_WINDOW_S", std::to_string(platform.window_s).c_str(), 1);
    setenv("FLEET_MEMORY_MB", number_or_empty(limits.memory_mb).c_str(), 1);
    setenv("FLEET_DESCRIPTORS", number_or_empty(limits.file_descriptors).c_str(), 1);
    setenv("FLEET_SERVER_OPTIONS", limits.server_options.c_str(), 1);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, input[0], STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
    std::vector<std::string> words{"bash", run, build, "cat"};
    std::vector<char*> arguments;
    for (std::string& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const int failure = posix_spawnp(&process_, "bash", &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(input[0]);
    close(output[1]);
    if (failure != 0) throw std::system_error(failure, std::generic_category(), "bash");
}

void ExampleFleet::await_ready() {
    std::string output;
    const Ticks give_up = loop_.now() + kStartTimeoutMs * (kTicksPerSecond / 1000);
    while (output.find(kLogs) == std::string::npos || output.back() != '\n') {
        pollfd waited{output_, POLLIN, 0};
        poll(&waited, 1, kStartTimeoutMs);
        std::array<char, 1024> bytes{};
        const ssize_t count = waited.revents == 0 ? 0 : read(output_, bytes.data(), bytes.size());
        if (count <= 0 || loop_.now() > give_up)
            throw std::runtime_error("the fleet did not become ready in time: " + output);
        output.append(bytes.data(), static_cast<std::size_t>(count));
    }
    const std::size_t begin = output.find(kReady);
    if (begin == std::string::npos) throw std::runtime_error("the fleet isn't ready: " + output);
    const std::size_t from = begin + kReady.size();
    folder_ = output.substr(from, output.find(kLogs, from) - from);
}

void ExampleFleet::restart(const std::string& name) {
    if (running(name)) throw std::runtime_error(name + " is still running");
    const std::string log = folder_ + "/logs/" + name, role = name.substr(0, name.find('-'));
    const std::string settings = "settings/" + name + ".yaml"; // its paths are relative to the folder
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_APPEND, 0);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addchdir_np(&actions, folder_.c_str());
    std::vector<std::string> words{program_, role, "--settings", settings};
    std::vector<char*> arguments;
    for (std::string& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    pid_t fresh = -1;
    const int failure = posix_spawn(&fresh, program_.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) throw std::system_error(failure, std::generic_category(), name);
    restarted_.push_back(fresh);
    std::ofstream(folder_ + "/ids/" + name) << fresh << '\n';
}

void ExampleFleet::end_restarted() {
    for (const pid_t id : restarted_) kill(id, SIGKILL);
    for (const pid_t id : restarted_)
        while (waitpid(id, nullptr, 0) < 0 && errno == EINTR) {}
    restarted_.clear();
}

void ExampleFleet::stop() {
    clients_.clear();
    end_restarted();
    close(input_);
    int status = -1;
    while (waitpid(process_, &status, 0) < 0 && errno == EINTR) {}
    close(output_);
    std::error_code ignored; // logs of a failed fleet are kept
    if (WIFEXITED(status) && WEXITSTATUS(status) == 0 && !folder_.empty())
        std::filesystem::remove_all(folder_, ignored);
}

std::string ExampleFleet::address(int host, int port) const {
    return network_ + "." + std::to_string(host) + ":" + std::to_string(port);
}
std::string ExampleFleet::control(int number) const { return address(10 + number, 8262); }
std::string ExampleFleet::front(int number) const { return address(20 + number, 8263); }

pid_t ExampleFleet::process(const std::string& name) const {
    const std::string text = read_file(folder_ + "/ids/" + name);
    if (text.empty()) throw std::runtime_error(name + ": the fleet has no such process");
    return static_cast<pid_t>(std::stol(text));
}

void ExampleFleet::signal(const std::string& name, int number) const {
    if (kill(process(name), number) != 0) throw std::system_error(errno, std::generic_category(), name);
}

bool ExampleFleet::running(const std::string& name) const {
    // An ended process remains as a zombie (`Z`) until its parent, the script, waits for it.
    const std::string stat = read_file("/proc/" + std::to_string(process(name)) + "/stat");
    const std::size_t position_after_name = stat.rfind(')');
    return position_after_name != std::string::npos && stat.substr(position_after_name, 3) != ") Z";
}

std::string ExampleFleet::log(const std::string& name) const { return read_file(folder_ + "/logs/" + name); }

StreamClient& ExampleFleet::client(const std::string& address) {
    clients_.push_back(std::make_unique<StreamClient>(loop_, address));
    return *clients_.back();
}

const ClientAnswer& ExampleFleet::ask(const std::string& address, const ClientRequest& request) {
    StreamClient& asking = client(address);
    asking.send(request);
    until([&] { return asking.over(); });
    return asking.answer();
}

bool ExampleFleet::until(const std::function<bool()>& holds) {
    const Ticks give_up = loop_.now() + kConditionTimeout;
    for (;;) {
        for (const auto& client : clients_) client->pass();
        if (call_each_turn_) call_each_turn_();
        if (holds()) return true;
        if (loop_.now() >= give_up) return false;
        Ticks next = loop_.now() + kPollInterval;
        for (const auto& client : clients_) next = std::min(next, client->due().value_or(next));
        loop_.wait(next);
    }
}

} // namespace ivyrill::lab
