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
    Channel(Loop& loop, int descriptor, std::size_t most_in, std::size_t most_out,
            std::unique_ptr<TlsSession> session = {});

    bool shaking() const { return session_ && !session_->shaken() && !session_->over(); }
    bool shake_due() const { return shaking() && stream_.unread(); } // its bytes have come
    void shake(); // one step of the handshake; costs far more than anything else here
    std::shared_ptr<const std::vector<std::string>> peer_chain() const; // null where none was shown

    // Nothing comes any more, nothing can be written.
    bool ended() const { return stream_.ended() || (session_ && session_->over() && opened_.empty()); }
    bool hung_up() const { return stream_.hung_up(); }
    bool waiting_unread() { return unread() || stream_.waiting_unread(); }
    bool unread();
    template <class Parser> std::size_t feed(Parser& parser) { // so many bytes it took
        if (!session_) return stream_.feed(parser);
        open_some();
        const std::size_t taken = parser.feed(opened_);
        opened_.erase(0, taken);
        return taken;
    }
    void discard();                    // what has come
    bool send(std::string_view bytes); // false where there is no room or nobody listens
    void finish();
    std::uint64_t moved() const { return stream_.moved(); }
    std::size_t unwritten() const { return stream_.unwritten(); }
    // For bytes that are yet to be sealed, which makes them a little longer.
    std::size_t room() const {
        return session_ ? stream_.room() - std::min(stream_.room(), kSeals) : stream_.room();
    }
    std::string protocol() const { return session_ ? session_->protocol() : std::string(); }
    Tenths age() const { return stream_.age(); }

  private:
    static constexpr std::size_t kSeals = 4 * 1024; // what TLS adds to a ring full of answers
    void open_some();
    bool flush();

    Stream stream_;
    std::unique_ptr<TlsSession> session_;
    std::string opened_;

  public:
    Slot& changed = stream_.changed;
};

} // namespace ivyrill::transport
