#include "program/machine_controller.hpp"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace ivyrill::program {

using transport::Stream;
using transport::Task;

namespace {

constexpr std::size_t kMaxOutputBytes = 1024, kMaxPending = 256;

std::string command_line(const maintenance::MachineCommand& act) {
    return std::string(maintenance::to_string(act.action)) + " " + act.machine + " " +
           std::to_string(act.fence.value);
}

} // namespace

MachineController::MachineController(transport::Loop& loop, std::vector<std::string> command,
                                     std::string address, Ticks timeout)
    : loop_(loop), command_(std::move(command)), address_(std::move(address)), timeout_(timeout) {}

MachineController::~MachineController() {
    for (PendingCommand& command : pending_)
        if (command.process > 0) kill(command.process, SIGKILL), waitpid(command.process, nullptr, 0);
}

void MachineController::execute(Ticks now, const maintenance::MachineCommand& act) {
    if (pending_.size() >= kMaxPending) return; // dropped: the caller treats a missing reply as unknown
    PendingCommand& command = pending_.emplace_back();
    command.act = act, command.deadline = now + timeout_;
    if (!command_.empty()) {
        if (!spawn(command)) return add_reply(command);
        command.task = read_output(command);
    } else {
        const int descriptor = transport::connect_to(address_);
        if (descriptor < 0) return add_reply(command);
        command.stream = std::make_unique<Stream>(loop_, descriptor, Stream::Start::kConnecting,
                                                  kMaxOutputBytes, kMaxOutputBytes);
        command.task = query_address(command);
    }
    command.task.start();
}

bool MachineController::spawn(PendingCommand& command) {
    int pipe_ends[2];
    if (pipe2(pipe_ends, O_CLOEXEC) != 0) return false;
    std::vector<std::string> words = command_;
    std::istringstream input(command_line(command.act));
    for (std::string word; input >> word;) words.push_back(word);
    std::vector<char*> argv;
    for (std::string& word : words) argv.push_back(word.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t file_actions;
    posix_spawn_file_actions_init(&file_actions);
    posix_spawn_file_actions_addopen(&file_actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_adddup2(&file_actions, pipe_ends[1], 1);
    posix_spawnattr_t attributes; // the controller must not inherit the blocked signals
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    const int failed =
        posix_spawnp(&command.process, argv[0], &file_actions, &attributes, argv.data(), environ);
    posix_spawn_file_actions_destroy(&file_actions), posix_spawnattr_destroy(&attributes);
    close(pipe_ends[1]);
    if (failed != 0) {
        command.process = -1;
        close(pipe_ends[0]);
        return false;
    }
    fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
    command.pipe = std::make_unique<transport::Source>(loop_, pipe_ends[0]);
    return true;
}

Task MachineController::read_output(PendingCommand& command) {
    transport::Slot& readable = command.pipe->readable;
    for (;;) {
        char bytes[256];
        const ssize_t count = read(command.pipe->descriptor(), bytes, sizeof bytes);
        if (count > 0 && command.output.size() < kMaxOutputBytes)
            command.output.append(bytes, static_cast<std::size_t>(count));
        else if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR))
            break;
        else if (count < 0)
            co_await readable;
    }
    command.finished = true;
}

Task MachineController::query_address(PendingCommand& command) {
    Stream& stream = *command.stream;
    stream.send(command_line(command.act) + " " + std::to_string(command.act.serial) + "\n");
    struct Appender {
        std::string& target;
        std::size_t feed(std::string_view bytes) { return target.append(bytes), bytes.size(); }
    } appender{command.output};
    while (!stream.ended() && command.output.find('\n') == std::string::npos &&
           command.output.size() < kMaxOutputBytes) {
        while (stream.unread()) stream.feed(appender);
        if (command.output.find('\n') == std::string::npos && !stream.ended()) co_await stream.changed;
    }
    while (stream.unread()) stream.feed(appender); // the reply and the end of the stream may arrive together
    command.finished = true;
}

void MachineController::add_reply(PendingCommand& command) {
    command.finished = true;
    std::istringstream words(command.output);
    std::string machine = command.act.machine, state;
    std::uint64_t serial = command.act.serial;
    if (command_.empty())
        words >> serial >> machine >> state;
    else
        words >> state;
    // An unusable reply is reported as an unknown state; the caller asks again.
    if (!words && state.empty()) machine = command.act.machine, serial = command.act.serial;
    replies_.push_back(
        {serial, machine,
         maintenance::machine_status_from(state).value_or(maintenance::MachineStatus::kUnknown)});
}

void MachineController::step(Ticks now) {
    for (auto next = pending_.begin(); next != pending_.end();) {
        PendingCommand& command = *next;
        if (!command.finished && now < command.deadline) {
            ++next;
            continue;
        }
        if (command.finished && (command.stream || command.pipe)) add_reply(command);
        if (command.process > 0) {
            if (!command.finished) kill(command.process, SIGKILL);
            exited_.push_back(command.process);
        }
        next = pending_.erase(next);
    }
    std::erase_if(exited_, [](pid_t process) { return waitpid(process, nullptr, WNOHANG) != 0; });
}

Ticks MachineController::next_step() const {
    Ticks first = loop_.now() + kTicksPerSecond * 60;
    for (const PendingCommand& command : pending_)
        first = std::min(first, command.finished ? loop_.now() : command.deadline);
    if (!exited_.empty()) first = std::min(first, loop_.now() + kTicksPerSecond / 20);
    return first;
}

} // namespace ivyrill::program
