#include "transport/stream.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace ivyrill::transport {

namespace {

int open_socket() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

void disable_nagle(int descriptor) {
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

[[noreturn]] void throw_system_error(int descriptor, const char* operation) {
    const int error = errno;
    if (descriptor >= 0) close(descriptor);
    throw std::system_error(error, std::generic_category(), operation);
}

} // namespace

sockaddr_in read_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    unsigned port = 0;
    const char* const begin = text.data() + (colon == std::string::npos ? text.size() : colon + 1);
    const auto [end, error] = std::from_chars(begin, text.data() + text.size(), port);
    if (colon == std::string::npos || error != std::errc{} || end != text.data() + text.size() ||
        port > 65535 || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1)
        throw AddressError("invalid address, expected 1.2.3.4:80: '" + text.substr(0, 80) + "'");
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

int listen_at(const std::string& text) {
    const sockaddr_in address = read_address(text);
    const int descriptor = open_socket();
    if (descriptor < 0) throw_system_error(descriptor, "socket");
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        throw_system_error(descriptor, "bind");
    if (listen(descriptor, SOMAXCONN) != 0) throw_system_error(descriptor, "listen");
    return descriptor;
}

int port_of(int descriptor) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

int connect_to(const std::string& text) {
    sockaddr_in address{};
    try {
        address = read_address(text);
    } catch (const AddressError&) { return -1; }
    const int descriptor = open_socket();
    if (descriptor < 0) return -1;
    disable_nagle(descriptor);
    const int result = connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (result == 0 || errno == EINPROGRESS) return descriptor;
    close(descriptor);
    return -1;
}

void reset_on_close(int descriptor) {
    const linger at_once{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void set_delivery_timeout(int descriptor, Ticks span) {
    const auto milliseconds = static_cast<unsigned>(span / (kTicksPerSecond / 1000));
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

void limit_system_buffers(int descriptor, int bytes) {
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    setsockopt(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes, sizeof bytes);
}

void close_descriptor(int descriptor) { close(descriptor); }

int accept_from(int listener) {
    const int descriptor = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor >= 0) disable_nagle(descriptor);
    return descriptor;
}

bool connected(int descriptor) {
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

Stream::Stream(Loop& loop, int descriptor, Start start, std::size_t max_input_bytes,
               std::size_t max_output_bytes)
    : changed(loop), source_(loop, descriptor), establishment_(loop), outgoing_(loop), in_(max_input_bytes),
      out_(max_output_bytes), established_(start == Start::kConnected), reader_(pump_in()),
      writer_(pump_out()) {
    writer_.start();
    reader_.start();
}

bool Stream::send(std::string_view bytes) {
    if (ended_ || output_closed_ || !out_.append(bytes)) return false;
    if (established_) write_some();
    if (!out_.empty()) outgoing_.wake();
    return true;
}

// Taken from the system, so that data received while the process was suspended counts from its arrival.
Ticks Stream::last_receive_age() const {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(source_.descriptor(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
    return static_cast<Ticks>(info.tcpi_last_data_recv) * (kTicksPerSecond / 1000);
}

void Stream::finish() { shutdown(source_.descriptor(), SHUT_WR); }

bool Stream::has_unread_input() const {
    int count = 0;
    return unread() || (ioctl(source_.descriptor(), FIONREAD, &count) == 0 && count > 0);
}

void Stream::notify() {
    changed.wake();
    if (other_slot_ != nullptr) other_slot_->wake();
}

void Stream::end() {
    ended_ = true;
    notify();
}

void Stream::write_some() {
    while (!out_.empty() && !ended_ && !output_closed_) {
        const std::string_view bytes = out_.front();
        const ssize_t count = ::send(source_.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) continue;
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
        if (count < 0) {
            // An answer may have arrived together with the reset: it is read before the connection ends.
            output_closed_ = write_failed_ = true;
            return source_.readable.wake();
        }
        out_.consume(static_cast<std::size_t>(count)), written_ += static_cast<std::uint64_t>(count);
    }
    if (out_.empty()) out_.release();
}

Task Stream::pump_out() {
    if (!established_) {
        co_await source_.writable;
        if (!connected(source_.descriptor())) {
            end();
            co_return;
        }
        established_ = true;
        notify();
        establishment_.wake();
    }
    while (!ended_) {
        write_some();
        notify();
        if (out_.empty() || output_closed_)
            co_await outgoing_;
        else
            co_await source_.writable;
    }
}

Task Stream::pump_in() {
    while (!established_ && !ended_) co_await establishment_;
    while (!ended_) {
        const std::span<char> target = in_.space();
        if (target.empty()) {
            // A client may send a lot and close: its close is queued behind bytes for which there is no room
            // while its request is processed.
            input_full_ = true;
            notify();
            co_await source_.readable;
            input_full_ = false;
            continue;
        }
        const ssize_t count = ::recv(source_.descriptor(), target.data(), target.size(), 0);
        if (count > 0) {
            in_.commit(static_cast<std::size_t>(count)), received_ += static_cast<std::uint64_t>(count);
            notify();
        } else if (count < 0 && errno == EINTR) {
            continue;
        } else if (count < 0 && !write_failed_ && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            in_.release();
            co_await source_.readable;
        } else {
            reset_ = count < 0;
            end();
        }
    }
}

} // namespace ivyrill::transport
