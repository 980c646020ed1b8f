// A connection with a client, plain or sealed by TLS: the same words either way. Sealed, the stream's rings
// hold what goes over the wire, and one record at most lies opened beside them.
#pragma once
#include "transport/stream.hpp"
#include "transport/tls.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <string>

namespace ivyrill::transport {

class Channel {
  public:
    // Without a session the connection is plain.
    Channel(Loop& loop, int descriptor, std::size_t max_input_bytes, std::size_t max_output_bytes,
            std::unique_ptr<TlsSession> session = {});

    bool handshaking() const { return session_ && !session_->handshake_done() && !session_->closed(); }
    bool handshake_due() const { return handshaking() && stream_.unread(); } // its bytes have come
    void advance_handshake(); // one step of the handshake; costs far more than anything else here
    std::shared_ptr<const std::vector<std::string>> peer_chain() const; // null where none was shown

    // Nothing comes any more, nothing can be written.
    bool ended() const { return stream_.ended() || (session_ && session_->closed() && plaintext_.empty()); }
    bool hung_up() const { return stream_.hung_up(); }
    bool has_unread_input() { return unread() || stream_.has_unread_input(); }
    bool unread();
    template <class Parser> std::size_t feed(Parser& parser) { // so many bytes it took
        if (!session_) return stream_.feed(parser);
        decrypt_record();
        const std::size_t taken = parser.feed(plaintext_);
        plaintext_.erase(0, taken);
        return taken;
    }
    void discard();                    // what has come
    bool send(std::string_view bytes); // false where there is no room or nobody listens
    void finish();
    std::uint64_t transferred_bytes() const { return stream_.transferred_bytes(); }
    std::size_t unwritten() const { return stream_.unwritten(); }
    // For bytes that are yet to be sealed, which makes them a little longer.
    std::size_t room() const {
        return session_ ? stream_.room() - std::min(stream_.room(), kTlsOverheadBytes) : stream_.room();
    }
    std::string protocol() const { return session_ ? session_->protocol() : std::string(); }
    Tenths last_receive_age() const { return stream_.last_receive_age(); }

  private:
    static constexpr std::size_t kTlsOverheadBytes = 4 * 1024; // what TLS adds to a ring full of answers
    void decrypt_record();
    bool flush();

    Stream stream_;
    std::unique_ptr<TlsSession> session_;
    std::string plaintext_;

  public:
    Slot& changed = stream_.changed;
};

} // namespace ivyrill::transport
