#include "feed/socket_link.hpp"

#include <utility>

namespace ivyrill::feed {

namespace {

constexpr std::size_t kMaxUnreadBytes = 256 * 1024;
// Room for a snapshot on a slow link; frames have their own limit.
constexpr std::size_t kMaxUnsentBytes = 32 * 1024 * 1024;

} // namespace

SocketLink::SocketLink(transport::Reactor& reactor, int descriptor, transport::Stream::Start start,
                       Ticks silence, Callbacks callbacks)
    : reactor_(reactor), wake_(reactor.loop()),
      stream_(reactor.loop(), descriptor, start, kMaxUnreadBytes, kMaxUnsentBytes), silence_(silence),
      last_received_(reactor.now()), callbacks_(std::move(callbacks)), reported_up_(stream_.established()) {
    stream_.also_wake(&wake_);
}

void SocketLink::start() {
    task_ = read();
    task_.start();
    check_silence();
}

SocketLink::~SocketLink() {
    *alive_ = false;
    reactor_.cancel(silence_timer_);
}

// Data that arrived while this process was suspended may still be unread: it is read before the link is given
// up.
void SocketLink::check_silence() {
    if (silence_ <= 0 || ended_) return;
    if (reactor_.now() - last_received_ >= silence_) {
        if (!stream_.has_unread_input()) return end("silent");
        wake_.wake();
    }
    silence_timer_ = reactor_.call_after(silence_ / 4, [this] { check_silence(); });
}

bool SocketLink::send(const Message& message) { return send_frame(wire::frame(wire::to_bytes(message))); }

bool SocketLink::send_frame(const std::string& frame) {
    if (ended_) return false;
    if (stream_.send(frame)) return true;
    end("peer reads too slowly");
    return false;
}

void SocketLink::end(const std::string& reason) {
    if (std::exchange(ended_, true)) return;
    stream_.abandon();
    const auto ended = callbacks_.ended;
    if (ended) ended(reason);
}

void SocketLink::fail(const Error& error) {
    const auto unreadable = callbacks_.unreadable;
    if (unreadable) unreadable(error);
    end(error.message);
}

transport::Task SocketLink::read() {
    const std::shared_ptr<bool> alive = alive_;
    for (;;) {
        if (ended_) co_return;
        if (stream_.established() && !std::exchange(reported_up_, true) && callbacks_.up) {
            last_received_ = reactor_.now();
            callbacks_.up();
            if (!*alive || ended_) co_return;
        }
        while (stream_.unread()) {
            stream_.feed(reader_);
            last_received_ = reactor_.now();
            if (reader_.broken()) {
                fail(*reader_.broken());
                co_return;
            }
            if (!reader_.complete()) continue;
            auto message = wire::from_bytes<Message>(reader_.take());
            if (message.has_error()) {
                fail(message.error());
                co_return;
            }
            callbacks_.received(std::move(message.value()));
            if (!*alive || ended_) co_return;
        }
        if (stream_.ended()) {
            end("closed");
            co_return;
        }
        co_await wake_;
    }
}

AcceptedLink accept_socket(transport::Reactor& reactor, int descriptor) {
    return [&reactor, descriptor](Ticks silence, Link::Callbacks callbacks) -> std::unique_ptr<Link> {
        return std::make_unique<SocketLink>(reactor, descriptor, transport::Stream::Start::kConnected,
                                            silence, std::move(callbacks));
    };
}

std::unique_ptr<Link> SocketNetwork::connect(const std::string& address, Ticks silence,
                                             Link::Callbacks callbacks) {
    const int descriptor = transport::connect_to(address);
    if (descriptor < 0) return nullptr;
    return std::make_unique<SocketLink>(reactor_, descriptor, transport::Stream::Start::kConnecting, silence,
                                        std::move(callbacks));
}

namespace {

class SocketListener : public LinkListener {
  public:
    SocketListener(transport::Reactor& reactor, const std::string& address,
                   std::function<void(AcceptedLink)> accepted)
        : listener_(reactor, address, [&reactor, accepted = std::move(accepted)](int descriptor) {
              accepted(accept_socket(reactor, descriptor));
          }) {}

  private:
    transport::Listener listener_;
};

} // namespace

std::unique_ptr<LinkListener> SocketNetwork::listen(const std::string& address,
                                                    std::function<void(AcceptedLink)> accepted) {
    return std::make_unique<SocketListener>(reactor_, address, std::move(accepted));
}

} // namespace ivyrill::feed
