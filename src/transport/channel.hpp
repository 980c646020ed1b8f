// A client connection, plain or over TLS, with one interface for both. Over TLS, the stream's ring buffers
// hold ciphertext, and at most one decrypted record is kept besides them.
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
    // Without a TLS session the connection is plain.
    Channel(Loop& loop, int descriptor, std::size_t max_input_bytes, std::size_t max_output_bytes,
            std::unique_ptr<TlsSession> session = {});

    bool handshaking() const { return session_ && !session_->handshake_done() && !session_->closed(); }
    bool handshake_due() const { return handshaking() && stream_.unread(); } // input has arrived
    void advance_handshake(); // takes one step of the handshake, the most expensive operation here
    // Null if the peer sent no certificate.
    std::shared_ptr<const std::vector<std::string>> peer_chain() const;

    // No more input arrives and nothing can be written.
    bool ended() const { return stream_.ended() || (session_ && session_->closed() && plaintext_.empty()); }
    bool hung_up() const { return stream_.hung_up(); }
    bool has_unread_input() { return unread() || stream_.has_unread_input(); }
    bool unread();
    template <class Parser> std::size_t feed(Parser& parser) { // returns the number of bytes consumed
        if (!session_) return stream_.feed(parser);
        decrypt_record();
        const std::size_t consumed = parser.feed(plaintext_);
        plaintext_.erase(0, consumed);
        return consumed;
    }
    void discard();                    // drops all received input
    bool send(std::string_view bytes); // false if there is no room or the connection is closed
    void finish();
    std::uint64_t transferred_bytes() const { return stream_.transferred_bytes(); }
    std::size_t unwritten() const { return stream_.unwritten(); }
    // For plaintext, which TLS makes a little longer.
    std::size_t room() const {
        return session_ ? stream_.room() - std::min(stream_.room(), kTlsOverheadBytes) : stream_.room();
    }
    std::string protocol() const { return session_ ? session_->protocol() : std::string(); }
    Ticks last_receive_age() const { return stream_.last_receive_age(); }

  private:
    // What TLS adds to a ring buffer full of answers.
    static constexpr std::size_t kTlsOverheadBytes = 4 * 1024;
    void decrypt_record();
    bool flush();

    Stream stream_;
    std::unique_ptr<TlsSession> session_;
    std::string plaintext_;

  public:
    Slot& changed = stream_.changed;
};

} // namespace ivyrill::transport
