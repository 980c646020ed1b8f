#include "scale/process.hpp"

#include <array>
#include <cerrno>
#include <csignal>
#include <ctime>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace ivyrill::scale {

namespace {

constexpr int kAnswerPatienceMs = 20'000;

double status_mb(int id, const std::string& wanted) {
    std::ifstream file("/proc/" + std::to_string(id) + "/status");
    std::string line;
    while (std::getline(file, line))
        if (line.starts_with(wanted)) return std::stod(line.substr(wanted.size())) / 1024;
    return 0;
}

[[noreturn]] void become(const std::vector<std::string>& command,
                         const std::vector<std::pair<std::string, std::string>>& environment,
                         const std::string& log, int in, int out) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); // however the run ends, nothing of it stays
    dup2(in, STDIN_FILENO);
    dup2(out, STDOUT_FILENO);
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (file >= 0) dup2(file, STDERR_FILENO);
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    for (const auto& [name, value] : environment) setenv(name.c_str(), value.c_str(), 1);
    std::vector<char*> arguments;
    for (const std::string& word : command) arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    execv(arguments.front(), arguments.data());
    _exit(127);
}

} // namespace

Process::Process(const std::vector<std::string>& command,
                 const std::vector<std::pair<std::string, std::string>>& environment,
                 const std::string& log) {
    std::array<int, 2> in{}, out{};
    if (pipe2(in.data(), O_CLOEXEC) != 0 || pipe2(out.data(), O_CLOEXEC) != 0)
        throw std::system_error(errno, std::generic_category(), "pipe2");
    id_ = fork();
    if (id_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
    if (id_ == 0) become(command, environment, log, in[0], out[1]);
    close(in[0]);
    close(out[1]);
    to_ = in[1], from_ = out[0];
}

Process::~Process() {
    kill_and_wait();
    close(to_);
    close(from_);
}

void Process::signal(int number) const {
    if (id_ > 0) kill(id_, number);
}

void Process::kill_and_wait() {
    if (id_ <= 0) return;
    kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
    id_ = -1;
}

bool Process::running() {
    if (id_ <= 0) return false;
    if (waitpid(id_, nullptr, WNOHANG) == 0) return true;
    id_ = -1;
    return false;
}

std::string Process::ask(const std::string& line) {
    const std::string sent = line + "\n";
    if (write(to_, sent.data(), sent.size()) != static_cast<ssize_t>(sent.size())) return "";
    for (;;) {
        if (const auto end = read_.find('\n'); end != std::string::npos) {
            std::string answer = read_.substr(0, end);
            read_.erase(0, end + 1);
            return answer;
        }
        pollfd waited{from_, POLLIN, 0};
        if (poll(&waited, 1, kAnswerPatienceMs) <= 0) return "";
        std::array<char, 4096> bytes{};
        const ssize_t count = read(from_, bytes.data(), bytes.size());
        if (count <= 0) return "";
        read_.append(bytes.data(), static_cast<std::size_t>(count));
    }
}

double Process::cpu_s() const {
    clockid_t clock{};
    timespec spent{};
    if (id_ <= 0 || clock_getcpuclockid(id_, &clock) != 0 || clock_gettime(clock, &spent) != 0) return 0;
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) / 1e9;
}

double Process::memory_mb() const { return status_mb(id_, "VmRSS:"); }
double Process::peak_memory_mb() const { return status_mb(id_, "VmHWM:"); }

double steady_s() {
    timespec now{};
    clock_gettime(CLOCK_MONOTONIC, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

} // namespace ivyrill::scale
