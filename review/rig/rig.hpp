// Shared by the cases of the review: starts a small deployment of the fleet's program on loopback addresses, and
// has small stand-ins for model servers, clients and the operator. Needs nothing but the C++ library and POSIX.
#pragma once
#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kBegan = Clock::now();
inline std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kBegan).count();
}
inline void sleep_ms(std::int64_t span) { std::this_thread::sleep_for(std::chrono::milliseconds(span)); }
inline void sleep_until_ms(std::int64_t at) {
    if (at > now_ms()) sleep_ms(at - now_ms());
}

// The record of what was sent, answered and run.
class Record {
  public:
    void open(const std::string& path) { file_.open(path, std::ios::trunc); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[2000];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(mutex_);
        char head[32];
        std::snprintf(head, sizeof head, "%8.3f s  ", static_cast<double>(now_ms()) / 1000);
        file_ << head << text << std::endl;
    }

  private:
    std::mutex mutex_;
    std::ofstream file_;
};
inline Record record;

struct CannotRun {
    std::string why;
};

// ---- sockets ----

inline sockaddr_in socket_address(const std::string& text) {
    const auto colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

inline int listen_at(const std::string& address) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = socket_address(address);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(fd, 512) != 0) {
        close(fd);
        throw CannotRun{"can't listen at " + address};
    }
    return fd;
}

struct SocketOptions {
    int segment = 0;        // bytes of a segment, as on an Ethernet link; 0: as on loopback
    int receive_buffer = 0; // bytes; 0: the default
};

inline int connect_to(const std::string& address, int timeout_ms = 1000, SocketOptions options = {}) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (options.segment > 0)
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.segment, sizeof options.segment);
    if (options.receive_buffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer, sizeof options.receive_buffer);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in at = socket_address(address);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        pollfd wait{fd, POLLOUT, 0};
        int error = errno;
        if (error == EINPROGRESS && poll(&wait, 1, timeout_ms) == 1) {
            socklen_t size = sizeof error;
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        if (error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

inline bool send_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t count = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

inline std::string lower(std::string text) {
    for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

struct Message {
    std::string first_line;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    bool whole = false;      // it ended as HTTP/1.1 says
    std::string end;         // how reading ended, if not whole: `closed`, `reset`, `silent`
    int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
    std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    std::string target() const {
        const auto begin = first_line.find(' ') + 1;
        return first_line.substr(begin, first_line.find(' ', begin) - begin);
    }
};

// Reads messages from one connection. `pace` is called before each read and returns the most bytes to read.
class Reader {
  public:
    using Pace = std::function<std::size_t()>;
    explicit Reader(int fd, Pace pace = {}) : fd_(fd), pace_(std::move(pace)) {}

    // `until`: when to stop waiting. Returns false if no first line came.
    bool read(Message& message, std::int64_t until, bool is_answer) {
        message = {};
        std::string line;
        do {
            if (!read_line(line, until, message)) return false;
        } while (line.empty());
        message.first_line = line;
        for (;;) {
            if (!read_line(line, until, message)) return true;
            if (line.empty()) break;
            const auto colon = line.find(':');
            if (colon == std::string::npos) continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers[lower(line.substr(0, colon))] = value;
        }
        if (lower(message.header("transfer-encoding")) == "chunked") {
            for (;;) {
                if (!read_line(line, until, message)) return true;
                const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
                if (!read_bytes(size, message, until)) return true;
                if (!read_line(line, until, message)) return true; // behind the chunk, or the last line
                if (size == 0) break;
            }
        } else if (message.headers.contains("content-length")) {
            if (!read_bytes(std::stoull(message.header("content-length")), message, until)) return true;
        } else if (is_answer && message.status() != 204) {
            while (fill(until, message)) {
                message.body += buffer_;
                buffer_.clear();
            }
            message.whole = message.end == "closed";
            return true;
        }
        message.whole = true;
        return true;
    }

  private:
    bool fill(std::int64_t until, Message& message) {
        const std::size_t most = pace_ ? pace_() : 65536;
        pollfd wait{fd_, POLLIN, 0};
        const auto left = until - now_ms();
        if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) != 1) {
            message.end = "silent";
            return false;
        }
        std::string bytes(most, '\0');
        const ssize_t count = recv(fd_, bytes.data(), bytes.size(), 0);
        if (count <= 0) {
            message.end = count == 0 ? "closed" : "reset";
            return false;
        }
        buffer_.append(bytes, 0, static_cast<std::size_t>(count));
        return true;
    }
    bool read_line(std::string& line, std::int64_t until, Message& message) {
        std::size_t end;
        while ((end = buffer_.find('\n')) == std::string::npos)
            if (!fill(until, message)) return false;
        line = buffer_.substr(0, end);
        buffer_.erase(0, end + 1);
        if (!line.empty() && line.back() == '\r') line.pop_back();
        return true;
    }
    bool read_bytes(std::size_t size, Message& message, std::int64_t until) {
        while (size > 0) {
            if (buffer_.empty() && !fill(until, message)) return false;
            const std::size_t count = std::min(size, buffer_.size());
            message.body.append(buffer_, 0, count);
            buffer_.erase(0, count);
            size -= count;
        }
        return true;
    }
    int fd_;
    Pace pace_;
    std::string buffer_;
};

// One call on a connection of its own.
inline Message call(const std::string& address, const std::string& request, int timeout_ms) {
    Message message;
    const int fd = connect_to(address, timeout_ms);
    if (fd < 0) {
        message.end = "no connection";
        return message;
    }
    if (send_all(fd, request)) Reader(fd).read(message, now_ms() + timeout_ms, true);
    close(fd);
    return message;
}

inline std::string json_request(const std::string& method, const std::string& target, const std::string& host,
                                const std::string& body, const std::string& fields = "") {
    return method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + fields +
           "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

// ---- the link of a machine ----

// Stands between clients and one address of a machine: passes what the machine sends at `bytes_per_s` (0: as fast as
// it comes), with small windows, and everything else at once. What isn't passed yet waits on the machine, as on a real
// link.
class Link {
  public:
    enum class Of { kMachine, kEachClient }; // whose link it is: one for all connections, or one for each
    Link(std::string address, std::string target, Of of, std::int64_t bytes_per_s, int segment = 1460,
         int window = 4 * 1024)
        : target_(std::move(target)), of_(of), bytes_per_s_(bytes_per_s), segment_(segment), window_(window),
          listener_(listen_at(address)) {
        std::thread([this] {
            for (;;) {
                const int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                if (client >= 0) std::thread([this, client] { pass(client); }).detach();
            }
        }).detach();
    }

  private:
    static constexpr std::size_t kPiece = 4 * 1460;

    void pass(int client) {
        const int server = connect_to(target_, 1000, {segment_, window_});
        if (server < 0) {
            reset(client);
            close(client);
            return;
        }
        const int on = 1;
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread up([client, server] {
            std::string bytes(65536, '\0');
            for (;;) {
                const ssize_t count = recv(client, bytes.data(), bytes.size(), 0);
                if (count <= 0 || !send_all(server, {bytes.data(), static_cast<std::size_t>(count)})) break;
            }
            shutdown(server, SHUT_WR);
        });
        std::string bytes(bytes_per_s_ > 0 ? kPiece : 65536, '\0');
        std::int64_t own_free_at_us = 0;
        for (;;) {
            const ssize_t count = recv(server, bytes.data(), bytes.size(), 0);
            if (count > 0)
                await_turn(of_ == Of::kMachine ? free_at_us_ : own_free_at_us, static_cast<std::size_t>(count));
            if (count < 0) reset(client);
            if (count <= 0 || !send_all(client, {bytes.data(), static_cast<std::size_t>(count)})) break;
        }
        shutdown(client, SHUT_RDWR);
        shutdown(server, SHUT_RDWR);
        up.join();
        close(client), close(server);
    }
    static void reset(int fd) {
        const linger at_once{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
    void await_turn(std::int64_t& free_at_us, std::size_t count) {
        if (bytes_per_s_ <= 0) return;
        std::int64_t until;
        {
            const std::lock_guard lock(mutex_);
            const auto now = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - kBegan).count();
            free_at_us = std::max(free_at_us, now) + static_cast<std::int64_t>(count) * 1'000'000 / bytes_per_s_;
            until = free_at_us - now;
        }
        std::this_thread::sleep_for(std::chrono::microseconds(until));
    }

    std::string target_;
    Of of_;
    std::int64_t bytes_per_s_;
    int segment_, window_, listener_;
    std::mutex mutex_;
    std::int64_t free_at_us_ = 0;
};

// ---- a small deployment ----

struct Process {
    std::string name, role, settings;
    pid_t id = -1;
};

class Fleet {
  public:
    int controls = 3, edges = 2;
    double edge_link_mbps = 1000;

    Fleet() {
        current = this;
        const char* root = std::getenv("REVIEW_ROOT");
        const char* folder = std::getenv("REVIEW_FOLDER");
        if (root == nullptr || folder == nullptr) throw CannotRun{"start it by run.sh"};
        root_ = root, folder_ = folder;
        std::random_device draw;
        for (int tries = 0; tries < 50; ++tries) {
            network_ = "127." + std::to_string(20 + draw() % 200) + "." + std::to_string(1 + draw() % 250);
            if (is_free()) return;
        }
        throw CannotRun{"no free loopback network"};
    }
    static inline Fleet* current = nullptr; // for run_case, which ends its processes

    std::string ip(int last) const { return network_ + "." + std::to_string(last); }
    std::string control(int number) const { return ip(10 + number) + ":8262"; } // from 1
    std::string front(int number) const { return ip(20 + number) + ":8263"; }
    std::string ready(int number) const { return ip(20 + number) + ":8268"; }
    std::string link(int number) const { return ip(50 + number) + ":8263"; } // in front of front(number)
    std::string server(int number) const { return ip(100 + number) + ":8080"; }
    const std::string& folder() const { return folder_; }

    void start() {
        for (int number = 1; number <= controls; ++number) start_process("control", number);
        for (int number = 1; number <= edges; ++number) start_process("agent", number);
        for (int number = 1; number <= edges; ++number) start_process("proxy", number);
    }

    Process& process(const std::string& name) {
        for (Process& one : processes_)
            if (one.name == name) return one;
        throw CannotRun{"no process " + name};
    }
    void signal(const std::string& name, int number) {
        const Process& one = process(name);
        record.line("signal %d to %s", number, name.c_str());
        if (one.id > 0) kill(one.id, number);
    }
    // Waits for its end; false if it still runs then.
    bool await_end(const std::string& name, int timeout_ms) {
        Process& one = process(name);
        const auto until = now_ms() + timeout_ms;
        while (one.id > 0 && now_ms() < until) {
            int status = 0;
            if (waitpid(one.id, &status, WNOHANG) == one.id) {
                record.line("%s has ended: %s %d", name.c_str(), WIFSIGNALED(status) ? "signal" : "code",
                            WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
                one.id = -1;
            } else {
                sleep_ms(5);
            }
        }
        return one.id <= 0;
    }
    void restart(const std::string& name) {
        Process& one = process(name);
        write_settings(one, false);
        spawn(one);
    }
    // Processes that have ended by themselves.
    std::vector<std::string> ended() {
        std::vector<std::string> names;
        for (Process& one : processes_) {
            int status = 0;
            if (one.id > 0 && waitpid(one.id, &status, WNOHANG) == one.id) names.push_back(one.name), one.id = -1;
        }
        return names;
    }
    void end() {
        for (Process& one : processes_)
            if (one.id > 0) kill(one.id, SIGCONT), kill(one.id, SIGKILL);
        for (Process& one : processes_)
            if (one.id > 0) waitpid(one.id, nullptr, 0), one.id = -1;
    }

    // Sends a configuration to one control node after the other until it is acknowledged.
    void configure(const std::string& body, int if_match, int timeout_ms = 15000) {
        const auto until = now_ms() + timeout_ms;
        for (int turn = 0; now_ms() < until; ++turn) {
            const std::string& at = control(turn % controls + 1);
            const Message answer =
                call(at, json_request("PUT", "/config", at, body, "If-Match: " + std::to_string(if_match) + "\r\n"),
                     1000);
            if (answer.status() == 200) {
                record.line("PUT /config If-Match %d at %s: 200", if_match, at.c_str());
                return;
            }
            if (answer.status() >= 400 && answer.status() < 500 && answer.status() != 408 && answer.status() != 429)
                throw CannotRun{"PUT /config: " + answer.first_line + " " + answer.body};
            sleep_ms(200);
        }
        throw CannotRun{"no configuration was acknowledged"};
    }
    void await_ready(int timeout_ms = 15000) {
        const auto until = now_ms() + timeout_ms;
        for (int number = 1; number <= edges; ++number)
            while (call(ready(number), "GET /ready HTTP/1.1\r\nHost: n\r\n\r\n", 500).status() != 200) {
                if (now_ms() > until) throw CannotRun{"an edge node isn't ready"};
                sleep_ms(100);
            }
        record.line("all edge nodes are ready");
    }

  private:
    bool is_free() const {
        for (int last : {11, 12, 13, 21, 22, 51, 52, 101, 102, 103, 104, 105, 106})
            for (int port : {8262, 8263, 8268, 7300, 7301, 7302, 8080}) {
                try {
                    close(listen_at(ip(last) + ":" + std::to_string(port)));
                } catch (const CannotRun&) { return false; }
            }
        return true;
    }
    void start_process(const std::string& role, int number) {
        Process one{role + "-" + std::to_string(number), role, "", -1};
        write_settings(one, true);
        processes_.push_back(one);
        spawn(processes_.back());
    }
    // As the kit's pages print them for a small deployment, with loopback addresses.
    void write_settings(Process& one, bool first_start) {
        const int number = std::stoi(one.name.substr(one.name.find('-') + 1));
        const bool is_control = one.role == "control";
        const std::string zone = "zone-" + std::to_string((number - 1) % 3 + 1);
        const std::string address = ip((is_control ? 10 : 20) + number);
        std::ostringstream out;
        out << "nodeName: \"" << (is_control ? "core-" : "edge-") << number << "\"\nrole: \"" << one.role
            << "\"\nmachineClass: \"" << (is_control ? "core" : "edge") << "\"\nserves:";
        if (is_control) out << "\n  - \"control\"\n";
        else if (one.role == "proxy") out << "\n  - \"edge\"\n";
        else out << " []\n";
        out << "ip: \"" << address << "\"\nzone: \"" << zone << "\"\nregion: \"home\"\nzones:\n"
            << "  zone-1: \"home\"\n  zone-2: \"home\"\n  zone-3: \"home\"\n";
        if (is_control) out << "listenAddrs:\n  controlAddr: \"" << address << ":8262\"\n";
        else if (one.role == "proxy")
            out << "listenAddrs:\n  front: \"" << address << ":8263\"\n  readyAddr: \"" << address << ":8268\"\n";
        else out << "listenAddrs: {}\n";
        out << "innerPortRange:\n  - 7300\n  - 7315\nseedNodes:\n";
        for (int seed = 1; seed <= std::min(controls, 3); ++seed) out << "  - \"" << control(seed) << "\"\n";
        out << "firstStart: " << (first_start ? "true" : "false") << "\nlossCounted: "
            << (is_control ? "true" : "false") << "\nlimits:\n  cpuShare: 0.6\n  cores: 1\n  memoryMb: 260\n"
            << "  fileDescriptors: " << (is_control ? 4096 : 4100)
            << "\n  linkMbps: " << (is_control ? 1000 : edge_link_mbps) << "\n  diskMb: " << (is_control ? 128 : 0) << "\n";
        const std::string data = folder_ + "/data-" + one.name;
        if (is_control) mkdir(data.c_str(), 0700), out << "dataDir: \"" << data << "\"\n";
        else out << "dataDir: null\n";
        out << "discovery: \"self_registered\"\nentryKind: \"virtual_ip\"\nbeatIntervalMs: 1200\nactiveContracts:\n";
        for (const char* contract : {"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine"})
            out << "  - \"" << contract << "\"\n";
        out << "tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\nbounds:\n  seedLagS: 3\n  addrReuseS: 2\n"
               "  inTouchMs: 3000\n  ackMs: 4000\n  catchUpS: 4\n  drainMs: 2000\n  graceS: 8\n  lossSlackMs: 200\n"
               "  configApplyMs: 2000\n  rollbackSlackMs: 250\n  coreStretchMs: 5000\n  retryBudgetRatio: 0.2\n"
               "  retryWindowS: 10\n  retrySlack: 54\n  recoveryS: 12\n  transitMs: 120\n  again_s: 0\n"
               "  fencedApi: false\n  leaseMs: 3000\n  thawSlackMs: 300\n";
        one.settings = folder_ + "/" + one.name + ".yaml";
        std::ofstream(one.settings) << out.str();
    }
    void spawn(Process& one) {
        const std::string log = folder_ + "/" + one.name + ".log", program = root_ + "/target/ivyrill-fleet";
        const pid_t child = fork();
        if (child < 0) throw CannotRun{"fork"};
        if (child == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (chdir(root_.c_str()) != 0) _exit(126);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1), dup2(out, 2);
            setenv("IVYRILL_SETTINGS", one.settings.c_str(), 1);
            execl(program.c_str(), "target/ivyrill-fleet", one.role.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        one.id = child;
        record.line("started %s", one.name.c_str());
    }

    std::string root_, folder_, network_;
    std::vector<Process> processes_;
};

// ---- a model server ----

// Registers itself, beats each 1.2 s, and answers requests by `serve`, each connection in a thread of its own. Servers,
// the fleet and links are never destroyed: their threads run until the program ends.
class Server {
  public:
    // Sends the whole answer; returns whether the connection may be kept.
    using Serve = std::function<bool(int fd, const Message& request)>;
    struct Plan {
        std::string id, service, zone = "zone-1", stage;
        int slots = 32;
    };
    Server(Fleet& fleet, int number, Plan plan, Serve serve)
        : fleet_(fleet), plan_(std::move(plan)), address_(fleet.server(number)), serve_(std::move(serve)),
          listener_(listen_at(address_)) {
        std::thread([this] { accept_all(); }).detach();
        std::thread([this] { beat(); }).detach();
    }
    void await_registered(int timeout_ms = 15000) {
        const auto until = now_ms() + timeout_ms;
        while (!registered_) {
            if (now_ms() > until) throw CannotRun{"server " + plan_.id + " isn't acknowledged"};
            sleep_ms(20);
        }
    }
    const Plan& plan() const { return plan_; }
    // Ends as a killed process does: no beats, no listener, all connections closed wherever they stand.
    void crash() {
        crashed = true, silent = true;
        shutdown(listener_, SHUT_RDWR);
        close(listener_);
        const std::lock_guard lock(connections_mutex_);
        for (const int fd : connections_) shutdown(fd, SHUT_RDWR);
    }
    std::atomic<bool> crashed{false}; // `serve` stops sending then and returns false
    std::atomic<bool> draining{false};
    std::atomic<bool> silent{false}; // sends no beats

  private:
    void accept_all() {
        for (;;) {
            const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (crashed) return;
            if (fd < 0) continue;
            std::thread([this, fd] { serve_connection(fd); }).detach();
        }
    }
    void serve_connection(int fd) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            const std::lock_guard lock(connections_mutex_);
            connections_.insert(fd);
        }
        Reader reader(fd);
        Message request;
        while (!crashed && reader.read(request, now_ms() + 120000, false) && request.whole && !crashed) {
            const std::string target = request.header("target-instance");
            bool keep;
            if (!target.empty() && target != plan_.id) {
                keep = send_all(fd, "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nAttempt-Id: " +
                                        request.header("attempt-id") + "\r\nContent-Length: 0\r\n\r\n");
            } else if (request.target() == "/health") {
                keep = send_all(fd, "HTTP/1.1 200 OK\r\nInstance-Id: " + plan_.id + "\r\nContent-Length: 0\r\n\r\n");
            } else if (request.target() == "/report") {
                const std::string body =
                    R"({"stage":")" + plan_.stage +
                    R"(","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"callSeq":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":872000,"promptHandles":0})";
                keep = send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                        std::to_string(body.size()) + "\r\n\r\n" + body);
            } else {
                keep = serve_(fd, request);
            }
            if (!keep) break;
        }
        const std::lock_guard lock(connections_mutex_);
        connections_.erase(fd);
        close(fd);
    }
    void beat() {
        int sequence = 0, turn = 0;
        std::string preferred;
        for (;;) {
            while (silent) sleep_ms(20);
            std::string body = R"({"service":")" + plan_.service + R"(","address":")" + address_ + R"(","zone":")" +
                               plan_.zone + R"(","version":"v1","slots":)" + std::to_string(plan_.slots) +
                               R"(,"state":")" + (draining ? "draining" : "serving") + R"(","coldLeftMs":0,)";
            if (!plan_.stage.empty())
                body += R"("stage":")" + plan_.stage + R"(","models":[{"name":"m","version":1,"adapters":[]}],)";
            body += R"("callSeq":)" + std::to_string(++sequence) + "}";
            bool taken = false;
            for (int tries = 0; tries < 6 && !taken; ++tries) {
                const std::string at = preferred.empty() ? fleet_.control(turn++ % fleet_.controls + 1) : preferred;
                const Message answer = call(at, json_request("PUT", "/instances/" + plan_.id, at, body), 1000);
                taken = answer.status() >= 200 && answer.status() < 300;
                preferred.clear();
                const auto named = answer.body.find("\"beatAddr\":\"");
                if (taken && named != std::string::npos) {
                    const auto begin = named + 12;
                    preferred = answer.body.substr(begin, answer.body.find('"', begin) - begin);
                }
                if (!taken) sleep_ms(50);
            }
            if (taken && !registered_) record.line("server %s is acknowledged", plan_.id.c_str());
            registered_ = registered_ || taken;
            sleep_ms(taken ? 1200 : 200);
        }
    }

    Fleet& fleet_;
    Plan plan_;
    std::string address_;
    Serve serve_;
    int listener_;
    std::mutex connections_mutex_;
    std::set<int> connections_;
    std::atomic<bool> registered_{false};
};

inline std::string service_json(const std::string& name, const std::string& engine = "") {
    return R"({"name":")" + name + R"(","healthPath":"/health","connLimit":230,"protocol":"h1","tls":false)" + engine + "}";
}

inline bool with_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// Runs a case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
[[noreturn]] inline int run_case(const std::function<bool()>& broken) {
    std::signal(SIGPIPE, SIG_IGN);
    const char* path = std::getenv("REVIEW_RECORD");
    if (path != nullptr) record.open(path);
    record.line("TROUBLE=%d", with_trouble() ? 1 : 0);
    int code = 2;
    try {
        code = broken() ? 1 : 0;
    } catch (const CannotRun& failure) { record.line("can't run: %s", failure.why.c_str()); }
    if (Fleet::current != nullptr) Fleet::current->end();
    record.line("%s", code == 1 ? "the rule was BROKEN" : code == 0 ? "the rule held" : "the case couldn't run");
    std::_Exit(code); // other threads still run
}

} // namespace rig
