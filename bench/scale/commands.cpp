#include "scale/commands.hpp"

#include <arpa/inet.h>
#include <array>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fmt/core.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ivyrill::scale {

Commands::Commands(transport::Reactor& reactor, std::function<std::string(const std::string&)> handle)
    : reactor_(reactor), handle_(std::move(handle)) {
    fcntl(STDIN_FILENO, F_SETFL, fcntl(STDIN_FILENO, F_GETFL) | O_NONBLOCK);
    input_ = std::make_unique<transport::Source>(reactor.loop(), STDIN_FILENO);
    task_ = read_all();
    task_.start();
}

bool Commands::take(const std::string& line) {
    if (line == "end") return false;
    fmt::print("{}\n", handle_(line));
    std::fflush(stdout);
    return true;
}

transport::Task Commands::read_all() {
    for (;;) {
        std::array<char, 4096> bytes{};
        const ssize_t count = read(STDIN_FILENO, bytes.data(), bytes.size());
        if (count == 0) break;
        if (count < 0) {
            co_await input_->readable;
            continue;
        }
        read_.append(bytes.data(), static_cast<std::size_t>(count));
        for (auto end = read_.find('\n'); end != std::string::npos; end = read_.find('\n')) {
            const std::string line = read_.substr(0, end);
            read_.erase(0, end + 1);
            if (!take(line)) {
                reactor_.stop();
                co_return;
            }
        }
    }
    reactor_.stop();
}

std::pair<std::uint64_t, std::uint64_t> bytes_by_port(std::uint16_t port) {
    std::pair<std::uint64_t, std::uint64_t> bytes{0, 0};
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        const int descriptor = std::stoi(entry.path().filename());
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
            ntohs(peer.sin_port) != port)
            continue;
        tcp_info info{};
        size = sizeof info;
        if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) continue;
        bytes.first += info.tcpi_bytes_received, bytes.second += info.tcpi_bytes_acked;
    }
    return bytes;
}

} // namespace ivyrill::scale
