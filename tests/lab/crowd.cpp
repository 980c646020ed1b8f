#include "lab/crowd.hpp"

#include "lab/read_file.hpp"
#include "transport/address.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fmt/format.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace ivyrill::lab {

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto kQuiet = std::chrono::milliseconds(1500); // without progress: the crowd stands still
constexpr auto kLongest = std::chrono::seconds(20);      // of pressing, whatever the server does
constexpr auto kSampleInterval = std::chrono::milliseconds(100);
constexpr auto kSlowReadInterval = std::chrono::milliseconds(100);
constexpr int kPollMs = 50;
constexpr std::size_t kRunBytes = 64 * 1024;      // of pieces, sent with one call
constexpr std::size_t kBytesInATurn = 256 * 1024; // of one client before the others
constexpr std::string_view kNumber = "{}";

std::int64_t status_value(const std::string& status, const std::string& name) {
    const std::size_t at = status.find("\n" + name + ":");
    return at == std::string::npos ? 0 : std::stoll(status.substr(at + name.size() + 2));
}

// The inodes of its sockets, as /proc/net/tcp names them.
std::set<std::string> sockets_among(const std::vector<std::string>& descriptors) {
    constexpr std::string_view kPrefix = "socket:[";
    std::set<std::string> inodes;
    for (const std::string& target : descriptors)
        if (target.starts_with(kPrefix))
            inodes.insert(target.substr(kPrefix.size(), target.size() - kPrefix.size() - 1));
    return inodes;
}

std::vector<std::string> open_descriptors(pid_t process) {
    std::vector<std::string> targets;
    std::error_code gone;
    for (const auto& entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", gone))
        targets.push_back(std::filesystem::read_symlink(entry.path(), gone).string());
    return targets;
}

std::int64_t unread_bytes(const std::set<std::string>& inodes) {
    constexpr const char* kEstablished = "01";
    std::istringstream table(read_file("/proc/net/tcp"));
    std::int64_t bytes = 0;
    for (std::string line; std::getline(table, line);) {
        std::istringstream fields(line);
        std::string number, local, remote, state, queues, timer, retransmits, user, timeout, inode;
        fields >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >>
            inode;
        if (state != kEstablished || !inodes.contains(inode)) continue;
        bytes += std::stoll(queues.substr(queues.find(':') + 1), nullptr, 16); // `sent:received`
    }
    return bytes;
}

} // namespace

ProcessUsage usage_of(pid_t process) {
    const std::string status = read_file("/proc/" + std::to_string(process) + "/status");
    const std::vector<std::string> descriptors = open_descriptors(process);
    return {status_value(status, "VmRSS"), status_value(status, "VmHWM"),
            unread_bytes(sockets_among(descriptors)) / 1024, static_cast<std::int64_t>(descriptors.size())};
}

Crowd::Crowd(const std::string& address, CrowdPlan plan) : address_(address), plan_(std::move(plan)) {
    while (!plan_.piece.empty() && pieces_.size() < kRunBytes) pieces_ += plan_.piece;
    clients_.resize(plan_.clients);
    for (Client& client : clients_) client.connections_left = plan_.connections;
}

Crowd::~Crowd() {
    for (Client& client : clients_) close(client);
}

void Crowd::connect(Client& client) {
    --client.connections_left;
    client.head = plan_.head;
    if (const std::size_t at = client.head.find(kNumber); at != std::string::npos)
        client.head.replace(at, kNumber.size(), fmt::format("{:016x}", ++attempts_));
    client.head_sent = client.pieces_sent = 0;
    client.done = false;
    client.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (client.descriptor < 0) throw std::runtime_error("the crowd has no descriptors left");
    if (plan_.receive_buffer > 0) {
        const int bytes = static_cast<int>(plan_.receive_buffer);
        setsockopt(client.descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    }
    const sockaddr_in address = transport::read_address(address_);
    const int result =
        ::connect(client.descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (result != 0 && errno != EINPROGRESS) close(client);
}

void Crowd::close(Client& client) {
    if (client.descriptor >= 0) ::close(client.descriptor);
    client.descriptor = -1;
}

std::string_view Crowd::unsent_piece(const Client& client) const {
    if (pieces_.empty()) return {};
    const std::size_t offset = client.pieces_sent % pieces_.size();
    const std::size_t left = plan_.total_bytes - client.pieces_sent;
    return std::string_view(pieces_).substr(offset, left);
}

bool Crowd::send_some(Client& client) {
    const bool head_due = client.head_sent < client.head.size();
    const std::string_view bytes =
        head_due ? std::string_view(client.head).substr(client.head_sent) : unsent_piece(client);
    if (bytes.empty()) {
        client.done = true;
        return false;
    }
    const ssize_t count = send(client.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
        const bool waits = errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN || errno == EINTR;
        if (!waits) close(client);
        return false;
    }
    (head_due ? client.head_sent : client.pieces_sent) += static_cast<std::size_t>(count);
    return true;
}

bool Crowd::read_some(Client& client) {
    std::array<char, 16 * 1024> bytes;
    std::size_t most = bytes.size();
    if (plan_.slow_read_bytes > 0) {
        if (Clock::now() < client.read_at) return false;
        client.read_at = Clock::now() + kSlowReadInterval;
        most = std::min(most, plan_.slow_read_bytes);
    }
    const ssize_t count = recv(client.descriptor, bytes.data(), most, 0);
    if (count > 0) return true;
    const bool waits =
        count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN || errno == EINTR);
    if (!waits) close(client);
    return false;
}

bool Crowd::advance(Client& client) {
    if (client.descriptor < 0) {
        if (client.connections_left == 0) return false;
        connect(client);
        return true;
    }
    bool any = false;
    for (std::size_t sent = 0; !client.done && client.descriptor >= 0 && sent < kBytesInATurn;) {
        const std::size_t before = client.pieces_sent;
        if (!send_some(client)) break;
        sent += client.pieces_sent - before, any = true;
    }
    while (plan_.reads && client.descriptor >= 0 && read_some(client)) any = true;
    return any;
}

void Crowd::press(const std::function<void()>& sample) {
    const Clock::time_point end = Clock::now() + kLongest;
    Clock::time_point progressed = Clock::now(), sampled{};
    while (Clock::now() < end && Clock::now() - progressed < kQuiet) {
        bool any = false;
        for (Client& client : clients_) any = advance(client) || any;
        if (any) progressed = Clock::now();
        if (Clock::now() - sampled >= kSampleInterval) {
            sample();
            sampled = Clock::now();
        }
        if (any) continue;
        std::vector<pollfd> waited;
        for (const Client& client : clients_)
            if (client.descriptor >= 0)
                waited.push_back(
                    {client.descriptor,
                     static_cast<short>((client.done ? 0 : POLLOUT) | (plan_.reads ? POLLIN : 0)), 0});
        if (plan_.slow_read_bytes > 0) {
            std::this_thread::sleep_for(kSlowReadInterval / 4);
            continue;
        }
        poll(waited.data(), waited.size(), kPollMs);
    }
    sample();
}

std::size_t Crowd::open_connections() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(clients_, [](const Client& client) { return client.descriptor >= 0; }));
}

} // namespace ivyrill::lab
