// A small deployment on loopback addresses and the real clock: three control nodes and some edge machines
// (a proxy and an agent each), started as separate processes, with a stand-in for the operator, for servers and for
// clients. Blocking sockets, one thread for each peer. Used by the cases of this review only.
#pragma once
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
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
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kBegin = Clock::now();
inline double seconds() { return std::chrono::duration<double>(Clock::now() - kBegin).count(); }
inline void pause_s(double span) { std::this_thread::sleep_for(std::chrono::duration<double>(span)); }

// ---- record.txt

inline std::mutex record_mutex;
inline std::FILE* record_file = nullptr;
inline void note(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline void note(const char* format, ...) {
    const std::lock_guard lock(record_mutex);
    va_list arguments;
    va_start(arguments, format);
    char line[2048];
    std::vsnprintf(line, sizeof line, format, arguments);
    va_end(arguments);
    if (record_file != nullptr) std::fprintf(record_file, "%8.3f %s\n", seconds(), line), std::fflush(record_file);
    std::printf("%8.3f %s\n", seconds(), line), std::fflush(stdout);
}

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;
struct CouldNotRun {
    std::string why;
};

// ---- sockets

inline sockaddr_in socket_address(const std::string& text) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const std::size_t colon = text.rfind(':');
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    return address;
}

inline int listen_at(const std::string& address) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = socket_address(address);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(descriptor, 256) != 0)
        throw CouldNotRun{"can't listen at " + address};
    return descriptor;
}

// `receive_buffer`: bytes; 0: the system's default.
inline int connect_to(const std::string& address, double within_s, int receive_buffer = 0) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (receive_buffer > 0)
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in to = socket_address(address);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 && errno == EINPROGRESS) {
        pollfd wanted{descriptor, POLLOUT, 0};
        poll(&wanted, 1, static_cast<int>(within_s * 1000));
    }
    int failure = 0;
    socklen_t size = sizeof failure;
    sockaddr_in peer{};
    socklen_t peer_size = sizeof peer;
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size);
    if (failure != 0 || getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &peer_size) != 0) {
        close(descriptor);
        return -1;
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return descriptor;
}

inline bool send_all(int descriptor, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t count = send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) continue;
        if (count <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

// ---- HTTP/1.1

struct Message {
    std::string first; // request line or status line
    std::vector<std::pair<std::string, std::string>> headers; // names in lower case
    std::string body;
    bool head_complete = false, complete = false, reset = false;
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    std::string header(const std::string& name) const {
        for (const auto& [key, value] : headers)
            if (key == name) return value;
        return "";
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const {
        const std::size_t begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
};

// Reads messages from one connection.
class Reader {
  public:
    explicit Reader(int descriptor) : descriptor_(descriptor) {}
    std::string rest() const { return bytes_; } // received and not yet taken

    // `bytes_per_s`: how fast the body is read; 0: as fast as it comes. `has_body` false: an answer to HEAD.
    Message read(double within_s, double bytes_per_s = 0, bool has_body = true) {
        const double until = seconds() + within_s;
        Message message;
        std::size_t end = 0;
        while ((end = bytes_.find("\r\n\r\n")) == std::string::npos)
            if (!more(until, message)) return message;
        parse_head(bytes_.substr(0, end), message);
        bytes_.erase(0, end + 4);
        message.head_complete = true;
        if (!has_body) return message.complete = true, message;
        const bool is_chunked = message.header("transfer-encoding") == "chunked";
        const std::string length = message.header("content-length");
        const bool is_answer = message.first.starts_with("HTTP/");
        if (is_chunked) {
            read_chunks(until, bytes_per_s, message);
        } else if (!length.empty() || !is_answer) {
            const std::size_t size = length.empty() ? 0 : static_cast<std::size_t>(std::atoll(length.c_str()));
            take(size, until, bytes_per_s, message);
            message.complete = message.body.size() == size;
        } else {
            while (more(until, message)) {}
            message.body = std::exchange(bytes_, {}), message.complete = !message.reset;
        }
        return message;
    }

  private:
    bool more(double until, Message& message, std::size_t most = 65536) {
        const double left = until - seconds();
        if (left <= 0) return false;
        pollfd wanted{descriptor_, POLLIN, 0};
        if (poll(&wanted, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
        char buffer[65536];
        const ssize_t count = recv(descriptor_, buffer, std::min(most, sizeof buffer), 0);
        if (count < 0) message.reset = true;
        if (count <= 0) return false;
        bytes_.append(buffer, static_cast<std::size_t>(count));
        return true;
    }
    void take(std::size_t size, double until, double bytes_per_s, Message& message) {
        const std::size_t step = bytes_per_s > 0 ? static_cast<std::size_t>(bytes_per_s / 20) : 65536;
        const std::size_t wanted = message.body.size() + size;
        while (message.body.size() < wanted) {
            if (bytes_.empty()) {
                if (bytes_per_s > 0) pause_s(0.05);
                if (!more(until, message, step)) return;
            }
            const std::size_t part = std::min(bytes_.size(), wanted - message.body.size());
            message.body.append(bytes_, 0, part);
            bytes_.erase(0, part);
        }
    }
    void read_chunks(double until, double bytes_per_s, Message& message) {
        for (;;) {
            std::size_t end = 0;
            while ((end = bytes_.find("\r\n")) == std::string::npos)
                if (!more(until, message)) return;
            const auto size = static_cast<std::size_t>(std::strtoull(bytes_.c_str(), nullptr, 16));
            bytes_.erase(0, end + 2);
            const std::size_t before = message.body.size();
            take(size, until, bytes_per_s, message);
            if (message.body.size() != before + size) return;
            while (bytes_.size() < 2)
                if (!more(until, message)) return;
            bytes_.erase(0, 2);
            if (size == 0) return void(message.complete = true);
        }
    }
    static void parse_head(const std::string& head, Message& message) {
        std::size_t begin = 0;
        while (begin <= head.size()) {
            const std::size_t end = std::min(head.find("\r\n", begin), head.size());
            const std::string line = head.substr(begin, end - begin);
            begin = end + 2;
            if (message.first.empty()) {
                message.first = line;
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) continue;
            std::string name = line.substr(0, colon);
            for (char& letter : name) letter = static_cast<char>(std::tolower(letter));
            const std::size_t value = line.find_first_not_of(" \t", colon + 1);
            message.headers.emplace_back(name, value == std::string::npos ? "" : line.substr(value));
        }
    }

    int descriptor_;
    std::string bytes_;
};

// One call on a connection of its own.
inline Message call(const std::string& address, const std::string& request, double within_s) {
    const int descriptor = connect_to(address, within_s);
    if (descriptor < 0) return {};
    Message answer;
    if (send_all(descriptor, request)) answer = Reader(descriptor).read(within_s);
    close(descriptor);
    return answer;
}

// ---- the processes of the deployment

struct Bounds {
    double usage_window_s = 0;
    std::string platform; // address of `cloudApi`; empty: none
    int edge_memory_mb = 260;
};

class Fleet {
  public:
    // `programs`: the folder of ivyrill-fleet. All data lies in a new temporary folder.
    Fleet(std::string programs, int edges, Bounds bounds = {})
        : program_(std::move(programs) + "/ivyrill-fleet"), edges_(edges), bounds_(std::move(bounds)) {
        char folder[] = "/tmp/ivyrill-review.XXXXXX";
        if (mkdtemp(folder) == nullptr) throw CouldNotRun{"no temporary folder"};
        folder_ = folder;
        if (access(program_.c_str(), X_OK) != 0) throw CouldNotRun{program_ + " isn't built"};
        all().push_back(this);
        network_ = "127." + std::to_string(64 + getpid() / 250 % 128) + "." + std::to_string(1 + getpid() % 250);
    }
    // Ends all processes that this one has started, and removes their data.
    void stop() {
        for (const auto& [name, id] : ids_) kill(id, SIGCONT), kill(id, SIGKILL);
        for (const auto& [name, id] : ids_) waitpid(id, nullptr, 0);
        if (std::getenv("KEEP") == nullptr)
            [[maybe_unused]] const int status = std::system(("rm -rf " + folder_).c_str());
        ids_.clear();
    }

    static std::vector<Fleet*>& all() {
        static std::vector<Fleet*> fleets;
        return fleets;
    }
    std::string host(int last) const { return network_ + "." + std::to_string(last); }
    std::string control(int number) const { return host(10 + number) + ":8262"; } // 1 to 3
    std::string front(int number) const { return host(20 + number) + ":8263"; }   // from 1
    std::string ready(int number) const { return host(20 + number) + ":8268"; }
    const std::string& folder() const { return folder_; }

    void start_all() {
        for (int number = 1; number <= 3; ++number) start("control", number);
        for (int number = 1; number <= edges_; ++number) start("agent", number), start("proxy", number);
    }
    void start(const std::string& role, int number, bool first_start = true) {
        const std::string name = role + "-" + std::to_string(number);
        const std::string settings = folder_ + "/" + name + ".yaml";
        if (role == "control") mkdir((folder_ + "/data-" + std::to_string(number)).c_str(), 0700);
        std::ofstream(settings) << settings_of(role, number, first_start);
        const pid_t id = fork();
        if (id == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("IVYRILL_SETTINGS", settings.c_str(), 1);
            const int log = open((folder_ + "/" + name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(log, 1), dup2(log, 2);
            execl(program_.c_str(), program_.c_str(), role.c_str(), nullptr);
            _exit(127);
        }
        ids_[name] = id;
    }
    void signal(const std::string& name, int number) const { kill(ids_.at(name), number); }
    pid_t id_of(const std::string& name) const { return ids_.at(name); }
    // Whether the process still runs; its status is stored once it has ended.
    bool runs(const std::string& name, int* status = nullptr) {
        const auto found = ids_.find(name);
        if (found == ids_.end()) return false;
        int ended = 0;
        if (waitpid(found->second, &ended, WNOHANG) == 0) return true;
        if (status != nullptr) *status = ended;
        ids_.erase(found);
        return false;
    }
    void await_end(const std::string& name, double within_s) {
        const double until = seconds() + within_s;
        while (runs(name) && seconds() < until) pause_s(0.02);
    }

    int put_config(int node, std::int64_t base, const std::string& body, double within_s = 1.0) const {
        return call(control(node),
                    "PUT /config HTTP/1.1\r\nHost: " + control(node) + "\r\nIf-Match: " + std::to_string(base) +
                        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + body,
                    within_s)
            .status();
    }
    // As the operator does: the same call to any node until it is taken.
    void configure(std::int64_t base, const std::string& body, double within_s = 20) const {
        const double until = seconds() + within_s;
        for (int node = 1; seconds() < until; node = node % 3 + 1) {
            if (put_config(node, base, body) == 200) return note("configuration on %ld acknowledged", (long)base);
            pause_s(0.2);
        }
        throw CouldNotRun{"the configuration isn't acknowledged"};
    }
    bool is_ready(int edge) const {
        return call(ready(edge), "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 1).status() == 200;
    }
    void await_ready(double within_s = 15) const {
        const double until = seconds() + within_s;
        for (int edge = 1; edge <= edges_; ++edge)
            while (!is_ready(edge)) {
                if (seconds() > until) throw CouldNotRun{"an edge node isn't ready"};
                pause_s(0.05);
            }
    }

  private:
    std::string settings_of(const std::string& role, int number, bool first_start) const {
        const bool is_control = role == "control";
        const std::string own = host((is_control ? 10 : 20) + number);
        std::string text = "nodeName: \"" + std::string(is_control ? "core-" : "edge-") + std::to_string(number) +
                           "\"\nrole: \"" + role + "\"\nmachineClass: \"" + (is_control ? "core" : "edge") + "\"\n";
        if (role != "agent") text += std::string("serves:\n  - \"") + (is_control ? "control" : "edge") + "\"\n";
        if (role == "agent") text += "serves: []\n";
        text += "ip: \"" + own + "\"\nzone: \"nord\"\nregion: \"alpen\"\nzones:\n  nord: \"alpen\"\nlistenAddrs:\n";
        if (is_control) text += "  controlAddr: \"" + own + ":8262\"\n";
        if (!is_control) text += "  front: \"" + own + ":8263\"\n  readyAddr: \"" + own + ":8268\"\n";
        text += "innerPortRange:\n  - 7300\n  - 7315\nseedNodes:\n";
        for (int seed = 1; seed <= 3; ++seed) text += "  - \"" + control(seed) + "\"\n";
        text += std::string("firstStart: ") + (first_start ? "true" : "false") +
                "\nlossCounted: " + (is_control ? "true" : "false") +
                "\nlimits:\n  cpuShare: 1.0\n  cores: 1\n  memoryMb: " +
                std::to_string(is_control ? 256 : bounds_.edge_memory_mb) + "\n  fileDescriptors: 1024\n"
                "  linkMbps: 1000.0\n  diskMb: " +
                (is_control ? "128" : "0") + "\ndataDir: " +
                (is_control ? "\"" + folder_ + "/data-" + std::to_string(number) + "\"" : "null") +
                "\ndiscovery: \"self_registered\"\nentryKind: \"virtual_ip\"\nbeatIntervalMs: 1200\n"
                "activeContracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n"
                "  - \"recover\"\n  - \"split\"\n  - \"stream\"\n  - \"engine\"\n";
        if (!bounds_.platform.empty()) text += "  - \"tenants\"\n  - \"leader\"\n";
        text += "tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\nbounds:\n  seedLagS: 3\n  addrReuseS: 2\n"
                "  inTouchMs: 3000\n  ackMs: 4000\n  catchUpS: 4\n  drainMs: 2000\n  graceS: 8\n"
                "  lossSlackMs: 200\n  configApplyMs: 2000\n  rollbackSlackMs: 250\n  coreStretchMs: 5000\n"
                "  retryBudgetRatio: 0.2\n  retryWindowS: 10\n  retrySlack: 58\n  recoveryS: 12\n"
                "  transitMs: 120\n  again_s: 0\n  fencedApi: false\n  leaseMs: 3000\n  thawSlackMs: 300\n";
        if (!bounds_.platform.empty())
            text += "  usageWindowS: " + std::to_string(static_cast<int>(bounds_.usage_window_s)) +
                    "\n  usageError: 0.05\n  usageLateS: 10\ncloudApi:\n  address: \"" + bounds_.platform +
                    "\"\n  duties:\n    - \"usage_report\"\n  dutyPerS: 100\n";
        return text;
    }

    std::string program_;
    int edges_;
    Bounds bounds_;
    std::string folder_, network_;
    std::map<std::string, pid_t> ids_; // of the processes that this one has started and that haven't ended
};

// ---- a server of a service

class Server {
  public:
    struct Run { // one request that has reached this server
        double at = 0;
        Message request;
    };
    // Answers a request on its connection; false: the connection is to be closed.
    using Answer = std::function<bool(Server&, int descriptor, const Message& request)>;

    Server(const Fleet& fleet, std::string id, std::string address, std::string service, Answer answer,
           std::string stage = "", int slots = 32)
        : fleet_(fleet), id_(std::move(id)), address_(std::move(address)), service_(std::move(service)),
          stage_(std::move(stage)), slots_(slots), answer_(std::move(answer)), listener_(listen_at(address_)) {
        std::thread([this] { accept_all(); }).detach();
        std::thread([this] { beat_all(); }).detach();
    }
    const std::string& id() const { return id_; }
    const std::string& address() const { return address_; }
    std::string seal() const { return id_ + ".1"; }
    std::vector<Run> runs() {
        const std::lock_guard lock(mutex_);
        return runs_;
    }
    void ran(const Message& request) {
        const std::lock_guard lock(mutex_);
        runs_.push_back({seconds(), request});
        note("server %s runs %s %s (attempt %s)", id_.c_str(), request.method().c_str(), request.target().c_str(),
             request.header("attempt-id").c_str());
    }
    // Says `draining` until a node acknowledges it; returns when that was, or a negative number.
    double drain(double within_s) {
        {
            const std::lock_guard lock(beat_mutex_);
            state_ = "draining";
        }
        const double until = seconds() + within_s;
        for (int node = 1; seconds() < until; node = node % 3 + 1)
            if (beat(node)) return seconds();
        return -1;
    }
    // From now on it says nothing and accepts no connection; its present connections end as their threads return.
    void crash() {
        beats_ = false;
        shutdown(listener_, SHUT_RDWR);
        close(listener_);
    }
    // A whole answer with a length.
    std::string whole(const Message& request, const std::string& body, int status = 200,
                      const std::string& type = "application/json") const {
        return "HTTP/1.1 " + std::to_string(status) + " OK\r\nAttempt-Id: " + request.header("attempt-id") +
               "\r\nServer-Seal: " + seal() + "\r\nContent-Type: " + type +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

  private:
    void accept_all() {
        for (;;) {
            const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) return;
            const int on = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, descriptor] { serve(descriptor); }).detach();
        }
    }
    void serve(int descriptor) {
        Reader reader(descriptor);
        for (;;) {
            const Message request = reader.read(60);
            if (!request.complete || !handle(descriptor, request)) break;
        }
        close(descriptor);
    }
    bool handle(int descriptor, const Message& request) {
        if (request.target() == "/health")
            return send_all(descriptor, "HTTP/1.1 200 OK\r\nInstance-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n");
        if (request.target() == "/report") {
            const std::string body = "{\"stage\":\"" + stage_ +
                                     "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
                                     "\"callSeq\":0,\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":305000,"
                                     "\"promptHandles\":0}";
            return send_all(descriptor, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                            std::to_string(body.size()) + "\r\n\r\n" + body);
        }
        const std::string target = request.header("target-instance");
        if (!target.empty() && target != id_)
            return send_all(descriptor, "HTTP/1.1 421 Misdirected\r\nAttempt-Id: " + request.header("attempt-id") +
                                            "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        return answer_(*this, descriptor, request);
    }
    bool beat(int node) {
        const std::lock_guard lock(beat_mutex_);
        std::string body = "{\"service\":\"" + service_ + "\",\"address\":\"" + address_ +
                           "\",\"zone\":\"nord\",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) +
                           ",\"state\":\"" + state_ + "\",\"coldLeftMs\":0,";
        if (!stage_.empty())
            body += "\"stage\":\"" + stage_ + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],";
        body += "\"callSeq\":" + std::to_string(++sequence_) + "}";
        const int status = call(fleet_.control(node),
                                "PUT /instances/" + id_ + " HTTP/1.1\r\nHost: " + fleet_.control(node) +
                                    "\r\nContent-Type: application/json\r\nContent-Length: " +
                                    std::to_string(body.size()) + "\r\n\r\n" + body,
                                1)
                               .status();
        return status >= 200 && status < 300;
    }
    void beat_all() {
        for (int node = 1; beats_;) {
            if (beat(node))
                pause_s(1.2);
            else
                node = node % 3 + 1, pause_s(0.1);
        }
    }

    const Fleet& fleet_;
    std::string id_, address_, service_, stage_;
    int slots_;
    Answer answer_;
    int listener_;
    std::atomic<bool> beats_{true};
    std::mutex mutex_, beat_mutex_;
    std::vector<Run> runs_;
    std::string state_ = "serving";
    std::int64_t sequence_ = 0;
};

// ---- clients

struct Asked {
    std::string host = "x.example", path = "/a/1", method = "POST", body = "{}", attempt;
    long deadline_ms = 2000;
    std::string more; // further header lines
};
inline std::string request_text(const Asked& asked) {
    std::string text = asked.method + " " + asked.path + " HTTP/1.1\r\nHost: " + asked.host +
                       "\r\nAttempt-Id: " + asked.attempt + "\r\nDeadline-Ms: " + std::to_string(asked.deadline_ms) +
                       "\r\n" + asked.more;
    if (!asked.body.empty() || asked.method == "POST")
        text += "Content-Length: " + std::to_string(asked.body.size()) + "\r\n";
    return text + "\r\n" + asked.body;
}

inline std::string route(const std::string& name, const std::string& prefix, const std::string& kind,
                         const std::string& service, long timeout_ms, int attempts, const std::string& more = "") {
    return "{\"name\":\"" + name + "\",\"host\":\"x.example\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\"" + kind +
           "\",\"timeoutMs\":" + std::to_string(timeout_ms) + ",\"targetLatencyMs\":150,\"priority\":0,\"service\":\"" +
           service + "\",\"maxAttempts\":" + std::to_string(attempts) + more + "}";
}
inline std::string configuration(long version, const std::string& routes, const std::string& services) {
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes + "],\"services\":[" + services +
           "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
           "\"idleTimeoutMs\":15000}}";
}
inline std::string plain_service(const std::string& name) {
    return "{\"name\":\"" + name +
           "\",\"healthPath\":\"/health\",\"connLimit\":310,\"protocol\":\"h1\",\"tls\":false}";
}

// Runs a case: arguments are the folder of the programs and that of the case. The threads of servers run until the end of
// the process, so a case makes its Fleet and its Servers with `new`, and they are never destroyed.
inline int run_case(int count, char** arguments, const std::function<int(const std::string& programs, bool trouble)>& run) {
    if (count < 3) return std::fprintf(stderr, "usage: %s PROGRAMS CASE\n", arguments[0]), kCouldNotRun;
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = arguments[2];
    record_file = std::fopen((folder + "/record.txt").c_str(), "w");
    const char* trouble = std::getenv("TROUBLE");
    const bool is_on = trouble == nullptr || std::string(trouble) != "0";
    int status = kCouldNotRun;
    try {
        note("disruption: %s", is_on ? "yes" : "no");
        status = run(arguments[1], is_on);
    } catch (const CouldNotRun& failure) { note("could not run: %s", failure.why.c_str()); }
    for (Fleet* fleet : Fleet::all()) fleet->stop();
    note("result: %s", status == kHeld ? "the rule held" : status == kBroken ? "the rule was broken" : "could not run");
    std::fflush(nullptr);
    std::_Exit(status);
}

} // namespace rig
