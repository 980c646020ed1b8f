// IPv4 addresses as text, `1.2.3.4:80`.
#pragma once
#include <netinet/in.h>
#include <stdexcept>
#include <string>

namespace ivyrill::transport {

class AddressError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

sockaddr_in read_address(const std::string& text); // throws AddressError

} // namespace ivyrill::transport
