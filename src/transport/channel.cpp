#include "transport/channel.hpp"

namespace ivyrill::transport {

Channel::Channel(Loop& loop, int descriptor, std::size_t most_in, std::size_t most_out,
                 std::unique_ptr<TlsSession> session)
    : stream_(loop, descriptor, Stream::Start::kConnected, most_in, most_out), session_(std::move(session)) {}

void Channel::shake() {
    while (stream_.unread() && session_->room()) stream_.feed(*session_);
    session_->shake();
    flush();
}

std::shared_ptr<const std::vector<std::string>> Channel::peer_chain() const {
    if (!session_ || !session_->shaken()) return {};
    auto chain = session_->peer_chain();
    if (chain.empty()) return {};
    return std::make_shared<const std::vector<std::string>>(std::move(chain));
}

// A record at a time: the rest stays sealed in the stream's ring, whose bound keeps the peer from sending
// more.
void Channel::open_some() {
    std::array<char, 16 * 1024> plain;
    while (opened_.empty() && !session_->over()) {
        if (const std::size_t count = session_->read(plain.data(), plain.size()); count > 0) {
            opened_.assign(plain.data(), count);
        } else {
            if (!stream_.unread() || session_->over()) break;
            stream_.feed(*session_);
        }
    }
    flush();
}

bool Channel::flush() {
    const std::string sealed = session_->take_out();
    return sealed.empty() || stream_.send(sealed);
}

bool Channel::unread() {
    if (!session_) return stream_.unread();
    if (!session_->shaken()) return false;
    open_some();
    return !opened_.empty();
}

void Channel::discard() {
    if (!session_) return stream_.discard();
    if (!session_->shaken()) return stream_.discard();
    while (unread()) opened_.clear();
    if (session_->over()) stream_.discard();
}

bool Channel::send(std::string_view bytes) {
    if (!session_) return stream_.send(bytes);
    return session_->write(bytes) && flush();
}

void Channel::finish() {
    if (session_) {
        session_->finish();
        flush();
    }
    stream_.finish();
}

} // namespace ivyrill::transport
