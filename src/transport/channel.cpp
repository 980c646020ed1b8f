#include "transport/channel.hpp"

namespace ivyrill::transport {

Channel::Channel(Loop& loop, int descriptor, std::size_t max_input_bytes, std::size_t max_output_bytes,
                 std::unique_ptr<TlsSession> session)
    : stream_(loop, descriptor, Stream::Start::kConnected, max_input_bytes, max_output_bytes),
      session_(std::move(session)) {}

void Channel::advance_handshake() {
    while (stream_.unread() && session_->room()) stream_.feed(*session_);
    session_->advance_handshake();
    flush();
}

std::shared_ptr<const std::vector<std::string>> Channel::peer_chain() const {
    if (!session_ || !session_->handshake_done()) return {};
    auto chain = session_->peer_chain();
    if (chain.empty()) return {};
    return std::make_shared<const std::vector<std::string>>(std::move(chain));
}

// Decrypts one record at a time. The rest stays encrypted in the stream's ring buffer, whose limit provides
// backpressure to the peer.
void Channel::decrypt_record() {
    std::array<char, 16 * 1024> record;
    while (plaintext_.empty() && !session_->closed()) {
        if (const std::size_t count = session_->read(record.data(), record.size()); count > 0) {
            plaintext_.assign(record.data(), count);
        } else {
            if (!stream_.unread() || session_->closed()) break;
            stream_.feed(*session_);
        }
    }
    flush();
}

bool Channel::flush() {
    const std::string ciphertext = session_->take_output();
    return ciphertext.empty() || stream_.send(ciphertext);
}

bool Channel::unread() {
    if (!session_) return stream_.unread();
    if (!session_->handshake_done()) return false;
    decrypt_record();
    return !plaintext_.empty();
}

void Channel::discard() {
    if (!session_) return stream_.discard();
    if (!session_->handshake_done()) return stream_.discard();
    while (unread()) plaintext_.clear();
    if (session_->closed()) stream_.discard();
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
