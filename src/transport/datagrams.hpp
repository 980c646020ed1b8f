// UDP datagrams on one bound address, without blocking.
#pragma once
#include <optional>
#include <string>
#include <string_view>

namespace ivyrill::transport {

struct ReceivedDatagram {
    std::string from, bytes;
};

int bind_datagrams(const std::string& address); // `1.2.3.4:80`; throws AddressError or std::system_error
// A datagram that the system cannot take at once is dropped, as any datagram may be in transit.
void send_datagram(int descriptor, const std::string& to, std::string_view bytes);
std::optional<ReceivedDatagram> receive_datagram(int descriptor); // nullopt if none is pending

} // namespace ivyrill::transport
