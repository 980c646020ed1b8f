// Datagrams over UDP: bound to one address, never waiting.
#pragma once
#include <optional>
#include <string>
#include <string_view>

namespace ivyrill::transport {

struct Received {
    std::string from, bytes;
};

int bind_datagrams(const std::string& address); // `1.2.3.4:80`; throws AddressError or std::system_error
// What the system cannot take at once is lost, as anything on the way may be.
void send_datagram(int descriptor, const std::string& to, std::string_view bytes);
std::optional<Received> receive_datagram(int descriptor); // nothing: there is none now

} // namespace ivyrill::transport
