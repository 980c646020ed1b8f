#include "program/keepers.hpp"

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

constexpr std::size_t kMostHeard = 1024, kMostErrands = 256;

std::string words_of(const maintenance::MachineCommand& act) {
    return std::string(maintenance::to_string(act.action)) + " " + act.machine + " " +
           std::to_string(act.fence.value);
}

} // namespace

Keepers::Keepers(transport::Loop& loop, std::vector<std::string> command, std::string address, Tenths span)
    : loop_(loop), command_(std::move(command)), address_(std::move(address)), span_(span) {}

Keepers::~Keepers() {
    for (Errand& errand : errands_)
        if (errand.process > 0) kill(errand.process, SIGKILL), waitpid(errand.process, nullptr, 0);
}

void Keepers::act(Tenths now, const maintenance::MachineCommand& act) {
    if (errands_.size() >= kMostErrands) return; // nothing is said, which is an answer too
    Errand& errand = errands_.emplace_back();
    errand.act = act, errand.until = now + span_;
    if (!command_.empty()) {
        if (!spawn(errand)) return finish(errand);
        errand.task = listen(errand);
    } else {
        const int descriptor = transport::connect_to(address_);
        if (descriptor < 0) return finish(errand);
        errand.stream =
            std::make_unique<Stream>(loop_, descriptor, Stream::Start::kConnecting, kMostHeard, kMostHeard);
        errand.task = ask(errand);
    }
    errand.task.start();
}

bool Keepers::spawn(Errand& errand) {
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) return false;
    std::vector<std::string> words = command_;
    std::istringstream more(words_of(errand.act));
    for (std::string word; more >> word;) words.push_back(word);
    std::vector<char*> argv;
    for (std::string& word : words) argv.push_back(word.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_adddup2(&files, ends[1], 1);
    posix_spawnattr_t how; // the front node's blocked signals are not the keeper's
    posix_spawnattr_init(&how);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&how, &none);
    posix_spawnattr_setflags(&how, POSIX_SPAWN_SETSIGMASK);
    const int failed = posix_spawnp(&errand.process, argv[0], &files, &how, argv.data(), environ);
    posix_spawn_file_actions_destroy(&files), posix_spawnattr_destroy(&how);
    close(ends[1]);
    if (failed != 0) {
        errand.process = -1;
        close(ends[0]);
        return false;
    }
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    errand.pipe = std::make_unique<transport::Source>(loop_, ends[0]);
    return true;
}

Task Keepers::listen(Errand& errand) {
    transport::Slot& more = errand.pipe->readable;
    for (;;) {
        char bytes[256];
        const ssize_t count = read(errand.pipe->descriptor(), bytes, sizeof bytes);
        if (count > 0 && errand.heard.size() < kMostHeard)
            errand.heard.append(bytes, static_cast<std::size_t>(count));
        else if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR))
            break;
        else if (count < 0)
            co_await more;
    }
    errand.over = true;
}

Task Keepers::ask(Errand& errand) {
    Stream& stream = *errand.stream;
    stream.send(words_of(errand.act) + " " + std::to_string(errand.act.serial) + "\n");
    struct Taker {
        std::string& into;
        std::size_t feed(std::string_view bytes) { return into.append(bytes), bytes.size(); }
    } taker{errand.heard};
    while (!stream.ended() && errand.heard.find('\n') == std::string::npos &&
           errand.heard.size() < kMostHeard) {
        while (stream.unread()) stream.feed(taker);
        if (errand.heard.find('\n') == std::string::npos && !stream.ended()) co_await stream.changed;
    }
    while (stream.unread()) stream.feed(taker); // the answer and the end came together
    errand.over = true;
}

void Keepers::finish(Errand& errand) {
    errand.over = true;
    std::istringstream words(errand.heard);
    std::string machine = errand.act.machine, state;
    std::uint64_t serial = errand.act.serial;
    if (command_.empty())
        words >> serial >> machine >> state;
    else
        words >> state;
    // For another machine, or of no use: the holder hears so, and asks again.
    if (!words && state.empty()) machine = errand.act.machine, serial = errand.act.serial;
    said_.push_back({serial, machine,
                     maintenance::machine_status_from(state).value_or(maintenance::MachineStatus::kUnknown)});
}

void Keepers::step(Tenths now) {
    for (auto next = errands_.begin(); next != errands_.end();) {
        Errand& errand = *next;
        if (!errand.over && now < errand.until) {
            ++next;
            continue;
        }
        if (errand.over && (errand.stream || errand.pipe)) finish(errand);
        if (errand.process > 0) {
            if (!errand.over) kill(errand.process, SIGKILL);
            ended_.push_back(errand.process);
        }
        next = errands_.erase(next);
    }
    std::erase_if(ended_, [](pid_t process) { return waitpid(process, nullptr, WNOHANG) != 0; });
}

Tenths Keepers::next() const {
    Tenths first = loop_.now() + kTenthsPerSecond * 60;
    for (const Errand& errand : errands_) first = std::min(first, errand.over ? loop_.now() : errand.until);
    if (!ended_.empty()) first = std::min(first, loop_.now() + kTenthsPerSecond / 20);
    return first;
}

} // namespace ivyrill::program
