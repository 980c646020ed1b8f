#include "transport/datagrams.hpp"

#include "transport/address.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace ivyrill::transport {

namespace {

constexpr int kReceiveBufferBytes = 1 << 20; // for bursts and for times when the process does not run

} // namespace

int bind_datagrams(const std::string& text) {
    const sockaddr_in address = read_address(text);
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) throw std::system_error(errno, std::generic_category(), "socket");
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        const int error = errno;
        close(descriptor);
        throw std::system_error(error, std::generic_category(), "bind " + text);
    }
    return descriptor;
}

void send_datagram(int descriptor, const std::string& to, std::string_view bytes) {
    try {
        const sockaddr_in address = read_address(to);
        sendto(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL,
               reinterpret_cast<const sockaddr*>(&address), sizeof address);
    } catch (const AddressError&) { return; } // a member may advertise an invalid address
}

std::optional<ReceivedDatagram> receive_datagram(int descriptor) {
    std::array<char, 2048> bytes; // longer datagrams are truncated and then fail authentication
    sockaddr_in address{};
    socklen_t size = sizeof address;
    const ssize_t count =
        recvfrom(descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&address), &size);
    if (count < 0) return {};
    std::array<char, INET_ADDRSTRLEN> host;
    inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
    return ReceivedDatagram{std::string(host.data()) + ":" + std::to_string(ntohs(address.sin_port)),
                            {bytes.data(), static_cast<std::size_t>(count)}};
}

} // namespace ivyrill::transport
